"""A connection pool that reuses a connection only for requests it can be trusted with.

HTTP/1.1 identifies the request that an answer belongs to only by the order on the
connection. Bytes that a target sends after an answer would be taken for the answer to
the next request, so a connection that received any while idle is not reused. Bytes that
come later are recognised by the request's id, so a connection that has carried a
request is not reused for the same one. Requests of the native daemon have no id; for
them, bytes that come later cannot be distinguished from the answer.
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
    """A connector that closes pooled connections which an attempt must not use."""

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a pooled connection that the attempt may use, or a new one."""
        while True:
            connection = await super().connect(req, traces, timeout)
            trace = AttemptTrace.current()
            protocol = connection.protocol
            assert isinstance(protocol, BoundedResponseHandler)
            may_carry = protocol.history.may_carry(trace.request_id)
            if may_carry and not protocol.should_close:
                trace.use_connection(protocol.history)
                protocol.request_id_header = trace.request_id_header
                return connection
            connection.close()
            trace.discard_connection()
