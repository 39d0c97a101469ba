"""Starting and ending aiohttp servers."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

IDLE_TIMEOUT_S = 75.0

CLOSE_TIMEOUT_S = 60.0
"""Time that closing a listener gives to requests in flight."""

ACCEPTING_PASSES = 2
"""Passes of the event loop until a connection that is accepted is its server's."""

FIRST_READ_PASSES = 4
"""Passes from then on until its first request has been read, if it is there."""


class GracefulServer(web.Server):
    """A server that drops nothing that it has read when it is closed."""

    def pre_shutdown(self) -> None:
        """Close at once what owes no answer, so that nothing more is read there.

        What callers send meanwhile resets their connections: nobody has read it.
        """
        for connection in self.connections:
            if self.has_unanswered_request(connection):
                connection.close()
            else:
                connection.force_close()

    def has_unanswered_request(self, connection: RequestHandler) -> bool:
        """Tell whether a request has been read that is not answered yet."""
        if connection._messages:
            return True
        is_waiting = connection._waiter is not None and not connection._waiter.done()
        return connection._request_count > 0 and not is_waiting


class HttpListener:
    """An HTTP server on one address.

    A handler is cancelled when its caller leaves; what must go on regardless is
    shielded by the handler itself.
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
        """Open the listener."""
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, self._host, self._port)
        await self._site.start()

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay."""
        site, self._site = self._site, None
        if site is None:
            return
        # The event loop loses a connection that it is accepting when this closes.
        loop = asyncio.get_running_loop()
        for listening in getattr(site._server, "sockets", ()):
            loop.remove_reader(listening.fileno())
        await _run_event_loop(ACCEPTING_PASSES)
        await site.stop()

    async def close(self) -> None:
        """Answer what has been read, and close everything."""
        await self.stop_accepting()
        await _run_event_loop(FIRST_READ_PASSES)
        await self._runner.cleanup()


async def _run_event_loop(count: int) -> None:
    """Let the event loop run so many times."""
    for _ in range(count):
        await asyncio.sleep(0)
