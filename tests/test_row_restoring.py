"""What daemons write again when the store comes back from a copy of its rows."""

import asyncio
import itertools
import random
from collections import Counter

import pytest
from expression import Error, Ok

from dogwoodhook.coordination.store import (
    RowConflict,
    StoreRow,
    StoreUnavailable,
    TableRows,
)
from dogwoodhook.fleet_joining import KEY_ROW, FleetJoining
from dogwoodhook.state.quarantine import Refuse
from dogwoodhook.state.row_restoring import MAX_COPY_AGE_S
from dogwoodhook.state.store_position import position_of
from dogwoodhook.vm_settings import Address, VmSettings
from tests import virtual_time
from tests.test_fleet_joining import MemoryNeighbours, RecordingPeers
from tests.test_fleet_quarantine import (
    HARMFUL,
    Fleet,
    start_again,
    store_until_quarantined,
)

MAX_WRITES_A_SECOND = 400
MAX_CALLS_A_DAEMON = 2
SETTLED_S = 8.0
"""Time after a return by which the daemons have done everything."""


class EraStore:
    """Keeps rows in memory, and comes back from copies; calls are kept with times."""

    def __init__(self):
        self.rows = {}
        self.era = 1
        self.is_away = False
        self.calls = []
        self._numbers = itertools.count(1)

    def restore(self, rows):
        self.rows = dict(rows)
        self.era += 1

    def forget_calls(self):
        self.calls.clear()

    async def create_row(self, table, key, value):
        if await self._is_refused("create"):
            return Error(StoreUnavailable("away"))
        if key in self.rows:
            return Error(RowConflict(self._row(key)))
        return self._write(key, value)

    async def put_row(self, table, key, value):
        if await self._is_refused("put"):
            return Error(StoreUnavailable("away"))
        return self._write(key, value)

    async def read_table(self, table):
        if await self._is_refused("read"):
            return Error(StoreUnavailable("away"))
        return self._read("")

    async def read_page(self, table, *, start):
        if await self._is_refused("page"):
            return Error(StoreUnavailable("away"))
        return self._read(start)

    async def _is_refused(self, call):
        self.calls.append((call, asyncio.get_running_loop().time()))
        await asyncio.sleep(0.01)
        return self.is_away

    def _write(self, key, value):
        self.rows[key] = value
        return Ok(position_of(self.era, next(self._numbers)))

    def _read(self, start):
        rows = tuple(self._row(key) for key in sorted(self.rows) if key >= start)
        return Ok(TableRows(rows, position_of(self.era, 1), is_complete=not start))

    def _row(self, key):
        return StoreRow(key, self.rows[key], position_of(self.era, 1))


class JoiningFleet:
    """Daemons of three data centres that join, and notice the store's returns."""

    def __init__(self, store):
        self.store = store
        self.daemons = []
        self._rng = random.Random(7)
        self._tasks = []

    @property
    def keys(self):
        return {peers.key for _, peers in self.daemons}

    async def start(self, count):
        for _ in range(count):
            number = len(self.daemons)
            name, data_centre = f"vm-{number}", f"oulu-{number % 3}"
            address = Address("127.0.0.1", 7620)
            settings = VmSettings(name, data_centre, *[address] * 4)
            peers = RecordingPeers(name)
            joining = FleetJoining(
                self.store,
                peers,
                settings,
                virtual_time.LoopClock(),
                neighbours=MemoryNeighbours(),
                rng=random.Random(number),
            )
            self.daemons.append((joining, peers))
            for work in (joining.run, joining.restore_rows):
                self._tasks.append(asyncio.create_task(work()))
        await asyncio.sleep(1.0)
        hellos = [joining.hello for joining, _ in self.daemons]
        for joining, peers in self.daemons:
            assert joining.has_joined
            own = joining.hello
            peers.add_daemons(each for each in hellos if each != own)

    async def notice(self):
        """Let all daemons notice the era within half a second, and do their part."""
        era = self.store.era
        loop = asyncio.get_running_loop()
        for joining, _ in self.daemons:
            loop.call_later(self._rng.uniform(0.0, 0.5), joining.notice_era, era)
        await asyncio.sleep(SETTLED_S)

    def close(self):
        for task in self._tasks:
            task.cancel()


def in_fleet(work):
    """Run a test with a fleet in virtual time."""

    async def run():
        fleet = JoiningFleet(EraStore())
        try:
            return await work(fleet, fleet.store)
        finally:
            fleet.close()

    return virtual_time.run(run)


def test_a_daemon_that_joined_before_a_return_is_missing_in_the_table():
    async def work(fleet, store):
        await fleet.start(6)
        await asyncio.sleep(MAX_COPY_AGE_S)
        copy = dict(store.rows)
        await fleet.start(2)
        rows = dict(store.rows)
        store.restore(copy)
        await fleet.notice()
        assert store.rows == rows
        assert len(rows) == 9

    in_fleet(work)


def test_a_daemon_whose_first_read_follows_a_return_is_missing_in_the_table():
    async def work(fleet, store):
        await fleet.start(1)
        rows = dict(store.rows)
        (joining, _) = fleet.daemons[0]
        # It learns of the era only now, by its first read of targets.
        store.restore({})
        joining.notice_era(store.era)
        await asyncio.sleep(SETTLED_S)
        assert store.rows == rows

    in_fleet(work)


def test_a_row_that_was_written_again_is_lost_by_the_next_return():
    async def work(fleet, store):
        await fleet.start(6)
        rows = dict(store.rows)
        for _ in range(6):
            store.restore({})
            await fleet.notice()
            assert store.rows == rows

    in_fleet(work)


def test_two_returns_within_a_second_leave_a_row_missing():
    async def work(fleet, store):
        await fleet.start(6)
        rows = dict(store.rows)
        for _ in range(2):
            store.restore({})
            for joining, _ in fleet.daemons:
                joining.notice_era(store.era)
            await asyncio.sleep(0.9)
        await asyncio.sleep(SETTLED_S)
        assert store.rows == rows

    in_fleet(work)


def test_a_row_is_not_written_again_because_the_store_is_away():
    async def work(fleet, store):
        await fleet.start(6)
        rows = dict(store.rows)
        store.restore({})
        store.is_away = True
        await fleet.notice()
        assert not store.rows
        store.is_away = False
        await asyncio.sleep(SETTLED_S)
        assert store.rows == rows

    in_fleet(work)


@pytest.mark.parametrize("later", [1, 4])
def test_a_fleet_has_two_keys_after_a_return(later):
    async def work(fleet, store):
        await fleet.start(8)
        before = fleet.keys
        store.restore({})
        # These find no key, and create one.
        await fleet.start(later)
        await fleet.notice()
        assert len(before) == 1
        assert fleet.keys == {store.rows[KEY_ROW]} != before
        assert len(store.rows) == 9 + later

    in_fleet(work)


def test_the_key_is_missing_because_the_first_daemons_ended():
    async def work(fleet, store):
        await fleet.start(9)
        (key,) = fleet.keys
        store.restore({})
        for joining, _ in fleet.daemons[4:]:
            joining.notice_era(store.era)
        await asyncio.sleep(SETTLED_S)
        assert store.rows[KEY_ROW] == key

    in_fleet(work)


@pytest.mark.parametrize("daemons", [32, 110, 294])
def test_daemons_that_joined_long_ago_call_the_store_after_a_return(daemons):
    async def work(fleet, store):
        await fleet.start(daemons)
        await asyncio.sleep(MAX_COPY_AGE_S)
        store.forget_calls()
        store.restore(store.rows)
        await fleet.notice()
        return list(store.calls)

    assert in_fleet(work) == []


@pytest.mark.parametrize("daemons", [32, 110, 294])
def test_a_return_costs_too_many_calls(daemons):
    async def work(fleet, store):
        await fleet.start(daemons)
        store.forget_calls()
        store.restore({})
        await fleet.notice()
        assert len(store.rows) == daemons + 1
        return list(store.calls)

    calls = in_fleet(work)
    counts = Counter(call for call, _ in calls)
    writes_s = sorted(at_s for call, at_s in calls if call in ("put", "create"))
    busiest = max(
        sum(start_s <= each < start_s + 1.0 for each in writes_s)
        for start_s in writes_s
    )
    print(f"{daemons} daemons: {dict(counts)}, at most {busiest} writes a second")
    assert len(calls) <= MAX_CALLS_A_DAEMON * daemons
    assert busiest <= MAX_WRITES_A_SECOND


async def test_a_harmful_request_runs_again_after_a_return_and_a_restart_of_all():
    fleet = Fleet(3)
    await store_until_quarantined(fleet)
    fleet.store.rows.clear()
    fleet.wait(5.0)
    fleet.daemons["vm-2"].store_again()
    await fleet.daemons["vm-2"].store_decisions()
    assert isinstance(start_again(fleet).check(HARMFUL), Refuse)


async def test_an_old_quarantine_is_written_again_after_a_return():
    fleet = Fleet(3)
    await store_until_quarantined(fleet)
    fleet.store.rows.clear()
    fleet.wait(MAX_COPY_AGE_S + 1.0)
    fleet.daemons["vm-2"].store_again()
    await fleet.daemons["vm-2"].store_decisions()
    assert not fleet.store.rows
