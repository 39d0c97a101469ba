"""Group commit: writes of several tasks share one transaction.

The table accepts only several hundred writes a second from the whole fleet. While
one commit is under way, further writes are queued and committed together in the
next transaction. Each write keeps its own condition: a condition that no longer
holds fails its write and not the others.
"""

import asyncio
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.platform import (
    ABSENT_VERSION,
    CommitError,
    Committed,
    Condition,
    Conflict,
    OutcomeUnknown,
    Platform,
    Transaction,
    Unavailable,
    Write,
    commit_resolved,
    new_token,
)
from dogwoodhook.coordination.rows import Row

MAX_GROUP_WRITES = 100
"""Most writes in one transaction."""

MAX_GROUP_ATTEMPTS = 3
"""Attempts to commit a group, each without the writes that conflicted before.

After these, the remaining writes are committed one by one.
"""

BURST_COMMITS = 5.0
"""Commits that a daemon may make at once after an idle period."""


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """A row to store, if the stored version is still the one given.

    A ``value`` of ``None`` deletes the row.
    """

    key: str
    version: int
    value: Row | None


WriteResult = Result[Committed, CommitError]


@dataclass(eq=False, slots=True)
class _Pending:
    write: ConditionalWrite
    future: asyncio.Future[WriteResult]

    def resolve(self, result: WriteResult) -> None:
        if not self.future.done():
            self.future.set_result(result)


@dataclass(slots=True)
class _RateLimiter:
    """Token bucket over commits; no limit where ``commits_per_s`` is ``None``."""

    clock: Clock
    commits_per_s: float | None
    tokens: float = BURST_COMMITS
    filled_at_s: float = field(default=0.0)

    def take(self) -> float:
        """Take a token and return the seconds to wait until it is available."""
        if self.commits_per_s is None:
            return 0.0
        now_s = self.clock.now_s()
        refilled = self.tokens + (now_s - self.filled_at_s) * self.commits_per_s
        self.tokens = min(refilled, BURST_COMMITS) - 1
        self.filled_at_s = now_s
        return max(0.0, -self.tokens / self.commits_per_s)


class GroupCommitter:
    """Collects conditional writes and commits them in groups.

    ``commits_per_s`` is this daemon's share of the table's write rate.
    """

    def __init__(
        self, platform: Platform, clock: Clock, *, commits_per_s: float | None = None
    ) -> None:
        self._platform = platform
        self._queue: deque[_Pending] = deque()
        self._rate_limiter = _RateLimiter(
            clock, commits_per_s, filled_at_s=clock.now_s()
        )
        self._task: asyncio.Task[None] | None = None

    async def write(self, write: ConditionalWrite) -> WriteResult:
        """Commit one write, possibly together with others.

        Cancellation of the caller does not cancel the write: it may still take effect.
        """
        future: asyncio.Future[WriteResult] = asyncio.get_running_loop().create_future()
        self._queue.append(_Pending(write, future))
        if self._task is None:
            self._task = asyncio.create_task(self._commit_queued())
        return await future

    async def _commit_queued(self) -> None:
        group: Sequence[_Pending] = ()
        try:
            while self._queue:
                await asyncio.sleep(self._rate_limiter.take())
                group = self._take_group()
                await self._commit_group(group)
        finally:
            self._task = None
            for pending in (*group, *self._queue):
                pending.resolve(Error(OutcomeUnknown("the commit was interrupted")))
            self._queue.clear()

    def _take_group(self) -> list[_Pending]:
        """Remove and return writes from the queue, at most one for each row."""
        group: dict[str, _Pending] = {}
        deferred: deque[_Pending] = deque()
        while self._queue and len(group) < MAX_GROUP_WRITES:
            pending = self._queue.popleft()
            if pending.write.key in group:
                deferred.append(pending)
                continue
            group[pending.write.key] = pending
        self._queue.extendleft(reversed(deferred))
        return list(group.values())

    async def _commit_group(self, group: Sequence[_Pending]) -> None:
        for _ in range(MAX_GROUP_ATTEMPTS):
            result = await self._commit(group)
            match result:
                case Result(tag="error", error=Conflict()) if len(group) > 1:
                    group = await self._resolve_conflicting(group)
                case _:
                    _resolve_all(group, result)
                    return
            if not group:
                return
        for pending in group:
            pending.resolve(await self._commit([pending]))

    async def _commit(self, group: Sequence[_Pending]) -> WriteResult:
        writes = [pending.write for pending in group]
        transaction = Transaction(
            conditions=tuple(Condition(each.key, each.version) for each in writes),
            writes=tuple(Write(each.key, each.value) for each in writes),
            token=new_token(),
        )
        return await commit_resolved(self._platform, transaction)

    async def _resolve_conflicting(self, group: Sequence[_Pending]) -> list[_Pending]:
        """Fail the writes whose condition no longer holds and return the others."""
        match await self._platform.read([pending.write.key for pending in group]):
            case Result(tag="ok", ok=rows):
                pass
            case _:
                _resolve_all(group, Error(Unavailable("the table is unreachable")))
                return []
        unchanged = []
        for pending in group:
            row = rows.get(pending.write.key)
            version = row.version if row else ABSENT_VERSION
            if version == pending.write.version:
                unchanged.append(pending)
                continue
            pending.resolve(Error(Conflict(pending.write.key)))
        return unchanged


def _resolve_all(group: Sequence[_Pending], result: WriteResult) -> None:
    for pending in group:
        match result:
            case Result(tag="ok", ok=committed):
                pending.resolve(Ok(committed))
            case Result(error=error):
                pending.resolve(Error(error))
