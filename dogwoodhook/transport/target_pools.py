"""Connections to targets.

Requests that are not idempotent always get a fresh connection: a pooled one may
have been closed by the target, or gone silent, and the outcome would be unknown.
A fresh connection costs about 1 ms. Idempotent requests use a pool for each
target, which can be closed alone when one of its connections proves bad.
"""

import aiohttp

from dogwoodhook.state.model import Target
from dogwoodhook.transport.resend_guard import make_trace_config

KEEPALIVE_S = 10.0
"""Idle time after which a pooled connection is closed."""

CONNECT_TIMEOUT_S = 1.0


class TargetPools:
    """The sessions over which a daemon reaches its targets."""

    def __init__(self) -> None:
        self._pooled: dict[tuple[str, int], aiohttp.ClientSession] = {}
        self._fresh: aiohttp.ClientSession | None = None

    def session(
        self, target: Target, *, may_reuse: bool, max_connections: int
    ) -> aiohttp.ClientSession:
        """Return the session for an attempt; its pool is used if ``may_reuse``."""
        if not may_reuse:
            return self._fresh_session()
        key = (target.host, target.port)
        session = self._pooled.get(key)
        if session is None:
            session = _make_session(
                aiohttp.TCPConnector(
                    limit=max_connections, keepalive_timeout=KEEPALIVE_S
                )
            )
            self._pooled[key] = session
        return session

    async def close_pool(self, target: Target) -> None:
        """Close a target's pooled connections; later attempts get new ones."""
        session = self._pooled.pop((target.host, target.port), None)
        if session is not None:
            await session.close()

    async def close(self) -> None:
        """Close every connection."""
        sessions = list(self._pooled.values())
        if self._fresh is not None:
            sessions.append(self._fresh)
        self._pooled.clear()
        self._fresh = None
        for session in sessions:
            await session.close()

    def _fresh_session(self) -> aiohttp.ClientSession:
        if self._fresh is None:
            self._fresh = _make_session(aiohttp.TCPConnector(limit=0, force_close=True))
        return self._fresh


def _make_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        trace_configs=[make_trace_config()],
    )
