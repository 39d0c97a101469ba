"""One soak: callers, faults, and the verdict."""

import asyncio
import itertools
import random
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.target_sessions import make_session
from tests.platform_adapter.soak.faults import run_series
from tests.platform_adapter.soak.records import (
    CallRecord,
    Ending,
    Violation,
    find_stale_configurations,
    find_violations,
)
from tests.platform_adapter.soak.world import World

DAEMONS = 4
TARGETS = 6
CALLERS = 12
SERIES = 3
START_TIMEOUT_S = 60.0
RECOVERY_TIMEOUT_S = 60.0
"""Time in which every daemon serves again once nothing disturbs it; generous, since
the machine may be busy."""

RECOVERED_ANSWERS = 5
ADDED_ROUTE_SHARE = 0.4
"""Share of the requests that are not repeatable, sent to routes added lately."""

RECENT_CHANGES = 3
DEADLINE_MS = 4000
CALL_TIMEOUT_S = 8.0


@dataclass
class Report:
    """What a soak did and what it found."""

    seed: int
    injected: Counter
    endings: Counter
    violations: list[Violation] = field(default_factory=list)

    def __str__(self) -> str:
        lines = [
            f"seed {self.seed}: {len(self.violations)} violations",
            f"  faults: {dict(self.injected)}",
            f"  requests: {dict(self.endings)}",
        ]
        return "\n".join(lines + [f"  {each}" for each in self.violations])


class Callers:
    """Callers that keep using their connections until the daemon is gone."""

    def __init__(self, world: World, *, seed: int) -> None:
        self.calls: list[CallRecord] = []
        self._world = world
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._seed = seed
        self._is_ending = False

    def end(self) -> None:
        """Let each caller end after its exchange."""
        self._is_ending = True

    async def run(self) -> None:
        """Call until told to end."""
        async with make_session(aiohttp.TCPConnector(limit=0)) as session:
            while not self._is_ending:
                daemon = self._rng.choice(self._world.daemons)
                for _ in range(self._rng.randint(1, 20)):
                    call = await self.call(session, daemon)
                    if call.ending is not Ending.ANSWERED:
                        await asyncio.sleep(0.05)
                    if self._is_ending or call.ending is not Ending.ANSWERED:
                        break
                    await asyncio.sleep(self._rng.uniform(0, 0.05))

    async def call(self, session, daemon):
        """Send one request and keep what became of it."""
        is_idempotent = self._rng.random() < 0.5
        added_in = 0
        changes = self._world.changes
        if not is_idempotent and self._rng.random() < ADDED_ROUTE_SHARE:
            added_in = self._rng.choice(changes[-RECENT_CHANGES:]).version
        request_id = f"{self._seed}-{next(self._numbers)}"
        prefix = "read" if is_idempotent else "post"
        path = f"/{f'extra{added_in}' if added_in else prefix}/{request_id}"
        incarnation = daemon.starts
        sent_s = time.monotonic()
        trace = AttemptTrace()
        answer = {}
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with session.request(
                    "GET" if is_idempotent else "POST",
                    daemon.url + path,
                    data=None if is_idempotent else b"hours",
                    headers={
                        "Host": "127.0.0.1",
                        "Request-Id": request_id,
                        "Deadline-Ms": str(DEADLINE_MS),
                    },
                    trace_request_ctx=trace,
                    middlewares=(trace.block_resend,),
                ) as response:
                    answer = {
                        "body": (await response.read()).decode(),
                        "status": response.status,
                        "echoed_id": response.headers.get("Request-Id", ""),
                        "signature": response.headers.get("Server-Signature", ""),
                    }
            ending = Ending.ANSWERED
        except TimeoutError:
            ending = Ending.TIMED_OUT
        except (aiohttp.ClientError, OSError):
            ending = Ending.BROKEN if trace.is_connected else Ending.UNSENT
        call = CallRecord(
            request_id=request_id,
            is_idempotent=is_idempotent,
            path=path,
            daemon=daemon.name,
            sent_s=sent_s,
            ended_s=time.monotonic(),
            ending=ending,
            incarnation=incarnation,
            added_in=added_in,
            **answer,
        )
        self.calls.append(call)
        return call


async def soak(*, seed: int, seconds: float, folder: Path | None = None) -> Report:
    """Run one soak and return its report."""
    with tempfile.TemporaryDirectory() as temporary:
        async with World(folder or Path(temporary), random.Random(seed)) as world:
            return await _soak(world, seed=seed, seconds=seconds)


async def _soak(world: World, *, seed: int, seconds: float) -> Report:
    await world.configure()
    for number in range(TARGETS):
        await world.add_target(f"dc-{number % 2 + 1}")
    for number in range(DAEMONS):
        await world.add_daemon(f"dc-{number % 2 + 1}")
    callers = Callers(world, seed=seed)
    violations = await _wait_served(world, callers, START_TIMEOUT_S)
    injected: list[str] = []
    calling = [asyncio.create_task(callers.run()) for _ in range(CALLERS)]
    series = [asyncio.create_task(run_series(world, injected)) for _ in range(SERIES)]
    await asyncio.sleep(seconds)
    violations += await _end(series)
    await _calm(world)
    violations += await _wait_served(world, callers, RECOVERY_TIMEOUT_S)
    callers.end()
    await asyncio.gather(*calling)
    runs = [run for target in world.all_targets for run in target.runs]
    violations += find_violations(callers.calls, runs, world.ends)
    violations += find_stale_configurations(
        callers.calls, world.changes, world.disturbances
    )
    endings = Counter(str(each.status or each.ending) for each in callers.calls)
    return Report(seed, Counter(injected), endings, violations)


async def _end(tasks) -> list[Violation]:
    """End tasks; one that had failed is a violation."""
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    return [
        Violation("a daemon did not stop in time", repr(each))
        for each in results
        if isinstance(each, Exception)
    ]


async def _calm(world: World) -> None:
    """End every fault; a version that must not be taken is followed by another."""
    await world.configure()
    faults = world.store.faults
    faults.refused, faults.is_silent, faults.delay_s = 0, False, 0.0
    for target in world.targets.values():
        target.gray = None
        target.relay.is_cut_to_server = target.relay.is_cut_to_client = False
    for daemon in world.daemons:
        daemon.store.is_cut_to_server = daemon.store.is_cut_to_client = False
        daemon.send_signal(signal.SIGCONT)
        if daemon.is_stopping or not daemon.is_running:
            await world.restart(daemon)


async def _wait_served(world: World, callers: Callers, timeout_s) -> list[Violation]:
    """Wait until each daemon answers several requests in a row with success."""
    found = []
    async with make_session(aiohttp.TCPConnector(limit=0)) as session:
        for daemon in world.daemons:
            row = 0
            try:
                async with asyncio.timeout(timeout_s):
                    while row < RECOVERED_ANSWERS:
                        call = await callers.call(session, daemon)
                        row = row + 1 if call.status == 200 else 0
                        await asyncio.sleep(0.1)
            except TimeoutError:
                tail = daemon.log_path.read_text(errors="replace")[-2000:]
                found.append(Violation("does not serve", f"{daemon.name}:\n{tail}"))
    return found
