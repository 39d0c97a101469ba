"""Adaptive limits of requests in flight, one for each target and daemon.

Many daemons share a target's few slots without knowing each other's counts. Each
one adapts its own limit: additive increase while answers come, multiplicative
decrease on a shed. Where daemons outnumber slots, a limit of one still leads to
sheds, so a shed also starts a back-off with jitter, during which the target is not
chosen.
"""

import math
from dataclasses import dataclass, field
from random import Random

DECREASE_FACTOR = 0.5
MIN_LIMIT = 1.0
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.2

YIELD_S = 0.01
"""Pause after an answer of a contended target, in which other daemons may take
the slot: without it, the daemon that holds a slot would keep it indefinitely."""

CONTENTION_S = 1.0
"""Time after a shed for which a target counts as contended."""


@dataclass(slots=True)
class TargetLimit:
    """Limit of requests in flight from this daemon to one target."""

    max_limit: float
    limit: float = field(init=False)
    in_flight: int = 0
    backoff_s: float = MIN_BACKOFF_S
    blocked_until_s: float = 0.0
    shed_at_s: float = -math.inf

    def __post_init__(self) -> None:
        # The limit grows only with answers, and long requests give none for a while,
        # so it starts at its maximum: a shed costs one round trip, a queue in front
        # of free slots costs seconds.
        self.limit = self.max_limit

    def headroom(self, *, now_s: float) -> float:
        """Return how many more requests may start, as a fraction of the limit."""
        if now_s < self.blocked_until_s or self.in_flight + 1 > self.limit:
            return 0.0
        return (self.limit - self.in_flight) / self.max_limit

    def start(self) -> None:
        """Count a request as in flight."""
        self.in_flight += 1

    def finish(self) -> None:
        """Count a request as ended, whatever its outcome."""
        self.in_flight -= 1

    def record_answer(self, *, now_s: float) -> None:
        """Increase the limit after an answer; pause if the target is contended."""
        self.limit = min(self.max_limit, self.limit + 1 / self.limit)
        self.backoff_s = MIN_BACKOFF_S
        if now_s - self.shed_at_s < CONTENTION_S:
            self.blocked_until_s = max(self.blocked_until_s, now_s + YIELD_S)

    def record_shed(self, *, now_s: float, rng: Random) -> None:
        """Decrease the limit after a shed, and back off."""
        self.shed_at_s = now_s
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
        self.blocked_until_s = now_s + rng.uniform(0, self.backoff_s)
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
