"""Serves the aiohttp applications of the stand-ins, and waits for a stop signal."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

LOOPBACK = "127.0.0.1"
SHUTDOWN_TIMEOUT_S = 0.1


@asynccontextmanager
async def serve_app(app: web.Application, *, port: int = 0) -> AsyncIterator[int]:
    """Serve an application on the loopback address, and yield its port."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, port, reuse_address=True)
    await site.start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


async def wait_for_stop_signal() -> None:
    """Return when the process receives SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
