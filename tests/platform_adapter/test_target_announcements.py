"""What targets announce in their answers, and what they are sent afterwards."""

import asyncio
import time

import logbook
import pytest

from dogwoodhook.transport import target_connections
from tests.exchanges import until
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.raw_caller import raw_caller

pytestmark = pytest.mark.xdist_group("timed")


async def start(platform, *behaviours):
    """Start a target with behaviours, and a daemon."""
    await platform.configure()
    target = await platform.start_target("t1", *behaviours)
    await platform.start_gateway()
    return target


async def start_other(platform):
    """Start a target that answers, and wait until the daemon knows it."""
    other = await platform.start_target("t2")
    await until(lambda: platform.gateways[0].knows_target("t2"))
    return other


@pytest.mark.parametrize(
    "behaviour",
    [
        behave.leaving(),
        behave.leaving("500 Error"),
        behave.leaving("503 Busy", Not_Executed="1"),
        behave.leaving("503 Busy"),
    ],
)
async def test_a_target_gets_a_request_after_it_said_that_it_leaves(
    platform, behaviour
):
    target = await start(platform, behaviour)
    first = await platform.send("/post/0", data=b"x")
    assert "Server-Leaving" not in first.headers
    await start_other(platform)
    later = [await platform.send(f"/read/{number}") for number in range(20)]
    later += [await platform.send(f"/post/{number}", data=b"x") for number in range(20)]
    assert {reply.status for reply in later} == {200}
    assert len(target.received) == 1


async def test_the_answer_of_a_target_that_leaves_is_lost(platform):
    await start(platform, behave.leaving())
    reply = await platform.send("/post/1", data=b"x")
    assert (reply.status, reply.body) == (200, b"t1")


async def test_a_request_waits_where_all_targets_said_that_they_leave(platform):
    target = await start(platform, behave.leaving())
    await platform.send("/post/1", data=b"x")
    for path in ("/post/2", "/read/2"):
        async with asyncio.timeout(1.0):
            reply = await platform.send(path)
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) >= 1.0
    assert len(target.received) == 1


@pytest.mark.parametrize("value", ["0", "true", "11", "1, 1", ""])
async def test_a_leaving_header_with_another_value_than_1_takes_a_target_away(
    platform, value
):
    target = await start(platform, behave.leaving(value=value))
    with logbook.TestHandler().applicationbound() as handler:
        for number in range(3):
            assert (await platform.send(f"/post/{number}", data=b"x")).status == 200
    assert len(target.received) == 3
    ignored = [
        each for each in handler.records if " target-announcement-ig" in each.message
    ]
    assert len(ignored) == 3


@pytest.mark.parametrize(
    "behaviour", [behave.foreign_leaving, behave.misdirected_leaving]
)
async def test_an_answer_that_belongs_to_another_request_takes_a_target_away(
    platform, behaviour
):
    target = await start(platform, behaviour, behave.answer)
    await platform.send("/post/1", data=b"x")
    assert (await platform.send("/post/2", data=b"x")).status == 200
    assert len(target.received) == 2


async def test_a_target_that_left_gets_requests_after_a_heartbeat(platform):
    target = await start(platform, behave.leaving(), behave.answer)
    await platform.send("/post/1", data=b"x")
    for _ in range(3):
        await platform.store.put("servers", "t1", target.entry())
        await asyncio.sleep(0.6)
        assert (await platform.send("/post/2", data=b"x")).status == 503
    await platform.store.put("servers", "t1", target.entry(born=99))
    async with asyncio.timeout(5.0):
        while (await platform.send("/post/3", data=b"x")).status != 200:
            await asyncio.sleep(0.05)


async def test_pipelined_requests_reach_a_target_that_said_that_it_leaves(platform):
    target = await start(platform, behave.leaving())
    await platform.send("/post/0", data=b"x")
    async with raw_caller(platform.gateways[0]) as caller:
        caller.send("/read/1", "/read/2", "/read/3")
        answers = [await caller.answer() for _ in range(3)]
    assert {answer.status for answer in answers} == {503}
    assert len(target.received) == 1


async def test_a_target_gets_a_request_during_the_pause_that_it_asked_for(platform):
    target = await start(platform, behave.pausing("0.8"), behave.answer)
    began_s = time.monotonic()
    first = await platform.send("/post/0", data=b"x")
    assert first.status == 503
    assert float(first.headers["Retry-After"]) >= 0.7
    while (reply := await platform.send("/read/1")).status == 503:
        left_s = 0.8 - (time.monotonic() - began_s)
        assert float(reply.headers["Retry-After"]) >= left_s - 0.05
        assert len(target.received) == 1
        await asyncio.sleep(0.02)
    assert time.monotonic() - began_s >= 0.8
    assert reply.status == 200


async def test_a_target_that_asked_for_a_pause_counts_as_busy_after_it(platform):
    await start(platform, behave.pausing("0.05"), behave.answer)
    with logbook.TestHandler().applicationbound() as handler:
        await platform.send("/post/0", data=b"x")
        await asyncio.sleep(0.1)
        assert (await platform.send("/post/1", data=b"x")).status == 200
    lines = [str(record.message) for record in handler.records]
    assert not any("target-suspected" in line for line in lines)
    [answered] = [line for line in lines if "request-answered" in line]
    assert "standing=sound" in answered


async def test_requests_that_wait_for_a_connection_reach_a_paused_target(
    platform, monkeypatch
):
    monkeypatch.setattr(target_connections, "MAX_CONNECTIONS_PER_TARGET", 2)
    pausing = behave.after(0.1, behave.pausing("1.5"))
    target = await start(platform, pausing)
    began_s = time.monotonic()
    replies = await asyncio.gather(
        *(platform.send(f"/post/{number}", data=b"x") for number in range(30))
    )
    assert {reply.status for reply in replies} == {503}
    assert time.monotonic() - began_s < 1.0
    assert len(target.received) <= 2


@pytest.mark.parametrize(
    "value",
    ["Sun, 06 Dec 2026 08:49:37 GMT", "-1", "inf", "1e9", "nan", "9" * 400, "x", ""],
)
async def test_an_unreadable_pause_takes_a_target_away(platform, value):
    target = await start(platform, behave.pausing(value), behave.answer)
    with logbook.TestHandler().applicationbound() as handler:
        assert (await platform.send("/post/0", data=b"x")).status == 503
        assert (await platform.send("/post/1", data=b"x")).status == 200
    assert len(target.received) == 2
    assert any(
        "target-announcement-ignored" in each.message for each in handler.records
    )


async def test_retry_after_of_another_answer_than_a_503_pauses_a_target(platform):
    pausing = behave.pausing("5", status="429 Too Many Requests")
    target = await start(platform, pausing, behave.answer)
    await platform.send("/post/0", data=b"x")
    assert (await platform.send("/post/1", data=b"x")).status == 200
    assert len(target.received) == 2
