"""What is normal for a service: its failing share and its median latency.

The share is taken over the targets that fail least, so a bad target does not
raise it, and over windows of several lengths: long ones for the usual share, short
ones for a fault that has just begun to affect the whole service.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

PRIOR_ERROR_SHARE = 0.01
PRIOR_SLOW_SHARE = 0.05
"""Shares assumed for a service without outcomes."""

PRIOR_OUTCOMES = 100.0
"""Outcomes of the service that weigh as much as the prior."""

MIN_SHARE = 0.002
MAX_SHARE = 0.9

WINDOWS_OUTCOMES = (480.0, 120.0, 30.0, 10.0)
"""Outcomes per target after which each window halves its counts, longest first."""

WINDOW_PRIOR_OUTCOMES = 6.0
"""Outcomes of a window that weigh as much as the next longer window."""

DROPPED_SHARE = 1 / 3
"""Share of the targets, those that fail most, excluded from the baseline."""


@dataclass(slots=True)
class _Counts:
    failures: float = 0.0
    outcomes: float = 0.0

    def halve(self) -> None:
        self.failures /= 2
        self.outcomes /= 2


@dataclass(slots=True)
class _Window:
    outcomes_per_target: float
    counts: dict[str, _Counts] = field(default_factory=dict)
    total: float = 0.0

    def set_targets(self, targets: Iterable[str]) -> None:
        self.counts = {each: self.counts.get(each, _Counts()) for each in targets}
        self.total = sum(each.outcomes for each in self.counts.values())

    def record(self, target: str, failures: float, outcomes: float) -> None:
        counts = self.counts[target]
        counts.failures += failures
        counts.outcomes += outcomes
        self.total += outcomes
        if self.total > self.outcomes_per_target * len(self.counts):
            self._halve()

    def _halve(self) -> None:
        for counts in self.counts.values():
            counts.halve()
        self.total /= 2

    def share(self, prior_share: float, prior_outcomes: float) -> float:
        dropped = math.ceil(len(self.counts) * DROPPED_SHARE)
        kept = max(1, len(self.counts) - dropped)
        ordered = sorted(
            self.counts.values(),
            key=lambda each: (each.failures + prior_share) / (each.outcomes + 1),
        )
        failures = sum(each.failures for each in ordered[:kept])
        outcomes = sum(each.outcomes for each in ordered[:kept])
        return (failures + prior_share * prior_outcomes) / (outcomes + prior_outcomes)


class ShareBaseline:
    """The share of a service's outcomes that fail when nothing is wrong."""

    def __init__(self, targets: Sequence[str], *, prior_share: float) -> None:
        self._prior_share = prior_share
        self._windows = [_Window(each) for each in WINDOWS_OUTCOMES]
        self.set_targets(targets)

    def set_targets(self, targets: Iterable[str]) -> None:
        """Keep the counts of targets that stay, remove the others."""
        names = tuple(targets)
        for window in self._windows:
            window.set_targets(names)

    def record(self, target: str, *, failures: float, outcomes: float) -> None:
        """Count outcomes of a target, ``failures`` of them failing."""
        for window in self._windows:
            window.record(target, failures, outcomes)

    def share(self) -> float:
        """Return the failing share expected of any target at present."""
        longest, *shorter = self._windows
        share = largest = longest.share(self._prior_share, PRIOR_OUTCOMES)
        for window in shorter:
            share = window.share(share, WINDOW_PRIOR_OUTCOMES)
            largest = max(largest, share)
        return min(MAX_SHARE, max(MIN_SHARE, largest))


class LinkHistory:
    """The share of one daemon's answers from one target that are slow.

    A link that loses packets makes some of the answers over it slow. That is usual
    for the link, though not for the service.
    """

    WINDOW_OUTCOMES = 480.0
    PRIOR_OUTCOMES = 20.0
    MAX_SHARE = 0.3

    def __init__(self) -> None:
        self._counts = _Counts()

    def record(self, *, is_slow: bool) -> None:
        """Count one answer."""
        counts = self._counts
        counts.outcomes += 1
        counts.failures += is_slow
        if counts.outcomes > self.WINDOW_OUTCOMES:
            counts.halve()

    def share(self) -> float:
        """Return the share, capped so that a slow target can still be detected."""
        counts = self._counts
        share = (counts.failures + PRIOR_SLOW_SHARE * self.PRIOR_OUTCOMES) / (
            counts.outcomes + self.PRIOR_OUTCOMES
        )
        return min(self.MAX_SHARE, share)


class LatencyBaseline:
    """A running estimate of a service's median latency.

    Each answer moves the estimate by a small factor up or down, so that half of
    the answers lie above it in the long run and no single one can move it far.
    """

    SLOW_FACTOR = 3.0
    SLOW_MARGIN_MS = 5.0
    FIRST_STEP = 0.5
    LAST_STEP = 0.01

    def __init__(self) -> None:
        self.median_ms: float | None = None
        self._step = self.FIRST_STEP

    def record(self, latency_ms: float) -> None:
        """Move the estimate towards an answer's latency."""
        if self.median_ms is None:
            self.median_ms = max(latency_ms, 0.1)
            return
        factor = 1 + self._step
        self.median_ms *= factor if latency_ms > self.median_ms else 1 / factor
        self.median_ms = max(self.median_ms, 0.1)
        self._step = max(self.LAST_STEP, self._step * 0.97)

    def is_slow(self, latency_ms: float) -> bool:
        """Return whether an answer took several times the median."""
        if self.median_ms is None:
            return False
        return latency_ms > self.median_ms * self.SLOW_FACTOR + self.SLOW_MARGIN_MS
