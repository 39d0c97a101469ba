"""Faults of the stand-in target."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field, NonNegativeFloat, NonNegativeInt


class HealthReport(StrEnum):
    """What the health endpoint answers; ``TRUTHFUL`` is the state after the lag."""

    TRUTHFUL = "truthful"
    GOOD = "good"
    BAD = "bad"


class TargetFaults(BaseModel):
    """Faults of a target; those that a request omits are off.

    Work fails with ``failing_status`` for a share of requests (``failing_share``) or
    for all requests of some workspaces (``failing_workspaces``). ``slow_factor``
    multiplies the service time of a share of requests (``slow_share``). A request to
    one of ``crash_paths`` crashes the target, which listens again, with a cold start,
    after ``restart_ms``. With ``silences_connections``, the connections that are open
    when the faults are set never answer again, while new ones work.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    failing_share: float = Field(default=0.0, ge=0.0, le=1.0)
    failing_workspaces: frozenset[str] = frozenset()
    failing_status: int = 500
    slow_factor: NonNegativeFloat = 1.0
    slow_share: float = Field(default=1.0, ge=0.0, le=1.0)
    is_shedding: bool = False
    is_draining: bool = False
    is_down: bool = False
    ignores_timeouts: bool = False
    silences_connections: bool = False
    crash_paths: frozenset[str] = frozenset()
    restart_ms: NonNegativeInt = 500
    health: HealthReport = HealthReport.TRUTHFUL
    reported_in_flight: NonNegativeInt | None = None
