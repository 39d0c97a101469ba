import asyncio
import random

import pytest
from exchanges import BrokenAnswer, CompleteAnswer, exchange, open_caller, until

from dogwoodhook.testing.local_proxy import LocalProxy
from dogwoodhook.testing.raw_target import (
    Abort,
    Hold,
    Pause,
    RawTarget,
    ReceiveRequest,
    Send,
    SendAnswer,
    SendForever,
    WaitFor,
    echo_nonce,
    make_answer,
)
from dogwoodhook.testing.target_server import TargetServer, TargetSettings

ANSWERED = "answered"
SHORT_TIMEOUT = {"Dogwoodhook-Timeout-Ms": "200"}
STALE = make_answer(b"stale")
SIZED = make_answer(b"0123456789")
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"6\r\n012345\r\n4\r\n6789\r\n0\r\n\r\n"
)
ECHO_STEPS = (ReceiveRequest(), SendAnswer(echo_nonce))


def is_unknown(result):
    """Return whether the caller can see that it has no complete answer."""
    return isinstance(result, BrokenAnswer) or result.outcome.startswith("unknown")


def echo_steps(count):
    return ECHO_STEPS * count


@pytest.mark.parametrize("ending", [(), (Abort(),)], ids=["close", "reset"])
@pytest.mark.parametrize("answer", [SIZED, CHUNKED], ids=["sized", "chunked"])
async def test_an_answer_cut_at_any_byte_never_looks_complete(answer, ending):
    def script(index):
        return (ReceiveRequest(), Send(answer[:index]), *ending)

    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        for _ in range(len(answer)):
            result = await exchange(session, proxy, method="POST")
            assert is_unknown(result)
        assert len(target.connections) == len(answer)
        assert target.request_count == len(answer)


@pytest.mark.parametrize("answer", [SIZED, CHUNKED], ids=["sized", "chunked"])
async def test_an_answer_sent_byte_by_byte_arrives_complete(answer):
    pieces = tuple(Send(answer[at : at + 1]) for at in range(len(answer)))
    async with (
        RawTarget((ReceiveRequest(), *pieces)) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        assert await exchange(session, proxy) == CompleteAnswer(
            200, ANSWERED, b"0123456789"
        )


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_an_answer_without_a_length_that_is_reset_never_looks_complete(method):
    start = Send(b"HTTP/1.1 200 OK\r\n\r\n01234")
    async with (
        RawTarget((ReceiveRequest(), start, Pause(20), Abort())) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        assert is_unknown(await exchange(session, proxy, method=method))


@pytest.mark.parametrize("status", [b"000 Odd", b"999 Odd"])
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_status_that_http_does_not_have_reaches_no_caller(method, status):
    answer = SIZED.replace(b"200 OK", status)
    async with (
        RawTarget((ReceiveRequest(), Send(answer))) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        result = await exchange(session, proxy, method=method)
        assert target.request_count
        assert is_unknown(result)


@pytest.mark.parametrize("index", range(0, len(SIZED), 3))
async def test_an_answer_cut_on_a_reused_connection_never_looks_complete(index):
    first = (*ECHO_STEPS, ReceiveRequest(), Send(SIZED[:index]))

    def script(number):
        return first if number == 0 else echo_steps(9)

    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        await exchange(session, proxy)
        result = await exchange(session, proxy, nonce="n")
        assert len(target.connections[0].requests) == 2
        assert result == CompleteAnswer(200, ANSWERED, b"n") or is_unknown(result)


@pytest.mark.parametrize(
    "extra",
    [b"x", STALE, STALE[:30], b"\r\n\r\n"],
    ids=["byte", "answer", "part", "nl"],
)
@pytest.mark.parametrize("pause_ms", [0, 20], ids=["at-once", "late"])
async def test_bytes_after_an_answer_reach_no_other_caller(extra, pause_ms):
    first = (ReceiveRequest(), SendAnswer(lambda got: echo_nonce(got)))
    if pause_ms:
        script = (*first, Pause(pause_ms), Send(extra), *echo_steps(3))
    else:
        with_extra = SendAnswer(lambda got: echo_nonce(got) + extra)
        script = (ReceiveRequest(), with_extra, *echo_steps(3))
    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        for number in range(3):
            nonce = f"n-{number}"
            result = await exchange(session, proxy, nonce=nonce)
            is_own = result == CompleteAnswer(200, ANSWERED, nonce.encode())
            assert is_own or is_unknown(result)
            await asyncio.sleep(pause_ms * 2 / 1000)


async def test_a_connection_without_extra_bytes_is_reused():
    async with (
        RawTarget(echo_steps(5)) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        for number in range(5):
            assert (await exchange(session, proxy, nonce=f"n-{number}")).status == 200
        assert len(target.connections) == 1


async def test_a_late_answer_reaches_no_other_caller():
    gate = asyncio.Event()

    def script(index):
        if index == 0:
            return (ReceiveRequest(), WaitFor(gate), SendAnswer(echo_nonce), Hold())
        return echo_steps(9)

    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        late = await exchange(
            session, proxy, nonce="late", method="POST", headers=SHORT_TIMEOUT
        )
        assert (late.status, late.outcome) == (504, "unknown; reason=deadline")
        gate.set()
        for number in range(5):
            result = await exchange(session, proxy, nonce=f"n-{number}")
            assert result.body == f"n-{number}".encode()


async def test_answers_out_of_order_reach_their_own_callers():
    gates = [asyncio.Event() for _ in range(3)]

    def script(index):
        return (ReceiveRequest(), WaitFor(gates[index]), SendAnswer(echo_nonce))

    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        proxy.registry.get("work").dispatch.dispatcher._limits["t1"].limit = 3
        tasks = [
            asyncio.create_task(exchange(session, proxy, nonce=f"n-{number}"))
            for number in range(3)
        ]
        await until(lambda: target.request_count == 3)
        for gate in reversed(gates):
            gate.set()
        result = await asyncio.gather(*tasks)
        assert [each.body for each in result] == [b"n-0", b"n-1", b"n-2"]


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
    ],
    ids=["chunked", "sized", "until-close"],
)
async def test_a_never_ending_answer_is_cut_at_the_deadline(start):
    script = (ReceiveRequest(), Send(start), SendForever(b"4\r\nabcd\r\n"))
    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        result = await exchange(session, proxy, headers=SHORT_TIMEOUT)
        assert isinstance(result, BrokenAnswer)
        await until(lambda: target.open_count == 0)


async def test_a_never_ending_header_section_has_an_unknown_outcome():
    script = (
        ReceiveRequest(),
        Send(b"HTTP/1.1 200 OK\r\n"),
        SendForever(b"X: y\r\n", pause_ms=20),
    )
    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        result = await exchange(session, proxy, method="POST", headers=SHORT_TIMEOUT)
        assert result.outcome.startswith("unknown")
        await until(lambda: target.open_count == 0)


async def test_the_pooled_connection_of_a_caller_that_disconnects_is_closed():
    script = (
        ReceiveRequest(),
        Send(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n01234"),
        Hold(),
    )
    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        task = asyncio.create_task(exchange(session, proxy))
        await until(lambda: target.request_count == 1)
        await asyncio.sleep(0.02)
        task.cancel()
        await until(lambda: target.open_count == 0)


async def test_a_broken_connection_cuts_no_other_answer_of_its_pool():
    gate = asyncio.Event()
    slow = (
        ReceiveRequest(),
        Send(make_answer(b"01234", content_length=10)),
        WaitFor(gate),
        Send(b"56789"),
    )
    breaking = (*ECHO_STEPS, ReceiveRequest())

    def script(index):
        return (breaking, (*ECHO_STEPS, *slow))[index] if index < 2 else echo_steps(9)

    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        proxy.registry.get("work").dispatch.dispatcher._limits["t1"].limit = 3
        warm = [exchange(session, proxy, nonce=f"w-{each}") for each in range(2)]
        await asyncio.gather(*warm)
        both = [asyncio.create_task(exchange(session, proxy)) for _ in range(2)]
        await until(lambda: target.request_count >= 5)
        gate.set()
        bodies = {getattr(await each, "body", None) for each in both}
        assert bodies == {b"0123456789", b""}


async def test_an_answer_with_length_and_chunks_is_complete_or_refused():
    """RFC 9112 lets a proxy refuse such an answer; it must not use the length."""
    answer = CHUNKED.replace(b"Transfer", b"Content-Length: 3\r\nTransfer")
    async with (
        RawTarget((ReceiveRequest(), Send(answer))) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        result = await exchange(session, proxy, method="POST")
        is_complete = result == CompleteAnswer(200, ANSWERED, b"0123456789")
        assert is_complete or result.outcome.startswith("unknown")


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\na",
        b"HTTP/1.1 999999 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nbad header\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 100_000 + b"\r\n\r\n",
        b"\x16\x03\x01garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
    ids=["two-lengths", "negative", "word", "status", "line", "long", "tls", "chunk"],
)
async def test_a_malformed_answer_is_unknown_or_broken(answer):
    async with (
        RawTarget((ReceiveRequest(), Send(answer))) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        result = await exchange(session, proxy, method="POST")
        assert is_unknown(result)
        await until(lambda: target.open_count == 0)


async def test_an_answer_with_bytes_outside_ascii_in_its_headers_is_forwarded():
    answer = make_answer(b"ok", headers={"X-Name": "caf\xe9"}).replace(
        b"\xc3\xa9", b"\xe9"
    )
    async with (
        RawTarget((ReceiveRequest(), Send(answer))) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        assert await exchange(session, proxy) == CompleteAnswer(200, ANSWERED, b"ok")


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" + make_answer(b""),
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + make_answer(b""),
    ],
    ids=["204", "304", "100", "103"],
)
async def test_answers_without_a_body_are_complete(answer):
    script = (ReceiveRequest(), Send(answer), *echo_steps(1))
    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        result = await exchange(session, proxy)
        assert (result.outcome, result.body) == (ANSWERED, b"")
        assert (await exchange(session, proxy, nonce="n")).body == b"n"


async def test_an_answer_to_head_keeps_its_length():
    head = make_answer(b"", content_length=10)
    async with (
        RawTarget((ReceiveRequest(), Send(head))) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
        session.head(proxy.url + "/work") as response,
    ):
        assert response.headers["Content-Length"] == "10"


async def test_an_answer_before_the_end_of_an_upload_affects_no_later_exchange():
    async def body():
        yield b"x" * 200_000
        await asyncio.sleep(0.05)
        yield b"y" * 200_000

    def script(index):
        if index == 0:
            return (Send(make_answer(b"early", status="413 Too Large")), Hold())
        return echo_steps(9)

    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        await exchange(session, proxy, method="POST", data=body())
        for number in range(3):
            result = await exchange(session, proxy, nonce=f"n-{number}")
            assert result.body == f"n-{number}".encode()


async def test_concurrent_callers_get_their_own_answers_while_others_disconnect():
    rng = random.Random(11)
    settings = TargetSettings(slots=50, queue_limit=500, service_time_ms=2)

    async def call(session, proxy, number):
        path = f"/work?service_time_ms={rng.randrange(0, 8)}"
        method = rng.choice(["GET", "POST"])
        nonce = f"n-{number}"
        work = exchange(session, proxy, path, method=method, nonce=nonce)
        if rng.random() < 0.3:
            try:
                return nonce, await asyncio.wait_for(work, rng.random() * 0.01)
            except TimeoutError:
                return nonce, None
        return nonce, await work

    async with (
        TargetServer(settings) as first,
        TargetServer(settings) as second,
        LocalProxy([first.port, second.port]) as proxy,
        open_caller() as session,
    ):
        answers = []
        for _ in range(10):
            batch = [call(session, proxy, rng.random()) for _ in range(30)]
            answers += await asyncio.gather(*batch)
        complete = [(nonce, result) for nonce, result in answers if result is not None]
        assert len(complete) > 150
        for nonce, result in complete:
            assert result.outcome == ANSWERED
            assert f'"nonce": "{nonce}"'.encode() in result.body


ANSWERS_WITH_EXTRA_BYTES = {
    "sized": make_answer(b"n-0") + STALE[:9],
    "line_end": make_answer(b"n-0") + b"\r\n",
    "empty": make_answer(b"") + STALE[:9],
    "chunked": CHUNKED + STALE[:9],
    "chunked_line_end": CHUNKED + b"\r\n",
}


@pytest.mark.parametrize("kind", ANSWERS_WITH_EXTRA_BYTES)
async def test_a_connection_with_extra_bytes_after_an_answer_is_not_reused(
    kind,
):
    def script(index):
        if index > 0:
            return echo_steps(9)
        first = (ReceiveRequest(), Send(ANSWERS_WITH_EXTRA_BYTES[kind]))
        return (*first, ReceiveRequest(), Send(STALE), Hold())

    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        await exchange(session, proxy)
        result = await exchange(session, proxy, nonce="n-1")
        assert result == CompleteAnswer(200, ANSWERED, b"n-1")
        assert len(target.connections) == 2


@pytest.mark.parametrize("size", [1, 7, len(CHUNKED)])
async def test_a_connection_is_reused_after_a_complete_chunked_answer(size):
    pieces = [CHUNKED[at : at + size] for at in range(0, len(CHUNKED), size)]
    sends = [each for piece in pieces for each in (Send(piece), Pause(1))]
    async with (
        RawTarget((ReceiveRequest(), *sends) * 3) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        for _ in range(3):
            assert (await exchange(session, proxy)).body == b"0123456789"
        assert len(target.connections) == 1
