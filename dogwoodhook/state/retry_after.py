"""After what time a refused caller may retry (``Retry-After``).

Designed for: refusals in large numbers, when targets shed or a service has no target
for a moment. Callers that all retry after the same time would be refused again, so
their retries are spread over the time in which the budget becomes available again. If
targets shed part of their requests although they have free slots, there is nothing to
wait for, and a caller that retries at once is still answered in time. If all targets
asked for a pause, no caller is to return before the first one ends. A caller's own
retry is a new request and needs no share of the retry budget.
"""

import random
from dataclasses import dataclass

MIN_RETRY_AFTER_S = 0.2
"""Least time: a few times the processing time of a short request."""

MAX_RETRY_AFTER_S = 2.0
"""Longest time; after a longer one, callers with short deadlines would not retry."""

SHED_RETRY_AFTER_S = (0.02, 0.12)
"""Least and longest time for targets with free slots: a few round trips, so that
several attempts fit into the target latency of a short request."""

NO_TARGET_RETRY_AFTER_S = 1.0
"""Least time if nothing is known: targets or a configuration may appear with the next
two reads of the store."""


ROOM_SPREAD = 0.5
"""Time over which the callers of one priority return, as a share of the time until room
is expected; those of the next priority return after them."""

LAST_TURN = 2
"""Priority from which on callers return together."""


@dataclass(frozen=True, slots=True)
class NoTargetKnown:
    """No configuration or no target is known."""


@dataclass(frozen=True, slots=True)
class TargetsPaused:
    """All targets asked for a pause; the first of them ends in ``returns_in_s``."""

    returns_in_s: float


@dataclass(frozen=True, slots=True)
class TargetsRefused:
    """Targets refused the request; the budget allows retries in ``available_in_s``."""

    available_in_s: float


@dataclass(frozen=True, slots=True)
class TargetsShed:
    """Targets refused the request although they have free slots."""


@dataclass(frozen=True, slots=True)
class RoomExpected:
    """The service is expected to have room for requests of ``priority`` in ``in_s``."""

    in_s: float
    priority: int


class MemoryShort:
    """The daemon has no memory for the request; others are likely to have some."""


RefusalCause = (
    RoomExpected
    | NoTargetKnown
    | TargetsPaused
    | TargetsRefused
    | TargetsShed
    | MemoryShort
)


def retry_after_s(cause: RefusalCause, *, rng: random.Random) -> float:
    """Return the time after which a refused caller may retry.

    >>> 1.0 <= retry_after_s(NoTargetKnown(), rng=random.Random(7)) <= 2.0
    True
    """
    match cause:
        case NoTargetKnown() | MemoryShort():
            return rng.uniform(NO_TARGET_RETRY_AFTER_S, 2 * NO_TARGET_RETRY_AFTER_S)
        case TargetsPaused(returns_in_s):
            spread_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, returns_in_s))
            return returns_in_s + rng.uniform(0, spread_s)
        case TargetsRefused(available_in_s):
            latest_s = min(
                MAX_RETRY_AFTER_S, max(2 * MIN_RETRY_AFTER_S, available_in_s)
            )
            return rng.uniform(MIN_RETRY_AFTER_S, latest_s)
        case RoomExpected(in_s, priority):
            first_s = max(MIN_RETRY_AFTER_S, in_s)
            turn = min(priority, LAST_TURN)
            return first_s * (1 + ROOM_SPREAD * (turn + rng.random()))
        case TargetsShed():
            return rng.uniform(*SHED_RETRY_AFTER_S)
