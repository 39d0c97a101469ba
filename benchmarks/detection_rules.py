"""Detectors under test: the product's, and two rules that are commonly used.

The common rules are tuned to the same accepted interval between false alarms
from the background failing share, which the product's detector has to find out.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from benchmarks.detection_faults import BACKGROUND_FAILING_SHARE
from dogwoodhook.state.health import ServiceHealth, TargetPhase
from dogwoodhook.state.outcomes import Failure, Observation, Success, TargetEvidence

WINDOW_OUTCOMES = 20
REFRESH_S = 0.5
"""Time between looks at targets that recover."""


class Detector(Protocol):
    """What the fleet needs of a detector in one daemon."""

    def observe(self, target: str, observation: Observation, now_s: float) -> None:
        """Take an own outcome."""

    def absorb(self, evidence: TargetEvidence, reporter: str, now_s: float) -> None:
        """Take a peer's outcomes."""

    def take_evidence(self) -> tuple[TargetEvidence, ...]:
        """Return what peers must be told."""

    def refresh(self, now_s: float) -> bool:
        """Bring phases up to date; tell whether any weight may have changed."""

    def phase(self, target: str, now_s: float) -> TargetPhase:
        """Return a target's phase."""

    def weight(self, target: str, now_s: float) -> float:
        """Return the share of a healthy target's work that it may take."""

    def accusers(self, target: str, now_s: float) -> int:
        """Return the daemons behind a suspicion."""

    def wants_probe(self, target: str, now_s: float) -> bool:
        """Tell whether a probe is due."""

    def observe_probe(self, target: str, is_successful: bool, now_s: float) -> None:
        """Take a probe's result."""


class CusumDetector:
    """The product's decision code; without pooling it tells peers nothing."""

    def __init__(
        self, targets: Sequence[str], interval_s: float, *, is_pooled: bool = True
    ) -> None:
        self._health = ServiceHealth(
            "service", targets, false_ejection_interval_s=interval_s
        )
        self._targets = targets
        self._is_pooled = is_pooled
        self._next_refresh_s = math.inf

    def observe(self, target: str, observation: Observation, now_s: float) -> None:
        """Take an own outcome."""
        self._health.observe(target, observation, now_s=now_s)

    def absorb(self, evidence: TargetEvidence, reporter: str, now_s: float) -> None:
        """Take a peer's outcomes."""
        self._health.merge_evidence(evidence, reporter=reporter, now_s=now_s)

    def take_evidence(self) -> tuple[TargetEvidence, ...]:
        """Return what peers must be told."""
        evidence = self._health.take_evidence()
        return evidence if self._is_pooled else ()

    def refresh(self, now_s: float) -> bool:
        """Bring phases up to date; tell whether any weight may have changed."""
        has_changed = bool(self._health.take_transitions())
        if not has_changed and now_s < self._next_refresh_s:
            return False
        statuses = self._health.statuses(now_s=now_s)
        has_changed = has_changed or bool(self._health.take_transitions())
        is_recovering = any(each.phase is not TargetPhase.HEALTHY for each in statuses)
        self._next_refresh_s = now_s + (REFRESH_S if is_recovering else math.inf)
        return has_changed or is_recovering

    def phase(self, target: str, now_s: float) -> TargetPhase:
        """Return a target's phase."""
        return self._health.status(target, now_s=now_s).phase

    def weight(self, target: str, now_s: float) -> float:
        """Return the share of a healthy target's work that it may take."""
        return self._health.status(target, now_s=now_s).weight

    def accusers(self, target: str, now_s: float) -> int:
        """Return the daemons behind a suspicion."""
        return self._health.status(target, now_s=now_s).failure_reporters

    def wants_probe(self, target: str, now_s: float) -> bool:
        """Tell whether a probe is due."""
        return self._health.is_probe_due(target, now_s=now_s)

    def observe_probe(self, target: str, is_successful: bool, now_s: float) -> None:
        """Take a probe's result."""
        self._health.observe_probe(target, is_successful=is_successful, now_s=now_s)


@dataclass(frozen=True, slots=True)
class CountRule:
    """Alarm at ``failures`` failing outcomes among the last ``outcomes``.

    With both numbers equal it is "n consecutive failures".
    """

    failures: int
    outcomes: int

    def false_alarm_share(self, failing_share: float) -> float:
        """Return the share of outcomes that raise a false alarm."""
        others = self.outcomes - 1
        tail = sum(
            math.comb(others, count)
            * failing_share**count
            * (1 - failing_share) ** (others - count)
            for count in range(self.failures - 1, others + 1)
        )
        return failing_share * tail


def tune_consecutive(outcomes_per_s: float, interval_s: float) -> CountRule:
    """Return the smallest number of consecutive failures seldom enough."""
    accepted_share = 1 / (outcomes_per_s * interval_s)
    count = 1
    while BACKGROUND_FAILING_SHARE**count > accepted_share:
        count += 1
    return CountRule(count, count)


def tune_window(outcomes_per_s: float, interval_s: float) -> CountRule:
    """Return the smallest count in a window seldom enough."""
    accepted_share = 1 / (outcomes_per_s * interval_s)
    for failures in range(1, WINDOW_OUTCOMES + 1):
        rule = CountRule(failures, WINDOW_OUTCOMES)
        if rule.false_alarm_share(BACKGROUND_FAILING_SHARE) <= accepted_share:
            return rule
    raise ValueError(f"no rule is seldom enough for {interval_s} s")


class CountDetector:
    """A common rule, alone in its daemon or told all outcomes by the others."""

    HOLDING_TIME_S = 30.0

    def __init__(
        self, targets: Sequence[str], rule: CountRule, *, is_pooled: bool
    ) -> None:
        self._rule = rule
        self._is_pooled = is_pooled
        self._recent: dict[str, deque[bool]] = {
            each: deque(maxlen=rule.outcomes) for each in targets
        }
        self._held_until_s = dict.fromkeys(targets, 0.0)
        self._has_changed = False
        self._untold: list[TargetEvidence] = []

    def observe(self, target: str, observation: Observation, now_s: float) -> None:
        """Take an own outcome."""
        is_failure = isinstance(observation, Failure)
        self._add(target, is_failure, now_s)
        if not self._is_pooled:
            return
        failures = ((observation.kind, 1),) if isinstance(observation, Failure) else ()
        successes = int(isinstance(observation, Success))
        self._untold.append(TargetEvidence("service", target, successes, failures))

    def absorb(self, evidence: TargetEvidence, reporter: str, now_s: float) -> None:
        """Take a peer's outcomes."""
        self._add(evidence.target, bool(evidence.failures), now_s)

    def take_evidence(self) -> tuple[TargetEvidence, ...]:
        """Return every outcome since the last call."""
        evidence = tuple(self._untold)
        self._untold.clear()
        return evidence

    def refresh(self, now_s: float) -> bool:
        """Tell whether any weight may have changed."""
        has_changed = self._has_changed or any(
            0 < each <= now_s for each in self._held_until_s.values()
        )
        self._has_changed = False
        return has_changed

    def phase(self, target: str, now_s: float) -> TargetPhase:
        """Return a target's phase."""
        is_held = now_s < self._held_until_s[target]
        return TargetPhase.SUSPECT if is_held else TargetPhase.HEALTHY

    def weight(self, target: str, now_s: float) -> float:
        """Return nothing for a suspect, all for others."""
        return float(self.phase(target, now_s) is TargetPhase.HEALTHY)

    def accusers(self, target: str, now_s: float) -> int:
        """Return two, as the rule doesn't know who reported."""
        return 2 * int(self.phase(target, now_s) is TargetPhase.SUSPECT)

    def wants_probe(self, target: str, now_s: float) -> bool:
        """Return false: the common rules let work back after a fixed time."""
        return False

    def observe_probe(self, target: str, is_successful: bool, now_s: float) -> None:
        """Ignore probes."""

    def _add(self, target: str, is_failure: bool, now_s: float) -> None:
        recent = self._recent[target]
        recent.append(is_failure)
        if not is_failure or sum(recent) < self._rule.failures:
            return
        if now_s >= self._held_until_s[target]:
            self._has_changed = True
        self._held_until_s[target] = now_s + self.HOLDING_TIME_S
        recent.clear()
