"""A daemon's memory of the ejections that were refused, for its operators."""

from dataclasses import dataclass, field

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.ejection_types import Refusal
from dogwoodhook.events import EJECTION_REFUSED, log

REFUSAL_MEMORY_S = 600.0
"""Time for which a refusal is shown to operators."""


@dataclass(frozen=True, slots=True)
class _TimedRefusal:
    refusal: Refusal
    at_s: float


@dataclass(slots=True)
class RefusalMemory:
    """The last refusal of each target, for ``REFUSAL_MEMORY_S``.

    A refusal is logged when it is new or falls under another rule than the last,
    so a proposal that is repeated each second leaves one line.
    """

    clock: Clock
    _refusals: dict[tuple[str, str], _TimedRefusal] = field(default_factory=dict)

    def add(self, refusal: Refusal) -> None:
        """Remember a refusal, and forget those that are too old."""
        now_s = self.clock.now_s()
        self._refusals = {
            key: timed
            for key, timed in self._refusals.items()
            if now_s - timed.at_s < REFUSAL_MEMORY_S
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

    def forget(self, service: str, target: str) -> None:
        """Forget a target's refusal: it has been ejected since."""
        self._refusals.pop((service, target), None)

    def recent(self, service: str) -> tuple[Refusal, ...]:
        """Return a service's refusals that are still to be shown."""
        now_s = self.clock.now_s()
        return tuple(
            timed.refusal
            for timed in self._refusals.values()
            if timed.refusal.service == service
            and now_s - timed.at_s < REFUSAL_MEMORY_S
        )
