"""Checks that a daemon's callers get true outcomes, whatever targets write."""

import asyncio
from collections import defaultdict
from contextlib import AsyncExitStack
from dataclasses import dataclass

import aiohttp
from hypothesis import given, settings
from hypothesis import strategies as st

from properties.faulty_targets import PLANS, FaultyTarget, Plan
from tests.platform_adapter.conftest import Platform
from tests.platform_adapter.store_server import running_store
from tests.platform_adapter.target_server import TargetServer

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAX_TARGETS = 2
"""Number of targets that the routes allow for one request."""

HANG_GUARD_S = 20.0
SOUND = Plan()


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A caller's request, and what the targets do at its first and second arrival."""

    path: str
    plans: tuple[Plan, Plan]
    is_concurrent: bool
    gap_ms: int


PLANNED_REQUESTS = st.builds(
    PlannedRequest,
    path=st.sampled_from(["/read/", "/post/", "/post/"]),
    plans=st.tuples(PLANS, PLANS),
    is_concurrent=st.sampled_from([False, False, True]),
    gap_ms=st.sampled_from([0, 0, 3]),
)


class Plans:
    """Returns the plan for each successive arrival of a request."""

    def __init__(self, requests):
        self.plans = {
            f"request-{number}": list(each.plans)
            for number, each in enumerate(requests)
        }

    def __call__(self, request_id):
        plans = self.plans.get(request_id)
        return plans.pop(0) if plans else SOUND


async def send(platform, number, request):
    """Return the reply, or ``None`` if the connection ended before it was complete."""
    headers = {"Request-Id": f"request-{number}", "Deadline-Ms": "2000"}
    try:
        return await platform.send(f"{request.path}{number}", headers=headers)
    except (aiohttp.ClientError, OSError):
        return None


async def run_requests(requests, target_count):
    """Return the reply to each caller, and the targets."""
    plans = Plans(requests)
    targets = [FaultyTarget(f"t{number}", plans) for number in range(target_count)]
    tasks = []
    async with AsyncExitStack() as stack:
        for target in targets:
            await target.start()
            stack.push_async_callback(target.close)
        store = await stack.enter_async_context(running_store())
        platform = Platform(store, stack)
        await platform.configure()
        for target in targets:
            entry = TargetServer(target.name, target.port).entry()
            await store.put("servers", target.name, entry)
        await platform.start_gateway()
        for number, request in enumerate(requests):
            if tasks and not request.is_concurrent:
                await asyncio.wait(tasks)
                await asyncio.sleep(request.gap_ms / 1000)
            tasks.append(asyncio.create_task(send(platform, number, request)))
        async with asyncio.timeout(HANG_GUARD_S):
            replies = await asyncio.gather(*tasks)
    return replies, targets


def check(requests, replies, targets):
    runs = defaultdict(list)
    arrivals = defaultdict(list)
    for target in targets:
        for run in target.runs:
            runs[run.request_id].append(run)
        for arrival in target.arrivals:
            arrivals[arrival.request_id].append(arrival)
    for number, (request, reply) in enumerate(zip(requests, replies, strict=True)):
        request_id = f"request-{number}"
        produced = [(run.status, run.body) for run in runs[request_id]]
        is_unsafe = request.path == "/post/"
        assert len(produced) <= (1 if is_unsafe else MAX_TARGETS), request_id
        if reply is None:
            has_large = any(each.is_large for each in request.plans)
            assert has_large, f"{request_id} got no complete answer"
            continue
        if reply.status in NOT_RUN_STATUSES:
            assert not produced, f"{request_id} has run and got {reply}"
        elif reply.status < 300 or "Server-Signature" in reply.headers:
            assert (reply.status, reply.body) in produced, request_id
            assert "Server-Signature" in reply.headers
        else:
            assert reply.status in (502, 504)
            are_clean = all(each.is_clean for each in arrivals[request_id])
            assert not (produced and are_clean), f"{request_id} got {reply}"


def test_callers_get_true_outcomes_whatever_targets_write():
    with asyncio.Runner() as runner:

        @settings(settings.get_profile("ci"), max_examples=40)
        @given(st.lists(PLANNED_REQUESTS, min_size=3, max_size=8), st.integers(1, 2))
        def run(requests, target_count):
            check(requests, *runner.run(run_requests(requests, target_count)))

        run()
