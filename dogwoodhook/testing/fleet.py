"""Runs stand-ins and daemons as processes on loopback, for the demo and for tests.

async with LocalFleet(daemons=3, target_ports=[range(20000, 20006)]) as fleet:
    await fleet.apply(Path("examples/mukamana/template.toml"))
    url = fleet.caller_url(0)
"""

import asyncio
import itertools
import os
import signal
import socket
import sys
import tempfile
from asyncio.subprocess import Process
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

import aiohttp
from expression import Result

from dogwoodhook.clock import SystemClock
from dogwoodhook.coordination.editing import apply_documents
from dogwoodhook.coordination.membership import ADMIN_ROLE, DAEMON_ROLE
from dogwoodhook.coordination.platform import Vm, VmPhase
from dogwoodhook.protocol.platform_api import VmsBody
from dogwoodhook.state.model import Document
from dogwoodhook.testing.serving import LOOPBACK
from dogwoodhook.transport.platform_client import HttpPlatform
from dogwoodhook.transport.status import StatusReport

HOST = LOOPBACK

CLAIM_HOST = "127.0.0.2"
"""Address on which a process binds a port to claim it before it listens on it."""

MAX_CLAIMS = 100
"""Number of ports that a process claims at a time."""
FLEET_SECRET = "secret-of-the-local-fleet"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
FIRST_RANGE_PORT = 23000
LAST_RANGE_PORT = 32000
FIRST_SINGLE_PORT = 10000
LAST_SINGLE_PORT = 19999
DATA_CENTRES = ("kigali-1", "kigali-2", "kigali-3")

_SINGLE_PORT_COUNT = LAST_SINGLE_PORT - FIRST_SINGLE_PORT + 1

_CLAIMS: deque[socket.socket] = deque()

# Processes that run at the same time begin at different ports.
_SINGLE_PORTS = (
    FIRST_SINGLE_PORT + (os.getpid() * 97 + offset) % _SINGLE_PORT_COUNT
    for offset in itertools.count()
)


class StartError(Exception):
    """A process did not start, or documents were not applied.

    For a daemon that did not start, the message is its log.
    """


@dataclass(slots=True)
class DaemonProcess:
    """One ``dogwoodhookd`` with its ports and log file.

    ``platform_url`` is set if the daemon reaches the platform at a different address,
    such as that of a relay.
    """

    name: str
    data_centre: str
    caller_port: int
    admin_port: int
    peer_port: int
    log_path: Path
    process: Process | None = None
    platform_url: str = ""

    @property
    def caller_url(self) -> str:
        """Address for callers."""
        return f"http://{HOST}:{self.caller_port}"

    @property
    def admin_url(self) -> str:
        """Address for operators."""
        return f"http://{HOST}:{self.admin_port}"

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class LocalFleet:
    """The platform stand-in, targets and daemons, started and stopped together."""

    def __init__(
        self,
        *,
        daemons: int,
        target_ports: Sequence[range],
        service_time_ms: float = 5.0,
        data_centres: Sequence[str] = DATA_CENTRES,
        drain_delay_s: float = 0.3,
        daemon_flags: Sequence[str] = (),
    ) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="dogwoodhook-")
        self._target_ports = target_ports
        self._service_time_ms = service_time_ms
        self._drain_delay_s = drain_delay_s
        self._daemon_flags = daemon_flags
        self._processes: list[Process] = []
        self.platform_port = free_port()
        self.daemons = [
            DaemonProcess(
                name=f"daemon-{number}",
                data_centre=data_centres[number % len(data_centres)],
                caller_port=free_port(),
                admin_port=free_port(),
                peer_port=free_port(),
                log_path=Path(self._directory.name) / f"daemon-{number}.log",
            )
            for number in range(daemons)
        ]

    @property
    def platform_url(self) -> str:
        """Address of the platform stand-in."""
        return f"http://{HOST}:{self.platform_port}"

    async def __aenter__(self) -> "LocalFleet":
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stop()

    async def start_daemon(self, daemon: DaemonProcess) -> None:
        """Start a daemon's process, and wait until its admin listener answers."""
        with daemon.log_path.open("ab") as log_file:
            daemon.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dogwoodhook.daemon",
                f"--daemon_name={daemon.name}",
                f"--data_centre={daemon.data_centre}",
                f"--platform_url={daemon.platform_url or self.platform_url}",
                f"--caller_port={daemon.caller_port}",
                f"--admin_port={daemon.admin_port}",
                f"--peer_port={daemon.peer_port}",
                f"--unready_delay_s={self._drain_delay_s}",
                *self._daemon_flags,
                env=self._environment(),
                stderr=log_file,
            )
        self._processes.append(daemon.process)
        try:
            await wait_for_answer(f"{daemon.admin_url}/healthz")
        except TimeoutError:
            raise StartError(daemon.log_path.read_text()) from None

    async def wait_ready(self) -> None:
        """Wait until every daemon is ready."""
        for daemon in self.daemons:
            await wait_for_answer(f"{daemon.admin_url}/readyz")

    async def apply(self, *documents: Document) -> int:
        """Apply documents, and return the configuration version that includes them."""
        async with aiohttp.ClientSession() as session:
            platform = HttpPlatform(session, self.platform_url)
            result = await apply_documents(
                platform, documents, author="local fleet", clock=SystemClock()
            )
        match result:
            case Result(tag="ok", ok=accepted):
                return accepted.version
            case Result(error=error):
                raise StartError(str(error))

    async def wait_version(self, version: int) -> None:
        """Wait until a configuration version is in force on every daemon."""
        for daemon in self.daemons:
            while await self.version_of(daemon) < version:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def version_of(self, daemon: DaemonProcess) -> int:
        """Return the configuration version in force on a daemon."""
        return (await self.status_of(daemon)).configuration_version

    async def status_of(self, daemon: DaemonProcess) -> StatusReport:
        """Return a daemon's status report."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"{daemon.admin_url}/status") as response,
        ):
            return StatusReport.model_validate_json(await response.read())

    async def run_cli(self, *arguments: str) -> tuple[int, str]:
        """Run ``dogwoodhook``, and return its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dogwoodhook.cli",
            *arguments,
            f"--platform_url={self.platform_url}",
            env=self._environment(),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def put_platform_faults(self, **faults: object) -> None:
        """Set the platform's faults; those that are not named are off."""
        await put_json(f"{self.platform_url}/faults", faults)

    async def put_target_faults(self, port: int, **faults: object) -> None:
        """Set a target's faults; those that are not named are off."""
        await put_json(f"http://{HOST}:{port}/_faults?port={port}", faults)

    async def put_vms(self, leaving: Sequence[str] = ()) -> None:
        """Publish the list of VMs; ``leaving`` names target addresses."""
        vms = [
            Vm(each.name, role, f"{HOST}:{port}", each.data_centre, VmPhase.LIVE)
            for each in self.daemons
            for role, port in (
                (DAEMON_ROLE, each.peer_port),
                (ADMIN_ROLE, each.admin_port),
            )
        ]
        vms += [
            Vm(f"target-{address}", "target", address, "", VmPhase.LEAVING)
            for address in leaving
        ]
        body = VmsBody(vms=tuple(vms)).model_dump(mode="json")
        await put_json(f"{self.platform_url}/vms", body)

    async def _start(self) -> None:
        await self._start_stand_in("platform", f"--port={self.platform_port}")
        for ports in self._target_ports:
            await self._start_stand_in(
                "target",
                f"--ports={ports.start}-{ports.stop - 1}",
                f"--service_time_ms={self._service_time_ms}",
            )
        await wait_for_answer(f"{self.platform_url}/vms")
        for port in itertools.chain.from_iterable(self._target_ports):
            await wait_for_answer(f"http://{HOST}:{port}/healthz")
        ended = [each for each in self._processes if each.returncode is not None]
        if ended:
            raise StartError(f"{len(ended)} stand-in processes exited during startup")
        await self.put_vms()
        await asyncio.gather(*(self.start_daemon(each) for each in self.daemons))

    async def _start_stand_in(self, *arguments: str) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dogwoodhook.testing",
            *arguments,
            stdout=asyncio.subprocess.DEVNULL,
        )
        self._processes.append(process)

    async def _stop(self) -> None:
        running = [each for each in self._processes if each.returncode is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in running:
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
        self._directory.cleanup()

    def _environment(self) -> dict[str, str]:
        return {**os.environ, "DOGWOODHOOK_FLEET_SECRET": FLEET_SECRET}


def free_port() -> int:
    """Return a port of the loopback address that is free now.

    Successive calls return different ports, and none that another process received
    recently and may not be listening on yet. All ports are below the range that the
    system assigns to outgoing connections; otherwise, such a connection could occupy
    the port before the listener binds it.
    """
    for _ in range(_SINGLE_PORT_COUNT):
        port = next(_SINGLE_PORTS)
        if _claim(port) and _is_free(port):
            return port
    raise OSError(f"no free port in {FIRST_SINGLE_PORT}..{LAST_SINGLE_PORT}")


def free_port_range(count: int) -> range:
    """Return ``count`` consecutive ports that are free now."""
    ranges = range(FIRST_RANGE_PORT, LAST_RANGE_PORT - count, count)
    # Processes that run at the same time begin at different ports.
    offset = os.getpid() * 97 % len(ranges)
    for first in itertools.chain(ranges[offset:], ranges[:offset]):
        if all(_is_free(port) for port in range(first, first + count)):
            return range(first, first + count)
    raise OSError(f"no {count} consecutive free ports below {LAST_RANGE_PORT}")


def _claim(port: int) -> bool:
    """Claim a port against other processes for a time; return whether it was free.

    Only the latest ``MAX_CLAIMS`` claims of a process are held.
    """
    claim = socket.socket()
    try:
        claim.bind((CLAIM_HOST, port))
    except OSError:
        claim.close()
        return False
    if len(_CLAIMS) == MAX_CLAIMS:
        _CLAIMS.popleft().close()
    _CLAIMS.append(claim)
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


async def put_json(url: str, body: object) -> None:
    """Send a JSON body with PUT, and raise unless it is accepted."""
    async with (
        aiohttp.ClientSession() as session,
        session.put(url, json=body) as response,
    ):
        response.raise_for_status()


async def wait_for_answer(url: str) -> None:
    """Wait until an address answers with status 200."""
    async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
        while not await _answers(session, url):
            await asyncio.sleep(POLL_INTERVAL_S)


async def _answers(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
