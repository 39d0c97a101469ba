"""How a daemon follows the list of targets, and what it sends to the others."""

import asyncio
from contextlib import asynccontextmanager

import logbook
from expression import Error, Ok

from dogwoodhook.clock import SystemClock
from dogwoodhook.coordination.fleet_messages import StoreUpdate
from dogwoodhook.coordination.fleet_snapshot import TargetTable
from dogwoodhook.coordination.store import (
    HistoryLost,
    StoreRow,
    StoreUnavailable,
    TableRows,
)
from dogwoodhook.coordination.store_reading import RowDecoder
from dogwoodhook.coordination.target_following import (
    MAX_CHANGES_PER_UPDATE,
    MAX_CHANGES_SENT,
    TargetFollower,
)
from dogwoodhook.state.store_position import position_of
from dogwoodhook.state.target_directory import (
    TargetChange,
    TargetDirectory,
    TargetEntry,
)
from tests.exchanges import until


class ChangingStore:
    """A table of targets, to which ``add`` adds the given number of new ones."""

    def __init__(self):
        self.rows = []
        self.table_reads = 0
        self.reads = 0
        self.other_writes = 0
        self.hides_next_change = False
        self.is_down = False

    @property
    def version(self):
        """Return the store's version; writes to other tables increase it, too."""
        return len(self.rows) + self.other_writes

    def add(self, count):
        for _ in range(count):
            version = len(self.rows) + 1
            self.rows.append(StoreRow(f"t{version}", b"{}", version))

    async def read_table(self, table):
        if self.is_down:
            return Error(StoreUnavailable("down"))
        self.table_reads += 1
        return Ok(TableRows(tuple(self.rows), self.version, is_complete=True))

    async def read_changes(
        self, table, *, after_version, wait_s=0.0, on_long_answer=None
    ):
        if self.is_down:
            return Error(StoreUnavailable("down"))
        self.reads += 1
        newer = tuple(self.rows[after_version:])
        if newer and self.hides_next_change:
            # It was written while the answer was made.
            self.hides_next_change, newer = False, ()
        version = newer[-1].version if newer else self.version
        return Ok(TableRows(newer, version, is_complete=False))


class RecordingLinks:
    """Links to neighbours; records the messages that would be sent."""

    data_centre = "oulu-1"

    def __init__(self, *neighbours):
        self.names = list(neighbours)
        self.sent = []

    def live_daemons(self):
        return {self.data_centre: self.names}

    def broadcast(self, message):
        self.sent.append(message)


T2 = TargetEntry("t2", "payouts", "10.0.0.2", 80, "oulu-1", 3, False, 0.0, 1)


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


def empty_update(after, version, *, age_s=0.0, store_version=0):
    return StoreUpdate(
        "vm-9", after, version, 0.0, age_s, store_version=store_version or version
    )


async def test_the_reader_sends_each_change_to_its_neighbours():
    async with following("vm-1") as (store, links, _, _):
        store.add(2)
        await until(lambda: links.sent and links.sent[-1].version == 3)
        changes = [each for update in links.sent for each in update.changes]
        assert [each.name for each in changes] == ["t2", "t3"]


async def test_an_update_with_too_many_changes_is_sent_without_them():
    async with following("vm-1") as (store, links, _, _):
        store.add(MAX_CHANGES_SENT + 1)
        version = MAX_CHANGES_SENT + 2
        await until(lambda: any(update.version == version for update in links.sent))
        [update] = [update for update in links.sent if update.version == version][:1]
        assert (update.after_version, update.changes) == (version, ())


async def test_a_daemon_that_missed_an_update_reads_the_store_and_sends_nothing(
    monkeypatch,
):
    ranks = {"vm-1": 3}
    monkeypatch.setattr(
        "dogwoodhook.coordination.target_following.rank_of",
        lambda daemon, *_: ranks[daemon],
    )
    async with following("vm-1", "vm-9") as (store, links, directory, follower):
        links.sent.clear()
        store.add(2)
        follower.receive(empty_update(2, 3))
        await until(lambda: directory.version == 3)
        assert links.sent == []


async def test_a_daemon_behind_a_version_without_changes_reads_for_ever(monkeypatch):
    """The reader knows a later version from a complete read of its own."""
    monkeypatch.setattr(
        "dogwoodhook.coordination.target_following.rank_of", lambda daemon, *_: 3
    )
    async with following("vm-1", "vm-9") as (store, _, directory, follower):
        store.other_writes = 8
        for _ in range(20):
            follower.receive(empty_update(7, 7, store_version=9))
            await asyncio.sleep(0.02)
        assert store.reads == 2
        assert store.table_reads == 1
        assert directory.version == 9


async def test_a_change_written_during_an_empty_answer_is_lost(monkeypatch):
    monkeypatch.setattr(
        "dogwoodhook.coordination.target_following.rank_of", lambda daemon, *_: 3
    )
    async with following("vm-1", "vm-9") as (store, _, directory, follower):
        store.add(1)
        store.other_writes = 7
        store.hides_next_change = True
        for _ in range(20):
            follower.receive(empty_update(9, 9))
            await asyncio.sleep(0.02)
        assert directory.get("t2") is not None
        assert directory.version == 9


async def test_changes_in_a_neighbours_update_are_applied_despite_a_gap(monkeypatch):
    monkeypatch.setattr(
        "dogwoodhook.coordination.target_following.rank_of", lambda daemon, *_: 3
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


async def test_a_reader_also_sends_changes_received_from_another_daemon():
    """Neighbours that lost the other daemon's datagram need its changes too."""
    async with following("vm-1") as (store, links, _, follower):
        store.add(6)
        entry = decode(store.rows[5])
        follower.receive(
            StoreUpdate("vm-9", 5, 6, 0.0, 0.0, (TargetChange("t6", 6, entry),))
        )
        await until(lambda: any(update.version == 7 for update in links.sent))
        changes = [each for update in links.sent for each in update.changes]
        assert [each.name for each in changes] == [f"t{each}" for each in range(2, 8)]


async def test_a_version_is_known_once_all_parts_of_its_update_are_received(
    monkeypatch,
):
    monkeypatch.setattr(
        "dogwoodhook.coordination.target_following.rank_of",
        lambda daemon, *_: 0 if daemon == "vm-1" else 3,
    )
    async with (
        following("vm-1") as (store, links, _, _),
        following("vm-2", "vm-1") as (_, _, directory, follower),
    ):
        store.add(2 * MAX_CHANGES_PER_UPDATE)
        version = len(store.rows)
        await until(lambda: any(update.version == version for update in links.sent))
        first, second = [update for update in links.sent if update.changes]
        follower.receive(first)
        assert directory.get(first.changes[0].name) is not None
        assert directory.version == 1
        follower.receive(first)
        assert directory.version == 1
        follower.receive(second)
        assert directory.version == version


async def test_a_received_change_is_logged_with_the_age_of_its_update():
    async with following("vm-1", targets=2) as (_, _, _, follower):
        await until(lambda: follower.age_s < 0.5)
        change = TargetChange("t1", 7, None)
        with logbook.TestHandler().applicationbound() as handler:
            follower.receive(StoreUpdate("vm-9", 2, 8, 0.0, 0.25, (change,)))
        [line] = [str(each.message) for each in handler.records]
        for field in ("target=t1", "source=vm-9", "row=7", "version=8", "age_ms=250"):
            assert field in line
        assert follower.age_s < 0.5


async def test_a_daemon_that_lost_an_update_gets_its_changes_with_the_next(monkeypatch):
    monkeypatch.setattr(
        "dogwoodhook.coordination.target_following.rank_of",
        lambda daemon, *_: 0 if daemon == "vm-1" else 3,
    )
    async with (
        following("vm-1") as (store, links, _, _),
        following("vm-2", "vm-1") as (other_store, _, directory, follower),
    ):
        await until(lambda: links.sent)
        store.add(1)
        await until(lambda: links.sent[-1].version == 2)
        store.add(1)
        await until(lambda: links.sent[-1].version == 3)
        other_store.is_down = True
        follower.receive(links.sent[-1])
        assert directory.version == 3
        assert directory.get("t2") is not None


async def test_an_update_delayed_by_a_paused_relay_does_not_count_as_recent(
    monkeypatch,
):
    monkeypatch.setattr(
        "dogwoodhook.coordination.target_following.rank_of", lambda daemon, *_: 3
    )
    async with following("vm-2", "vm-1", targets=5) as (store, _, _, follower):
        store.is_down = True
        await asyncio.sleep(0.2)
        follower.receive(empty_update(3, 4))
        assert follower.age_s > 0.1
        follower.receive(empty_update(4, 4, store_version=5))
        assert follower.age_s < 0.1


def table_of(*names, version, removal_hold_s=0.0):
    rows = [StoreRow(name, b"{}", 1) for name in names]
    targets = tuple(TargetChange(row.key, row.version, decode(row)) for row in rows)
    return TargetTable("vm-9", version, version, 0.0, removal_hold_s, targets)


async def test_a_target_removed_between_a_read_and_a_snapshot_stays_in_use():
    """The snapshot's version then includes the removal, so no later read repeats it."""
    async with following("vm-1", targets=2) as (store, _, directory, follower):
        store.is_down = True
        with logbook.TestHandler().applicationbound() as handler:
            follower.adopt(table_of("t2", version=7))
        assert directory.version == 7
        assert not directory.is_serving("t1")
        assert directory.is_serving("t2")
        [line] = [str(each.message) for each in handler.records]
        assert "target=t1" in line
        assert "state=removed" in line


async def test_a_snapshot_removes_a_target_whose_removal_its_sender_delays():
    async with following("vm-1", targets=2) as (store, _, directory, follower):
        store.is_down = True
        follower.adopt(table_of("t2", version=7, removal_hold_s=0.3))
        assert directory.is_serving("t1")
        await until(
            lambda: len(directory.serving("payouts", now_s=SystemClock().now_s())) == 1
        )
        assert not directory.is_serving("t1")


async def test_a_snapshot_does_not_tell_how_long_its_sender_delays_removals():
    async with following("vm-1", targets=2) as (store, _, _directory, follower):
        store.is_down = True
        removal = TargetChange("t1", 7, None)
        follower.receive(StoreUpdate("vm-9", 2, 7, 1.5, 0.0, (removal,)))
        snapshot = follower.snapshot()
        assert [each.name for each in snapshot.targets] == ["t2"]
        assert 1.0 < snapshot.removal_hold_s <= 1.5


async def test_a_daemon_without_the_store_for_long_reads_the_complete_table(
    monkeypatch,
):
    monkeypatch.setattr("dogwoodhook.coordination.target_following.MAX_CATCH_UP_S", 0.3)
    async with following("vm-1") as (store, _, directory, _):
        store.is_down = True
        await asyncio.sleep(1.0)
        store.add(2)
        reads = store.table_reads
        store.is_down = False
        await until(lambda: directory.version == 3)
        assert store.table_reads == reads + 1


async def test_a_target_missing_in_a_copy_is_missed_behind_another_daemons_update():
    """The sender knew the target before the return, so it saw no change of it."""
    async with following("vm-1") as (_, _, directory, follower):
        directory.replace_all((), version=position_of(2, 0), now_s=0.0)
        follower._must_read.clear()
        follower.receive(empty_update(position_of(1, 1), position_of(2, 1)))
        assert directory.version == position_of(2, 0)
        assert follower._must_read.is_set()


class ReturnedStore(ChangingStore):
    """A store in its second era, in which a target writes its row again and again."""

    version = 1

    async def read_table(self, table):
        self.table_reads += 1
        self.version += 1
        rows = (StoreRow("t1", b"{}", position_of(2, self.version)),)
        return Ok(TableRows(rows, position_of(2, self.version), is_complete=True))

    async def read_changes(
        self, table, *, after_version, wait_s=0.0, on_long_answer=None
    ):
        return Error(HistoryLost())


async def test_a_live_target_that_was_removed_stays_away_behind_others_updates(
    monkeypatch,
):
    """Updates of others name it only if they had removed it too."""
    monkeypatch.setattr("dogwoodhook.coordination.target_following.EXPIRY_HOLD_S", 0.2)
    directory = TargetDirectory()
    removal = TargetChange("t1", position_of(1, 9), None)
    directory.replace_all((), version=position_of(1, 8), now_s=0.0)
    directory.apply([removal], version=position_of(1, 9), now_s=0.0)
    follower = TargetFollower(
        ReturnedStore(),
        directory,
        RowDecoder("config", decode, lambda row: None),
        RecordingLinks("vm-9"),
        SystemClock(),
        daemon="vm-1",
        bound_s=2.0,
    )
    await follower._read(may_notify=False)
    assert directory.get("t1") is None
    follower._silent_since_s = float("inf")
    running = asyncio.create_task(follower.run())
    await until(lambda: directory.get("t1") is not None)
    running.cancel()


async def test_a_target_that_came_and_went_between_two_reads_stays_at_another_daemon():
    store, links = ChangingStore(), RecordingLinks("vm-2")
    store.add(1)
    directory = TargetDirectory()
    decoder = RowDecoder(
        "config", lambda row: decode(row) if row.value else None, lambda row: None
    )
    options = {"daemon": "vm-1", "bound_s": 2.0}
    follower = TargetFollower(
        store, directory, decoder, links, SystemClock(), **options
    )
    await follower._read(may_notify=True)
    store.rows.append(StoreRow("t2", None, 2))
    await follower._read(may_notify=True)
    assert links.sent[-1].changes == (TargetChange("t2", 2, None),)


async def test_a_message_of_an_older_era_changes_what_a_newer_one_told():
    async with following("vm-1") as (store, _, directory, follower):
        store.is_down = True
        directory.apply((), version=position_of(2, 3), now_s=0.0)
        joined = (TargetChange("t2", position_of(1, 9), T2),)
        after, version = position_of(1, 1), position_of(1, 9)
        follower.receive(StoreUpdate("vm-9", after, version, 0.0, 0.0, joined))
        follower.adopt(TargetTable("vm-9", version, version, 0.0, 0.0, joined))
        assert directory.get("t2") is None
        assert directory.version == position_of(2, 3)
