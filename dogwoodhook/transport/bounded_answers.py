"""Connections to targets whose bytes besides answers' bodies are bounded.

A target in trouble may send bytes that are no answer without end: in a head, in the
framing of a body, or behind a whole answer. The client library bounds each line and the
number of headers, and nothing else. A connection beyond the bounds, or with a head that
cannot be believed, is closed at once, whatever time its request has left.
"""

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from dogwoodhook.transport.answer_heads import head_problem
from dogwoodhook.transport.framing import HEAD_END, LAST_CHUNK, last_bytes

MAX_HEAD_BYTES = 64 * 1024
"""Bytes before a body, interim answers included: four times the usual limit of one
head."""

MAX_FRAMING_BYTES = 64 * 1024
"""Bytes of a body that are not its content, such as chunk sizes and trailers."""

FRAMING_PER_CONTENT_BYTE = 16
"""Further such bytes for each byte of content; the smallest chunk has five."""

BYTES_BEHIND = "bytes behind an answer"

FIRST_FINAL_STATUS = 200


class BoundedResponseHandler(ResponseHandler):
    """The client's side of a connection; counts the bytes of the current answer."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._answer: StreamReader | None = None
        self._head_bytes = 0
        self._head_tail = b""
        self._body_bytes = 0
        self._body_tail = b""
        self._is_chunked = False

    def set_response_params(self, **options: Any) -> None:
        """Begin to count anew: a request is about to be sent."""
        self._answer = None
        self._head_bytes = self._body_bytes = 0
        self._head_tail = self._body_tail = b""
        super().set_response_params(**options)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take a head that was parsed; interim ones are followed by another."""
        message, body = data
        problem = head_problem(message)
        if problem is not None and self._answer is None:
            self._cut(problem)
            return
        if message.code >= FIRST_FINAL_STATUS and self._answer is None:
            self._answer = body
            self._is_chunked = message.chunked
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse what came, unless there was too much of it."""
        if data and self._answer is not None and self._answer.is_eof():
            self._cut(BYTES_BEHIND)
            return
        # Heads are parsed by themselves: the parser drops a head that comes in the same
        # piece as bytes that it cannot parse.
        while data and self._answer is None and not self._is_cut:
            end = self._head_end(data)
            piece, data = data[:end], data[end:]
            self._head_bytes += len(piece)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._cut("a head without end")
                return
            super().data_received(piece)
        if self._is_cut or self._answer is None:
            return
        if data and self._answer.is_eof():
            self._cut(BYTES_BEHIND)
            return
        self._body_bytes += len(data)
        self._body_tail = last_bytes(self._body_tail, data, count=len(LAST_CHUNK))
        content_bytes = self._answer.total_bytes
        super().data_received(data)
        content_bytes = max(content_bytes, self._answer.total_bytes)
        allowed = MAX_FRAMING_BYTES + FRAMING_PER_CONTENT_BYTE * content_bytes
        if self._body_bytes - content_bytes > allowed:
            self._cut("a body's framing without end")
        elif self._answer.is_eof() and self._has_bytes_behind:
            # The parser keeps the start of another head to itself.
            self._cut(BYTES_BEHIND)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the current answer; the library takes one without a length for whole."""
        if exc is not None and self._answer is not None and not self._answer.is_eof():
            self._answer.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)

    @property
    def _is_cut(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    @property
    def _has_bytes_behind(self) -> bool:
        """Tell whether more has come than the whole answer that has been parsed."""
        assert self._answer is not None
        if self._is_chunked:
            # A body that ends otherwise, such as with trailers, costs its connection.
            return self._body_tail != LAST_CHUNK
        return self._body_bytes > self._answer.total_bytes

    def _head_end(self, data: bytes) -> int:
        """Return the number of bytes up to the head's end, or all of them."""
        before = self._head_tail
        at = (before + data).find(HEAD_END)
        if at < 0:
            self._head_tail = (before + data)[1 - len(HEAD_END) :]
            return len(data)
        self._head_tail = b""
        return at + len(HEAD_END) - len(before)

    def _cut(self, detail: str) -> None:
        error = aiohttp.ClientPayloadError(detail)
        if self._answer is None or not self._answer.is_eof():
            self.set_exception(error)
        if self._answer is not None and not self._answer.is_eof():
            self._answer.set_exception(error)
        self.force_close()
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """A connector whose connections are bounded so."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The library's only place for the class of its connections.
        self._factory = functools.partial(  # type: ignore[assignment]
            BoundedResponseHandler, loop=self._loop
        )
