"""The quota of a workspace, which all daemons of the fleet share.

A quota is a token bucket: ``rate_per_s`` tokens a second, up to ``burst``. One daemon
of the fleet, the coordinator of the workspace, holds the bucket, and the others ask it
for a token for each request. There is no election: all daemons rank each other by a
hash of the workspace and the daemon, and ask the second or the third if the first does
not answer. Coordinators tell each other what they have granted, and each takes it from
its own bucket, so that two of them together grant little more than one.

A daemon that gets no answer takes its part of the tolerance, which is small enough for
all daemons together. A coordinator that has
just started does not know what was granted before; its bucket starts almost empty, and
what it adds is what would have been added anyway.

Designed for: some hundred workspaces of very different sizes on hundreds of daemons,
where most daemons get less than one request of a workspace in the window, and one
workspace sends several times its quota.
"""

import hashlib
import math
import random
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from dogwoodhook.state.workspace_policy import WorkspacePolicy

COORDINATORS = 3
"""Daemons that are asked for a token, one after the other, until one answers."""

EXTRA_SHARE = 0.25
"""Share of the slack by which a bucket is larger than the burst. Requests that were
sent in one order may be counted in another."""

START_SHARE = 0.1
"""Share of the slack in the bucket of a coordinator that does not know what was granted
before it started: three of them may start at once, and more than once."""

UNREACHED_SHARE = 0.5
"""Share of the tolerance for daemons that reach no coordinator. The rest covers
coordinators that grant at the same time, and requests on their way."""

FIRST_UNREACHED_SHARE = 0.1
"""The same for a daemon in its first window. It does not know what it took before."""

URGENT_RESERVE = 0.15
"""Share of a full bucket that is kept for more urgent requests of the workspace, for
each priority that was lately seen among them."""

URGENT_S = 1.0
"""Time after a request within which others of its urgency are expected."""

RECENT_S = 1.0
"""Time within which coordinators know of each other's grants, although reports are
lost."""

MAX_RETURN_S = 5.0
"""Longest time after which a refused caller is told to return, unless the rate gives
less than one token in it."""


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """By how much all daemons together may exceed a quota in any window.

    >>> tolerance = QuotaTolerance(window_s=5.0, overshoot=0.1, slack=20.0)
    >>> quota = WorkspacePolicy("ukara", frozenset(), rate_per_s=10.0, burst=50.0)
    >>> tolerance.excess_of(quota)
    30.0
    """

    window_s: float
    overshoot: float
    slack: float

    def excess_of(self, policy: WorkspacePolicy) -> float:
        """Return the requests in a window beyond those of the rate and the burst."""
        quota = policy.rate_per_s * self.window_s + policy.burst
        return quota * self.overshoot + self.slack

    def reached_share(self, *, live: int, known: int) -> float:
        """Return the share of a rate that a part of the fleet may grant.

        ``live`` daemons of the ``known`` ones are in touch. All parts into which a
        fleet falls together get the rate and half of the overshoot.
        """
        return min(1.0, (1 + self.overshoot / 2) * live / max(1, live, known))


@dataclass(frozen=True, slots=True)
class QuotaTaken:
    """A request was counted; ``granted_by`` is the coordinator that counted it.

    It is ``None`` if no coordinator was reached.
    """

    workspace: str
    at_s: float
    granted_by: str | None = None


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The workspace is over its quota; its bucket has room in ``retry_after_s``.

    ``decided_by`` is the coordinator, ``None`` if none was reached.
    """

    retry_after_s: float
    decided_by: str | None = None


@dataclass(frozen=True, slots=True)
class Granted:
    """A token was granted."""


@dataclass(frozen=True, slots=True)
class BucketState:
    """What a coordinator has granted so far, and the tokens that are left."""

    workspace: str
    granted: int
    level: float


def coordinators_of(workspace: str, daemons: Collection[str]) -> tuple[str, ...]:
    """Return the daemons that are asked for a workspace's tokens, the first one first.

    >>> coordinators_of("ukara", ["vm-1", "vm-2", "vm-3", "vm-4"])[0] in (
    ...     coordinators_of("ukara", ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"])[:2]
    ... )
    True
    """

    def order(daemon: str) -> bytes:
        text = f"{workspace}/{daemon}".encode("utf-8", "surrogateescape")
        return hashlib.blake2b(text, digest_size=8).digest()

    return tuple(sorted(daemons, key=order)[:COORDINATORS])


@dataclass(slots=True)
class _Bucket:
    """The tokens of one workspace at one coordinator.

    ``level`` is below zero if more was taken than there was. ``peers`` is the run of
    each other coordinator and what it had granted at its last report, ``recent_s`` the
    times of what was granted here in ``RECENT_S``. ``returns_s`` is
    by priority the time at which the last refused caller was told to return, ``seen_s``
    that of the last request.
    """

    level: float
    refilled_s: float
    capacity: float
    granted: int = 0
    recent_s: deque[float] = field(default_factory=deque)
    peers: dict[str, tuple[int, int]] = field(default_factory=dict)
    returns_s: dict[int, float] = field(default_factory=dict)
    seen_s: dict[int, float] = field(default_factory=dict)


class QuotaCoordinator:
    """The buckets of the workspaces whose tokens this daemon was asked for.

    ``started_s`` is when this daemon began to receive the reports of others.

    >>> tolerance = QuotaTolerance(window_s=5.0, overshoot=0.1, slack=4.0)
    >>> quota = WorkspacePolicy("ukara", frozenset(), rate_per_s=1.0, burst=2.0)
    >>> coordinator = QuotaCoordinator(tolerance, rng=random.Random(7))
    >>> [type(coordinator.grant(quota, now_s=0.0)).__name__ for _ in range(4)]
    ['Granted', 'Granted', 'Granted', 'OverQuota']
    """

    def __init__(
        self,
        tolerance: QuotaTolerance,
        *,
        rng: random.Random,
        started_s: float = -math.inf,
    ) -> None:
        self.tolerance = tolerance
        self._rng = rng
        self._started_s = started_s
        self._buckets: dict[str, _Bucket] = {}
        self._unreported: set[str] = set()

    def grant(
        self,
        policy: WorkspacePolicy,
        *,
        now_s: float,
        priority: int = 0,
        share: float = 1.0,
    ) -> Granted | OverQuota:
        """Grant a token if there is one for a request of this priority.

        ``share`` is the share of the rate that this part of the fleet may grant.
        """
        bucket = self._refilled(policy, share=share, now_s=now_s)
        reserve = self._reserve(bucket, policy, priority, now_s)
        bucket.seen_s[priority] = now_s
        if bucket.level < 1 + reserve:
            missing = 1 + reserve - bucket.level
            return self._refusal(bucket, policy, priority, missing, now_s)
        self._take(bucket, policy, 1)
        return Granted()

    def give_back(
        self, policy: WorkspacePolicy, *, now_s: float, share: float = 1.0
    ) -> None:
        """Return a token whose request no target ran."""
        self._take(self._refilled(policy, share=share, now_s=now_s), policy, -1)

    def unreported(self) -> tuple[BucketState, ...]:
        """Return the buckets that have changed since the last call."""
        states = tuple(
            BucketState(name, self._buckets[name].granted, self._buckets[name].level)
            for name in sorted(self._unreported)
        )
        self._unreported.clear()
        return states

    def record_report(
        self,
        policy: WorkspacePolicy,
        coordinator: str,
        run: int,
        state: BucketState,
        *,
        now_s: float,
    ) -> None:
        """Take what another coordinator has granted since its last report.

        ``run`` changes when that coordinator restarts.
        """
        if policy.name not in self._buckets:
            capacity = policy.burst + EXTRA_SHARE * self.tolerance.slack
            level = min(capacity, state.level)
            self._buckets[policy.name] = _Bucket(level, now_s, capacity)
        bucket = self._refilled(policy, share=1.0, now_s=now_s)
        known_run, known = bucket.peers.get(coordinator, (None, 0))
        if known_run == run:
            granted: float = max(0, state.granted - known)
            bucket.peers[coordinator] = run, max(known, state.granted)
        else:
            # Most of what it has granted in total may be long ago.
            granted = min(state.granted, max(0.0, bucket.capacity - state.level))
            bucket.peers[coordinator] = run, state.granted
        # While this daemon was paused, others may have granted more than was added to
        # its full bucket. Theirs lack at most what it granted itself a moment ago.
        least = min(bucket.level, state.level - len(bucket.recent_s))
        bucket.level = max(bucket.level - granted, least)

    def retain(self, workspaces: Collection[str], *, now_s: float) -> None:
        """Forget the workspaces that the configuration no longer names.

        What was granted in the last window still counts if one is named again.
        """
        oldest_s = now_s - self.tolerance.window_s
        for name, bucket in list(self._buckets.items()):
            if name not in workspaces and bucket.refilled_s < oldest_s:
                del self._buckets[name]
                self._unreported.discard(name)

    def _refilled(
        self, policy: WorkspacePolicy, *, share: float, now_s: float
    ) -> _Bucket:
        capacity = policy.burst + EXTRA_SHARE * self.tolerance.slack
        bucket = self._buckets.get(policy.name)
        if bucket is None:
            has_window = now_s - self._started_s >= self.tolerance.window_s
            level = capacity if has_window else START_SHARE * self.tolerance.slack
            bucket = _Bucket(level, now_s, capacity)
            self._buckets[policy.name] = bucket
        bucket.capacity = capacity
        added = share * policy.rate_per_s * max(0.0, now_s - bucket.refilled_s)
        bucket.level = min(capacity, bucket.level + added)
        bucket.refilled_s = max(bucket.refilled_s, now_s)
        while bucket.recent_s and bucket.recent_s[0] < now_s - RECENT_S:
            bucket.recent_s.popleft()
        return bucket

    def _take(self, bucket: _Bucket, policy: WorkspacePolicy, count: int) -> None:
        bucket.level -= count
        bucket.recent_s.extend([bucket.refilled_s] * count)
        bucket.granted += count
        self._unreported.add(policy.name)

    def _reserve(
        self, bucket: _Bucket, policy: WorkspacePolicy, priority: int, now_s: float
    ) -> float:
        """Return the tokens that are kept for more urgent requests."""
        expected = sum(
            other < priority and now_s - seen_s < URGENT_S
            for other, seen_s in bucket.seen_s.items()
        )
        return URGENT_RESERVE * policy.burst * expected

    def _refusal(
        self,
        bucket: _Bucket,
        policy: WorkspacePolicy,
        priority: int,
        missing: float,
        now_s: float,
    ) -> OverQuota:
        """Return a refusal whose caller returns after those refused before it.

        Callers of the same urgency return one after the other, at the rate; more urgent
        ones do not wait for others.
        """
        interval_s = 1 / policy.rate_per_s
        room_s = missing * interval_s
        earlier_s = [
            returns_s
            for other, returns_s in bucket.returns_s.items()
            if other <= priority
        ]
        returns_s = max([now_s + room_s, *earlier_s])
        latest_s = now_s + max(MAX_RETURN_S, room_s + interval_s)
        if returns_s + interval_s > latest_s:
            # More than return in order by then; these are spread over the same time.
            return OverQuota(self._rng.uniform(room_s, latest_s - now_s))
        bucket.returns_s[priority] = returns_s + interval_s
        return OverQuota(returns_s - now_s + self._rng.uniform(0, interval_s))


class FleetQuota:
    """What a daemon knows of the quotas of the workspaces whose requests it gets.

    ``started_s`` is when this daemon started.

    >>> tolerance = QuotaTolerance(window_s=5.0, overshoot=0.0, slack=8.0)
    >>> quota = WorkspacePolicy("ukara", frozenset(), rate_per_s=1.0, burst=2.0)
    >>> unreached = FleetQuota(tolerance, rng=random.Random(7))
    >>> [type(unreached.try_take(quota, daemons=2, now_s=0.0)).__name__ for _ in "abc"]
    ['QuotaTaken', 'QuotaTaken', 'OverQuota']
    """

    def __init__(
        self,
        tolerance: QuotaTolerance,
        *,
        rng: random.Random,
        started_s: float = -math.inf,
    ) -> None:
        self.tolerance = tolerance
        self._rng = rng
        self._started_s = started_s
        self._taken_s: dict[str, deque[float]] = {}
        self._draws: dict[str, tuple[float, float]] = {}
        self._most_daemons = 1

    def try_take(
        self, policy: WorkspacePolicy, *, daemons: int, now_s: float
    ) -> QuotaTaken | OverQuota:
        """Take a request from this daemon's part of the tolerance.

        It is for a daemon that reaches no coordinator. ``daemons`` is the number of
        daemons of the fleet; the highest one known counts. A part of less than one
        request in a window is taken with that probability.
        """
        window_s = self.tolerance.window_s
        self._most_daemons = max(self._most_daemons, daemons)
        is_first = now_s - self._started_s < window_s
        share = FIRST_UNREACHED_SHARE if is_first else UNREACHED_SHARE
        tolerated = share * self.tolerance.excess_of(policy)
        part, remainder = divmod(tolerated / self._most_daemons, 1.0)
        taken_s = self._taken_s.setdefault(policy.name, deque())
        while taken_s and taken_s[0] <= now_s - window_s:
            taken_s.popleft()
        if len(taken_s) >= part + (self._draw(policy.name, now_s) < remainder):
            waits_s = taken_s[0] + window_s - now_s if taken_s else window_s
            return OverQuota(self._rng.uniform(min(1.0, waits_s), waits_s))
        taken_s.append(now_s)
        return QuotaTaken(policy.name, now_s)

    def give_back(self, taken: QuotaTaken) -> None:
        """Return a request that no target ran and that no coordinator counted."""
        times_s = self._taken_s.get(taken.workspace)
        if taken.granted_by is None and times_s and taken.at_s in times_s:
            times_s.remove(taken.at_s)

    def retain(self, workspaces: Collection[str], *, now_s: float) -> None:
        """Forget the workspaces that the configuration no longer names."""
        oldest_s = now_s - self.tolerance.window_s
        for name, taken_s in list(self._taken_s.items()):
            if name not in workspaces and (not taken_s or taken_s[-1] < oldest_s):
                del self._taken_s[name]
                self._draws.pop(name, None)

    def _draw(self, workspace: str, now_s: float) -> float:
        """Return a number between 0 and 1 that holds for a window."""
        drawn_s, number = self._draws.get(workspace, (-math.inf, 0.0))
        if now_s - drawn_s >= self.tolerance.window_s:
            drawn_s, number = now_s, self._rng.random()
            self._draws[workspace] = drawn_s, number
        return number
