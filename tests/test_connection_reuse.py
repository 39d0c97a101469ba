"""How many requests, and which, are sent on one connection to a target."""

from dataclasses import replace

import pytest
from multidict import CIMultiDict

from dogwoodhook.platform.headers import PLATFORM_CONVENTIONS
from dogwoodhook.protocol.request_uri import RequestUri
from dogwoodhook.state.connection_history import MAX_REQUESTS, ConnectionHistory
from dogwoodhook.state.model import Target
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.transport.attempts import Attempt, CompleteAnswer, send_attempt
from dogwoodhook.transport.clean_reuse_connector import CleanReuseConnector
from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.target_pools import TargetPools
from dogwoodhook.transport.target_sessions import make_session
from tests.platform_adapter.target_server import HOST, running_target

ENTRY = TargetEntry("t1", "s", HOST, 0, "oulu-1", 3, False, 0.0, 1)


def open_session():
    return make_session(CleanReuseConnector(limit=0))


async def send(session, target, request_id):
    """Send one request with an id, as a daemon on the platform does."""
    attempt = Attempt(
        method="GET",
        uri=RequestUri("/"),
        headers=CIMultiDict({"Request-Id": request_id}),
        body=b"",
        request_id=request_id,
        timeout_s=5.0,
        connect_timeout_s=5.0,
    )
    entry = replace(ENTRY, port=target.port)
    trace = AttemptTrace()
    result = await send_attempt(session, entry, attempt, PLATFORM_CONVENTIONS, trace)
    assert isinstance(result, CompleteAnswer)
    return trace


async def send_without_id(pools, target):
    """Send one request as the native daemon does."""
    entry = Target("t1", "kigali-1", HOST, target.port)
    trace = AttemptTrace()
    async with (
        pools.session(entry, may_reuse=True, max_connections=3) as session,
        session.get(
            f"http://{HOST}:{target.port}/",
            trace_request_ctx=trace,
            middlewares=(trace.block_resend,),
        ) as response,
    ):
        await response.read()


async def test_a_connection_carries_more_requests_than_its_history_holds():
    async with running_target("t1") as target, open_session() as session:
        for number in range(MAX_REQUESTS + 2):
            trace = await send(session, target, f"id-{number}")
            assert trace.is_reused == (number not in (0, MAX_REQUESTS))
    connections = [each.connection for each in target.received]
    assert connections == [1] * MAX_REQUESTS + [2] * 2


async def test_a_connection_carries_the_same_request_twice():
    async with running_target("t1") as target, open_session() as session:
        for request_id in ("a", "b", "a", "b", "c"):
            await send(session, target, request_id)
    carried = [(each.connection, each.request_id) for each in target.received]
    assert carried == [(1, "a"), (1, "b"), (2, "a"), (2, "b"), (2, "c")]


async def test_each_request_without_an_id_gets_a_new_connection():
    pools = TargetPools()
    async with running_target("t1") as target:
        for _ in range(MAX_REQUESTS + 2):
            await send_without_id(pools, target)
        await pools.close()
    connections = [each.connection for each in target.received]
    assert connections == [1] * MAX_REQUESTS + [2] * 2


@pytest.mark.parametrize("request_id", ["another", None])
def test_the_limit_of_requests_is_off_by_one(request_id):
    history = ConnectionHistory()
    for number in range(MAX_REQUESTS):
        assert history.may_carry(request_id)
        history.record_request(None if request_id is None else f"id-{number}")
    assert not history.may_carry(request_id)
