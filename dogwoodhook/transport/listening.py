"""HTTP listeners that answer the requests they have read before they close."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from dogwoodhook.transport.lingering import ClosingHandler

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

IDLE_TIMEOUT_S = 75.0

CLOSE_TIMEOUT_S = 60.0
"""Time that requests in flight get to finish when a listener is closed."""

ACCEPTING_PASSES = 2
"""Passes of the event loop until an accepted connection is registered at its server."""

FIRST_READ_PASSES = 4
"""Further passes until the first request of the connection has been read, if it has
arrived."""


class GracefulServer(web.Server):
    """A server that answers every request it has read before it closes."""

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return ClosingHandler(self, loop=self._loop, **self._kwargs)

    def pre_shutdown(self) -> None:
        """Close connections without an unanswered request at once.

        Nothing more is read from them: the connection of a caller that sends a request
        meanwhile is reset, and the request does not run.
        """
        for connection in self.connections:
            if self.has_unanswered_request(connection):
                connection.close()
            else:
                connection.force_close()

    def has_unanswered_request(self, connection: RequestHandler) -> bool:
        """Return whether a connection has a request that was read but not answered."""
        if connection._messages:
            return True
        is_waiting = connection._waiter is not None and not connection._waiter.done()
        return connection._request_count > 0 and not is_waiting


class HttpListener:
    """An HTTP server on one address.

    A handler is cancelled when its caller disconnects. Work that must continue is
    shielded from the cancellation by the handler itself.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        host: str,
        port: int,
        make_server: Callable[..., GracefulServer] = GracefulServer,
        close_timeout_s: float = CLOSE_TIMEOUT_S,
    ) -> None:
        server = make_server(
            handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT_S,
            auto_decompress=False,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=close_timeout_s)
        self._host = host
        self._port = port
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Open the listening socket."""
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, self._host, self._port)
        await self._site.start()

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        site, self._site = self._site, None
        if site is None:
            return
        # A connection that the event loop is accepting when the socket closes would be
        # lost. So it stops accepting first, and finishes the connections it accepted.
        loop = asyncio.get_running_loop()
        for listening in getattr(site._server, "sockets", ()):
            loop.remove_reader(listening.fileno())
        await _run_loop_passes(ACCEPTING_PASSES)
        await site.stop()

    async def close(self) -> None:
        """Answer the requests that have been read, and close all connections."""
        await self.stop_accepting()
        await _run_loop_passes(FIRST_READ_PASSES)
        await self._runner.cleanup()


async def _run_loop_passes(count: int) -> None:
    """Let the event loop run the given number of passes."""
    for _ in range(count):
        await asyncio.sleep(0)
