"""The transfer of rows and snapshots between daemons, over real sockets."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp

from dogwoodhook.clock import SystemClock
from dogwoodhook.coordination.fleet_messages import (
    ConfigurationNotice,
    DaemonHello,
    SuspectStates,
)
from dogwoodhook.coordination.fleet_snapshot import FleetSnapshot, TargetTable
from dogwoodhook.coordination.store import StoreRow
from dogwoodhook.protocol import fleet_codec
from dogwoodhook.state.quarantine import SuspectState
from dogwoodhook.state.target_directory import TargetChange, TargetEntry
from dogwoodhook.testing.fleet import free_port
from dogwoodhook.transport.peer_exchange import PATH, PeerExchange
from dogwoodhook.vm_settings import Address

ROW = StoreRow("config", b"{}" * 100_000, 7)
HELLOS = (DaemonHello("vm-3", "oulu-1", "127.0.0.1", 7620),)
ENTRY = TargetEntry("t1", "payouts", "10.0.0.1", 80, "oulu-1", 3, False, 0.5, 9)
SNAPSHOT = FleetSnapshot(
    HELLOS,
    TargetTable("vm-1", 7, 7, 0.5, 0.0, (TargetChange("t1", 3, ENTRY),)),
    ConfigurationNotice("vm-1", 7, 0.25, 9),
    ROW,
    SuspectStates("vm-1", (SuspectState("payouts", "a"),)),
)


class KnownPeers:
    """Addresses of daemons, and the fleet's key."""

    def __init__(self, address, *, key=b"k" * 16):
        self.key = key
        self._address = address

    def address_of(self, daemon):
        return self._address if daemon == "vm-1" else None


@asynccontextmanager
async def open_pair(
    *, served_row=ROW, other_key=b"k" * 16, take_snapshot=lambda: SNAPSHOT
):
    """Yield an exchange that may fetch a row from vm-1, and the address of vm-1."""
    async with AsyncExitStack() as stack:
        addresses = [Address("127.0.0.1", free_port()) for _ in range(2)]
        clock = SystemClock()
        server = PeerExchange(KnownPeers(addresses[0]), addresses[0], clock)
        client = PeerExchange(
            KnownPeers(addresses[0], key=other_key), addresses[1], clock
        )
        server.list_daemons = lambda: HELLOS
        server.take_snapshot = take_snapshot
        for each in (server, client):
            await each.start()
            stack.push_async_callback(each.close)
        server.current_row = served_row
        yield client, addresses[0]


async def test_a_row_is_transferred_completely():
    async with open_pair() as (client, _):
        assert (await client.fetch("vm-1", min_version=7)).ok == ROW


async def test_an_older_row_or_a_missing_row_is_not_transferred():
    async with open_pair() as (client, _):
        assert (await client.fetch("vm-1", min_version=8)).error.detail
    async with open_pair(served_row=None) as (client, _):
        assert (await client.fetch("vm-1", min_version=0)).error.detail


async def test_a_row_under_another_key_is_refused():
    async with open_pair(other_key=b"x" * 16) as (client, _):
        problem = (await client.fetch("vm-1", min_version=7)).error
        assert problem.detail == "vm-1: the digest does not match"


async def test_no_row_is_fetched_from_an_unknown_daemon():
    async with open_pair() as (client, _):
        problem = (await client.fetch("vm-2", min_version=7)).error
        assert problem.detail == "vm-2 is not known"


async def test_a_snapshot_is_transferred_completely_and_ages_on_the_way():
    async with open_pair() as (client, _):
        snapshot = (await client.fetch_snapshot("vm-1")).ok
    late_s = snapshot.targets.age_s - SNAPSHOT.targets.age_s
    assert 0 < late_s < 0.5
    assert snapshot.configuration.age_s > SNAPSHOT.configuration.age_s
    assert snapshot.targets.targets == SNAPSHOT.targets.targets
    assert snapshot.configuration_row == ROW
    assert snapshot.suspects == SNAPSHOT.suspects
    assert snapshot.daemons == HELLOS


async def test_a_snapshot_that_is_sent_again_is_older():
    taken = []

    def take():
        taken.append(None)
        return SNAPSHOT

    async with open_pair(take_snapshot=take) as (client, _):
        await client.fetch_snapshot("vm-1")
        await asyncio.sleep(0.1)
        again = (await client.fetch_snapshot("vm-1")).ok
    assert len(taken) == 1
    assert again.targets.age_s >= SNAPSHOT.targets.age_s + 0.1


async def test_a_daemon_without_a_snapshot_says_so():
    async with open_pair(take_snapshot=lambda: None) as (client, _):
        assert (await client.fetch_snapshot("vm-1")).error.is_answered
        assert not (await client.fetch_snapshot("vm-2")).error.is_answered


async def test_a_snapshot_under_another_key_or_without_end_is_refused(monkeypatch):
    async with open_pair(other_key=b"x" * 16) as (client, _):
        problem = (await client.fetch_snapshot("vm-1")).error
    assert problem.detail == "vm-1: the digest does not match"
    monkeypatch.setattr(fleet_codec, "MAX_SNAPSHOT_BYTES", 100)
    async with open_pair() as (client, _):
        assert "over 100 bytes" in (await client.fetch_snapshot("vm-1")).error.detail


async def test_the_known_daemons_are_transferred():
    async with open_pair() as (client, _):
        assert (await client.fetch_daemons("vm-1")).ok == HELLOS


async def test_malformed_requests_are_refused():
    async with open_pair() as (_, address), aiohttp.ClientSession() as session:
        for query in (f"{PATH}?min-version=x", "/other"):
            async with session.get(f"http://{address}{query}") as response:
                assert response.status == 404
