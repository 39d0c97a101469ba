"""Targets whose addresses cannot be encoded: nothing is sent to them."""

import pytest
from multidict import CIMultiDict

from dogwoodhook.platform.headers import PLATFORM_CONVENTIONS
from dogwoodhook.protocol.request_uri import RequestUri
from dogwoodhook.state.model import Target
from dogwoodhook.state.outcomes import NotRun, NotRunReason
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.transport.attempts import Attempt, NotRunAtTarget, send_attempt
from dogwoodhook.transport.bounded_answers import BoundedConnector
from dogwoodhook.transport.exchange import AttemptRequest, open_answer
from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.target_sessions import make_session

HOSTS = ["a\ud800b", "a" * 50_000, "a" * 64 + ".example", "a b", "[::1", "\u2100"]


@pytest.fixture
async def session():
    async with make_session(BoundedConnector()) as session:
        yield session


@pytest.mark.parametrize("host", HOSTS)
async def test_a_request_at_an_address_that_cannot_be_encoded_may_have_run(
    session, host
):
    target = TargetEntry("t1", "payouts", host, 9, "oulu-1", 3, False, 0.0, 1)
    attempt = Attempt(
        method="GET",
        uri=RequestUri("/"),
        headers=CIMultiDict(),
        body=b"",
        request_id="a",
        timeout_s=5.0,
        connect_timeout_s=1.0,
    )
    result = await send_attempt(
        session, target, attempt, PLATFORM_CONVENTIONS, AttemptTrace()
    )
    assert isinstance(result, NotRunAtTarget)


@pytest.mark.parametrize("host", HOSTS)
async def test_a_native_request_at_an_address_that_cannot_be_encoded_may_have_run(
    session, host
):
    request = AttemptRequest("GET", RequestUri("/"), CIMultiDict(), b"", 5.0)
    target = Target("t1", "kigali-1", host, 9)
    result = await open_answer(session, target, request)
    assert result.error.outcome == NotRun(NotRunReason.CONNECT_FAILED)
