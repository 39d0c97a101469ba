"""A caller with a small receive buffer, so that answers wait in the daemon."""

import asyncio
import socket
from contextlib import asynccontextmanager

RECEIVE_BUFFER_BYTES = 4096


@asynccontextmanager
async def slow_reader(gateway):
    """Open a connection with a small receive buffer, and yield its socket."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setblocking(False)
    address = gateway.settings.caller_address
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (address.host, address.port))
    try:
        yield connection
    finally:
        connection.close()


async def read_to_end(connection, *, timeout_s=5.0):
    """Return all bytes up to an orderly end; raise if the connection is reset."""
    loop = asyncio.get_running_loop()
    text = b""
    async with asyncio.timeout(timeout_s):
        while chunk := await loop.sock_recv(connection, 65536):
            text += chunk
    return text
