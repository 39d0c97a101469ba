"""Seconds from a change's acceptance until it is in force on every daemon.

Run with ``python -m benchmarks.propagation [DAEMONS]``. Starts the platform's
stand-in and the daemons as processes on loopback, applies changes under each
condition, and prints JSON. The target is the users': within 5 s everywhere.
Resolution is that of the polling, 0.2 s.
"""

import asyncio
import json
import statistics
import sys
from dataclasses import asdict, dataclass

from expression import Result

from dogwoodhook.cli.admin_client import open_admin_client
from dogwoodhook.cli.version_wait import POLL_INTERVAL_S, VersionWait
from dogwoodhook.clock import SystemClock
from dogwoodhook.coordination.configuration import PROPAGATION_BOUND_S
from dogwoodhook.coordination.editing import Accepted, apply_documents
from dogwoodhook.state.model import Parameters, Template
from dogwoodhook.testing.fleet import LocalFleet
from dogwoodhook.transport.platform_client import open_platform

DEFAULT_DAEMONS = 32
CHANGES = 10
WAIT_TIMEOUT_S = 30.0
PLATFORM_DEADLINE_MS = 10_000


@dataclass(frozen=True, slots=True)
class Condition:
    """A state of the platform under which changes are applied."""

    name: str
    latency_ms: int = 0
    lost_answers: int = 0


CONDITIONS = (
    Condition("well"),
    Condition("table answers 400 ms late", latency_ms=400),
    Condition("first answer lost", lost_answers=1),
)


@dataclass(frozen=True, slots=True)
class Propagation:
    """How long changes took to reach every daemon."""

    condition: str
    daemons: int
    changes: int
    median_s: float
    longest_s: float
    never: int
    target_s: float
    resolution_s: float


class ApplyError(Exception):
    """A change was not accepted."""


async def measure(fleet: LocalFleet, condition: Condition, first: int) -> Propagation:
    """Apply changes one after the other, each awaited on all daemons."""
    clock = SystemClock()
    seconds: list[float] = []
    never = 0
    async with (
        open_platform(fleet.platform_url, deadline_ms=PLATFORM_DEADLINE_MS) as platform,
        open_admin_client() as admin,
    ):
        for number in range(CHANGES):
            await fleet.put_platform_faults(
                latency_ms=condition.latency_ms, lost_answers=condition.lost_answers
            )
            template = Template("tills", Parameters(deadline_ms=first + number))
            result = await apply_documents(
                platform, [template], author="benchmark", clock=clock
            )
            match result:
                case Result(tag="ok", ok=Accepted(version=version)):
                    waiting = VersionWait(platform, admin, clock)
                case Result(error=error):
                    raise ApplyError(str(error))
            waited = await waiting.wait(version, timeout_s=WAIT_TIMEOUT_S)
            never += len(waited.missing)
            seconds.append(waited.elapsed_s)
    await fleet.put_platform_faults()
    return Propagation(
        condition=condition.name,
        daemons=len(fleet.daemons),
        changes=CHANGES,
        median_s=round(statistics.median(seconds), 2),
        longest_s=round(max(seconds), 2),
        never=never,
        target_s=PROPAGATION_BOUND_S,
        resolution_s=POLL_INTERVAL_S,
    )


async def run(daemons: int) -> list[Propagation]:
    """Return one result for each condition."""
    async with LocalFleet(daemons=daemons, target_ports=[]) as fleet:
        await fleet.wait_ready()
        return [
            await measure(fleet, condition, first=1_000 * (index + 1))
            for index, condition in enumerate(CONDITIONS)
        ]


def main(arguments: list[str]) -> int:
    """Measure and print; fail where a change was never in force somewhere."""
    daemons = int(arguments[0]) if arguments else DEFAULT_DAEMONS
    results = asyncio.run(run(daemons))
    print(json.dumps([asdict(each) for each in results], indent=2))
    return 1 if any(each.never for each in results) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
