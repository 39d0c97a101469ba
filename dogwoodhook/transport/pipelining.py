"""Pipelined requests: started when they are read, answered in their order.

aiohttp handles the requests of a connection one after the other, so a caller that
sends several before the first answer would wait for the sum of their times. Here
the idempotent ones among them are sent to targets at once, and their answers wait for
their turn.

A request that was started must be answered, so the connection is not closed after an
earlier answer. Where this cannot be guaranteed, no request is started early: while the
daemon stops, while an answer is streamed to the caller, since it may break off, and
behind a request whose answer may be large, so that it would have to be streamed.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from enum import StrEnum
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage, StreamWriter
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler

from dogwoodhook.transport.accounted_connections import AccountedRequestHandler
from dogwoodhook.transport.bounded_requests import GetLimits
from dogwoodhook.transport.caller_pressure import CallerPressure
from dogwoodhook.transport.listening import GracefulServer

MAX_PIPELINED = 16
"""Maximum number of requests of one connection that are started before their turn."""

_ARRIVED_S = web.RequestKey("arrived_s", float)
"""Key of the time at which a request's head was complete, on the event loop's clock."""

_ON_ANSWERED: web.RequestKey[list[Callable[[], None]]] = web.RequestKey("on_answered")
"""Key of the functions that are called once the request's answer has been written."""

Forward = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
MayStart = Callable[[web.BaseRequest], bool]
MayBeLarge = Callable[[web.BaseRequest], bool]
IsStopping = Callable[[], bool]


class ClosingReason(StrEnum):
    """Why a caller's connection was closed."""

    CALLER = "the caller"
    ANSWER = "the answer in front"
    BROKEN_ANSWER = "an answer that broke off"
    STOP = "the stop of the daemon"
    LIMIT = "a limit for all callers"


OnUnanswered = Callable[[web.BaseRequest, ClosingReason], None]


class PipelinedRequest(web.BaseRequest):
    """A request that may be forwarded before it is its turn to be answered."""

    def start(self, forward: Forward) -> None:
        """Start forwarding the request."""
        self._turn = asyncio.Event()
        self._answer = asyncio.ensure_future(forward(self))

    async def answer(self) -> web.StreamResponse:
        """Return the answer; called when it is the request's turn."""
        self._turn.set()
        return await self._answer

    async def wait_for_turn(self) -> None:
        """Wait until the answers before this one have been written."""
        await self._turn.wait()

    def cancel_forwarding(self) -> None:
        """Stop forwarding because the caller has disconnected."""
        self._answer.cancel()


class _PipelinedHandler(AccountedRequestHandler):
    """A connection that starts later requests while an earlier one is answered."""

    __slots__ = (
        "_arrived_s",
        "_closing_reason",
        "_forward",
        "_is_stopping",
        "_is_streaming",
        "_may_be_large",
        "_may_start",
        "_on_unanswered",
        "_started",
        "_unanswered",
    )

    def __init__(
        self,
        manager: "PipelinedServer",
        *,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        super().__init__(
            manager,
            get_limits=manager.get_limits,
            pressure=manager.pressure,
            loop=loop,
            **options,
        )
        self._arrived_s: dict[int, float] = {}
        self._started: dict[int, PipelinedRequest] = {}
        self._forward = manager.forward
        self._may_start = manager.may_start
        self._may_be_large = manager.may_be_large
        self._is_stopping = manager.is_stopping
        self._on_unanswered = manager.on_unanswered
        self._is_streaming = False
        self._unanswered: dict[int, web.BaseRequest] = {}
        self._closing_reason: ClosingReason | None = None

    @property
    def has_started_behind(self) -> bool:
        """Return whether requests behind the current one have been started."""
        return bool(self._started)

    @property
    def has_unanswered(self) -> bool:
        """Return whether a received request still lacks its complete answer.

        A request also counts as unanswered while its answer may still be lost on the
        way to the caller.
        """
        if self._is_lingering or self._unanswered or self._messages:
            return True
        return self.has_unsent

    def count_unanswered(self) -> int:
        """Return the number of requests that were started without a complete answer."""
        return len(self._unanswered)

    def start_streaming(self) -> None:
        """Start no further requests until the current answer has been streamed."""
        self._is_streaming = True

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes, and start the requests that may start early."""
        super().data_received(data)
        self._start_waiting_requests()

    def _record_arrivals(self) -> None:
        now_s = self._loop.time()
        for message, _ in reversed(self._messages):
            if id(message) in self._arrived_s:
                return
            self._arrived_s[id(message)] = now_s

    def _start_waiting_requests(self) -> None:
        self._record_arrivals()
        if self._is_streaming or self._is_stopping():
            return
        front: web.BaseRequest | None = self._current_request
        for index, (message, payload) in enumerate(self._messages):
            if front is not None and self._may_be_large(front):
                return
            if len(self._started) >= MAX_PIPELINED:
                return
            if not isinstance(message, RawRequestMessage):
                return
            front = self._started.get(id(message))
            if front is None:
                front = self._make_request(message, payload)
                # While no request is being answered, the first one is handled next.
                is_next = index == 0 and self._current_request is None
                if not is_next and payload is EMPTY_PAYLOAD:
                    self._start_if_allowed(front, message)

    def _make_request(
        self, message: RawRequestMessage, payload: StreamReader
    ) -> PipelinedRequest:
        return PipelinedRequest(
            message,
            payload,
            self,
            StreamWriter(self, self._loop),
            self._task_handler,  # type: ignore[arg-type]
            self._loop,
        )

    def _start_if_allowed(
        self, request: PipelinedRequest, message: RawRequestMessage
    ) -> None:
        if self._may_start(request):
            request[_ARRIVED_S] = self._arrived_s[id(message)]
            self.track_unanswered(request)
            request.start(self._forward)
            self._started[id(message)] = request

    def track_unanswered(self, request: web.BaseRequest) -> None:
        """Keep track of a request until its answer has been written."""
        self._unanswered[id(request)] = request

    def record_closing_reason(self, reason: ClosingReason) -> None:
        """Record why the connection is about to be closed, unless already recorded."""
        if self._closing_reason is None:
            self._closing_reason = reason

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer; during a stop, close the connection after the last one."""
        if self._is_stopping() and not self._started and not resp.prepared:
            resp.force_close()
        finished, is_reset = await super().finish_response(request, resp, start_time)
        _run_answered_callbacks(request)
        self._is_streaming = False
        if self.is_open and not is_reset:
            self._unanswered.pop(id(request), None)
            if not finished.keep_alive:
                self.record_closing_reason(ClosingReason.ANSWER)
                await self.linger()
        self._start_waiting_requests()
        return finished, is_reset

    def refuse_for_memory(self) -> None:
        """Refuse the current request, or close the connection."""
        self.record_closing_reason(ClosingReason.LIMIT)
        super().refuse_for_memory()

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Close the connection because the daemon stops."""
        self.record_closing_reason(ClosingReason.STOP)
        await super().shutdown(timeout)

    def take_arrival(self, message: RawRequestMessage) -> float:
        """Remove and return the arrival time of a message whose turn has come."""
        return self._arrived_s.pop(id(message), self._loop.time())

    def take_started(self, message: RawRequestMessage) -> PipelinedRequest | None:
        """Remove and return the request started early for a message, if any."""
        return self._started.pop(id(message), None)

    def connection_lost(self, exc: BaseException | None) -> None:
        for request in self._unanswered.values():
            _run_answered_callbacks(request)
            self._on_unanswered(request, self._closing_reason or ClosingReason.CALLER)
        self._unanswered.clear()
        for started in self._started.values():
            started.cancel_forwarding()
        self._started.clear()
        super().connection_lost(exc)


def abort_caller_connection(request: web.BaseRequest) -> None:
    """Abort the connection, so that the caller sees that the answer is incomplete."""
    record_closing_reason(request, ClosingReason.BROKEN_ANSWER)
    if request.transport is not None:
        request.transport.abort()


class PipelinedServer(GracefulServer):
    """A server that may forward several requests of a connection at the same time.

    ``may_start`` returns whether a request may be forwarded before its turn,
    ``may_be_large`` whether its answer may be large, and ``is_stopping`` whether
    connections are to be closed. ``on_unanswered`` is called
    for each request whose connection was closed before its complete answer had been
    written. ``get_limits`` returns the limits for callers' requests now in force, and
    ``pressure`` has the account of what is held for all callers.
    """

    def __init__(
        self,
        forward: Forward,
        *,
        may_start: MayStart,
        may_be_large: MayBeLarge,
        is_stopping: IsStopping,
        on_unanswered: OnUnanswered,
        get_limits: GetLimits,
        pressure: CallerPressure,
        **options: Any,
    ) -> None:
        super().__init__(self._handle, request_factory=self._request, **options)
        self.forward = forward
        self.may_start = may_start
        self.may_be_large = may_be_large
        self.is_stopping = is_stopping
        self.on_unanswered = on_unanswered
        self.get_limits = get_limits
        self.pressure = pressure

    @property
    def has_unanswered(self) -> bool:
        """Return whether any connection has a request without a complete answer."""
        return any(each.has_unanswered for each in self._handlers())

    def count_unanswered(self) -> int:
        """Return the number of requests without a complete answer."""
        return sum(each.count_unanswered() for each in self._handlers())

    def _handlers(self) -> Iterator[_PipelinedHandler]:
        for connection in self.connections:
            assert isinstance(connection, _PipelinedHandler)
            yield connection

    def has_unanswered_request(self, connection: RequestHandler) -> bool:
        """Return whether a connection has a request without a complete answer."""
        assert isinstance(connection, _PipelinedHandler)
        return connection.has_unanswered

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return _PipelinedHandler(self, loop=self._loop, **self._kwargs)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if not isinstance(request, PipelinedRequest):
            return await self.forward(request)
        try:
            return await request.answer()
        except asyncio.CancelledError:
            request.cancel_forwarding()
            raise

    def _request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        assert isinstance(protocol, _PipelinedHandler)
        arrived_s = protocol.take_arrival(message)
        started = protocol.take_started(message)
        if started is not None:
            return started
        request = web.BaseRequest(message, payload, protocol, writer, task, self._loop)
        request[_ARRIVED_S] = arrived_s
        protocol.track_unanswered(request)
        return request


def call_when_answered(request: web.BaseRequest, callback: Callable[[], None]) -> None:
    """Call a function once the answer has been written or the connection has closed."""
    if request.transport is None:
        callback()
    else:
        request.setdefault(_ON_ANSWERED, []).append(callback)


def _run_answered_callbacks(request: web.BaseRequest) -> None:
    for callback in request.pop(_ON_ANSWERED, ()):
        callback()


def has_started_behind(request: web.BaseRequest) -> bool:
    """Return whether requests behind this one, whose turn it is, have been started."""
    protocol = request.protocol
    return isinstance(protocol, _PipelinedHandler) and protocol.has_started_behind


def waited_s(request: web.BaseRequest) -> float:
    """Return how long ago a request's head was complete."""
    now_s = asyncio.get_running_loop().time()
    arrived_s: float = request.get(_ARRIVED_S, now_s)
    return now_s - arrived_s


def start_streaming(request: web.BaseRequest) -> None:
    """Start no further requests of the connection while this answer is streamed."""
    protocol = request.protocol
    if isinstance(protocol, _PipelinedHandler):
        protocol.start_streaming()


def record_closing_reason(request: web.BaseRequest, reason: ClosingReason) -> None:
    """Record why the connection of a request is about to be closed."""
    protocol = request.protocol
    if isinstance(protocol, _PipelinedHandler):
        protocol.record_closing_reason(reason)
