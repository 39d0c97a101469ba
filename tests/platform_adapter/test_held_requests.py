"""Requests that a daemon holds back while targets shed what they get."""

import asyncio

from tests.exchanges import until
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.conftest import make_route


async def start(platform, *behaviours, retries=2.0):
    await platform.configure(post=make_route("/post/", timeout="4000ms"))
    target = await platform.start_target("t1", *behaviours)
    gateway = await platform.start_gateway(
        retry_ratio=0.0, retry_extra=retries, retry_window_s=0.4
    )
    return target, gateway


async def test_a_shed_request_waits_for_the_budget_and_is_answered(platform):
    target, _ = await start(platform, *[behave.refuse] * 3, behave.answer)
    reply = await platform.send("/post/1", data=b"x")
    assert reply.status == 200
    assert len(target.received) == 4


async def test_a_request_without_time_to_wait_is_refused_at_once(platform):
    target, _ = await start(platform, behave.refuse)
    reply = await platform.send("/post/1", headers={"Deadline-Ms": "400"})
    assert reply.status == 503
    assert len(target.received) == 1


async def test_a_held_request_whose_caller_has_left_is_not_sent(platform):
    target, gateway = await start(platform, behave.refuse, retries=0.0)
    waiting = asyncio.create_task(platform.send("/post/1", data=b"x"))
    await until(lambda: target.received)
    await asyncio.sleep(0.1)
    waiting.cancel()
    await asyncio.sleep(0.1)
    gateway._budget.resize(ratio=0.0, extra=20.0, window_s=0.4)
    await asyncio.sleep(0.6)
    assert len(target.received) == 1


async def test_a_held_request_is_refused_when_the_daemon_stops(platform):
    target, gateway = await start(platform, behave.refuse, retries=0.0)
    waiting = asyncio.create_task(platform.send("/post/1", data=b"x"))
    await until(lambda: target.received)
    await asyncio.sleep(0.1)
    assert not waiting.done()
    stopping = asyncio.create_task(gateway.drain())
    assert (await waiting).status == 503
    await stopping
