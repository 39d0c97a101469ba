"""Requests that end each target that runs them, and the check that they are stopped."""

import asyncio
import itertools
import random
import time
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import aiohttp

from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.target_sessions import make_session
from tests.platform_adapter.soak.records import (
    NOT_RUN_STATUSES,
    Disturbance,
    PromiseChecks,
)
from tests.platform_adapter.soak.workspaces import key_headers
from tests.platform_adapter.soak.world import BODY, HARMFUL, HarmfulArrival, World

SENDING_S = 12.0
"""Time for which one harmful request is sent again and again."""

MAX_PAUSE_S = 0.4
CALL_TIMEOUTS_S = (0.1, 2.0, 5.0)
"""Times after which the callers of one harmful request may leave."""

DEADLINE_MS = 5000

CONTACT_S = 3.0
"""Time after the third end of a target in which the fleet may still send it."""

ENDS_UNTIL_STOPPED = 3
MAX_LATER_ARRIVALS = 3
"""Arrivals of a harmful request that are allowed later; rule BUDGET."""


@dataclass(slots=True)
class HarmfulCall:
    """One sending of a harmful request to a daemon; ``status`` is 0 until answered."""

    request_id: str
    daemon: str
    sent_s: float
    is_idempotent: bool = True
    status: int = 0


class HarmfulCaller:
    """Sends a harmful request to any daemon, then another one, until cancelled."""

    def __init__(self, world: World, *, seed: int) -> None:
        self.calls: list[HarmfulCall] = []
        self._world = world
        self._seed = seed
        # A generator of its own leaves the faults of known seeds as they are.
        self._rng = random.Random(f"harmful {seed}")
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Send harmful requests until cancelled."""
        async with make_session(aiohttp.TCPConnector(force_close=True)) as session:
            for number in itertools.count():
                is_safe = self._rng.random() < 0.5
                path = (
                    f"/{'read' if is_safe else 'post'}/{HARMFUL}/{self._seed}-{number}"
                )
                timeout_s = random.Random(path).choice(CALL_TIMEOUTS_S)
                until_s = time.monotonic() + SENDING_S
                async with asyncio.TaskGroup() as group:
                    while time.monotonic() < until_s:
                        sending = self._send(
                            session,
                            path,
                            body=None if is_safe else BODY,
                            timeout_s=timeout_s,
                        )
                        group.create_task(sending)
                        await asyncio.sleep(self._rng.uniform(0.05, MAX_PAUSE_S))

    async def _send(self, session, path, *, body, timeout_s) -> None:
        daemon = self._rng.choice(self._world.daemons)
        host, port = daemon.address(is_relayed=False)
        request_id = f"{HARMFUL}-{next(self._numbers)}"
        is_idempotent = body is None
        call = HarmfulCall(request_id, daemon.name, time.monotonic(), is_idempotent)
        self.calls.append(call)
        trace = AttemptTrace()
        headers = {
            "Host": "127.0.0.1",
            "Request-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            **key_headers(self._world.keys.draw_key(is_steady=True)),
        }
        try:
            async with (
                asyncio.timeout(timeout_s),
                session.request(
                    "POST" if body else "GET",
                    f"http://{host}:{port}{path}",
                    data=body,
                    headers=headers,
                    trace_request_ctx=trace,
                    middlewares=(trace.block_resend,),
                ) as response,
            ):
                call.status = response.status
                await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            # What becomes of a harmful request does not matter to its caller.
            return


def find_unstopped_requests(
    arrivals: Iterable[HarmfulArrival],
    calls: Iterable[HarmfulCall],
    disturbances: Sequence[Disturbance],
) -> PromiseChecks:
    """Check that harmful requests reach no more targets after some have ended."""
    by_id = {call.request_id: call for call in calls}
    by_path: defaultdict[str, list[HarmfulArrival]] = defaultdict(list)
    for arrival in arrivals:
        by_path[arrival.path].append(arrival)
    checks = PromiseChecks()
    for path, reached in by_path.items():
        ends_s = sorted(each.ended_s for each in reached if each.ended_s is not None)
        if len(ends_s) < ENDS_UNTIL_STOPPED:
            continue
        from_s = ends_s[ENDS_UNTIL_STOPPED - 1] + CONTACT_S
        later = [
            each
            for each in reached
            if each.arrived_s > from_s
            and not any(
                fault.overlaps(by_id[each.request_id]) for fault in disturbances
            )
        ]
        is_stopped = len(later) <= MAX_LATER_ARRIVALS
        checks.expect(is_stopped, "ends targets without limit", path, later)
    return checks


def find_false_refusals(
    arrivals: Iterable[HarmfulArrival], calls: Iterable[HarmfulCall]
) -> PromiseChecks:
    """Check that those which may run once did so once at most, refused ones never."""
    reached = Counter(each.request_id for each in arrivals)
    checks = PromiseChecks()
    for call in calls:
        if call.is_idempotent:
            continue
        runs = reached[call.request_id]
        checks.expect(runs <= 1, "run twice", call, runs)
        if call.status in NOT_RUN_STATUSES:
            checks.expect(runs == 0, "ran, but was reported as not run", call, runs)
    return checks
