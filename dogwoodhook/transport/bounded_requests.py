"""Connections of callers, with limits on the size and time of heads and on idle time.

The server library limits the length of each line of a head and the number of lines, and
treats a head that stalls as an idle connection. Here the configuration in force limits
the complete head in bytes and in time. A request beyond these limits is refused after
the requests in front of it have been answered.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http import HttpProcessingError, RawRequestMessage
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo

from dogwoodhook.events import REQUEST_MALFORMED, log
from dogwoodhook.state.route_policy import CallerLimits
from dogwoodhook.transport.framing import HEAD_END, LINE_END, last_bytes
from dogwoodhook.transport.lingering import LingeringHandler

MAX_LINE_BYTES = 1024 * 1024
"""The parser's limit for a line, above the head limit of any configuration."""

MAX_LINES = 256 * 1024
"""The parser's limit for the lines of a head; never reached, since a head may not have
that many bytes."""

KEPT_PROTOCOLS = frozenset({"websocket"})
"""Protocols for whose upgrade requests the parser keeps the bytes behind them."""

BAD_REQUEST_STATUS = 400
HEAD_TOO_LARGE_STATUS = 431
HEAD_LATE_STATUS = 408
SERVER_ERROR_STATUS = 500

GetLimits = Callable[[], CallerLimits]


class BoundedRequestHandler(LingeringHandler):
    """The server side of a caller's connection; enforces the limits."""

    __slots__ = (
        "_get_limits",
        "_head_bytes",
        "_head_timer",
        "_is_refusing",
        "_last_body",
        "_last_request_body",
        "_tail",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        get_limits: GetLimits,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        options["keepalive_timeout"] = get_limits().idle_timeout_s
        super().__init__(
            manager,
            loop=loop,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_LINES,
            **options,
        )
        self._get_limits = get_limits
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._is_refusing = False
        self._last_body: StreamReader = EMPTY_PAYLOAD
        # The body of the last request that is read from the connection, if it is known.
        self._last_request_body: StreamReader | None = None
        self._tail = b""

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes, and refuse a head that exceeds the limits."""
        if self._is_refusing or self._has_read_last_request:
            self._has_received = True
            return
        self._tail = last_bytes(self._tail, data, count=len(HEAD_END))
        last = self._messages[-1] if self._messages else None
        was_in_head = self._last_body.is_eof() and not self._upgraded
        first_new = len(self._messages)
        super().data_received(data)
        self._refuse_unreadable(first_new)
        self._close_after_unsupported_upgrade(first_new)
        if self._messages and self._messages[-1] is not last:
            message, self._last_body = self._messages[-1]
            self._is_refusing = isinstance(message, _ErrInfo)
            self._reset_head()
            is_at_head = self._last_body is EMPTY_PAYLOAD and not self._upgraded
            if is_at_head and self._tail != HEAD_END:
                self._count_head_bytes(0)
        elif was_in_head and data.strip(LINE_END):
            self._count_head_bytes(len(data))

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Parse the bytes kept back after a declined upgrade, and write the answer."""
        if self._upgraded and not self._messages and self._parser is not None:
            self._parser.set_upgraded(False)
            self._upgraded = False
            kept, self._message_tail = self._message_tail, b""
            if kept:
                # Calls this class directly, so that a subclass starts none of these
                # requests before the answer has been written.
                BoundedRequestHandler.data_received(self, kept)
            if self._buffer_paused:
                self._resume_reading_if_drained()
        return await super().finish_response(request, resp, start_time)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of an incomplete head."""
        self._reset_head()
        super().connection_lost(exc)

    def _reset_head(self) -> None:
        self._head_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _count_head_bytes(self, size: int) -> None:
        if self._buffer_paused or self._is_refusing:
            return
        limits = self._get_limits()
        self._head_bytes += size
        if self._head_bytes > limits.max_header_bytes:
            self._refuse(
                HEAD_TOO_LARGE_STATUS, f"a head over {limits.max_header_bytes} bytes"
            )
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(
                limits.header_timeout_s, self._refuse_late
            )

    def _refuse_unreadable(self, first: int) -> None:
        """Refuse a new request whose host cannot be decoded, and drop later ones."""
        for index in range(first, len(self._messages)):
            message, _ = self._messages[index]
            if has_readable_host(message):
                continue
            while len(self._messages) > index:
                self._messages.pop()
            self._refuse(BAD_REQUEST_STATUS, "a host that cannot be read")
            return

    @property
    def _has_read_last_request(self) -> bool:
        body = self._last_request_body
        return body is not None and body.is_eof()

    def _close_after_unsupported_upgrade(self, first: int) -> None:
        """Let the answer to a new request for another protocol close the connection.

        The parser drops the bytes that it was passed behind such a request, so what
        follows would be read from the middle of another request.
        """
        for index in range(first, len(self._messages)):
            message, body = self._messages[index]
            if isinstance(message, _ErrInfo) or not has_unsupported_upgrade(message):
                continue
            self._messages[index] = (message._replace(should_close=True), body)
            self._last_request_body = body

    def _refuse_late(self) -> None:
        self._refuse(HEAD_LATE_STATUS, "the head did not come in time")

    def _refuse(self, status: int, detail: str) -> None:
        """Stop reading, and send a refusal once the requests in front are answered."""
        self._reset_head()
        self._is_refusing = True
        error = HttpProcessingError(code=status, message=detail)
        self._messages.append((_ErrInfo(status, error, detail), EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _process_keepalive(self) -> None:
        """Close the connection once it has been idle for the timeout now in force."""
        idle_since_s = self._next_keepalive_close_time - self._keepalive_timeout
        closes_s = idle_since_s + self._get_limits().idle_timeout_s
        if self._loop.time() < closes_s:
            self._keepalive_handle = self._loop.call_at(
                closes_s, self._process_keepalive
            )
            return
        super()._process_keepalive()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = SERVER_ERROR_STATUS,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer bytes that are not a valid request, and close the connection."""
        if status >= SERVER_ERROR_STATUS:
            return super().handle_error(request, status, exc, message)
        if isinstance(exc, LineTooLong):
            status = HEAD_TOO_LARGE_STATUS
        log(REQUEST_MALFORMED, status=status, detail=message or repr(exc))
        answer = web.Response(
            status=status, text=f"{message}\n", headers={"Connection": "close"}
        )
        answer.force_close()
        return answer


def has_readable_host(message: RawRequestMessage | _ErrInfo) -> bool:
    """Return whether the host in a request's URL, if there is one, can be decoded."""
    if isinstance(message, _ErrInfo) or not message.url.absolute:
        return True
    try:
        return message.url.host is not None
    except ValueError:
        return False


def has_unsupported_upgrade(message: RawRequestMessage) -> bool:
    """Return whether the parser drops what was read behind a request."""
    protocol = message.headers.get("Upgrade", "")
    return bool(message.upgrade) and protocol.lower() not in KEPT_PROTOCOLS


def head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's head, without its version and line ends."""
    names = sum(len(name) + len(value) for name, value in request.raw_headers)
    return len(request.method) + len(request.raw_path) + names
