"""How a daemon follows the operator's configuration, and what it logs about it."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import logbook
from expression import Error, Ok

from dogwoodhook.clock import SystemClock
from dogwoodhook.coordination import configuration_following
from dogwoodhook.coordination.configuration_following import ConfigurationFollower
from dogwoodhook.coordination.fleet_links import RowUnavailable
from dogwoodhook.coordination.fleet_messages import ConfigurationNotice
from dogwoodhook.coordination.store import StoreRow, StoreUnavailable, TableRows
from dogwoodhook.coordination.store_reading import RowDecoder
from dogwoodhook.state import configuration_freshness
from dogwoodhook.state.configuration_freshness import ConfigurationFreshness
from dogwoodhook.state.route_policy import RoutingConfiguration
from dogwoodhook.state.store_reader import rank_of
from tests.exchanges import until


class ConfigurationStore:
    """A store of the configuration's row, whose value is the version in digits."""

    def __init__(self):
        self.row = StoreRow("config", b"1", 1)
        self.is_down = False
        self.waits_s = []
        self.is_answer_long = False
        self.table_reads = 0
        self.delay_s = 0.0
        self.answers_immediately = False

    def configure(self, version):
        value = str(version).encode()
        self.row = StoreRow("config", value, self.row.version + 1)

    async def read_table(self, table):
        if self.is_down:
            return Error(StoreUnavailable("down"))
        self.table_reads += 1
        row = self.row
        await asyncio.sleep(self.delay_s)
        return Ok(TableRows((row,), row.version, is_complete=True))

    async def read_changes(
        self, table, *, after_version, wait_s=0.0, on_long_answer=None
    ):
        self.waits_s.append(wait_s)
        started_s = asyncio.get_running_loop().time()
        while not self.is_down:
            if self.row.version > after_version:
                if self.is_answer_long:
                    on_long_answer()
                return Ok(TableRows((self.row,), self.row.version, is_complete=False))
            waited_s = asyncio.get_running_loop().time() - started_s
            if waited_s >= wait_s or self.answers_immediately:
                return Ok(TableRows((), self.row.version, is_complete=False))
            await asyncio.sleep(0.01)
        return Error(StoreUnavailable("down"))


class RecordingLinks:
    """Links to other daemons; records the messages that would be sent."""

    data_centre = "oulu-1"

    def __init__(self, *neighbours):
        self.names = list(neighbours)
        self.sent = []

    def neighbours(self):
        return self.names

    def live_daemons(self):
        return {self.data_centre: self.names}

    def broadcast(self, message):
        self.sent.append(message)


class MemoryExchange:
    """Returns the rows of other daemons, given by the daemons' names."""

    def __init__(self, **rows):
        self.current_row = None
        self.rows = rows
        self.fetched_from = []

    async def fetch(self, daemon, *, min_version):
        self.fetched_from.append(daemon)
        row = self.rows.get(daemon)
        return Ok(row) if row else Error(RowUnavailable("not known here"))


def decode(row):
    return RoutingConfiguration(int(row.value), {}, {})


@asynccontextmanager
async def following(
    daemon, *neighbours, exchange=None, has_configuration=True, bound_s=2.5
):
    store, links = ConfigurationStore(), RecordingLinks(*neighbours)
    exchange = exchange or MemoryExchange()
    if not has_configuration:
        store.row = StoreRow("other", b"", 0)
    follower = ConfigurationFollower(
        store,
        RowDecoder("config", lambda row: None, decode),
        SystemClock(),
        links=links,
        exchange=exchange,
        daemon=daemon,
        freshness=ConfigurationFreshness(bound_s),
        on_change=lambda since_announced_s: None,
    )
    task = asyncio.create_task(follower.run())
    if has_configuration:
        await until(lambda: follower.in_force is not None)
    try:
        yield store, follower, links
    finally:
        task.cancel()


LONG_BOUND_S = 250.0
"""A bound so long that the store is not read again while a test runs."""

LISTENER, READER = sorted(
    ["vm-1", "vm-2"],
    key=lambda each: -rank_of(each, "oulu-1", {"oulu-1": ["vm-1", "vm-2"]}),
)
"""A daemon that receives notices, and the store reader, which has the first rank."""


def notice(*, row, age_s=0.0, store_version=9):
    return ConfigurationNotice("vm-9", row, age_s, store_version)


async def test_the_log_states_when_a_version_was_announced_and_how_long_it_took():
    with logbook.TestHandler() as lines:
        async with following(LISTENER, READER) as (store, follower, _):
            store.configure(7)
            follower.receive(notice(row=2, age_s=0.2))
            await until(lambda: follower.in_force.version == 7)
        announced, in_force = lines.formatted_records[-2:]
    assert "221 configuration-announced row=2 known_row=1 daemon=vm-9" in announced
    assert "age_ms=200" in announced
    assert "220 configuration-in-force version=7" in in_force
    for field in ("row=2", "bytes=1", "announced_ms=", "read_ms=", "decode_ms="):
        assert field in in_force


async def test_the_age_is_that_of_the_latest_notice_of_the_known_version():
    async with following(LISTENER, READER) as (_, follower, _):
        follower.receive(notice(row=1, age_s=0.0))
        assert follower.age_s < 0.1
        await asyncio.sleep(0.15)
        assert follower.age_s > 0.1
        follower.receive(notice(row=2, age_s=0.0))
        assert follower.age_s > 0.1, "a notice of an unknown version confirms nothing"


async def test_a_notice_delayed_by_a_paused_relay_does_not_count_as_recent():
    async with following(LISTENER, READER, bound_s=LONG_BOUND_S) as (_, follower, _):
        follower.receive(notice(row=1, store_version=9))
        await asyncio.sleep(0.2)
        follower.receive(notice(row=1, store_version=8))
        assert follower.age_s > 0.1
        follower.receive(notice(row=1, store_version=10))
        assert follower.age_s < 0.1


async def test_the_reader_sends_its_age_and_new_versions_to_all_daemons():
    async with following(READER, LISTENER) as (store, follower, links):
        await until(lambda: links.sent)
        assert links.sent[0].row_version == 1
        assert links.sent[0].age_s < follower.freshness.wait_s
        links.sent.clear()
        store.configure(7)
        await until(lambda: any(each.row_version == 2 for each in links.sent))


async def test_a_daemon_that_starts_sends_no_notice_of_what_it_read_first():
    async with following(LISTENER, READER) as (_, _, links):
        await asyncio.sleep(0.2)
        assert links.sent == []


async def test_a_daemon_without_recent_notices_reads_the_store_itself():
    async with following(LISTENER, READER) as (store, follower, _):
        store.configure(7)
        await until(lambda: follower.in_force.version == 7, timeout_s=2.5)


async def test_notices_that_arrive_late_do_not_keep_a_daemon_from_reading_the_store():
    async with following(LISTENER, READER) as (store, follower, _):
        store.configure(7)
        async with asyncio.timeout(2.5):
            while follower.in_force.version != 7:
                follower.receive(notice(row=1, age_s=5.0))
                await asyncio.sleep(0.05)


async def test_a_daemon_with_recent_notices_does_not_read_the_store():
    async with following(LISTENER, READER) as (store, follower, links):
        for _ in range(30):
            follower.receive(notice(row=1))
            await asyncio.sleep(0.05)
        assert store.waits_s == []
        assert links.sent == []


async def test_a_store_that_answers_immediately_is_not_read_continuously():
    async with following(READER, LISTENER) as (store, _, _):
        store.answers_immediately = True
        await asyncio.sleep(0.7)
        calls = len(store.waits_s)
        await asyncio.sleep(1.0)
        assert len(store.waits_s) - calls <= 3


async def test_a_version_announced_during_a_read_is_read_after_it():
    async with following(LISTENER, READER, bound_s=LONG_BOUND_S) as (
        store,
        follower,
        _,
    ):
        store.delay_s = 0.3
        store.configure(7)
        follower.receive(notice(row=2))
        await asyncio.sleep(0.1)
        store.configure(8)
        follower.receive(notice(row=3))
        await until(lambda: follower.in_force.version == 8)


async def test_a_short_row_is_sent_with_its_notice_and_not_read_from_the_store():
    async with (
        following(READER, LISTENER) as (store, reader, links),
        following(LISTENER, READER) as (other_store, listener, _),
    ):
        await until(lambda: links.sent)
        store.configure(7)
        await until(lambda: reader.in_force.version == 7)
        await until(lambda: any(each.compressed_row for each in links.sent))
        reads = other_store.table_reads, len(other_store.waits_s)
        for each in links.sent:
            listener.receive(each)
        assert listener.in_force.version == 7
        assert listener.age_s < 0.5
        assert (other_store.table_reads, len(other_store.waits_s)) == reads


async def test_a_long_row_is_announced_without_it(monkeypatch):
    monkeypatch.setattr(configuration_following, "MAX_NOTICE_ROW_BYTES", 0)
    async with following(READER, LISTENER) as (store, _, links):
        await until(lambda: links.sent)
        store.configure(7)
        await until(lambda: any(each.row_version == 2 for each in links.sent))
        assert not any(each.compressed_row for each in links.sent)


async def test_a_malformed_row_of_a_notice_is_read_from_the_store():
    async with following(LISTENER, READER, bound_s=LONG_BOUND_S) as (
        store,
        follower,
        _,
    ):
        store.configure(7)
        follower.receive(replace(notice(row=2), compressed_row=b"no zlib"))
        await until(lambda: follower.in_force.version == 7)


async def test_an_announced_version_that_the_store_never_had_is_dropped():
    async with following(LISTENER, READER) as (store, follower, _):
        reads = store.table_reads
        follower.receive(notice(row=99))
        await asyncio.sleep(0.5)
        assert store.table_reads == reads + 1


async def test_a_daemon_without_the_store_fetches_an_announced_row_from_another():
    exchange = MemoryExchange(**{"vm-9": StoreRow("config", b"7", 2)})
    async with following(LISTENER, READER, exchange=exchange) as (store, follower, _):
        store.is_down = True
        follower.receive(notice(row=2))
        await until(lambda: follower.in_force.version == 7)
        assert exchange.fetched_from == [READER, "vm-9"]
        assert exchange.current_row.version == 2


async def test_the_reader_announces_a_long_row_before_it_has_read_it():
    async with following(READER, LISTENER) as (store, follower, links):
        await until(lambda: links.sent)
        store.is_answer_long = True
        store.configure(7)
        await until(lambda: follower.in_force.version == 7)
        announced = [each.row_version for each in links.sent if each.row_version > 1]
        assert announced[:2] == [2, 2]


async def test_a_listener_reads_a_row_once_if_it_is_newer_than_announced():
    async with following(LISTENER, READER) as (store, follower, _):
        store.row = StoreRow("config", b"7", 9)
        follower.receive(notice(row=2))
        await until(lambda: follower.in_force.version == 7)
        reads = store.table_reads
        follower.receive(notice(row=9))
        await asyncio.sleep(0.2)
        assert store.table_reads == reads


async def test_the_first_configuration_is_in_force_soon_after_it_is_written(
    monkeypatch,
):
    monkeypatch.setattr(configuration_freshness, "READ_INTERVAL_S", LONG_BOUND_S)
    async with following(
        READER, LISTENER, has_configuration=False, bound_s=LONG_BOUND_S
    ) as (store, follower, _):
        await until(lambda: store.table_reads)
        store.configure(7)
        await until(lambda: follower.in_force is not None)


async def test_an_empty_store_is_not_read_continuously():
    async with following(READER, LISTENER, has_configuration=False) as (store, _, _):
        reads = store.table_reads
        await asyncio.sleep(0.5)
        assert store.table_reads - reads <= 6


async def test_a_daemon_that_starts_with_an_old_configuration_knows_its_age():
    async with following("vm-1", has_configuration=False) as (store, follower, _):
        store.is_down = True
        follower.receive(notice(row=0, store_version=0))
        row = StoreRow("config", b"4", 9)
        follower.adopt(notice(row=9, age_s=100.0), row)
        assert follower.in_force.version == 4
        assert follower.age_s >= 100.0
        assert follower.snapshot().age_s >= 100.0
