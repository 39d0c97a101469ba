"""Whatever targets write, callers of a daemon are told the truth."""

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

PROMISES = frozenset({408, 421, 429, 503})
MAX_TARGETS = 2
"""Targets that the routes allow for one request."""

HANG_GUARD_S = 20.0
SOUND = Plan()


@dataclass(frozen=True, slots=True)
class Sending:
    """A request, and what the targets do with it one after the other."""

    path: str
    plans: tuple[Plan, Plan]
    is_beside: bool
    gap_ms: int


SENDINGS = st.builds(
    Sending,
    path=st.sampled_from(["/read/", "/post/", "/post/"]),
    plans=st.tuples(PLANS, PLANS),
    is_beside=st.sampled_from([False, False, True]),
    gap_ms=st.sampled_from([0, 0, 3]),
)


class Plans:
    """Tells what becomes of the first arrival of a request, the second, and so on."""

    def __init__(self, sendings):
        self.plans = {
            f"request-{number}": list(each.plans)
            for number, each in enumerate(sendings)
        }

    def __call__(self, request_id):
        plans = self.plans.get(request_id)
        return plans.pop(0) if plans else SOUND


async def send(platform, number, sending):
    """Return the reply, ``None`` where the connection ended in it."""
    headers = {"Request-Id": f"request-{number}", "Deadline-Ms": "2000"}
    try:
        return await platform.send(f"{sending.path}{number}", headers=headers)
    except (aiohttp.ClientError, OSError):
        return None


async def play(sendings, target_count):
    """Return what each caller got, and the targets."""
    plans = Plans(sendings)
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
        for number, sending in enumerate(sendings):
            if tasks and not sending.is_beside:
                await asyncio.wait(tasks)
                await asyncio.sleep(sending.gap_ms / 1000)
            tasks.append(asyncio.create_task(send(platform, number, sending)))
        async with asyncio.timeout(HANG_GUARD_S):
            replies = await asyncio.gather(*tasks)
    return replies, targets


def check(sendings, replies, targets):
    runs = defaultdict(list)
    arrivals = defaultdict(list)
    for target in targets:
        for run in target.runs:
            runs[run.request_id].append(run)
        for arrival in target.arrivals:
            arrivals[arrival.request_id].append(arrival)
    for number, (sending, reply) in enumerate(zip(sendings, replies, strict=True)):
        request_id = f"request-{number}"
        made = [(run.status, run.body) for run in runs[request_id]]
        is_unsafe = sending.path == "/post/"
        assert len(made) <= (1 if is_unsafe else MAX_TARGETS), request_id
        if reply is None:
            has_large = any(each.is_large for each in sending.plans)
            assert has_large, f"{request_id} got no whole answer"
            continue
        if reply.status in PROMISES:
            assert not made, f"{request_id} has run and got {reply}"
        elif reply.status < 300 or "Server-Signature" in reply.headers:
            assert (reply.status, reply.body) in made, request_id
            assert "Server-Signature" in reply.headers
        else:
            assert reply.status in (502, 504)
            are_clean = all(each.is_clean for each in arrivals[request_id])
            assert not (made and are_clean), f"{request_id} got {reply}"


def test_whatever_targets_write_callers_are_told_the_truth():
    with asyncio.Runner() as runner:

        @settings(settings.get_profile("ci"), max_examples=40)
        @given(st.lists(SENDINGS, min_size=3, max_size=8), st.integers(1, 2))
        def run(sendings, target_count):
            check(sendings, *runner.run(play(sendings, target_count)))

        run()
