"""When a refused caller may come back.

Load that this answers: refusals come in masses, when targets shed or a service has
no target for a moment. Callers that all return after the same time meet the same
refusal; they are spread over the time in which room comes back. A caller's own
retry is a new request, for which the budget for second sendings is not needed.
"""

import random
from dataclasses import dataclass

SOONEST_S = 0.2
"""Earliest return: a few times the work of a short request."""

LATEST_S = 2.0
"""Latest return; callers with short deadlines would not come back at all."""

NO_TARGET_S = 1.0
"""Time in which targets or a configuration may appear: two readings of the store."""


@dataclass(frozen=True, slots=True)
class NothingToServe:
    """No configuration or no target is known."""


@dataclass(frozen=True, slots=True)
class TargetsRefused:
    """Targets refused the request; the budget has room again in ``room_in_s``."""

    room_in_s: float


RefusalCause = NothingToServe | TargetsRefused


def retry_after_s(cause: RefusalCause, *, rng: random.Random) -> float:
    """Return the time after which a refused caller may come back.

    >>> 1.0 <= retry_after_s(NothingToServe(), rng=random.Random(7)) <= 2.0
    True
    """
    match cause:
        case NothingToServe():
            return rng.uniform(NO_TARGET_S, 2 * NO_TARGET_S)
        case TargetsRefused(room_in_s):
            latest_s = min(LATEST_S, max(2 * SOONEST_S, room_in_s))
            return rng.uniform(SOONEST_S, latest_s)
