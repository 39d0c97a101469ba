"""How a daemon follows the operator's configuration, and what it logs of it."""

import asyncio
from contextlib import asynccontextmanager

import logbook
from expression import Error, Ok

from dogwoodhook.clock import SystemClock
from dogwoodhook.coordination.configuration_following import ConfigurationFollower
from dogwoodhook.coordination.fleet_messages import StoreReading
from dogwoodhook.coordination.store import StoreRow, StoreUnavailable, TableRows
from dogwoodhook.coordination.store_reading import RowDecoder
from dogwoodhook.state.route_policy import RoutingConfiguration
from tests.exchanges import until


class ConfigurationStore:
    """The configuration's row; the value is its version's digits."""

    def __init__(self):
        self.row = StoreRow("config", b"1", 1)
        self.is_down = False
        self.waits_s = []

    def configure(self, version):
        self.row = StoreRow("config", str(version).encode(), self.row.version + 1)

    async def read_table(self, table):
        if self.is_down:
            return Error(StoreUnavailable("down"))
        return Ok(TableRows((self.row,), self.row.version, is_whole=True))

    async def read_changes(self, table, *, after_version, wait_s=0.0):
        self.waits_s.append(wait_s)
        waited_s = 0.0
        while not self.is_down:
            if self.row.version > after_version:
                return Ok(TableRows((self.row,), self.row.version, is_whole=False))
            if waited_s >= wait_s:
                return Ok(TableRows((), self.row.version, is_whole=False))
            await asyncio.sleep(0.01)
            waited_s += 0.01
        return Error(StoreUnavailable("down"))


def decode(row):
    return RoutingConfiguration(int(row.value), {}, {})


@asynccontextmanager
async def following(*, is_reader=False):
    store = ConfigurationStore()
    follower = ConfigurationFollower(
        store,
        RowDecoder("config", lambda row: None, decode),
        SystemClock(),
        is_reader=lambda: is_reader,
        on_change=lambda since_announced_s: None,
    )
    task = asyncio.create_task(follower.run())
    await until(lambda: follower.in_force is not None)
    try:
        yield store, follower
    finally:
        task.cancel()


def reading(*, row, age_s=0.0):
    return StoreReading("vm-9", 0, 0, row, age_s, 0.0)


async def test_log_tells_when_a_version_was_announced_and_how_long_it_took():
    with logbook.TestHandler() as lines:
        async with following() as (store, follower):
            store.configure(7)
            follower.hear(reading(row=2, age_s=0.2))
            await until(lambda: follower.in_force.version == 7)
        announced, in_force = lines.formatted_records[-2:]
    assert "221 configuration-announced row=2 known_row=1 daemon=vm-9" in announced
    assert "age_ms=200" in announced
    assert "220 configuration-in-force version=7" in in_force
    for field in ("row=2", "bytes=1", "announced_ms=", "read_ms=", "decode_ms="):
        assert field in in_force


async def test_age_is_that_of_the_latest_word_on_the_version_known():
    async with following() as (_, follower):
        follower.hear(reading(row=1, age_s=0.0))
        assert follower.age_s < 0.1
        await asyncio.sleep(0.15)
        assert follower.age_s > 0.1
        follower.hear(reading(row=2, age_s=0.0))
        assert follower.age_s > 0.1, "an unknown version confirms nothing"
