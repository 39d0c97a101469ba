"""What stays counted for a request's body, in each way in which the request ends."""

import asyncio

import pytest

from dogwoodhook.coordination.quota_sharing import QuotaSharing
from dogwoodhook.state.caller_memory import CONNECTION_BYTES
from dogwoodhook.transport.route_forwarder import REPLAY_BUFFER_BYTES
from tests.exchanges import until
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.conftest import make_route
from tests.platform_adapter.raw_caller import raw_caller, request_text
from tests.platform_adapter.test_workspace_keys import configure

LAB = {"Api-Key": "lab-key"}
BURST = 2
QUOTA = {"lab": {"apiKeys": ["lab-key"], "ratePerS": 0.01, "burst": BURST}}

BUFFERED_BYTES = 100_000
STREAMED_BYTES = 800_000
"""Sizes of a body below and above the replay buffer."""

sizes = pytest.mark.parametrize("size", [BUFFERED_BYTES, STREAMED_BYTES])
prefixes = pytest.mark.parametrize("prefix", ["/read", "/post"])


async def start(platform, *behaviours, **bounds):
    """Start a daemon with a quota of two requests; return it and its account."""
    await configure(platform, tenants=QUOTA)
    target = await platform.start_target("t1", *behaviours)
    gateway = await platform.start_gateway(
        quota_window_s=0.001, quota_slack=0.0, **bounds
    )
    return target, gateway, gateway._callers._pressure.memory


async def send(platform, path, size, **options):
    return await platform.send(
        path, method="POST", data=b"x" * size, headers=LAB, **options
    )


def post(path, size):
    """Return the bytes of a request with a body."""
    text = request_text(path, body=b"x" * size, headers=LAB)
    return text.replace(b"GET ", b"POST ", 1)


async def assert_no_body_is_held(memory):
    """Wait until there is no more than connections without a request take."""
    await until(lambda: memory.held_bytes < 4 * CONNECTION_BYTES)


@sizes
@prefixes
async def test_the_body_of_a_request_over_its_quota_stays_counted(
    platform, prefix, size
):
    target, _, memory = await start(platform)
    replies = [await send(platform, f"{prefix}/{number}", size) for number in range(6)]
    assert [each.status for each in replies] == [200] * BURST + [429] * 4
    assert len(target.received) == BURST
    await assert_no_body_is_held(memory)


async def test_a_daemon_reads_no_request_after_many_over_a_quota(platform):
    _, _, memory = await start(platform)
    memory.limit_bytes = 4 * STREAMED_BYTES
    replies = [await send(platform, f"/post/{n}", BUFFERED_BYTES) for n in range(60)]
    assert [each.status for each in replies] == [200] * BURST + [429] * 58


@sizes
@prefixes
async def test_the_body_of_a_caller_that_leaves_before_its_quota_is_known_stays_counted(
    platform, monkeypatch, prefix, size
):
    is_decided, is_asked = asyncio.Event(), asyncio.Event()
    take = QuotaSharing.take

    async def take_late(self, policy, *, priority):
        is_asked.set()
        await is_decided.wait()
        return await take(self, policy, priority=priority)

    monkeypatch.setattr(QuotaSharing, "take", take_late)
    _, gateway, memory = await start(platform)
    async with raw_caller(gateway) as caller:
        caller.writer.write(post(f"{prefix}/1", size))
        await until(is_asked.is_set)
        assert memory.held_bytes >= BUFFERED_BYTES
    # A request that may run once goes on without its caller, and so does one of which
    # the connection is not read on until its body is sent.
    if prefix == "/post" or size > REPLAY_BUFFER_BYTES:
        is_decided.set()
    await until(lambda: memory.held_bytes == 0)


async def test_the_body_of_a_request_whose_quota_cannot_be_asked_stays_counted(
    platform, monkeypatch
):
    async def fail(self, policy, *, priority):
        raise RuntimeError

    monkeypatch.setattr(QuotaSharing, "take", fail)
    _, _, memory = await start(platform)
    assert (await send(platform, "/post/1", BUFFERED_BYTES)).status == 502
    await assert_no_body_is_held(memory)


@sizes
@prefixes
@pytest.mark.parametrize(
    "behaviour", [behave.refuse, behave.reset, behave.server_error, behave.truncated]
)
async def test_the_body_of_a_request_that_fails_at_its_targets_stays_counted(
    platform, behaviour, prefix, size
):
    _, _, memory = await start(platform, behaviour)
    assert (await send(platform, f"{prefix}/1", size)).status >= 500
    await assert_no_body_is_held(memory)


@sizes
@prefixes
async def test_the_body_of_a_caller_that_leaves_during_its_run_stays_counted(
    platform, prefix, size
):
    target, gateway, memory = await start(platform, behave.after(0.3))
    async with raw_caller(gateway) as caller:
        caller.writer.write(post(f"{prefix}/1", size))
        await until(lambda: bool(target.received))
    await until(lambda: memory.held_bytes == 0)


@prefixes
async def test_the_body_of_a_caller_that_leaves_while_it_waits_for_room_stays_counted(
    platform, prefix
):
    await platform.configure()
    target = await platform.start_target("t1", behave.after(1.0), slots=1)
    gateway = await platform.start_gateway(has_competing_load=True)
    memory = gateway._callers._pressure.memory
    async with raw_caller(gateway) as first, raw_caller(gateway) as second:
        first.writer.write(post("/read/1", BUFFERED_BYTES))
        await until(lambda: len(target.received) == 1)
        second.writer.write(post(f"{prefix}/2", BUFFERED_BYTES))
        await until(lambda: memory.held_bytes > 2 * BUFFERED_BYTES)
        await asyncio.sleep(0.1)
    await until(lambda: memory.held_bytes == 0)


async def test_the_body_of_a_request_over_its_quota_behind_others_stays_counted(
    platform,
):
    _, gateway, memory = await start(platform, behave.after(0.1))
    async with raw_caller(gateway) as caller:
        paths = [f"/post/{number}" for number in range(5)]
        caller.writer.write(b"".join(post(each, BUFFERED_BYTES) for each in paths))
        answers = [await caller.answer() for _ in paths]
    statuses = [each.status for each in answers]
    assert statuses == [200] * BURST + [429] * (5 - BURST)
    await until(lambda: memory.held_bytes == 0)


async def test_the_body_of_a_request_without_a_target_stays_counted(platform):
    await configure(platform, tenants=QUOTA)
    await platform.configure(2, empty=make_route("/post/none/", backend="none"))
    await platform.start_target("t1")
    gateway = await platform.start_gateway()
    reply = await platform.send("/post/none/1", data=b"x" * BUFFERED_BYTES)
    assert reply.status == 503
    await assert_no_body_is_held(gateway._callers._pressure.memory)


@prefixes
async def test_the_body_of_a_request_that_a_stop_ends_stays_counted(platform, prefix):
    target, gateway, memory = await start(platform, behave.hang, grace_s=1.0)
    async with raw_caller(gateway) as caller:
        caller.writer.write(post(f"{prefix}/1", BUFFERED_BYTES))
        await until(lambda: bool(target.received))
        await gateway.drain()
        await until(lambda: memory.held_bytes < BUFFERED_BYTES)
