"""Requests through a daemon on the platform, as callers and targets see them."""

import asyncio

import aiohttp
import pytest

from dogwoodhook.clock import SystemClock
from dogwoodhook.state.suspicion import Standing, Symptom
from dogwoodhook.transport import route_forwarder, target_connections, time_limits
from dogwoodhook.transport.attempts import BUFFERED_ANSWER_BYTES, NotRunAtTarget
from dogwoodhook.transport.route_forwarder import REPLAY_BUFFER_BYTES
from tests.exchanges import until
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.conftest import make_route

TARGET_LATENCY_S = 1.0

BROKEN_ANSWERS = [
    behave.reset,
    behave.foreign_answer,
    behave.unsigned,
    behave.truncated,
    behave.unframed_reset,
    behave.bare_503,
]
REFUSALS = [behave.refuse, behave.misdirected]


async def start(platform, *behaviours, others=()):
    await platform.configure()
    target = await platform.start_target("t1", *behaviours)
    for name in others:
        await platform.start_target(name)
    await platform.start_gateway()
    return target


async def test_a_request_is_forwarded_unchanged_and_names_its_target(platform):
    target = await start(platform)
    reply = await platform.send(
        "/post/a%20b?q=%2F", data=b"hours", headers={"X-Own": "kept"}
    )
    assert (reply.status, reply.body) == (200, b"t1 ran /post/a%20b?q=%2F")
    assert reply.headers["Server-Signature"] == "t1"
    assert reply.headers["Request-Id"] == "request-1"
    received = target.received[0]
    assert (received.method, received.body) == ("POST", b"hours")
    assert received.headers["expected-instance"] == "t1"
    assert received.headers["x-own"] == "kept"
    assert 2000 < int(received.headers["deadline-ms"]) <= 3000


@pytest.mark.parametrize("behaviour", BROKEN_ANSWERS)
async def test_an_unsafe_request_that_may_have_run_gets_502_and_no_retry(
    platform, behaviour
):
    target = await start(platform, behaviour)
    reply = await platform.send("/post/1", data=b"x")
    assert reply.status == 502
    assert "Server-Signature" not in reply.headers
    assert len(target.received) == 1


@pytest.mark.parametrize("behaviour", [*BROKEN_ANSWERS, behave.server_error])
async def test_an_idempotent_request_that_fails_is_retried_at_another_target(
    platform, behaviour
):
    target = await start(platform, behaviour)
    other = await platform.start_target("t2", behaviour)
    await until(lambda: platform.gateways[0].knows_target("t2"))
    other.behaviours = [behave.answer]
    target.behaviours = [behaviour]
    replies = [await platform.send("/read/1") for _ in range(4)]
    assert {reply.status for reply in replies} == {200}
    assert {reply.body for reply in replies} == {b"t2 ran /read/1"}


@pytest.mark.parametrize("behaviour", REFUSALS)
async def test_a_refused_request_is_retried_at_another_target(platform, behaviour):
    await start(platform, behaviour, others=["t2"])
    for _ in range(3):
        reply = await platform.send("/post/1", data=b"x")
        assert (reply.status, reply.body) == (200, b"t2 ran /post/1")


@pytest.mark.parametrize("behaviour", REFUSALS)
async def test_a_request_that_all_targets_refuse_gets_503_at_once(platform, behaviour):
    await start(platform, behaviour)
    async with asyncio.timeout(1.0):
        reply = await platform.send("/post/1", data=b"x")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0


async def test_no_request_fails_because_a_listed_target_is_gone(platform):
    await platform.configure()
    gone = await platform.start_target("t1")
    await platform.store.put("servers", "t1", gone.entry(address="127.0.0.1:9"))
    await platform.start_target("t2")
    await platform.start_gateway()
    for _ in range(3):
        assert (await platform.send("/post/1", data=b"x")).status == 200


async def test_a_server_error_for_an_unsafe_request_is_forwarded(platform):
    await start(platform, behave.server_error)
    reply = await platform.send("/post/1", data=b"x")
    assert (reply.status, reply.headers["Server-Signature"]) == (500, "t1")


async def test_an_answer_without_length_is_complete_when_its_connection_closes(
    platform,
):
    await start(platform, behave.unframed)
    reply = await platform.send("/post/1", data=b"x")
    assert (reply.status, reply.body) == (200, b"whole")


async def test_an_extra_answer_is_never_given_to_the_next_request(platform):
    await start(platform, behave.extra_answer, behave.answer)
    bodies = [(await platform.send(f"/post/{n}", data=b"x")).body for n in range(3)]
    assert bodies == [b"t1 ran /post/0", b"t1 ran /post/1", b"t1 ran /post/2"]


async def test_an_early_answer_leaves_no_body_bytes_for_the_next_request(platform):
    target = await start(platform)
    target.answers_early = True
    body = bytes(range(256)) * 2000
    for number in range(3):
        reply = await platform.send(f"/post/{number}", data=body)
        assert reply.status == 200
    await until(lambda: target.received)
    assert all(each.body == body for each in target.received)
    assert {each.method for each in target.received} == {"POST"}


async def test_a_large_answer_is_streamed_completely(platform):
    size = 4 * BUFFERED_ANSWER_BYTES

    async def large(server, received, writer):
        writer.write(behave.head("200 OK", received, length=size, Server_Signature="s"))
        writer.write(b"x" * size)

    await start(platform, large)
    reply = await platform.send("/read/1")
    assert reply.body == b"x" * size


async def test_a_large_answer_that_breaks_off_does_not_look_complete(platform):
    size = 4 * BUFFERED_ANSWER_BYTES

    async def large(server, received, writer):
        writer.write(behave.head("200 OK", received, length=size, Server_Signature="s"))
        writer.write(b"x" * (size - 1))
        writer.close()

    await start(platform, large)
    with pytest.raises(Exception, match=r"payload|disconnected"):
        await platform.send("/read/1")


async def test_a_large_answer_without_length_that_is_reset_does_not_look_complete(
    platform,
):
    async def large(server, received, writer):
        writer.write(behave.head("200 OK", received, Server_Signature="s"))
        writer.write(b"x" * 2 * BUFFERED_ANSWER_BYTES)
        await writer.drain()
        await asyncio.sleep(0.1)
        behave.reset_connection(writer)

    await start(platform, large)
    with pytest.raises(aiohttp.ClientError):
        await platform.send("/read/1")


async def test_targets_get_less_time_than_the_routes_timeout(platform):
    target = await start(platform)
    await platform.configure(2, post=make_route("/post/", timeout="2000ms"))
    await until(lambda: platform.gateways[0].configuration_version == 2)
    for number in range(10):
        await platform.send(f"/post/{number}", data=b"x")
    longest_ms = max(int(each.headers["deadline-ms"]) for each in target.received)
    assert 1950 < longest_ms <= 2000


async def test_a_request_without_an_answer_gets_504_at_the_routes_timeout(platform):
    target = await start(platform, behave.hang)
    await platform.configure(2, post=make_route("/post/", timeout="300ms"))
    await until(lambda: platform.gateways[0].configuration_version == 2)
    async with asyncio.timeout(0.5):
        assert (await platform.send("/post/1", data=b"x")).status == 504
    assert len(target.received) == 1


async def test_a_silent_target_uses_only_part_of_an_idempotent_requests_time(
    platform,
):
    target = await start(platform, behave.hang, others=["t2"])
    for _ in range(3):
        async with asyncio.timeout(1.0):
            assert (await platform.send("/read/1")).body == b"t2 ran /read/1"
    assert len(target.received) <= 1


async def test_an_idempotent_request_is_cancelled_when_its_caller_disconnects(platform):
    target = await start(platform, behave.hang)
    task = asyncio.ensure_future(platform.send("/read/1"))
    await until(lambda: target.received)
    task.cancel()
    await until(lambda: target.cut_count == 1, timeout_s=0.5)


async def test_an_unsafe_request_is_not_cancelled_when_its_caller_disconnects(platform):
    target = await start(platform, behave.after(0.2))
    task = asyncio.ensure_future(platform.send("/post/1", data=b"x"))
    await until(lambda: target.received)
    task.cancel()
    await asyncio.sleep(0.4)
    assert target.cut_count == 0


async def test_a_request_whose_caller_has_disconnected_is_not_retried(platform):
    first = await start(platform, behave.after(1.0, behave.refuse))
    task = asyncio.ensure_future(platform.send("/post/1", data=b"x"))
    await until(lambda: first.received)
    other = await platform.start_target("t2")
    await until(lambda: platform.gateways[0].knows_target("t2"))
    task.cancel()
    await asyncio.sleep(1.0)
    assert not other.received


async def pipeline(platform, paths, *, count):
    """Send requests at once on one connection; return the bytes of ``count`` answers.

    Only answers of target t1 are counted.
    """
    address = platform.gateways[0].settings.caller_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    for number, path in enumerate(paths):
        method = "GET" if path.startswith("/read") else "POST"
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {address.host}\r\n"
            f"Request-Id: p{number}\r\nDeadline-Ms: 5000\r\n\r\n".encode()
        )
    text = b""
    try:
        async with asyncio.timeout(3):
            while text.count(b"t1 ran ") < count:
                text += await reader.read(1024 * 1024)
    finally:
        writer.close()
    return text


async def test_pipelined_requests_are_answered_in_order(platform):
    await start(platform, behave.after(0.3), behave.after(0.1), behave.answer)
    paths = [f"/read/{number}" for number in range(5)]
    text = await pipeline(platform, paths, count=5)
    positions = [text.index(f"t1 ran {path}".encode()) for path in paths]
    assert positions == sorted(positions)


async def test_pipelined_idempotent_requests_run_concurrently(platform):
    target = await start(platform, behave.after(0.4))
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    await pipeline(platform, ["/read/1", "/read/2", "/read/3"], count=3)
    assert loop.time() - began_s < 0.8
    assert len(target.received) == 3


async def test_a_pipelined_unsafe_request_waits_for_its_turn(platform):
    target = await start(platform, behave.after(0.3))
    task = asyncio.ensure_future(
        pipeline(platform, ["/read/1", "/post/2", "/read/3"], count=3)
    )
    await until(lambda: target.received)
    await asyncio.sleep(0.1)
    assert {each.path for each in target.received} == {"/read/1", "/read/3"}
    await task


async def test_a_large_answer_to_a_pipelined_request_waits_for_its_turn(platform):
    body = b"x" * 2 * BUFFERED_ANSWER_BYTES

    async def large_second(server, received, writer):
        if received.path != "/read/2":
            await asyncio.sleep(0.3)
            await behave.answer(server, received, writer)
            return
        length = len(body)
        writer.write(
            behave.head("200 OK", received, length=length, Server_Signature="s") + body
        )

    await start(platform, large_second)
    text = await pipeline(platform, ["/read/1", "/read/2", "/read/3"], count=2)
    expected_parts = (b"ran /read/1", body, b"ran /read/3")
    positions = [text.index(part) for part in expected_parts]
    assert positions == sorted(positions)


async def test_pipelined_requests_are_cancelled_when_their_caller_disconnects(platform):
    target = await start(platform, behave.hang)
    task = asyncio.ensure_future(
        pipeline(platform, ["/read/1", "/read/2", "/read/3"], count=3)
    )
    await until(lambda: len(target.received) == 3)
    task.cancel()
    await until(lambda: target.cut_count == 3, timeout_s=0.5)


async def test_a_body_over_the_limit_is_refused(platform):
    target = await start(platform)
    reply = await platform.send("/post/1", data=b"x" * (1024 * 1024 + 1))
    assert reply.status == 413
    assert not target.received


async def test_an_overdue_request_is_not_cancelled_without_another_target(platform):
    target = await start(platform, behave.after(0.9))
    assert (await platform.send("/read/1")).body == b"t1 ran /read/1"
    assert (len(target.received), target.cut_count) == (1, 0)


async def test_a_hedged_request_gets_the_first_answer(platform):
    target = await start(platform, behave.after(0.9))
    other = await platform.start_target("t2", behave.hang)
    await until(lambda: platform.gateways[0].knows_target("t2"))
    other.behaviours = [behave.hang]
    reply = await platform.send("/read/1")
    while not (target.received and other.received):
        reply = await platform.send("/read/1")
    assert reply.status == 200


async def test_a_request_is_refused_after_several_connect_timeouts(
    platform, monkeypatch
):
    await start(platform, others=("t2", "t3", "t4", "t5", "t6"))
    timeouts_s = []

    async def never_connect(session, target, attempt, conventions, trace):
        timeouts_s.append(attempt.connect_timeout_s)
        return NotRunAtTarget(
            "too slow", Symptom.UNREACHABLE, False, has_timed_out=True
        )

    monkeypatch.setattr(route_forwarder, "send_attempt", never_connect)
    reply = await platform.send("/post/1", data=b"x")
    assert reply.status == 503
    assert timeouts_s == [0.3, 0.6, 1.2, 2.4]


async def test_a_request_is_answered_after_several_refused_connections(
    platform, monkeypatch
):
    names = [f"t{number}" for number in range(2, 8)]
    await start(platform, others=names)
    send_once = route_forwarder.send_attempt

    async def refuse_all_but_the_first(session, target, attempt, conventions, trace):
        if target.name != "t1":
            return NotRunAtTarget("refused", Symptom.UNREACHABLE, False)
        return await send_once(session, target, attempt, conventions, trace)

    monkeypatch.setattr(route_forwarder, "send_attempt", refuse_all_but_the_first)
    reply = await platform.send("/post/1", data=b"x")
    assert reply.status == 200


async def test_a_target_gets_a_shorter_deadline_than_the_caller_set(platform):
    target = await start(platform, behave.hang)
    reply = await platform.send("/post/1", data=b"x", headers={"Deadline-Ms": "600"})
    assert reply.status == 504
    assert int(target.received[0].headers["deadline-ms"]) <= 500


async def test_an_overdue_request_is_not_hedged_at_a_target_without_a_free_slot(
    platform,
):
    """The only other target has one slot, which another request occupies throughout."""
    await platform.configure()
    targets = [
        await platform.start_target(name, behave.after(2.5), slots=1)
        for name in ("t1", "t2")
    ]
    await platform.start_gateway()
    await until(lambda: all(map(platform.gateways[0].knows_target, ("t1", "t2"))))
    held = asyncio.ensure_future(platform.send("/post/1", data=b"x"))
    await until(lambda: any(each.received for each in targets))
    reply = await platform.send("/read/1")
    assert reply.status == 200
    await held
    assert sorted(each.path for target in targets for each in target.received) == [
        "/post/1",
        "/read/1",
    ]


async def test_requests_get_new_connections_after_a_reused_one_is_reset(platform):
    target = await start(platform, behave.answer, behave.reset, behave.answer)
    replies = [await platform.send(f"/post/{n}", data=b"x") for n in range(5)]
    assert [each.status for each in replies] == [200, 502, 200, 200, 200]
    first, reset, *later = [each.connection for each in target.received]
    assert first == reset
    assert len({reset, *later}) == 4


async def test_a_request_whose_body_stalls_gets_408_at_the_routes_timeout(platform):
    await platform.configure(post=make_route("/post/", timeout="500ms"))
    await platform.start_target("t1")
    gateway = await platform.start_gateway()
    address = gateway.settings.caller_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(
        b"POST /post/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: a\r\n"
        b"Deadline-Ms: 5000\r\nContent-Length: 1000\r\n\r\nhalf"
    )
    async with asyncio.timeout(0.5 + 0.5):
        head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert head.startswith(b"HTTP/1.1 408 "), "the status must say that nothing has run"
    assert b"Request-Id: a" in head


@pytest.mark.parametrize("size", [1, 2 * REPLAY_BUFFER_BYTES])
async def test_a_request_that_waited_for_a_connection_is_not_sent_to_a_target_that_left(
    platform, monkeypatch, size
):
    monkeypatch.setattr(target_connections, "MAX_CONNECTIONS_PER_TARGET", 1)
    leaving = await start(platform, behave.after(1.5), behave.answer)
    held = asyncio.ensure_future(platform.send("/post/1", data=b"x"))
    await until(lambda: leaving.received)
    waiting = asyncio.ensure_future(platform.send("/post/2", data=b"x" * size))
    await asyncio.sleep(0.2)
    await platform.store.put("servers", "t1", leaving.entry(state="draining"))
    await platform.start_target("t2")
    assert (await held).body == b"t1 ran /post/1"
    reply = await waiting
    assert (reply.status, reply.body) == (200, b"t2 ran /post/2")
    assert len(leaving.received) == 1


async def test_a_target_that_stalls_at_one_daemon_is_not_used_by_another(platform):
    await platform.configure()
    hanging = await platform.start_target("t1", behave.hang)
    first = await platform.start_gateway("vm-1")
    second = await platform.start_gateway("vm-2")
    await until(lambda: first.peers.neighbours() and second.peers.neighbours())
    stalled = [
        asyncio.create_task(platform.send("/post/1", gateway=first, data=b"x"))
        for _ in range(4)
    ]
    await until(lambda: hanging.received)
    # Started now, so that it can't serve the four requests.
    await platform.start_target("t2", behave.after(0.2))
    await asyncio.sleep(TARGET_LATENCY_S)
    avoidance = second._suspicion.avoidance(
        "t1", is_idempotent=False, now_s=SystemClock().now_s()
    )
    assert avoidance.standing is Standing.SLOW
    before = len(hanging.received)
    replies = await asyncio.gather(
        *(platform.send("/post/2", gateway=second, data=b"x") for _ in range(24))
    )
    assert {reply.body for reply in replies} == {b"t2 ran /post/2"}
    assert len(hanging.received) == before
    for each in stalled:
        each.cancel()


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET"])
async def test_a_route_that_is_not_idempotent_runs_any_method_once(platform, method):
    await platform.configure()
    targets = [await platform.start_target(f"t{n}", behave.reset) for n in range(2)]
    await platform.start_gateway()
    reply = await platform.send("/post/1", method=method)
    assert reply.status == 502
    assert sum(len(each.received) for each in targets) == 1


@pytest.mark.usefixtures("slow_connections")
@pytest.mark.parametrize("method", ["PUT", "DELETE", "POST"])
async def test_an_idempotent_route_retries_any_method(platform, method):
    await platform.configure()
    left = [behave.reset]

    async def reset_first(*received):
        await (left.pop() if left else behave.answer)(*received)

    targets = [await platform.start_target(f"t{n}", reset_first) for n in range(2)]
    await platform.start_gateway()
    reply = await platform.send("/read/1", method=method)
    assert reply.status == 200
    assert sum(len(each.received) for each in targets) == 2


async def test_a_streamed_answer_breaks_off_before_its_callers_deadline(
    platform, monkeypatch
):
    """The margin for the answer's way is over, the caller's deadline is not."""
    monkeypatch.setattr(time_limits, "CALLER_MARGIN_S", 1.0)
    size = 4 * BUFFERED_ANSWER_BYTES

    async def end_late(server, received, writer):
        writer.write(
            behave.head("200 OK", received, length=size, Server_Signature="t1")
        )
        writer.write(b"x" * (size // 2))
        await asyncio.sleep(1.7)
        writer.write(b"x" * (size // 2))

    await start(platform, end_late)
    reply = await platform.send("/read/1", headers={"Deadline-Ms": "2500"})
    assert reply.status == 200
    assert len(reply.body) == size


@pytest.mark.parametrize("digits", [400, 5000])
async def test_a_deadline_beyond_any_number_fails_the_request(platform, digits):
    await start(platform)
    reply = await platform.send("/read/1", headers={"Deadline-Ms": "9" * digits})
    assert reply.status == 200
