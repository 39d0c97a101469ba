"""Quotas of workspaces, as callers see them."""

import asyncio
from collections import Counter

import logbook

from tests.exchanges import until
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.test_workspace_keys import configure

LAB = {"Api-Key": "lab-key"}
WARD = {"Api-Key": "ward-key"}
BURST = 12
RATE_PER_S = 0.01
QUOTA = {
    "lab": {"apiKeys": ["lab-key"], "ratePerS": RATE_PER_S, "burst": BURST},
    "ward": {"apiKeys": ["ward-key"]},
}


async def start(platform, *behaviours, daemons=1):
    await configure(platform, tenants=QUOTA)
    target = await platform.start_target("t1", *behaviours)
    for number in range(daemons):
        # A window that has passed when the first request comes: until then, a daemon
        # that has started grants nothing beyond the rate.
        await platform.start_gateway(
            f"vm-{number}", quota_window_s=0.001, quota_slack=0.0
        )
    await until(
        lambda: all(len(each.peers) == daemons - 1 for each in platform.gateways)
    )
    return target


async def test_a_workspace_over_its_quota_gets_429_and_others_are_served(platform):
    target = await start(platform)
    with logbook.TestHandler().applicationbound() as handler:
        replies = [
            await platform.send("/post/1", data=b"x", headers=LAB) for _ in range(20)
        ]
    refused = [each for each in replies if each.status == 429]
    assert Counter(each.status for each in replies) == {200: BURST, 429: 20 - BURST}
    assert all(float(each.headers["Retry-After"]) > 50 for each in refused)
    assert all("Request-Id" in each.headers for each in refused)
    assert len(target.received) == BURST
    messages = [each.message for each in handler.records]
    lines = [each for each in messages if "quota-exceeded" in each]
    assert len(lines) == 1
    assert "workspace=lab" in lines[0]
    assert (await platform.send("/post/1", data=b"x", headers=WARD)).status == 200


async def test_daemons_count_a_workspace_together(platform):
    target = await start(platform, daemons=3)
    replies = await asyncio.gather(
        *(
            platform.send("/post/1", data=b"x", headers=LAB, gateway=gateway)
            for _ in range(10)
            for gateway in platform.gateways
        )
    )
    assert {each.status for each in replies} == {200, 429}
    assert len(target.received) == BURST


async def test_requests_that_targets_refuse_do_not_count(platform):
    target = await start(platform, behave.refuse)
    refused = [
        await platform.send("/post/1", data=b"x", headers=LAB) for _ in range(20)
    ]
    assert {each.status for each in refused} == {503}
    assert target.received
