"""The demo: both deployments, a target with a gray failure and a planned stop.

It starts the stand-ins and three daemons as processes, and applies the templates and
services of ``examples/``. For half a minute it sends requests while one target
answers its health endpoint but fails its work, and another has a planned stop. It
prints the results, and exits with an error if an invariant was violated.
"""

import asyncio
import datetime
import itertools
import os
import re
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random

import aiohttp

from dogwoodhook.clock import SystemClock
from dogwoodhook.testing.fleet import HOST, LocalFleet
from dogwoodhook.testing.load import Callers, LoadPlan, RequestKind
from dogwoodhook.testing.target_record import RecordBody
from dogwoodhook.testing.verdict import (
    TargetRun,
    cut_runs,
    find_violations,
    last_start_s,
)

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
DEPLOYMENTS = ("mukamana", "tienvarsikassa")
DAEMON_DATA_CENTRES = ("kigali-1", "kigali-1", "helsinki-1")
LOAD_S = 32.0
GRAY_AFTER_S = 8.0
STOP_AFTER_S = 25.0
STOP_LASTS_S = 60.0
GRAY_SERVICE = "allocations"
STOP_SERVICE = "payouts"
SHOWN_EVENTS = frozenset({"301", "302", "401", "402", "403", "404", "503"})
SEED = 20261204
MIN_TRIAL_GAP_S = 2.0
"""Work on the gray target at least this long after the previous work is a trial."""

_ADDRESS = re.compile(r'^(\S+) = "127\.0\.0\.1:(\d+)"', re.MULTILINE)
_PREFIX = re.compile(r'^path_prefix = "(/[^/"]+)"', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class ServiceFile:
    """A service's file, its targets' ports by name, and its first route's prefix."""

    name: str
    path: Path
    ports: dict[str, int]
    prefix: str


@dataclass(frozen=True, slots=True)
class Faults:
    """The targets with faults, and when these begin; times are elapsed seconds."""

    gray_port: int
    gray_at_s: float
    stopped_port: int
    stopped_at_s: float


def read_service_files() -> list[ServiceFile]:
    """Return the services of the examples."""
    files = []
    for deployment in DEPLOYMENTS:
        for path in sorted((EXAMPLES / deployment).glob("*.toml")):
            text = path.read_text()
            prefix = _PREFIX.search(text)
            if path.name == "template.toml" or prefix is None:
                continue
            ports = {name: int(port) for name, port in _ADDRESS.findall(text)}
            files.append(ServiceFile(path.stem, path, ports, prefix.group(1)))
    return files


def load_plan(service: ServiceFile) -> LoadPlan:
    """Return the load of a service: a mix of GET, POST and PUT requests."""
    return LoadPlan(
        service=service.name,
        kinds=(
            RequestKind("GET", f"{service.prefix}/7", is_idempotent=True, weight=6),
            RequestKind(
                "POST", service.prefix, is_idempotent=False, weight=2, body_bytes=500
            ),
            RequestKind(
                "POST",
                service.prefix,
                is_idempotent=False,
                body_bytes=300,
                has_key=True,
            ),
            RequestKind(
                "PUT",
                f"{service.prefix}/file",
                is_idempotent=False,
                weight=0.5,
                body_bytes=512 * 1024,
            ),
        ),
        workspaces=tuple(f"{service.name}-workspace-{n}" for n in range(20)),
    )


class DemoError(Exception):
    """A step of the demo failed."""


async def run_demo() -> int:
    """Run the demo, and return the exit status."""
    services = read_service_files()
    ports = [
        range(min(each.ports.values()), max(each.ports.values()) + 1)
        for each in services
    ]
    print(f"{len(services)} services, {sum(map(len, ports))} targets, 3 daemons")
    async with LocalFleet(
        daemons=len(DAEMON_DATA_CENTRES),
        target_ports=ports,
        data_centres=DAEMON_DATA_CENTRES,
    ) as fleet:
        await apply_examples(fleet, services)
        await fleet.wait_ready()
        callers = Callers([each.caller_url for each in fleet.daemons], Random(SEED))
        load = asyncio.create_task(
            callers.run([load_plan(each) for each in services], seconds=LOAD_S)
        )
        faults = await inject_faults(fleet, services)
        await load
        runs = await read_runs(services)
        logs = [line for each in fleet.daemons for line in read_log(each.log_path)]
        print_logs(logs)
        return print_report(callers, runs, faults)


async def apply_examples(fleet: LocalFleet, services: Sequence[ServiceFile]) -> None:
    """Apply the examples' templates and services with the command-line client."""
    for deployment in DEPLOYMENTS:
        await run_command(
            fleet,
            "template",
            "apply",
            shown_path(EXAMPLES / deployment / "template.toml"),
        )
    for service in services:
        await run_command(fleet, "service", "apply", shown_path(service.path), "--wait")


def shown_path(path: Path) -> str:
    """Return a path as an operator in the project's folder would write it."""
    return os.path.relpath(path)


async def run_command(fleet: LocalFleet, *arguments: str) -> None:
    """Run an operator's command, and print its output."""
    status, output = await fleet.run_cli(*arguments)
    print(f"$ dogwoodhook {' '.join(arguments)}")
    if not status:
        print(output.partition("\n")[0])
    else:
        print(output)
        raise DemoError(f"exit status {status}")


async def inject_faults(fleet: LocalFleet, services: Sequence[ServiceFile]) -> Faults:
    """Make one target fail its work, and schedule the stop of another."""
    clock = SystemClock()
    by_name = {service.name: service for service in services}
    gray_name, gray_port = next(iter(by_name[GRAY_SERVICE].ports.items()))
    stopped_name, stopped_port = next(iter(by_name[STOP_SERVICE].ports.items()))
    stop_wall_s = clock.wall_s() + STOP_AFTER_S
    stopped_at_s = clock.now_s() + STOP_AFTER_S
    await run_command(
        fleet,
        "stop",
        "schedule",
        STOP_SERVICE,
        stopped_name,
        f"--start={iso_time(stop_wall_s)}",
        f"--end={iso_time(stop_wall_s + STOP_LASTS_S)}",
        "--reason=demo",
    )
    await asyncio.sleep(GRAY_AFTER_S)
    await fleet.put_target_faults(gray_port, failing_share=1.0, health="good")
    print(f"{gray_name} answers its health endpoint and fails its work from now on")
    return Faults(gray_port, clock.now_s(), stopped_port, stopped_at_s)


def iso_time(wall_s: float) -> str:
    """Return a wall-clock time in ISO 8601 format, as the command line expects it."""
    return datetime.datetime.fromtimestamp(wall_s, datetime.UTC).isoformat()


async def read_runs(services: Sequence[ServiceFile]) -> list[TargetRun]:
    """Return the runs of every target."""
    runs = []
    async with aiohttp.ClientSession() as session:
        for port in (port for each in services for port in each.ports.values()):
            async with session.get(f"http://{HOST}:{port}/_record") as response:
                record = RecordBody.model_validate_json(await response.read())
            runs += [TargetRun(port, run) for run in record.runs]
    return runs


def read_log(path: Path) -> list[str]:
    """Return the lines of a daemon's log with events in ``SHOWN_EVENTS``."""
    lines = path.read_text().splitlines()
    return [
        line
        for line in lines
        if len(line.split()) > 2 and line.split()[2] in SHOWN_EVENTS
    ]


def print_logs(lines: Sequence[str]) -> None:
    """Print the daemons' actions and their reasons, as logged."""
    print("\nWhat the daemons did, and why:")
    for line in sorted(lines):
        print(f"  {line}")


def print_report(callers: Callers, runs: Sequence[TargetRun], faults: Faults) -> int:
    """Print the results, and return the exit status."""
    outcomes = Counter(record.outcome for record in callers.records)
    print(f"\nRequests by outcome ({len(callers.records)} in all):")
    for outcome, count in outcomes.most_common():
        print(f"  {count:6d}  {outcome}")
    failed = sum(1 for record in callers.records if record.status >= 500)
    print(f"  {failed:6d}  of them with a status of 500 or above")
    print_detection(runs, faults)
    last_stop_s = last_start_s(runs, faults.stopped_port) or 0.0
    is_late = last_stop_s > faults.stopped_at_s
    print(
        f"Last work before the planned stop: {faults.stopped_at_s - last_stop_s:.2f} s"
    )
    cut = cut_runs(runs, faults.stopped_port)
    print(f"Requests in flight cut by the planned stop: {len(cut)}")
    violations = find_violations(callers.records, runs)
    for violation in violations:
        print(f"BROKEN: {violation.invariant}: request {violation.nonce}")
    if is_late:
        print("BROKEN: a target in a planned stop receives no new work")
    has_passed = not violations and not is_late and not cut
    print("\nEvery invariant held." if has_passed else "\nAn invariant was violated.")
    return 0 if has_passed else 1


def print_detection(runs: Sequence[TargetRun], faults: Faults) -> None:
    """Print how long the gray target received work, and the number of its trials."""
    starts = sorted(
        each.run.started_s - faults.gray_at_s
        for each in runs
        if each.port == faults.gray_port and each.run.started_s > faults.gray_at_s
    )
    pairs = zip([0.0, *starts], starts, strict=False)
    before_trials = [
        start
        for _, start in itertools.takewhile(
            lambda pair: pair[1] - pair[0] < MIN_TRIAL_GAP_S, pairs
        )
    ]
    detection_s = before_trials[-1] if before_trials else 0.0
    print(f"\nDetection time, until the last work before trials: {detection_s:.2f} s")
    print(
        "Trials of the gray target with idempotent work: "
        f"{len(starts) - len(before_trials)}"
    )


def main(arguments: Sequence[str]) -> None:
    """Run the demo as a program."""
    try:
        sys.exit(asyncio.run(run_demo()))
    except DemoError as error:
        sys.exit(f"The demo failed before its end: {error}")
