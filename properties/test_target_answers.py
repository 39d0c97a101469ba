"""Whatever targets write, callers get their own whole answers or none."""

import asyncio
from dataclasses import dataclass, replace

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict

from dogwoodhook.platform.headers import PLATFORM_DIALECT
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.transport.attempts import (
    Attempt,
    CompleteAnswer,
    MayHaveRun,
    NotRunThere,
    OpenAnswer,
    read_rest,
    send_attempt,
)
from dogwoodhook.transport.clean_reuse_connector import CleanReuseConnector
from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.target_sessions import make_session
from properties.faulty_targets import HOST, PLANS, End, FaultyTarget, Plan

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]
PROMISES = frozenset({408, 421, 429, 503})
HUNG_TIMEOUT_S = 0.05
SOUND_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024
ENTRY = TargetEntry("t1", "s", HOST, 0, "oulu-1", 3, False, 0.0, 1)


@dataclass(frozen=True, slots=True)
class Sending:
    """A request; it is sent while the one before it is at work, or after a gap."""

    method: str
    plan: Plan
    is_beside: bool
    gap_ms: int
    leaves_after_ms: int | None


SENDINGS = st.builds(
    Sending,
    method=st.sampled_from(["GET", "POST", "POST", "HEAD"]),
    plan=PLANS,
    is_beside=st.sampled_from([False, False, False, True]),
    gap_ms=st.sampled_from([0, 0, 3, 8]),
    leaves_after_ms=st.sampled_from([None] * 15 + [1]),
)


async def send(session, port, number, sending):
    may_hang = sending.plan.end is End.HANG
    request = Attempt(
        method=sending.method,
        path=f"/{number}",
        headers=CIMultiDict({"Request-Id": f"request-{number}"}),
        body=b"body" if sending.method == "POST" else b"",
        request_id=f"request-{number}",
        timeout_s=HUNG_TIMEOUT_S if may_hang else SOUND_TIMEOUT_S,
        connect_timeout_s=SOUND_TIMEOUT_S,
    )
    entry = replace(ENTRY, port=port)
    try:
        async with asyncio.timeout(
            sending.leaves_after_ms and sending.leaves_after_ms / 1000
        ):
            result = await send_attempt(
                session, entry, request, PLATFORM_DIALECT, AttemptTrace()
            )
            if isinstance(result, OpenAnswer):
                result = await read_rest(result, limit_bytes=MAX_ANSWER_BYTES)
            return result
    except TimeoutError:
        return None


async def play(sendings):
    """Return what each attempt told, and the target."""
    target = FaultyTarget("t1", lambda each: sendings[int(each[8:])].plan)
    await target.start()
    session = make_session(CleanReuseConnector(limit=0))
    tasks = []
    for number, sending in enumerate(sendings):
        if tasks and not sending.is_beside:
            await asyncio.wait(tasks)
            await asyncio.sleep(sending.gap_ms / 1000)
        tasks.append(asyncio.create_task(send(session, target.port, number, sending)))
    try:
        async with asyncio.timeout(4 * SOUND_TIMEOUT_S):
            results = await asyncio.gather(*tasks)
    finally:
        await session.close()
        await target.close()
    return results, target


def check(sendings, results, target):
    runs = {each.request_id: each for each in target.runs}
    assert len(runs) == len(target.runs), "a request was sent twice"
    clean = {each.request_id for each in target.arrivals if each.is_clean}
    for number, (sending, result) in enumerate(zip(sendings, results, strict=True)):
        request_id = f"request-{number}"
        run = runs.get(request_id)
        match result:
            case NotRunThere():
                assert run is None, f"{request_id} has run: {result}"
            case CompleteAnswer():
                assert run is not None, f"{request_id} has not run: {result}"
                assert (result.status, result.body) == (run.status, run.body)
                assert "Server-Signature" in result.headers
                assert result.status not in PROMISES
            case MayHaveRun() if sending.plan.end is not End.HANG:
                is_unnamed = not sending.plan.runs and not sending.plan.has_id
                assert request_id not in clean or is_unnamed, result


@pytest.mark.parametrize("new_loop", LOOPS)
def test_whatever_a_target_writes_no_attempt_takes_it_for_another_answer(new_loop):
    with asyncio.Runner(loop_factory=new_loop) as runner:

        @settings(settings.get_profile("ci"), max_examples=150)
        @given(st.lists(SENDINGS, min_size=2, max_size=6))
        def run(sendings):
            check(sendings, *runner.run(play(sendings)))

        run()
