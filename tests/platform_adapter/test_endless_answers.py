"""Bytes without end from a target: cut off soon, and no caller waits for them."""

import asyncio
import time

import aiohttp
import pytest

from tests.exchanges import until
from tests.platform_adapter import endless_target
from tests.platform_adapter.conftest import make_route

MAX_TAKEN_BYTES = 16 * 1024 * 1024
"""Bytes of one target that a daemon and the sockets on both sides take at most: the
largest buffers of the system, and what is read before the cut."""

ROUTE_TIMEOUT_S = 3.0


def names(behaviours):
    found = {
        value: name for name, value in vars(endless_target).items() if callable(value)
    }
    return [found[each] for each in behaviours]


@pytest.mark.parametrize(
    "behaviour", endless_target.WITHOUT_ANSWER, ids=names(endless_target.WITHOUT_ANSWER)
)
async def test_bytes_that_are_no_answer_do_not_hold_a_caller(platform, behaviour):
    await platform.configure(read=make_route("/read/", kind="safe"))
    endless = await platform.start_target("t1", behaviour)
    await platform.start_gateway()
    started_s = time.monotonic()
    reply = await platform.send("/read/1")
    assert reply.status == 502
    assert time.monotonic() - started_s < ROUTE_TIMEOUT_S / 2, "cut off, not timed out"
    await until(lambda: endless.was_cut_off)
    assert endless.endless_bytes < MAX_TAKEN_BYTES


@pytest.mark.parametrize(
    "behaviour", endless_target.AFTER_ANSWER, ids=names(endless_target.AFTER_ANSWER)
)
async def test_bytes_behind_an_answer_are_cut_off_and_reach_no_caller(
    platform, behaviour
):
    await platform.configure()
    endless = await platform.start_target("t1", behaviour)
    await platform.start_gateway()
    reply = await platform.send("/read/1")
    assert (reply.status, reply.body) == (200, b"t1 ran /read/1")
    await until(lambda: endless.was_cut_off)
    assert endless.endless_bytes < MAX_TAKEN_BYTES
    await asyncio.sleep(0.1)
    endless.behaviours = [endless_target.answer]
    assert (await platform.send("/read/2")).body == b"t1 ran /read/2"


async def test_an_answer_without_end_is_cut_at_the_route_s_timeout(platform):
    await platform.configure(read=make_route("/read/", kind="safe", timeout="1000ms"))
    endless = await platform.start_target("t1", endless_target.answer_without_end)
    await platform.start_gateway()
    started_s = time.monotonic()
    with pytest.raises(aiohttp.ClientError):
        await platform.send("/read/1")
    assert time.monotonic() - started_s < 1.5
    await until(lambda: endless.was_cut_off)
