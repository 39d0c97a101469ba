"""How long a service's answers usually take at one daemon.

Designed for: bursts and slow targets, when all answers take longer. With a fixed limit
every request would then be overdue, and hedging each one would add to the load that
makes them slow.
"""

import statistics
from collections import deque

RECENT_ANSWERS = 24
"""Answers over which the median is taken: enough for a stable value, and few enough to
follow a burst within seconds at a few requests a second."""

MIN_ANSWERS = 5
"""Answers needed before the median is used."""

OVERDUE_FACTOR = 3.0
"""Multiple of the median at which an answer is overdue; few answers of sound targets
take longer."""

HEDGE_FACTOR = 1.6
"""Multiple of the median after which an idempotent request is hedged."""

TARGET_LATENCY_SHARE = 0.6
"""Share of a route's target latency before which no request is overdue or hedged."""


class TypicalLatency:
    """The median of a service's recent answers.

    >>> typical = TypicalLatency()
    >>> typical.overdue_s(target_latency_s=1.0)
    0.6
    >>> for _ in range(MIN_ANSWERS):
    ...     typical.record(0.5)
    >>> typical.overdue_s(target_latency_s=1.0)
    1.5
    """

    def __init__(self) -> None:
        self._latencies_s: deque[float] = deque(maxlen=RECENT_ANSWERS)

    def record(self, latency_s: float) -> None:
        """Record the latency of an answer."""
        self._latencies_s.append(latency_s)

    @property
    def median_s(self) -> float | None:
        """The median latency, ``None`` until there are enough answers."""
        if len(self._latencies_s) < MIN_ANSWERS:
            return None
        return statistics.median(self._latencies_s)

    def usual_s(self, *, target_latency_s: float) -> float:
        """Return the usual latency: the median, or a share of the target latency."""
        median_s = self.median_s
        return TARGET_LATENCY_SHARE * target_latency_s if median_s is None else median_s

    def overdue_s(self, *, target_latency_s: float) -> float:
        """Return the time after which a request is overdue at its target."""
        return self._limit_s(OVERDUE_FACTOR, target_latency_s)

    def hedge_after_s(self, *, target_latency_s: float) -> float:
        """Return the time after which a request is also sent to a second target."""
        return self._limit_s(HEDGE_FACTOR, target_latency_s)

    def _limit_s(self, factor: float, target_latency_s: float) -> float:
        least_s = TARGET_LATENCY_SHARE * target_latency_s
        median_s = self.median_s
        return least_s if median_s is None else max(least_s, factor * median_s)
