"""A store that comes back from a copy of its rows, in a new era of versions."""

import asyncio
from contextlib import asynccontextmanager

import logbook
import pytest
from expression import Result

from dogwoodhook.coordination.store import HistoryLost, StoreUnavailable, Table
from dogwoodhook.platform.store_client import HttpStore
from dogwoodhook.state.store_position import position_of
from tests.exchanges import until
from tests.platform_adapter.conftest import make_configuration, make_route
from tests.platform_adapter.store_server import running_store

DRAIN_S = 2.0
CONFIGURATION_S = 2.0
"""Bounds of the users' page, from the store's answer."""


@asynccontextmanager
async def open_client(*, era=1):
    async with running_store() as server:
        server.era = era
        client = HttpStore(server.address)
        try:
            yield server, client
        finally:
            await client.close()


async def test_changes_after_a_version_that_was_given_out_again_are_incomplete():
    async with open_client() as (server, client):
        await server.put("servers", "t1", b"x")
        copy = server.copy()
        await server.put("servers", "t2", b"x")
        known = (await client.read_table(Table.TARGETS)).ok.version
        server.restore(copy)
        for name in ("t3", "t4"):
            await server.put("servers", name, b"x")
        lost = await client.read_changes(Table.TARGETS, after_version=known)
        assert lost == Result.Error(HistoryLost())
        rows = (await client.read_table(Table.TARGETS)).ok
        assert [row.key for row in rows.rows] == ["t1", "t3", "t4"]
        assert rows.version == position_of(2, 3) > known


async def test_a_version_ahead_of_the_copy_ends_the_following_of_changes():
    async with open_client() as (server, client):
        copy = server.copy()
        await server.put("servers", "t1", b"x")
        known = (await client.read_table(Table.TARGETS)).ok.version
        server.restore(copy)
        lost = await client.read_changes(Table.TARGETS, after_version=known)
        assert lost == Result.Error(HistoryLost())


async def test_a_table_is_read_partly_before_and_partly_after_a_return():
    async with open_client() as (server, client):
        server.page_rows = 1
        for name in ("t1", "t2"):
            await server.put("servers", name, b"x")
        copy = server.copy()
        handle = server._handle_in_era

        async def handle_and_return(request):
            response = await handle(request)
            if len(server.calls) == 1:
                server.restore(copy)
            return response

        server._handle_in_era = handle_and_return
        reading = await client.read_table(Table.TARGETS)
        assert isinstance(reading.error, StoreUnavailable)


async def test_a_row_of_an_older_era_is_replaced_by_its_version():
    async with open_client() as (server, client):
        copy = server.copy()
        version = (await client.create_row(Table.DAEMONS, "a", b"1")).ok
        server.restore(copy)
        await server.put("dogwoodhook-daemons", "a", b"2")
        await client.read_table(Table.DAEMONS)
        replaced = await client.replace_row(Table.DAEMONS, "a", b"3", version=version)
        assert isinstance(replaced.error, StoreUnavailable)
        assert (await client.read_table(Table.DAEMONS)).ok.rows[0].value == b"2"


@pytest.mark.parametrize("stated", [None, "", "x", "-1", "1.5", "9" * 400])
async def test_an_unusable_era_begins_another_one(stated):
    async with open_client(era=3) as (server, client):
        await server.put("servers", "t1", b"x")
        known = (await client.read_table(Table.TARGETS)).ok.version
        server.era = stated
        with logbook.TestHandler().applicationbound() as handler:
            for _ in range(2):
                changes = await client.read_changes(Table.TARGETS, after_version=known)
        # The first answer raises the doubt, so the next step is a complete read.
        assert changes == Result.Error(HistoryLost())
        assert (await client.read_table(Table.TARGETS)).ok.version == known
        changes = await client.read_changes(Table.TARGETS, after_version=known)
        assert changes.is_ok()
        ignored = [each for each in handler.records if " 913 " in f" {each.message}"]
        assert len(ignored) == 1


async def test_an_answer_of_an_older_era_counts_as_one_of_the_newest():
    async with open_client(era=3) as (server, client):
        await server.put("servers", "t1", b"x")
        await client.read_table(Table.TARGETS)
        server.era = 2
        assert isinstance(
            (await client.read_table(Table.TARGETS)).error, StoreUnavailable
        )


async def start(platform, *targets):
    """Start a daemon with targets, on a store that states its era."""
    platform.store.era = 1
    await platform.configure()
    started = [await platform.start_target(name) for name in targets]
    gateway = await platform.start_gateway()
    for name in targets:
        await until(lambda name=name: gateway.knows_target(name))
    return started


async def test_a_target_that_drained_before_a_return_gets_requests(platform):
    (t1, t2) = await start(platform, "t1", "t2")
    copy = platform.store.copy()
    await platform.store.put("servers", "t1", t1.entry(state="draining"))
    gateway = platform.gateways[0]
    await until(lambda: not gateway.is_serving("t1"))
    platform.store.restore(copy)
    t1.received.clear()
    for number in range(20):
        assert (await platform.send(f"/post/{number}")).status == 200
        await asyncio.sleep(0.1)
    assert not t1.received
    assert t2.received


async def test_a_target_that_was_removed_before_a_return_gets_requests(platform):
    (t1, _) = await start(platform, "t1", "t2")
    copy = platform.store.copy()
    await platform.store.remove("servers", "t1")
    gateway = platform.gateways[0]
    await until(lambda: not gateway.knows_target("t1"))
    platform.store.restore(copy)
    for number in range(20):
        assert (await platform.send(f"/post/{number}")).status == 200
        await asyncio.sleep(0.1)
    assert not t1.received
    # It is alive after all, and writes its row again.
    await platform.store.put("servers", "t1", t1.entry(sequence=2))
    async with asyncio.timeout(DRAIN_S):
        await until(lambda: gateway.knows_target("t1"))


async def test_a_report_with_a_lower_version_than_known_is_ignored(platform):
    (t1, _) = await start(platform, "t1", "t2")
    copy = platform.store.copy()
    for sequence in range(2, 30):
        await platform.store.put("servers", "t1", t1.entry(sequence=sequence))
    await asyncio.sleep(1.0)
    platform.store.restore(copy)
    await platform.store.put("servers", "t1", t1.entry(state="draining"))
    gateway = platform.gateways[0]
    async with asyncio.timeout(DRAIN_S):
        await until(lambda: not gateway.is_serving("t1"))


async def test_a_target_that_is_missing_in_a_copy_is_taken_away_at_once(platform):
    await start(platform, "t1")
    copy = platform.store.copy()
    t2 = await platform.start_target("t2")
    gateway = platform.gateways[0]
    await until(lambda: gateway.knows_target("t2"))
    platform.store.restore(copy)
    await asyncio.sleep(1.2)
    assert gateway.knows_target("t2")
    await platform.store.put("servers", "t2", t2.entry(sequence=2))
    await asyncio.sleep(2.5)
    assert gateway.knows_target("t2")


async def test_a_version_of_the_operator_after_a_return_is_ignored(platform):
    await start(platform, "t1")
    copy = platform.store.copy()
    for version in range(2, 6):
        await platform.configure(version)
    gateway = platform.gateways[0]
    await until(lambda: gateway.configuration_version == 5)
    platform.store.restore(copy)
    await asyncio.sleep(1.0)
    assert gateway.configuration_version == 5
    await platform.configure(6, new=make_route("/new/"))
    async with asyncio.timeout(CONFIGURATION_S):
        await until(lambda: gateway.configuration_version == 6)


async def test_a_daemon_that_starts_after_a_return_gets_the_copys_configuration(
    platform,
):
    await start(platform, "t1")
    copy = platform.store.copy()
    await platform.configure(5)
    first = platform.gateways[0]
    await until(lambda: first.configuration_version == 5)
    platform.store.restore(copy)
    await asyncio.sleep(1.0)
    second = await platform.start_gateway("vm-2")
    assert second.configuration_version == 5
    await platform.store.put("op", "config", make_configuration(6))
    async with asyncio.timeout(CONFIGURATION_S):
        await until(lambda: second.configuration_version == 6)


async def test_requests_are_not_served_during_several_returns(platform):
    (t1,) = await start(platform, "t1")
    copy = platform.store.copy()
    sent = 0
    for number in range(3):
        platform.store.restore(copy)
        await platform.store.put("servers", "t1", t1.entry(sequence=number + 2))
        for _ in range(5):
            sent += 1
            assert (await platform.send(f"/post/{sent}")).status == 200
            await asyncio.sleep(0.1)
    assert len(t1.received) == sent


async def test_daemons_that_joined_before_a_return_are_missing_for_later_ones(platform):
    copy = platform.store.copy()
    await start(platform, "t1")
    await platform.start_gateway("vm-2")
    client = HttpStore(platform.store.address)
    platform.stack.push_async_callback(client.close)
    before = {
        row.key: row.value for row in (await client.read_table(Table.DAEMONS)).ok.rows
    }
    assert len(before) == 3
    platform.store.restore(copy)
    await asyncio.sleep(6.0)
    after = {
        row.key: row.value for row in (await client.read_table(Table.DAEMONS)).ok.rows
    }
    assert after == before
