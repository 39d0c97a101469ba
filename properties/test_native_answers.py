"""Checks that callers get true outcomes, whatever targets without request ids write."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, replace

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from dogwoodhook.protocol.headers import TIMEOUT_HEADER
from dogwoodhook.testing.local_proxy import GET_IS_IDEMPOTENT, LocalProxy
from properties.faulty_targets import PLANS, FaultyTarget, NativeWire, Plan
from tests.exchanges import BrokenAnswer, exchange, open_caller, until

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]
SETTLE_S = 0.002
"""Time for a target's last bytes to reach the daemon, in the same process."""

PARAMETERS = replace(GET_IS_IDEMPOTENT, queue_timeout_ms=5)
"""A short queue time-out, so that a request refused by every target is soon reported as
not run."""


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request, and what targets do at each arrival; the last plan is then reused."""

    method: str
    plans: tuple[Plan, Plan]


PLANNED_REQUESTS = st.builds(
    PlannedRequest,
    method=st.sampled_from(["GET", "GET", "POST"]),
    plans=st.tuples(PLANS, st.one_of(PLANS, st.just(Plan(runs=False)))),
)


async def run_requests(requests, target_count):
    """Return the reply to each caller, and the targets."""
    plans = {f"n-{number}": list(each.plans) for number, each in enumerate(requests)}

    def plan_of(nonce):
        left = plans[nonce]
        return left.pop(0) if len(left) > 1 else left[0]

    targets = [
        FaultyTarget(f"t{number}", plan_of, wire=NativeWire())
        for number in range(target_count)
    ]
    for target in targets:
        await target.start()
    seen = []
    async with (
        LocalProxy([target.port for target in targets], parameters=PARAMETERS) as proxy,
        open_caller() as session,
    ):
        for number, request in enumerate(requests):
            reply = await exchange(
                session,
                proxy,
                f"/work/{number}",
                method=request.method,
                nonce=f"n-{number}",
                headers={TIMEOUT_HEADER: "2000"},
            )
            seen.append(reply)
            # Without request ids, late bytes of this exchange cannot be distinguished
            # from the answer to the next request.
            await until(
                lambda: not any(target.requests_in_progress for target in targets)
            )
            await asyncio.sleep(SETTLE_S)
    for target in targets:
        await target.close()
    return seen, targets


def check(requests, replies, targets):
    runs = defaultdict(list)
    arrivals = defaultdict(list)
    for target in targets:
        for run in target.runs:
            runs[run.request_id].append((run.status, run.body))
        for arrival in target.arrivals:
            arrivals[arrival.request_id].append(arrival)
    for number, (request, seen) in enumerate(zip(requests, replies, strict=True)):
        nonce = f"n-{number}"
        produced = runs[nonce]
        if request.method == "POST":
            assert len(produced) <= 1, nonce
        if not isinstance(seen, BrokenAnswer):
            if seen.outcome == "answered":
                assert (seen.status, seen.body) in produced, f"{nonce} got {seen}"
                continue
            if seen.outcome.startswith("not-run"):
                assert not produced, f"{nonce} has run and got {seen}"
                continue
        are_clean = all(each.is_clean for each in arrivals[nonce])
        # A failure is reported as an unknown outcome when its retries fail too.
        has_failed = any(status >= 500 for status, _ in produced)
        assert not produced or not are_clean or has_failed, f"{nonce} got {seen}"


@pytest.mark.parametrize("new_loop", LOOPS)
def test_callers_get_true_outcomes_whatever_targets_without_ids_write(new_loop):
    with asyncio.Runner(loop_factory=new_loop) as runner:

        @settings(settings.get_profile("ci"), max_examples=40)
        @given(st.lists(PLANNED_REQUESTS, min_size=2, max_size=6), st.integers(1, 2))
        def run(requests, target_count):
            check(requests, *runner.run(run_requests(requests, target_count)))

        run()
