"""Checks that attempts get their own complete answer or none from faulty targets."""

import asyncio
from dataclasses import dataclass, replace

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict

from dogwoodhook.platform.headers import PLATFORM_CONVENTIONS
from dogwoodhook.protocol.request_uri import RequestUri
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.transport.attempts import (
    Attempt,
    CompleteAnswer,
    MayHaveRun,
    NotRunAtTarget,
    OpenAnswer,
    read_rest,
    send_attempt,
)
from dogwoodhook.transport.clean_reuse_connector import CleanReuseConnector
from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.target_sessions import make_session
from properties.faulty_targets import HOST, PLANS, End, FaultyTarget, Plan

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
HUNG_TIMEOUT_S = 0.05
SOUND_TIMEOUT_S = 5.0
ENTRY = TargetEntry("t1", "s", HOST, 0, "oulu-1", 3, False, 0.0, 1)


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request, sent while the previous one is in progress or after a gap."""

    method: str
    plan: Plan
    is_concurrent: bool
    gap_ms: int
    leaves_after_ms: int | None


PLANNED_REQUESTS = st.builds(
    PlannedRequest,
    method=st.sampled_from(["GET", "POST", "POST", "HEAD"]),
    plan=PLANS,
    is_concurrent=st.sampled_from([False, False, False, True]),
    gap_ms=st.sampled_from([0, 0, 3, 8]),
    leaves_after_ms=st.sampled_from([None] * 15 + [1]),
)


async def send(session, port, number, planned):
    may_hang = planned.plan.end is End.HANG
    request = Attempt(
        method=planned.method,
        uri=RequestUri(f"/{number}"),
        headers=CIMultiDict({"Request-Id": f"request-{number}"}),
        body=b"body" if planned.method == "POST" else b"",
        request_id=f"request-{number}",
        timeout_s=HUNG_TIMEOUT_S if may_hang else SOUND_TIMEOUT_S,
        connect_timeout_s=SOUND_TIMEOUT_S,
    )
    entry = replace(ENTRY, port=port)
    try:
        async with asyncio.timeout(
            planned.leaves_after_ms and planned.leaves_after_ms / 1000
        ):
            result = await send_attempt(
                session, entry, request, PLATFORM_CONVENTIONS, AttemptTrace()
            )
            if isinstance(result, OpenAnswer):
                result = await read_rest(result, may_hold=lambda count: True)
            return result
    except TimeoutError:
        return None


async def run_requests(requests):
    """Return the result of each attempt, and the target."""
    target = FaultyTarget("t1", lambda request_id: requests[int(request_id[8:])].plan)
    await target.start()
    session = make_session(CleanReuseConnector(limit=0))
    tasks = []
    for number, request in enumerate(requests):
        if tasks and not request.is_concurrent:
            await asyncio.wait(tasks)
            await asyncio.sleep(request.gap_ms / 1000)
        tasks.append(asyncio.create_task(send(session, target.port, number, request)))
    try:
        async with asyncio.timeout(4 * SOUND_TIMEOUT_S):
            results = await asyncio.gather(*tasks)
    finally:
        await session.close()
        await target.close()
    return results, target


def check(requests, results, target):
    runs = {each.request_id: each for each in target.runs}
    assert len(runs) == len(target.runs), "a request was sent twice"
    clean = {each.request_id for each in target.arrivals if each.is_clean}
    for number, (request, result) in enumerate(zip(requests, results, strict=True)):
        request_id = f"request-{number}"
        run = runs.get(request_id)
        match result:
            case NotRunAtTarget():
                assert run is None, f"{request_id} has run: {result}"
            case CompleteAnswer():
                assert run is not None, f"{request_id} has not run: {result}"
                assert (result.status, result.body) == (run.status, run.body)
                assert "Server-Signature" in result.headers
                assert result.status not in NOT_RUN_STATUSES
            case MayHaveRun() if request.plan.end is not End.HANG:
                is_unnamed = not request.plan.runs and not request.plan.has_id
                assert request_id not in clean or is_unnamed, result


@pytest.mark.parametrize("new_loop", LOOPS)
def test_no_attempt_accepts_another_answer_whatever_a_target_writes(new_loop):
    with asyncio.Runner(loop_factory=new_loop) as runner:

        @settings(settings.get_profile("ci"), max_examples=150)
        @given(st.lists(PLANNED_REQUESTS, min_size=2, max_size=6))
        def run(requests):
            check(requests, *runner.run(run_requests(requests)))

        run()
