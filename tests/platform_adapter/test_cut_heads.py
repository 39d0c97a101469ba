"""Answers that a target breaks off, in the head or between chunks of the body."""

import asyncio

import pytest

from tests.platform_adapter import target_server as behave

pytestmark = [
    pytest.mark.xdist_group("timed"),
    pytest.mark.usefixtures("slow_connections"),
]

BODY = b"whole"


def sized(received):
    return (
        behave.head("200 OK", received, length=len(BODY), Server_Signature="s") + BODY
    )


def chunked(received):
    head = behave.head(
        "200 OK", received, Transfer_Encoding="chunked", Server_Signature="s"
    )
    return head + b"2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"


def unframed_head(received):
    """Return a head only: its body ends with the connection, wherever that is cut."""
    return behave.head("200 OK", received, Server_Signature="s")


def close(writer):
    writer.close()


def cut_at(index, make_answer, *, end, piece_bytes):
    async def behaviour(server, received, writer):
        text = make_answer(received)[:index]
        size = piece_bytes or len(text) or 1
        for at in range(0, len(text), size):
            writer.write(text[at : at + size])
            await asyncio.sleep(0)
        end(writer)

    return behaviour


def length_of(make_answer):
    received = behave.ReceivedRequest("GET", "/", {"request-id": "request-10"}, b"", 1)
    return len(make_answer(received))


@pytest.mark.parametrize("end", [close, behave.reset_connection])
@pytest.mark.parametrize("piece_bytes", [None, 7])
@pytest.mark.parametrize("make_answer", [sized, chunked, unframed_head])
@pytest.mark.parametrize("is_used", [True, False])
async def test_an_answer_cut_at_any_byte_is_never_a_success(
    platform, make_answer, piece_bytes, end, is_used
):
    await platform.configure()
    target = await platform.start_target("t1")
    await platform.start_gateway()
    for index in range(length_of(make_answer) - 2):
        target.behaviours = [behave.answer] if is_used else []
        target.behaviours.append(
            cut_at(index, make_answer, end=end, piece_bytes=piece_bytes)
        )
        if is_used:
            assert (await platform.send("/post/sound", data=b"x")).status == 200
        reply = await platform.send("/post/cut", data=b"x")
        assert reply.status == 502, f"cut at {index}: {reply}"
