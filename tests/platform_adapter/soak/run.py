"""Runs one soak: starts daemons and callers, injects faults, checks the promises."""

import asyncio
import random
import signal
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from dogwoodhook.transport.target_sessions import make_session
from tests.platform_adapter.soak.announcements import (
    Announcer,
    find_ignored_announcements,
)
from tests.platform_adapter.soak.callers import Callers
from tests.platform_adapter.soak.faults import run_series
from tests.platform_adapter.soak.harmful import (
    HarmfulCaller,
    find_false_refusals,
    find_unstopped_requests,
)
from tests.platform_adapter.soak.records import (
    Violation,
    find_abandoned_work,
    find_late_answers,
    find_late_stops,
    find_stale_configurations,
    find_violations,
)
from tests.platform_adapter.soak.reused_addresses import AddressReuser
from tests.platform_adapter.soak.store_returns import StoreReturner
from tests.platform_adapter.soak.workspaces import (
    WorkspaceKeys,
    find_wrong_workspaces,
)
from tests.platform_adapter.soak.world import World

SERIES = 3
"""Number of series of faults that run at the same time."""

START_TIMEOUT_S = 60.0
RECOVERY_TIMEOUT_S = 60.0
"""Time in which every daemon must serve again after the faults ended; long, because the
machine may be busy."""

RECOVERED_ANSWERS = 5
"""Successful answers in a row after which a daemon counts as serving."""

WATCH_INTERVAL_S = 0.05


@dataclass(frozen=True)
class Size:
    """The number of daemons, targets and callers of a soak."""

    daemons: int = 4
    targets: int = 6
    callers: int = 18


@dataclass
class Report:
    """The faults, requests and violations of one soak."""

    seed: int
    injected: Counter
    endings: Counter
    checked: Counter = field(default_factory=Counter)
    max_lateness_s: float = 0.0
    """The longest delay of the soak's own event loop; recorded times may be wrong by as
    much."""

    violations: list[Violation] = field(default_factory=list)

    def __str__(self) -> str:
        lines = [
            f"seed {self.seed}: {len(self.violations)} violations",
            f"  faults: {dict(self.injected)}",
            f"  requests: {dict(self.endings)}",
            f"  promises: {dict(self.checked)}",
            f"  own lateness: {self.max_lateness_s:.2f} s",
        ]
        return "\n".join(lines + [f"  {each}" for each in self.violations])


async def soak(
    *, seed: int, seconds: float, folder: Path | None = None, size: Size | None = None
) -> Report:
    """Run one soak and return its report."""
    with tempfile.TemporaryDirectory() as temporary:
        # A generator of its own leaves the faults of known seeds as they are.
        copy_rng = random.Random(f"copies {seed}")
        path = folder or Path(temporary)
        keys = WorkspaceKeys(seed=seed)
        async with World(path, random.Random(seed), copy_rng, keys) as world:
            return await _soak(world, size or Size(), seed=seed, seconds=seconds)


async def _soak(world: World, size: Size, *, seed: int, seconds: float) -> Report:
    await world.configure()
    for number in range(size.targets):
        await world.add_target(f"dc-{number % 2 + 1}")
    for number in range(size.daemons):
        await world.add_daemon(f"dc-{number % 2 + 1}")
    callers = Callers(world, seed=seed)
    violations = await _wait_until_serving(world, callers, START_TIMEOUT_S)
    injected: list[str] = []
    lateness_s = [0.0]
    watcher = asyncio.create_task(_watch_lateness(lateness_s))
    caller_tasks = callers.start(size.callers)
    harmful = HarmfulCaller(world, seed=seed)
    harmful_task = asyncio.create_task(harmful.run())
    returner = StoreReturner(world, seed=seed)
    others = [Announcer(world, seed=seed), AddressReuser(world, seed=seed), returner]
    other_tasks = [asyncio.create_task(each.run()) for each in others]
    series = [asyncio.create_task(run_series(world, injected)) for _ in range(SERIES)]
    await asyncio.sleep(seconds)
    violations += await _cancel_series([*series, harmful_task, *other_tasks])
    await returner.finish()
    injected += ["store return"] * returner.count
    await _end_faults(world)
    violations += await _wait_until_serving(world, callers, RECOVERY_TIMEOUT_S)
    callers.end()
    await asyncio.gather(*caller_tasks)
    watcher.cancel()
    runs = [run for target in world.all_targets for run in target.runs]
    calls, interruptions, disturbances = (
        callers.calls,
        world.interruptions,
        world.disturbances,
    )
    checks = (
        find_violations(calls, runs, interruptions, disturbances)
        + find_stale_configurations(calls, world.changes, disturbances)
        + find_late_stops(interruptions, disturbances)
        + find_abandoned_work(calls, runs, interruptions, disturbances)
        + find_late_answers(calls, interruptions, disturbances)
    )
    checks += find_wrong_workspaces(calls, runs, world.keys.versions, disturbances)
    arrivals = [
        each for target in world.all_targets for each in target.harmful_arrivals
    ]
    checks += find_unstopped_requests(arrivals, harmful.calls, disturbances)
    checks += find_false_refusals(arrivals, harmful.calls)
    checks += find_ignored_announcements(
        world.all_targets, [*calls, *harmful.calls], disturbances
    )
    violations += checks.broken
    endings = Counter(str(each.status or each.ending) for each in calls)
    return Report(
        seed, Counter(injected), endings, checks.checked, max(lateness_s), violations
    )


async def _watch_lateness(lateness_s: list[float]) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + WATCH_INTERVAL_S
        await asyncio.sleep(WATCH_INTERVAL_S)
        lateness_s.append(loop.time() - due_s)


async def _cancel_series(tasks) -> list[Violation]:
    """Cancel tasks; return a violation for each one that had failed."""
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    return [
        Violation("a daemon did not stop in time", repr(each))
        for each in results
        if isinstance(each, Exception)
    ]


async def _end_faults(world: World) -> None:
    """End every fault; a valid version of the configuration follows an invalid one."""
    await world.configure()
    world.store.faults.clear()
    for target in world.targets.values():
        target.gray_behaviour = None
        target.relay.is_cut_to_server = target.relay.is_cut_to_client = False
    for daemon in world.daemons:
        daemon.store_endpoint.faults.clear()
        daemon.store_relay.is_cut_to_server = daemon.store_relay.is_cut_to_client = (
            False
        )
        daemon.send_signal(signal.SIGCONT)
        if daemon.is_stopping or not daemon.is_running:
            await world.restart(daemon)


async def _wait_until_serving(
    world: World, callers: Callers, timeout_s
) -> list[Violation]:
    """Wait until each daemon answered several requests in a row with success."""
    async with make_session(aiohttp.TCPConnector(limit=0)) as session:
        found = await asyncio.gather(
            *(
                _wait_until_daemon_serves(daemon, callers, session, timeout_s)
                for daemon in world.daemons
            )
        )
    return [each for each in found if each is not None]


async def _wait_until_daemon_serves(
    daemon, callers, session, timeout_s
) -> Violation | None:
    successes = 0
    try:
        async with asyncio.timeout(timeout_s):
            while successes < RECOVERED_ANSWERS:
                call = await callers.probe(session, daemon)
                successes = successes + 1 if call.status == 200 else 0
                await asyncio.sleep(0.1)
    except TimeoutError:
        tail = daemon.log_path.read_text(errors="replace")[-2000:]
        return Violation("does not serve", f"{daemon.name}:\n{tail}")
    return None
