"""Recent refusals of ejections on one daemon, shown to operators."""

from dataclasses import dataclass, field

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.ejection_types import Refusal
from dogwoodhook.events import EJECTION_REFUSED, log

REFUSAL_RETENTION_S = 600.0
"""Time for which a refusal is shown to operators."""


@dataclass(frozen=True, slots=True)
class _TimedRefusal:
    refusal: Refusal
    refused_at_s: float


@dataclass(slots=True)
class RefusalHistory:
    """The last refusal of each target, for ``REFUSAL_RETENTION_S``.

    A refusal is logged when it is new or falls under another rule than the last,
    so a proposal that is retried each second is logged once.
    """

    clock: Clock
    _refusals: dict[tuple[str, str], _TimedRefusal] = field(default_factory=dict)

    def add(self, refusal: Refusal) -> None:
        """Record a refusal, and remove the expired ones."""
        now_s = self.clock.now_s()
        self._refusals = {
            key: timed
            for key, timed in self._refusals.items()
            if now_s - timed.refused_at_s < REFUSAL_RETENTION_S
        }
        key = (refusal.service, refusal.target)
        known = self._refusals.get(key)
        if known is None or known.refusal.rule is not refusal.rule:
            log(
                EJECTION_REFUSED,
                service=refusal.service,
                target=refusal.target,
                reason=refusal.rule,
                detail=refusal.detail,
            )
        self._refusals[key] = _TimedRefusal(refusal, now_s)

    def discard(self, service: str, target: str) -> None:
        """Remove a target's refusal, after the target has been ejected."""
        self._refusals.pop((service, target), None)

    def recent(self, service: str) -> tuple[Refusal, ...]:
        """Return a service's refusals of the last ``REFUSAL_RETENTION_S``."""
        now_s = self.clock.now_s()
        return tuple(
            timed.refusal
            for timed in self._refusals.values()
            if timed.refusal.service == service
            and now_s - timed.refused_at_s < REFUSAL_RETENTION_S
        )
