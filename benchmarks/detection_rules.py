"""Detectors under test: the product's, and two rules in common use.

The common rules are tuned to the same accepted interval between false alarms. They
are given the background failing share, which the product's detector has to estimate.
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
REFRESH_INTERVAL_S = 0.5
"""Time between updates of the weights of recovering targets."""


class Detector(Protocol):
    """Interface of a detector in one daemon of the fleet."""

    def observe(self, target: str, observation: Observation, now_s: float) -> None:
        """Record an outcome of one of this daemon's own attempts."""

    def merge_evidence(
        self, evidence: TargetEvidence, reporter: str, now_s: float
    ) -> None:
        """Merge outcomes that a peer reported."""

    def take_evidence(self) -> tuple[TargetEvidence, ...]:
        """Return and clear the evidence to report to peers."""

    def refresh(self, now_s: float) -> bool:
        """Update the phases; return whether any weight may have changed."""

    def phase(self, target: str, now_s: float) -> TargetPhase:
        """Return a target's phase."""

    def weight(self, target: str, now_s: float) -> float:
        """Return the share of a healthy target's work that it may take."""

    def failure_reporters(self, target: str, now_s: float) -> int:
        """Return the number of daemons that reported failures of a target."""

    def is_probe_due(self, target: str, now_s: float) -> bool:
        """Return whether a probe is due."""

    def observe_probe(self, target: str, is_successful: bool, now_s: float) -> None:
        """Record a probe's result."""


class CusumDetector:
    """The product's decision code; without pooling it reports nothing to peers."""

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
        """Record an outcome of one of this daemon's own attempts."""
        self._health.observe(target, observation, now_s=now_s)

    def merge_evidence(
        self, evidence: TargetEvidence, reporter: str, now_s: float
    ) -> None:
        """Merge outcomes that a peer reported."""
        self._health.merge_evidence(evidence, reporter=reporter, now_s=now_s)

    def take_evidence(self) -> tuple[TargetEvidence, ...]:
        """Return and clear the evidence to report to peers."""
        evidence = self._health.take_evidence()
        return evidence if self._is_pooled else ()

    def refresh(self, now_s: float) -> bool:
        """Update the phases; return whether any weight may have changed."""
        has_changed = bool(self._health.take_transitions())
        if not has_changed and now_s < self._next_refresh_s:
            return False
        statuses = self._health.statuses(now_s=now_s)
        has_changed = has_changed or bool(self._health.take_transitions())
        is_recovering = any(each.phase is not TargetPhase.HEALTHY for each in statuses)
        self._next_refresh_s = now_s + (
            REFRESH_INTERVAL_S if is_recovering else math.inf
        )
        return has_changed or is_recovering

    def phase(self, target: str, now_s: float) -> TargetPhase:
        """Return a target's phase."""
        return self._health.status(target, now_s=now_s).phase

    def weight(self, target: str, now_s: float) -> float:
        """Return the share of a healthy target's work that it may take."""
        return self._health.status(target, now_s=now_s).weight

    def failure_reporters(self, target: str, now_s: float) -> int:
        """Return the number of daemons that reported failures of a target."""
        return self._health.status(target, now_s=now_s).failure_reporters

    def is_probe_due(self, target: str, now_s: float) -> bool:
        """Return whether a probe is due."""
        return self._health.is_probe_due(target, now_s=now_s)

    def observe_probe(self, target: str, is_successful: bool, now_s: float) -> None:
        """Record a probe's result."""
        self._health.observe_probe(target, is_successful=is_successful, now_s=now_s)


@dataclass(frozen=True, slots=True)
class CountRule:
    """Raises an alarm at ``failures`` failing outcomes among the last ``outcomes``.

    With both numbers equal, this is the rule "n consecutive failures".
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
    """Return the rule with the fewest consecutive failures that meets the interval."""
    accepted_share = 1 / (outcomes_per_s * interval_s)
    count = 1
    while BACKGROUND_FAILING_SHARE**count > accepted_share:
        count += 1
    return CountRule(count, count)


def tune_window(outcomes_per_s: float, interval_s: float) -> CountRule:
    """Return the rule with the fewest failures in a window that meets the interval."""
    accepted_share = 1 / (outcomes_per_s * interval_s)
    for failures in range(1, WINDOW_OUTCOMES + 1):
        rule = CountRule(failures, WINDOW_OUTCOMES)
        if rule.false_alarm_share(BACKGROUND_FAILING_SHARE) <= accepted_share:
            return rule
    raise ValueError(
        f"no window rule limits false alarms to one in {interval_s} s on average"
    )


class CountDetector:
    """A common rule, on its daemon's own outcomes or pooled with those of all peers."""

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
        self._unreported: list[TargetEvidence] = []

    def observe(self, target: str, observation: Observation, now_s: float) -> None:
        """Record an outcome of one of this daemon's own attempts."""
        is_failure = isinstance(observation, Failure)
        self._add(target, is_failure, now_s)
        if not self._is_pooled:
            return
        failures = ((observation.kind, 1),) if isinstance(observation, Failure) else ()
        successes = int(isinstance(observation, Success))
        self._unreported.append(TargetEvidence("service", target, successes, failures))

    def merge_evidence(
        self, evidence: TargetEvidence, reporter: str, now_s: float
    ) -> None:
        """Merge outcomes that a peer reported."""
        self._add(evidence.target, bool(evidence.failures), now_s)

    def take_evidence(self) -> tuple[TargetEvidence, ...]:
        """Return and clear every outcome since the last call."""
        evidence = tuple(self._unreported)
        self._unreported.clear()
        return evidence

    def refresh(self, now_s: float) -> bool:
        """Return whether any weight may have changed."""
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
        """Return 0 for a suspect, 1 for any other target."""
        return float(self.phase(target, now_s) is TargetPhase.HEALTHY)

    def failure_reporters(self, target: str, now_s: float) -> int:
        """Return 2 for a suspect, as the rule doesn't record who reported."""
        return 2 * int(self.phase(target, now_s) is TargetPhase.SUSPECT)

    def is_probe_due(self, target: str, now_s: float) -> bool:
        """Return false: the common rules admit work again after a fixed time."""
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
