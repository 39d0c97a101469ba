"""Answers of a draining daemon after which the connection closes."""

import asyncio
import socket
from contextlib import suppress

from exchanges import until

from dogwoodhook.testing.local_proxy import LocalProxy
from dogwoodhook.testing.raw_target import (
    RawTarget,
    ReceiveRequest,
    Send,
    make_answer,
)

SIZE = 2_000_000
LARGE = make_answer(b"x" * SIZE)
RECEIVE_BUFFER_BYTES = 4096
PIPELINED = b"POST /work HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"


async def read_to_end(connection, *, timeout_s=20.0):
    """Return all bytes received up to the end or a reset of the connection."""
    loop = asyncio.get_running_loop()
    text = b""
    async with asyncio.timeout(timeout_s):
        with suppress(ConnectionResetError):
            while chunk := await loop.sock_recv(connection, 65536):
                text += chunk
    return text


async def test_an_answer_is_not_cut_by_the_refusal_of_a_pipelined_request():
    """The caller reads slowly and sends two more requests while the daemon drains."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setblocking(False)
    steps = (ReceiveRequest(), Send(LARGE))
    async with RawTarget(steps) as target, LocalProxy([target.port]) as proxy:
        with connection:
            await loop.sock_connect(connection, ("127.0.0.1", proxy.port))
            await loop.sock_sendall(
                connection, b"GET /work HTTP/1.1\r\nHost: h\r\n\r\n"
            )
            await until(lambda: proxy.callers.in_flight)
            proxy.callers.drain()
            pipelined = PIPELINED + b"y" * 1_000_000
            sending = asyncio.ensure_future(
                loop.sock_sendall(connection, 2 * pipelined)
            )
            await asyncio.sleep(0.5)
            text = await read_to_end(connection)
            sending.cancel()
    assert text.count(b"x") >= SIZE, "the answer was cut"
    assert text.count(b"HTTP/1.1 503") == 1
