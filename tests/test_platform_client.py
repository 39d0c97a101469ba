from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from expression import Error, Ok

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.platform import (
    ABSENT_VERSION,
    Committed,
    Condition,
    Conflict,
    OutcomeUnknown,
    Transaction,
    Unavailable,
    Vm,
    VmPhase,
    Write,
    commit_resolved,
    new_token,
)
from dogwoodhook.coordination.rows import EjectionRow, Head, ejection_key
from dogwoodhook.testing.platform_server import PlatformFaults, PlatformServer
from dogwoodhook.testing.serving import serve_app
from dogwoodhook.transport.platform_client import open_platform

DEADLINE_MS = 300


@asynccontextmanager
async def open_server(server):
    async with (
        serve_app(server.make_app()) as port,
        open_platform(f"http://127.0.0.1:{port}", deadline_ms=DEADLINE_MS) as client,
    ):
        yield client


@asynccontextmanager
async def open_fixed_answer(status, text):
    async def answer(request):
        return web.Response(status=status, text=text)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    async with (
        serve_app(app) as port,
        open_platform(f"http://127.0.0.1:{port}", deadline_ms=DEADLINE_MS) as client,
    ):
        yield client


def create_head(version=1):
    return Transaction(
        (Condition("head", ABSENT_VERSION),),
        (Write("head", Head(version)),),
        new_token(),
    )


async def test_rows_are_committed_read_scanned_and_deleted():
    async with open_server(PlatformServer()) as client:
        row = EjectionRow("tills", sequence=4)
        key = ejection_key("tills")
        await client.commit(Transaction((), (Write(key, row),), "t-1"))
        await client.commit(create_head())
        stored = (await client.read([key, "absent"])).ok
        assert list(stored) == [key]
        assert (stored[key].value, stored[key].version) == (row, 1)
        assert (await client.scan("ejection/")).ok == (stored[key],)
        assert (await client.scan("ejection/", after=key)).ok == ()
        await client.commit(Transaction((), (Write(key, None),), "t-3"))
        assert (await client.read([key])).ok == {}


async def test_a_condition_that_does_not_hold_is_a_conflict():
    async with open_server(PlatformServer()) as client:
        assert await client.commit(create_head()) == Ok(Committed(1))
        assert await client.commit(create_head()) == Error(Conflict("head"))


async def test_a_commit_whose_answer_is_lost_is_unknown_and_took_effect():
    server = PlatformServer()
    async with open_server(server) as client:
        server.set_faults(PlatformFaults(lost_answers=1))
        assert isinstance((await client.commit(create_head())).error, OutcomeUnknown)
        assert (await client.read(["head"])).ok["head"].value == Head(1)


async def test_a_commit_whose_request_is_lost_is_unknown_and_wrote_nothing():
    server = PlatformServer()
    async with open_server(server) as client:
        server.set_faults(PlatformFaults(lost_requests=1))
        assert isinstance((await client.commit(create_head())).error, OutcomeUnknown)
        assert (await client.read(["head"])).ok == {}


async def test_a_resolved_commit_finds_its_own_write():
    server = PlatformServer()
    async with open_server(server) as client:
        server.set_faults(PlatformFaults(lost_answers=1))
        assert await commit_resolved(client, create_head()) == Ok(Committed(1))
        assert server.platform.table.version == 1


async def test_a_slow_commit_is_unknown_at_its_deadline():
    server = PlatformServer()
    async with open_server(server) as client:
        server.set_faults(PlatformFaults(is_silent=True))
        assert isinstance((await client.commit(create_head())).error, OutcomeUnknown)
        assert isinstance((await client.read(["head"])).error, Unavailable)


async def test_every_call_is_unavailable_during_an_outage():
    server = PlatformServer()
    async with open_server(server) as client:
        server.set_faults(PlatformFaults(is_down=True))
        results = [
            await client.commit(create_head()),
            await client.read(["head"]),
            await client.scan(""),
            await client.get_object("snapshot"),
            await client.put_object("snapshot", b"x"),
            await client.list_vms(),
        ]
        assert all(isinstance(each.error, Unavailable) for each in results)


async def test_a_refused_connection_is_unavailable():
    async with serve_app(web.Application()) as port:
        pass
    async with open_platform(f"http://127.0.0.1:{port}") as client:
        assert isinstance((await client.commit(create_head())).error, Unavailable)


@pytest.mark.parametrize(
    ("status", "text"),
    [(200, "{"), (200, "{}"), (200, '{"version": "x"}'), (409, "[]"), (500, "")],
)
async def test_a_malformed_answer_to_a_commit_is_unknown(status, text):
    async with open_fixed_answer(status, text) as client:
        assert isinstance((await client.commit(create_head())).error, OutcomeUnknown)


@pytest.mark.parametrize(
    "text",
    [
        "{",
        '{"rows": [{}]}',
        '{"rows": [{"key": "head", "value": {}, "version": 1, "token": "t"}]}',
        '{"rows": [{"key": "none/such", "value": {}, "version": 1, "token": "t"}]}',
    ],
)
async def test_a_malformed_answer_to_a_read_is_unavailable(text):
    async with open_fixed_answer(200, text) as client:
        assert isinstance((await client.read(["head"])).error, Unavailable)


async def test_objects_are_stored_and_refused():
    server = PlatformServer()
    async with open_server(server) as client:
        assert (await client.get_object("a/b c")).ok is None
        assert (await client.put_object("a/b c", b"\0\xff")).is_ok()
        assert (await client.get_object("a/b c")).ok == b"\0\xff"
        server.set_faults(PlatformFaults(refuses_objects=True))
        assert isinstance((await client.get_object("a/b c")).error, Unavailable)
        assert (await client.read(["head"])).is_ok()


async def test_the_vm_list_lags_and_goes_stale():
    clock = ManualClock()
    server = PlatformServer(vm_list_lag_ms=5_000, clock=clock)
    vms = (Vm("vm-1", "daemon", "127.0.0.1:7101", "kigali-1", VmPhase.LEAVING),)
    async with open_server(server) as client:
        server.set_vms(vms)
        clock.advance(4)
        assert (await client.list_vms()).ok == ()
        server.set_faults(PlatformFaults(is_vm_list_stale=True))
        clock.advance(2)
        assert (await client.list_vms()).ok == ()
        server.set_faults(PlatformFaults())
        assert (await client.list_vms()).ok == vms


async def test_a_forced_conflict_writes_nothing():
    server = PlatformServer()
    async with open_server(server) as client:
        server.set_faults(PlatformFaults(forced_conflicts=1))
        assert await client.commit(create_head()) == Error(Conflict("head"))
        assert await client.commit(create_head()) == Ok(Committed(1))
