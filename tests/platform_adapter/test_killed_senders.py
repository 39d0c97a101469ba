"""A daemon that ends while targets run copies of a request under which they end."""

import asyncio
import functools

import pytest

from tests.exchanges import until
from tests.platform_adapter.harmful_callers import (
    MAX_LATER_ARRIVALS,
    Caller,
    count_later_arrivals,
    end_times_s,
)
from tests.platform_adapter.test_harmful_requests import (
    BODY,
    CALLER_HOST,
    NEIGHBOUR_HOST,
    start,
)

COPIES = 4
COPY_PAUSE_S = 0.05
RUN_S = 1.0
KILLED_AFTER_S = 0.5
RETURNED_S = 5.0
"""Time until the targets that ended have registered again."""


async def send_copies_and_end_sender(platform, targets, *, copies=COPIES):
    """Send copies of a harmful request to one daemon, and end it while they run."""
    for target in targets:
        target.register = functools.partial(platform.store.put, "servers", target.name)
    caller, sender = Caller(platform, CALLER_HOST), platform.gateways[0]
    sent = []
    for _ in range(copies):
        sending = caller.send("/post/bad", body=BODY, gateway=sender)
        sent.append(asyncio.create_task(sending))
        await asyncio.sleep(COPY_PAUSE_S)
    await asyncio.sleep(KILLED_AFTER_S)
    platform.gateways.remove(sender)
    await sender.close()
    await asyncio.gather(*sent, return_exceptions=True)
    await until(lambda: len(end_times_s(targets)) == copies)
    await asyncio.sleep(RETURNED_S)
    return caller


@pytest.mark.parametrize("ends_by_reset", [True, False])
async def test_ends_under_copies_of_an_ended_daemon_are_forgotten(
    platform, ends_by_reset
):
    targets = await start(
        platform, wait_s=RUN_S, finishes_cut_requests=True, ends_by_reset=ends_by_reset
    )
    caller = await send_copies_and_end_sender(platform, targets)
    for _ in range(6):
        await caller.send("/post/bad", body=BODY)
        await asyncio.sleep(1.0)
    # One of them is the trial after the first quarantine.
    assert len(end_times_s(targets)) <= COPIES + 1
    assert count_later_arrivals(targets) <= MAX_LATER_ARRIVALS
    neighbour = Caller(platform, NEIGHBOUR_HOST)
    assert (await neighbour.send("/post/sound", body=BODY))[0] == 200
