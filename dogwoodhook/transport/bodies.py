"""Request bodies: small ones are buffered, larger ones are streamed."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

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
    """

    prelude: bytes
    is_complete: bool
    identifying_bytes: bytes
    _request: web.BaseRequest = field(repr=False)
    has_been_sent: bool = False

    @property
    def can_be_sent(self) -> bool:
        """Return whether a further attempt can send the body from its beginning."""
        return self.is_complete or not self.has_been_sent

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


async def read_prelude(request: web.BaseRequest, *, buffer_bytes: int) -> RequestBody:
    """Read a body up to the size of the replay buffer; the rest is streamed later."""
    if not request.body_exists:
        return RequestBody(b"", True, b"", _request=request)
    await _send_continue_if_expected(request)
    parts: list[bytes] = []
    size = 0
    while size <= buffer_bytes:
        chunk = await request.content.read(CHUNK_BYTES)
        if not chunk:
            body = b"".join(parts)
            return RequestBody(body, True, body, _request=request)
        parts.append(chunk)
        size += len(chunk)
    prelude = b"".join(parts)
    length = f"{request.content_length}".encode()
    return RequestBody(prelude, False, prelude[:buffer_bytes] + length, request)


async def _send_continue_if_expected(request: web.BaseRequest) -> None:
    if request.headers.get("Expect", "").lower() != "100-continue":
        return
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # The library counts the interim answer as output, and would take the headers of the
    # final answer for already sent.
    request.writer.output_size = 0
