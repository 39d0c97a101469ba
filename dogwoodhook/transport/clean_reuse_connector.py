"""A connection pool that reuses only connections without unread bytes.

HTTP/1.1 identifies the request that an answer belongs to only by the order on the
connection. Bytes that a target sends after an answer would be taken for the answer to
the next request, so a connection that received any while idle is not reused.
"""

import aiohttp
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from dogwoodhook.transport.bounded_answers import BoundedConnector
from dogwoodhook.transport.resend_guard import AttemptTrace


class CleanReuseConnector(BoundedConnector):
    """A connector that closes a pooled connection with unread bytes.

    Bytes that arrive only after the next request was sent cannot be distinguished from
    its answer. Only connections that are used for a single request avoid this.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a pooled connection without unread bytes, or a new one."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is None or not protocol.should_close:
                return connection
            connection.close()
            AttemptTrace.current().discard_connection()
