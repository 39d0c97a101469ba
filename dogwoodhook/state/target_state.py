"""A target's phase and the reasons for it."""

import random
from dataclasses import dataclass, field

from dogwoodhook.state.recovery import Recovery, TargetPhase
from dogwoodhook.state.target_evidence import Symptom, TargetRecord


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """One daemon's assessment of a target.

    ``weight`` is 1.0 for a healthy target, between 0 and 1 while it recovers,
    and 0.0 for a suspect, which gets work only when the others have no free
    slot. ``failure_reporters`` counts the daemons, this one included, whose
    failures led to the present suspicion.
    """

    target: str
    phase: TargetPhase
    score: float
    threshold: float
    reason: str
    since_s: float
    weight: float
    failure_reporters: int


@dataclass(slots=True)
class TargetState:
    """One target: its evidence, and its recovery once it has been suspected."""

    target: str
    record: TargetRecord = field(default_factory=TargetRecord)
    recovery: Recovery | None = None
    reason: str = ""
    symptom: Symptom = Symptom.ERRORS
    score: float = 0.0
    is_pooled_suspicion: bool = False

    @property
    def phase(self) -> TargetPhase:
        """Return the target's phase."""
        return TargetPhase.HEALTHY if self.recovery is None else self.recovery.phase

    def suspect(self, *, now_s: float, random_source: random.Random) -> None:
        """Move the target to the suspect phase."""
        if self.recovery is None:
            self.recovery = Recovery(random_source)
        self.recovery.suspect(now_s)

    def clear(self) -> None:
        """Clear the evidence after work has succeeded again."""
        self.record.reset()
        self.score = 0.0

    def status(self, *, threshold: float, now_s: float) -> TargetStatus:
        """Return the target's status at a moment."""
        recovery = self.recovery
        return TargetStatus(
            target=self.target,
            phase=self.phase,
            score=self.score,
            threshold=threshold,
            reason=self.reason,
            since_s=0.0 if recovery is None else recovery.since_s,
            weight=1.0 if recovery is None else recovery.weight(now_s),
            failure_reporters=self._failure_reporters(),
        )

    def _failure_reporters(self) -> int:
        if self.phase not in (TargetPhase.SUSPECT, TargetPhase.PROBING):
            return 0
        return len(self.record.failure_reporters) if self.is_pooled_suspicion else 1
