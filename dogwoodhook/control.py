"""The daemon's background work: what it learns, and what it tells.

Each loop is one task with one interval. A loop that raises is logged and goes on
at its next interval, so a fault in one does not end the others.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.claims import ClaimBook
from dogwoodhook.coordination.configuration import ConfigurationStore
from dogwoodhook.coordination.ejection import EjectionBoard, EjectionProposal
from dogwoodhook.coordination.membership import HEARTBEAT_INTERVAL_S, Membership
from dogwoodhook.coordination.messages import (
    ConfigurationNews,
    ConfigurationRequest,
    ConfigurationSnapshot,
    CrashNews,
    EvidenceReport,
    Heartbeat,
    Message,
    QuarantineNews,
)
from dogwoodhook.coordination.platform import Platform
from dogwoodhook.coordination.quarantine import QuarantineBook
from dogwoodhook.coordination.rows import EjectionPhase
from dogwoodhook.events import TARGET_CLEARED, TARGET_SUSPECTED, TASK_FAILED, log
from dogwoodhook.readiness import Readiness
from dogwoodhook.state.health import TargetPhase, is_self_doubting
from dogwoodhook.state.model import Configuration, PlannedStop
from dogwoodhook.state.stops import stopping_targets
from dogwoodhook.transport.peers import PeerHub
from dogwoodhook.transport.probes import Prober
from dogwoodhook.transport.services import ServiceRegistry, ServiceRuntime

if TYPE_CHECKING:
    from dogwoodhook.state.outcomes import TargetEvidence

CONFIGURATION_INTERVAL_S = 1.0
VM_LIST_INTERVAL_S = 1.0
EJECTION_INTERVAL_S = 1.0
EVIDENCE_INTERVAL_S = 0.15
PROBE_INTERVAL_S = 0.5
CLAIM_INTERVAL_S = 5.0
QUARANTINE_INTERVAL_S = 1.0
CLEAN_UP_INTERVAL_S = 300.0
MIN_ACCUSERS = 2
UNSUSPECTED_RELEASE_S = 60.0
"""Time for which a daemon without evidence leaves an ejection to the others."""

SELF_DOUBT_REASON = "most targets of several services fail from here"


@dataclass(slots=True)
class Fleet:
    """The parts that the control loops work on."""

    daemon: str
    clock: Clock
    platform: Platform
    store: ConfigurationStore
    board: EjectionBoard
    membership: Membership
    claims: ClaimBook
    quarantine: QuarantineBook
    registry: ServiceRegistry
    hub: PeerHub
    prober: Prober
    readiness: Readiness


class Control:
    """Runs the loops and receives peers' messages."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        fleet.registry.exclusions = self.excluded
        self._tasks: list[asyncio.Task[None]] = []
        self._evidence_sequence = 0
        self._heard_sequences: dict[str, int] = {}
        self._version_in_force = 0
        self._stops_in_force: dict[str, tuple[PlannedStop, ...]] = {}
        self._has_loaded_quarantines = False
        self._unsuspected_since_s: dict[tuple[str, str], float] = {}

    def start(self) -> None:
        """Start every loop."""
        loops: list[tuple[str, float, Callable[[], Awaitable[None]]]] = [
            ("configuration", CONFIGURATION_INTERVAL_S, self.refresh_configuration),
            ("vm-list", VM_LIST_INTERVAL_S, self.refresh_vms),
            ("ejection", EJECTION_INTERVAL_S, self.refresh_ejections),
            ("evidence", EVIDENCE_INTERVAL_S, self.tell_evidence),
            ("heartbeat", HEARTBEAT_INTERVAL_S, self.tell_heartbeat),
            ("probe", PROBE_INTERVAL_S, self.probe_suspects),
            ("claims", CLAIM_INTERVAL_S, self._fleet.claims.maintain),
            ("quarantine", QUARANTINE_INTERVAL_S, self._fleet.quarantine.publish),
            ("clean-up", CLEAN_UP_INTERVAL_S, self.clean_up),
        ]
        for name, interval_s, step in loops:
            self._tasks.append(asyncio.create_task(_repeat(name, interval_s, step)))

    async def stop(self) -> None:
        """End every loop."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def refresh_configuration(self) -> None:
        """Read the head, and put a higher version in force."""
        await self._fleet.store.load_hint()
        before = self._fleet.store.current.version
        await self._fleet.store.refresh()
        self._put_in_force()
        news = self._fleet.store.changes_after(before)
        if before and news is not None and news.changes:
            self._fleet.hub.broadcast(news)
        self.update_readiness()

    async def refresh_vms(self) -> None:
        """Read the VM list, and dial the daemons on it."""
        match await self._fleet.platform.list_vms():
            case Result(tag="ok", ok=vms):
                self._fleet.membership.replace_vms(vms)
                self._fleet.hub.replace_peers(self._fleet.membership.peer_addresses())

    async def refresh_ejections(self) -> None:
        """Confirm the ejection rows, and propose ejections and releases."""
        runtimes = self._fleet.registry.active()
        await self._fleet.board.refresh([each.service.name for each in runtimes])
        may_eject = not self._is_self_doubting()
        for runtime in runtimes:
            await self._maintain_ejections(runtime, may_eject=may_eject)

    def excluded(self, runtime: ServiceRuntime) -> frozenset[str]:
        """Return the targets of a service that get no work now."""
        return frozenset(self.exclusions(runtime))

    def exclusions(self, runtime: ServiceRuntime) -> dict[str, str]:
        """Return the excluded targets of a service, each with the reason."""
        service = runtime.service
        stops = self._stops(runtime)
        leaving = self.leaving(runtime)
        reasons: dict[str, str] = {}
        ejected = self._fleet.board.excluded(
            service,
            stops,
            leaving=leaving,
            configuration_version=self._version_in_force,
        )
        stopping = stopping_targets(service, stops, wall_s=self._fleet.clock.wall_s())
        for name in ejected:
            reasons[name] = "ejected"
        for name in leaving:
            reasons[name] = "leaving"
        for name in stopping:
            reasons[name] = "planned stop"
        return reasons

    def leaving(self, runtime: ServiceRuntime) -> frozenset[str]:
        """Return the targets that leave, by the VM list or their own answers."""
        addresses = self._fleet.membership.leaving_addresses()
        listed = frozenset(
            target.name
            for target in runtime.service.targets
            if f"{target.host}:{target.port}" in addresses
        )
        return listed | runtime.draining(now_s=self._fleet.clock.now_s())

    async def tell_evidence(self) -> None:
        """Tell peers of outcomes that bear on suspicions, and log changes."""
        entries: list[TargetEvidence] = []
        for runtime in self._fleet.registry.active():
            entries += runtime.health.take_evidence()
            _log_transitions(runtime)
        if entries:
            self._evidence_sequence += 1
            self._fleet.hub.broadcast(
                EvidenceReport(
                    self._fleet.daemon, self._evidence_sequence, tuple(entries)
                )
            )

    async def tell_heartbeat(self) -> None:
        """Tell peers this daemon's version and readiness."""
        age_s = self._fleet.store.head_age_s(self._fleet.clock.now_s())
        self._fleet.hub.broadcast(
            Heartbeat(
                daemon=self._fleet.daemon,
                configuration_version=self._fleet.store.current.version,
                head_age_ms=None if age_s is None else int(age_s * 1000),
                is_ready=self._fleet.readiness.accepts_requests,
            )
        )
        self.update_readiness()

    async def probe_suspects(self) -> None:
        """Probe the suspects whose holding time is over."""
        now_s = self._fleet.clock.now_s()
        probes = [
            self._probe(runtime, target.name)
            for runtime in self._fleet.registry.active()
            for target in runtime.service.targets
            if runtime.health.wants_probe(target.name, now_s=now_s)
        ]
        await asyncio.gather(*probes)

    async def clean_up(self) -> None:
        """Load quarantines at the start; then delete rows that have expired."""
        if not self._has_loaded_quarantines:
            self._has_loaded_quarantines = await self._fleet.quarantine.load()
            return
        await self._fleet.claims.expire()
        await self._fleet.quarantine.expire()

    def update_readiness(self) -> None:
        """Decide anew whether the balancer should send requests."""
        now_s = self._fleet.clock.now_s()
        reason: str | None = self._fleet.store.unready_reason(now_s)
        if reason is None and self._is_self_doubting():
            reason = SELF_DOUBT_REASON
        self._fleet.readiness.update(reason)

    async def receive(self, peer: str, message: Message) -> None:
        """Take in a peer's message."""
        match message:
            case Heartbeat():
                self._receive_heartbeat(peer, message)
            case ConfigurationNews():
                if self._fleet.store.adopt_news(message):
                    self._put_in_force()
                    self._fleet.hub.broadcast(message)
            case ConfigurationSnapshot():
                if self._fleet.store.adopt_snapshot(message):
                    self._put_in_force()
            case ConfigurationRequest():
                for answer in self._fleet.store.answer(message):
                    self._fleet.hub.send(peer, answer)
            case EvidenceReport():
                self._receive_evidence(message)
            case QuarantineNews() | CrashNews():
                self._fleet.quarantine.receive(message)

    def _receive_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        now_s = self._fleet.clock.now_s()
        self._fleet.membership.record_heartbeat(heartbeat, now_s=now_s)
        self._fleet.store.note_heartbeat(heartbeat)
        self._put_in_force()
        if heartbeat.configuration_version > self._fleet.store.current.version:
            self._fleet.hub.send(peer, self._fleet.store.request())

    def _is_self_doubting(self) -> bool:
        return is_self_doubting(
            [runtime.health for runtime in self._fleet.registry.active()],
            now_s=self._fleet.clock.now_s(),
        )

    def _receive_evidence(self, report: EvidenceReport) -> None:
        if report.sequence <= self._heard_sequences.get(report.daemon, 0):
            return
        self._heard_sequences[report.daemon] = report.sequence
        now_s = self._fleet.clock.now_s()
        for entry in report.entries:
            runtime = self._fleet.registry.get(entry.service)
            if runtime is not None:
                runtime.health.absorb(entry, reporter=report.daemon, now_s=now_s)

    def _put_in_force(self) -> None:
        configuration = self._fleet.store.current
        if configuration.version == self._version_in_force:
            return
        self._version_in_force = configuration.version
        self._stops_in_force = _stops_by_service(configuration)
        self._fleet.registry.reconfigure(configuration)

    def _stops(self, runtime: ServiceRuntime) -> tuple[PlannedStop, ...]:
        return self._stops_in_force.get(runtime.service.name, ())

    async def _maintain_ejections(
        self, runtime: ServiceRuntime, *, may_eject: bool
    ) -> None:
        now_s = self._fleet.clock.now_s()
        service = runtime.service
        version = self._version_in_force
        stops = self._stops(runtime)
        leaving = self.leaving(runtime)
        await self._fleet.board.maintain(
            service, stops, leaving=leaving, configuration_version=version
        )
        ejected = {
            entry.target
            for entry in self._fleet.board.entries(service.name)
            if entry.phase is EjectionPhase.EJECTED
        }
        suspects = {
            status.target: status
            for status in runtime.health.statuses(now_s=now_s)
            if status.phase is TargetPhase.SUSPECT
        }
        for name in self._releasable(runtime, ejected):
            await self._fleet.board.release(
                service, name, configuration_version=version
            )
        if not may_eject:
            return
        peers = self._fleet.membership.live_peers(now_s=now_s)
        accusers_needed = min(MIN_ACCUSERS, 1 + len(peers))
        for status in suspects.values():
            if status.target in ejected or status.accusers < accusers_needed:
                continue
            await self._fleet.board.propose(
                EjectionProposal(
                    service=service,
                    target=status.target,
                    reason=status.reason,
                    stops=stops,
                    leaving=leaving,
                    unserving=frozenset(suspects) - {status.target},
                    configuration_version=version,
                )
            )

    def _releasable(self, runtime: ServiceRuntime, ejected: set[str]) -> list[str]:
        """Return the ejected targets that are to be tried with work again.

        A daemon that suspected a target itself releases it when its holding time
        is over and a probe was answered. One that never did, as after a restart,
        leaves that to the others for a while.
        """
        now_s = self._fleet.clock.now_s()
        service = runtime.service.name
        known = {
            key: at
            for key, at in self._unsuspected_since_s.items()
            if key[0] != service
        }
        releasable = []
        for name in ejected:
            phase = runtime.health.status(name, now_s=now_s).phase
            if phase in (TargetPhase.PROBING, TargetPhase.SLOW_START):
                releasable.append(name)
            if phase is TargetPhase.HEALTHY:
                since_s = self._unsuspected_since_s.get((service, name), now_s)
                known[(service, name)] = since_s
                if now_s - since_s > UNSUSPECTED_RELEASE_S:
                    releasable.append(name)
        self._unsuspected_since_s = known
        return releasable

    async def _probe(self, runtime: ServiceRuntime, name: str) -> None:
        target = runtime.service.target(name)
        if target is None:
            return
        is_successful = await self._fleet.prober.probe(target)
        runtime.health.observe_probe(
            name, is_successful=is_successful, now_s=self._fleet.clock.now_s()
        )


async def _repeat(
    name: str, interval_s: float, step: Callable[[], Awaitable[None]]
) -> None:
    while True:
        try:
            await step()
        except Exception as error:
            log(TASK_FAILED, task=name, error=repr(error))
        await asyncio.sleep(interval_s)


def _stops_by_service(
    configuration: Configuration,
) -> dict[str, tuple[PlannedStop, ...]]:
    stops: dict[str, tuple[PlannedStop, ...]] = {}
    for stop in configuration.stops():
        stops[stop.service] = (*stops.get(stop.service, ()), stop)
    return stops


def _log_transitions(runtime: ServiceRuntime) -> None:
    for status in runtime.health.take_transitions():
        if status.phase is TargetPhase.SUSPECT:
            log(
                TARGET_SUSPECTED,
                service=runtime.service.name,
                target=status.target,
                score=f"{status.score:.1f}",
                reason=status.reason,
            )
        elif status.phase is TargetPhase.HEALTHY:
            log(TARGET_CLEARED, service=runtime.service.name, target=status.target)
