"""A connection pool that reuses only connections without unread bytes.

HTTP/1.1 identifies the request that an answer belongs to only by the order on the
connection. Bytes that a target sends after an answer would be taken for the answer to
the next request, so a connection that received any while idle is not reused.
"""

import aiohttp
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from dogwoodhook.transport.bounded_answers import (
    BoundedConnector,
    BoundedResponseHandler,
)
from dogwoodhook.transport.resend_guard import AttemptTrace


class CleanReuseConnector(BoundedConnector):
    """A connector that closes pooled connections with unread bytes before their reuse.

    Bytes that arrive only after the next request was sent cannot be distinguished from
    its answer. Only connections that are used for a single request avoid this.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a pooled connection without unread bytes, or a new one."""
        while True:
            connection = await super().connect(req, traces, timeout)
            trace = AttemptTrace.current()
            protocol = connection.protocol
            if protocol is None or not protocol.should_close:
                if isinstance(protocol, BoundedResponseHandler):
                    trace.use_connection(protocol.history)
                return connection
            connection.close()
            trace.discard_connection()
