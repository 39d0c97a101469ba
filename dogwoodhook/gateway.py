"""Composition root of a daemon on a platform whose store has the targets and routes.

The platform is passed as one argument: its settings, its store, the decoder of its
rows and the HTTP headers that it uses. All other parts belong to this project.
"""

import asyncio
import random
import secrets
import signal
from collections import defaultdict
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from dogwoodhook.clock import Clock, SystemClock
from dogwoodhook.coordination.attempt_sharing import AttemptSharing
from dogwoodhook.coordination.configuration_following import ConfigurationFollower
from dogwoodhook.coordination.fleet_messages import (
    AttemptReport,
    ConfigurationNotice,
    DaemonHello,
    FleetMessage,
    LoadReport,
    QuotaAnswer,
    QuotaAsk,
    QuotaReport,
    StoreUpdate,
    SuspectStates,
    TargetEnded,
    TargetFailure,
    TargetSuccess,
)
from dogwoodhook.coordination.fleet_quarantine import FleetQuarantine
from dogwoodhook.coordination.fleet_snapshot import FleetSnapshot
from dogwoodhook.coordination.load_sharing import LoadSharing
from dogwoodhook.coordination.quota_sharing import QuotaSharing
from dogwoodhook.coordination.run_claims import RunClaims
from dogwoodhook.coordination.store import Store
from dogwoodhook.coordination.store_reading import RowDecoder, wait_for
from dogwoodhook.coordination.suspect_storing import SuspectRowCodec, SuspectStoring
from dogwoodhook.coordination.target_ends import EndEvidence, TargetEnds
from dogwoodhook.coordination.target_following import TargetFollower
from dogwoodhook.events import (
    DAEMON_STARTED,
    DAEMON_STOPPED,
    EVENT_LOOP_LATE,
    SETTINGS_IN_FORCE,
    SETTINGS_REFUSED,
    TARGET_SUSPECTED,
    TASK_FAILED,
    log,
)
from dogwoodhook.findings import FindingsError
from dogwoodhook.fleet_joining import FleetJoining
from dogwoodhook.metrics import Metrics
from dogwoodhook.protocol.http_conventions import HttpConventions
from dogwoodhook.protocol.quarantine_rows import (
    decode_claim_row,
    decode_quarantine_row,
    decode_suspect_row,
    encode_claim_row,
    encode_quarantine_row,
    encode_suspect_row,
)
from dogwoodhook.readiness import Readiness
from dogwoodhook.state.configuration_freshness import ConfigurationFreshness
from dogwoodhook.state.daemon_stop import DaemonStop
from dogwoodhook.state.fleet_budget import FleetBudget
from dogwoodhook.state.fleet_load import FleetLoad
from dogwoodhook.state.load_estimate import LoadEstimator
from dogwoodhook.state.load_spread import load_spreads
from dogwoodhook.state.placement import Placement
from dogwoodhook.state.quarantine import CONFIRMED_CRASHES_POLICY, Quarantine
from dogwoodhook.state.route_policy import CallerLimits
from dogwoodhook.state.suspicion import FailureReport, Suspicion
from dogwoodhook.state.target_directory import TargetDirectory, TargetEntry
from dogwoodhook.state.typical_latency import TypicalLatency
from dogwoodhook.state.workspace_access import ConfigurationAge
from dogwoodhook.state.workspace_policy import WorkspacePolicy
from dogwoodhook.state.workspace_quota import (
    FleetQuota,
    QuotaCoordinator,
    QuotaTolerance,
)
from dogwoodhook.transport.caller_pressure import CallerPressure
from dogwoodhook.transport.crash_checks import CrashChecks
from dogwoodhook.transport.datagrams import DatagramPeers
from dogwoodhook.transport.detached_tasks import DetachedTasks
from dogwoodhook.transport.fleet_view import FleetView
from dogwoodhook.transport.gateway_listener import CallerListener, OperatorListener
from dogwoodhook.transport.peer_exchange import PeerExchange
from dogwoodhook.transport.route_forwarder import RouteForwarder
from dogwoodhook.transport.stop_timeouts import StopTimeouts
from dogwoodhook.transport.target_connections import TargetConnections
from dogwoodhook.vm_settings import ServiceBounds, VmSettings

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
"""Signals that stop a daemon."""

MAX_ROUTE_SERIES = 50
"""Number of routes with their own metric series; later routes share one."""

TASK_RESTART_S = 0.5
"""Pause before a background task that failed is restarted."""

STARTING_INTERVAL_S = 0.02
"""Interval at which a starting daemon checks whether it is ready."""

MAX_START_WAIT_S = 2.0
"""Longest time for which a daemon that starts waits for a neighbour's snapshot before
it reads the targets and the configuration from the store, and for the fleet's rows
before it serves: that of a write without an answer, and of requests to neighbours."""

SETTINGS_INTERVAL_S = 2.0
"""Interval at which the settings are checked, which may change without a signal."""

LOOP_WATCH_INTERVAL_S = 0.5
"""Interval at which the delay of the event loop's timers is measured."""

LOOP_LATE_S = 0.25
"""Delay of the event loop above which it is logged: half of the time that a caller may
wait past its route's timeout."""


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Everything that the daemon needs from a platform.

    ``reread_settings`` returns the settings if they have changed, otherwise ``None``;
    it raises ``FindingsError`` if they are invalid.
    """

    settings: VmSettings
    store: Store
    decoder: RowDecoder
    conventions: HttpConventions
    reread_settings: Callable[[], VmSettings | None]


class Gateway:
    """One daemon with its parts, from start to stop."""

    def __init__(self, platform: PlatformAdapter, clock: Clock) -> None:
        settings = platform.settings
        self._platform = platform
        rng = random.Random(secrets.randbits(64))
        self._settings = settings
        self._clock = clock
        self._readiness = Readiness()
        self._stop = DaemonStop()
        self._stop_timeouts = StopTimeouts(self._stop, clock)
        self._has_been_ready = asyncio.Event()
        self._rows_awaited_since_s: float | None = None
        self._suspicion = Suspicion(daemon=settings.vm_name, rng=rng)
        self._directory = TargetDirectory(
            on_restart=self._suspicion.record_restart,
            on_end=self._handle_replacement,
            on_removal=self._handle_removal,
            on_era=lambda era: self._joining.notice_era(era),
        )
        self._load = FleetLoad()
        typical_latencies: defaultdict[str, TypicalLatency] = defaultdict(
            TypicalLatency
        )
        self._connections = TargetConnections(clock)
        self.peers = DatagramPeers(
            self._receive,
            clock,
            daemon=settings.vm_name,
            data_centre=settings.data_centre,
            rng=rng,
        )
        estimator = LoadEstimator(
            self._load,
            news_age_s=self.peers.news_age.median_s,
            work_s=lambda service: typical_latencies[service].median_s,
        )
        self._exchange = PeerExchange(self.peers, settings.peer_address, clock)
        self._configuration = ConfigurationFollower(
            platform.store,
            platform.decoder,
            clock,
            links=self.peers,
            exchange=self._exchange,
            daemon=settings.vm_name,
            freshness=ConfigurationFreshness(settings.bounds.configuration_s),
            on_change=self._handle_adoption,
        )
        self._targets = TargetFollower(
            platform.store,
            self._directory,
            platform.decoder,
            self.peers,
            clock,
            daemon=settings.vm_name,
            bound_s=settings.bounds.drain_s,
        )
        quarantine = Quarantine(policy=CONFIRMED_CRASHES_POLICY)
        self._quarantine = FleetQuarantine(
            quarantine,
            self.peers,
            clock,
            daemon=settings.vm_name,
            rng=rng,
            store=platform.store,
            encode_row=encode_quarantine_row,
            decode_row=decode_quarantine_row,
            claims=RunClaims(
                platform.store,
                clock,
                daemon=settings.vm_name,
                encode_row=encode_claim_row,
                decode_row=decode_claim_row,
            ),
            suspect_storing=SuspectStoring(
                quarantine,
                platform.store,
                clock,
                daemon=settings.vm_name,
                codec=SuspectRowCodec(encode_suspect_row, decode_suspect_row),
            ),
        )
        self._metrics = Metrics(
            daemon=settings.vm_name, max_workspace_series=MAX_ROUTE_SERIES
        )
        self._attempt_sharing = AttemptSharing(
            self.peers,
            clock,
            daemon=settings.vm_name,
            rng=rng,
            is_suspect=self._quarantine.is_watched,
        )
        self._target_ends = TargetEnds(
            self._quarantine,
            self.peers,
            clock,
            daemon=settings.vm_name,
            attempt_sharing=self._attempt_sharing,
            on_crash=self._metrics.record_target_crash,
        )
        self._crash_checks = CrashChecks(
            self._target_ends,
            may_connect=lambda target: self._directory.may_be_probed(
                target, now_s=clock.now_s()
            ),
        )
        self._joining = FleetJoining(
            platform.store,
            self.peers,
            settings,
            clock,
            neighbours=self._exchange,
            rng=rng,
            on_snapshot=self._adopt_snapshot,
            on_other_row=self._quarantine.adopt_row,
            on_missing_quarantines=self._quarantine.store_again,
        )
        self._exchange.take_snapshot = self._take_snapshot
        self._exchange.list_daemons = self._list_daemons
        bounds = settings.bounds
        self._budget = FleetBudget(
            ratio=bounds.retry_ratio,
            extra=bounds.retry_extra,
            window_s=bounds.retry_window_s,
            rng=rng,
            started_s=clock.now_s(),
        )
        tolerance = _quota_tolerance(bounds)
        self._fleet_quota = FleetQuota(tolerance, rng=rng, started_s=clock.now_s())
        self._quota_coordinator = QuotaCoordinator(
            tolerance, rng=rng, started_s=clock.now_s()
        )
        self._quota_sharing = QuotaSharing(
            self._fleet_quota,
            self._quota_coordinator,
            self.peers,
            clock,
            daemon=settings.vm_name,
            rng=rng,
            policies=self._workspace_policies,
        )
        fleet = FleetView(
            configuration=lambda: self._configuration.in_force,
            configuration_age=self._configuration_age,
            directory=self._directory,
            targets_age_s=lambda: self._targets.age_s,
            suspicion=self._suspicion,
            placement=Placement(
                self._suspicion,
                self._load,
                data_centre=settings.data_centre,
                rng=rng,
                has_idle_connection=self._has_usable_connection,
                has_joined_recently=lambda name, now_s: (
                    self._directory.has_joined_recently(name, now_s=now_s)
                ),
                estimator=estimator,
            ),
            budget=self._budget,
            quota_sharing=self._quota_sharing,
            connections=self._connections,
            crash_checks=self._crash_checks,
            quarantine=self._quarantine,
            target_ends=self._target_ends,
            attempt_sharing=self._attempt_sharing,
            is_ready=self._has_been_ready,
            notify_fleet=self.peers.broadcast,
            notify_neighbours=self.peers.notify_neighbours,
            load_sharing=LoadSharing(self._load, self.peers, daemon=settings.vm_name),
            typical_latencies=typical_latencies,
            receive_pending=self.peers.receive_pending,
            count_daemons=lambda: len(self.peers) + 1,
            is_stopping=lambda: self._stop.has_begun,
            has_competing_load=settings.has_competing_load,
        )
        self._metrics.watch_peer_bytes(lambda: self.peers.sent_bytes)
        self._metrics.watch_configuration(
            version=lambda: self.configuration_version,
            age_s=lambda: self._configuration.age_s,
        )
        self._metrics.watch_targets(age_s=lambda: self._targets.age_s)
        self._metrics.watch_load(
            spread=lambda: load_spreads(
                self._directory.all_serving(now_s=clock.now_s()),
                self._load.by_target(now_s=clock.now_s()),
                data_centre=settings.data_centre,
            ),
            news_age_s=lambda: self.peers.news_age.median_s(now_s=clock.now_s()),
        )
        detached_tasks = DetachedTasks()
        forwarder = RouteForwarder(
            fleet,
            platform.conventions,
            clock,
            self._metrics,
            daemon=settings.vm_name,
            rng=rng,
            stop=self._stop,
            stop_timeouts=self._stop_timeouts,
            detached_tasks=detached_tasks,
        )
        self._pressure = CallerPressure(
            self._metrics,
            memory_bytes=settings.memory_bytes,
            max_descriptors=settings.max_descriptors,
        )
        self._callers = CallerListener(
            forwarder.forward,
            settings.caller_address,
            stop=self._stop,
            stop_timeouts=self._stop_timeouts,
            clock=clock,
            may_start=forwarder.is_route_idempotent,
            may_be_large=forwarder.may_answer_be_large,
            on_unanswered=forwarder.report_unanswered,
            get_limits=self._caller_limits,
            detached_tasks=detached_tasks,
            pressure=self._pressure,
        )
        self._metrics.watch_open_requests(
            at_connections=self._callers.count_unanswered,
            at_daemon=lambda: len(detached_tasks),
        )
        self._operator_listeners = [
            OperatorListener(lambda: self.is_ready, self._metrics, address)
            for address in (settings.readiness_address, settings.metrics_address)
            if address is not None
        ]
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> float:
        """Serve until a stop signal, then drain.

        Return the time in seconds that is left for the process to end.
        """
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await stop.wait()
        await self.drain()
        await self.close()
        log(DAEMON_STOPPED, **self._stop.log_fields(now_s=self._clock.now_s()))
        left_s = max(0.0, self._stop.ends_s - self._clock.now_s())
        # The event loop restores the default signal handlers when it closes, and these
        # would end the process at a further signal.
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS | {signal.SIGHUP})
        return left_s

    @property
    def is_ready(self) -> bool:
        """Return whether readiness checks of the balancer are answered with success."""
        return self._readiness.accepts_requests

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force, 0 if there is none."""
        in_force = self._configuration.in_force
        return in_force.version if in_force else 0

    def knows_target(self, name: str) -> bool:
        """Return whether a target is listed."""
        return self._directory.get(name) is not None

    def is_serving(self, name: str) -> bool:
        """Return whether a target is listed and does not drain."""
        return self._directory.is_serving(name)

    def _configuration_age(self) -> ConfigurationAge:
        bounds = self._settings.bounds
        return ConfigurationAge(
            age_s=self._configuration.age_s,
            is_newer_known=self._configuration.is_newer_known,
            configuration_s=bounds.configuration_s,
            revoke_s=bounds.revoke_s,
            fails_closed=bounds.fails_closed,
        )

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        await self.peers.start(self._settings.peer_address)
        await self._exchange.start()
        for listener in self._operator_listeners:
            await listener.start()
        await self._callers.start()
        self._spawn(self._joining.run)
        self._spawn(self._joining.restore_rows)
        self._spawn(self._follow_targets)
        self._spawn(self._follow_configuration)
        self._spawn(self._quarantine.run)
        self._spawn(self._attempt_sharing.run)
        self._spawn(self._keep_ready)
        self._spawn(self._watch_settings)
        self._spawn(self._watch_event_loop)
        log(
            DAEMON_STARTED,
            daemon=self._settings.vm_name,
            data_centre=self._settings.data_centre,
        )

    async def drain(self) -> None:
        """Direct callers to other daemons, and finish requests in flight."""
        grace_s = self._settings.bounds.grace_s
        self._stop.begin(now_s=self._clock.now_s(), grace_s=grace_s)
        self._stop_timeouts.begin_stop()
        self._readiness.drain()
        await self._callers.drain()

    async def close(self) -> None:
        """Cancel the tasks and close all sockets."""
        await self._callers.close()
        for listener in self._operator_listeners:
            await listener.close()
        for task in self._tasks:
            task.cancel()
        self._quota_sharing.close()
        await self._connections.close()
        await self._exchange.close()
        await self._platform.store.close()
        self.peers.close()

    def reload(self) -> None:
        """Apply changed settings; keep the old ones if the new ones are invalid."""
        try:
            settings = self._platform.reread_settings()
        except FindingsError as error:
            log(SETTINGS_REFUSED, findings=str(error))
            return
        if settings is None:
            return
        self._settings = settings
        bounds = settings.bounds
        self._targets.bound_s = bounds.drain_s
        self._configuration.freshness = ConfigurationFreshness(bounds.configuration_s)
        self._budget.resize(
            ratio=bounds.retry_ratio,
            extra=bounds.retry_extra,
            window_s=bounds.retry_window_s,
        )
        tolerance = _quota_tolerance(bounds)
        self._fleet_quota.tolerance = self._quota_coordinator.tolerance = tolerance
        log(SETTINGS_IN_FORCE, bounds=bounds, store=settings.store_address)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            self.reload()

    async def _watch_event_loop(self) -> None:
        """Measure the delay of timers, which all answers and store reads also have."""
        while True:
            due_s = self._clock.now_s() + LOOP_WATCH_INTERVAL_S
            await asyncio.sleep(LOOP_WATCH_INTERVAL_S)
            late_s = max(0.0, self._clock.now_s() - due_s)
            self._metrics.record_loop_delay(late_s * 1000)
            if late_s > LOOP_LATE_S:
                log(EVENT_LOOP_LATE, late_ms=round(late_s * 1000))

    async def _follow_targets(self) -> None:
        """Follow the targets, from a neighbour's snapshot on if there is one."""
        await wait_for(self._joining.has_asked, MAX_START_WAIT_S)
        await self._targets.run()

    async def _follow_configuration(self) -> None:
        """Follow the configuration, from a neighbour's snapshot on if there is one."""
        await wait_for(self._joining.has_asked, MAX_START_WAIT_S)
        await self._configuration.run()

    async def _keep_ready(self) -> None:
        """Become ready once targets and routes are known."""
        while True:
            self._update_readiness()
            await asyncio.sleep(1.0 if self.is_ready else STARTING_INTERVAL_S)

    def _caller_limits(self) -> CallerLimits:
        in_force = self._configuration.in_force
        return in_force.limits if in_force else CallerLimits()

    def _workspace_policies(self) -> Mapping[str, WorkspacePolicy]:
        in_force = self._configuration.in_force
        if in_force is None or in_force.workspaces is None:
            return {}
        return in_force.workspaces.by_name

    def _handle_adoption(self, since_announced_s: float) -> None:
        """Update metrics and readiness after a configuration was put in force."""
        self._metrics.record_adoption(since_announced_s * 1000)
        self._update_readiness()

    def _update_readiness(self) -> None:
        if self._configuration.in_force is None:
            self._readiness.update("no configuration is known yet")
        elif not self._directory.version:
            self._readiness.update("no target is known yet")
        elif self._awaits_rows():
            self._readiness.update("what the fleet refuses is not known yet")
        elif self._pressure.is_short_of_memory():
            self._readiness.update("no memory for requests")
        else:
            self._has_been_ready.set()
            self._readiness.update(None)

    def _awaits_rows(self) -> bool:
        """Return whether the rows of the fleet are to be known soon.

        A daemon that starts while the store is away could otherwise serve what the
        others refuse, until it joins.
        """
        if self._joining.has_read_rows or self._has_been_ready.is_set():
            return False
        now_s = self._clock.now_s()
        if self._rows_awaited_since_s is None:
            self._rows_awaited_since_s = now_s
            self._joining.retry()
        return now_s - self._rows_awaited_since_s < MAX_START_WAIT_S

    def _has_usable_connection(self, target: TargetEntry) -> bool:
        now_s = self._clock.now_s()
        return self._connections.has_idle(target) and self._suspicion.may_use_idle(
            target.name, now_s=now_s
        )

    def _list_daemons(self) -> tuple[DaemonHello, ...]:
        return (self._joining.hello, *self.peers.live_hellos())

    def _take_snapshot(self) -> FleetSnapshot | None:
        targets = self._targets.snapshot()
        if targets is None or not self._joining.has_joined:
            return None
        return FleetSnapshot(
            daemons=self._list_daemons(),
            targets=targets,
            configuration=self._configuration.snapshot(),
            configuration_row=self._exchange.current_row,
            suspects=self._quarantine.snapshot(),
        )

    def _adopt_snapshot(self, snapshot: FleetSnapshot) -> None:
        self._targets.adopt(snapshot.targets)
        self._configuration.adopt(snapshot.configuration, snapshot.configuration_row)
        self._quarantine.receive(snapshot.suspects)
        self._update_readiness()

    def _handle_replacement(self, target: TargetEntry) -> None:
        self._target_ends.record_end(
            target.name, target.incarnation, EndEvidence.NEW_INCARNATION
        )

    def _handle_removal(self, target: TargetEntry) -> None:
        self._crash_checks.check_removed_entry(target)

    def _receive(self, message: FleetMessage) -> None:
        match message:
            case TargetFailure():
                self._receive_failure(message)
            case TargetSuccess(target=target):
                self._suspicion.record_reported_success(target)
            case LoadReport(daemon, in_flight):
                self._load.record_report(daemon, in_flight, now_s=self._clock.now_s())
            case StoreUpdate():
                self._targets.receive(message)
            case ConfigurationNotice():
                self._configuration.receive(message)
            case SuspectStates():
                self._quarantine.receive(message)
            case TargetEnded():
                self._target_ends.receive(message)
            case AttemptReport():
                self._attempt_sharing.receive(message)
            case QuotaAsk() | QuotaAnswer() | QuotaReport():
                self._quota_sharing.receive(message)
            case _:
                return

    def _receive_failure(self, failure: TargetFailure) -> None:
        now_s = self._clock.now_s()
        self._budget.record_report(
            failure.service,
            run=(failure.daemon, failure.run),
            requests=failure.requests,
            retries=failure.repeats,
            now_s=now_s,
        )
        if failure.symptom is None:
            return
        report = FailureReport(failure.target, failure.symptom, failure.daemon)
        if self._suspicion.record_reported_failure(report, now_s=now_s):
            log(
                TARGET_SUSPECTED,
                target=failure.target,
                symptom=failure.symptom,
                reporter=failure.daemon,
            )

    def _spawn(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run a background task; log its failure and restart it."""

        async def keep_running() -> None:
            while True:
                try:
                    await work()
                    return
                except Exception as error:
                    name = getattr(work, "__qualname__", repr(work))
                    log(TASK_FAILED, task=name, error=repr(error))
                    await asyncio.sleep(TASK_RESTART_S)

        task = asyncio.create_task(keep_running())
        self._tasks.add(task)


def _quota_tolerance(bounds: ServiceBounds) -> QuotaTolerance:
    return QuotaTolerance(
        window_s=bounds.quota_window_s,
        overshoot=bounds.quota_overshoot,
        slack=bounds.quota_slack,
    )


async def serve(platform: PlatformAdapter) -> float:
    """Run a daemon until a stop signal; return the seconds left for the process."""
    return await Gateway(platform, SystemClock()).run()
