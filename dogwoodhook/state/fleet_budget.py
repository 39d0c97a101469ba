"""The fleet's budget for sending requests a second time.

Over any window, a service may get a share of its requests plus a fixed number a
second time, summed over all daemons. Each daemon tells the others of what it
spends. Those that spend at the same moment have not heard of one another, so what
is left is drawn for: where it is less than one for each daemon, a daemon gets one
with the probability that makes the sum right.
"""

import random
from collections import deque
from dataclasses import dataclass, field

SAFETY_SHARE = 0.75
"""Share of the budget that is spent; the rest covers reports that were lost or
are on their way."""


@dataclass(slots=True)
class _Spending:
    own_requests_s: deque[float] = field(default_factory=deque)
    repeats_s: deque[float] = field(default_factory=deque)


class FleetBudget:
    """Repeats of each service in the window, own and heard of.

    >>> rng = random.Random(7)
    >>> budget = FleetBudget(ratio=0.2, extra=4, window_s=10.0, rng=rng)
    >>> [budget.try_take("payouts", daemons=1, now_s=0.0) for _ in range(4)]
    [True, True, True, False]
    """

    def __init__(
        self, *, ratio: float, extra: float, window_s: float, rng: random.Random
    ) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._rng = rng
        self._services: dict[str, _Spending] = {}

    def resize(self, *, ratio: float, extra: float, window_s: float) -> None:
        """Take over other bounds."""
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s

    def record_request(self, service: str, *, now_s: float) -> None:
        """Count a caller's request at this daemon."""
        self._spending(service, now_s).own_requests_s.append(now_s)

    def record_peer_repeat(self, service: str, *, now_s: float) -> None:
        """Count a repeat that another daemon told of."""
        self._spending(service, now_s).repeats_s.append(now_s)

    def try_take(self, service: str, *, daemons: int, now_s: float) -> bool:
        """Take one repeat if the fleet, of so many daemons, can bear it."""
        spending = self._spending(service, now_s)
        # The fleet's requests are taken for as many at each daemon as here, but
        # for no more than the extra would cover anyway.
        requests = min(
            len(spending.own_requests_s) * daemons, self._extra / self._ratio
        )
        allowed = SAFETY_SHARE * (self._extra + 0.5 * self._ratio * requests)
        left = allowed - len(spending.repeats_s)
        if left < 1 or self._rng.random() * daemons >= left:
            return False
        spending.repeats_s.append(now_s)
        return True

    def _spending(self, service: str, now_s: float) -> _Spending:
        spending = self._services.setdefault(service, _Spending())
        oldest_s = now_s - self._window_s
        for times_s in (spending.own_requests_s, spending.repeats_s):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()
        return spending
