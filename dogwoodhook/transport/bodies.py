"""Request bodies: whole where small, streamed where not."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from aiohttp import web

CHUNK_BYTES = 64 * 1024


class CallerBodyError(Exception):
    """The caller's upload broke off."""


@dataclass(slots=True)
class RequestBody:
    """A caller's body.

    ``prelude`` is what was read before a target was chosen. Where ``is_complete``,
    that is all of it, and the request can be sent again. Where not, it can while
    nothing of it ``has_been_sent``.
    """

    prelude: bytes
    is_complete: bool
    _request: web.BaseRequest = field(repr=False)
    has_been_sent: bool = False

    @property
    def can_be_sent(self) -> bool:
        """Tell whether a further attempt can send it from its beginning."""
        return self.is_complete or not self.has_been_sent

    def content(self) -> bytes | AsyncIterator[bytes]:
        """Return what an attempt sends."""
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
    """Read a body up to the replay buffer's size; the rest is left to stream."""
    if not request.body_exists:
        return RequestBody(b"", is_complete=True, _request=request)
    await _answer_expectation(request)
    parts: list[bytes] = []
    size = 0
    while size <= buffer_bytes:
        chunk = await request.content.read(CHUNK_BYTES)
        if not chunk:
            return RequestBody(b"".join(parts), is_complete=True, _request=request)
        parts.append(chunk)
        size += len(chunk)
    return RequestBody(b"".join(parts), is_complete=False, _request=request)


async def _answer_expectation(request: web.BaseRequest) -> None:
    if request.headers.get("Expect", "").lower() != "100-continue":
        return
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # The library counts the interim answer as output, which would make it take
    # the headers of the real answer for already sent.
    request.writer.output_size = 0
