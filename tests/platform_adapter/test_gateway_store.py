"""How daemons use the store: configurations, targets, outages and peers."""

import asyncio

import aiohttp

from dogwoodhook.fleet_joining import FleetJoining
from dogwoodhook.state.daemon_stop import MAX_INTAKE_SHARE
from dogwoodhook.state.target_directory import EXPIRY_HOLD_S
from tests.exchanges import until
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.conftest import make_route

DRAIN_BOUND_S = 2.0
CONFIGURATION_BOUND_S = 2.0


async def test_without_a_configuration_nothing_is_denied(platform):
    await platform.start_target("t1")
    await platform.start_gateway(is_ready=False)
    reply = await platform.send("/post/1", data=b"x")
    assert reply.status == 503
    assert not platform.gateways[0].is_ready


async def test_a_request_during_the_start_waits_for_the_first_read_of_the_store(
    platform,
):
    await platform.configure()
    await platform.start_target("t1")
    platform.store.faults.delay_s = 0.1
    await platform.start_gateway(is_ready=False)
    reply = await platform.send("/post/1", data=b"x")
    assert reply.status == 200


async def test_a_daemon_that_cannot_read_the_fleets_rows_never_serves(
    platform, monkeypatch
):
    async def no_page(joining, start):
        return None

    monkeypatch.setattr(FleetJoining, "_read_page", no_page)
    await platform.configure()
    await platform.start_target("t1")
    await platform.start_gateway()
    assert (await platform.send("/post/1", data=b"x")).status == 200


async def test_an_unknown_route_is_denied_by_a_known_configuration(platform):
    await platform.configure()
    await platform.start_target("t1")
    await platform.start_gateway()
    assert (await platform.send("/unknown/1")).status == 404


async def test_a_new_configuration_is_in_force_within_the_bound(platform):
    await platform.configure()
    await platform.start_target("t1")
    await platform.start_target("t9", service="archive")
    await platform.start_gateway()
    assert (await platform.send("/post/1", data=b"x")).body == b"t1 ran /post/1"
    await platform.configure(5, post=make_route("/post/", backend="archive"))
    async with asyncio.timeout(CONFIGURATION_BOUND_S):
        while (await platform.send("/post/1", data=b"x")).body != b"t9 ran /post/1":
            await asyncio.sleep(0.02)


async def test_an_older_configuration_is_never_adopted(platform):
    await platform.configure(7, new=make_route("/new/"))
    await platform.start_target("t1")
    await platform.start_gateway()
    await platform.configure(6)
    await platform.configure(8, new=make_route("/new/"), newer=make_route("/newer/"))
    await until(lambda: platform.gateways[0].configuration_version == 8)
    await platform.configure(5)
    await asyncio.sleep(0.3)
    assert platform.gateways[0].configuration_version == 8
    assert (await platform.send("/new/1")).status == 200


async def test_a_malformed_configuration_leaves_the_old_one_in_force(platform):
    await platform.configure()
    await platform.start_target("t1")
    await platform.start_gateway()
    await platform.store.put("op", "config", b"{")
    await asyncio.sleep(0.3)
    assert (await platform.send("/post/1", data=b"x")).status == 200
    await platform.configure(2, new=make_route("/new/"))
    await until(lambda: platform.gateways[0].configuration_version == 2)


async def test_a_draining_target_gets_nothing_new_within_the_bound(platform):
    await platform.configure()
    leaving = await platform.start_target("t1")
    await platform.start_target("t2")
    gateways = [await platform.start_gateway(f"vm-{n}") for n in range(3)]
    await platform.store.put("servers", "t1", leaving.entry(state="draining"))
    await asyncio.sleep(DRAIN_BOUND_S)
    before = len(leaving.received)
    for gateway in gateways:
        for _ in range(5):
            reply = await platform.send("/post/1", gateway=gateway, data=b"x")
            assert reply.body == b"t2 ran /post/1"
    assert len(leaving.received) == before


async def test_one_daemon_of_a_data_centre_reads_the_store_for_the_others(platform):
    await platform.configure()
    await platform.start_target("t1")
    for number in range(4):
        await platform.start_gateway(f"vm-{number}")
    await asyncio.sleep(1.5)
    before = len(platform.store.calls)
    await asyncio.sleep(2.0)
    reads = [each for each in platform.store.calls[before:] if "servers" in each]
    assert len(reads) <= 8, (
        "one daemon reads twice a second, and a fallback may read too"
    )


async def test_malformed_entries_are_ignored_and_the_others_used(platform):
    await platform.configure()
    await platform.start_target("t1")
    await platform.store.put("servers", "forged", b"\xff\x00")
    await platform.store.put("servers", "half", {"backend": "payouts"})
    await platform.start_gateway()
    await platform.store.put("servers", "later", b"{")
    await asyncio.sleep(0.8)
    for _ in range(3):
        assert (await platform.send("/post/1", data=b"x")).body == b"t1 ran /post/1"


async def test_requests_are_served_while_the_store_is_unavailable(platform):
    await platform.configure()
    await platform.start_target("t1")
    await platform.start_gateway()
    platform.store.faults.refused = 503
    await asyncio.sleep(1.5)
    assert platform.gateways[0].is_ready
    assert (await platform.send("/post/1", data=b"x")).status == 200


async def test_a_target_removed_during_an_outage_is_held_after_the_recovery(
    platform,
):
    await platform.configure()
    await platform.start_target("t1")
    await platform.start_target("t2")
    gateway = await platform.start_gateway()
    platform.store.faults.refused = 503
    await asyncio.sleep(1.2)
    await platform.store.remove("servers", "t1")
    platform.store.faults.refused = 0
    await asyncio.sleep(1.5)
    assert gateway.knows_target("t1")
    await until(lambda: not gateway.knows_target("t1"), timeout_s=EXPIRY_HOLD_S + 2)


async def test_a_complete_read_follows_lost_history(platform):
    await platform.configure()
    await platform.start_target("t1")
    gateway = await platform.start_gateway()
    await platform.start_target("t2")
    await platform.store.remove("servers", "t1")
    platform.store.drop_history()
    await until(lambda: not gateway.knows_target("t1"))
    assert gateway.knows_target("t2")


async def test_a_failure_at_one_daemon_diverts_the_others_at_once(platform):
    await platform.configure()
    gray = await platform.start_target("t1", behave.reset)
    gateways = [await platform.start_gateway(f"vm-{n}") for n in range(3)]
    await until(lambda: all(len(each.peers) == 2 for each in gateways))
    await platform.send("/post/1", gateway=gateways[0], data=b"x")
    await platform.start_target("t2")
    await until(lambda: all(each.knows_target("t2") for each in gateways))
    for gateway in gateways[1:]:
        for _ in range(5):
            reply = await platform.send("/post/1", gateway=gateway, data=b"x")
            assert reply.status == 200
    assert len(gray.received) == 1


async def test_a_stopping_daemon_finishes_what_is_in_flight(platform):
    await platform.configure()
    target = await platform.start_target("t1", behave.after(0.6))
    gateway = await platform.start_gateway(grace_s=3.0)
    task = asyncio.ensure_future(platform.send("/post/1", data=b"x"))
    await until(lambda: target.received)
    drain = asyncio.ensure_future(gateway.drain())
    reply = await task
    assert (reply.status, reply.headers["Connection"]) == (200, "close")
    assert not gateway.is_ready
    await drain


async def test_a_daemon_that_accepts_no_more_requests_refuses_each_one(platform):
    await platform.configure()
    target = await platform.start_target("t1", behave.hang)
    gateway = await platform.start_gateway(grace_s=2.0)
    # Opens a connection for each of the two requests below.
    await asyncio.gather(platform.send("/nowhere/"), platform.send("/nowhere/"))
    held = asyncio.ensure_future(platform.send("/post/1", data=b"x"))
    await until(lambda: target.received)
    drain = asyncio.ensure_future(gateway.drain())
    await asyncio.sleep(2.0 * MAX_INTAKE_SHARE + 0.05)
    reply = await platform.send("/post/2", data=b"x", headers={"Request-Id": "late"})
    assert (reply.status, reply.headers["Request-Id"]) == (503, "late")
    assert reply.headers["Retry-After"] == "0"
    assert len(target.received) == 1
    await drain
    held.cancel()
    await asyncio.gather(held, return_exceptions=True)


async def test_a_change_made_when_a_silent_store_recovers_is_in_force_in_time(platform):
    """The platform considers the store stable three seconds after it recovered."""
    await platform.configure()
    await platform.start_target("t1")
    gateways = [await platform.start_gateway(f"vm-{n}") for n in range(3)]
    platform.store.faults.is_silent = True
    await asyncio.sleep(4.0)
    platform.store.faults.is_silent = False
    await platform.configure(2, new=make_route("/new/"))
    async with asyncio.timeout(3.0):
        await until(lambda: all(each.configuration_version == 2 for each in gateways))


async def test_a_stopping_daemon_has_closed_before_the_grace_period_ends(platform):
    await platform.configure()
    target = await platform.start_target("t1", behave.hang)
    gateway = await platform.start_gateway(grace_s=2.0)
    task = asyncio.ensure_future(platform.send("/post/1", data=b"x"))
    await until(lambda: target.received)
    async with asyncio.timeout(2.0):
        await gateway.drain()
        await gateway.close()
    task.cancel()


async def test_metrics_and_readiness_are_served_to_operators(platform):
    await platform.configure()
    await platform.start_target("t1")
    gateway = await platform.start_gateway()
    await platform.send("/read/1")
    address = gateway.settings.readiness_address
    async with aiohttp.ClientSession(f"http://{address}") as session:
        async with session.get("/readyz") as response:
            assert response.status == 200
        async with session.get("/metrics") as response:
            text = await response.text()
    assert 'service="payouts"' in text
    assert "dogwoodhook_request_duration" in text
    assert "dogwoodhook_targets_age_seconds" in text
    assert 'dogwoodhook_target_load{bound="largest"' in text
