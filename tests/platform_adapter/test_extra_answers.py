"""Targets that write an answer to another request where an answer is due."""

import asyncio
from contextlib import suppress

import aiohttp
import logbook
import pytest
from multidict import CIMultiDict
from yarl import URL

from dogwoodhook.testing.fleet import free_port
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.target_server import (
    HEAD_END,
    ReceivedRequest,
    TargetServer,
)

STATUSES = (
    "200 OK",
    "421 Misdirected Request",
    "429 Too Many\r\nNot-Executed: 1",
    "503 Busy\r\nNot-Executed: 1",
)


def once(copy):
    return [copy]


def twice(copy):
    return [copy, copy]


def in_pieces(copy):
    return [copy[:9], copy[9:30], copy[30:]]


def behind_an_interim_answer(copy):
    return [b"HTTP/1.1 100 Continue\r\n\r\n" + copy]


@pytest.mark.parametrize("pieces", [once, twice, in_pieces, behind_an_interim_answer])
@pytest.mark.parametrize("body", [b"", b"HTTP/1.1 200 OK\r\n\r\n" * 9])
@pytest.mark.parametrize("status", STATUSES)
async def test_an_extra_answer_to_an_earlier_request_takes_the_place_of_the_answer(
    platform, status, body, pieces
):
    written = []

    async def answer_first(server, received, writer):
        lines = [
            f"HTTP/1.1 {status}",
            f"Request-Id: {received.request_id}",
            "Server-Signature: t1",
        ]
        lines.append(f"Content-Length: {len(body)}")
        written.append("\r\n".join(lines).encode() + HEAD_END + body)
        writer.write(written[0])

    async def answer_again_and_answer(server, received, writer):
        for piece in pieces(written[0]):
            writer.write(piece)
            await asyncio.sleep(0.02)
        await behave.answer(server, received, writer)

    await platform.configure()
    target = await platform.start_target(
        "t1", answer_first, answer_again_and_answer, behave.answer
    )
    await platform.start_gateway()
    await platform.send("/post/1")
    for path in ("/post/2", "/post/3"):
        reply = await platform.send(path)
        assert (reply.status, reply.body) == (200, f"t1 ran {path}".encode())
    assert [each.connection for each in target.received] == [1, 1, 2]


async def test_a_request_with_two_ids_is_sent_to_a_target(platform):
    await platform.configure()
    target = await platform.start_target("t1")
    await platform.start_gateway()
    headers = CIMultiDict([("Request-Id", "x"), ("Request-Id", "a")])
    url = URL(platform.gateways[0].url).with_path("/post/1")
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=headers) as response,
    ):
        assert response.status == 400
    assert not target.received


@pytest.mark.parametrize("path", ["/post/", "/read/"])
@pytest.mark.parametrize("foreign_id", ["Request-Id: another\r\n", ""])
async def test_a_connection_with_a_foreign_answer_gets_the_next_request(
    platform, path, foreign_id
):
    foreign = f"HTTP/1.1 503 Busy\r\n{foreign_id}Not-Executed: 1\r\nContent-Length: 0"
    connections = []

    async def serve(reader, writer):
        """Read the next request only after the answer, unlike the stand-in."""
        number = max(connections, default=0) + 1
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while text := (await reader.readuntil(HEAD_END)).decode():
                connections.append(number)
                request_id = text.split("Request-Id: ")[1].split("\r\n")[0]
                received = ReceivedRequest("", "", {"request-id": request_id}, b"", 0)
                if len(connections) == 2:
                    writer.write(foreign.encode() + HEAD_END)
                await asyncio.sleep(0.03)
                ok = behave.head("200 OK", received, length=0, Server_Signature="t1")
                writer.write(ok)
        writer.close()

    await platform.configure()
    target = TargetServer("t1", free_port())
    async with await asyncio.start_server(serve, behave.HOST, target.port):
        await platform.store.put("servers", "t1", target.entry())
        await platform.start_gateway()
        statuses = [(await platform.send(f"{path}{n}")).status for n in range(5)]
    assert statuses == [200, 502, 200, 200, 200]
    assert connections == [1, 1, 2, 2, 2]


async def test_extra_answers_without_end_hold_a_request(platform):
    async def answer_without_end(server, received, writer):
        earlier = server.received[0]
        while True:
            writer.write(behave.head("200 OK", earlier, length=9) + b"nine more")
            await writer.drain()

    await platform.configure()
    await platform.start_target("t1", behave.answer, answer_without_end)
    await platform.start_gateway()
    await platform.send("/post/1")
    assert (await platform.send("/post/2")).status == 502


async def test_the_log_counts_extra_answers(platform):
    async def answer_twice(server, received, writer):
        await behave.answer(server, server.received[0], writer)
        await behave.answer(server, received, writer)

    await platform.configure()
    await platform.start_target("t1", behave.answer, answer_twice)
    await platform.start_gateway()
    with logbook.TestHandler().applicationbound() as handler:
        for request_id in ("first", "second"):
            await platform.send("/post/1", headers={"Request-Id": request_id})
    lines = [each.message for each in handler.records]
    dropped = [each for each in lines if "328 extra-answer-dropped" in each]
    assert len(dropped) == 1
    assert "request=second target=t1" in dropped[0]
    assert "count=1" in dropped[0]
