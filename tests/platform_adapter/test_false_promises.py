"""Answers that promise that a request has not run, beside attempts that may run it."""

import asyncio

import pytest
from multidict import CIMultiDict

from dogwoodhook.platform.headers import PLATFORM_CONVENTIONS
from dogwoodhook.protocol.request_uri import RequestUri
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.testing.fleet import free_port
from dogwoodhook.transport import target_connections
from dogwoodhook.transport.attempts import (
    BUFFERED_ANSWER_BYTES,
    Attempt,
    NotRunAtTarget,
    send_attempt,
)
from dogwoodhook.transport.clean_reuse_connector import CleanReuseConnector
from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.route_forwarder import REPLAY_BUFFER_BYTES
from dogwoodhook.transport.target_sessions import make_session
from tests.exchanges import until
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.conftest import make_route
from tests.platform_adapter.raw_caller import raw_caller, request_text
from tests.platform_adapter.target_server import HOST, TargetServer, running_target

pytestmark = pytest.mark.xdist_group("timed")

GRACE_S = 2.0
HEAD_TIMEOUT_S = 3.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
LARGE_BYTES = 2 * REPLAY_BUFFER_BYTES - 1024


async def start(platform, *behaviours, second=None, **route):
    """Start a daemon and a target, and ``second`` behind it; return the targets."""
    await platform.configure(
        read=make_route("/read/", kind="safe", **route),
        post=make_route("/post/", **route),
    )
    targets = [await platform.start_target("t1", *behaviours)]
    if second is not None:
        entry = {"zone": "oulu-2", "warmupLeft": "60000ms"}
        targets.append(await platform.start_target("t2", second, **entry))
    gateway = await platform.start_gateway(grace_s=GRACE_S)
    if second is not None:
        await until(lambda: gateway.knows_target("t2"))
    return targets


async def stop(gateway):
    await gateway.drain()
    await gateway.close()


async def test_a_stop_promises_that_a_hedged_request_has_not_run(platform):
    """The hedge is refused while the first target is at work."""
    first, hedge = await start(platform, behave.hang, second=behave.refuse)
    gateway = platform.gateways[0]
    async with raw_caller(gateway) as caller:
        caller.send("/read/a")
        await until(lambda: first.received and hedge.received)
        stopping = asyncio.ensure_future(stop(gateway))
        answer = await caller.answer()
        await stopping
    assert answer is not None
    assert answer.status not in NOT_RUN_STATUSES


@pytest.mark.parametrize("path", ["/read/a", "/post/a"])
async def test_a_stop_promises_that_a_request_sent_after_a_refusal_has_not_run(
    platform, path
):
    _, second = await start(platform, behave.refuse, second=behave.hang)
    gateway = platform.gateways[0]
    async with raw_caller(gateway) as caller:
        caller.send(path)
        await until(lambda: second.received)
        stopping = asyncio.ensure_future(stop(gateway))
        answer = await caller.answer()
        await stopping
    assert answer is not None
    assert answer.status not in NOT_RUN_STATUSES


async def test_a_refusal_after_the_intake_has_ended_runs_at_a_second_target(platform):
    """The caller gets a promise, so nothing may be sent behind it."""
    first, second = await start(
        platform, behave.after(0.6 * GRACE_S, behave.refuse), second=behave.answer
    )
    gateway = platform.gateways[0]
    async with raw_caller(gateway) as caller:
        caller.send("/post/a")
        await until(lambda: first.received)
        stopping = asyncio.ensure_future(stop(gateway))
        answer = await caller.answer()
        await stopping
    assert answer is not None
    assert answer.status in NOT_RUN_STATUSES
    assert not second.received


class HeadTarget(TargetServer):
    """A target that acts on a request's head and then reads on.

    ``heads`` counts the heads, ``body_bytes`` the bytes behind them.
    """

    heads = 0
    body_bytes = 0

    async def serve(self, reader, writer):
        try:
            received, _ = await self._read_head(reader, 1)
            self.heads += 1
            await self.behaviours[0](self, received, writer)
            while data := await reader.read(64 * 1024):
                self.body_bytes += len(data)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def start_head_target(platform, behaviour, **route):
    """Start a daemon with a ``HeadTarget``, and a second target that is chosen last."""
    target = HeadTarget("t1", free_port(), [behaviour])
    server = await asyncio.start_server(target.serve, HOST, target.port)
    platform.stack.callback(server.close)
    await platform.configure(post=make_route("/post/", **route))
    await platform.store.put("servers", "t1", target.entry())
    entry = {"zone": "oulu-2", "warmupLeft": "60000ms"}
    second = await platform.start_target("t2", **entry)
    gateway = await platform.start_gateway(grace_s=GRACE_S)
    await until(lambda: gateway.knows_target("t2"))
    return target, second


def upload_parts(size):
    """Return the head and first part of an upload, and its last part."""
    text = request_text("/post/a", body=b"x" * size)
    return text[:-1024], text[-1024:]


async def nothing(server, received, writer):
    """Leave the request without an answer."""


@pytest.mark.parametrize(
    ("behaviour", "may_promise"),
    [
        (behave.refuse, True),
        (behave.bare_503, False),
        (behave.reset, False),
        (behave.foreign_answer, False),
    ],
)
async def test_an_upload_that_is_answered_early_runs_at_a_second_target(
    platform, behaviour, may_promise
):
    target, second = await start_head_target(platform, behaviour)
    gateway = platform.gateways[0]
    first_part, last_part = upload_parts(LARGE_BYTES)
    async with raw_caller(gateway) as caller:
        caller.writer.write(first_part)
        answer = await caller.answer()
        caller.writer.write(last_part)
        await asyncio.sleep(0.2)
    assert answer is not None
    assert (answer.status in NOT_RUN_STATUSES) == may_promise
    assert target.heads == 1
    assert not second.received
    assert second.connections == 0


async def test_an_upload_that_stalls_at_a_target_gets_408(platform):
    target, second = await start_head_target(platform, nothing, timeout="1000ms")
    first_part, _ = upload_parts(LARGE_BYTES)
    async with raw_caller(platform.gateways[0]) as caller:
        caller.writer.write(first_part)
        await until(lambda: target.body_bytes > REPLAY_BUFFER_BYTES)
        answer = await caller.answer()
    assert answer is None or answer.status not in NOT_RUN_STATUSES
    assert not second.received


async def test_a_stop_promises_that_an_upload_at_a_target_has_not_run(platform):
    target, second = await start_head_target(platform, nothing, timeout="9000ms")
    gateway = platform.gateways[0]
    first_part, _ = upload_parts(LARGE_BYTES)
    async with raw_caller(gateway) as caller:
        caller.writer.write(first_part)
        await until(lambda: target.body_bytes > REPLAY_BUFFER_BYTES)
        stopping = asyncio.ensure_future(stop(gateway))
        answer = await caller.answer()
        await stopping
    assert answer is None or answer.status not in NOT_RUN_STATUSES
    assert not second.received


async def cut_refusal(server, received, writer):
    """Refuse, and close the connection in the middle of the body."""
    writer.write(behave.head("503 Busy", received, length=99, Not_Executed="1"))
    writer.write(b"half")
    writer.close()


async def stalled_refusal(server, received, writer):
    """Refuse, and leave the body incomplete."""
    writer.write(behave.head("503 Busy", received, length=99, Not_Executed="1"))
    await asyncio.sleep(60)


@pytest.mark.parametrize("refusal", [cut_refusal, stalled_refusal])
async def test_a_refusal_that_is_incomplete_is_believed(platform, refusal):
    _, second = await start(platform, refusal, second=behave.answer, timeout="1000ms")
    reply = await platform.send("/post/a")
    assert reply.status in (502, 504)
    assert not second.received


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("size", [0, 2 * BUFFERED_ANSWER_BYTES])
@pytest.mark.parametrize("path", ["/read/a", "/post/a"])
async def test_a_targets_status_that_promises_too_much_reaches_the_caller(
    platform, path, status, size
):
    async def bare(server, received, writer):
        signed = {"Server_Signature": server.name}
        writer.write(behave.head(f"{status} No", received, length=size, **signed))
        writer.write(b"x" * size)

    await start(platform, bare)
    reply = await platform.send(path)
    assert reply.status not in NOT_RUN_STATUSES


@pytest.mark.parametrize("is_408_sent", [False, True])
@pytest.mark.parametrize("path", ["/read/late", "/post/late"])
async def test_a_head_that_is_completed_after_its_timeout_runs(
    platform, path, is_408_sent
):
    (target,) = await start(platform, behave.after(4.0), timeout="9000ms")
    first, late = request_text("/post/a"), request_text(path)
    async with raw_caller(platform.gateways[0]) as caller:
        caller.writer.write(first + late[:-2])
        await until(lambda: target.received)
        answers = [await caller.answer()] if is_408_sent else []
        if not is_408_sent:
            await asyncio.sleep(HEAD_TIMEOUT_S + 0.4)
        caller.writer.write(late[-2:] + request_text("/post/behind"))
        answers += [await caller.answer() for _ in range(2 - len(answers))]
        await asyncio.sleep(0.2)
    assert [each.status for each in answers] == [200, 408]
    assert [each.path for each in target.received] == ["/post/a"]


@pytest.mark.parametrize("behaviour", [behave.answer, behave.extra_answer])
async def test_a_request_that_times_out_around_its_sending_counts_as_not_run(behaviour):
    """Extra answers make an attempt close an idle connection and open another one."""
    refused = []
    async with running_target("t1", behaviour) as target:
        connector = CleanReuseConnector(limit_per_host=2)
        async with make_session(connector) as session:
            entry = TargetEntry(
                "t1", "payouts", HOST, target.port, "oulu-1", 3, False, 0.0, 1
            )
            for number in range(400):
                attempt = Attempt(
                    method="POST",
                    uri=RequestUri("/"),
                    headers=CIMultiDict({"Request-Id": f"id-{number}"}),
                    body=b"x",
                    request_id=f"id-{number}",
                    timeout_s=(number % 40) * 50e-6,
                    connect_timeout_s=1.0,
                )
                result = await send_attempt(
                    session, entry, attempt, PLATFORM_CONVENTIONS, AttemptTrace()
                )
                if isinstance(result, NotRunAtTarget):
                    refused.append(attempt.request_id)
            await asyncio.sleep(0.2)
    ran = {each.request_id for each in target.received}
    assert refused
    assert not ran & set(refused)


@pytest.mark.parametrize("size", [1, LARGE_BYTES])
@pytest.mark.parametrize("has_left", [False, True])
async def test_a_request_that_was_refused_while_it_waited_for_a_connection_runs_later(
    platform, monkeypatch, size, has_left
):
    """The connection becomes free after the refusal, or when its target has left."""
    monkeypatch.setattr(target_connections, "MAX_CONNECTIONS_PER_TARGET", 1)
    (target,) = await start(platform, behave.after(1.5), behave.answer)
    held = asyncio.ensure_future(platform.send("/post/held", data=b"x"))
    await until(lambda: target.received)
    deadline = {"Deadline-Ms": "5000" if has_left else "700"}
    waiting = asyncio.ensure_future(
        platform.send("/post/waiting", data=b"x" * size, headers=deadline)
    )
    await asyncio.sleep(0.2)
    if has_left:
        await platform.store.put("servers", "t1", target.entry(state="draining"))
    reply = await waiting
    assert (await held).status == 200
    await asyncio.sleep(0.2)
    assert reply.status in NOT_RUN_STATUSES
    assert [each.path for each in target.received] == ["/post/held"]
