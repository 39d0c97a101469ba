import asyncio

import pytest
from exchanges import exchange, open_caller, until

from dogwoodhook.state.model import Parameters, RequestPattern
from dogwoodhook.testing.local_proxy import LocalProxy
from dogwoodhook.testing.raw_target import (
    Abort,
    Hold,
    RawTarget,
    ReceiveRequest,
    Send,
    make_answer,
)

METHODS = ["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"]
WARM_PATH = "/warm"
ONLY_WARMING_IS_IDEMPOTENT = Parameters(idempotent=(RequestPattern("*", WARM_PATH),))
WARM_THEN_BREAK = (ReceiveRequest(), Send(make_answer(b"")), ReceiveRequest())


@pytest.mark.parametrize("key", ["", "key-1"], ids=["unkeyed", "keyed"])
@pytest.mark.parametrize("ending", [(), (Abort(),)], ids=["close", "reset"])
@pytest.mark.parametrize("method", METHODS)
async def test_a_request_is_sent_once_when_its_connection_breaks(method, ending, key):
    headers = {"Idempotency-Key": key} if key else {}
    async with (
        RawTarget((ReceiveRequest(), *ending)) as first,
        RawTarget((ReceiveRequest(), *ending)) as second,
        LocalProxy([first.port, second.port], parameters=Parameters()) as proxy,
        open_caller() as session,
    ):
        result = await exchange(session, proxy, method=method, headers=headers)
        assert result.outcome == "unknown; reason=connection-lost"
        assert first.request_count + second.request_count == 1


@pytest.mark.parametrize("method", METHODS)
async def test_a_request_is_sent_once_when_its_pooled_connection_breaks(method):
    """An idempotent request warms the pool before each method is tried."""
    async with (
        RawTarget(WARM_THEN_BREAK) as target,
        LocalProxy([target.port], parameters=ONLY_WARMING_IS_IDEMPOTENT) as proxy,
        open_caller() as session,
    ):
        await exchange(session, proxy, path=WARM_PATH)
        await exchange(session, proxy, method=method, nonce="n-1")
        nonces = [
            request.nonce
            for connection in target.connections
            for request in connection.requests
        ]
        assert nonces.count(b"n-1") == 1


async def test_a_repeated_idempotency_key_gets_the_first_answer_and_no_second_run():
    steps = (ReceiveRequest(), Send(make_answer(b"paid", headers={"X-Till": "7"})))
    headers = {"Idempotency-Key": "key-1"}
    async with (
        RawTarget(steps) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        answers = [
            await exchange(session, proxy, method="POST", headers=headers)
            for _ in range(3)
        ]
        assert [each.body for each in answers] == [b"paid"] * 3
        assert target.request_count == 1


async def test_a_request_whose_key_is_in_progress_is_not_reported_as_not_run():
    headers = {"Idempotency-Key": "key-1"}
    async with (
        RawTarget((ReceiveRequest(), Hold())) as target,
        LocalProxy([target.port]) as proxy,
        open_caller() as session,
    ):
        first = asyncio.create_task(
            exchange(session, proxy, method="POST", headers=headers)
        )
        await until(lambda: target.request_count == 1)
        second = await exchange(session, proxy, method="POST", headers=headers)
        assert (second.status, second.outcome) == (
            409,
            "unknown; reason=key-in-progress",
        )
        first.cancel()


async def test_an_idempotent_request_is_retried_at_another_target():
    answer = (ReceiveRequest(), Send(make_answer(b"ok")))
    async with (
        RawTarget((ReceiveRequest(),)) as broken,
        RawTarget(answer) as sound,
        LocalProxy([broken.port, sound.port]) as proxy,
        open_caller() as session,
    ):
        calls = [exchange(session, proxy) for _ in range(2)]
        result = await asyncio.gather(*calls)
        assert [each.body for each in result] == [b"ok"] * 2
        assert broken.request_count > 0
