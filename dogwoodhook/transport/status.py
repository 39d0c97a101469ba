"""What a daemon tells operators about itself, as JSON models."""

from pydantic import BaseModel


class TargetReport(BaseModel):
    """One target as this daemon sees it; ``why_excluded`` is empty if it serves."""

    name: str
    data_centre: str
    address: str
    phase: str
    score: float
    threshold: float
    reason: str
    in_flight: int
    is_excluded: bool
    why_excluded: str


class ServiceReport(BaseModel):
    """One service as this daemon sees it."""

    capacity_floor: int
    queued: int
    in_flight: int
    targets: list[TargetReport]


class PeerReport(BaseModel):
    """A peer's last heartbeat."""

    name: str
    configuration_version: int
    is_ready: bool
    is_connected: bool


class StatusReport(BaseModel):
    """The answer of ``/status``."""

    daemon: str
    data_centre: str
    configuration_version: int
    is_ready: bool
    reason: str
    in_flight: int
    services: dict[str, ServiceReport]
    peers: list[PeerReport]


class ExplanationReport(BaseModel):
    """The answer of ``/explain/<service>``: lines of what was done and why."""

    service: str
    lines: list[str]
