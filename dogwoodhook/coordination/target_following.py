"""Following the list of targets in the platform's store.

Each daemon either reads the store for its data centre or listens to the daemon
that does (see ``state.store_reader``). A reading that does not connect to what a
daemon knows makes it read for itself.
"""

import asyncio
import random

from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_links import FleetLinks
from dogwoodhook.coordination.fleet_messages import StoreReading
from dogwoodhook.coordination.store import Store, Table, TableRows
from dogwoodhook.coordination.store_availability import StoreAvailability
from dogwoodhook.coordination.store_reading import RowDecoder, read_newer, wait_for
from dogwoodhook.events import TARGET_CHANGED, log
from dogwoodhook.state.store_reader import excess_age_s, rank_of, silence_limit_s
from dogwoodhook.state.target_directory import (
    TargetChange,
    TargetDirectory,
    TargetEntry,
)

MAX_CATCH_UP_S = 2.0
"""Age of what a daemon knows above which it reads the whole table: the changes since
hold every heartbeat of every target, and outgrow the table in one interval of them.
A slow VM cannot read ten seconds of them within the deadline of a call."""

MAX_CHANGES_PER_READING = 5
"""Changes that fit a datagram."""

MAX_CHANGES_TOLD = 60
"""Changes at once beyond which the others read for themselves: to tell 45 of them
of more takes over half a second of a slow VM's link of 10 Mbit/s."""


class TargetFollower:
    """Keeps the directory of targets up to date.

    ``bound_s`` is the time in which a change has to be known; it may change. What is
    known was certainly the newest at the beginning of the last call of this daemon or
    of the daemon whose reading it heard.
    """

    def __init__(
        self,
        store: Store,
        directory: TargetDirectory,
        decoder: RowDecoder,
        links: FleetLinks,
        clock: Clock,
        *,
        daemon: str,
        bound_s: float,
    ) -> None:
        self._store = store
        self._directory = directory
        self._decoder = decoder
        self._links = links
        self._clock = clock
        self.bound_s = bound_s
        self._daemon = daemon
        self._availability = StoreAvailability(Table.TARGETS)
        self._rng = random.Random(daemon)
        self._started_s = clock.now_s()
        self._read_s = float("-inf")
        self._heard_s = float("-inf")
        self._silent_since_s = float("-inf")
        self._must_read = asyncio.Event()
        self._parts = _PartsHeard()

    async def run(self) -> None:
        """Read when it is due, until cancelled."""
        while True:
            pause_s = self._pause_s()
            if pause_s > 0 and not self._must_read.is_set():
                await wait_for(self._must_read, pause_s)
                continue
            others_know = self._must_read.is_set() and self._rank() > 0
            self._must_read.clear()
            if not await self._read(is_told=not others_know):
                spread = self._rng.uniform(0.7, 1.3)
                await wait_for(self._must_read, self._availability.retry_s * spread)

    def hear(self, reading: StoreReading) -> None:
        """Take another daemon's reading."""
        now_s = self._clock.now_s()
        version = reading.version
        if reading.after_version > self._directory.version:
            # The changes hold although others before them were missed.
            version = self._directory.version
            self._must_read.set()
        elif self._parts.complete(reading):
            self._heard_s = max(self._heard_s, now_s - reading.age_s)
            counted_s = excess_age_s(reading.age_s, bound_s=self.bound_s)
            self._silent_since_s = max(self._silent_since_s, now_s - counted_s)
        else:
            version = self._directory.version
        applied = self._directory.apply(
            reading.changes,
            version=version,
            now_s=now_s,
            removal_hold_s=reading.removal_hold_s,
        )
        _log_changes(
            applied,
            source=reading.daemon,
            version=reading.version,
            age_s=reading.age_s,
        )

    @property
    def age_s(self) -> float:
        """Return how long ago what is known here was certainly the newest."""
        return self._clock.now_s() - max(self._started_s, self._read_s, self._heard_s)

    def _rank(self) -> int:
        return rank_of(self._daemon, self._links.neighbours())

    def _pause_s(self) -> float:
        rank = self._rank()
        limit_s = silence_limit_s(rank, bound_s=self.bound_s)
        latest_s = max(self._read_s, self._silent_since_s) if rank else self._read_s
        return latest_s + limit_s - self._clock.now_s()

    async def _read(self, *, is_told: bool) -> bool:
        """Read what is new, and tell the others unless they know it."""
        started_s = self._clock.now_s()
        before = self._directory.version
        if self.age_s > MAX_CATCH_UP_S:
            result = await self._store.read_table(Table.TARGETS)
        else:
            result = await read_newer(self._store, Table.TARGETS, after_version=before)
        now_s = self._clock.now_s()
        match result:
            case Result(tag="ok", ok=rows):
                self._availability.record_answer(heard_s=self._heard_s, now_s=now_s)
                self._read_s = started_s
                hold_s = self._apply(rows, now_s, age_s=now_s - started_s)
                if before and is_told:
                    self._tell(before, rows.version, hold_s)
                return True
            case Result(error=problem):
                self._availability.record_failure(problem.detail, now_s=now_s)
                return False

    def _apply(self, rows: TableRows, now_s: float, *, age_s: float) -> float:
        """Apply rows; return how long removals wait."""
        changes = [
            TargetChange(row.key, row.version, self._decoder.target(row))
            for row in rows.rows
        ]
        hold_s = self._availability.removal_hold_s(now_s=now_s)
        apply = self._directory.replace_all if rows.is_whole else self._directory.apply
        applied = apply(
            changes, version=rows.version, now_s=now_s, removal_hold_s=hold_s
        )
        _log_changes(applied, source="store", version=rows.version, age_s=age_s)
        return hold_s

    def _tell(self, before: int, version: int, hold_s: float) -> None:
        """Send the changes, in several datagrams where they are many.

        Those are told too that another daemon's reading has brought meanwhile: its
        datagram may be lost to some.
        """
        changes = self._directory.changes_after(before)
        if len(changes) > MAX_CHANGES_TOLD:
            # Nobody knows this version yet, so everybody reads.
            changes, before = (), version
        starts = range(0, len(changes), MAX_CHANGES_PER_READING) or range(1)
        for part, start in enumerate(starts):
            self._links.tell_neighbours(
                StoreReading(
                    daemon=self._daemon,
                    after_version=before,
                    version=version,
                    removal_hold_s=hold_s,
                    age_s=self._clock.now_s() - self._read_s,
                    changes=changes[start : start + MAX_CHANGES_PER_READING],
                    part=part,
                    parts=len(starts),
                )
            )


class _PartsHeard:
    """Which parts of the reading that came last have been heard."""

    def __init__(self) -> None:
        self._reading = ("", 0, 0)
        self._parts: set[int] = set()

    def complete(self, reading: StoreReading) -> bool:
        """Note a part; tell whether all parts of its reading have been heard."""
        key = (reading.daemon, reading.after_version, reading.version)
        if key != self._reading:
            self._reading = key
            self._parts = set()
        self._parts.add(reading.part)
        return len(self._parts) >= reading.parts


def _log_changes(
    changes: tuple[TargetChange, ...], *, source: str, version: int, age_s: float
) -> None:
    for change in changes:
        entry = change.entry
        log(
            TARGET_CHANGED,
            target=change.name,
            service=entry.service if entry else "",
            state=_state_of(entry),
            source=source,
            row=change.version,
            version=version,
            age_ms=round(age_s * 1000),
        )


def _state_of(entry: TargetEntry | None) -> str:
    if entry is None:
        return "removed"
    return "draining" if entry.is_draining else "serving"
