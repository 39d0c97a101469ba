"""How soon the daemons of a fleet know of a leaving target despite other faults."""

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass, field, replace

import pytest
from expression import Error, Ok

from dogwoodhook.coordination.store import HistoryLost, StoreRow, TableRows
from dogwoodhook.coordination.store_reading import RowDecoder
from dogwoodhook.coordination.target_following import TargetFollower
from dogwoodhook.state.relays import RELAYS
from dogwoodhook.state.store_position import era_of, position_of, version_of
from dogwoodhook.state.store_reader import rank_of
from dogwoodhook.state.target_directory import TargetDirectory, TargetEntry
from tests import virtual_time

BOUND_S = 2.5
"""The platform's time limit for leaving targets on the large sites."""

CONNECT_DEADLINE_S = 0.3
"""Part of the bound needed to send a request: the deadline of a new connection."""

DATAGRAM_LOSS_SHARE = 0.3
"""Share of the datagrams between daemons that are lost on a day of heavy load."""

HEARTBEAT_S = 1.0
"""Time between the heartbeats of a target."""

DAEMONS, TARGETS = 12, 150


def decode(row):
    return TargetEntry(
        row.key, "payouts", "10.0.0.1", 80, "oulu-1", 3, row.value == b"leaves", 0.0, 1
    )


@dataclass
class Conditions:
    """Faults of one daemon's network.

    ``one_way_delays_s`` holds the maximum delays of a call to the store and of its
    answer, ``loss_share`` the share of the daemon's datagrams that are lost.
    """

    one_way_delays_s: tuple[float, float] = (0.02, 0.02)
    loss_share: float = 0.0


class Store:
    """The store's table of targets, in which each heartbeat changes a row."""

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

    def has_history(self, version):
        """Return whether the changes after a version are kept."""
        return era_of(version) == era_of(self.version) and version <= self.version

    def return_to(self, rows, version):
        """Come back from a copy of the rows, and begin a new era."""
        era = era_of(self.version) + 1
        self.version = position_of(era, version_of(version))
        self.rows = {
            name: replace(row, version=position_of(era, version_of(row.version)))
            for name, row in rows.items()
        }


@dataclass
class Daemon:
    """A daemon's follower with its connection to the store and its links."""

    name: str
    data_centre: str
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
        call_delay_s, answer_delay_s = self.conditions.one_way_delays_s
        await asyncio.sleep(call_delay_s * self.rng.uniform(0.5, 1.0))
        store = self.fleet.store
        if after_version and not store.has_history(after_version):
            return Error(HistoryLost())
        rows = TableRows(
            store.rows_after(after_version),
            store.version,
            is_complete=not after_version,
        )
        await asyncio.sleep(answer_delay_s * self.rng.uniform(0.5, 1.0))
        return Ok(rows)

    @property
    def is_alive(self):
        return self.task is not None and not self.task.done()

    def live_daemons(self):
        """All daemons, also those that have ended: silence is noticed late."""
        return {
            data_centre: [each.name for each in daemons if each is not self]
            for data_centre, daemons in self.fleet.by_data_centre.items()
        }

    def broadcast(self, message):
        self.send_to_neighbours(message)
        for data_centre, daemons in self.fleet.by_data_centre.items():
            if data_centre != self.data_centre:
                for relay in self.rng.sample(daemons, min(RELAYS, len(daemons))):
                    self.send(relay.relay, message)

    def send_to_neighbours(self, message):
        for daemon in self.fleet.by_data_centre[self.data_centre]:
            if daemon is not self:
                self.send(daemon.deliver, message)

    def send(self, deliver, message):
        if self.rng.random() >= self.conditions.loss_share:
            loop = asyncio.get_running_loop()
            loop.call_later(self.rng.uniform(0.001, 0.02), deliver, message)

    def relay(self, message):
        if self.is_alive:
            self.deliver(message)
            self.send_to_neighbours(message)

    def deliver(self, message):
        if self.is_alive:
            self.follower.receive(message)

    def record_known(self, now_s):
        for name in self.fleet.store.left_s.keys() - self.known_s.keys():
            entry = self.directory.get(name)
            if entry is not None and entry.is_draining:
                self.known_s[name] = now_s


class Fleet:
    """The daemons by rank, and the store with their targets."""

    def __init__(
        self, *, seed, conditions, targets=TARGETS, daemons=DAEMONS, data_centres=1
    ):
        rng = random.Random(seed)
        self.rng = rng
        self.store = Store()
        places = {
            f"vm-{number}": f"oulu-{number % data_centres}" for number in range(daemons)
        }
        names = defaultdict(list)
        for name, data_centre in places.items():
            names[data_centre].append(name)
        ranked = sorted(places, key=lambda name: rank_of(name, places[name], names))
        self.by_rank = [
            Daemon(
                name,
                places[name],
                self,
                conditions(rank),
                random.Random(rng.randrange(2**32)),
            )
            for rank, name in enumerate(ranked)
        ]
        self.by_data_centre = defaultdict(list)
        for daemon in self.by_rank:
            self.by_data_centre[daemon.data_centre].append(daemon)
        self._tasks = [self._heartbeats(f"t{number}") for number in range(targets)]

    async def run(self, seconds, *, leaving_interval_s, ending=()):
        """Let targets leave one after the other; return each daemon's longest delay.

        The daemons with the ranks ``ending`` end after half of the time.
        """
        loop = asyncio.get_running_loop()
        tasks = [asyncio.create_task(each) for each in self._tasks]
        await asyncio.sleep(2 * HEARTBEAT_S)
        for daemon in self.by_rank:
            daemon.start()
        end_s = loop.time() + seconds
        for rank in ending:
            loop.call_at(end_s - seconds / 2, self.by_rank[rank].stop)
        next_leaving_s = loop.time() + 3.0
        number = 0
        while loop.time() < end_s:
            await asyncio.sleep(0.005)
            if loop.time() >= next_leaving_s and next_leaving_s < end_s - 2 * BOUND_S:
                next_leaving_s += leaving_interval_s
                self.leave(f"t{number}")
                number += 1
            for daemon in self.by_rank:
                daemon.record_known(loop.time())
        for daemon in self.by_rank:
            daemon.stop()
        for task in tasks:
            task.cancel()
        return {
            daemon.name: max(
                daemon.known_s.get(name, end_s) - left_s
                for name, left_s in self.store.left_s.items()
            )
            for rank, daemon in enumerate(self.by_rank)
            if rank not in ending
        }

    def leave(self, name):
        self.store.left_s[name] = asyncio.get_running_loop().time()
        self.store.put(name, b"leaves")

    async def _heartbeats(self, name):
        await asyncio.sleep(self.rng.uniform(0, HEARTBEAT_S))
        while True:
            self.store.put(name, b"leaves" if name in self.store.left_s else b"")
            await asyncio.sleep(HEARTBEAT_S * self.rng.uniform(0.9, 1.1))


def leave_one_by_one(*, seed, conditions, leaving_interval_s):
    """Return the longest time after which each daemon knew of a leaving target."""

    async def work():
        fleet = Fleet(seed=seed, conditions=conditions)
        return await fleet.run(20.0, leaving_interval_s=leaving_interval_s)

    return virtual_time.run(work)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("one_way_delay_s", [0.02, 0.1])
def test_all_daemons_know_leaving_targets_in_time_despite_lost_datagrams(
    seed, one_way_delay_s
):
    conditions = Conditions(
        one_way_delays_s=(one_way_delay_s, one_way_delay_s),
        loss_share=DATAGRAM_LOSS_SHARE,
    )
    delays_s = leave_one_by_one(
        seed=seed, conditions=lambda rank: conditions, leaving_interval_s=0.4
    )
    assert max(delays_s.values()) < BOUND_S - CONNECT_DEADLINE_S


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("one_way_delay_s", [0.02, 0.1])
def test_all_daemons_know_leaving_targets_despite_a_lost_part_of_an_update(
    seed, one_way_delay_s
):
    """So many targets leave that a store update takes several datagrams."""
    conditions = Conditions(
        one_way_delays_s=(one_way_delay_s, one_way_delay_s),
        loss_share=DATAGRAM_LOSS_SHARE,
    )
    delays_s = leave_one_by_one(
        seed=seed, conditions=lambda rank: conditions, leaving_interval_s=0.1
    )
    assert max(delays_s.values()) < BOUND_S - CONNECT_DEADLINE_S


@pytest.mark.parametrize("seed", range(3))
def test_outdated_updates_of_slow_daemons_hide_no_leaving_target_from_others(seed):
    """Half of the daemons are slow: their calls take one to two seconds."""
    slow, fast = (
        Conditions(one_way_delays_s=(0.02, 2.0)),
        Conditions(one_way_delays_s=(0.1, 0.1)),
    )
    delays_s = leave_one_by_one(
        seed=seed,
        conditions=lambda rank: slow if rank < DAEMONS // 2 else fast,
        leaving_interval_s=0.1,
    )
    assert max(list(delays_s.values())[DAEMONS // 2 :]) < BOUND_S - CONNECT_DEADLINE_S


@pytest.mark.parametrize("one_way_delay_s", [0.02, 0.1])
def test_one_daemon_reads_the_store_for_the_others_if_nothing_fails(one_way_delay_s):
    seconds, startup_calls = 20, 3

    async def work():
        fleet = Fleet(
            seed=1,
            conditions=lambda rank: Conditions(
                one_way_delays_s=(one_way_delay_s, one_way_delay_s)
            ),
        )
        await fleet.run(seconds, leaving_interval_s=0.4)
        return sum(daemon.calls for daemon in fleet.by_rank)

    assert virtual_time.run(work) <= 2 * seconds + 1 + startup_calls * DAEMONS


@dataclass(frozen=True)
class FleetSize:
    """A fleet of one of the deployments."""

    daemons: int
    data_centres: int
    targets: int


LARGE = FleetSize(daemons=294, data_centres=5, targets=570)


def play(size, *, seed, conditions, seconds=10.0, **plan):
    """Return each daemon's longest delay, and the calls to the store."""

    async def work():
        fleet = Fleet(
            seed=seed,
            conditions=conditions,
            targets=size.targets,
            daemons=size.daemons,
            data_centres=size.data_centres,
        )
        delays_s = await fleet.run(seconds, **plan)
        return delays_s, sum(daemon.calls for daemon in fleet.by_rank)

    return virtual_time.run(work)


@pytest.mark.parametrize("size", [FleetSize(44, 3, 37), LARGE])
def test_one_daemon_reads_the_store_for_all_data_centres(size):
    seconds, startup_calls = 10, 3
    delays_s, calls = play(
        size,
        seed=1,
        conditions=lambda rank: Conditions(loss_share=0.01),
        seconds=seconds,
        leaving_interval_s=0.4,
    )
    assert max(delays_s.values()) < BOUND_S - CONNECT_DEADLINE_S
    assert calls <= 3 * seconds + startup_calls * size.daemons


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("ending", [(0,), (0, 1, 2)])
def test_other_data_centres_know_leaving_targets_in_time_after_the_reader_ended(
    seed, ending
):
    delays_s, _ = play(
        FleetSize(44, 3, 37),
        seed=seed,
        conditions=lambda rank: Conditions(loss_share=DATAGRAM_LOSS_SHARE),
        seconds=20.0,
        leaving_interval_s=0.4,
        ending=ending,
    )
    assert max(delays_s.values()) < BOUND_S - CONNECT_DEADLINE_S


def return_from_a_copy(size, *, copy_age_s, loss_share, seconds=3.0):
    """Return the calls after a return of the store, and whether all know of it."""

    async def work():
        fleet = Fleet(
            seed=1,
            conditions=lambda rank: Conditions(loss_share=loss_share),
            targets=size.targets,
            daemons=size.daemons,
            data_centres=size.data_centres,
        )
        running = asyncio.create_task(fleet.run(20.0, leaving_interval_s=30.0))
        await asyncio.sleep(10.0)
        rows, version = dict(fleet.store.rows), fleet.store.version
        await asyncio.sleep(copy_age_s)
        calls = sum(daemon.calls for daemon in fleet.by_rank)
        fleet.store.return_to(rows, version)
        await asyncio.sleep(BOUND_S)
        eras = [era_of(daemon.directory.version) for daemon in fleet.by_rank]
        await asyncio.sleep(seconds - BOUND_S)
        calls = sum(daemon.calls for daemon in fleet.by_rank) - calls
        running.cancel()
        return calls, eras

    return virtual_time.run(work)


@pytest.mark.parametrize(
    "size",
    [
        FleetSize(daemons=32, data_centres=3, targets=30),
        FleetSize(daemons=110, data_centres=3, targets=379),
        LARGE,
    ],
)
@pytest.mark.parametrize("loss_share", [0.0, DATAGRAM_LOSS_SHARE])
def test_the_whole_fleet_reads_the_store_after_its_return(size, loss_share):
    calls, eras = return_from_a_copy(size, copy_age_s=3.0, loss_share=loss_share)
    print(f"{size}, {loss_share}: {calls} calls in 3 s")
    assert set(eras) == {1}
    assert calls < size.daemons
