"""How a daemon follows the list of targets, and what it tells the others."""

import asyncio
from contextlib import asynccontextmanager

import logbook
from expression import Error, Ok

from dogwoodhook.clock import SystemClock
from dogwoodhook.coordination.fleet_messages import StoreUpdate
from dogwoodhook.coordination.store import StoreRow, StoreUnavailable, TableRows
from dogwoodhook.coordination.store_reading import RowDecoder
from dogwoodhook.coordination.target_following import (
    MAX_CHANGES_PER_UPDATE,
    MAX_CHANGES_SENT,
    TargetFollower,
)
from dogwoodhook.state.target_directory import (
    TargetChange,
    TargetDirectory,
    TargetEntry,
)
from tests.exchanges import until


class ChangingStore:
    """A table of targets; ``add`` makes as many new ones."""

    def __init__(self):
        self.rows = []
        self.whole_reads = 0
        self.is_down = False

    def add(self, count):
        for _ in range(count):
            version = len(self.rows) + 1
            self.rows.append(StoreRow(f"t{version}", b"{}", version))

    async def read_table(self, table):
        if self.is_down:
            return Error(StoreUnavailable("down"))
        self.whole_reads += 1
        return Ok(TableRows(tuple(self.rows), len(self.rows), is_complete=True))

    async def read_changes(
        self, table, *, after_version, wait_s=0.0, on_long_answer=None
    ):
        if self.is_down:
            return Error(StoreUnavailable("down"))
        newer = tuple(self.rows[after_version:])
        return Ok(TableRows(newer, len(self.rows), is_complete=False))


class RecordingLinks:
    """Links to neighbours; keeps what they would be told."""

    def __init__(self, *neighbours):
        self.names = list(neighbours)
        self.told = []

    def neighbours(self):
        return self.names

    def notify_neighbours(self, message):
        self.told.append(message)


def decode(row):
    return TargetEntry(row.key, "payouts", "10.0.0.1", 80, "oulu-1", 3, False, 0.0, 1)


@asynccontextmanager
async def following(daemon, *neighbours, targets=1):
    store, links, directory = ChangingStore(), RecordingLinks(*neighbours), None
    store.add(targets)
    directory = TargetDirectory()
    follower = TargetFollower(
        store,
        directory,
        RowDecoder("config", decode, lambda row: None),
        links,
        SystemClock(),
        daemon=daemon,
        bound_s=2.0,
    )
    task = asyncio.create_task(follower.run())
    await until(lambda: directory.version == targets)
    try:
        yield store, links, directory, follower
    finally:
        task.cancel()


def reading(after, version, *, age_s=0.0):
    return StoreUpdate("vm-9", after, version, 0.0, age_s)


async def test_the_reader_tells_its_neighbours_of_each_change():
    async with following("vm-1") as (store, links, _, _):
        store.add(2)
        await until(lambda: links.told and links.told[-1].version == 3)
        changes = [each for told in links.told for each in told.changes]
        assert [each.name for each in changes] == ["t2", "t3"]


async def test_a_mass_of_changes_is_read_by_each_and_not_told():
    async with following("vm-1") as (store, links, _, _):
        store.add(MAX_CHANGES_SENT + 1)
        version = MAX_CHANGES_SENT + 2
        await until(lambda: any(told.version == version for told in links.told))
        [told] = [told for told in links.told if told.version == version][:1]
        assert (told.after_version, told.changes) == (version, ())


async def test_a_daemon_that_missed_a_reading_reads_and_tells_nobody(monkeypatch):
    ranks = {"vm-1": 3}
    monkeypatch.setattr(
        "dogwoodhook.coordination.target_following.rank_of",
        lambda daemon, daemons: ranks[daemon],
    )
    async with following("vm-1", "vm-9") as (store, links, directory, follower):
        links.told.clear()
        store.add(2)
        follower.receive(reading(2, 3))
        await until(lambda: directory.version == 3)
        assert links.told == []


async def test_what_a_neighbour_reads_is_believed_despite_a_gap(monkeypatch):
    monkeypatch.setattr(
        "dogwoodhook.coordination.target_following.rank_of", lambda daemon, daemons: 3
    )
    async with following("vm-1", "vm-9") as (store, _, directory, follower):
        store.is_down = True
        store.add(6)
        change = TargetChange("t1", 7, None)
        follower.receive(StoreUpdate("vm-9", 6, 7, 0.0, 0.0, (change,)))
        assert directory.get("t1") is None
        assert directory.version == 1
        store.is_down = False
        await until(lambda: directory.version == 7)


async def test_a_reader_tells_what_it_has_heard_from_another_daemon():
    """Neighbours that lost the other daemon's datagram."""
    async with following("vm-1") as (store, links, _, follower):
        store.add(6)
        entry = decode(store.rows[5])
        follower.receive(
            StoreUpdate("vm-9", 5, 6, 0.0, 0.0, (TargetChange("t6", 6, entry),))
        )
        await until(lambda: any(told.version == 7 for told in links.told))
        changes = [each for told in links.told for each in told.changes]
        assert [each.name for each in changes] == [f"t{each}" for each in range(2, 8)]


async def test_a_version_is_known_once_all_parts_of_its_reading_have_come(monkeypatch):
    monkeypatch.setattr(
        "dogwoodhook.coordination.target_following.rank_of",
        lambda daemon, daemons: 0 if daemon == "vm-1" else 3,
    )
    async with (
        following("vm-1") as (store, links, _, _),
        following("vm-2", "vm-1") as (_, _, directory, follower),
    ):
        store.add(2 * MAX_CHANGES_PER_UPDATE)
        version = len(store.rows)
        await until(lambda: any(told.version == version for told in links.told))
        first, second = [told for told in links.told if told.changes]
        follower.receive(first)
        assert directory.get(first.changes[0].name) is not None
        assert directory.version == 1
        follower.receive(first)
        assert directory.version == 1
        follower.receive(second)
        assert directory.version == version


async def test_a_change_that_was_heard_of_is_logged_with_the_age_of_its_reading():
    async with following("vm-1", targets=2) as (_, _, _, follower):
        await until(lambda: follower.age_s < 0.5)
        change = TargetChange("t1", 7, None)
        with logbook.TestHandler().applicationbound() as handler:
            follower.receive(StoreUpdate("vm-9", 2, 8, 0.0, 0.25, (change,)))
        [line] = [str(each.message) for each in handler.records]
        for field in ("target=t1", "source=vm-9", "row=7", "version=8", "age_ms=250"):
            assert field in line
        assert follower.age_s < 0.5


async def test_a_daemon_that_was_away_for_long_reads_the_whole_table(monkeypatch):
    monkeypatch.setattr("dogwoodhook.coordination.target_following.MAX_CATCH_UP_S", 0.3)
    async with following("vm-1") as (store, _, directory, _):
        store.is_down = True
        await asyncio.sleep(1.0)
        store.add(2)
        reads = store.whole_reads
        store.is_down = False
        await until(lambda: directory.version == 3)
        assert store.whole_reads == reads + 1
