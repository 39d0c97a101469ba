"""When a refused caller may come back.

Load that this answers: refusals come in masses, when targets shed or a service has
no target for a moment. Callers that all return after the same time meet the same
refusal; they are spread over the time in which room comes back. Where targets shed
part of their requests although they have free slots, there is nothing to wait for,
and a caller that returns at once is still answered in time. A caller's own retry is
a new request, for which the budget for second sendings is not needed.
"""

import random
from dataclasses import dataclass

MIN_RETRY_AFTER_S = 0.2
"""Earliest return: a few times the work of a short request."""

MAX_RETRY_AFTER_S = 2.0
"""Latest return; callers with short deadlines would not come back at all."""

SHED_RETRY_AFTER_S = (0.02, 0.12)
"""Earliest and latest return to targets with free slots: a few round trips, so that
several tries fit into the target latency of a short request."""

NO_TARGET_RETRY_AFTER_S = 1.0
"""Time in which targets or a configuration may appear: two readings of the store."""


@dataclass(frozen=True, slots=True)
class NothingToServe:
    """No configuration or no target is known."""


@dataclass(frozen=True, slots=True)
class TargetsRefused:
    """Targets refused the request; the budget has room again in ``available_in_s``."""

    available_in_s: float


@dataclass(frozen=True, slots=True)
class TargetsShed:
    """Targets refused the request although they have free slots."""


RefusalCause = NothingToServe | TargetsRefused | TargetsShed


def retry_after_s(cause: RefusalCause, *, rng: random.Random) -> float:
    """Return the time after which a refused caller may come back.

    >>> 1.0 <= retry_after_s(NothingToServe(), rng=random.Random(7)) <= 2.0
    True
    """
    match cause:
        case NothingToServe():
            return rng.uniform(NO_TARGET_RETRY_AFTER_S, 2 * NO_TARGET_RETRY_AFTER_S)
        case TargetsRefused(available_in_s):
            latest_s = min(
                MAX_RETRY_AFTER_S, max(2 * MIN_RETRY_AFTER_S, available_in_s)
            )
            return rng.uniform(MIN_RETRY_AFTER_S, latest_s)
        case TargetsShed():
            return rng.uniform(*SHED_RETRY_AFTER_S)
