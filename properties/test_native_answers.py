"""Whatever targets without ids of requests write, callers are told the truth."""

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
"""Time in which what a target wrote last reaches the daemon, in the same process."""

PARAMETERS = replace(GET_IS_IDEMPOTENT, queue_timeout_ms=5)
"""A request that every target refuses is soon told not to have run."""


@dataclass(frozen=True, slots=True)
class Sending:
    """A request, and what targets do with it; the last plan stays."""

    method: str
    plans: tuple[Plan, Plan]


SENDINGS = st.builds(
    Sending,
    method=st.sampled_from(["GET", "GET", "POST"]),
    plans=st.tuples(PLANS, st.one_of(PLANS, st.just(Plan(runs=False)))),
)


async def play(sendings, target_count):
    """Return what each caller saw, and the targets."""
    plans = {f"n-{number}": list(each.plans) for number, each in enumerate(sendings)}

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
        for number, sending in enumerate(sendings):
            reply = await exchange(
                session,
                proxy,
                f"/work/{number}",
                method=sending.method,
                nonce=f"n-{number}",
                headers={TIMEOUT_HEADER: "2000"},
            )
            seen.append(reply)
            # Without ids, what crosses the next request cannot be told from its answer.
            await until(
                lambda: not any(target.requests_in_progress for target in targets)
            )
            await asyncio.sleep(SETTLE_S)
    for target in targets:
        await target.close()
    return seen, targets


def check(sendings, replies, targets):
    runs = defaultdict(list)
    arrivals = defaultdict(list)
    for target in targets:
        for run in target.runs:
            runs[run.request_id].append((run.status, run.body))
        for arrival in target.arrivals:
            arrivals[arrival.request_id].append(arrival)
    for number, (sending, seen) in enumerate(zip(sendings, replies, strict=True)):
        nonce = f"n-{number}"
        made = runs[nonce]
        if sending.method == "POST":
            assert len(made) <= 1, nonce
        if not isinstance(seen, BrokenAnswer):
            if seen.outcome == "answered":
                assert (seen.status, seen.body) in made, f"{nonce} got {seen}"
                continue
            if seen.outcome.startswith("not-run"):
                assert not made, f"{nonce} has run and got {seen}"
                continue
        are_clean = all(each.is_clean for each in arrivals[nonce])
        # A failure that is tried again in vain is told as unknown.
        has_failed = any(status >= 500 for status, _ in made)
        assert not made or not are_clean or has_failed, f"{nonce} got {seen}"


@pytest.mark.parametrize("new_loop", LOOPS)
def test_whatever_targets_without_ids_write_callers_are_told_the_truth(new_loop):
    with asyncio.Runner(loop_factory=new_loop) as runner:

        @settings(settings.get_profile("ci"), max_examples=40)
        @given(st.lists(SENDINGS, min_size=2, max_size=6), st.integers(1, 2))
        def run(sendings, target_count):
            check(sendings, *runner.run(play(sendings, target_count)))

        run()
