"""Measures the cost of idle daemon processes and the propagation time of changes.

    python -m benchmarks.control_fleet

Processor time, memory and bytes sent to peers are measured while the daemons are
idle; then changes are applied and timed until they are in force on all daemons. Sizes
are numbers of daemons at a fixed number of services, and numbers of services at a
fixed number of daemons. The slopes are recorded in ``docs/CAPACITY.md``.
"""

import asyncio
import json
import re
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import aiohttp
import psutil

from dogwoodhook.clock import SystemClock
from dogwoodhook.state.model import (
    Parameters,
    Route,
    ServiceDefinition,
    Target,
    Template,
)
from dogwoodhook.testing.fleet import DaemonProcess, LocalFleet

RESULTS = Path(__file__).parent / "results" / "control_fleet.json"
DAEMON_SIZES = (8, 16, 32)
SERVICE_SIZES = (8, 64, 256)
FIXED_SERVICES = 8
FIXED_DAEMONS = 4
TARGETS_PER_SERVICE = 9
ROUTES_PER_SERVICE = 4
IDLE_S = 10.0
CHANGES = 10
MAX_PROPAGATION_S = 5.0
MIB = 2**20

_PEER_BYTES = re.compile(r"^dogwoodhook_peer_sent_bytes_total(?:\{.*\})? (\S+)$", re.M)


@dataclass(frozen=True, slots=True)
class DaemonCounters:
    """A daemon's counters at one time."""

    cpu_s: float
    resident_bytes: int
    sent_bytes: float


@dataclass(frozen=True, slots=True)
class FleetCost:
    """Means over the daemons of one fleet, and the slowest propagation."""

    daemons: int
    services: int
    idle_cpu_percent: float
    resident_mib: float
    peer_bytes_per_s: float
    propagation_s: float


def make_service(number: int) -> ServiceDefinition:
    """Return a service; all services of this benchmark have the same size."""
    return ServiceDefinition(
        name=f"service-{number}",
        template="bench",
        workspace=f"workspace-{number}",
        targets=tuple(
            Target(f"t{each}", f"dc-{each % 3}", "127.0.0.1", 1 + number * 10 + each)
            for each in range(TARGETS_PER_SERVICE)
        ),
        routes=tuple(
            Route(f"/service-{number}/{each}") for each in range(ROUTES_PER_SERVICE)
        ),
    )


async def read_counters(
    session: aiohttp.ClientSession, daemon: DaemonProcess
) -> DaemonCounters:
    """Return a daemon's counters."""
    assert daemon.process is not None
    process = psutil.Process(daemon.process.pid)
    cpu = process.cpu_times()
    async with session.get(f"{daemon.admin_url}/metrics") as response:
        found = _PEER_BYTES.search(await response.text())
    sent = float(found.group(1)) if found else 0.0
    return DaemonCounters(cpu.user + cpu.system, process.memory_info().rss, sent)


async def read_all_counters(fleet: LocalFleet) -> list[DaemonCounters]:
    """Return the counters of every daemon."""
    async with aiohttp.ClientSession() as session:
        return [await read_counters(session, each) for each in fleet.daemons]


async def measure_propagation(fleet: LocalFleet) -> float:
    """Return the longest time from a change's acceptance until it is in force."""
    clock = SystemClock()
    longest_s = 0.0
    for number in range(CHANGES):
        deadline_ms = 5_000 + number
        version = await fleet.apply(
            Template("bench", Parameters(deadline_ms=deadline_ms))
        )
        accepted_s = clock.now_s()
        await fleet.wait_version(version)
        longest_s = max(longest_s, clock.now_s() - accepted_s)
    return longest_s


async def measure_fleet(daemons: int, services: int) -> FleetCost:
    """Return the cost of one fleet."""
    async with LocalFleet(daemons=daemons, target_ports=[]) as fleet:
        await fleet.apply(Template("bench", Parameters()))
        batch = [make_service(number) for number in range(services)]
        version = await fleet.apply(*batch)
        await fleet.wait_version(version)
        await fleet.wait_ready()
        await asyncio.sleep(2.0)
        before = await read_all_counters(fleet)
        await asyncio.sleep(IDLE_S)
        after = await read_all_counters(fleet)
        propagation_s = await measure_propagation(fleet)
    pairs = list(zip(before, after, strict=True))
    return FleetCost(
        daemons=daemons,
        services=services,
        idle_cpu_percent=_mean(
            [(end.cpu_s - start.cpu_s) / IDLE_S * 100 for start, end in pairs]
        ),
        resident_mib=_mean([end.resident_bytes / MIB for _, end in pairs]),
        peer_bytes_per_s=_mean(
            [(end.sent_bytes - start.sent_bytes) / IDLE_S for start, end in pairs]
        ),
        propagation_s=propagation_s,
    )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


async def run() -> list[FleetCost]:
    """Measure every size."""
    sizes = [(daemons, FIXED_SERVICES) for daemons in DAEMON_SIZES]
    sizes += [(FIXED_DAEMONS, services) for services in SERVICE_SIZES[1:]]
    costs = []
    for daemons, services in sizes:
        cost = await measure_fleet(daemons, services)
        print(
            f"{cost.daemons:4d} daemons {cost.services:5d} services:"
            f" {cost.idle_cpu_percent:6.2f} % of a core idle,"
            f" {cost.resident_mib:6.1f} MiB, {cost.peer_bytes_per_s:8.0f} B/s to peers,"
            f" in force everywhere after {cost.propagation_s:5.2f} s at the longest",
            flush=True,
        )
        costs.append(cost)
    return costs


def main() -> int:
    """Run the benchmark; return 1 if a change took over ``MAX_PROPAGATION_S``."""
    costs = asyncio.run(run())
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps([asdict(cost) for cost in costs], indent=2) + "\n")
    slow = [cost for cost in costs if cost.propagation_s > MAX_PROPAGATION_S]
    for cost in slow:
        print(f"missed: in force within {MAX_PROPAGATION_S} s: {cost}")
    return 1 if slow else 0


if __name__ == "__main__":
    sys.exit(main())
