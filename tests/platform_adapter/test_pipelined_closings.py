"""Pipelined requests behind an answer after which the connection must be closed."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from dogwoodhook.state import large_answers
from dogwoodhook.transport import route_forwarder
from dogwoodhook.transport.attempts import BUFFERED_ANSWER_BYTES
from dogwoodhook.transport.route_forwarder import (
    LARGE_ANSWER_BUFFER_BYTES,
    MAX_LARGE_ANSWER_BUFFERS,
)
from tests.exchanges import until
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.raw_caller import raw_caller

pytestmark = [
    pytest.mark.xdist_group("timed"),
    pytest.mark.usefixtures("slow_connections"),
]

SIZE = 4 * BUFFERED_ANSWER_BYTES


def large_answer_for(path, *, is_cut, pause_s=0.0):
    """Return a behaviour: a large answer to one path, cut halfway or complete.

    Other paths get a small answer after 0.05 s.
    """

    async def behaviour(server, received, writer):
        if received.path != path:
            await asyncio.sleep(0.05)
            await behave.answer(server, received, writer)
            return
        writer.write(behave.head("200 OK", received, length=SIZE, Server_Signature="s"))
        writer.write(b"x" * (SIZE // 2))
        await writer.drain()
        await asyncio.sleep(pause_s)
        if is_cut:
            behave.reset_connection(writer)
            return
        writer.write(b"x" * (SIZE // 2))

    return behaviour


async def start(platform, behaviour):
    await platform.configure()
    target = await platform.start_target("t1", behaviour)
    return target, await platform.start_gateway()


@pytest.mark.parametrize("large", ["a", "b"])
async def test_requests_behind_an_answer_that_breaks_off_are_answered(platform, large):
    path = f"/read/{large}"
    target, gateway = await start(
        platform, large_answer_for(path, is_cut=True, pause_s=0.2)
    )
    async with raw_caller(gateway) as caller:
        caller.send("/read/a", "/read/b", "/read/c")
        await until(lambda: len(target.received) == 3)
        answers = [await caller.answer() for _ in range(3)]
    assert all(answers), "closed while requests were at a target"
    assert [each.request_id for each in answers] == ["a", "b", "c"]
    statuses = {each.request_id: each.status for each in answers}
    assert statuses.pop(large) == 502
    assert set(statuses.values()) == {200}


async def test_no_request_is_started_behind_an_answer_that_is_streamed(platform):
    behaviour = large_answer_for("/read/a", is_cut=True, pause_s=0.3)
    target, gateway = await start(platform, behaviour)
    async with raw_caller(gateway) as caller:
        caller.send("/read/a")
        await asyncio.sleep(0.1)
        caller.send("/read/b")
        assert not (await caller.answer()).is_complete
    assert [each.path for each in target.received] == ["/read/a"]


async def test_a_request_behind_a_large_complete_answer_is_answered_after_it(platform):
    behaviour = large_answer_for("/read/a", is_cut=False, pause_s=0.3)
    _, gateway = await start(platform, behaviour)
    async with raw_caller(gateway) as caller:
        caller.send("/read/a")
        await asyncio.sleep(0.1)
        caller.send("/read/b", "/read/c")
        answers = [await caller.answer() for _ in range(3)]
    assert [each.status for each in answers] == [200, 200, 200]
    assert len(answers[0].body) == SIZE


async def test_a_large_answer_that_waits_past_its_deadline_cuts_no_other_answer(
    platform,
):
    async def behaviour(server, received, writer):
        if received.path == "/read/a":
            await asyncio.sleep(0.8)
            await behave.answer(server, received, writer)
            return
        writer.write(behave.head("200 OK", received, length=SIZE, Server_Signature="s"))
        writer.write(b"x" * SIZE)

    _, gateway = await start(platform, behaviour)
    async with raw_caller(gateway) as caller:
        caller.send("/read/a")
        caller.send("/read/b", deadline_ms=600)
        answers = [await caller.answer() for _ in range(2)]
    assert all(answers), "closed while requests were at a target"
    assert [each.status for each in answers] == [200, 504]


async def test_answers_that_wait_for_their_turn_are_delivered_in_a_stop(platform):
    """The target has answered all requests but the first when the stop begins."""

    async def behaviour(server, received, writer):
        await asyncio.sleep(1.2 if received.path == "/read/a" else 0.0)
        await behave.answer(server, received, writer)

    target, gateway = await start(platform, behaviour)
    names = [chr(ord("a") + number) for number in range(12)]
    async with raw_caller(gateway) as caller:
        caller.send(*[f"/read/{name}" for name in names])
        await until(lambda: len(target.received) == len(names))
        await gateway.drain()
        closing = asyncio.ensure_future(gateway.close())
        answers = await caller.answers()
        await closing
    assert [each.request_id for each in answers] == names
    assert {each.status for each in answers} == {200}


@pytest.mark.parametrize("line", [b"X: a\x01b", b"X: \x7f"], ids=["start", "delete"])
@pytest.mark.parametrize("path", ["/read/a", "/post/a"])
async def test_a_control_character_in_the_head_of_an_answer_cuts_no_other_answer(
    platform, path, line
):
    """aiohttp refuses to write such a header, though it reads it from a target."""

    async def behaviour(server, received, writer):
        if received.path == path:
            head = behave.head("200 OK", received, length=2, Server_Signature="s")
            writer.write(head.replace(b"\r\n\r\n", b"\r\n" + line + b"\r\n\r\nok"))
            return
        await asyncio.sleep(0.2)
        await behave.answer(server, received, writer)

    _, gateway = await start(platform, behaviour)
    async with raw_caller(gateway) as caller:
        caller.send(path, "/read/b")
        answers = [await caller.answer() for _ in range(2)]
    assert all(answers), "closed without an answer"
    assert [each.status for each in answers] == [502, 200]


async def test_a_request_whose_host_cannot_be_decoded_cuts_no_answer_in_front_of_it(
    platform,
):
    """The host has the prefix of an internationalised name, but is not a valid one."""
    target = await platform.start_target("t1", behave.after(0.2))
    await platform.configure()
    gateway = await platform.start_gateway()
    async with raw_caller(gateway) as caller:
        caller.send("/read/a", "/read/b")
        await until(lambda: len(target.received) == 2)
        caller.writer.write(b"GET http://xn--/read/c HTTP/1.1\r\nHost: xn--\r\n\r\n")
        answers = [await caller.answer() for _ in range(3)]
    assert all(answers), "closed while requests were at a target"
    assert [each.status for each in answers] == [200, 200, 400]


async def test_a_request_whose_host_cannot_be_decoded_is_refused(platform):
    await platform.configure()
    gateway = await platform.start_gateway()
    async with raw_caller(gateway) as caller, asyncio.timeout(5):
        caller.writer.write(b"GET http://xn--/read/a HTTP/1.1\r\nHost: xn--\r\n\r\n")
        answer = await caller.answer()
    assert answer.status == 400
    assert answer.closes


async def test_a_request_behind_more_large_answers_than_are_held_is_answered(platform):
    """On each connection a large answer breaks off in front of a small complete one."""

    async def behaviour(server, received, writer):
        if not received.path.startswith("/read/large"):
            await behave.answer(server, received, writer)
            return
        writer.write(behave.head("200 OK", received, length=SIZE, Server_Signature="s"))
        writer.write(b"x" * (SIZE // 2))
        await writer.drain()
        await asyncio.sleep(0.5)
        behave.reset_connection(writer)

    _, gateway = await start(platform, behaviour)
    await platform.start_target("t2", behaviour)
    await until(lambda: gateway.knows_target("t2"))

    async def call(number):
        async with raw_caller(gateway) as caller:
            caller.send(f"/read/large-{number}", f"/read/{number}")
            return [await caller.answer() for _ in range(2)]

    results = await asyncio.gather(*map(call, range(MAX_LARGE_ANSWER_BUFFERS + 1)))
    assert all(behind for _, behind in results), (
        "closed while a request was at a target"
    )


async def test_a_request_behind_an_answer_too_large_to_hold_is_answered(platform):
    size = LARGE_ANSWER_BUFFER_BYTES + SIZE

    async def behaviour(server, received, writer):
        if received.path != "/read/a":
            await behave.answer(server, received, writer)
            return
        writer.write(behave.head("200 OK", received, length=size, Server_Signature="s"))
        writer.write(b"x" * (size - 1))
        await writer.drain()
        await asyncio.sleep(0.3)
        behave.reset_connection(writer)

    target, gateway = await start(platform, behaviour)
    async with raw_caller(gateway) as caller:
        caller.send("/read/a", "/read/b")
        await until(lambda: len(target.received) == 2)
        answers = [await caller.answer() for _ in range(2)]
    assert all(answers), "closed while a request was at a target"


async def answer_large(server, received, writer):
    """Send a large answer to each path that begins with /read/large; slowly."""
    if not received.path.startswith("/read/large"):
        await behave.answer(server, received, writer)
        return
    writer.write(behave.head("200 OK", received, length=SIZE, Server_Signature="s"))
    for _ in range(4):
        await asyncio.sleep(0.05)
        writer.write(b"x" * (SIZE // 4))


async def test_a_request_waits_at_a_target_behind_an_answer_known_to_be_large(platform):
    target, gateway = await start(platform, answer_large)
    await platform.send("/read/large-0")
    async with raw_caller(gateway) as caller:
        caller.send("/read/large-1", "/read/b")
        await asyncio.sleep(0.1)
        assert [each.path for each in target.received[1:]] == ["/read/large-1"]
        answers = [await caller.answer() for _ in range(2)]
    assert [each.status for each in answers] == [200, 200]
    assert len(answers[0].body) == SIZE


async def test_large_answers_are_held_without_limit(platform, monkeypatch):
    """Beyond it, only the answers in front are given up."""
    monkeypatch.setattr(route_forwarder, "MAX_LARGE_ANSWER_BUFFERS", 1)
    _, gateway = await start(platform, behave.after(0.2, answer_large))
    count = LARGE_ANSWER_BUFFER_BYTES // SIZE + 3

    async def call(number):
        async with raw_caller(gateway) as caller:
            caller.send(f"/read/large-{number}", f"/read/{number}")
            return [await caller.answer() for _ in range(2)]

    results = await asyncio.gather(*map(call, range(count)))
    assert all(behind.status == 200 for _, behind in results)
    assert (
        sorted(front.status for front, _ in results) == [200] * (count - 3) + [502] * 3
    )


async def test_an_answer_counts_as_held_before_its_caller_has_read_it(
    platform, monkeypatch
):
    monkeypatch.setattr(route_forwarder, "MAX_LARGE_ANSWER_BUFFERS", 1)
    _, gateway = await start(platform, behave.after(0.2, answer_large))
    count = LARGE_ANSWER_BUFFER_BYTES // SIZE

    async with AsyncExitStack() as stack:
        callers = [
            await stack.enter_async_context(raw_caller(gateway, limit=1024))
            for _ in range(2 * count)
        ]
        for number, caller in enumerate(callers):
            caller.send(f"/read/large-{number}", f"/read/{number}")
        await asyncio.sleep(1.5)
        answers = [await caller.answer() for caller in callers]
    statuses = sorted(answer.status for answer in answers)
    assert statuses == [200] * count + [502] * count


async def test_answers_that_broke_off_count_as_held_for_ever(platform, monkeypatch):
    monkeypatch.setattr(route_forwarder, "MAX_LARGE_ANSWER_BUFFERS", 1)
    monkeypatch.setattr(large_answers, "LARGE_ROUTE_S", 0.0)
    rounds = 2 * LARGE_ANSWER_BUFFER_BYTES // SIZE
    has_broken = set()

    async def behaviour(server, received, writer):
        if received.path in has_broken or not received.path.startswith("/read/large"):
            await answer_large(server, received, writer)
            return
        has_broken.add(received.path)
        writer.write(behave.head("200 OK", received, length=SIZE, Server_Signature="s"))
        writer.write(b"x" * (SIZE - 1))
        await writer.drain()
        await asyncio.sleep(0.05)
        behave.reset_connection(writer)

    _, gateway = await start(platform, behave.after(0.1, behaviour))
    await platform.start_target("t2", behave.after(0.1, behaviour))
    await until(lambda: gateway.knows_target("t2"))
    async with raw_caller(gateway) as caller:
        for number in range(rounds):
            caller.send(f"/read/large-{number}", f"/read/{number}")
            answers = [await caller.answer() for _ in range(2)]
            assert [each.status for each in answers] == [200, 200]
    assert len(has_broken) == rounds


async def test_a_large_answer_that_must_not_be_lost_is_given_up(platform, monkeypatch):
    monkeypatch.setattr(route_forwarder, "LARGE_ANSWER_BUFFER_BYTES", SIZE // 8)

    async def behaviour(server, received, writer):
        if received.path == "/post/a":
            await asyncio.sleep(0.2)
            writer.write(
                behave.head("200 OK", received, length=SIZE, Server_Signature="s")
            )
            writer.write(b"x" * SIZE)
            return
        await behave.answer(server, received, writer)

    _, gateway = await start(platform, behaviour)
    async with raw_caller(gateway) as caller:
        caller.send("/post/a", "/read/b")
        answers = [await caller.answer() for _ in range(2)]
    assert [each.status for each in answers] == [200, 200]
    assert len(answers[0].body) == SIZE


@pytest.mark.parametrize("path", ["/read/b", "/post/b"])
async def test_the_deadline_of_a_request_runs_while_it_waits_for_its_turn(
    platform, path
):
    """The answer in front is streamed, or the request behind it is unsafe.

    Either keeps that request from being started ahead of its turn.
    """

    async def behaviour(server, received, writer):
        if received.path != "/read/a":
            await behave.answer(server, received, writer)
            return
        writer.write(behave.head("200 OK", received, length=SIZE, Server_Signature="s"))
        writer.write(b"x" * (SIZE // 2))
        await writer.drain()
        await asyncio.sleep(1.0)
        writer.write(b"x" * (SIZE // 2))

    target, gateway = await start(platform, behaviour)
    async with raw_caller(gateway) as caller:
        caller.send("/read/a")
        await until(lambda: target.received)
        await asyncio.sleep(0.1)
        caller.send(path, deadline_ms=600)
        answers = [await caller.answer() for _ in range(2)]
    assert [each.path for each in target.received] == ["/read/a"]
    assert answers[0].is_complete
    assert answers[1].status in (408, 503)


async def test_a_large_answer_that_another_one_replaces_stays_held(
    platform, monkeypatch
):
    monkeypatch.setattr(route_forwarder, "MAX_LARGE_ANSWER_BUFFERS", 1)
    monkeypatch.setattr(large_answers, "LARGE_ROUTE_S", 0.0)
    rounds = 2 * LARGE_ANSWER_BUFFER_BYTES // SIZE

    async def fail_large(server, received, writer):
        await asyncio.sleep(0.05)
        if not received.path.startswith("/read/large"):
            await behave.answer(server, received, writer)
            return
        head = behave.head("500 Error", received, length=SIZE, Server_Signature="s")
        writer.write(head + b"x" * SIZE)

    _, gateway = await start(platform, fail_large)
    await platform.start_target("t2", fail_large)
    await until(lambda: gateway.knows_target("t2"))
    async with raw_caller(gateway) as caller:
        for number in range(rounds):
            caller.send(f"/read/large-{number}", f"/read/{number}")
            answers = [await caller.answer() for _ in range(2)]
            assert [each.status for each in answers] == [500, 200]


async def test_a_request_behind_a_large_answer_without_room_that_breaks_off_is_lost(
    platform, monkeypatch
):
    """The answers are to requests that may run once only, so none is given up."""
    monkeypatch.setattr(route_forwarder, "MAX_LARGE_ANSWER_BUFFERS", 1)
    count = 3 * LARGE_ANSWER_BUFFER_BYTES // SIZE

    async def behaviour(server, received, writer):
        if not received.path.startswith("/post/large"):
            await behave.answer(server, received, writer)
            return
        await asyncio.sleep(0.3)
        writer.write(behave.head("200 OK", received, length=SIZE, Server_Signature="s"))
        writer.write(b"x" * (SIZE - 1))
        await writer.drain()
        if received.path.endswith("cut"):
            await asyncio.sleep(0.1)
            behave.reset_connection(writer)
        else:
            writer.write(b"x")

    _, gateway = await start(platform, behaviour)

    async def call(number):
        ending = "cut" if number % 3 == 0 else "whole"
        async with raw_caller(gateway) as caller:
            caller.send(f"/post/large-{number}-{ending}", f"/read/{number}")
            return [await caller.answer() for _ in range(2)]

    results = await asyncio.gather(*map(call, range(count)))
    assert all(behind and behind.status == 200 for _, behind in results)
    assert sorted(front.status for front, _ in results) == (
        [200] * (2 * count // 3) + [502] * (count // 3)
    )
