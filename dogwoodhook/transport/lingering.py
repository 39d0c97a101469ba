"""Connections that are closed only after the caller has read the last answer.

A connection that is closed with unread bytes is reset, and an answer that the caller
has not read yet is lost with it. So after the last answer the sending side is closed,
and further bytes are read and dropped until the caller closes too.
"""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

LINGER_S = 1.0
"""How long a connection is still read after its last answer, and after any further
bytes: several round trips, in which the caller reads the answer and closes."""

MAX_LINGER_S = 10.0
"""Time after the last answer at which the connection of a caller that keeps sending is
closed."""


class LingeringHandler(RequestHandler):
    """The server side of a connection, which can be read after its last answer."""

    __slots__ = ("_has_received", "_is_lingering")

    def __init__(
        self, manager: web.Server, *, loop: asyncio.AbstractEventLoop, **options: Any
    ) -> None:
        super().__init__(manager, loop=loop, **options)
        self._has_received = False
        self._is_lingering = False

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes; the library drops them after the last answer."""
        self._has_received = True
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the reading after the last answer."""
        self._is_lingering = False
        super().connection_lost(exc)

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Close the connection; after the last answer nothing is waited for."""
        if self._is_lingering:
            self.force_close()
            return
        await super().shutdown(timeout)

    async def linger(self) -> None:
        """Close the sending side, and read until the caller closes the connection."""
        assert self.transport is not None
        self._is_lingering = self._has_received = True
        # Makes the library discard the bytes received from now on.
        self.close()
        self._messages.clear()
        self.transport.write_eof()
        if self._reading_paused:
            # Reading was paused for a body that no handler reads any more.
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
    def is_open(self) -> bool:
        """Return whether the connection is neither closed nor being closed."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def _is_active(self) -> bool:
        """Return whether bytes are still being received or waiting to be written."""
        return self._has_received or self.has_unsent

    @property
    def has_unsent(self) -> bool:
        """Return whether bytes are waiting to be written."""
        if self.transport is None:
            return False
        return self.transport.get_write_buffer_size() > 0


class ClosingHandler(LingeringHandler):
    """A connection that lingers after the answer that closes it."""

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer; linger if it is the last one."""
        finished, is_reset = await super().finish_response(request, resp, start_time)
        if self.is_open and not is_reset and not finished.keep_alive:
            await self.linger()
        return finished, is_reset
