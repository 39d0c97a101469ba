"""The client of the platform's store, against a simulated store."""

import time
from contextlib import asynccontextmanager

import pytest
from expression import Result

from dogwoodhook.coordination.store import (
    HistoryLost,
    RowConflict,
    StoreRow,
    StoreUnavailable,
    Table,
)
from dogwoodhook.platform import store_client
from dogwoodhook.platform.store_client import HttpStore
from dogwoodhook.testing.relay import Relay
from dogwoodhook.vm_settings import Address
from tests.platform_adapter.store_server import HOST, running_store


@asynccontextmanager
async def open_client():
    async with running_store() as server:
        client = HttpStore(server.address)
        try:
            yield server, client
        finally:
            await client.close()


async def test_a_table_is_read_completely_over_several_pages():
    async with open_client() as (server, client):
        server.page_rows = 2
        for number in range(5):
            await server.put("servers", f"t{number}", b"x")
        rows = (await client.read_table(Table.TARGETS)).ok
        assert [row.key for row in rows.rows] == ["t0", "t1", "t2", "t3", "t4"]
        assert rows.version == 5
        assert rows.is_complete


async def test_changes_are_returned_in_order_with_removals():
    async with open_client() as (server, client):
        await server.put("servers", "t1", b"old")
        await server.put("servers", "t2", b"new")
        await server.remove("servers", "t1")
        changes = (await client.read_changes(Table.TARGETS, after_version=1)).ok
        assert changes.rows == (StoreRow("t2", b"new", 2), StoreRow("t1", None, 3))


async def test_lost_history_is_distinguished_from_an_outage():
    async with open_client() as (server, client):
        await server.put("servers", "t1", b"x")
        server.drop_history()
        lost = await client.read_changes(Table.TARGETS, after_version=0)
        assert lost == Result.Error(HistoryLost())
        server.faults.refused = 503
        refused = await client.read_changes(Table.TARGETS, after_version=1)
        assert isinstance(refused.error, StoreUnavailable)


async def test_a_row_is_created_once():
    async with open_client() as (_, client):
        assert (await client.create_row(Table.DAEMONS, "key", b"first")).ok == 1
        second = await client.create_row(Table.DAEMONS, "key", b"second")
        assert second == Result.Error(RowConflict(StoreRow("key", b"first", 1)))


async def test_a_row_is_replaced_once():
    async with open_client() as (_, client):
        put = client.replace_row
        assert (await put(Table.DAEMONS, "key", b"a", version=0)).ok == 1
        assert (await put(Table.DAEMONS, "key", b"b", version=1)).ok == 2
        late = await put(Table.DAEMONS, "key", b"c", version=1)
        assert late == Result.Error(RowConflict(StoreRow("key", b"b", 2)))
        absent = await put(Table.DAEMONS, "other", b"d", version=7)
        assert absent == Result.Error(RowConflict(StoreRow("other", None, 0)))


@pytest.mark.parametrize("fault", ["refused", "is_silent"])
async def test_a_store_that_does_not_answer_is_unavailable(fault, monkeypatch):
    monkeypatch.setattr(store_client, "CALL_TIMEOUT_S", 0.1)
    async with open_client() as (server, client):
        setattr(server.faults, fault, 429)
        for call in (
            client.read_table(Table.TARGETS),
            client.read_changes(Table.TARGETS, after_version=0),
            client.put_row(Table.DAEMONS, "vm-1", b"x"),
            client.create_row(Table.DAEMONS, "vm-1", b"x"),
        ):
            assert isinstance((await call).error, StoreUnavailable)


async def test_a_long_answer_is_read_to_its_end_while_data_arrives():
    """The answer is as long as a configuration of 1,400 routes.

    It comes over a fifth of a link of 10 Mbit/s.
    """
    async with (
        open_client() as (server, client),
        Relay(port=server.address.port) as relay,
    ):
        value = b"x" * 256 * 1024
        await server.put("op", "config", value)
        relay.bytes_per_s = 10e6 / 8 / 5
        client.address = Address(HOST, relay.port)
        [row] = (await client.read_table(Table.CONFIGURATION)).ok.rows
        assert row.value == value


async def test_a_read_on_a_silent_connection_is_also_tried_on_a_new_one():
    async with (
        open_client() as (server, client),
        Relay(port=server.address.port) as relay,
    ):
        await server.put("op", "config", b"x")
        client.address = Address(HOST, relay.port)
        await client.read_table(Table.CONFIGURATION)
        relay.silence_open_connections()
        assert (await client.read_table(Table.CONFIGURATION)).is_ok()
        assert len(server.calls) == 2


async def test_a_slow_store_gets_only_one_call():
    async with open_client() as (server, client):
        server.faults.delay_s = 0.4
        assert (await client.read_table(Table.CONFIGURATION)).is_ok()
        assert len(server.calls) == 1


async def test_a_long_answer_is_reported_while_it_is_read():
    async with (
        open_client() as (server, client),
        Relay(port=server.address.port) as relay,
    ):
        await server.put("op", "config", b"short")
        await server.put("op", "config", b"x" * 64 * 1024)
        client.address = Address(HOST, relay.port)
        relay.bytes_per_s = 200e3
        reported_s = []

        async def read(after_version):
            await client.read_changes(
                Table.CONFIGURATION,
                after_version=after_version,
                on_long_answer=lambda: reported_s.append(time.monotonic()),
            )
            return time.monotonic()

        ended_s = await read(1)
        assert len(reported_s) == 1
        assert reported_s[0] < ended_s
        await read(2)
        assert len(reported_s) == 1, "an answer without changes is short"


async def test_a_waiting_call_on_a_silent_connection_ends_with_an_answer():
    async with (
        open_client() as (server, client),
        Relay(port=server.address.port) as relay,
    ):
        await server.put("op", "config", b"x")
        client.address = Address(HOST, relay.port)
        await client.read_table(Table.CONFIGURATION)
        relay.silence_open_connections()
        changes = await client.read_changes(
            Table.CONFIGURATION, after_version=1, wait_s=0.6
        )
        assert changes.ok.rows == ()
