"""HTTP sessions to targets."""

import aiohttp

from dogwoodhook.transport.resend_guard import make_trace_config

CONNECT_TIMEOUT_S = 1.0


def make_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    """Return a session that adds nothing to a request and never resends one."""
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        trace_configs=[make_trace_config()],
    )
