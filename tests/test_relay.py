"""The relay of the stand-ins."""

import asyncio

import pytest

from dogwoodhook.testing.relay import Relay
from tests.platform_adapter.target_server import reset_connection


async def test_a_reset_is_passed_on_as_a_reset():
    async def send_half(reader, writer):
        await reader.read(1)
        writer.write(b"half")
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)

    server = await asyncio.start_server(send_half, "127.0.0.1", 0)
    async with Relay(port=server.sockets[0].getsockname()[1]) as relay:
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(b"x")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()
    server.close()
