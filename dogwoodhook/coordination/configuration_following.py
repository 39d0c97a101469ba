"""Following the operator's configuration in the platform's store."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from expression import Result

from dogwoodhook.clock import Clock
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
                result = await read_newer(
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
        await wait_for(self._wake, pause_s)

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
