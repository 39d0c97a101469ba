"""How long a service's answers usually take, as one daemon sees them.

Load that this answers: bursts and slow targets, in which all answers take longer. A
fixed limit would then call every request overdue, and sending each a second time
would add to the load that makes them slow.
"""

import statistics
from collections import deque

RECENT_ANSWERS = 24
"""Answers that the median is taken over: enough to be steady, few enough to follow a
burst within seconds at a few requests a second."""

MIN_ANSWERS = 5
"""Answers below which nothing is said."""

OVERDUE_FACTOR = 3.0
"""Multiple of the median at which an answer is overdue; few sound ones take longer."""

HEDGE_FACTOR = 1.6
"""Multiple of the median at which a repeatable request is sent a second time."""

TARGET_LATENCY_SHARE = 0.6
"""Share of a route's target latency below which nothing is overdue."""


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
        """Count an answer."""
        self._latencies_s.append(latency_s)

    def overdue_s(self, *, target_latency_s: float) -> float:
        """Return the time after which a request's target is taken for slow."""
        return self._limit_s(OVERDUE_FACTOR, target_latency_s)

    def hedge_after_s(self, *, target_latency_s: float) -> float:
        """Return the time after which a request is sent to a second target."""
        return self._limit_s(HEDGE_FACTOR, target_latency_s)

    def _limit_s(self, factor: float, target_latency_s: float) -> float:
        least_s = TARGET_LATENCY_SHARE * target_latency_s
        if len(self._latencies_s) < MIN_ANSWERS:
            return least_s
        return max(least_s, factor * statistics.median(self._latencies_s))
