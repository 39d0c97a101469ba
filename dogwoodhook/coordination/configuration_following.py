"""Follows the operator's configuration in the platform's store.

One daemon of the fleet reads the store continuously. It notifies the others of the
version that it knows and of the time since that was confirmed as the newest. The notice
of a new version contains a short configuration. A daemon that is notified of a newer
version without it reads it from the store or, if the store refuses the call, from
another daemon. A daemon without a recent notice reads the store itself (see
``state.configuration_freshness``).
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.compression import compress, decompress
from dogwoodhook.coordination.fleet_links import FleetLinks, RowExchange
from dogwoodhook.coordination.fleet_messages import ConfigurationNotice
from dogwoodhook.coordination.store import (
    Store,
    StoreRow,
    StoreUnavailable,
    Table,
    TableRows,
)
from dogwoodhook.coordination.store_availability import StoreAvailability
from dogwoodhook.coordination.store_reading import RowDecoder, read_newer, wait_for
from dogwoodhook.events import (
    CONFIGURATION_ANNOUNCED,
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_NOT_HANDED,
    CONFIGURATION_REFUSED,
    log,
)
from dogwoodhook.findings import FindingsError
from dogwoodhook.state.configuration_freshness import ConfigurationFreshness
from dogwoodhook.state.store_position import describe
from dogwoodhook.state.store_reader import rank_of

if TYPE_CHECKING:
    from dogwoodhook.state.route_policy import RoutingConfiguration

MIN_INTERVAL_S = 0.1
"""Time between two reads without changes where the store answers immediately: a daemon
that starts before the first configuration is written reads again soon."""

MAX_NEIGHBOURS_ASKED = 3
"""Neighbours asked for a row before the daemon that announced it. They are chosen at
random, since the link of a slow VM can send a large configuration to only a few daemons
per second."""


MAX_NOTICE_ROW_BYTES = 6 * 1024
"""Maximum size of a compressed row that a notice contains: a few packets, and the
configuration of some hundred routes."""

MAX_ROW_BYTES = 1024 * 1024
"""Maximum size of the row of a notice after decompression."""


class ConfigurationFollower:
    """Keeps the newest configuration in force.

    ``in_force`` never returns to an older version. ``on_change`` is called with the
    time in seconds since another daemon announced the version that is now in force,
    or 0.0 if none did.
    ``freshness`` may be replaced.
    """

    def __init__(
        self,
        store: Store,
        decoder: RowDecoder,
        clock: Clock,
        *,
        links: FleetLinks,
        exchange: RowExchange,
        daemon: str,
        freshness: ConfigurationFreshness,
        on_change: Callable[[float], None],
    ) -> None:
        self.in_force: RoutingConfiguration | None = None
        self.freshness = freshness
        self._store = store
        self._decoder = decoder
        self._clock = clock
        self._links = links
        self._exchange = exchange
        self._daemon = daemon
        self._on_change = on_change
        self._rng = random.Random(daemon)
        self._availability = StoreAvailability(Table.CONFIGURATION)
        self._row_version = 0
        self._known_version = 0
        self._announced_row = 0
        self._announced_by = ""
        self._announced_s = 0.0
        self._confirmed_s = clock.now_s()
        self._is_confirmed = False
        self._confirmed_version = 0
        # Earliest time of the next call, for a store that answers immediately.
        self._next_s = 0.0
        self._wake = asyncio.Event()

    @property
    def age_s(self) -> float:
        """Return the time since the known version was confirmed as the newest."""
        return self._clock.now_s() - self._confirmed_s

    @property
    def is_newer_known(self) -> bool:
        """Return whether another daemon has announced a newer configuration."""
        return self._announced_row > self._row_version

    async def run(self) -> None:
        """Read the store whenever a read is due, until cancelled."""
        while True:
            pause_s = self._pause_s()
            if pause_s > 0:
                await self._wait(pause_s)
            elif not await self._read():
                spread = self._rng.uniform(0.7, 1.3)
                await self._wait(self._availability.retry_s * spread)

    def receive(self, notice: ConfigurationNotice) -> None:
        """Record another daemon's notice, and wake the reading task if it is newer."""
        now_s = self._clock.now_s()
        self._record_announcement(notice, now_s)
        if notice.compressed_row and notice.row_version > self._row_version:
            self._adopt_notice_row(notice)
        if notice.row_version == self._row_version:
            self._confirm(now_s - notice.age_s, notice.store_version)

    def _record_announcement(self, notice: ConfigurationNotice, now_s: float) -> None:
        if notice.row_version <= max(self._row_version, self._announced_row):
            return
        self._announced_row = notice.row_version
        self._announced_by = notice.daemon
        self._announced_s = now_s
        log(
            CONFIGURATION_ANNOUNCED,
            row=describe(notice.row_version),
            known_row=describe(self._row_version),
            daemon=notice.daemon,
            age_ms=round(notice.age_s * 1000),
        )
        self._wake.set()

    def _adopt_notice_row(self, notice: ConfigurationNotice) -> None:
        match decompress(notice.compressed_row, limit_bytes=MAX_ROW_BYTES):
            case Result(tag="ok", ok=value):
                key = self._decoder.configuration_key
                self.adopt(notice, StoreRow(key, value, notice.row_version))
            case Result(error=problem):
                log(
                    CONFIGURATION_NOT_HANDED,
                    row=describe(notice.row_version),
                    detail=f"{notice.daemon}: {problem}",
                )

    def snapshot(self) -> ConfigurationNotice:
        """Return a notice of what this daemon knows; its row is the exchange's."""
        return ConfigurationNotice(
            self._daemon, self._row_version, self.age_s, self._confirmed_version
        )

    def adopt(self, notice: ConfigurationNotice, row: StoreRow | None) -> None:
        """Put another daemon's configuration in force, as if it had been read."""
        if row is None or row.version != notice.row_version:
            return
        self._adopt(row, source=notice.daemon, read_s=0.0)
        if self._row_version == row.version:
            self._known_version = max(self._known_version, notice.store_version)
            self._confirm(self._clock.now_s() - notice.age_s, notice.store_version)

    def _rank(self) -> int:
        links = self._links
        return rank_of(self._daemon, links.data_centre, links.live_daemons())

    def _pause_s(self) -> float:
        if self._announced_row > self._row_version:
            return 0.0
        next_in_s = self._next_s - self._clock.now_s()
        if not self._known_version:
            return next_in_s
        silence_s = self.freshness.silence_limit_s(self._rank()) - self.age_s
        return max(silence_s, next_in_s)

    async def _wait(self, pause_s: float) -> None:
        self._wake.clear()
        await wait_for(self._wake, pause_s)

    def _confirm(self, moment_s: float, store_version: int) -> None:
        """Record that the known row was the newest one at a version of the store.

        An earlier version than the known one is ignored: a relay that was paused sends
        notices that are older than they say.
        """
        if store_version < self._confirmed_version:
            return
        self._confirmed_version = store_version
        # The first configuration may be older than this daemon's start.
        earlier_s = self._confirmed_s if self._is_confirmed else moment_s
        self._confirmed_s = max(earlier_s, moment_s)
        self._is_confirmed = self._row_version > 0

    async def _read(self) -> bool:
        """Read the changes; return whether the store or another daemon answered.

        The others are notified unless one of them has announced the row already.
        """
        started_s = self._clock.now_s()
        announced_row = self._announced_row
        is_first_read = not self._known_version
        wait_s = 0.0
        if not self._known_version or announced_row > self._row_version:
            result = await self._store.read_table(Table.CONFIGURATION)
        else:
            if self._rank() == 0 and self._availability.is_answering:
                wait_s = self.freshness.wait_s
            result = await read_newer(
                self._store,
                Table.CONFIGURATION,
                after_version=self._known_version,
                wait_s=wait_s,
                on_long_answer=self._announce_next,
            )
        now_s = self._clock.now_s()
        match result:
            case Result(tag="ok", ok=rows):
                self._availability.record_answer(peer_as_of_s=now_s, now_s=now_s)
                # The store sends an empty answer at the end of its wait.
                as_of_s = started_s if rows.rows else min(now_s, started_s + wait_s)
                before = self._row_version
                self._adopt_rows(rows, read_s=now_s - started_s)
                self._confirm(as_of_s, max(rows.version, rows.newest_version))
                if rows.is_complete and self._announced_row == announced_row:
                    # A row announced before the read but not in it never existed.
                    self._announced_row = self._row_version
                has_changed = self._row_version > before
                if announced_row <= before and not is_first_read:
                    row = self._short_row() if has_changed else b""
                    self._send_notice(self._row_version, row)
                if not has_changed:
                    self._next_s = started_s + max(wait_s, MIN_INTERVAL_S)
                return True
            case Result(error=StoreUnavailable(detail)):
                self._availability.record_failure(detail, now_s=now_s)
                return (
                    self._announced_row > self._row_version
                    and await self._fetch_from_peers()
                )

    async def _fetch_from_peers(self) -> bool:
        """Fetch the announced row from the daemons that may have it."""
        row_version = self._announced_row
        names = self._links.neighbours()
        asked = self._rng.sample(names, min(MAX_NEIGHBOURS_ASKED, len(names)))
        for daemon in (*asked, self._announced_by):
            started_s = self._clock.now_s()
            match await self._exchange.fetch(daemon, min_version=row_version):
                case Result(tag="ok", ok=row):
                    read_s = self._clock.now_s() - started_s
                    self._adopt(row, source=daemon, read_s=read_s)
                    return True
                case Result(error=problem):
                    log(
                        CONFIGURATION_NOT_HANDED,
                        row=describe(row_version),
                        detail=problem.detail,
                    )
        return False

    def _short_row(self) -> bytes:
        """Return the compressed row, or nothing if it is too long for a notice."""
        row = self._exchange.current_row
        value = row.value if row is not None else None
        if value is None or len(value) > MAX_ROW_BYTES:
            return b""
        compressed = compress(value)
        return compressed if len(compressed) <= MAX_NOTICE_ROW_BYTES else b""

    def _send_notice(self, row_version: int, row: bytes = b"") -> None:
        self._links.broadcast(
            replace(self.snapshot(), row_version=row_version, compressed_row=row)
        )

    def _announce_next(self) -> None:
        """Announce the next row so that the others read it while this daemon does."""
        self._send_notice(self._row_version + 1)

    def _adopt_rows(self, rows: TableRows, *, read_s: float) -> None:
        self._known_version = max(self._known_version, rows.version)
        for row in rows.rows:
            self._adopt(row, source="store", read_s=read_s)

    def _adopt(self, row: StoreRow, *, source: str, read_s: float) -> None:
        if row.key != self._decoder.configuration_key or row.value is None:
            return
        if row.version <= self._row_version:
            return
        is_announced = self._announced_row > self._row_version
        earlier_row = self._exchange.current_row
        self._row_version = row.version
        self._exchange.current_row = row
        decoding_s = self._clock.now_s()
        try:
            configuration = self._decoder.configuration(row)
        except FindingsError as error:
            log(
                CONFIGURATION_REFUSED,
                row=describe(row.version),
                findings=str(error),
            )
            return
        if self.in_force is not None and configuration.version < self.in_force.version:
            log(
                CONFIGURATION_REFUSED,
                row=describe(row.version),
                findings=f"version {configuration.version} is older than"
                f" {self.in_force.version}",
            )
            if earlier_row is not None:
                # The store may have come back from a copy; a daemon that starts now
                # gets the newer configuration from this one.
                self._exchange.current_row = replace(earlier_row, version=row.version)
            return
        self.in_force = configuration
        now_s = self._clock.now_s()
        announced_s = now_s - self._announced_s if is_announced else 0.0
        log(
            CONFIGURATION_IN_FORCE,
            version=configuration.version,
            routes=len(configuration.routes),
            row=describe(row.version),
            bytes=len(row.value),
            source=source,
            announced_ms=round(announced_s * 1000),
            read_ms=round(read_s * 1000),
            decode_ms=round((now_s - decoding_s) * 1000),
        )
        self._on_change(announced_s)
