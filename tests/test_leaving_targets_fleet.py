"""When the daemons of a data centre know that a target leaves, whatever else fails."""

import asyncio
import random
from dataclasses import dataclass, field

import pytest
from expression import Ok

from dogwoodhook.coordination.store import StoreRow, TableRows
from dogwoodhook.coordination.store_reading import RowDecoder
from dogwoodhook.coordination.target_following import TargetFollower
from dogwoodhook.state.store_reader import rank_of
from dogwoodhook.state.target_directory import TargetDirectory, TargetEntry
from tests import virtual_time

BOUND_S = 2.5
"""The platform's bound for leaving targets on the large sites."""

SENDING_S = 0.3
"""What the bound leaves for a request: the deadline of a new connection."""

DATAGRAMS_LOST = 0.3
"""Share of the datagrams between daemons lost on a heavy day."""

HEARTBEAT_S = 1.0
"""Time between the heartbeats of a target."""

DAEMONS, TARGETS = 12, 150


def decode(row):
    return TargetEntry(
        row.key, "payouts", "10.0.0.1", 80, "oulu-1", 3, row.value == b"leaves", 0.0, 1
    )


@dataclass
class Conditions:
    """What happens to one daemon. ``way_s`` is the way of a call and of its answer."""

    way_s: tuple[float, float] = (0.02, 0.02)
    lost: float = 0.0


class Store:
    """The table, with a row's change for each heartbeat."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.left_s = {}

    def put(self, name, value):
        self.version += 1
        self.rows[name] = StoreRow(name, value, self.version)

    def rows_after(self, version):
        rows = sorted(self.rows.values(), key=lambda row: row.version)
        return tuple(row for row in rows if row.version > version)


@dataclass
class Daemon:
    """A follower, its way to the store and its links."""

    name: str
    fleet: "Fleet"
    conditions: Conditions
    rng: random.Random
    directory: TargetDirectory = field(default_factory=TargetDirectory)
    known_s: dict[str, float] = field(default_factory=dict)
    calls: int = 0
    task: asyncio.Task | None = None

    def start(self):
        self.follower = TargetFollower(
            self,
            self.directory,
            RowDecoder("config", decode, lambda row: None),
            self,
            virtual_time.LoopClock(),
            daemon=self.name,
            bound_s=BOUND_S,
        )
        self.task = asyncio.create_task(self.follower.run())

    def stop(self):
        self.task.cancel()

    async def read_table(self, table):
        return await self._call(0)

    async def read_changes(self, table, *, after_version, **_):
        return await self._call(after_version)

    async def _call(self, after_version):
        self.calls += 1
        there_s, back_s = self.conditions.way_s
        await asyncio.sleep(there_s * self.rng.uniform(0.5, 1.0))
        store = self.fleet.store
        rows = TableRows(
            store.rows_after(after_version),
            store.version,
            is_complete=not after_version,
        )
        await asyncio.sleep(back_s * self.rng.uniform(0.5, 1.0))
        return Ok(rows)

    def neighbours(self):
        return [each for each in self.fleet.daemons if each != self.name]

    def notify_neighbours(self, message):
        loop = asyncio.get_running_loop()
        for daemon in self.fleet.daemons.values():
            if daemon is not self and self.rng.random() >= self.conditions.lost:
                loop.call_later(self.rng.uniform(0.001, 0.02), daemon.hear, message)

    def hear(self, message):
        if not self.task.done():
            self.follower.receive(message)

    def note(self, now_s):
        for name in self.fleet.store.left_s.keys() - self.known_s.keys():
            entry = self.directory.get(name)
            if entry is not None and entry.is_draining:
                self.known_s[name] = now_s


class Fleet:
    """The daemons of a data centre by their ranks, and the targets' store."""

    def __init__(self, *, seed, conditions, targets=TARGETS):
        rng = random.Random(seed)
        self.rng = rng
        self.store = Store()
        names = [f"vm-{number}" for number in range(DAEMONS)]
        ranked = sorted(names, key=lambda name: rank_of(name, names))
        self.daemons = {
            name: Daemon(
                name, self, conditions(rank), random.Random(rng.randrange(2**32))
            )
            for rank, name in enumerate(ranked)
        }
        self.by_rank = list(self.daemons.values())
        self._tasks = [self._heartbeats(f"t{number}") for number in range(targets)]

    async def run(self, seconds, *, leaving_s):
        """Let targets leave one after the other; return each daemon's delays."""
        loop = asyncio.get_running_loop()
        tasks = [asyncio.create_task(each) for each in self._tasks]
        await asyncio.sleep(2 * HEARTBEAT_S)
        for daemon in self.by_rank:
            daemon.start()
        end_s = loop.time() + seconds
        next_s = loop.time() + 3.0
        number = 0
        while loop.time() < end_s:
            await asyncio.sleep(0.005)
            if loop.time() >= next_s and next_s < end_s - 2 * BOUND_S:
                next_s += leaving_s
                self.leave(f"t{number}")
                number += 1
            for daemon in self.by_rank:
                daemon.note(loop.time())
        for daemon in self.by_rank:
            daemon.stop()
        for task in tasks:
            task.cancel()
        return {
            daemon.name: max(
                daemon.known_s.get(name, end_s) - left_s
                for name, left_s in self.store.left_s.items()
            )
            for daemon in self.by_rank
        }

    def leave(self, name):
        self.store.left_s[name] = asyncio.get_running_loop().time()
        self.store.put(name, b"leaves")

    async def _heartbeats(self, name):
        await asyncio.sleep(self.rng.uniform(0, HEARTBEAT_S))
        while True:
            self.store.put(name, b"leaves" if name in self.store.left_s else b"")
            await asyncio.sleep(HEARTBEAT_S * self.rng.uniform(0.9, 1.1))


def leave_one_by_one(*, seed, conditions, leaving_s):
    """Return the longest time after which each daemon knew of a leaving target."""

    async def work():
        fleet = Fleet(seed=seed, conditions=conditions)
        return await fleet.run(20.0, leaving_s=leaving_s)

    return virtual_time.run(work)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("way_s", [0.02, 0.1])
def test_lost_datagrams_hide_no_leaving_target_from_one_daemon(seed, way_s):
    conditions = Conditions(way_s=(way_s, way_s), lost=DATAGRAMS_LOST)
    delays_s = leave_one_by_one(
        seed=seed, conditions=lambda rank: conditions, leaving_s=0.4
    )
    assert max(delays_s.values()) < BOUND_S - SENDING_S


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("way_s", [0.02, 0.1])
def test_a_lost_part_of_a_reading_hides_no_leaving_target(seed, way_s):
    """So many leave that a reading takes several datagrams."""
    conditions = Conditions(way_s=(way_s, way_s), lost=DATAGRAMS_LOST)
    delays_s = leave_one_by_one(
        seed=seed, conditions=lambda rank: conditions, leaving_s=0.1
    )
    assert max(delays_s.values()) < BOUND_S - SENDING_S


@pytest.mark.parametrize("seed", range(3))
def test_old_readings_of_slow_daemons_hide_no_leaving_target_from_others(seed):
    """Half of the daemons are slow: their calls take one to two seconds."""
    slow, calm = Conditions(way_s=(0.02, 2.0)), Conditions(way_s=(0.1, 0.1))
    delays_s = leave_one_by_one(
        seed=seed,
        conditions=lambda rank: slow if rank < DAEMONS // 2 else calm,
        leaving_s=0.1,
    )
    assert max(list(delays_s.values())[DAEMONS // 2 :]) < BOUND_S - SENDING_S


@pytest.mark.parametrize("way_s", [0.02, 0.1])
def test_on_a_calm_day_one_daemon_reads_for_the_others(way_s):
    seconds, starting = 20, 3

    async def work():
        fleet = Fleet(seed=1, conditions=lambda rank: Conditions(way_s=(way_s, way_s)))
        await fleet.run(seconds, leaving_s=0.4)
        return sum(daemon.calls for daemon in fleet.by_rank)

    assert virtual_time.run(work) <= 2 * seconds + 1 + starting * DAEMONS
