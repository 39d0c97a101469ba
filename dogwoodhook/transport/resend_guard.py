"""Prevents the HTTP client library from sending a request twice.

aiohttp's client resends GET, HEAD, PUT and DELETE by itself when a connection
breaks before an answer. Which requests may be sent again is the operator's decision,
so each attempt carries an ``AttemptTrace`` and may use only one connection::

    trace = AttemptTrace()
    await session.request(
        "PUT", url, trace_request_ctx=trace, middlewares=(trace.block_resend,)
    )

The middleware blocks a resend before it takes a connection from the pool. The trace
hooks count connections and also block the resend of a request that was sent without
the middleware, but then a pooled connection stays open until its target closes it.
"""

from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass, field
from types import SimpleNamespace

import aiohttp

from dogwoodhook.state.connection_history import (
    NEW_CONNECTION,
    ConnectionHistory,
    ConnectionUse,
)


class NotWantedError(aiohttp.ClientError):
    """The request was no longer to be sent when its attempt got a connection.

    Its text says why.
    """


class ResendBlockedError(aiohttp.ClientError):
    """The client library was about to send a request for the second time."""

    def __init__(self) -> None:
        super().__init__("the connection broke before an answer")


@dataclass(slots=True)
class AttemptTrace:
    """Counts the sends and connections of one attempt.

    ``is_connected`` is true once the attempt holds a connection: from then on bytes of
    the request may have been sent. ``is_reused`` is true for a pooled connection.
    ``find_obstacle`` is called immediately before the first byte is sent, and returns
    why the request is no longer to be sent, or ``None``. ``use`` tells what the
    connection had carried before ``request_id``, which a target repeats in
    ``request_id_header``.
    """

    find_obstacle: Callable[[], str | None] = lambda: None
    sends: int = 0
    connections: int = 0
    is_connected: bool = False
    is_reused: bool = False
    request_id: str | None = None
    request_id_header: str | None = None
    use: ConnectionUse = NEW_CONNECTION
    _history: ConnectionHistory = field(default_factory=ConnectionHistory)

    async def block_resend(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send the request; a client middleware that raises on the second send."""
        self.sends += 1
        if self.sends > 1:
            raise ResendBlockedError
        _current_attempt.set(self)
        return await handler(request)

    @staticmethod
    def current() -> "AttemptTrace":
        """Return the trace of the attempt that the current task is sending."""
        return _current_attempt.get()

    def count_connection(self) -> None:
        """Count a connection; raise ``ResendBlockedError`` for the second one."""
        self.connections += 1
        if self.connections > 1:
            raise ResendBlockedError

    def check_wanted(self) -> None:
        """Raise ``NotWantedError`` if the request is no longer to be sent."""
        obstacle = self.find_obstacle()
        if obstacle is not None:
            self.is_connected = False
            raise NotWantedError(obstacle)

    def use_connection(self, history: ConnectionHistory) -> None:
        """Record the attempt's request in the history of its connection."""
        self.use = history.use_for(self.request_id)
        history.record_request(self.request_id)
        self._history = history

    @property
    def extra_answers(self) -> int:
        """Return how many answers to earlier requests came before this one's."""
        return self._history.extra_answers

    def record_refusal(self) -> None:
        """Record in the connection's history that the target refused the request."""
        self._history.record_refusal()

    def discard_connection(self) -> None:
        """Stop counting a connection that was closed before anything was sent on it."""
        self.connections -= 1
        self.is_connected = False
        self.is_reused = False


_current_attempt: ContextVar[AttemptTrace] = ContextVar("current_attempt")


def make_trace_config() -> aiohttp.TraceConfig:
    """Return the trace configuration for sessions that send requests to targets."""
    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(_on_create_start)
    config.on_connection_create_end.append(_on_create_end)
    config.on_connection_reuseconn.append(_on_reuse)
    config.on_request_headers_sent.append(_on_headers)
    return config


def _trace_of(context: SimpleNamespace) -> AttemptTrace:
    trace = context.trace_request_ctx
    if not isinstance(trace, AttemptTrace):
        raise TypeError(f"trace_request_ctx is {trace!r}, an AttemptTrace is needed")
    return trace


async def _on_create_start(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    _trace_of(context).count_connection()


async def _on_create_end(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    _trace_of(context).is_connected = True


async def _on_reuse(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionReuseconnParams,
) -> None:
    trace = _trace_of(context)
    trace.is_connected = True
    trace.is_reused = True
    trace.count_connection()


async def _on_headers(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    # Despite its name, the library sends this signal before the head is written.
    _trace_of(context).check_wanted()
