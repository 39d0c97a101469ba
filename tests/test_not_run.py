import asyncio
from dataclasses import replace

import pytest
from exchanges import BrokenAnswer, exchange, open_caller, until

from dogwoodhook.state.model import Parameters
from dogwoodhook.state.outcomes import FailureKind
from dogwoodhook.testing.fleet import free_port
from dogwoodhook.testing.local_proxy import GET_IS_IDEMPOTENT, LocalProxy
from dogwoodhook.testing.raw_target import (
    Abort,
    Hold,
    RawTarget,
    ReceiveBytes,
    ReceiveRequest,
    Send,
    make_answer,
)
from dogwoodhook.testing.target_faults import TargetFaults
from dogwoodhook.testing.target_server import TargetServer, TargetSettings

BODY = b"hours=7.5&project=hills"
NO_RETRIES = Parameters(retry_budget_percent=0)
SHORT_QUEUE = replace(GET_IS_IDEMPOTENT, queue_timeout_ms=50)


def is_not_run(result):
    return not isinstance(result, BrokenAnswer) and result.outcome.startswith("not-run")


async def request_size():
    """Return the size of the request as the target receives it."""
    script = (ReceiveRequest(), Send(make_answer(b"")))
    async with (
        RawTarget(script) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        await exchange(session, proxy, method="POST", data=BODY)
        return target.received_bytes


@pytest.mark.parametrize("ending", [(), (Abort(),)], ids=["close", "reset"])
async def test_a_crash_of_the_target_at_any_byte_of_a_request_leaves_it_unknown(ending):
    size = await request_size()

    def script(index):
        return (ReceiveBytes(index), *ending)

    async with (
        RawTarget(script) as target,
        LocalProxy([target.port], parameters=NO_RETRIES) as proxy,
        open_caller() as session,
    ):
        for count in range(size + 1):
            result = await exchange(session, proxy, method="POST", data=BODY)
            assert len(target.connections) == count + 1
            assert result.outcome.startswith("unknown")


async def test_a_request_on_a_refused_connection_is_reported_as_not_run():
    async with LocalProxy([free_port()]) as proxy, open_caller() as session:
        result = await exchange(session, proxy, method="POST", data=BODY)
        assert result.outcome == "not-run; reason=connect-failed"


@pytest.mark.parametrize("declared", ["shed", "draining"])
async def test_a_declared_shed_is_reported_as_not_run_and_its_connection_is_not_reused(
    declared,
):
    shed = make_answer(b"", status="503 Busy", headers={"Dogwoodhook-Target": declared})
    async with (
        RawTarget((ReceiveRequest(), Send(shed), Hold())) as target,
        LocalProxy([target.port], parameters=SHORT_QUEUE) as proxy,
        open_caller() as session,
    ):
        result = await exchange(session, proxy, method="POST", data=BODY)
        assert result.outcome == "not-run; reason=target-shed"


async def test_a_shed_request_waits_for_a_slot_without_a_retry_budget():
    shed = make_answer(b"", status="503 Busy", headers={"Dogwoodhook-Target": "shed"})

    def script(index):
        return (ReceiveRequest(), Send(shed if index < 3 else make_answer(b"run")))

    async with (
        RawTarget(script) as target,
        LocalProxy([target.port], parameters=NO_RETRIES) as proxy,
        open_caller() as session,
    ):
        result = await exchange(session, proxy, method="POST", data=BODY)
        assert (result.outcome, result.body) == ("answered", b"run")
        assert target.request_count == 4


@pytest.mark.parametrize(
    "answer",
    [
        make_answer(b"", status="503 Busy"),
        make_answer(b"", status="503 Busy", headers={"Dogwoodhook-Target": "ok"}),
        make_answer(b"", status="500 No", headers={"Dogwoodhook-Target": "shed"}),
    ],
    ids=["undeclared", "other-word", "other-status"],
)
async def test_an_undeclared_refusal_is_forwarded_as_an_answer(answer):
    async with (
        RawTarget((ReceiveRequest(), Send(answer))) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        result = await exchange(session, proxy, method="POST", data=BODY)
        assert result.outcome == "answered"
        assert target.request_count == 1


async def test_a_shed_after_an_attempt_that_may_have_run_is_reported_as_unknown():
    shed = make_answer(b"", status="503 Busy", headers={"Dogwoodhook-Target": "shed"})
    async with (
        RawTarget((ReceiveRequest(),)) as broken,
        RawTarget((ReceiveRequest(), Send(shed))) as shedding,
        LocalProxy([broken.port, shedding.port], parameters=SHORT_QUEUE) as proxy,
        open_caller() as session,
    ):
        answers = {
            f"n-{each}": await exchange(session, proxy, nonce=f"n-{each}")
            for each in range(8)
        }
        may_have_run = nonces_at(broken)
        assert may_have_run & nonces_at(shedding)
        for nonce, result in answers.items():
            assert is_not_run(result) != (nonce in may_have_run)


@pytest.mark.parametrize("declared", ["shed", "draining"])
async def test_a_shed_on_a_reused_connection_does_not_prove_that_a_request_was_not_run(
    declared,
):
    shed = make_answer(b"", status="503 Busy", headers={"Dogwoodhook-Target": declared})
    first = (ReceiveRequest(), Send(make_answer(b"")), ReceiveRequest(), Send(shed))

    def script(index):
        return (*first, Hold()) if index == 0 else (ReceiveRequest(), Send(shed))

    async with (
        RawTarget(script) as target,
        LocalProxy([target.port], parameters=SHORT_QUEUE) as proxy,
        open_caller() as session,
    ):
        assert (await exchange(session, proxy, nonce="n-1")).outcome == "answered"
        result = await exchange(session, proxy, nonce="n-2")
        assert target.connections[0].requests[-1].nonce == b"n-2"
        assert result.outcome == "unknown; reason=earlier-attempt"


async def test_a_request_shed_on_a_reused_connection_is_retried_on_a_new_one():
    shed = make_answer(b"", status="503 Busy", headers={"Dogwoodhook-Target": "shed"})
    run = (ReceiveRequest(), Send(make_answer(b"run")))

    def script(index):
        return (*run, ReceiveRequest(), Send(shed)) if index == 0 else run

    parameters = replace(GET_IS_IDEMPOTENT, retry_budget_percent=0)
    async with (
        RawTarget(script) as target,
        LocalProxy([target.port], parameters=parameters) as proxy,
        open_caller() as session,
    ):
        for _ in range(2):
            result = await exchange(session, proxy)
            assert (result.outcome, result.body) == ("answered", b"run")
        assert len(target.connections) == 2


def nonces_at(target):
    return {
        request.nonce.decode()
        for connection in target.connections
        for request in connection.requests
    }


async def test_a_short_deadline_of_the_caller_does_not_count_against_the_target():
    start = Send(make_answer(b"01234", content_length=10))
    async with (
        RawTarget((ReceiveRequest(), start, Hold())) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        headers = {"Dogwoodhook-Timeout-Ms": "100"}
        assert isinstance(await exchange(session, proxy, headers=headers), BrokenAnswer)
        await until(lambda: target.open_count == 0)
        failures = dict(
            failure
            for entry in proxy.registry.get("work").health.take_evidence()
            for failure in entry.failures
        )
        assert FailureKind.CRASH not in failures


UNUSUAL_REQUESTS = [
    b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
    b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET //other/%zz HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /a%00b?q=%ff HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET http://other:99999/x HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET http://other/x HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /x#y HTTP/1.1\r\nHost: x\r\n\r\n",
    b"BREW /x HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: x\r\nX-Name: caf\xe9\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: x\r\nContent-Encoding: gzip\r\n"
    b"Content-Length: 3\r\n\r\nabc",
    b"POST /x HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
    b"Content-Length: 2\r\n\r\nab",
    b"POST /x HTTP/1.1\r\nHost: x\r\nExpect: magic\r\nContent-Length: 0\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: x\r\nDogwoodhook-Timeout-Ms: "
    + b"9" * 5000
    + b"\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: x\r\nDogwoodhook-Timeout-Ms: -1\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
    b"GET /x HTTP/1.0\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
]


@pytest.mark.parametrize(
    "request_bytes", UNUSUAL_REQUESTS, ids=range(len(UNUSUAL_REQUESTS))
)
async def test_unusual_requests_get_one_correct_outcome(request_bytes):
    answer = make_answer(b"ran")
    async with (
        RawTarget((ReceiveRequest(), Send(answer))) as target,
        LocalProxy([target.port]) as proxy,
    ):
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        writer.write(request_bytes)
        async with asyncio.timeout(5):
            head = await reader.readuntil(b"\r\n\r\n")
            while head.startswith(b"HTTP/1.1 100"):
                head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        is_refused_by_parser = head.startswith(b"HTTP/1.0 400") or b" 400 " in head
        if is_refused_by_parser or b"Dogwoodhook-Outcome: not-run" in head:
            assert target.received_bytes == 0
        else:
            assert b"Dogwoodhook-Outcome: answered" in head
            assert target.request_count == 1


async def test_requests_refused_under_load_were_not_run():
    settings = TargetSettings(slots=1, queue_limit=1, service_time_ms=3)
    parameters = Parameters(queue_timeout_ms=5, workspace_queue_limit=4)
    async with (
        TargetServer(settings) as first,
        TargetServer(settings) as second,
        LocalProxy([first.port, second.port], parameters=parameters) as proxy,
        open_caller() as session,
    ):
        targets = [first, second]
        steps = [
            TargetFaults(),
            TargetFaults(is_shedding=True),
            TargetFaults(is_draining=True),
            TargetFaults(is_down=True),
        ]
        answers = {}

        async def call(nonce):
            headers = {"Dogwoodhook-Timeout-Ms": "50"}
            answers[nonce] = await exchange(
                session, proxy, method="POST", nonce=nonce, data=BODY, headers=headers
            )

        for number, faults in enumerate(steps * 3):
            calls = [
                asyncio.create_task(call(f"{number}-{each}")) for each in range(12)
            ]
            await asyncio.sleep(0.004)
            await targets[number % 2].set_faults(faults)
            await asyncio.gather(*calls)
        ran = [run.nonce for target in targets for run in target.record.runs]
        assert len(ran) == len(set(ran))
        refused = {nonce for nonce, result in answers.items() if is_not_run(result)}
        assert refused
        assert not refused & set(ran)
        answered = {
            nonce
            for nonce, result in answers.items()
            if not isinstance(result, BrokenAnswer) and result.outcome == "answered"
        }
        assert answered
        assert answered <= set(ran)
