"""Connections to targets, with limits on bytes that are not the body of an answer.

A faulty target may send an endless stream of bytes in a head, in the framing of a body,
or after a complete answer. The client library limits only the length of each line and
the number of headers. A connection that exceeds the limits here, or whose head is not a
plausible answer, is closed at once, even if its request has time left.

A faulty target may also write an answer to an earlier request again. Its id tells, so
it is dropped, and the answer that is due may follow it.
"""

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from dogwoodhook.state.connection_history import ConnectionHistory
from dogwoodhook.transport.answer_heads import head_problem
from dogwoodhook.transport.framing import HEAD_END, LAST_CHUNK, last_bytes

MAX_HEAD_BYTES = 64 * 1024
"""Maximum number of bytes before a body, including interim answers and dropped ones:
four times the usual limit of one head."""

MAX_FRAMING_BYTES = 64 * 1024
"""Maximum number of bytes of a body that are not its content, such as chunk sizes and
trailers, in addition to ``FRAMING_PER_CONTENT_BYTE``."""

FRAMING_PER_CONTENT_BYTE = 16
"""Further framing bytes allowed per byte of content; the smallest chunk has five."""

TRAILING_BYTES = "bytes behind an answer"

FIRST_FINAL_STATUS = 200

_BODILESS_STATUSES = frozenset({204, 304})


class BoundedResponseHandler(ResponseHandler):
    """The client's side of a connection; counts the bytes of the current answer.

    ``history`` tells what the connection has carried, and ``request_id_header`` names
    the header in which a target repeats a request's id, if it does.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.history = ConnectionHistory()
        self.request_id_header: str | None = None
        self._answer: StreamReader | None = None
        self._head_bytes = 0
        self._head_tail = b""
        self._extra_bytes = 0
        self._body_bytes = 0
        self._body_tail = b""
        self._is_chunked = False

    def set_response_params(self, **options: Any) -> None:
        """Reset the counters because a request is about to be sent."""
        self._answer = None
        self._head_bytes = self._body_bytes = self._extra_bytes = 0
        self._head_tail = self._body_tail = b""
        super().set_response_params(**options)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Check a parsed head; an interim one is followed by another."""
        message, body = data
        problem = head_problem(message)
        if problem is not None and self._answer is None:
            self._abort(problem)
            return
        if message.code >= FIRST_FINAL_STATUS and self._answer is None:
            if self._is_foreign(message):
                # Further answers would come one place late. The library returns a
                # connection to the pool as soon as an answer without a body is parsed.
                self.force_close()
            extra_bytes = self._body_bytes_of_extra_answer(message)
            if extra_bytes is not None:
                self._extra_bytes = extra_bytes
                self.history.extra_answers += 1
                return
            self._answer = body
            self._is_chunked = message.chunked
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes unless they exceed a limit."""
        if data and self._answer is not None and self._answer.is_eof():
            self._abort(TRAILING_BYTES)
            return
        # Each head is passed to the parser separately: the parser drops a head that is
        # in the same piece as bytes that it cannot parse.
        while data and self._answer is None and not self._is_closing:
            if self._extra_bytes:
                end = min(self._extra_bytes, len(data))
                self._extra_bytes -= end
            else:
                end = self._head_end(data)
            piece, data = data[:end], data[end:]
            self._head_bytes += len(piece)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._abort("a head without end")
                return
            super().data_received(piece)
        if self._is_closing or self._answer is None:
            return
        if data and self._answer.is_eof():
            self._abort(TRAILING_BYTES)
            return
        self._body_bytes += len(data)
        self._body_tail = last_bytes(self._body_tail, data, count=len(LAST_CHUNK))
        content_bytes = self._answer.total_bytes
        super().data_received(data)
        content_bytes = max(content_bytes, self._answer.total_bytes)
        allowed = MAX_FRAMING_BYTES + FRAMING_PER_CONTENT_BYTE * content_bytes
        if self._body_bytes - content_bytes > allowed:
            self._abort("a body's framing without end")
        elif self._answer.is_eof() and self._has_trailing_bytes:
            # The parser buffers the start of another head without reporting it.
            self._abort(TRAILING_BYTES)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the current answer if the connection was reset.

        The library would take an answer without a length for complete.
        """
        if exc is not None and self._answer is not None and not self._answer.is_eof():
            self._answer.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)

    @property
    def _is_closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    @property
    def _has_trailing_bytes(self) -> bool:
        """Return whether bytes were received after the answer that has been parsed."""
        assert self._answer is not None
        if self._is_chunked:
            # A body with another end, such as trailers, also closes the connection.
            return self._body_tail != LAST_CHUNK
        return self._body_bytes > self._answer.total_bytes

    def _is_foreign(self, message: RawResponseMessage) -> bool:
        """Return whether an answer may not belong to the last request."""
        if self.request_id_header is None:
            return False
        ids = message.headers.getall(self.request_id_header, [])
        if not ids:
            return self.history.has_earlier_requests
        return not all(map(self.history.is_of_last_request, ids))

    def _body_bytes_of_extra_answer(self, message: RawResponseMessage) -> int | None:
        """Return the length of the body of an answer to an earlier request.

        Returns ``None`` for any other answer, and where the length is not known.
        """
        if self.request_id_header is None or self._skip_payload:
            return None
        ids = message.headers.getall(self.request_id_header, [])
        if not ids or not all(map(self.history.is_of_earlier_request, ids)):
            return None
        length = message.headers.get("Content-Length", "")
        has_length = length.isascii() and length.isdigit()
        if message.code in _BODILESS_STATUSES or message.chunked or not has_length:
            return None
        return int(length)

    def _head_end(self, data: bytes) -> int:
        """Return the number of bytes up to the head's end, or all of them."""
        before = self._head_tail
        at = (before + data).find(HEAD_END)
        if at < 0:
            self._head_tail = (before + data)[1 - len(HEAD_END) :]
            return len(data)
        self._head_tail = b""
        return at + len(HEAD_END) - len(before)

    def _abort(self, detail: str) -> None:
        error = aiohttp.ClientPayloadError(detail)
        if self._answer is None or not self._answer.is_eof():
            self.set_exception(error)
        if self._answer is not None and not self._answer.is_eof():
            self._answer.set_exception(error)
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """A connector whose connections are ``BoundedResponseHandler``."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The library has no other way to set the class of its connections.
        self._factory = functools.partial(  # type: ignore[assignment]
            BoundedResponseHandler, loop=self._loop
        )
