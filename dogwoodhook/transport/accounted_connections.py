"""Connections of callers whose memory counts in the daemon's account.

Received bytes are parsed when the account admits their cost, and costly ones within
the work of one pass of the event loop. Until then the connection is not read.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo

from dogwoodhook.state.caller_memory import (
    CONNECTION_BYTES,
    LARGE_BODY_BYTES,
    Holding,
    body_cost,
    head_cost,
)
from dogwoodhook.transport.bounded_requests import BoundedRequestHandler
from dogwoodhook.transport.caller_pressure import CallerPressure, RefusalReason

BODY_BUFFER_BYTES = 64 * 1024
"""Size of the library's buffer for a body; reading stops at twice this size, or after
4,096 chunks."""

READ_BYTES = 64 * 1024
"""Most bytes that are read from a connection at once."""

READ_BYTES_IN_PARTS = 8 * 1024
"""The same for a body in small chunks, and where the account is partly used."""

SMALL_CHUNK_BYTES = 64
"""Received bytes for each line of a body below which it counts as one of small
chunks."""


class RefusedForMemoryError(Exception):
    """The request was refused in favour of others while its body was incomplete."""


class BodyTooLargeError(Exception):
    """The body exceeds the configuration's limit."""


class AccountedRequestHandler(BoundedRequestHandler):
    """The server side of a caller's connection; counts what is held for it."""

    __slots__ = (
        "_answer_bytes",
        "_answered",
        "_body_bytes",
        "_counted_bytes",
        "_exceeds_body_limit",
        "_head_lines",
        "_heads",
        "_is_admitted",
        "_is_counted",
        "_is_last_chunked",
        "_pressure",
        "_since_s",
        "_waiting_bytes",
        "is_refused",
        "waiting_cost",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        pressure: CallerPressure,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        super().__init__(manager, loop=loop, read_bufsize=BODY_BUFFER_BYTES, **options)
        self._pressure = pressure
        # The costs of the heads that are kept, each with its body: those without an
        # answer, and the last one with an answer, which the library keeps.
        self._heads: deque[tuple[int, StreamReader]] = deque()
        self._answered = 0
        self._answer_bytes = 0
        self._body_bytes = 0
        self._counted_bytes = 0
        self._head_lines = 0
        self._is_admitted = False
        self._is_counted = False
        self._is_last_chunked = False
        self._since_s = 0.0
        self._waiting_bytes = b""
        self._exceeds_body_limit = False
        self.is_refused = False
        # The cost in bytes and the lines of what waits to be parsed.
        self.waiting_cost = (0, 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; close it if there are too many."""
        super().connection_made(transport)
        assert self.transport is not None
        if not self._pressure.open(self):
            self.transport.abort()
            return
        self._since_s = self._loop.time()
        self._is_counted = True
        self._limit_reads()
        self._count()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting."""
        self._pressure.close(self)
        self._pressure.memory.change(-self._counted_bytes)
        self._counted_bytes = 0
        self._is_counted = False
        self._waiting_bytes = b""
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes, or let them wait until there is room."""
        if data and not self._is_admitted and not self._takes(data):
            return
        was_empty = not self._messages and not self._head_bytes
        first_new = len(self._messages)
        super().data_received(data)
        if was_empty and (self._messages or self._head_bytes):
            self._since_s = self._loop.time()
        self._head_lines += data.count(b"\n")
        for message, body in list(self._messages)[first_new:]:
            self._head_lines = 0
            if isinstance(message, _ErrInfo):
                self._heads.append((0, body))
                continue
            raw = message.raw_headers
            size_bytes = len(message.path) + sum(len(line[0] + line[1]) for line in raw)
            cost_bytes = head_cost(lines=len(raw), size_bytes=size_bytes)
            self._heads.append((cost_bytes, body))
            self._is_last_chunked = message.chunked
        self._refuse_large_body()
        self._drop_answered_heads()
        self._count()

    def _takes(self, data: bytes) -> bool:
        """Return whether received bytes may be parsed now."""
        if self._is_lingering or self._is_refusing:
            return True
        if self._waiting_bytes:
            self._waiting_bytes += data
            self._record_waiting_cost()
            return False
        lines = self._count_lines(data)
        has_small_chunks = self._is_in_body and lines * SMALL_CHUNK_BYTES > len(data)
        self._limit_reads(in_parts=has_small_chunks)
        if self._pressure.may_parse(self._cost_bytes(data, lines), lines):
            return True
        self._waiting_bytes = data
        self._record_waiting_cost()
        self._pause_transport_reading()
        self._pressure.wait(self)
        return False

    def _record_waiting_cost(self) -> None:
        lines = self._count_lines(self._waiting_bytes)
        self.waiting_cost = (self._cost_bytes(self._waiting_bytes, lines), lines)
        self._count()

    @property
    def _is_in_body(self) -> bool:
        return not self._last_body.is_eof()

    def _count_lines(self, data: bytes) -> int:
        """Return the lines that the parser would find; none in an unchunked body."""
        if self._is_in_body and not self._is_last_chunked:
            return 0
        return data.count(b"\n")

    def _cost_bytes(self, data: bytes, lines: int) -> int:
        """Return the most memory that received bytes may take once parsed."""
        if self._is_in_body:
            cost_bytes = body_cost(pieces=lines // 2, size_bytes=len(data))
        else:
            cost_bytes = head_cost(lines=lines, size_bytes=len(data))
        # What alone is more than half of the limit would wait for ever.
        return min(cost_bytes, self._pressure.memory.limit_bytes // 2)

    def parse_waiting(self) -> None:
        """Parse what waits, and read on."""
        data, self._waiting_bytes = self._waiting_bytes, b""
        self._is_admitted = True
        try:
            self.data_received(data)
        finally:
            self._is_admitted = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._waiting_bytes:
            super()._resume_transport_reading()

    def _limit_reads(self, *, in_parts: bool = False) -> None:
        in_parts = in_parts or not self._pressure.memory.reads_large_parts
        if self.transport is not None:
            # The event loop's own limit is 256 KiB; others ignore the attribute.
            self.transport.max_size = (  # type: ignore[attr-defined]
                READ_BYTES_IN_PARTS if in_parts else READ_BYTES
            )

    def _refuse_large_body(self) -> None:
        """Stop reading a body that exceeds the configuration's limit."""
        body = self._last_body
        # Without a current request, the library reads and drops what follows.
        if body is EMPTY_PAYLOAD or self._current_request is None:
            return
        if self._exceeds_body_limit:
            return
        if body.total_bytes <= self._get_limits().max_body_bytes:
            return
        self._exceeds_body_limit = self._is_refusing = True
        self._pressure.record_refusal(RefusalReason.BODY_LIMIT)
        body.set_exception(BodyTooLargeError("the body is too large"))

    def _drop_answered_heads(self) -> None:
        while self._answered and len(self._heads) > 1:
            self._heads.popleft()
            self._answered -= 1

    def _count(self) -> None:
        """Count what is held now."""
        if not self._is_counted:
            return
        counted_bytes = CONNECTION_BYTES + self._answer_bytes + len(self._waiting_bytes)
        if self._head_bytes:
            counted_bytes += head_cost(
                lines=self._head_lines, size_bytes=self._head_bytes
            )
        for cost_bytes, body in self._heads:
            counted_bytes += cost_bytes
            if body is not EMPTY_PAYLOAD:
                counted_bytes += body_cost(
                    pieces=len(body._buffer), size_bytes=body._size
                )
        self._pressure.memory.change(counted_bytes - self._counted_bytes)
        self._counted_bytes = counted_bytes

    def hold_body(self, size_bytes: int) -> None:
        """Count bytes of a body that were read from the connection."""
        self._pressure.memory.change_bodies(size_bytes)
        self._body_bytes += size_bytes
        self._count()

    @property
    def holding(self) -> Holding:
        """Return what is held, and for how long the caller has been waited for."""
        bodies = (body for _, body in self._heads if not body.is_eof())
        is_at_target = self._current_request is not None and not any(bodies)
        if self.is_refused or is_at_target:
            return Holding(self._counted_bytes, None)
        held_bytes = self._counted_bytes + self._body_bytes
        return Holding(held_bytes, self._loop.time() - self._since_s)

    def refuse_for_memory(self) -> None:
        """Refuse the current request, or close the connection if there is none."""
        self.is_refused = self._is_refusing = True
        request = self._current_request
        if request is not None:
            request.content.set_exception(
                RefusedForMemoryError("refused for lack of memory")
            )
        elif self.transport is not None:
            self.transport.abort()

    @property
    def allows_large_body(self) -> bool:
        """Return whether a request with a large body may be started."""
        if self._pressure.memory.allows_large_body:
            return True
        self._pressure.record_refusal(RefusalReason.LARGE_BODY)
        return False

    async def linger(self) -> None:
        """Close the sending side and read on, except for a refused connection."""
        if self._waiting_bytes:
            self._waiting_bytes = b""
            self._resume_transport_reading()
        if self.is_refused:
            self.force_close()
            return
        await super().linger()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer, which is held until the caller has got it."""
        self._since_s = self._loop.time()
        if isinstance(resp, web.Response) and isinstance(resp.body, bytes):
            self._answer_bytes = len(resp.body)
        self._count()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._answer_bytes = 0
            self._answered += 1
            self._since_s = self._loop.time()
            self._drop_answered_heads()
            self._count()


def may_start_body(request: web.BaseRequest) -> bool:
    """Return whether there is room for a request's body."""
    protocol = request.protocol
    if not isinstance(protocol, AccountedRequestHandler) or not request.body_exists:
        return True
    length = request.content_length
    if length is not None and length <= LARGE_BODY_BYTES:
        return True
    return protocol.allows_large_body


def body_counter(request: web.BaseRequest) -> Callable[[int], None]:
    """Return the function that counts the bytes of a request's body."""
    protocol = request.protocol
    if isinstance(protocol, AccountedRequestHandler):
        return protocol.hold_body
    return lambda size_bytes: None


def exceeds_body_limit(request: web.BaseRequest) -> bool:
    """Return whether a body was cut off because it exceeded the limit."""
    return isinstance(request.content.exception(), BodyTooLargeError)
