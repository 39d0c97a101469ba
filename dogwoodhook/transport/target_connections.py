"""Pooled connections to targets, reused by any request until they have been idle long.

A target closes its idle connections after a timeout. A connection that has been idle
for almost that long is not reused, so that no request is sent while the target closes
it. Where a target's idle connections were reset, each request gets a new connection.
"""

import aiohttp

from dogwoodhook.clock import Clock
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.transport.bounded_answers import BoundedConnector
from dogwoodhook.transport.clean_reuse_connector import CleanReuseConnector
from dogwoodhook.transport.target_sessions import make_session

IDLE_REUSE_S = 9.0
"""Idle time after which a connection is closed; targets close theirs after 10 s."""

MAX_CONNECTIONS_PER_TARGET = 32
"""Connections from one daemon to one target; all daemons share the target's limit."""


class TargetConnections:
    """One connection pool for all targets, and a record of idle connections."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None
        self._single_use: aiohttp.ClientSession | None = None
        self._idle_until_s: dict[str, float] = {}

    def session(self, *, may_use_idle: bool) -> aiohttp.ClientSession:
        """Return the session for an attempt; it opens a new connection if needed."""
        if not may_use_idle:
            if self._single_use is None:
                self._single_use = make_session(
                    BoundedConnector(
                        limit=0,
                        limit_per_host=MAX_CONNECTIONS_PER_TARGET,
                        force_close=True,
                    )
                )
            return self._single_use
        if self._session is None:
            connector = CleanReuseConnector(
                limit=0,
                limit_per_host=MAX_CONNECTIONS_PER_TARGET,
                keepalive_timeout=IDLE_REUSE_S,
            )
            self._session = make_session(connector)
        return self._session

    def has_idle(self, target: TargetEntry) -> bool:
        """Return whether an idle connection to a target probably exists."""
        return self._idle_until_s.get(target.address, 0.0) > self._clock.now_s()

    def record_use(self, target: TargetEntry) -> None:
        """Record that an idle connection to a target, if there was one, is in use."""
        self._idle_until_s.pop(target.address, None)

    def record_idle(self, target: TargetEntry) -> None:
        """Record that a connection to a target is idle again."""
        self._idle_until_s[target.address] = self._clock.now_s() + IDLE_REUSE_S

    async def close(self) -> None:
        """Close every connection."""
        for session in (self._session, self._single_use):
            if session is not None:
                await session.close()
