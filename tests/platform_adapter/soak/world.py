"""The processes and stand-ins of a soak."""

import asyncio
import os
import random
import signal
import sys
import time
from asyncio.subprocess import Process
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

from dogwoodhook.testing.fleet import free_port
from dogwoodhook.testing.relay import Relay
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.conftest import make_configuration, make_route
from tests.platform_adapter.soak.records import (
    CONFIGURATION_BOUND_S,
    Change,
    Disturbance,
    Kill,
    LinkFault,
    RunRecord,
    Stop,
)
from tests.platform_adapter.store_server import (
    StoreEndpoint,
    StoreServer,
    running_store,
    running_store_endpoint,
)
from tests.platform_adapter.target_server import TargetServer

STOP_TIMEOUT_S = 15.0
"""Time in which a daemon must be gone after SIGTERM."""

GRACES_S = (3.0, 3.5, 6.0)
"""Grace periods in the settings files."""

SETTINGS_KNOWN_S = 2.0
"""Time after a change of a settings file in which its daemon may not know it yet."""

BREAK_OFF_SHARE = 0.1
"""Share of the large answers of sound targets that are broken off."""

ROUTE_TIMEOUT = "6000ms"
"""Longer than the deadlines of the callers, which bound each exchange."""

BRIEF_ROUTE = "read-brief"
BRIEF_TIMEOUT_MS = 700
"""A route of which some requests last longer than its timeout."""

INVALID_S = 0.3
"""Time for which a version that must not be taken is the newest."""

SLOTS = 8


def make_path(prefix, request_id, *, work_s=0.0, padding=0):
    """Return a path that tells a target how long to work and how much to answer."""
    return f"/{prefix}/{work_s:.3f}-{padding}/{request_id}"


def _order_of(received):
    """Return the work and the length that a path orders."""
    work_s, _, padding = received.path.split("/")[2].partition("-")
    return float(work_s), int(padding)


async def _answer_in_full(server, received, writer):
    await _write_padded(server, received, writer, share=1.0)


async def _break_off(server, received, writer):
    await _write_padded(server, received, writer, share=server.rng.random())
    behave.reset_connection(writer)


async def _write_padded(server, received, writer, *, share):
    padding = _order_of(received)[1]
    body = f"{server.name} ran {received.path}".encode() + PADDING * padding
    head = behave.head(
        "200 OK", received, length=len(body), Server_Signature=server.name
    )
    writer.write(head + body[: int(len(body) * share)])
    await writer.drain()


async def _run_out_of_time(server, received, writer):
    writer.write(
        behave.head("504 Late", received, length=0, Server_Signature=server.name)
    )


async def _refuse_first(server, received, writer):
    server.refused[received.connection] = received
    await behave.refuse(server, received, writer)


async def repeat_refusal(server, received, writer):
    """Write the refusal of the connection's earlier request again, then answer."""
    await behave.refuse(server, server.refused.pop(received.connection), writer)
    await asyncio.sleep(0.1)
    await behave.answer(server, received, writer)


async def cut_head(server, received, writer):
    """Close in the middle of the head."""
    text = behave.head("200 OK", received, length=2, Server_Signature=server.name)
    writer.write(text[: server.rng.randrange(1, len(text))])
    writer.close()


PADDING = b"~"
REFUSALS = (behave.refuse, behave.misdirected, _refuse_first)


@dataclass
class SoakTarget(TargetServer):
    """A target whose behaviour is drawn anew for each request.

    ``gray`` is how it fails ``gray_share`` of them. ``harmed_s`` is the last time at
    which its link was.
    """

    rng: random.Random = field(default_factory=random.Random)
    runs: list = field(default_factory=list)
    gray: object = None
    gray_share: float = 0.8
    relay: Relay | None = None
    harmed_s: float = 0.0
    refused: dict = field(default_factory=dict)

    def __post_init__(self):
        self.behaviours = [self._behave]

    async def _behave(self, server, received, writer):
        if received.headers.get("expected-instance") != self.name:
            await behave.misdirected(server, received, writer)
            return
        behaviour = self._choose(received)
        if behaviour in REFUSALS:
            await behaviour(server, received, writer)
            return
        work_s, padding = _order_of(received)
        run = RunRecord(received.request_id, self.name, time.monotonic())
        run.handed_s = int(received.headers["deadline-ms"]) / 1000
        run.work_s = min(work_s, run.handed_s)
        if work_s > run.handed_s and behaviour is not repeat_refusal:
            behaviour = _run_out_of_time
        run.asked = f"{received.method} {received.path} {received.body}"
        self.runs.append(run)
        if behaviour is _answer_in_full:
            run.padding = padding
        is_right = behaviour in (_answer_in_full, _run_out_of_time)
        try:
            if behaviour is not repeat_refusal:
                await asyncio.sleep(run.work_s)
            run.broke_off = behaviour is _break_off
            await behaviour(server, received, writer)
        except asyncio.CancelledError:
            run.was_cut = True
            raise
        finally:
            run.ended_s = time.monotonic()
            run.is_sound = is_right and self.harmed_s < run.at_s

    def _choose(self, received):
        """Return how to behave now."""
        if self.gray is None or self.rng.random() >= self.gray_share:
            is_large = _order_of(received)[1] > 0
            fails = is_large and self.rng.random() < BREAK_OFF_SHARE
            return _break_off if fails else _answer_in_full
        if self.gray is repeat_refusal and received.connection not in self.refused:
            return _refuse_first
        return self.gray


@dataclass
class Daemon:
    """One daemon as a process.

    ``store`` relays its connections to the store, which it meets behind ``door``, and
    ``front`` those of callers.
    """

    name: str
    data_centre: str
    host: str
    caller_port: int
    settings_path: Path
    log_path: Path
    store: Relay
    door: StoreEndpoint
    front: Relay
    process: Process | None = None
    is_stopping: bool = False
    starts: int = 0
    graces_s: tuple[float, float] = (GRACES_S[0], GRACES_S[0])
    rewritten_s: float = 0.0

    def address(self, *, is_relayed):
        """Return the host and port for callers."""
        if is_relayed:
            return "127.0.0.1", self.front.port
        return self.host, self.caller_port

    @property
    def is_running(self):
        """Tell whether the process is there."""
        return self.process is not None and self.process.returncode is None

    @property
    def possible_graces_s(self):
        """Return the grace periods that may be in force: the new one, or the old."""
        is_known = time.monotonic() > self.rewritten_s + SETTINGS_KNOWN_S
        return self.graces_s[1:] if is_known else self.graces_s

    def write_settings(self, ports, *, grace_s):
        """Write the settings file; ``ports`` are those of readiness and peers."""
        readiness, peers = ports
        self.graces_s = (self.graces_s[1], grace_s)
        self.rewritten_s = time.monotonic()
        self.settings_path.write_text(
            f"nodeName={self.name}\nip={self.host}\nzone={self.data_centre}\n"
            f"listen.frontend={self.host}:{self.caller_port}\n"
            f"listen.readiness={self.host}:{readiness}\n"
            f"portRange={peers},{peers + 15}\n"
            f"provider.address=127.0.0.1:{self.store.port}\n"
            f"bounds.grace={grace_s * 1000:.0f}ms\nbounds.retryBudgetExtra=62\n"
            f"bounds.config={CONFIGURATION_BOUND_S}s\n"
        )

    async def start(self):
        """Start the process."""
        self.is_stopping = False
        self.starts += 1
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dogwoodhook.platform",
                env={**os.environ, "DOGWOODHOOK_SETTINGS": str(self.settings_path)},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        """Signal the process, if it is there."""
        if self.is_running:
            self.process.send_signal(number)


class World:
    """The store, the targets and the daemons of one soak."""

    def __init__(self, folder: Path, rng: random.Random) -> None:
        self.rng = rng
        self.ends: list[Kill | Stop | LinkFault] = []
        self.targets: dict[str, SoakTarget] = {}
        self.all_targets: list[SoakTarget] = []
        self.daemons: list[Daemon] = []
        self.routes = {
            "read": make_route("/read/", kind="safe", timeout=ROUTE_TIMEOUT),
            BRIEF_ROUTE: make_route(
                f"/{BRIEF_ROUTE}/", kind="safe", timeout=f"{BRIEF_TIMEOUT_MS}ms"
            ),
            "post": make_route("/post/", timeout=ROUTE_TIMEOUT),
        }
        self.changes: list[Change] = []
        self.disturbances: list[Disturbance] = []
        self._folder = folder
        self._stack = AsyncExitStack()
        self._version = 0
        self._ports = [free_port() for _ in range(3)]
        # The metrics' port is fixed, so soaks at the same time need other addresses.
        self._network = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 200}"
        self.store: StoreServer

    async def __aenter__(self):
        self.store = await self._stack.enter_async_context(running_store())
        return self

    async def __aexit__(self, *error):
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGCONT)
            daemon.send_signal(signal.SIGKILL)
            if daemon.process is not None:
                await daemon.process.wait()
        await self._stack.aclose()

    async def configure(self, *, is_valid=True):
        """Write the next version, or one that must not be taken and then the next."""
        self._version += self.rng.randint(1, 3)
        name = f"extra{self._version}"
        routes = {**self.routes, name: make_route(f"/{name}/", timeout=ROUTE_TIMEOUT)}
        configuration = make_configuration(self._version, **routes)
        if is_valid:
            self.routes = routes
        else:
            configuration["limits"] = None
        await self.store.put("op", "config", configuration)
        self.changes.append(Change(self._version, time.monotonic(), is_valid))
        if not is_valid:
            await asyncio.sleep(INVALID_S)
            await self.configure()

    @contextmanager
    def disturbing(self, daemon=None, *, is_planned=False, is_of_store=False):
        """Note that a daemon, or else the store, is disturbed meanwhile."""
        started_s = time.monotonic()
        place = len(self.disturbances)
        name = daemon.name if daemon else None
        disturbance = Disturbance(
            name, started_s, float("inf"), is_planned, is_of_store
        )
        self.disturbances.append(disturbance)
        try:
            yield
        finally:
            self.disturbances[place] = replace(disturbance, until_s=time.monotonic())

    @contextmanager
    def harming_link(self, daemon, *, is_cut):
        """Note that the relay between callers and a daemon is disturbed meanwhile."""
        place = len(self.ends)
        fault = LinkFault(daemon.name, time.monotonic(), float("inf"), is_cut)
        self.ends.append(fault)
        try:
            yield
        finally:
            self.ends[place] = replace(fault, until_s=time.monotonic())

    async def add_target(self, data_centre, *, port=None):
        """Start a target and register it; a port makes it take over an address."""
        name = f"i-{len(self.all_targets):04x}"
        target = SoakTarget(name, port or free_port(), rng=self.rng)
        server = await asyncio.start_server(target.serve, "127.0.0.1", target.port)
        self._stack.callback(server.close)
        target.relay = await self._stack.enter_async_context(Relay(port=target.port))
        self.targets[name] = target
        self.all_targets.append(target)
        await self._register(target, data_centre=data_centre)

    async def drain_target(self, name):
        """Announce that a target leaves; it goes on serving what it has."""
        await self._register(self.targets.pop(name), state="draining")
        await asyncio.sleep(3.0)
        await self.store.remove("servers", name)

    async def _register(self, target, *, data_centre="dc-1", state="ready"):
        address = f"127.0.0.1:{target.relay.port}"
        entry = target.entry(
            zone=data_centre, state=state, address=address, slots=SLOTS
        )
        await self.store.put("servers", target.name, entry)

    async def add_daemon(self, data_centre):
        """Start a daemon with an address of its own on this machine."""
        number = len(self.daemons) + 1
        enter = self._stack.enter_async_context
        door = await enter(running_store_endpoint(self.store))
        caller, *others = self._ports
        host = f"{self._network}.{number}"
        daemon = Daemon(
            name=f"vm-{number}",
            data_centre=data_centre,
            host=host,
            caller_port=caller,
            settings_path=self._folder / f"vm-{number}.conf",
            log_path=self._folder / f"vm-{number}.log",
            store=await enter(Relay(port=door.address.port)),
            door=door,
            front=await enter(Relay(host=host, port=caller)),
        )
        daemon.write_settings(others, grace_s=self.rng.choice(GRACES_S))
        self.daemons.append(daemon)
        await daemon.start()

    def rewrite_settings(self, daemon):
        """Change a daemon's settings file."""
        daemon.write_settings(self._ports[1:], grace_s=self.rng.choice(GRACES_S))

    def kill(self, daemon):
        """Kill a daemon with what it holds."""
        self.ends.append(Kill(daemon.name, time.monotonic()))
        daemon.send_signal(signal.SIGKILL)

    async def stop(self, daemon):
        """Stop a daemon with SIGTERM; one that stays on counts as killed."""
        daemon.is_stopping = True
        graces_s = daemon.possible_graces_s
        stop = Stop(daemon.name, time.monotonic(), min(graces_s), max(graces_s))
        self.ends.append(stop)
        daemon.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await daemon.process.wait()
            stop.gone_s = time.monotonic()
        except TimeoutError:
            self.kill(daemon)
            raise

    async def restart(self, daemon):
        """Start a daemon again once it has ended."""
        await daemon.process.wait()
        await daemon.start()
