"""How a daemon joins the fleet and finds the other daemons."""

import asyncio
import random

import pytest
from expression import Error, Ok

from dogwoodhook import fleet_joining
from dogwoodhook.clock import ManualClock, SystemClock
from dogwoodhook.coordination.fleet_links import RowUnavailable
from dogwoodhook.coordination.fleet_messages import (
    ConfigurationNotice,
    DaemonHello,
    SuspectStates,
)
from dogwoodhook.coordination.fleet_snapshot import FleetSnapshot, TargetTable
from dogwoodhook.coordination.store import (
    RowConflict,
    StoreRow,
    StoreUnavailable,
    TableRows,
)
from dogwoodhook.fleet_joining import FleetJoining
from dogwoodhook.state.peer_liveness import NEIGHBOUR_SILENCE_S, REMOTE_SILENCE_S
from dogwoodhook.state.store_reader import rank_of
from dogwoodhook.transport.datagrams import DatagramPeers
from dogwoodhook.vm_settings import Address, VmSettings
from tests.exchanges import until


class MemoryStore:
    """Keeps rows in memory; the first ``failures`` calls return an error."""

    def __init__(self, *, failures=0, page_rows=50):
        self.page_rows = page_rows
        self.rows = {}
        self.calls = []
        self.failures = failures

    def _fails(self):
        self.failures -= 1
        return self.failures >= 0

    async def create_row(self, table, key, value):
        self.calls.append("create")
        if self._fails():
            return Error(StoreUnavailable("down"))
        if key in self.rows:
            return Error(RowConflict(StoreRow(key, self.rows[key], 1)))
        self.rows[key] = value
        return Ok(1)

    async def put_row(self, table, key, value):
        self.calls.append("put")
        if self._fails():
            return Error(StoreUnavailable("down"))
        self.rows[key] = value
        return Ok(1)

    async def read_table(self, table):
        self.calls.append("read")
        return self._rows("")

    async def read_page(self, table, *, start):
        self.calls.append("page")
        return self._rows(start, self.page_rows)

    def _rows(self, start, count=None):
        if self._fails():
            return Error(StoreUnavailable("down"))
        keys = sorted(key for key in self.rows if key >= start)
        rows = tuple(StoreRow(key, self.rows[key], 1) for key in keys[:count])
        has_more = len(rows) < len(keys)
        return Ok(TableRows(rows, 1, is_complete=not start, has_more=has_more))


def snapshot_of(*hellos):
    """Return a snapshot of a fleet without targets and configuration."""
    return FleetSnapshot(
        hellos,
        TargetTable("vm-1", 7, 7, 0.0, 0.0, ()),
        ConfigurationNotice("vm-1", 0, 0.0),
        None,
        SuspectStates("vm-1", ()),
    )


class MemoryNeighbours:
    """The snapshots that other daemons send, by the daemons' names.

    ``None`` stands for a daemon that answers without one. ``daemons`` is the answer of
    each to a question for the daemons that it knows.
    """

    def __init__(self, daemons=(), **snapshots):
        self.snapshots = snapshots
        self.daemons = daemons
        self.asked = []

    async def fetch_snapshot(self, daemon):
        self.asked.append(daemon)
        if daemon not in self.snapshots:
            return Error(RowUnavailable("no connection"))
        snapshot = self.snapshots[daemon]
        if snapshot is None:
            return Error(RowUnavailable("not known here", is_answered=True))
        return Ok(snapshot)

    async def fetch_daemons(self, daemon):
        return Ok(self.daemons)


class RecordingPeers(DatagramPeers):
    """Records the hellos that would be sent."""

    def __init__(self, daemon):
        super().__init__(
            lambda message: None,
            ManualClock(),
            daemon=daemon,
            data_centre="oulu-1",
            rng=random.Random(7),
        )
        self.sent = []

    def send_hello(self, hello, *, all_data_centres):
        self.sent.append((hello, all_data_centres))


async def join(joining, peers):
    """Run a daemon's joining until its first hello."""
    task = asyncio.create_task(joining.run())
    await until(lambda: peers.sent)
    task.cancel()


def make_joining(store, name, neighbours=None, **callbacks):
    address = Address("127.0.0.1", 7620)
    settings = VmSettings(name, "oulu-1", address, address, address, address)
    peers = RecordingPeers(name)
    joining = FleetJoining(
        store,
        peers,
        settings,
        SystemClock(),
        neighbours=neighbours or MemoryNeighbours(),
        rng=random.Random(7),
        **callbacks,
    )
    return joining, peers


async def test_the_second_daemon_finds_the_first_and_shares_its_key():
    store = MemoryStore()
    first, first_peers = make_joining(store, "vm-1")
    second, second_peers = make_joining(store, "vm-2")
    await join(first, first_peers)
    await join(second, second_peers)
    assert first_peers.key == second_peers.key
    assert second_peers.neighbours() == ["vm-1"]
    hello = DaemonHello("vm-2", "oulu-1", "127.0.0.1", 7620)
    assert second_peers.sent == [(hello, True)]


async def test_only_the_first_daemon_tries_to_create_the_key():
    store = MemoryStore()
    await join(*make_joining(store, "vm-1"))
    await join(*make_joining(store, "vm-2"))
    first, second = ["put", "page", "page", "create", "read"], ["put", "page", "read"]
    assert sorted(store.calls) == sorted(first + second)


async def test_a_daemon_reads_the_complete_table_after_its_own_row_is_written():
    store = MemoryStore()
    await join(*make_joining(store, "vm-1"))
    assert store.calls.index("put") < store.calls.index("read")


async def test_a_daemon_with_a_snapshot_does_not_read_the_complete_table():
    store = MemoryStore()
    await join(*make_joining(store, "vm-1"))
    store.calls.clear()
    other = DaemonHello("vm-9", "oulu-2", "127.0.0.1", 7620)
    adopted = []
    neighbours = MemoryNeighbours(**{"vm-1": snapshot_of(other)})
    joining, peers = make_joining(store, "vm-2", neighbours, on_snapshot=adopted.append)
    await join(joining, peers)
    assert sorted(store.calls) == ["page", "put"]
    assert peers.live_daemons() == {"oulu-1": ["vm-1"], "oulu-2": ["vm-9"]}
    assert adopted == [snapshot_of(other)]
    assert joining.has_joined


async def test_a_daemon_joins_late_although_the_store_answers_again(monkeypatch):
    """Its pauses have grown while the store was away."""
    monkeypatch.setattr(fleet_joining, "MIN_RETRY_S", 60.0)
    store = MemoryStore()
    joining, peers = make_joining(store, "vm-1")
    monkeypatch.setattr(joining, "_read_page", no_page)
    task = asyncio.create_task(joining.run())
    await until(joining.has_asked.is_set)
    assert not joining.has_read_rows
    monkeypatch.undo()
    joining.retry()
    await until(lambda: peers.sent)
    task.cancel()
    assert joining.has_read_rows
    assert joining.has_joined


async def no_page(start):
    return None


async def test_a_key_beyond_the_first_page_is_found():
    store = MemoryStore(page_rows=1)
    await join(*make_joining(store, "vm-1"))
    joining, peers = make_joining(store, "vm-0")
    await join(joining, peers)
    assert peers.key == store.rows["fleet-key"]


async def test_rows_behind_a_cut_page_are_not_read():
    store = MemoryStore()
    for number in range(4):
        await join(*make_joining(store, f"vm-{number}"))
    rows = {f"suspect/{number}": b"" for number in range(4)}
    store.rows |= rows
    # The page from the first daemon on ends with the first of these rows.
    store.page_rows = 6
    read = []
    neighbours = MemoryNeighbours(
        **{f"vm-{number}": snapshot_of() for number in range(4)}
    )
    await join(*make_joining(store, "vm-0", neighbours, on_other_row=read.append))
    assert {row.key for row in read} == set(rows)


FIRST, SECOND = sorted(
    ["vm-1", "vm-2"],
    key=lambda each: rank_of(each, "oulu-1", {"oulu-1": ["vm-1", "vm-2"]}),
)
"""Two daemons of one data centre by rank."""


@pytest.mark.parametrize(("name", "waits"), [(FIRST, False), (SECOND, True)])
async def test_of_daemons_that_start_together_only_the_first_reads_the_store(
    name, waits
):
    store = MemoryStore()
    for each in (FIRST, SECOND):
        await join(*make_joining(store, each))
    store.calls.clear()
    other = SECOND if name == FIRST else FIRST
    neighbours = MemoryNeighbours(**{other: None})
    joining, peers = make_joining(store, name, neighbours)
    task = asyncio.create_task(joining.run())
    await asyncio.sleep(0.3)
    assert ("read" not in store.calls) == waits
    neighbours.snapshots[other] = snapshot_of()
    await until(lambda: peers.sent)
    task.cancel()
    assert ("read" not in store.calls) == waits


async def test_a_daemon_whose_neighbours_never_have_a_snapshot_reads_the_store(
    monkeypatch,
):
    monkeypatch.setattr(fleet_joining, "SNAPSHOT_WAIT_S", 0.2)
    store = MemoryStore()
    for each in (FIRST, SECOND):
        await join(*make_joining(store, each))
    store.calls.clear()
    neighbours = MemoryNeighbours(**{FIRST: None})
    await join(*make_joining(store, SECOND, neighbours))
    assert "read" in store.calls
    assert neighbours.asked.count(FIRST) > 1


async def test_a_daemon_that_gets_no_answer_from_neighbours_reads_the_store_at_once():
    store = MemoryStore()
    for each in (FIRST, SECOND):
        await join(*make_joining(store, each))
    neighbours = MemoryNeighbours()
    await join(*make_joining(store, SECOND, neighbours))
    assert neighbours.asked == [FIRST]


async def test_daemons_that_started_at_the_same_moment_find_each_other_through_others(
    monkeypatch,
):
    monkeypatch.setattr(fleet_joining, "FIRST_HELLO_PAUSES_S", (0.01, 0.01))
    store = MemoryStore()
    await join(*make_joining(store, "vm-1"))
    missed = DaemonHello("vm-9", "oulu-2", "127.0.0.1", 7620)
    neighbours = MemoryNeighbours((missed,), **{"vm-1": snapshot_of()})
    joining, peers = make_joining(store, "vm-2", neighbours)
    task = asyncio.create_task(joining.run())
    await until(lambda: "oulu-2" in peers.live_daemons())
    task.cancel()


async def test_the_first_daemon_may_follow_the_store_before_it_has_joined():
    class StalledStore(MemoryStore):
        async def create_row(self, table, key, value):
            await asyncio.Event().wait()

    joining, _ = make_joining(StalledStore(), "vm-1")
    task = asyncio.create_task(joining.run())
    await asyncio.wait_for(joining.has_asked.wait(), 0.2)
    assert not joining.has_joined
    task.cancel()


async def test_a_write_without_an_answer_does_not_delay_a_snapshot():
    class StalledStore(MemoryStore):
        async def put_row(self, table, key, value):
            await super().put_row(table, key, value)
            await asyncio.Event().wait()

    store = StalledStore()
    store.rows["fleet-key"] = b"k" * 16
    store.rows["daemon/oulu-1/vm-1"] = (
        b'{"data_centre": "oulu-1", "host": "127.0.0.1", "port": 7}'
    )
    neighbours = MemoryNeighbours(**{"vm-1": snapshot_of()})
    joining, _ = make_joining(store, "vm-2", neighbours)
    task = asyncio.create_task(joining.run())
    await asyncio.wait_for(joining.has_asked.wait(), 0.2)
    assert not joining.has_joined
    task.cancel()


async def test_followers_may_read_the_store_once_joining_has_failed():
    store = MemoryStore(failures=1)
    joining, _ = make_joining(store, "vm-1")
    task = asyncio.create_task(joining.run())
    await asyncio.wait_for(joining.has_asked.wait(), 0.2)
    task.cancel()


async def test_joining_is_retried_until_the_store_answers(monkeypatch):
    monkeypatch.setattr(fleet_joining, "MIN_RETRY_S", 0.01)
    store = MemoryStore(failures=5)
    joining, peers = make_joining(store, "vm-1")
    await join(joining, peers)
    assert peers.key is not None


async def test_hellos_are_repeated_to_neighbours_and_less_often_to_all_daemons(
    monkeypatch,
):
    monkeypatch.setattr(fleet_joining, "FIRST_HELLO_PAUSES_S", (0.01, 0.01))
    monkeypatch.setattr(fleet_joining, "HELLO_INTERVAL_S", 0.01)
    monkeypatch.setattr(fleet_joining, "REMOTE_HELLO_EVERY", 2)
    joining, peers = make_joining(MemoryStore(), "vm-1")
    task = asyncio.create_task(joining.run())
    await until(lambda: len(peers.sent) >= 7)
    task.cancel()
    sent_to_all = [to_all for _, to_all in peers.sent[:7]]
    assert sent_to_all == [True, True, True, False, True, False, True]


def test_three_hellos_are_sent_within_the_silence_that_removes_a_peer():
    interval_s = fleet_joining.HELLO_INTERVAL_S
    assert 3 * interval_s <= NEIGHBOUR_SILENCE_S
    remote_s = interval_s * fleet_joining.REMOTE_HELLO_EVERY
    assert 3 * remote_s <= REMOTE_SILENCE_S


@pytest.mark.parametrize(
    "value",
    [
        b"no json",
        b"[" * 100_000,
        b"{}",
        b'{"data_centre": "oulu-1", "host": "127.0.0.1", "port": 70000}',
        b'{"data_centre": "oulu-1", "host": "127.0.0.1", "port": "7"}',
        b'{"data_centre": "oulu-1", "host": "a\\ud800", "port": 7}',
        b'{"data_centre": 7, "host": "127.0.0.1", "port": 7}',
    ],
)
async def test_an_odd_row_keeps_a_daemon_from_joining(value):
    store = MemoryStore()
    store.rows["daemon/odd"] = value
    await join(*make_joining(store, "vm-1"))
    joining, peers = make_joining(store, "vm-2")
    await join(joining, peers)
    assert peers.neighbours() == ["vm-1"]
