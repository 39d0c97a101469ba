"""Following the platform's store: the configuration and the list of targets.

Each daemon either reads the store for its data centre or listens to the daemon
that does (see ``state.reader_duty``). A reading that does not connect to what a
daemon knows, or a newer configuration than its own, makes it read for itself.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_links import FleetLinks
from dogwoodhook.coordination.fleet_messages import StoreReading
from dogwoodhook.coordination.store import (
    Store,
    StoreRow,
    StoreUnavailable,
    Table,
    TableRows,
)
from dogwoodhook.events import (
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_REFUSED,
    STORE_AVAILABLE,
    STORE_UNAVAILABLE,
    TARGET_CHANGED,
    log,
)
from dogwoodhook.findings import FindingsError
from dogwoodhook.state.reader_duty import (
    READ_INTERVAL_S,
    rank_of,
    silence_limit_s,
)
from dogwoodhook.state.route_policy import RoutingConfiguration
from dogwoodhook.state.target_directory import (
    LAPSE_HOLD_S,
    TargetChange,
    TargetDirectory,
    TargetEntry,
)

MAX_CATCH_UP_S = 2.0
"""Age of what a daemon knows above which it reads the whole table: the changes since
hold every heartbeat of every target, and outgrow the table in one interval of them.
A slow VM cannot read ten seconds of them within the deadline of a call."""

CONFIGURATION_WAIT_S = 1.5
"""Time that the reader's call for a new configuration waits at the store."""

MIN_RETRY_S = 0.4
MAX_RETRY_S = 0.8
"""Pauses between calls while the store does not answer. The longest one and the
deadline of a call end before the platform counts the store as stable again."""

RETRY_FACTOR = 1.5
"""Growth of the pause with each call that gets no answer."""

MAX_CHANGES_PER_READING = 5
"""Changes that fit a datagram."""

MAX_CHANGES_TOLD = 60
"""Changes at once beyond which the others read for themselves: to tell 45 of them
of more takes over half a second of a slow VM's link of 10 Mbit/s."""


@dataclass(frozen=True, slots=True)
class RowDecoder:
    """Decodes the platform's rows; ``configuration_key`` names the one in force.

    ``target`` returns ``None`` for a row that names no target. ``configuration``
    raises ``FindingsError`` for one that cannot be read.
    """

    configuration_key: str
    target: Callable[[StoreRow], TargetEntry | None]
    configuration: Callable[[StoreRow], RoutingConfiguration]


@dataclass(slots=True)
class StoreAvailability:
    """Whether the store answers this daemon, and since when it does again."""

    failed_since_s: float | None = None
    returned_s: float = float("-inf")
    retry_s: float = MIN_RETRY_S

    def record_failure(self, detail: str, *, now_s: float) -> None:
        """Note a call without an answer; ``retry_s`` is the pause before the next."""
        if self.failed_since_s is None:
            self.failed_since_s = now_s
            self.retry_s = MIN_RETRY_S
            log(STORE_UNAVAILABLE, detail=detail)
        self.retry_s = min(MAX_RETRY_S, self.retry_s * RETRY_FACTOR)

    def record_answer(self, *, heard_s: float, now_s: float) -> None:
        """Note an answer; ``heard_s`` is when another daemon's reading came last."""
        if self.failed_since_s is None:
            return
        log(STORE_AVAILABLE, away_s=round(now_s - self.failed_since_s, 2))
        # Another daemon that could read meanwhile shows that only the path failed.
        if heard_s < self.failed_since_s:
            self.returned_s = now_s
        self.failed_since_s = None

    def removal_hold_s(self, *, now_s: float) -> float:
        """Return how long removals wait for lapsed entries to come back."""
        if self.failed_since_s is not None:
            return LAPSE_HOLD_S
        return max(0.0, self.returned_s + LAPSE_HOLD_S - now_s)


class TargetFollower:
    """Keeps the directory of targets up to date."""

    def __init__(
        self,
        store: Store,
        directory: TargetDirectory,
        decoder: RowDecoder,
        links: FleetLinks,
        clock: Clock,
        *,
        daemon: str,
        configuration_row: Callable[[], int],
    ) -> None:
        self._store = store
        self._directory = directory
        self._decoder = decoder
        self._links = links
        self._clock = clock
        self._daemon = daemon
        self._configuration_row = configuration_row
        self._availability = StoreAvailability()
        self._rng = random.Random(daemon)
        self._read_s = float("-inf")
        self._heard_s = float("-inf")
        self._must_read = asyncio.Event()

    @property
    def is_reader(self) -> bool:
        """Tell whether this daemon reads the store, which answers it, for others."""
        if self._availability.failed_since_s is not None:
            return False
        rank = self._rank()
        return rank == 0 or self._clock.now_s() - self._heard_s > silence_limit_s(rank)

    async def run(self) -> None:
        """Read when it is due, until cancelled."""
        while True:
            pause_s = self._pause_s()
            if pause_s > 0 and not self._must_read.is_set():
                await _wait_for(self._must_read, pause_s)
                continue
            others_know = self._must_read.is_set() and self._rank() > 0
            self._must_read.clear()
            if not await self._read(is_told=not others_know):
                spread = self._rng.uniform(0.7, 1.3)
                await _wait_for(self._must_read, self._availability.retry_s * spread)

    def hear(self, reading: StoreReading) -> None:
        """Take another daemon's reading."""
        now_s = self._clock.now_s()
        version = reading.version
        if reading.after_version > self._directory.version:
            # The changes hold although others before them were missed.
            version = self._directory.version
            self._must_read.set()
        else:
            self._heard_s = now_s
        applied = self._directory.apply(
            reading.changes,
            version=version,
            now_s=now_s,
            removal_hold_s=reading.removal_hold_s,
        )
        _log_changes(applied, source=reading.daemon, version=reading.version)

    def _rank(self) -> int:
        return rank_of(self._daemon, self._links.neighbours())

    def _pause_s(self) -> float:
        rank = self._rank()
        latest_s = self._read_s if rank == 0 else max(self._read_s, self._heard_s)
        return latest_s + silence_limit_s(rank) - self._clock.now_s()

    async def _read(self, *, is_told: bool) -> bool:
        """Read what is new, and tell the others unless they know it."""
        started_s = self._clock.now_s()
        before = self._directory.version
        age_s = started_s - max(self._read_s, self._heard_s)
        if age_s > MAX_CATCH_UP_S:
            result = await self._store.read_table(Table.TARGETS)
        else:
            result = await _read_newer(self._store, Table.TARGETS, after_version=before)
        now_s = self._clock.now_s()
        match result:
            case Result(tag="ok", ok=rows):
                self._availability.record_answer(heard_s=self._heard_s, now_s=now_s)
                self._read_s = started_s
                applied, hold_s = self._apply(rows, now_s)
                if before and is_told:
                    self._tell(applied, before, rows.version, hold_s)
                return True
            case Result(error=problem):
                self._availability.record_failure(problem.detail, now_s=now_s)
                return False

    def _apply(
        self, rows: TableRows, now_s: float
    ) -> tuple[tuple[TargetChange, ...], float]:
        """Apply rows; return what mattered, and how long removals wait."""
        changes = [
            TargetChange(row.key, row.version, self._decoder.target(row))
            for row in rows.rows
        ]
        hold_s = self._availability.removal_hold_s(now_s=now_s)
        apply = self._directory.replace_all if rows.is_whole else self._directory.apply
        applied = apply(
            changes, version=rows.version, now_s=now_s, removal_hold_s=hold_s
        )
        _log_changes(applied, source="store", version=rows.version)
        return applied, hold_s

    def _tell(
        self,
        applied: tuple[TargetChange, ...],
        before: int,
        version: int,
        hold_s: float,
    ) -> None:
        """Send the changes in datagrams that follow on one another."""
        if len(applied) > MAX_CHANGES_TOLD:
            # Nobody knows this version yet, so everybody reads.
            applied, before = (), version
        ordered = sorted(applied, key=lambda change: change.version)
        while True:
            part, ordered = (
                ordered[:MAX_CHANGES_PER_READING],
                ordered[MAX_CHANGES_PER_READING:],
            )
            until = part[-1].version if ordered else version
            self._links.tell_neighbours(
                StoreReading(
                    daemon=self._daemon,
                    after_version=before,
                    version=until,
                    configuration_row=self._configuration_row(),
                    removal_hold_s=hold_s,
                    changes=tuple(part),
                )
            )
            if not ordered:
                return
            before = until


class ConfigurationFollower:
    """Keeps the newest configuration in force.

    ``in_force`` never goes back to an older version.
    """

    def __init__(
        self,
        store: Store,
        decoder: RowDecoder,
        clock: Clock,
        *,
        is_reader: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self.in_force: RoutingConfiguration | None = None
        self.row_version = 0
        self._store = store
        self._decoder = decoder
        self._clock = clock
        self._is_reader = is_reader
        self._on_change = on_change
        self._availability = StoreAvailability()
        self._known_version = 0
        self._wanted_row = 0
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Read when there may be news, until cancelled."""
        while True:
            if not self._known_version or self._wanted_row > self.row_version:
                result = await self._store.read_table(Table.CONFIGURATION)
            elif self._is_reader():
                result = await _read_newer(
                    self._store,
                    Table.CONFIGURATION,
                    after_version=self._known_version,
                    wait_s=CONFIGURATION_WAIT_S,
                )
            else:
                await self._wait(READ_INTERVAL_S)
                continue
            if not self._take(result):
                await self._wait(self._availability.retry_s)

    def hear(self, row_version: int) -> None:
        """Take note of the configuration that another daemon knows of."""
        if row_version > self._wanted_row:
            self._wanted_row = row_version
            self._wake.set()

    async def _wait(self, pause_s: float) -> None:
        self._wake.clear()
        await _wait_for(self._wake, pause_s)

    def _take(self, result: Result[TableRows, StoreUnavailable]) -> bool:
        now_s = self._clock.now_s()
        match result:
            case Result(tag="ok", ok=rows):
                self._availability.record_answer(heard_s=now_s, now_s=now_s)
                self._known_version = max(self._known_version, rows.version)
                self._wanted_row = min(self._wanted_row, rows.version)
                for row in rows.rows:
                    self._adopt(row)
                return True
            case Result(error=problem):
                self._availability.record_failure(problem.detail, now_s=now_s)
                return False

    def _adopt(self, row: StoreRow) -> None:
        if row.key != self._decoder.configuration_key or row.value is None:
            return
        if row.version <= self.row_version:
            return
        self.row_version = row.version
        try:
            configuration = self._decoder.configuration(row)
        except FindingsError as error:
            log(CONFIGURATION_REFUSED, findings=str(error))
            return
        if self.in_force is not None and configuration.version < self.in_force.version:
            log(CONFIGURATION_REFUSED, findings=f"version {configuration.version}")
            return
        self.in_force = configuration
        log(
            CONFIGURATION_IN_FORCE,
            version=configuration.version,
            routes=len(configuration.routes),
        )
        self._on_change()


async def _read_newer(
    store: Store, table: Table, *, after_version: int, wait_s: float = 0.0
) -> Result[TableRows, StoreUnavailable]:
    """Read the changes after a version; the whole table where they are not kept."""
    if not after_version:
        return await store.read_table(table)
    match await store.read_changes(table, after_version=after_version, wait_s=wait_s):
        case Result(tag="ok", ok=rows):
            return Ok(rows)
        case Result(error=StoreUnavailable() as problem):
            return Error(problem)
        case _:
            return await store.read_table(table)


async def _wait_for(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event, but no longer than a timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return


def _log_changes(
    changes: tuple[TargetChange, ...], *, source: str, version: int
) -> None:
    for change in changes:
        entry = change.entry
        log(
            TARGET_CHANGED,
            target=change.name,
            service=entry.service if entry else "",
            state=_state_of(entry),
            source=source,
            version=version,
        )


def _state_of(entry: TargetEntry | None) -> str:
    if entry is None:
        return "removed"
    return "draining" if entry.is_draining else "serving"
