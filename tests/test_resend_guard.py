import asyncio

import aiohttp
import pytest

from dogwoodhook.testing.raw_target import (
    Abort,
    RawTarget,
    ReceiveRequest,
    Send,
    make_answer,
)
from dogwoodhook.transport.resend_guard import (
    AttemptTrace,
    ResendBlockedError,
    make_trace_config,
)

METHODS = ["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"]
RESENT_METHODS = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"]
ENDINGS = [(), (Abort(),)]


def url(target):
    return f"http://127.0.0.1:{target.port}/work"


def open_session(*, is_guarded=True):
    configs = [make_trace_config()] if is_guarded else []
    return aiohttp.ClientSession(trace_configs=configs)


async def send(session, target, method, *, has_middleware=True):
    trace = AttemptTrace()
    try:
        async with session.request(
            method,
            url(target),
            data=b"body",
            trace_request_ctx=trace,
            middlewares=(trace.block_resend,) if has_middleware else (),
        ) as response:
            await response.read()
    except (aiohttp.ClientError, OSError) as error:
        return trace, error
    return trace, None


def break_new_connection(ending):
    return (ReceiveRequest(), *ending)


def break_reused_connection(ending):
    answer = Send(make_answer(b""))
    return (ReceiveRequest(), answer, ReceiveRequest(), *ending)


@pytest.mark.parametrize("has_middleware", [True, False], ids=["middleware", "hooks"])
@pytest.mark.parametrize("ending", ENDINGS, ids=["close", "reset"])
@pytest.mark.parametrize("method", METHODS)
async def test_a_request_is_sent_once_when_its_new_connection_breaks(
    method, ending, has_middleware
):
    async with (
        RawTarget(break_new_connection(ending)) as target,
        open_session() as session,
    ):
        trace, error = await send(
            session, target, method, has_middleware=has_middleware
        )
        assert error is not None
        assert (target.request_count, trace.is_connected) == (1, True)


@pytest.mark.parametrize("has_middleware", [True, False], ids=["middleware", "hooks"])
@pytest.mark.parametrize("ending", ENDINGS, ids=["close", "reset"])
@pytest.mark.parametrize("method", METHODS)
async def test_a_request_is_sent_once_when_its_reused_connection_breaks(
    method, ending, has_middleware
):
    async with (
        RawTarget(break_reused_connection(ending)) as target,
        open_session() as session,
    ):
        assert (await send(session, target, "POST"))[1] is None
        trace, error = await send(
            session, target, method, has_middleware=has_middleware
        )
        assert error is not None
        assert (target.request_count, trace.is_reused) == (2, True)


@pytest.mark.parametrize(
    "script", [break_new_connection, break_reused_connection], ids=["fresh", "warm"]
)
@pytest.mark.parametrize("method", RESENT_METHODS)
async def test_without_the_guard_the_library_resends_a_request(method, script):
    """Shows that the tests above would detect a resend."""
    async with (
        RawTarget(script(())) as target,
        open_session(is_guarded=False) as session,
    ):
        first_count = 0
        if script is break_reused_connection:
            await send(session, target, "POST")
            first_count = 1
        await send(session, target, method, has_middleware=False)
        assert target.request_count - first_count >= 2


async def test_a_blocked_resend_leaves_no_connection_open():
    """The library would resend on the second of two pooled connections."""
    async with (
        RawTarget(break_reused_connection(())) as target,
        open_session() as session,
    ):
        await asyncio.gather(
            send(session, target, "POST"), send(session, target, "POST")
        )
        assert target.open_count == 2
        _, error = await send(session, target, "GET")
        assert isinstance(error, ResendBlockedError)
        await session.close()
        async with asyncio.timeout(2):
            await wait_until_closed(target)


async def wait_until_closed(target):
    while True:
        if target.open_count == 0:
            return
        await asyncio.sleep(0.005)
