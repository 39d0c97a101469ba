"""The daemon processes of a soak, and its simulated store and targets."""

import asyncio
import itertools
import os
import random
import select
import signal
import sys
import time
from asyncio.subprocess import Process
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

from dogwoodhook.testing.fleet import free_port
from dogwoodhook.testing.relay import Relay
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.conftest import make_configuration, make_route
from tests.platform_adapter.soak.records import (
    CONFIGURATION_BOUND_S,
    Announcement,
    Change,
    Disturbance,
    Kill,
    LinkFault,
    RunRecord,
    Stop,
)
from tests.platform_adapter.soak.workspaces import FORGED, KEY_MARK, WorkspaceKeys
from tests.platform_adapter.store_server import (
    StoreEndpoint,
    StoreServer,
    running_store,
    running_store_endpoint,
)
from tests.platform_adapter.target_server import TargetServer

STOP_TIMEOUT_S = 15.0
"""Time after SIGTERM in which a daemon must have exited; the soak then kills it and
reports a violation."""

GRACE_PERIODS_S = (3.0, 3.5, 6.0)
"""Grace periods that settings files may contain."""

SETTINGS_REREAD_S = 2.0
"""Time after a change of a settings file in which its daemon may not have read it."""

BREAK_OFF_SHARE = 0.1
"""Share of the large answers that a sound target breaks off."""

ROUTE_TIMEOUT = "6000ms"
"""Timeout of the other routes; longer than the callers' deadlines, which thus limit the
exchanges."""

SHORT_TIMEOUT_ROUTE = "read-brief"
SHORT_TIMEOUT_MS = 700
"""Timeout of a route on which some requests take longer at their target."""

INVALID_VERSION_S = 0.3
"""Time for which an invalid version of the configuration is the newest."""

FIRST_INCARNATION = 1_790_000_000_000
SLOTS = 8
BODY = b"hours"

HARMFUL = "harmful"
"""Second segment of the paths of requests that end each target that runs them."""

HARMFUL_WAITS_S = (0.02, 0.02, 1.0, 3.0)
"""Times that a harmful request may wait at its target before it ends it."""

KEPT_PORT_SHARE = 0.3
"""Share of the harmful requests after which another process has the port at once."""

OUTLIVING_SHARE = 0.5
"""Share of the harmful requests that run although their connection was closed."""

HARMFUL_ERROR_SHARES = (0.0, 0.0, 0.5)
"""Shares of the sendings of a harmful request that may be answered with an error."""

DELIVERY_S = 1.0
"""Time after a run for which the next end of its target is recorded with it."""

COPY_SHARES = {"none": 0.3, "at once": 0.1, "next": 0.2, "same id": 0.4}
"""Shares of the refusals that are written again behind themselves, before the next
answer on their connection, or before the next answer to the same request."""

MAX_COPY_AFTER_S = 0.1

MAX_DOWN_S = 2.0
"""Longest time from a target's end until it accepts connections again."""


@dataclass(frozen=True, slots=True)
class HarmfulShape:
    """How targets end under one harmful request, the same at all of them."""

    wait_s: float
    keeps_port: bool
    outlives_connection: bool
    error_share: float


def harmful_shape(path):
    """Return the shape of a harmful request.

    It is drawn from the path, so that the faults of a seed stay the same.
    """
    rng = random.Random(path)
    return HarmfulShape(
        wait_s=rng.choice(HARMFUL_WAITS_S),
        keeps_port=rng.random() < KEPT_PORT_SHARE,
        outlives_connection=rng.random() < OUTLIVING_SHARE,
        error_share=rng.choice(HARMFUL_ERROR_SHARES),
    )


@dataclass(slots=True)
class HarmfulArrival:
    """A harmful request at a target, which ended at ``ended_s`` if it was not cut."""

    path: str
    request_id: str
    target: str
    arrived_s: float
    ended_s: float | None = None


def make_path(prefix, request_id, *, work_s=0.0, padding=0):
    """Return a path that contains a target's time of work and the answer's padding."""
    return f"/{prefix}/{work_s:.3f}-{padding}/{request_id}"


def _parse_path(received):
    """Return the time of work and the padding that ``make_path`` put into a path."""
    work_s, _, padding = received.path.split("/")[2].partition("-")
    return float(work_s), int(padding)


async def _answer_completely(server, received, writer):
    await _write_padded(server, received, writer, share=1.0)


async def _break_off(server, received, writer):
    await _write_padded(server, received, writer, share=server.rng.random())
    behave.reset_connection(writer)


async def _write_padded(server, received, writer, *, share):
    padding = _parse_path(received)[1]
    body = f"{server.name} ran {received.path}".encode() + PADDING * padding
    more = {"Server_Signature": server.name}
    if server.is_leaving:
        server.announce(received, until_s=float("inf"))
        more["Server_Leaving"] = "1"
    head = behave.head("200 OK", received, length=len(body), **more)
    writer.write(head + body[: int(len(body) * share)])
    await writer.drain()


async def _time_out(server, received, writer):
    writer.write(
        behave.head("504 Late", received, length=0, Server_Signature=server.name)
    )


@dataclass(frozen=True, slots=True)
class WrittenRefusal:
    """A refusal that is written again after ``copy_after_s`` of a later request.

    This is the connection's next request, or the refused one if ``waits_for_id``.
    """

    refuse: behave.Behaviour
    request: behave.ReceivedRequest
    copy_after_s: float = 0.0
    waits_for_id: bool = False


async def _refuse_first(server, received, writer):
    server.refusals[received.connection] = WrittenRefusal(behave.refuse, received)
    await behave.refuse(server, received, writer)


async def _refuse_busy(server, received, writer):
    writer.write(behave.head("429 Busy", received, length=0, Not_Executed="1"))


async def duplicate_refusal(server, received, writer):
    """Send the refusal of the connection's earlier request again, then answer."""
    refusal = server.refusals.pop(received.connection)
    await asyncio.sleep(refusal.copy_after_s)
    await refusal.refuse(server, refusal.request, writer)
    await asyncio.sleep(0.1)
    await behave.answer(server, received, writer)


async def cut_head(server, received, writer):
    """Close the connection in the middle of the answer's head."""
    text = behave.head("200 OK", received, length=2, Server_Signature=server.name)
    writer.write(text[: server.rng.randrange(1, len(text))])
    writer.close()


PADDING = b"~"
REFUSALS = (behave.refuse, behave.misdirected, _refuse_first)
REFUSALS_FOR_ENDED = (behave.misdirected, behave.refuse, _refuse_busy)


def wait_for_exit(pid):
    """Return the time at which a process exits, however late the event loop is."""
    try:
        descriptor = os.pidfd_open(pid)
    except ProcessLookupError:
        return time.monotonic()
    try:
        # Unlike select(), it takes descriptors of any number.
        exits = select.poll()
        exits.register(descriptor, select.POLLIN)
        exits.poll()
        return time.monotonic()
    finally:
        os.close(descriptor)


@dataclass
class SoakTarget(TargetServer):
    """A target whose behaviour is drawn at random for each request.

    If ``gray_behaviour`` is set, it fails ``gray_failure_share`` of the requests in
    this way. ``link_fault_until_s`` is the end of the last fault of its link, infinite
    while one lasts, ``ended_s`` when it last ended, and ``opened_s`` when each of its
    connections was opened. ``copy_rng`` draws which refusals are written again. New
    connections are those of ``successor``, once there is one.
    """

    rng: random.Random = field(default_factory=random.Random)
    runs: list = field(default_factory=list)
    gray_behaviour: object = None
    gray_failure_share: float = 0.8
    relay: Relay | None = None
    link_fault_until_s: float = 0.0
    refusals: dict[int, WrittenRefusal] = field(default_factory=dict)
    copy_rng: random.Random | None = None
    successor: "SoakTarget | None" = None
    harmful_arrivals: list[HarmfulArrival] = field(default_factory=list)
    endings: set[asyncio.Task] = field(default_factory=set)
    incarnation: int = 0
    paused_until_s: float = 0.0
    is_leaving: bool = False
    arrivals: list[tuple[str, float]] = field(default_factory=list)
    announcements: list[Announcement] = field(default_factory=list)
    data_centre: str = "dc-1"
    register_again: Callable[["SoakTarget"], Awaitable[None]] | None = None
    ended_s: float = float("-inf")
    opened_s: dict[int, float] = field(default_factory=dict)

    def __post_init__(self):
        self.behaviours = [self._behave]

    async def serve(self, reader, writer):
        """Serve one connection, and record when it was opened."""
        if self.successor is not None:
            await self.successor.serve(reader, writer)
            return
        self.opened_s[self.connections + 1] = time.monotonic()
        await super().serve(reader, writer)

    async def _behave(self, server, received, writer):
        now_s = time.monotonic()
        self.arrivals.append((received.request_id, now_s))
        if received.headers.get("expected-instance") != self.name:
            rng = self.copy_rng
            refuse = rng.choice(REFUSALS_FOR_ENDED) if rng else behave.misdirected
            await self._refuse(refuse, received, writer)
            return
        if now_s < self.paused_until_s:
            self.announce(received, until_s=self.paused_until_s)
            pause = behave.pausing(f"{self.paused_until_s - now_s:.3f}")
            await self._refuse(pause, received, writer)
            return
        if received.path.split("/")[2] == HARMFUL:
            await self._run_harmful(received, writer)
            return
        behaviour = self._choose(received)
        if behaviour in REFUSALS:
            await self._refuse(behaviour, received, writer)
            return
        await self._run(behaviour, received, writer)

    async def _run(self, behaviour, received, writer):
        """Run a request, and record the run."""
        copies_refusal = behaviour is _answer_completely and self._copies_before(
            received
        )
        if copies_refusal:
            behaviour = duplicate_refusal
        work_s, padding = _parse_path(received)
        run = RunRecord(received.request_id, self.name, time.monotonic())
        run.timeout_s = int(received.headers["deadline-ms"]) / 1000
        run.workspace = received.headers.get("tenant-id", "")
        run.has_foreign_header = any(
            text in received.raw_head for text in (KEY_MARK, FORGED)
        )
        run.work_s = min(work_s, run.timeout_s)
        if work_s > run.timeout_s and behaviour is not duplicate_refusal:
            behaviour = _time_out
        run.request_content = f"{received.method} {received.path} {received.body}"
        if self.opened_s[received.connection] <= self.ended_s:
            # The relay has closed its connection, and the target has not seen it yet.
            run.target_ended_s = self.ended_s
        was_reset = run.target_ended_s is not None
        self.runs.append(run)
        if behaviour is _answer_completely:
            run.padding = padding
        # The daemon drops the copy, and delivers the answer behind it.
        is_sound_answer = behaviour in (_answer_completely, _time_out) or copies_refusal
        try:
            if behaviour is not duplicate_refusal:
                await asyncio.sleep(run.work_s)
            run.broke_off = behaviour is _break_off
            await behaviour(self, received, writer)
        except asyncio.CancelledError:
            run.was_cut = True
            raise
        finally:
            run.ended_s = time.monotonic()
            is_link_sound = not was_reset and self.link_fault_until_s < run.started_s
            run.is_sound = is_sound_answer and is_link_sound

    async def _refuse(self, refuse, received, writer):
        """Refuse, and draw whether and when the refusal is written again."""
        await refuse(self, received, writer)
        if self.copy_rng is None or refuse is _refuse_first:
            return
        copy_after_s = self.copy_rng.uniform(0, MAX_COPY_AFTER_S)
        (kind,) = self.copy_rng.choices(list(COPY_SHARES), [*COPY_SHARES.values()])
        if kind == "at once":
            await refuse(self, received, writer)
        elif kind != "none":
            self.refusals[received.connection] = WrittenRefusal(
                refuse, received, copy_after_s, waits_for_id=kind == "same id"
            )

    def _copies_before(self, received):
        """Return whether a refusal is written again before the answer to a request."""
        refusal = self.refusals.get(received.connection)
        return refusal is not None and (
            not refusal.waits_for_id
            or refusal.request.request_id == received.request_id
        )

    def announce(self, received, *, until_s):
        """Record that an answer says that the target leaves or wants a pause."""
        now_s = time.monotonic()
        is_sound = self.link_fault_until_s < now_s - DELIVERY_S
        self.announcements.append(
            Announcement(self.name, received.request_id, now_s, until_s, is_sound)
        )

    async def _run_harmful(self, received, writer):
        """Wait, then end, or answer with an error in place of it."""
        arrival = HarmfulArrival(
            received.path, received.request_id, self.name, time.monotonic()
        )
        self.harmful_arrivals.append(arrival)
        shape = harmful_shape(received.path)
        # Drawn from the id, so that the faults of a seed stay the same.
        rng = random.Random(received.request_id)
        if rng.random() < shape.error_share:
            await behave.server_error(self, received, writer)
            return
        ending = asyncio.create_task(
            self._end(arrival, shape, down_s=rng.uniform(0.3, MAX_DOWN_S))
        )
        self.endings.add(ending)
        try:
            await asyncio.shield(ending)
        except asyncio.CancelledError:
            if not shape.outlives_connection:
                ending.cancel()
            raise

    async def _end(self, arrival, shape, *, down_s):
        """Close all connections, and the port for a time unless it is kept."""
        incarnation = self.incarnation
        await asyncio.sleep(shape.wait_s)
        if not self.relay.is_listening or self.incarnation != incarnation:
            return
        self.record_end()
        arrival.ended_s = self.ended_s
        if shape.keeps_port:
            self.relay.reset_open_connections()
            down_s = 0.0
        else:
            self.relay.close_port()
        self.endings.add(asyncio.create_task(self._restart(down_s=down_s)))

    def record_end(self):
        """Record that the target ends now, with the runs whose answers it may cut."""
        self.ended_s = time.monotonic()
        self.link_fault_until_s = float("inf")
        self.incarnation += 1
        for run in self.runs:
            has_ended_before = run.target_ended_s is not None
            if not has_ended_before and self.ended_s - run.ended_s < DELIVERY_S:
                run.target_ended_s = self.ended_s

    async def _restart(self, *, down_s):
        await asyncio.sleep(down_s)
        if not self.relay.is_listening:
            await self.relay.open_port()
        self.link_fault_until_s = time.monotonic()
        await self.register_again(self)

    def _choose(self, received):
        """Return the behaviour for one request."""
        if self.gray_behaviour is None or self.rng.random() >= self.gray_failure_share:
            is_large = _parse_path(received)[1] > 0
            fails = is_large and self.rng.random() < BREAK_OFF_SHARE
            return _break_off if fails else _answer_completely
        if (
            self.gray_behaviour is duplicate_refusal
            and received.connection not in self.refusals
        ):
            return _refuse_first
        return self.gray_behaviour


@dataclass
class Daemon:
    """One daemon, which runs as a process.

    ``store_relay`` relays its connections to ``store_endpoint``, an address of the
    store with faults of its own. ``caller_relay`` relays the connections of callers.
    """

    name: str
    data_centre: str
    host: str
    caller_port: int
    settings_path: Path
    log_path: Path
    store_relay: Relay
    store_endpoint: StoreEndpoint
    caller_relay: Relay
    process: Process | None = None
    is_stopping: bool = False
    start_count: int = 0
    grace_periods_s: tuple[float, float] = (GRACE_PERIODS_S[0], GRACE_PERIODS_S[0])
    settings_written_s: float = 0.0

    def address(self, *, is_relayed):
        """Return the host and port for callers, or of the relay if ``is_relayed``."""
        if is_relayed:
            return "127.0.0.1", self.caller_relay.port
        return self.host, self.caller_port

    @property
    def is_running(self):
        """Return whether the process is running."""
        return self.process is not None and self.process.returncode is None

    @property
    def possible_grace_periods_s(self):
        """Return the grace periods that may be in force.

        Shortly after a change, these are the previous one and the new one.
        """
        is_known = time.monotonic() > self.settings_written_s + SETTINGS_REREAD_S
        return self.grace_periods_s[1:] if is_known else self.grace_periods_s

    def write_settings(self, other_ports, *, grace_s):
        """Write the settings file; ``other_ports`` are for readiness and peers."""
        readiness_port, peer_port = other_ports
        self.grace_periods_s = (self.grace_periods_s[1], grace_s)
        self.settings_written_s = time.monotonic()
        self.settings_path.write_text(
            f"nodeName={self.name}\nip={self.host}\nzone={self.data_centre}\n"
            f"listen.frontend={self.host}:{self.caller_port}\n"
            f"listen.readiness={self.host}:{readiness_port}\n"
            f"portRange={peer_port},{peer_port + 15}\n"
            f"provider.address=127.0.0.1:{self.store_relay.port}\n"
            f"bounds.grace={grace_s * 1000:.0f}ms\nbounds.retryBudgetExtra=62\n"
            f"bounds.config={CONFIGURATION_BOUND_S}s\n"
        )

    async def start(self):
        """Start the process."""
        self.is_stopping = False
        self.start_count += 1
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
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.process.send_signal(number)


class World:
    """The store, the targets and the daemons of one soak."""

    def __init__(
        self,
        folder: Path,
        rng: random.Random,
        copy_rng: random.Random,
        keys: WorkspaceKeys,
    ) -> None:
        self.rng = rng
        self._copy_rng = copy_rng
        self.keys = keys
        self._target_numbers = itertools.count()
        self.interruptions: list[Kill | Stop | LinkFault] = []
        self.targets: dict[str, SoakTarget] = {}
        # The targets that have a row, each with its state.
        self.registered: dict[str, tuple[SoakTarget, str, int]] = {}
        self.all_targets: list[SoakTarget] = []
        self.daemons: list[Daemon] = []
        self.routes = {
            "read": make_route("/read/", kind="safe", timeout=ROUTE_TIMEOUT),
            SHORT_TIMEOUT_ROUTE: make_route(
                f"/{SHORT_TIMEOUT_ROUTE}/", kind="safe", timeout=f"{SHORT_TIMEOUT_MS}ms"
            ),
            "post": make_route("/post/", timeout=ROUTE_TIMEOUT),
        }
        self.changes: list[Change] = []
        self.disturbances: list[Disturbance] = []
        self._folder = folder
        self._stack = AsyncExitStack()
        self._version = 0
        self._configuration: dict = {}
        self._ports = [free_port() for _ in range(3)]
        # The metrics port is fixed, so soaks that run at the same time need different
        # addresses.
        self._network = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 200}"
        self.store: StoreServer

    async def __aenter__(self):
        self.store = await self._stack.enter_async_context(running_store())
        self.store.era = 1
        return self

    async def __aexit__(self, *error):
        for target in self.all_targets:
            for task in target.endings:
                task.cancel()
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGCONT)
            daemon.send_signal(signal.SIGKILL)
            if daemon.process is not None:
                await daemon.process.wait()
        await self._stack.aclose()

    async def configure(self, *, is_valid=True):
        """Write the next version; an invalid one is followed by a valid one."""
        self._version += self.rng.randint(1, 3)
        name = f"extra{self._version}"
        routes = {**self.routes, name: make_route(f"/{name}/", timeout=ROUTE_TIMEOUT)}
        configuration = make_configuration(self._version, **routes)
        if is_valid:
            self.routes = routes
        else:
            configuration["limits"] = None
        key_version = self.keys.begin_version() if is_valid else None
        if self.keys.is_used:
            configuration["tenants"] = self.keys.table()
        self._configuration = configuration
        await self.store.put("op", "config", configuration)
        if key_version is not None:
            key_version.acknowledged_s = time.monotonic()
        self.changes.append(Change(self._version, time.monotonic(), is_valid))
        if not is_valid:
            await asyncio.sleep(INVALID_VERSION_S)
            await self.configure()

    async def configure_again(self, *, delay_s):
        """Write the newest version again if the store returned without it."""
        await asyncio.sleep(delay_s)
        if not self.store.holds("op", "config", self._configuration):
            await self.store.put("op", "config", self._configuration)

    @contextmanager
    def recording_disturbance(
        self, daemon=None, *, is_planned=False, is_of_store=False
    ):
        """Record a disturbance of a daemon, or of the store if no daemon is given."""
        started_s = time.monotonic()
        index = len(self.disturbances)
        name = daemon.name if daemon else None
        disturbance = Disturbance(
            name, started_s, float("inf"), is_planned, is_of_store
        )
        self.disturbances.append(disturbance)
        try:
            yield
        finally:
            self.disturbances[index] = replace(disturbance, until_s=time.monotonic())

    @contextmanager
    def recording_link_fault(self, daemon, *, is_cut):
        """Record a fault of the relay between callers and a daemon."""
        index = len(self.interruptions)
        fault = LinkFault(daemon.name, time.monotonic(), float("inf"), is_cut)
        self.interruptions.append(fault)
        try:
            yield
        finally:
            self.interruptions[index] = replace(fault, until_s=time.monotonic())

    async def add_target(self, data_centre, *, port=None, is_extra=False):
        """Start a target and register it; with ``port``, it takes over that address.

        No other fault affects it if ``is_extra`` is set.
        """
        target = self._make_target(data_centre, port or free_port())
        server = await asyncio.start_server(target.serve, "127.0.0.1", target.port)
        self._stack.callback(server.close)
        target.relay = await self._stack.enter_async_context(Relay(port=target.port))
        if not is_extra:
            self.targets[target.name] = target
        self.all_targets.append(target)
        await self.register(target)
        return target

    async def replace_at_address(self, ended, data_centre, *, has_same_start):
        """End a target whose entry stays, and register another one at its address.

        Daemons use the ended target's entry too if the other one has the same start.
        """
        target = self._make_target(data_centre, ended.port)
        target.relay = ended.relay
        started = ended.incarnation
        ended.record_end()
        self.registered.pop(ended.name, None)
        target.incarnation = started if has_same_start else ended.incarnation
        target.link_fault_until_s = ended.ended_s
        ended.successor = target
        ended.relay.reset_open_connections()
        self.all_targets.append(target)
        await self.register(target)
        return target

    def _make_target(self, data_centre, port):
        return SoakTarget(
            f"i-{next(self._target_numbers):04x}",
            port,
            rng=self.rng,
            copy_rng=self._copy_rng,
            data_centre=data_centre,
            register_again=self._register_again,
        )

    async def drain_target(self, name):
        """Announce that a target leaves, then remove it; it finishes its requests."""
        await self.register(self.targets.pop(name), state="draining")
        await asyncio.sleep(3.0)
        await self.remove_row(name)

    async def remove_row(self, name):
        """Remove the row of a target, which is gone."""
        self.registered.pop(name, None)
        await self.store.remove("servers", name)

    async def register_after_return(self, name, *, delay_s):
        """Write a target's row again as it was, unless the target has ended.

        A target that is down at this time registers when it starts again. An additional
        one does not, so its row keeps the start that it had.
        """
        await asyncio.sleep(delay_s)
        target, state, started = self.registered.get(name, (None, "", 0))
        if target is not None and target.relay.is_listening:
            await self.register(target, state=state, started=started)

    async def _register_again(self, target):
        if self.targets.get(target.name) is target:
            await self.register(target)

    async def register(self, target, *, state="ready", started=None):
        """Write a target's entry to the store, with its present start by default."""
        if started is None:
            started = target.incarnation
        self.registered[target.name] = (target, state, started)
        entry = target.entry(
            zone=target.data_centre,
            state=state,
            address=f"127.0.0.1:{target.relay.port}",
            slots=SLOTS,
            born=FIRST_INCARNATION + started,
        )
        await self.store.put("servers", target.name, entry)

    async def add_daemon(self, data_centre):
        """Start a daemon with its own loopback address."""
        number = len(self.daemons) + 1
        enter_context = self._stack.enter_async_context
        endpoint = await enter_context(running_store_endpoint(self.store))
        frontend_port, *other_ports = self._ports
        host = f"{self._network}.{number}"
        daemon = Daemon(
            name=f"vm-{number}",
            data_centre=data_centre,
            host=host,
            caller_port=frontend_port,
            settings_path=self._folder / f"vm-{number}.conf",
            log_path=self._folder / f"vm-{number}.log",
            store_relay=await enter_context(Relay(port=endpoint.address.port)),
            store_endpoint=endpoint,
            caller_relay=await enter_context(Relay(host=host, port=frontend_port)),
        )
        daemon.write_settings(other_ports, grace_s=self.rng.choice(GRACE_PERIODS_S))
        self.daemons.append(daemon)
        await daemon.start()

    def rewrite_settings(self, daemon):
        """Write a daemon's settings file again, with a grace period drawn at random."""
        daemon.write_settings(self._ports[1:], grace_s=self.rng.choice(GRACE_PERIODS_S))

    def kill(self, daemon):
        """Kill a daemon together with the requests that it holds."""
        self.interruptions.append(Kill(daemon.name, time.monotonic()))
        daemon.send_signal(signal.SIGKILL)

    async def stop(self, daemon):
        """Stop a daemon with SIGTERM; kill it if it runs after ``STOP_TIMEOUT_S``."""
        daemon.is_stopping = True
        grace_periods_s = daemon.possible_grace_periods_s
        stop = Stop(
            daemon.name, time.monotonic(), min(grace_periods_s), max(grace_periods_s)
        )
        self.interruptions.append(stop)
        exit_time = asyncio.create_task(
            asyncio.to_thread(wait_for_exit, daemon.process.pid)
        )
        daemon.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                stop.exited_s = await asyncio.shield(exit_time)
                await daemon.process.wait()
        except TimeoutError:
            self.kill(daemon)
            raise

    async def restart(self, daemon):
        """Start a daemon again once its process has ended."""
        await daemon.process.wait()
        await daemon.start()
