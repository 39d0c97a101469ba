"""Measures what ejection costs a daemon and the table, by daemons and services.

Each daemon refreshes its ejections once a second, at its own offset within the
second. From 10 s to 30 s every daemon proposes to eject one target of each service;
after that, every daemon releases it. This is the worst case: in a real fleet only
daemons with evidence propose. Daemons that refresh in the same 20 ms run
concurrently, so that their reads and writes interleave.

Run it with ``python -m benchmarks.control_ejection``.
"""

import asyncio
import sys
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np
from expression import Result

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.ejection import EjectionManager, EjectionProposal
from dogwoodhook.coordination.platform import (
    CommitError,
    Committed,
    Conflict,
    StoredRow,
    Transaction,
    Unavailable,
    Write,
)
from dogwoodhook.coordination.rows import HEAD_KEY, EjectionPhase, Head
from dogwoodhook.state.model import Parameters, Service, Target
from dogwoodhook.testing.memory_platform import MemoryPlatform

STEPS_PER_S = 50
DURATION_S = 60
EJECT_START_S = 10
RELEASE_START_S = 30
QUIET_PERIOD_S = range(5, EJECT_START_S)
SERVICE_SIZES = (4, 16, 64)
DAEMON_SIZES = (8, 64, 512)
FIXED_SERVICES = 4
FIXED_DAEMONS = 32
TIMED_CALLS = 20_000

MAX_GROWTH = 1.1
"""Largest growth of a daemon's calls from the smallest size to the largest."""

PLANNED_DAEMONS = 2000
"""Number of daemons in the planned fleet."""

TABLE_WRITES_PER_S = 300
"""Writes a second that the table accepts; one ejection and its release need fewer."""


@dataclass(slots=True)
class CountingPlatform(MemoryPlatform):
    """Counts calls and lets other daemons run before each call takes effect."""

    counts: Counter[str] = field(default_factory=Counter)

    async def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, StoredRow], Unavailable]:
        """Count a read and its rows."""
        self.counts["reads"] += 1
        self.counts["rows"] += len(keys)
        await asyncio.sleep(0)
        return await MemoryPlatform.read(self, keys)

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Count a write, and a conflict if it was refused for one."""
        self.counts["writes"] += 1
        await asyncio.sleep(0)
        result = await MemoryPlatform.commit(self, transaction)
        match result:
            case Result(tag="error", error=Conflict()):
                self.counts["conflicts"] += 1
        return result


@dataclass(frozen=True, slots=True)
class Cost:
    """Calls in the quiet period and in total, and one daemon's processor ms/s."""

    quiet: Counter[str]
    total: Counter[str]
    processor_ms: float


def make_service(number: int, *, targets: int = 6) -> Service:
    """Return a service whose capacity floor allows one target to be ejected."""
    listed = tuple(
        Target(f"t{index}", "kigali-1", "127.0.0.1", index) for index in range(targets)
    )
    parameters = Parameters(capacity_floor=targets - 1)
    return Service(f"service-{number}", "ur", parameters, listed, ())


async def tick(
    manager: EjectionManager, services: Sequence[Service], now_s: float
) -> None:
    """Do what a daemon does once a second."""
    await manager.refresh([service.name for service in services])
    for service in services:
        await manager.maintain(
            service, (), leaving=frozenset(), configuration_version=1
        )
        if EJECT_START_S <= now_s < RELEASE_START_S:
            await manager.propose(
                EjectionProposal(
                    service, "t0", "crash", (), frozenset(), frozenset(), 1
                )
            )
        entries = manager.entries(service.name)
        if now_s >= RELEASE_START_S and any(
            entry.phase is EjectionPhase.EJECTED for entry in entries
        ):
            await manager.release(service, "t0", configuration_version=1)


async def run_fleet(daemons: int, services: int) -> Cost:
    """Run a fleet for ``DURATION_S`` of simulated time and count its calls."""
    platform = CountingPlatform()
    platform.table.commit(Transaction((), (Write(HEAD_KEY, Head(1)),), "operator"))
    clock = ManualClock()
    listed = [make_service(number) for number in range(services)]
    managers = [
        EjectionManager(platform, clock, daemon=f"d{number}")
        for number in range(daemons)
    ]
    quiet: Counter[str] = Counter()
    started_s = time.process_time()
    for step in range(DURATION_S * STEPS_PER_S):
        if step == QUIET_PERIOD_S.start * STEPS_PER_S:
            quiet = Counter(platform.counts)
        if step == QUIET_PERIOD_S.stop * STEPS_PER_S:
            quiet = platform.counts - quiet
        due = [
            manager
            for number, manager in enumerate(managers)
            if number * 7 % STEPS_PER_S == step % STEPS_PER_S
        ]
        await asyncio.gather(*(tick(manager, listed, clock.now_s()) for manager in due))
        clock.advance(1 / STEPS_PER_S)
    spent_s = time.process_time() - started_s
    assert not any(
        manager.entries(each.name) for manager in managers for each in listed
    )
    return Cost(quiet, platform.counts, spent_s * 1000 / daemons / DURATION_S)


def report(daemons: int, services: int) -> Cost:
    """Run one size and print its line."""
    cost = asyncio.run(run_fleet(daemons, services))
    daemon_seconds = daemons * len(QUIET_PERIOD_S)
    print(
        f"{daemons:8} {services:9}"
        f" {cost.quiet['reads'] / daemon_seconds:14.2f}"
        f" {cost.quiet['rows'] / daemon_seconds:13.1f}"
        f" {cost.quiet['writes'] / daemon_seconds:15.2f}"
        f" {cost.total['writes'] / services:15.1f}"
        f" {cost.total['conflicts'] / services:18.1f}"
        f" {cost.processor_ms:17.3f}"
    )
    return cost


def slope(sizes: Sequence[int], values: Sequence[float]) -> float:
    """Return the least-squares slope of values over sizes."""
    return float(np.polyfit(sizes, values, 1)[0])


def time_exclusions() -> None:
    """Print the time of one call of ``excluded()``, with and without an entry."""
    clock = ManualClock()
    platform = MemoryPlatform()
    platform.table.commit(Transaction((), (Write(HEAD_KEY, Head(1)),), "operator"))
    manager = EjectionManager(platform, clock, daemon="d0")
    service = make_service(0)
    for label in ("no entry", "one entry"):
        started_s = time.process_time()
        for _ in range(TIMED_CALLS):
            manager.excluded(service, (), leaving=frozenset(), configuration_version=1)
        spent_us = (time.process_time() - started_s) * 1e6 / TIMED_CALLS
        print(f"excluded() with {label}: {spent_us:.1f} us")
        proposal = EjectionProposal(
            service, "t0", "crash", (), frozenset(), frozenset(), 1
        )
        asyncio.run(manager.propose(proposal))


def main() -> int:
    """Print the costs and their slopes; return 1 if a bound is broken."""
    print(
        " daemons  services   reads/daemon/s rows/daemon/s writes/daemon/s"
        " writes/service conflicts/service processor ms/d/s"
    )
    by_services = [report(FIXED_DAEMONS, size) for size in SERVICE_SIZES]
    by_daemons = [report(size, FIXED_SERVICES) for size in DAEMON_SIZES]
    rows = [
        each.quiet["rows"] / FIXED_DAEMONS / len(QUIET_PERIOD_S) for each in by_services
    ]
    processor_ms = [each.processor_ms for each in by_services]
    writes = [each.total["writes"] / FIXED_SERVICES for each in by_daemons]
    print(f"rows a second for each service: {slope(SERVICE_SIZES, rows):.2f}")
    print(
        "processor ms a second for each service: "
        f"{slope(SERVICE_SIZES, processor_ms):.4f}"
    )
    print(
        "writes of an ejection and its release for each daemon: "
        f"{slope(DAEMON_SIZES, writes):.3f}"
    )
    time_exclusions()
    return check(by_services, by_daemons)


def check(by_services: Sequence[Cost], by_daemons: Sequence[Cost]) -> int:
    """Return 1 if quiet calls grow with size or an ejection costs too many writes."""
    reads_by_services = [each.quiet["reads"] for each in by_services]
    reads_by_daemons = [
        each.quiet["reads"] / size
        for each, size in zip(by_daemons, DAEMON_SIZES, strict=True)
    ]
    growths = [
        max(reads) / min(reads) for reads in (reads_by_services, reads_by_daemons)
    ]
    writes = [each.total["writes"] / FIXED_SERVICES for each in by_daemons]
    has_no_quiet_writes = all(
        each.quiet["writes"] == 0 for each in (*by_services, *by_daemons)
    )
    is_within_bounds = (
        max(growths) <= MAX_GROWTH
        and slope(DAEMON_SIZES, writes) * PLANNED_DAEMONS <= TABLE_WRITES_PER_S
        and has_no_quiet_writes
    )
    print("bounds hold" if is_within_bounds else "a bound is broken")
    return 0 if is_within_bounds else 1


if __name__ == "__main__":
    sys.exit(main())
