"""Targets that answer before they have read a long body, and read on later."""

import asyncio
import contextlib
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from dogwoodhook.testing.fleet import free_port
from tests.platform_adapter.raw_caller import raw_caller
from tests.platform_adapter.target_server import HOST, TargetServer

HEAD_END = b"\r\n\r\n"
KIB = 1024
CHUNK_BYTES = 50_000
READ_BYTES = 16 * KIB
PAUSE_S = 0.02
ANSWER_BODY = b"early " * 100
STATUSES = ["200 OK", "503 Busy\r\nNot-Executed: 1"]


def make_body(request_id, size):
    """Return a body that no other request has."""
    line = f"[{request_id}]".encode()
    return (line * (size // len(line) + 1))[:size]


@dataclass
class EarlyTarget:
    """Answers each request at its head, and reads the body after a pause."""

    port: int
    status: str
    pause_s: float
    bodies: dict = field(default_factory=dict)
    heads: list = field(default_factory=list)
    problems: list = field(default_factory=list)

    async def serve(self, reader, writer):
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._serve_all(reader, writer)
        except (ValueError, AssertionError) as error:
            self.problems.append(repr(error))
        finally:
            writer.close()

    async def _serve_all(self, reader, writer):
        while True:
            head = (await reader.readuntil(HEAD_END)).decode()
            self.heads.append(head)
            headers = dict(
                line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2]
            )
            request_id = headers["request-id"]
            writer.write(
                f"HTTP/1.1 {self.status}\r\nRequest-Id: {request_id}\r\n"
                f"Server-Signature: s\r\nContent-Length: {len(ANSWER_BODY)}"
                "\r\n\r\n".encode()
                + ANSWER_BODY
            )
            await asyncio.sleep(self.pause_s)
            self.bodies[request_id] = body = bytearray()
            if "chunked" in headers.get("transfer-encoding", ""):
                await self._read_chunks(reader, body)
            else:
                await self._read(reader, body, int(headers["content-length"]))

    async def _read(self, reader, body, count):
        while count:
            data = await reader.read(min(count, READ_BYTES))
            if not data:
                raise ConnectionError
            body += data
            count -= len(data)

    async def _read_chunks(self, reader, body):
        size = 1
        while size:
            size = int(await reader.readuntil(b"\r\n"), 16)
            await self._read(reader, body, size)
            assert await reader.readexactly(2) == b"\r\n"


@asynccontextmanager
async def early_target(platform, **options):
    target = EarlyTarget(free_port(), **options)
    # A small buffer, as over a long link, lets the body wait at the daemon.
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
    listening.bind((HOST, target.port))
    server = await asyncio.start_server(target.serve, sock=listening, limit=READ_BYTES)
    await platform.configure()
    entry = TargetServer("t1", target.port).entry()
    await platform.store.put("servers", "t1", entry)
    yield target
    server.close()


def upload_parts(request_id, size, *, is_chunked):
    """Return the head of an upload and its body in pieces, framed."""
    body = make_body(request_id, size)
    pieces = [body[at : at + CHUNK_BYTES] for at in range(0, size, CHUNK_BYTES)]
    framing = f"Content-Length: {size}"
    if is_chunked:
        framing = "Transfer-Encoding: chunked"
        pieces = [f"{len(each):x}\r\n".encode() + each + b"\r\n" for each in pieces]
        pieces.append(b"0\r\n\r\n")
    head = (
        f"POST /post/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Request-Id: {request_id}\r\nDeadline-Ms: 5000\r\n{framing}\r\n\r\n"
    )
    return head.encode(), pieces


async def upload(caller, request_id, size, *, is_chunked, held_pieces):
    """Send a body, its last pieces once the answer has come; return the answer."""
    head, pieces = upload_parts(request_id, size, is_chunked=is_chunked)
    first = len(pieces) - held_pieces
    caller.writer.write(head + b"".join(pieces[:first]))
    answer = await asyncio.wait_for(caller.answer(), 5)
    caller.writer.write(b"".join(pieces[first:]))
    return answer


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize(
    ("size", "held_pieces"), [(20_000, 0), (400_000, 0), (1_000_000, 0), (1_000_000, 4)]
)
@pytest.mark.parametrize("pause_s", [0.0, PAUSE_S])
async def test_a_body_answered_early_is_followed_by_no_other_bytes(
    platform, status, is_chunked, size, held_pieces, pause_s
):
    async with early_target(platform, status=status, pause_s=pause_s) as target:
        gateway = await platform.start_gateway()
        ids = [f"id{number}" for number in range(4)]

        async def call(request_id):
            async with raw_caller(gateway) as caller:
                return await upload(
                    caller,
                    request_id,
                    size,
                    is_chunked=is_chunked,
                    held_pieces=held_pieces,
                )

        answers = [await call(request_id) for request_id in ids[:2]]
        answers += await asyncio.gather(*(call(each) for each in ids[2:]))
        await asyncio.sleep(5 * PAUSE_S)
    code = int(status[:3])
    for request_id, answer in zip(ids, answers, strict=True):
        assert answer is not None, request_id
        assert answer.is_complete, request_id
        if code != 503:
            assert (answer.status, answer.body) == (code, ANSWER_BODY)
            assert answer.request_id == request_id
        else:
            assert answer.status in (502, 503)
        arrived = bytes(target.bodies.get(request_id, b""))
        assert arrived == make_body(request_id, size)[: len(arrived)]
    assert not target.problems
    assert all(each.startswith("POST /post/id") for each in target.heads)


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("held_pieces", [0, 4, 8])
async def test_a_caller_goes_on_behind_an_upload_that_was_answered_early(
    platform, is_chunked, held_pieces
):
    async with early_target(platform, status="200 OK", pause_s=PAUSE_S):
        gateway = await platform.start_gateway()
        async with raw_caller(gateway) as caller:
            for number in range(3):
                answer = await upload(
                    caller,
                    f"id{number}",
                    1_000_000,
                    is_chunked=is_chunked,
                    held_pieces=held_pieces,
                )
                assert answer is not None
                assert (answer.status, answer.body) == (200, ANSWER_BODY)
                assert answer.request_id == f"id{number}"
                if answer.closes:
                    break
