"""The fleet's retry budget of each service.

In any window, the retries of a service on all daemons together may not exceed a share
of its requests plus a fixed number. With each retry and each failure a daemon reports
its totals of retries and requests in the window, so all daemons know the sums closely
enough and the next message makes up for a lost one. Daemons that spend at the same
moment have not received each other's reports yet. When little of the budget is left,
each of them therefore takes a retry only with some probability.

Designed for: targets that refuse or break off a large part of all requests. A request
that no target has run would be lost without a retry. An overdue request may still be
answered, so a hedge is allowed only while more than half of the budget is left.
"""

import random
from collections import deque
from dataclasses import dataclass, field

DaemonRun = tuple[str, int]
"""A daemon's name, and a number that changes with each restart."""

SAFETY_SHARE = 0.8
"""Share of the budget that may be spent; the rest covers reports that were lost or
are still in transit."""

CONCURRENT_SHARE = 0.3
"""Share of the daemons assumed to spend on a service at the same moment: those that
have a request for it in flight."""

OWN_SHARE_FACTOR = 4.0
"""Multiple of the equal share (the budget divided by the daemons) that one daemon may
spend at most, whatever the reports say: a VM that is too slow to read the others'
messages sees the budget as unspent."""

MIN_OWN_RETRIES = 4.0
"""Retries that each daemon may spend within the budget, however many share it."""

FIRST_SHARE_FACTOR = 0.25
MIN_FIRST_RETRIES = 1.0
"""Multiple of the equal share that a daemon may spend in its first window, and the
least number of retries. It has no reports of what was spent before it started, and all
daemons that restart together must fit into the part that ``SAFETY_SHARE`` leaves."""

NOT_RUN_RESERVE_SHARE = 0.5
"""Share of the budget that hedges leave to requests that no target has run."""


@dataclass(frozen=True, slots=True)
class _PeerReport:
    """The last totals reported by a run of another daemon."""

    at_s: float
    requests: int
    retries: int


@dataclass(slots=True)
class _Spending:
    requests_s: deque[float] = field(default_factory=deque)
    retries_s: deque[float] = field(default_factory=deque)
    peer_reports: dict[DaemonRun, _PeerReport] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """A service's retries in the window: the number spent and the number allowed."""

    spent: int
    allowed: float


class FleetBudget:
    """Counts the retries of each service in the window, own and reported ones.

    ``started_s`` is when this daemon began to receive the others' reports.

    >>> rng = random.Random(7)
    >>> budget = FleetBudget(ratio=0.2, extra=4, window_s=10.0, rng=rng)
    >>> [budget.try_take("payouts", daemons=1, now_s=0.0) for _ in range(4)]
    [True, True, True, False]
    """

    def __init__(
        self,
        *,
        ratio: float,
        extra: float,
        window_s: float,
        rng: random.Random,
        started_s: float = float("-inf"),
    ) -> None:
        self._started_s = started_s
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._rng = rng
        self._services: dict[str, _Spending] = {}

    def resize(self, *, ratio: float, extra: float, window_s: float) -> None:
        """Adopt new bounds."""
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s

    @property
    def window_s(self) -> float:
        """Return the window over which requests and retries are counted."""
        return self._window_s

    def record_request(self, service: str, *, now_s: float) -> None:
        """Count a request of a caller of this daemon."""
        self._spending(service, now_s).requests_s.append(now_s)

    def own_requests(self, service: str, *, now_s: float) -> int:
        """Return the callers' requests at this daemon in the window."""
        return len(self._spending(service, now_s).requests_s)

    def own_retries(self, service: str, *, now_s: float) -> int:
        """Return this daemon's retries in the window."""
        return len(self._spending(service, now_s).retries_s)

    def record_report(
        self,
        service: str,
        *,
        run: DaemonRun,
        requests: int,
        retries: int,
        now_s: float,
    ) -> None:
        """Record the totals of another daemon, in place of its previous ones."""
        self._spending(service, now_s).peer_reports[run] = _PeerReport(
            now_s, requests, retries
        )

    def usage(self, service: str, *, now_s: float) -> BudgetUsage:
        """Return what the fleet has spent and may spend, as known to this daemon."""
        spending = self._spending(service, now_s)
        allowed = SAFETY_SHARE * (self._extra + self._ratio * self._requests(spending))
        reported = sum(each.retries for each in spending.peer_reports.values())
        return BudgetUsage(len(spending.retries_s) + reported, allowed)

    def try_take(
        self, service: str, *, daemons: int, now_s: float, is_hedge: bool = False
    ) -> bool:
        """Take a retry if the budget allows it; return whether it does.

        ``daemons`` is the number of daemons that share the budget. ``is_hedge`` means
        that the first attempt may still be answered.
        """
        spending = self._spending(service, now_s)
        usage = self.usage(service, now_s=now_s)
        allowed = usage.allowed
        left = allowed - usage.spent
        if is_hedge:
            left -= NOT_RUN_RESERVE_SHARE * allowed
        if len(spending.retries_s) >= self._own_limit(allowed / daemons, now_s):
            return False
        concurrent = max(1.0, CONCURRENT_SHARE * daemons)
        if left < 1 or self._rng.random() * concurrent >= left:
            return False
        spending.retries_s.append(now_s)
        return True

    def _own_limit(self, equal_share: float, now_s: float) -> float:
        """Return how many retries this daemon may spend in the window."""
        if now_s - self._started_s < self._window_s:
            return max(MIN_FIRST_RETRIES, FIRST_SHARE_FACTOR * equal_share)
        return max(MIN_OWN_RETRIES, OWN_SHARE_FACTOR * equal_share)

    def available_in_s(self, service: str, *, now_s: float) -> float:
        """Return the time until the oldest known retry leaves the window."""
        spending = self._spending(service, now_s)
        spent_s = [each.at_s for each in spending.peer_reports.values() if each.retries]
        oldest_s = min([*spending.retries_s, *spent_s], default=now_s - self._window_s)
        return oldest_s + self._window_s - now_s

    def _requests(self, spending: _Spending) -> int:
        reported = sum(each.requests for each in spending.peer_reports.values())
        return len(spending.requests_s) + reported

    def _spending(self, service: str, now_s: float) -> _Spending:
        spending = self._services.setdefault(service, _Spending())
        oldest_s = now_s - self._window_s
        for times_s in (spending.requests_s, spending.retries_s):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()
        old = [
            run for run, each in spending.peer_reports.items() if each.at_s < oldest_s
        ]
        for run in old:
            del spending.peer_reports[run]
        return spending
