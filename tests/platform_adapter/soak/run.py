"""One soak: callers, faults, and the verdict."""

import asyncio
import random
import signal
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from dogwoodhook.transport.target_sessions import make_session
from tests.platform_adapter.soak.callers import Callers
from tests.platform_adapter.soak.faults import run_series
from tests.platform_adapter.soak.records import (
    Violation,
    find_kept,
    find_late_stops,
    find_stale_configurations,
    find_violations,
    find_work_for_nobody,
)
from tests.platform_adapter.soak.world import World

SERIES = 3
START_TIMEOUT_S = 60.0
RECOVERY_TIMEOUT_S = 60.0
"""Time in which every daemon serves again once nothing disturbs it; generous, since
the machine may be busy."""

RECOVERED_ANSWERS = 5
WATCH_INTERVAL_S = 0.05


@dataclass(frozen=True)
class Size:
    """How many take part."""

    daemons: int = 4
    targets: int = 6
    callers: int = 18


@dataclass
class Report:
    """What a soak did and what it found."""

    seed: int
    injected: Counter
    endings: Counter
    checked: Counter = field(default_factory=Counter)
    late_s: float = 0.0
    """How late the soak's own event loop was at worst; times it saw may be so wrong."""

    violations: list[Violation] = field(default_factory=list)

    def __str__(self) -> str:
        lines = [
            f"seed {self.seed}: {len(self.violations)} violations",
            f"  faults: {dict(self.injected)}",
            f"  requests: {dict(self.endings)}",
            f"  promises: {dict(self.checked)}",
            f"  own lateness: {self.late_s:.2f} s",
        ]
        return "\n".join(lines + [f"  {each}" for each in self.violations])


async def soak(
    *, seed: int, seconds: float, folder: Path | None = None, size: Size | None = None
) -> Report:
    """Run one soak and return its report."""
    with tempfile.TemporaryDirectory() as temporary:
        async with World(folder or Path(temporary), random.Random(seed)) as world:
            return await _soak(world, size or Size(), seed=seed, seconds=seconds)


async def _soak(world: World, size: Size, *, seed: int, seconds: float) -> Report:
    await world.configure()
    for number in range(size.targets):
        await world.add_target(f"dc-{number % 2 + 1}")
    for number in range(size.daemons):
        await world.add_daemon(f"dc-{number % 2 + 1}")
    callers = Callers(world, seed=seed)
    violations = await _wait_served(world, callers, START_TIMEOUT_S)
    injected: list[str] = []
    late_s = [0.0]
    watching = asyncio.create_task(_watch_lateness(late_s))
    calling = callers.start(size.callers)
    series = [asyncio.create_task(run_series(world, injected)) for _ in range(SERIES)]
    await asyncio.sleep(seconds)
    violations += await _end(series)
    await _calm(world)
    violations += await _wait_served(world, callers, RECOVERY_TIMEOUT_S)
    callers.end()
    await asyncio.gather(*calling)
    watching.cancel()
    runs = [run for target in world.all_targets for run in target.runs]
    calls, ends, disturbances = callers.calls, world.ends, world.disturbances
    verdicts = (
        find_violations(calls, runs, ends, disturbances)
        + find_stale_configurations(calls, world.changes, disturbances)
        + find_late_stops(ends, disturbances)
        + find_work_for_nobody(calls, runs, ends, disturbances)
        + find_kept(calls, ends, disturbances)
    )
    violations += verdicts.broken
    endings = Counter(str(each.status or each.ending) for each in calls)
    return Report(
        seed, Counter(injected), endings, verdicts.checked, max(late_s), violations
    )


async def _watch_lateness(late_s: list[float]) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + WATCH_INTERVAL_S
        await asyncio.sleep(WATCH_INTERVAL_S)
        late_s.append(loop.time() - due_s)


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
    world.store.faults.clear()
    for target in world.targets.values():
        target.gray = None
        target.relay.is_cut_to_server = target.relay.is_cut_to_client = False
    for daemon in world.daemons:
        daemon.door.faults.clear()
        daemon.store.is_cut_to_server = daemon.store.is_cut_to_client = False
        daemon.send_signal(signal.SIGCONT)
        if daemon.is_stopping or not daemon.is_running:
            await world.restart(daemon)


async def _wait_served(world: World, callers: Callers, timeout_s) -> list[Violation]:
    """Wait until each daemon answers several requests in a row with success."""
    async with make_session(aiohttp.TCPConnector(limit=0)) as session:
        found = await asyncio.gather(
            *(
                _wait_served_by(daemon, callers, session, timeout_s)
                for daemon in world.daemons
            )
        )
    return [each for each in found if each is not None]


async def _wait_served_by(daemon, callers, session, timeout_s) -> Violation | None:
    row = 0
    try:
        async with asyncio.timeout(timeout_s):
            while row < RECOVERED_ANSWERS:
                call = await callers.probe(session, daemon)
                row = row + 1 if call.status == 200 else 0
                await asyncio.sleep(0.1)
    except TimeoutError:
        tail = daemon.log_path.read_text(errors="replace")[-2000:]
        return Violation("does not serve", f"{daemon.name}:\n{tail}")
    return None
