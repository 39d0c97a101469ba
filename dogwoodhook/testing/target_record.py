"""The record of the requests that a stand-in target ran."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from pydantic import BaseModel

RECORD_LIMIT = 200_000


class RunPhase(StrEnum):
    """Phase of a request that the target began to run."""

    STARTED = "started"
    FINISHED = "finished"
    CUT = "cut"


class Run(BaseModel):
    """One request that the target began to run; times are on the target's clock.

    ``nonce`` is set by the caller. A run is cut if its caller left, its deadline
    passed, or the target crashed before the answer was complete.
    """

    method: str
    path: str
    workspace: str
    nonce: str
    idempotency_key: str
    started_s: float
    ended_s: float | None = None
    phase: RunPhase = RunPhase.STARTED
    status: int | None = None


class RecordBody(BaseModel):
    """Answers ``GET /_record``."""

    runs: tuple[Run, ...]
    received: int
    shed: int


@dataclass(slots=True)
class TargetRecord:
    """The runs of a target, oldest first, bounded by ``RECORD_LIMIT``."""

    runs: deque[Run] = field(default_factory=lambda: deque(maxlen=RECORD_LIMIT))
    received: int = 0
    shed: int = 0

    def clear(self) -> None:
        """Delete all runs and reset the counts."""
        self.runs.clear()
        self.received = 0
        self.shed = 0

    def body(self, nonce: str | None = None) -> RecordBody:
        """Return the record with all runs, or with those of one nonce."""
        runs = tuple(run for run in self.runs if nonce in (None, run.nonce))
        return RecordBody(runs=runs, received=self.received, shed=self.shed)
