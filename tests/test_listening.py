"""How a closing listener treats its callers' requests."""

import asyncio
import socket

import pytest
from aiohttp import web

from dogwoodhook.testing.fleet import free_port
from dogwoodhook.transport.listening import HttpListener
from tests.exchanges import is_open

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"


async def outcome_of(connection):
    """Return the status of an answer, or how the connection ended."""
    loop = asyncio.get_running_loop()
    try:
        text = await loop.sock_recv(connection, 65536)
    except ConnectionResetError:
        return "reset"
    return int(text.split(b" ")[1]) if text else "read and dropped"


@pytest.mark.parametrize("iterations", range(8))
@pytest.mark.parametrize("is_idle", [False, True])
async def test_a_closing_listener_drops_no_request_that_it_has_read(
    iterations, is_idle
):
    """Send a request on an idle connection during the closing, or on a new one."""

    async def answer(request):
        return web.Response()

    port = free_port()
    listener = HttpListener(answer, host=HOST, port=port)
    await listener.start()
    async with asyncio.timeout(5.0):
        with socket.create_connection((HOST, port)) as connection:
            connection.setblocking(False)
            if is_idle:
                await asyncio.sleep(0.05)
                closing = asyncio.ensure_future(listener.close())
            for _ in range(iterations):
                await asyncio.sleep(0)
            if not is_open(connection):
                return
            connection.send(REQUEST)
            if not is_idle:
                closing = asyncio.ensure_future(listener.close())
            assert await outcome_of(connection) in (200, "reset")
            await closing
