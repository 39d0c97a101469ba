"""Pipelined requests: begun when they are read, answered in their order.

aiohttp handles the requests of a connection one after the other. A caller that
sends several before the first answer would wait for the sum of their times. Here
the repeatable ones among them go to targets at once; only their answers wait.

A request that was begun is owed its answer, so the connection is not closed behind the
answer in front of it. Where that cannot be kept, nothing is begun: while the daemon
stops, and behind an answer that is passed on as it comes, which may break off.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage, StreamWriter
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler

from dogwoodhook.transport.bounded_requests import BoundedRequestHandler, GetLimits
from dogwoodhook.transport.listening import GracefulServer

MAX_BEGUN = 16
"""Requests of one connection that are at targets at the same time."""

LINGER_S = 1.0
"""Time for which a connection is read on after its last answer, and after what comes
then: some round trips, in which the caller reads the answer and closes."""

MAX_LINGER_S = 10.0
"""Time after which a caller that goes on sending is cut off."""

_ARRIVED_S = web.RequestKey("arrived_s", float)
"""Key of the time on the event loop's clock at which a request's head had come."""

Forward = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
MayBegin = Callable[[web.BaseRequest], bool]
IsStopping = Callable[[], bool]


class Closing(StrEnum):
    """Why a caller's connection was closed."""

    CALLER = "the caller"
    ANSWER = "the answer in front"
    BROKEN_ANSWER = "an answer that broke off"
    STOP = "the stop of the daemon"


OnUnanswered = Callable[[web.BaseRequest, Closing], None]


class PipelinedRequest(web.BaseRequest):
    """A request that may be begun before its turn to be answered comes."""

    def begin(self, forward: Forward) -> None:
        """Start to forward the request."""
        self._turn = asyncio.Event()
        self._answer = asyncio.ensure_future(forward(self))

    async def answer(self) -> web.StreamResponse:
        """Return the answer, now that its turn has come."""
        self._turn.set()
        return await self._answer

    async def wait_for_turn(self) -> None:
        """Wait until the answers before this one have been written."""
        await self._turn.wait()

    def abandon(self) -> None:
        """Stop forwarding: the caller has left."""
        self._answer.cancel()


class _PipelinedHandler(BoundedRequestHandler):
    """A connection that begins the requests behind the one it answers."""

    __slots__ = (
        "_arrived_s",
        "_begun",
        "_closing",
        "_forward",
        "_has_received",
        "_is_lingering",
        "_is_stopping",
        "_is_streaming",
        "_may_begin",
        "_on_unanswered",
        "_open",
    )

    def __init__(
        self,
        manager: "PipelinedServer",
        *,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        super().__init__(manager, get_limits=manager.get_limits, loop=loop, **options)
        self._arrived_s: dict[int, float] = {}
        self._begun: dict[int, PipelinedRequest] = {}
        self._forward = manager.forward
        self._may_begin = manager.may_begin
        self._is_stopping = manager.is_stopping
        self._on_unanswered = manager.on_unanswered
        self._is_streaming = False
        self._is_lingering = False
        self._has_received = False
        self._open: dict[int, web.BaseRequest] = {}
        self._closing: Closing | None = None

    @property
    def has_begun_behind(self) -> bool:
        """Tell whether requests behind the current one are at targets."""
        return bool(self._begun)

    @property
    def has_unanswered(self) -> bool:
        """Tell whether a request that has come still waits for its whole answer.

        That goes on while the answer may be lost on its way to the caller.
        """
        if self._is_lingering or self._open or self._messages:
            return True
        return self._has_unsent

    def begin_streaming(self) -> None:
        """Begin nothing more until the current answer, passed on as it comes, ends."""
        self._is_streaming = True

    def data_received(self, data: bytes) -> None:
        """Parse what came, and begin the requests that may be."""
        self._has_received = True
        super().data_received(data)
        self._begin_waiting()

    def _note_arrivals(self) -> None:
        now_s = self._loop.time()
        for message, _ in reversed(self._messages):
            if id(message) in self._arrived_s:
                return
            self._arrived_s[id(message)] = now_s

    def _begin_waiting(self) -> None:
        self._note_arrivals()
        if self._is_streaming or self._is_stopping():
            return
        # While nothing is being answered, the first message is next anyway.
        next_ones = 1 if self._current_request is None else 0
        for message, payload in itertools.islice(self._messages, next_ones, None):
            if len(self._begun) >= MAX_BEGUN:
                return
            if id(message) not in self._begun and payload is EMPTY_PAYLOAD:
                self._begin(message, payload)

    def _begin(self, message: Any, payload: StreamReader) -> None:
        if not isinstance(message, RawRequestMessage):
            return
        request = PipelinedRequest(
            message,
            payload,
            self,
            StreamWriter(self, self._loop),
            self._task_handler,  # type: ignore[arg-type]
            self._loop,
        )
        if self._may_begin(request):
            request[_ARRIVED_S] = self._arrived_s[id(message)]
            self.note_open(request)
            request.begin(self._forward)
            self._begun[id(message)] = request

    def note_open(self, request: web.BaseRequest) -> None:
        """Keep a request until its answer has been written."""
        self._open[id(request)] = request

    def note_closing(self, closing: Closing) -> None:
        """Note why the connection is about to be closed; the first reason counts."""
        if self._closing is None:
            self._closing = closing

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer; while the daemon stops, the last one that is owed closes."""
        if self._is_stopping() and not self._begun and not resp.prepared:
            resp.force_close()
        finished, is_reset = await super().finish_response(request, resp, start_time)
        self._is_streaming = False
        is_open = self.transport is not None and not self.transport.is_closing()
        if is_open and not is_reset:
            self._open.pop(id(request), None)
            if not finished.keep_alive:
                self.note_closing(Closing.ANSWER)
                await self._linger()
        self._begin_waiting()
        return finished, is_reset

    async def _linger(self) -> None:
        """Close the sending side, and read on until the caller closes, too.

        A connection that is closed with unread bytes is reset, and an answer that the
        caller has not read yet is lost with it.
        """
        assert self.transport is not None
        self._is_lingering = self._has_received = True
        # Discards what comes from now on.
        self.close()
        self._messages.clear()
        self.transport.write_eof()
        if self._reading_paused:
            # A body that nobody takes any more held it back.
            self.resume_reading(resume_parser=False)
        if self._buffer_paused:
            self._resume_reading_for_buffer()
        until_s = self._loop.time() + MAX_LINGER_S
        while self._is_active and self._loop.time() < until_s:
            self._has_received = False
            await asyncio.sleep(LINGER_S)
        self._is_lingering = False
        self.force_close()

    @property
    def _is_active(self) -> bool:
        """Tell whether bytes still come, or wait to be written."""
        return self._has_received or self._has_unsent

    @property
    def _has_unsent(self) -> bool:
        if self.transport is None:
            return False
        return self.transport.get_write_buffer_size() > 0

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Close the connection because the daemon stops."""
        self.note_closing(Closing.STOP)
        if self._is_lingering:
            # Its answer has been written; the caller alone is waited for.
            self.force_close()
            return
        await super().shutdown(timeout)

    def take_arrival(self, message: RawRequestMessage) -> float:
        """Return when a message came, whose turn has come."""
        return self._arrived_s.pop(id(message), self._loop.time())

    def take_begun(self, message: RawRequestMessage) -> PipelinedRequest | None:
        """Return the request that was begun with a message, whose turn has come."""
        return self._begun.pop(id(message), None)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._is_lingering = False
        for request in self._open.values():
            self._on_unanswered(request, self._closing or Closing.CALLER)
        self._open.clear()
        for begun in self._begun.values():
            begun.abandon()
        self._begun.clear()
        super().connection_lost(exc)


def abort_caller_connection(request: web.BaseRequest) -> None:
    """Break the caller's connection, so that an unfinished answer shows as such."""
    note_closing(request, Closing.BROKEN_ANSWER)
    if request.transport is not None:
        request.transport.abort()


class PipelinedServer(GracefulServer):
    """A server whose ``forward`` may be called for several requests at once.

    ``may_begin`` tells which requests may be forwarded before their turn, and
    ``is_stopping`` whether connections are to be closed.
    ``on_unanswered`` is called for each request whose connection was closed before
    its whole answer had been written. ``get_limits`` returns what callers may send now.
    """

    def __init__(
        self,
        forward: Forward,
        *,
        may_begin: MayBegin,
        is_stopping: IsStopping,
        on_unanswered: OnUnanswered,
        get_limits: GetLimits,
        **options: Any,
    ) -> None:
        super().__init__(self._handle, request_factory=self._request, **options)
        self.forward = forward
        self.may_begin = may_begin
        self.is_stopping = is_stopping
        self.on_unanswered = on_unanswered
        self.get_limits = get_limits

    @property
    def has_unanswered(self) -> bool:
        """Tell whether a request of any connection waits for its whole answer."""
        return any(map(self.has_unanswered_request, self.connections))

    def has_unanswered_request(self, connection: RequestHandler) -> bool:
        """Tell whether a request of a connection waits for its whole answer."""
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
            request.abandon()
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
        begun = protocol.take_begun(message)
        if begun is not None:
            return begun
        request = web.BaseRequest(message, payload, protocol, writer, task, self._loop)
        request[_ARRIVED_S] = arrived_s
        protocol.note_open(request)
        return request


def has_begun_behind(request: web.BaseRequest) -> bool:
    """Tell whether requests behind this one, whose turn it is, are at targets."""
    protocol = request.protocol
    return isinstance(protocol, _PipelinedHandler) and protocol.has_begun_behind


def waited_s(request: web.BaseRequest) -> float:
    """Return how long a request has waited for its turn."""
    now_s = asyncio.get_running_loop().time()
    arrived_s: float = request.get(_ARRIVED_S, now_s)
    return now_s - arrived_s


def begin_streaming(request: web.BaseRequest) -> None:
    """Note that a request's answer is passed on as it comes from now on."""
    protocol = request.protocol
    if isinstance(protocol, _PipelinedHandler):
        protocol.begin_streaming()


def note_closing(request: web.BaseRequest, closing: Closing) -> None:
    """Note why the connection of a request is about to be closed."""
    protocol = request.protocol
    if isinstance(protocol, _PipelinedHandler):
        protocol.note_closing(closing)
