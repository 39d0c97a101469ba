"""Request bodies: small ones are buffered, larger ones are streamed."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Self

from aiohttp import web

CHUNK_BYTES = 64 * 1024


class CallerBodyError(Exception):
    """The caller's upload broke off."""


@dataclass(slots=True)
class RequestBody:
    """The body of a caller's request.

    ``prelude`` is the part that was read before a target was chosen. If the prelude
    ``is_complete``, it is the complete body, and the request can be sent more than
    once. Otherwise it can be sent only while ``has_been_sent`` is false.
    ``identifying_bytes`` are the same for each sending of the same body, however it
    arrives: the complete body, or its first bytes and its declared length.

    The bytes that were read count as held until the end of the body's context, which is
    that of the request, in whichever way it ends.
    """

    prelude: bytes
    is_complete: bool
    identifying_bytes: bytes
    _request: web.BaseRequest = field(repr=False)
    has_been_sent: bool = False
    _count: Callable[[int], None] = field(default=lambda size_bytes: None, repr=False)
    _held_bytes: int = 0

    @property
    def can_be_sent(self) -> bool:
        """Return whether a further attempt can send the body from its beginning."""
        return self.is_complete or not self.has_been_sent

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        held_bytes, self._held_bytes = self._held_bytes, 0
        self._count(-held_bytes)

    def content(self) -> bytes | AsyncIterator[bytes]:
        """Return the body that an attempt sends: the buffered bytes, or a stream."""
        return self.prelude if self.is_complete else self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        self.has_been_sent = True
        yield self.prelude
        try:
            async for chunk in self._request.content.iter_chunked(CHUNK_BYTES):
                yield chunk
        except Exception as error:
            raise CallerBodyError("the caller's upload broke off") from error


async def read_prelude(
    request: web.BaseRequest,
    *,
    buffer_bytes: int,
    count: Callable[[int], None] = lambda size_bytes: None,
) -> RequestBody:
    """Read a body up to the size of the replay buffer; the rest is streamed later.

    ``count`` is called with the number of bytes that are held, negative once they no
    longer are. Small pieces are joined, so that many of them take no more memory.
    """
    if not request.body_exists:
        return RequestBody(b"", True, b"", _request=request)
    await _send_continue_if_expected(request)
    received = bytearray()
    is_complete = False
    try:
        while len(received) <= buffer_bytes and not is_complete:
            chunk = await request.content.read(CHUNK_BYTES)
            received += chunk
            is_complete = not chunk
            count(len(chunk))
    except BaseException:
        count(-len(received))
        raise
    prelude, held_bytes = bytes(received), len(received)
    if is_complete:
        return RequestBody(
            prelude, True, prelude, request, _count=count, _held_bytes=held_bytes
        )
    length = f"{request.content_length}".encode()
    identifying_bytes = prelude[:buffer_bytes] + length
    # The bytes that identify the body are a second copy.
    count(len(identifying_bytes))
    held_bytes += len(identifying_bytes)
    return RequestBody(
        prelude,
        False,
        identifying_bytes,
        request,
        _count=count,
        _held_bytes=held_bytes,
    )


async def _send_continue_if_expected(request: web.BaseRequest) -> None:
    if request.headers.get("Expect", "").lower() != "100-continue":
        return
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # The library counts the interim answer as output, and would take the headers of the
    # final answer for already sent.
    request.writer.output_size = 0
