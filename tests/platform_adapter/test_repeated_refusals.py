"""Targets that write a refusal again, where the answer to a later request is due."""

import asyncio

import pytest

from tests.platform_adapter import target_server as behave
from tests.platform_adapter.target_server import HEAD_END

NOT_RUN_STATUSES = (408, 421, 429, 503)
WORK_S = 0.1
PAUSE_S = 0.03

REFUSALS = {
    "503": b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0",
    "429": b"HTTP/1.1 429 Too Many\r\nNot-Executed: 1\r\nContent-Length: 0",
    "421": b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0",
}


def refusal(status, request_id=None):
    """Return the bytes of a refusal, with or without a request's id."""
    head = REFUSALS[status]
    if request_id is not None:
        head += f"\r\nRequest-Id: {request_id}".encode()
    return head + HEAD_END


def in_one_piece(refusal_bytes):
    return [refusal_bytes]


def in_two_pieces(refusal_bytes):
    return [refusal_bytes[:20], refusal_bytes[20:]]


def behind_an_interim_answer(refusal_bytes):
    return [b"HTTP/1.1 100 Continue\r\n\r\n" + refusal_bytes]


def repeated_refusal_behaviours(status, *, has_id, pieces=in_one_piece):
    """Return two behaviours: refuse; write that refusal again, then run and answer."""
    written = []

    async def refuse(server, received, writer):
        written.append(refusal(status, received.request_id if has_id else None))
        writer.write(written[0])

    async def refuse_again(server, received, writer):
        for piece in pieces(written[0]):
            writer.write(piece)
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(WORK_S)
        await behave.answer(server, received, writer)

    return refuse, refuse_again


async def start(platform, *behaviours):
    await platform.configure()
    target = await platform.start_target("t1", *behaviours)
    await platform.start_gateway()
    return target


@pytest.mark.parametrize("path", ["/read/", "/post/"])
@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize(
    "pieces", [in_one_piece, in_two_pieces, behind_an_interim_answer]
)
async def test_a_repeated_refusal_does_not_refuse_the_next_request(
    platform, path, status, has_id, pieces
):
    behaviours = repeated_refusal_behaviours(status, has_id=has_id, pieces=pieces)
    target = await start(platform, *behaviours)
    assert (await platform.send(f"{path}1")).status == 503
    reply = await platform.send(f"{path}2")
    assert [each.path for each in target.received] == [f"{path}1", f"{path}2"]
    assert reply.status not in NOT_RUN_STATUSES


@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("has_id", [True, False])
async def test_a_repeated_refusal_does_not_make_a_request_run_twice(
    platform, status, has_id
):
    await platform.configure()
    targets = [
        await platform.start_target(
            name, *repeated_refusal_behaviours(status, has_id=has_id)
        )
        for name in ("t1", "t2")
    ]
    await platform.start_gateway()
    assert (await platform.send("/post/1")).status == 503
    await platform.send("/post/2")
    paths = [each.path for target in targets for each in target.received]
    assert sorted(paths) == ["/post/1", "/post/1", "/post/2"]


@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("has_id", [True, False])
async def test_a_repeated_refusal_on_an_idle_connection_reaches_no_caller(
    platform, status, has_id
):
    async def refuse_twice(server, received, writer):
        request_id = received.request_id if has_id else None
        writer.write(refusal(status, request_id))
        await asyncio.sleep(PAUSE_S)
        writer.write(refusal(status, request_id))

    target = await start(platform, refuse_twice, behave.answer)
    assert (await platform.send("/post/1")).status == 503
    await asyncio.sleep(2 * PAUSE_S)
    assert (await platform.send("/post/2")).status == 200
    assert [each.path for each in target.received] == ["/post/1", "/post/2"]


@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("has_id", [True, False])
async def test_a_partly_repeated_refusal_fails_no_later_request(
    platform, status, has_id
):
    written = []

    async def refuse(server, received, writer):
        written.append(refusal(status, received.request_id if has_id else None))
        writer.write(written[0] + written[0][:20])

    async def finish_repetition(server, received, writer):
        if received.connection == 1:
            writer.write(written[0][20:])
        await behave.answer(server, received, writer)

    target = await start(platform, refuse, finish_repetition)
    assert (await platform.send("/post/1")).status == 503
    assert (await platform.send("/post/2")).status == 200
    assert [each.path for each in target.received] == ["/post/1", "/post/2"]
