"""Checks daemons' directories across returns of the store from copies of its rows."""

import json
from dataclasses import dataclass, field, replace

from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st

from dogwoodhook.coordination.fleet_messages import StoreUpdate
from dogwoodhook.coordination.store import (
    HistoryLost,
    StoreRow,
    StoreUnavailable,
    TableRows,
)
from dogwoodhook.coordination.store_reading import RowDecoder
from dogwoodhook.coordination.target_following import TargetFollower
from dogwoodhook.state.store_position import era_of, position_of, version_of
from dogwoodhook.state.target_directory import TargetDirectory, TargetEntry

NAMES = ("t1", "t2", "t3")
SERVICE = "payouts"
HOLD_S = 2.5
"""Time after which each delayed removal has taken effect."""


@dataclass(frozen=True)
class Life:
    """What a target says of itself; one that is gone has no row."""

    incarnation: int = 1
    is_draining: bool = False
    is_gone: bool = True


class CopiedStore:
    """A table of targets that may come back from a copy, as ``HttpStore`` reads it."""

    def __init__(self):
        self.era = 1
        self.version = 0
        self.era_starts = {1: 0}
        self.rows = {}
        self.copies = [(0, {})]
        self.is_down = False

    @property
    def position(self):
        return position_of(self.era, self.version)

    def write(self, name, value):
        self.version += 1
        self.rows[name] = (self.version, value)

    def copy(self):
        self.copies.append((self.version, dict(self.rows)))

    def come_back(self, number):
        """Come back from a copy; later copies are of a history that is gone."""
        number %= len(self.copies)
        self.version, rows = self.copies[number]
        self.rows = dict(rows)
        del self.copies[number + 1 :]
        self.era += 1
        self.era_starts[self.era] = self.version

    def was_written_in_its_era(self, position):
        return version_of(position) > self.era_starts[era_of(position)]

    def serving(self):
        lives = {
            name: json.loads(value) for name, (_, value) in self.rows.items() if value
        }
        return {
            (name, incarnation)
            for name, (incarnation, is_draining) in lives.items()
            if not is_draining
        }

    async def read_table(self, table):
        if self.is_down:
            return Error(StoreUnavailable("down"))
        rows = tuple(row for row in self._rows_after(0) if row.value is not None)
        return Ok(TableRows(rows, self.position, is_complete=True))

    async def read_changes(
        self, table, *, after_version, wait_s=0.0, on_long_answer=None
    ):
        if self.is_down:
            return Error(StoreUnavailable("down"))
        after = version_of(after_version)
        if era_of(after_version) != self.era or after > self.version:
            return Error(HistoryLost())
        rows = self._rows_after(after)
        return Ok(TableRows(rows, self.position, is_complete=False))

    def _rows_after(self, after):
        rows = sorted(
            (version, name, value)
            for name, (version, value) in self.rows.items()
            if version > after
        )
        return tuple(
            StoreRow(name, value, position_of(self.era, version))
            for version, name, value in rows
        )


class ManualClock:
    """A clock that the test sets."""

    def __init__(self):
        self.time_s = 100.0

    def now_s(self):
        return self.time_s


class RecordingLinks:
    """Links of a daemon; they keep its messages for later delivery."""

    data_centre = "oulu-1"

    def __init__(self, sent):
        self._sent = sent

    def live_daemons(self):
        return {self.data_centre: []}

    def broadcast(self, message):
        self._sent.append(message)


def decode(row):
    if row.value is None:
        return None
    incarnation, is_draining = json.loads(row.value)
    return TargetEntry(
        row.key, SERVICE, row.key, 80, "oulu-1", 3, is_draining, 0.0, incarnation
    )


@dataclass
class Daemon:
    """A daemon, and what it has known of the ends of targets."""

    directory: TargetDirectory
    follower: TargetFollower
    ended: dict = field(default_factory=dict)
    """Eras in which a name and incarnation was last known as ended."""

    last_known: dict = field(default_factory=dict)


class Fleet:
    """Daemons and targets around one store."""

    def __init__(self, daemons, *, has_updates=True):
        self._has_updates = has_updates
        self.store, self.clock, self.sent = CopiedStore(), ManualClock(), []
        self.lives = dict.fromkeys(NAMES, Life())
        self.daemons = [self._start(f"vm-{number}") for number in range(daemons)]
        for name in NAMES:
            self.do(("change", name, "start"))
        for number in range(daemons):
            self.do(("read", number))
        self.store.copy()

    def _start(self, name):
        directory = TargetDirectory()
        follower = TargetFollower(
            self.store,
            directory,
            RowDecoder("config", decode, lambda row: None),
            RecordingLinks(self.sent),
            self.clock,
            daemon=name,
            bound_s=2.0,
        )
        return Daemon(directory, follower)

    def write(self, name):
        life = self.lives[name]
        if not life.is_gone:
            value = json.dumps([life.incarnation, life.is_draining]).encode()
            self.store.write(name, value)
        elif self.store.rows.get(name, (0, None))[1] is not None:
            self.store.write(name, None)

    def change(self, name, change):
        life = self.lives[name]
        match change:
            case "heartbeat":
                pass
            case "drain" if not life.is_gone:
                self.lives[name] = replace(life, is_draining=True)
            case "remove":
                self.lives[name] = replace(life, is_gone=True)
            case "start":
                self.lives[name] = Life(life.incarnation + 1, is_gone=False)
        self.write(name)

    def read(self, daemon):
        """Let a daemon read; the store answers at once, so the read never waits."""
        reading = daemon.follower._read(may_notify=True)
        try:
            reading.send(None)
        except StopIteration:
            return
        raise AssertionError("the read waits")

    def deliver(self, message, daemon):
        known = daemon.directory.version
        before = daemon.directory.listed()
        if isinstance(message, StoreUpdate):
            if not self._has_updates:
                return
            daemon.follower.receive(message)
        else:
            daemon.follower.adopt(message)
        if era_of(message.version) < era_of(known):
            assert daemon.directory.version == known
            assert daemon.directory.listed() == before

    def do(self, step):
        versions = [each.directory.version for each in self.daemons]
        match step:
            case ("change", name, change):
                self.change(name, change)
            case ("read", number):
                self.read(self._daemon(number))
            case ("snapshot", number):
                table = self._daemon(number).follower.snapshot()
                if table is not None:
                    self.sent.append(table)
            case ("deliver", number, back) if self.sent:
                message = self.sent[-1 - back % len(self.sent)]
                self.deliver(message, self._daemon(number))
            case ("copy",):
                self.store.copy()
            case ("return", number):
                self.store.come_back(number)
            case ("down", is_down):
                self.store.is_down = is_down
            case _:
                self._wait(step)
        for daemon, version in zip(self.daemons, versions, strict=True):
            assert daemon.directory.version >= version
            self._check_ends(daemon)

    def _wait(self, step):
        match step:
            case ("wait", wait_s):
                self.clock.time_s += wait_s

    def _daemon(self, number):
        return self.daemons[number % len(self.daemons)]

    def _check_ends(self, daemon):
        directory = daemon.directory
        self.serving(daemon)
        for name in NAMES:
            entry = directory.get(name)
            last = daemon.last_known.get(name)
            if last is not None and (
                entry is None or entry.incarnation != last or entry.is_draining
            ):
                daemon.ended[name, last] = era_of(directory.version)
            if entry is None:
                continue
            daemon.last_known[name] = entry.incarnation
            ended_era = daemon.ended.get((name, entry.incarnation))
            if entry.is_draining:
                daemon.ended[name, entry.incarnation] = era_of(directory.version)
            elif ended_era is not None:
                row = directory._versions[name]
                if era_of(row) > ended_era:
                    assert self.store.was_written_in_its_era(row)

    def serving(self, daemon):
        listed = daemon.directory.serving(SERVICE, now_s=self.clock.time_s)
        return {(each.name, each.incarnation) for each in listed}

    def settle(self):
        """Write each row, and let each daemon read or be told of it."""
        for name in NAMES:
            self.write(name)
        before = len(self.sent)
        self.do(("read", 0))
        for number, daemon in enumerate(self.daemons):
            for message in self.sent[before:]:
                self.deliver(message, daemon)
            if daemon.directory.version != self.store.position:
                self.do(("read", number))
        self.do(("wait", HOLD_S))


NUMBERS = st.integers(0, 4)
CHANGES = st.tuples(
    st.just("change"),
    st.sampled_from(NAMES),
    st.sampled_from(("heartbeat", "drain", "remove", "start", "start")),
)
READS = st.tuples(st.just("read"), NUMBERS)
DELIVERIES = st.tuples(st.just("deliver"), NUMBERS, st.integers(0, 6))
STEPS = st.one_of(
    CHANGES,
    CHANGES,
    READS,
    READS,
    DELIVERIES,
    DELIVERIES,
    st.tuples(st.just("snapshot"), NUMBERS),
    st.just(("copy",)),
    st.tuples(st.just("return"), NUMBERS),
    st.tuples(st.just("down"), st.booleans()),
    st.tuples(st.just("wait"), st.sampled_from((0.3, 1.0, HOLD_S))),
)


AFTER_RETURN = st.lists(st.one_of(CHANGES, READS, DELIVERIES), max_size=8)


@settings(max_examples=300)
@given(st.integers(3, 5), st.lists(STEPS, min_size=8, max_size=40))
def test_ended_targets_stay_so_and_versions_rise_across_returns(daemons, steps):
    fleet = Fleet(daemons)
    for step in steps:
        fleet.do(step)


@settings(max_examples=300)
@given(
    st.integers(3, 5),
    st.lists(STEPS, min_size=8, max_size=40),
    NUMBERS,
    AFTER_RETURN,
)
def test_directories_list_what_the_store_lists_after_its_last_return(
    daemons, steps, copy, later_steps
):
    fleet = Fleet(daemons, has_updates=False)
    for step in steps:
        fleet.do(step)
    fleet.do(("down", False))
    fleet.do(("return", copy))
    for step in later_steps:
        fleet.do(step)
    # A removed target returns by its first row after the daemon's first read.
    fleet.settle()
    fleet.settle()
    for daemon in fleet.daemons:
        assert fleet.serving(daemon) == fleet.store.serving()
