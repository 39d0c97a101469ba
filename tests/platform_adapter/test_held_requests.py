"""Requests that a daemon holds back while targets shed what they get."""

import asyncio

from dogwoodhook.state.suspicion import Symptom
from tests.exchanges import until
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.conftest import make_route


async def start(platform, *behaviours, retries=2.0, **settings):
    await platform.configure(post=make_route("/post/", timeout="4000ms"))
    target = await platform.start_target("t1", *behaviours, slots=1)
    gateway = await platform.start_gateway(
        retry_ratio=0.0, retry_extra=retries, retry_window_s=0.4, **settings
    )
    return target, gateway


async def test_a_shed_request_waits_for_the_budget_and_is_answered(platform):
    other = await platform.start_target("t2", behave.refuse, behave.answer)
    target, _ = await start(platform, behave.refuse, behave.answer)
    reply = await platform.send("/post/1", data=b"x")
    assert reply.status == 200
    assert len(target.received) + len(other.received) == 3


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


async def send_three(platform):
    calls = []
    for number in range(3):
        calls.append(asyncio.create_task(platform.send(f"/post/{number}", data=b"x")))
        await asyncio.sleep(0.03)
    return await asyncio.gather(*calls)


async def test_a_request_waits_while_slots_and_a_short_queue_are_taken(platform):
    target, _ = await start(platform, behave.after(0.4), has_competing_load=True)
    waiting = asyncio.create_task(send_three(platform))
    await asyncio.sleep(0.2)
    assert len(target.received) == 2
    assert [reply.status for reply in await waiting] == [200, 200, 200]


async def test_no_request_waits_for_a_slot_where_callers_do_not_compete(platform):
    target, _ = await start(platform, behave.after(0.4))
    waiting = asyncio.create_task(send_three(platform))
    await asyncio.sleep(0.2)
    assert len(target.received) == 3
    assert [reply.status for reply in await waiting] == [200, 200, 200]


async def test_a_request_that_cannot_end_in_time_is_refused_before_it_waits(platform):
    target, _ = await start(platform, behave.after(0.4), has_competing_load=True)
    first = asyncio.create_task(send_three(platform))
    await asyncio.sleep(0.1)
    reply = await platform.send("/post/3", data=b"x", headers={"Deadline-Ms": "700"})
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    await first
    assert len(target.received) == 3


async def test_no_retry_is_spent_while_no_target_is_left(platform):
    _, gateway = await start(platform, behave.refuse, retries=20.0)
    reply = await platform.send("/post/1", data=b"x")
    assert reply.status == 503
    assert gateway._budget.own_retries("payouts", now_s=gateway._clock.now_s()) == 0


async def test_a_shed_request_waits_while_the_other_targets_are_full(platform):
    other = await platform.start_target("t2", behave.answer)
    target, gateway = await start(
        platform, behave.refuse, behave.answer, retries=20.0, has_competing_load=True
    )
    now_s = gateway._clock.now_s()
    gateway._suspicion.record_failure("t2", Symptom.BUSY, now_s=now_s)
    waiting = asyncio.create_task(platform.send("/post/1", data=b"x"))
    await until(lambda: target.received)
    await asyncio.sleep(0.1)
    assert not other.received
    assert (await waiting).status == 200
