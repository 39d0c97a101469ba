"""The account of what a daemon holds for its callers, with a daemon in the process."""

import asyncio

import pytest

from dogwoodhook.state.caller_memory import CONNECTION_BYTES, SHORTAGE_S
from tests.exchanges import until
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.hostile_callers import (
    CHUNKED,
    ONE_SHORT,
    chunks,
    head,
    running_chunked_target,
)
from tests.platform_adapter.raw_caller import raw_caller, request_text

FULL_BYTES = 1024 * 1024 * 1024


async def start(platform, *behaviours):
    await platform.configure()
    target = await platform.start_target("t1", *behaviours)
    gateway = await platform.start_gateway()
    return target, gateway, gateway._callers._pressure.memory


@pytest.mark.parametrize(
    "text",
    [
        head(ONE_SHORT) + b"x",
        head(ONE_SHORT) + b"xx",
        head("Content-Length: 400000") + b"x" * 300_000,
        head("Content-Length: 900000") + b"x" * 800_000,
        head("Content-Length: 9000000") + b"x" * 800_000,
        head(CHUNKED) + chunks(10_000, chunk_bytes=1),
        head(CHUNKED) + chunks(2_000_000, chunk_bytes=50_000),
        head(ONE_SHORT)[:-4],
        b"no request\r\n\r\n",
    ],
)
async def test_nothing_is_held_for_a_caller_that_has_left(platform, text):
    _, _, memory = await start(platform, behave.after(0.2))
    async with raw_caller(platform.gateways[0]) as caller:
        caller.writer.write(text)
        await until(lambda: memory.held_bytes >= CONNECTION_BYTES)
        await asyncio.sleep(0.1)
    await until(lambda: memory.held_bytes == 0)


async def test_little_is_held_for_an_idle_connection(platform):
    _, _, memory = await start(platform)
    async with raw_caller(platform.gateways[0]) as caller:
        for _ in range(3):
            caller.send("/post/1", body=b"x" * 300_000)
            assert (await caller.answer()).status == 200
        await until(lambda: memory.held_bytes < 4 * CONNECTION_BYTES)


async def test_a_large_body_is_refused_as_not_run_while_memory_is_short(platform):
    target, _, memory = await start(platform)
    memory.change(int(0.8 * memory.limit_bytes))
    reply = await platform.send("/post/1", data=b"x" * 100_000)
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert (await platform.send("/post/2", data=b"x" * 10_000)).status == 200
    assert [each.path for each in target.received] == ["/post/2"]


async def test_a_caller_is_read_again_once_there_is_memory(platform):
    _, _, memory = await start(platform)
    memory.change(FULL_BYTES)
    async with raw_caller(platform.gateways[0]) as caller:
        caller.send("/read/1")
        await asyncio.sleep(0.2)
        memory.change(-FULL_BYTES)
        assert (await caller.answer()).status == 200


async def test_the_caller_that_holds_most_is_refused_as_not_run(platform):
    target, _, memory = await start(platform)
    async with raw_caller(platform.gateways[0]) as caller:
        caller.writer.write(head("Content-Length: 400000") + b"x" * 399_999)
        await until(lambda: memory.held_bytes > 400_000)
        memory.change(memory.limit_bytes - memory.held_bytes)
        large = platform.send("/read/1", headers={f"X-{n}": "" for n in range(800)})
        other = asyncio.ensure_future(large)
        refusal = await caller.answer()
        assert refusal.status == 503
        assert refusal.closes
        assert refusal.request_id == "hostile"
    assert (await other).status == 200
    assert [each.path for each in target.received] == ["/read/1"]


async def test_a_body_in_chunks_over_the_limit_gets_413(platform):
    await platform.configure()
    target = await platform.stack.enter_async_context(running_chunked_target("t1"))
    await platform.store.put("servers", "t1", target.entry())
    gateway = await platform.start_gateway()
    async with raw_caller(gateway) as caller:
        caller.writer.write(head(CHUNKED) + chunks(2_000_000, chunk_bytes=50_000))
        answer = await caller.answer()
    assert (answer.status, answer.closes) == (413, True)
    assert answer.request_id == "hostile"
    assert not target.received


async def test_an_answer_before_the_end_of_a_body_over_the_limit_is_delivered(platform):
    _, gateway, _ = await start(platform)
    async with raw_caller(gateway) as caller:
        caller.writer.write(head(CHUNKED) + chunks(2_000_000, chunk_bytes=50_000))
        answer = await caller.answer()
    assert answer.closes
    assert (answer.status, answer.body) in (
        (200, b"t1 ran /post/1"),
        (413, b"the body is too large\n"),
    )


async def test_an_answer_in_front_of_a_body_over_the_limit_is_delivered(platform):
    _, gateway, _ = await start(platform, behave.after(0.3))
    async with raw_caller(gateway) as caller:
        caller.send("/read/1")
        caller.writer.write(head(CHUNKED) + chunks(2_000_000, chunk_bytes=50_000))
        answers = await caller.answers()
    assert answers[0].body == b"t1 ran /read/1"
    assert answers[1].closes


def metric(gateway, name):
    """Return the value of a series of a daemon's metrics."""
    lines = gateway._metrics.exposition().decode().splitlines()
    (value,) = (line.rpartition(" ")[2] for line in lines if line.startswith(name))
    return float(value)


async def test_bodies_of_open_requests_are_not_told_from_those_of_nobody(platform):
    may_answer = asyncio.Event()

    async def answer_later(server, received, writer):
        await may_answer.wait()
        await behave.answer(server, received, writer)

    target, gateway, _ = await start(platform, answer_later)
    body_bytes = "dogwoodhook_caller_body_memory_bytes"
    at_connections = 'dogwoodhook_open_requests{at="connections"'
    at_daemon = 'dogwoodhook_open_requests{at="daemon"'
    names = (body_bytes, at_connections, at_daemon)
    async with raw_caller(gateway) as caller:
        caller.send("/post/1", body=b"x" * 300_000)
        await until(lambda: bool(target.received))
        assert [metric(gateway, each) for each in names] == [300_000, 1, 1]
    await until(lambda: metric(gateway, at_connections) == 0)
    assert [metric(gateway, each) for each in names] == [300_000, 0, 1]
    may_answer.set()
    # The body is released a pass of the event loop before the task has ended.
    await until(lambda: [metric(gateway, each) for each in names] == [0, 0, 0])


async def wait_for_memory(gateway, text):
    """Send a request, and wait until the daemon closes the connection."""
    async with raw_caller(gateway) as caller:
        caller.writer.write(text)
        assert await caller.answer() is None


async def test_a_daemon_without_memory_for_requests_says_that_it_is_ready(platform):
    _, gateway, memory = await start(platform)
    memory.change(FULL_BYTES)
    async with asyncio.timeout(10.0):
        while gateway.is_ready:
            await wait_for_memory(gateway, request_text("/read/1"))
    memory.change(-FULL_BYTES)
    await until(lambda: gateway.is_ready)
    assert (await platform.send("/read/2")).status == 200


async def test_a_daemon_that_admits_small_requests_asks_for_no_connections(platform):
    _, gateway, memory = await start(platform)
    memory.change(memory.limit_bytes - memory.held_bytes)
    large = head(*(f"X-{number}: " for number in range(200)))
    loop = asyncio.get_running_loop()
    until_s = loop.time() + 2 * SHORTAGE_S
    while loop.time() < until_s:
        await wait_for_memory(gateway, large)
        assert (await platform.send("/read/1")).status == 200
        assert gateway.is_ready
