"""The TCP relay that simulates faults of a network."""

import asyncio
import socket

import pytest

from dogwoodhook.testing.relay import Relay
from dogwoodhook.testing.serving import LOOPBACK
from tests.platform_adapter.target_server import reset_connection


async def test_a_reset_is_forwarded_as_a_reset():
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


async def _echo(reader, writer):
    while data := await reader.read(10):
        writer.write(data)
    writer.close()


async def test_new_connections_work_after_open_ones_were_reset():
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    async with Relay(port=server.sockets[0].getsockname()[1]) as relay:
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(b"x")
        assert await reader.readexactly(1) == b"x"
        relay.reset_open_connections()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(b"y")
        assert await reader.readexactly(1) == b"y"
        writer.close()
    server.close()


async def test_a_closed_port_is_not_given_to_another_process():
    # Requests for a target that had ended reached a target of another soak.
    async with Relay(port=1) as relay:
        relay.close_port()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", relay.port))
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", relay.port)
        await relay.open_port()
        _, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.close()


async def test_a_client_that_the_server_refused_is_known_before_its_connection_ends():
    async with Relay(port=1) as relay:
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        assert await reader.read() == b""
        assert relay.refused_ports == {writer.get_extra_info("sockname")[1]}
        writer.close()


async def test_each_chunk_is_delayed():
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    async with Relay(port=server.sockets[0].getsockname()[1]) as relay:
        relay.delay_s = 0.1
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        started_s = asyncio.get_running_loop().time()
        writer.write(b"x")
        assert await reader.readexactly(1) == b"x"
        assert asyncio.get_running_loop().time() - started_s >= 0.2
        writer.close()
    server.close()


async def test_a_side_that_half_closes_still_receives_data():
    received = asyncio.Event()

    async def answer_and_half_close(reader, writer):
        await reader.readexactly(1)
        writer.write(b"answer")
        writer.write_eof()
        await reader.readexactly(1)
        received.set()
        writer.close()

    server = await asyncio.start_server(answer_and_half_close, "127.0.0.1", 0)
    async with Relay(port=server.sockets[0].getsockname()[1]) as relay:
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(b"x")
        await asyncio.sleep(0.05)
        writer.write(b"y")
        async with asyncio.timeout(5.0):
            await received.wait()
        assert await reader.read() == b"answer"
        writer.close()
    server.close()


async def _keep_sending(writer):
    async with asyncio.timeout(5.0):
        while True:
            writer.write(b"y")
            await writer.drain()
            await asyncio.sleep(0.01)


async def test_sending_to_a_side_that_has_closed_resets_the_sender():
    async def answer_and_close(reader, writer):
        await reader.readexactly(1)
        writer.close()

    server = await asyncio.start_server(answer_and_close, "127.0.0.1", 0)
    async with Relay(port=server.sockets[0].getsockname()[1]) as relay:
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(b"x")
        assert await reader.read() == b""
        with pytest.raises(ConnectionError):
            await _keep_sending(writer)
        writer.close()
    server.close()


@pytest.mark.parametrize("is_to_server", [True, False])
async def test_a_connection_goes_on_behind_data_that_was_lost(is_to_server):
    """TCP delivers nothing behind a gap."""
    received = asyncio.Queue()
    accepted = asyncio.get_running_loop().create_future()

    async def accept(reader, writer):
        accepted.set_result((reader, writer))

    async def read(reader):
        while data := await reader.read(100):
            received.put_nowait(data)

    server = await asyncio.start_server(accept, LOOPBACK, 0)
    async with Relay(port=server.sockets[0].getsockname()[1]) as relay:
        client = await asyncio.open_connection(LOOPBACK, relay.port)
        sender, receiver = client, await accepted
        if not is_to_server:
            sender, receiver = receiver, sender
        reading = asyncio.create_task(read(receiver[0]))
        cut = "is_cut_to_server" if is_to_server else "is_cut_to_client"
        sender[1].write(b"before")
        assert await received.get() == b"before"
        setattr(relay, cut, True)
        sender[1].write(b"lost")
        await asyncio.sleep(0.1)
        setattr(relay, cut, False)
        sender[1].write(b"behind")
        await asyncio.sleep(0.1)
        assert received.empty()
        reading.cancel()
        for _, writer in (sender, receiver):
            writer.close()
    server.close()
