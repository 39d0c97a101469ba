"""The daemon's background tasks, and the handling of messages from peers.

Each loop is one task with one interval. An error in a loop is logged, and the loop
goes on after its interval, so an error in one loop does not end the others.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.claims import ClaimManager
from dogwoodhook.coordination.configuration import ConfigurationStore
from dogwoodhook.coordination.ejection import EjectionManager
from dogwoodhook.coordination.evidence import ReportFilter
from dogwoodhook.coordination.membership import HEARTBEAT_INTERVAL_S, Membership
from dogwoodhook.coordination.messages import (
    ConfigurationRequest,
    ConfigurationSnapshot,
    ConfigurationUpdate,
    CrashReport,
    EvidenceReport,
    Heartbeat,
    Message,
    QuarantineUpdate,
    SuspectCleared,
)
from dogwoodhook.coordination.platform import Platform, Unavailable, new_token
from dogwoodhook.coordination.quarantine import QuarantineManager
from dogwoodhook.ejection_control import EjectionControl
from dogwoodhook.events import (
    CONFIGURATION_UNCONFIRMED,
    PLATFORM_AVAILABLE,
    PLATFORM_UNAVAILABLE,
    TARGET_CLEARED,
    TARGET_SUSPECTED,
    TASK_FAILED,
    log,
)
from dogwoodhook.exclusions import Exclusions
from dogwoodhook.readiness import Readiness
from dogwoodhook.state.health import TargetPhase
from dogwoodhook.transport.peers import PeerHub
from dogwoodhook.transport.probes import Prober
from dogwoodhook.transport.services import ServiceRegistry, ServiceRuntime
from dogwoodhook.transport.target_pools import TargetPools

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
LOCAL_FAULT_REASON = "most targets of several services fail from here"


@dataclass(slots=True)
class DaemonComponents:
    """The components of one daemon, which its control loops and reports use."""

    daemon: str
    clock: Clock
    platform: Platform
    store: ConfigurationStore
    ejection_manager: EjectionManager
    exclusions: Exclusions
    ejections: EjectionControl
    membership: Membership
    claims: ClaimManager
    quarantine: QuarantineManager
    registry: ServiceRegistry
    hub: PeerHub
    pools: TargetPools
    prober: Prober
    readiness: Readiness


class Control:
    """Runs the loops and handles messages from peers."""

    def __init__(self, components: DaemonComponents) -> None:
        self._components = components
        self._tasks: list[asyncio.Task[None]] = []
        self._is_platform_available = True
        self._was_confirmed = False
        self._incarnation = new_token()
        self._evidence_sequence = 0
        self._reports = ReportFilter()
        self._has_loaded_quarantines = False

    def start(self) -> None:
        """Start every loop."""
        loops: list[tuple[str, float, Callable[[], Awaitable[None]]]] = [
            ("configuration", CONFIGURATION_INTERVAL_S, self.refresh_configuration),
            ("vm-list", VM_LIST_INTERVAL_S, self.refresh_vms),
            ("ejection", EJECTION_INTERVAL_S, self._components.ejections.step),
            ("evidence", EVIDENCE_INTERVAL_S, self.send_evidence),
            ("heartbeat", HEARTBEAT_INTERVAL_S, self.send_heartbeat),
            ("probe", PROBE_INTERVAL_S, self.probe_suspects),
            ("claims", CLAIM_INTERVAL_S, self._components.claims.maintain),
            ("quarantine", QUARANTINE_INTERVAL_S, self._components.quarantine.publish),
            ("clean-up", CLEAN_UP_INTERVAL_S, self.clean_up),
        ]
        for name, interval_s, step in loops:
            self._tasks.append(
                asyncio.create_task(_run_periodically(name, interval_s, step))
            )

    async def stop(self) -> None:
        """End every loop."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def refresh_configuration(self) -> None:
        """Read the head, and put a higher version in force."""
        await self._components.store.load_snapshot()
        before = self._components.store.current.version
        self._log_platform(await self._components.store.refresh())
        self._put_in_force()
        update = self._components.store.changes_after(before)
        if before and update is not None and update.changes:
            self._components.hub.broadcast(update)
        self.update_readiness()

    def _log_platform(self, result: Result[None, Unavailable]) -> None:
        match result:
            case Result(tag="ok") if not self._is_platform_available:
                log(PLATFORM_AVAILABLE)
            case Result(tag="error", error=error) if self._is_platform_available:
                log(PLATFORM_UNAVAILABLE, operation="read head", detail=error.detail)
        self._is_platform_available = result.is_ok()
        is_confirmed = self._components.store.is_confirmed(
            self._components.clock.now_s()
        )
        if self._was_confirmed and not is_confirmed:
            log(
                CONFIGURATION_UNCONFIRMED,
                version=self._components.store.current.version,
            )
        self._was_confirmed = is_confirmed

    async def refresh_vms(self) -> None:
        """Read the VM list, and dial the daemons on it."""
        match await self._components.platform.list_vms():
            case Result(tag="ok", ok=vms):
                self._components.membership.replace_vms(vms)
                self._components.hub.replace_peers(
                    self._components.membership.peer_addresses()
                )

    async def send_evidence(self) -> None:
        """Send peers the outcomes that affect suspicions, and log phase changes."""
        entries: list[TargetEvidence] = []
        for runtime in self._components.registry.active():
            entries += runtime.health.take_evidence()
            _log_transitions(runtime)
        if entries:
            self._evidence_sequence += 1
            self._components.hub.broadcast(
                EvidenceReport(
                    daemon=self._components.daemon,
                    incarnation=self._incarnation,
                    sequence=self._evidence_sequence,
                    entries=tuple(entries),
                )
            )

    async def send_heartbeat(self) -> None:
        """Send peers this daemon's configuration version and readiness."""
        age_s = self._components.store.head_age_s(self._components.clock.now_s())
        self._components.hub.broadcast(
            Heartbeat(
                daemon=self._components.daemon,
                configuration_version=self._components.store.current.version,
                head_age_ms=None if age_s is None else int(age_s * 1000),
                is_ready=self._components.readiness.accepts_requests,
            )
        )
        self.update_readiness()

    async def probe_suspects(self) -> None:
        """Probe the suspect targets whose holding time is over."""
        now_s = self._components.clock.now_s()
        probes = [
            self._probe(runtime, target.name)
            for runtime in self._components.registry.active()
            for target in runtime.service.targets
            if runtime.health.is_probe_due(target.name, now_s=now_s)
        ]
        await asyncio.gather(*probes)

    async def clean_up(self) -> None:
        """Load quarantines first; on later runs, remove what is gone or expired."""
        if not self._has_loaded_quarantines:
            self._has_loaded_quarantines = await self._components.quarantine.load()
            return
        self._components.membership.remove_silent_peers(
            now_s=self._components.clock.now_s()
        )
        await self._components.pools.retain(
            target
            for runtime in self._components.registry
            for target in runtime.service.targets
        )
        await self._components.claims.expire()
        await self._components.quarantine.expire()

    def update_readiness(self) -> None:
        """Update whether the load balancer should send requests to this daemon."""
        now_s = self._components.clock.now_s()
        reason: str | None = self._components.store.unready_reason(now_s)
        if reason is None and self._components.ejections.is_self_doubting:
            reason = LOCAL_FAULT_REASON
        self._components.readiness.update(reason)

    async def receive(self, peer: str, message: Message) -> None:
        """Process a message from a peer."""
        match message:
            case Heartbeat():
                self._receive_heartbeat(peer, message)
            case ConfigurationUpdate():
                if self._components.store.adopt_update(message):
                    self._put_in_force()
                    self._components.hub.broadcast(message)
            case ConfigurationSnapshot():
                self._receive_snapshot(peer, message)
            case ConfigurationRequest():
                for answer in self._components.store.reply_to(message):
                    self._components.hub.send(peer, answer)
            case EvidenceReport():
                self._receive_evidence(message)
            case QuarantineUpdate() | CrashReport() | SuspectCleared():
                self._components.quarantine.receive(message)

    def _receive_snapshot(self, peer: str, part: ConfigurationSnapshot) -> None:
        if self._components.store.adopt_snapshot(part):
            self._put_in_force()
        elif self._components.store.is_collecting:
            self._components.hub.send(peer, self._components.store.catch_up_request())

    def _receive_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        now_s = self._components.clock.now_s()
        self._components.membership.record_heartbeat(heartbeat, now_s=now_s)
        self._components.store.process_heartbeat(heartbeat)
        self._put_in_force()
        if heartbeat.configuration_version > self._components.store.current.version:
            self._components.hub.send(peer, self._components.store.catch_up_request())

    def _receive_evidence(self, report: EvidenceReport) -> None:
        if not self._reports.accept(report):
            return
        now_s = self._components.clock.now_s()
        for entry in report.entries:
            runtime = self._components.registry.get(entry.service)
            if runtime is not None:
                runtime.health.merge_evidence(
                    entry, reporter=report.daemon, now_s=now_s
                )

    def _put_in_force(self) -> None:
        configuration = self._components.store.current
        if configuration.version == self._components.exclusions.version:
            return
        self._components.exclusions.put_in_force(configuration)
        self._components.registry.reconfigure(configuration)

    async def _probe(self, runtime: ServiceRuntime, name: str) -> None:
        target = runtime.service.target(name)
        if target is None:
            return
        is_successful = await self._components.prober.probe(target)
        runtime.health.observe_probe(
            name, is_successful=is_successful, now_s=self._components.clock.now_s()
        )


async def _run_periodically(
    name: str, interval_s: float, step: Callable[[], Awaitable[None]]
) -> None:
    while True:
        try:
            await step()
        except Exception as error:
            log(TASK_FAILED, task=name, error=repr(error))
        await asyncio.sleep(interval_s)


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
