"""Connections to targets.

Requests that are not idempotent always get a new connection: a pooled one may have
been closed by the target, or no longer respond, and then the outcome is unknown. A new
connection costs about 1 ms. Idempotent requests use a pool for each target. When one
connection of a pool fails, that pool is retired and those of other targets stay.
"""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp

from dogwoodhook.state.model import Target
from dogwoodhook.transport.bounded_answers import BoundedConnector
from dogwoodhook.transport.clean_reuse_connector import CleanReuseConnector
from dogwoodhook.transport.target_sessions import make_session

KEEPALIVE_S = 10.0
"""Idle time after which a pooled connection is closed."""


@dataclass(slots=True)
class _Pool:
    """A session, with the number of attempts that use it now."""

    session: aiohttp.ClientSession
    attempts: int = 0
    is_retired: bool = False


class TargetPools:
    """The sessions over which a daemon reaches its targets."""

    def __init__(self) -> None:
        self._pooled: dict[tuple[str, int], _Pool] = {}
        self._retired: set[aiohttp.ClientSession] = set()
        self._fresh: aiohttp.ClientSession | None = None

    @asynccontextmanager
    async def session(
        self, target: Target, *, may_reuse: bool, max_connections: int
    ) -> AsyncIterator[aiohttp.ClientSession]:
        """Provide a session for an attempt, from the pool only if ``may_reuse``."""
        if not may_reuse:
            yield self._fresh_session()
            return
        pool = self._pool(target, max_connections)
        pool.attempts += 1
        try:
            yield pool.session
        finally:
            pool.attempts -= 1
            await self._close_if_unused(pool)

    def retire_pool(self, target: Target) -> None:
        """Stop using a target's pooled connections for new attempts.

        The connections are closed once the attempts in flight have ended.
        """
        pool = self._pooled.pop((target.host, target.port), None)
        if pool is not None:
            pool.is_retired = True
            self._retired.add(pool.session)

    async def retain(self, targets: Iterable[Target]) -> None:
        """Retire the pools of all targets except these."""
        kept = {(target.host, target.port) for target in targets}
        for key in self._pooled.keys() - kept:
            pool = self._pooled.pop(key)
            pool.is_retired = True
            self._retired.add(pool.session)
            await self._close_if_unused(pool)

    async def close(self) -> None:
        """Close every connection."""
        sessions = [pool.session for pool in self._pooled.values()]
        sessions += self._retired
        if self._fresh is not None:
            sessions.append(self._fresh)
        self._pooled.clear()
        self._retired.clear()
        self._fresh = None
        for session in sessions:
            await session.close()

    async def _close_if_unused(self, pool: _Pool) -> None:
        if pool.is_retired and not pool.attempts:
            self._retired.discard(pool.session)
            await pool.session.close()

    def _pool(self, target: Target, max_connections: int) -> _Pool:
        key = (target.host, target.port)
        pool = self._pooled.get(key)
        if pool is None:
            connector = CleanReuseConnector(
                limit=max_connections, keepalive_timeout=KEEPALIVE_S
            )
            pool = _Pool(make_session(connector))
            self._pooled[key] = pool
        return pool

    def _fresh_session(self) -> aiohttp.ClientSession:
        if self._fresh is None:
            self._fresh = make_session(BoundedConnector(limit=0, force_close=True))
        return self._fresh
