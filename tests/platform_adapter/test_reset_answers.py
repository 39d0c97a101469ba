"""Answers without a length that are reset while the request is still being written."""

import asyncio
import contextlib
import socket
import struct
from contextlib import asynccontextmanager

import aiohttp
import pytest

from dogwoodhook.testing.fleet import free_port
from tests.platform_adapter.conftest import make_configuration
from tests.platform_adapter.raw_caller import raw_caller, request_text
from tests.platform_adapter.target_server import HOST, TargetServer

HEAD_END = b"\r\n\r\n"
UPLOAD_BYTES = 3_000_000
PIECE_BYTES = 100_000
SMALL_PART = 500
STREAMED_PART = 400_000
"""More than the daemon buffers before it passes an answer on."""


class ResettingTarget:
    """Answers each upload at once with a part of an answer, and resets it."""

    def __init__(self, *, part_bytes, after_s):
        self.port = free_port()
        self.part_bytes = part_bytes
        self.after_s = after_s
        self.resets = 0

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(HEAD_END)).decode()
        headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2])
        start = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {headers['request-id']}\r\n"
            "Server-Signature: t1\r\n"
        )
        if head.startswith("GET"):
            writer.write(f"{start}Content-Length: 5\r\n\r\nwhole".encode())
            return
        writer.write(f"{start}\r\n".encode() + b"p" * self.part_bytes)
        await writer.drain()
        await asyncio.sleep(self.after_s)
        self.resets += 1
        linger = struct.pack("ii", 1, 0)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        raise ConnectionResetError


@asynccontextmanager
async def resetting_target(platform, **options):
    target = ResettingTarget(**options)
    server = await asyncio.start_server(target.serve, HOST, target.port)
    configuration = make_configuration()
    configuration["limits"]["maxBodyBytes"] = 64 * 1024 * 1024
    await platform.store.put("op", "config", configuration)
    entry = TargetServer("t1", target.port).entry()
    await platform.store.put("servers", "t1", entry)
    await platform.start_gateway()
    yield target
    server.close()


async def chunked_upload():
    for _ in range(UPLOAD_BYTES // PIECE_BYTES):
        yield b"u" * PIECE_BYTES
        await asyncio.sleep(0.002)


@pytest.mark.parametrize("after_s", [0.0, 0.02, 0.2])
@pytest.mark.parametrize("part_bytes", [SMALL_PART, STREAMED_PART])
@pytest.mark.parametrize("is_chunked", [False, True])
async def test_a_part_of_an_answer_reset_during_the_upload_is_not_taken_for_whole(
    platform, part_bytes, after_s, is_chunked
):
    async with resetting_target(
        platform, part_bytes=part_bytes, after_s=after_s
    ) as target:
        for number in range(4):
            body = chunked_upload() if is_chunked else b"u" * UPLOAD_BYTES
            try:
                reply = await platform.send(f"/post/{number}", data=body)
            except (aiohttp.ClientPayloadError, aiohttp.ClientConnectionError):
                continue
            assert reply.status >= 500
        assert target.resets


@pytest.mark.parametrize("after_s", [0.0, 0.02, 0.2])
@pytest.mark.parametrize("part_bytes", [SMALL_PART, STREAMED_PART])
async def test_a_part_of_an_answer_reset_behind_a_pipelined_request_is_not_whole(
    platform, part_bytes, after_s
):
    upload = request_text("/post/b", body=b"u" * UPLOAD_BYTES)
    async with resetting_target(
        platform, part_bytes=part_bytes, after_s=after_s
    ) as target:
        async with raw_caller(platform.gateways[0]) as caller:
            caller.writer.write(request_text("/read/a") + upload)
            first = await caller.answer()
            assert (first.status, first.body) == (200, b"whole")
            rest = b""
            with contextlib.suppress(ConnectionError, TimeoutError):
                async with asyncio.timeout(3.0):
                    while data := await caller.reader.read(65536):
                        rest += data
        assert target.resets
    head, _, body = rest.partition(HEAD_END)
    if head.startswith(b"HTTP/1.1 200"):
        assert b"chunked" in head.lower()
        assert not body.endswith(b"0\r\n\r\n")
