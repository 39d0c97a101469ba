"""Pooled connections that stayed quiet while nobody used them.

HTTP/1.1 has no way to tell which request an answer belongs to but its place on
the connection. Bytes that a target sends after an answer would be taken for the
answer to the next request, so a connection that received any is not used again.
"""

import aiohttp
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from dogwoodhook.transport.bounded_answers import BoundedConnector
from dogwoodhook.transport.resend_guard import AttemptTrace


class CleanReuseConnector(BoundedConnector):
    """A connector that closes a pooled connection with unread bytes.

    Bytes that are still on their way when the next request leaves cannot be told
    from its answer; only connections that are used once are free of that.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a quiet pooled connection or a new one."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is None or not protocol.should_close:
                return connection
            connection.close()
            AttemptTrace.current().discard_connection()
