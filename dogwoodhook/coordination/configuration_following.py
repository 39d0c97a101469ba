"""Following the operator's configuration in the platform's store."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_messages import StoreReading
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
    CONFIGURATION_REFUSED,
    log,
)
from dogwoodhook.findings import FindingsError
from dogwoodhook.state.reader_duty import READ_INTERVAL_S

if TYPE_CHECKING:
    from dogwoodhook.state.route_policy import RoutingConfiguration

CONFIGURATION_WAIT_S = 1.5
"""Time that the reader's call for a new configuration waits at the store."""


class ConfigurationFollower:
    """Keeps the newest configuration in force.

    ``in_force`` never goes back to an older version. ``on_change`` is called with the
    seconds since another daemon told of the version that is in force now.
    """

    def __init__(
        self,
        store: Store,
        decoder: RowDecoder,
        clock: Clock,
        *,
        is_reader: Callable[[], bool],
        on_change: Callable[[float], None],
    ) -> None:
        self.in_force: RoutingConfiguration | None = None
        self.row_version = 0
        self._store = store
        self._decoder = decoder
        self._clock = clock
        self._is_reader = is_reader
        self._on_change = on_change
        self._availability = StoreAvailability(Table.CONFIGURATION)
        self._confirmed_s = clock.now_s()
        self._announced_s: float | None = None
        self._known_version = 0
        self._wanted_row = 0
        self._wake = asyncio.Event()

    @property
    def age_s(self) -> float:
        """Return how long ago what is known here was certainly the newest."""
        return self._clock.now_s() - self._confirmed_s

    async def run(self) -> None:
        """Read when there may be news, until cancelled."""
        while True:
            started_s = self._clock.now_s()
            wait_s = 0.0
            if not self._known_version or self._wanted_row > self.row_version:
                result = await self._store.read_table(Table.CONFIGURATION)
            elif self._is_reader():
                wait_s = CONFIGURATION_WAIT_S
                result = await read_newer(
                    self._store,
                    Table.CONFIGURATION,
                    after_version=self._known_version,
                    wait_s=wait_s,
                )
            else:
                await self._wait(READ_INTERVAL_S)
                continue
            if not self._take(result, started_s=started_s, wait_s=wait_s):
                await self._wait(self._availability.retry_s)

    def hear(self, reading: StoreReading) -> None:
        """Take note of the configuration that another daemon knows of."""
        now_s = self._clock.now_s()
        row = reading.configuration_row
        if row > self.row_version and self._announced_s is None:
            self._announced_s = now_s
            log(
                CONFIGURATION_ANNOUNCED,
                row=row,
                known_row=self.row_version,
                daemon=reading.daemon,
                age_ms=round(reading.configuration_age_s * 1000),
            )
        if row == self.row_version:
            confirmed_s = now_s - reading.configuration_age_s
            self._confirmed_s = max(self._confirmed_s, confirmed_s)
        if row > self._wanted_row:
            self._wanted_row = row
            self._wake.set()

    async def _wait(self, pause_s: float) -> None:
        self._wake.clear()
        await wait_for(self._wake, pause_s)

    def _take(
        self,
        result: Result[TableRows, StoreUnavailable],
        *,
        started_s: float,
        wait_s: float,
    ) -> bool:
        """Take an answer; ``wait_s`` is how long the store waited for a change."""
        now_s = self._clock.now_s()
        match result:
            case Result(tag="ok", ok=rows):
                self._availability.record_answer(heard_s=now_s, now_s=now_s)
                self._known_version = max(self._known_version, rows.version)
                self._wanted_row = min(self._wanted_row, rows.version)
                # An empty answer was given when the store's wait had ended.
                as_of_s = started_s if rows.rows else min(now_s, started_s + wait_s)
                self._confirmed_s = max(self._confirmed_s, as_of_s)
                for row in rows.rows:
                    self._adopt(row, read_s=now_s - started_s)
                return True
            case Result(error=problem):
                self._availability.record_failure(problem.detail, now_s=now_s)
                return False

    def _adopt(self, row: StoreRow, *, read_s: float) -> None:
        if row.key != self._decoder.configuration_key or row.value is None:
            return
        if row.version <= self.row_version:
            return
        self.row_version = row.version
        decoding_s = self._clock.now_s()
        try:
            configuration = self._decoder.configuration(row)
        except FindingsError as error:
            log(CONFIGURATION_REFUSED, row=row.version, findings=str(error))
            return
        if self.in_force is not None and configuration.version < self.in_force.version:
            log(
                CONFIGURATION_REFUSED,
                row=row.version,
                findings=f"version {configuration.version} is older than"
                f" {self.in_force.version}",
            )
            return
        self.in_force = configuration
        now_s = self._clock.now_s()
        announced_s = now_s if self._announced_s is None else self._announced_s
        self._announced_s = None
        log(
            CONFIGURATION_IN_FORCE,
            version=configuration.version,
            routes=len(configuration.routes),
            row=row.version,
            bytes=len(row.value),
            announced_ms=round((now_s - announced_s) * 1000),
            read_ms=round(read_s * 1000),
            decode_ms=round((now_s - decoding_s) * 1000),
        )
        self._on_change(now_s - announced_s)
