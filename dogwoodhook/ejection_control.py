"""Proposes and releases ejections based on the health that this daemon observes."""

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.ejection import EjectionManager, EjectionProposal
from dogwoodhook.coordination.membership import Membership
from dogwoodhook.coordination.rows import EjectionPhase
from dogwoodhook.events import STOP_IN_FORCE, log
from dogwoodhook.exclusions import ExclusionReason, Exclusions
from dogwoodhook.state.health import TargetPhase, TargetStatus, is_self_doubting
from dogwoodhook.transport.services import ServiceRegistry, ServiceRuntime

MIN_FAILURE_REPORTERS = 2
UNSUSPECTED_RELEASE_S = 60.0
"""Time for which a daemon without evidence leaves a release to other daemons."""


class EjectionControl:
    """Ejects and releases targets of the services for which the daemon has traffic."""

    def __init__(
        self,
        manager: EjectionManager,
        membership: Membership,
        registry: ServiceRegistry,
        exclusions: Exclusions,
        clock: Clock,
    ) -> None:
        self._manager = manager
        self._membership = membership
        self._registry = registry
        self._exclusions = exclusions
        self._clock = clock
        self._unsuspected_since_s: dict[tuple[str, str], float] = {}
        self._stopping: dict[str, frozenset[str]] = {}

    @property
    def is_self_doubting(self) -> bool:
        """True where failures are probably due to a fault on this daemon's own side."""
        healths = [runtime.health for runtime in self._registry.active()]
        return is_self_doubting(healths, now_s=self._clock.now_s())

    async def step(self) -> None:
        """Confirm the ejection rows, and propose ejections and releases."""
        runtimes = self._registry.active()
        await self._manager.refresh([each.service.name for each in runtimes])
        may_propose = not self.is_self_doubting
        for runtime in runtimes:
            self._log_stops(runtime)
            await self._maintain(runtime)
            await self._release(runtime)
            if may_propose:
                await self._propose(runtime)

    def _log_stops(self, runtime: ServiceRuntime) -> None:
        service = runtime.service.name
        stopping = frozenset(
            name
            for name, reason in self._exclusions.reasons(runtime).items()
            if reason is ExclusionReason.PLANNED_STOP
        )
        for name in stopping - self._stopping.get(service, frozenset()):
            log(STOP_IN_FORCE, service=service, target=name)
        self._stopping[service] = stopping

    async def _maintain(self, runtime: ServiceRuntime) -> None:
        await self._manager.maintain(
            runtime.service,
            self._exclusions.stops(runtime),
            leaving=self._exclusions.leaving(runtime),
            configuration_version=self._exclusions.version,
        )

    async def _release(self, runtime: ServiceRuntime) -> None:
        for name in self._releasable(runtime):
            await self._manager.release(
                runtime.service, name, configuration_version=self._exclusions.version
            )

    async def _propose(self, runtime: ServiceRuntime) -> None:
        now_s = self._clock.now_s()
        ejected = self._ejected(runtime)
        suspects = _suspects(runtime, now_s)
        peers = self._membership.live_peers(now_s=now_s)
        reporters_needed = min(MIN_FAILURE_REPORTERS, 1 + len(peers))
        for status in suspects:
            if status.target in ejected or status.failure_reporters < reporters_needed:
                continue
            others = {each.target for each in suspects} - {status.target}
            await self._manager.propose(
                EjectionProposal(
                    service=runtime.service,
                    target=status.target,
                    reason=status.reason,
                    stops=self._exclusions.stops(runtime),
                    leaving=self._exclusions.leaving(runtime),
                    suspected_targets=frozenset(others),
                    configuration_version=self._exclusions.version,
                )
            )

    def _ejected(self, runtime: ServiceRuntime) -> frozenset[str]:
        return frozenset(
            entry.target
            for entry in self._manager.entries(runtime.service.name)
            if entry.phase is EjectionPhase.EJECTED
        )

    def _releasable(self, runtime: ServiceRuntime) -> list[str]:
        """Return the ejected targets to release, so that they get work again.

        A daemon that suspected a target itself releases it when its holding time
        is over and a probe was answered. A daemon that never suspected it, for
        example after a restart, leaves the release to other daemons for
        ``UNSUSPECTED_RELEASE_S``.
        """
        now_s = self._clock.now_s()
        service = runtime.service.name
        releasable = []
        unsuspected: dict[tuple[str, str], float] = {}
        for name in self._ejected(runtime):
            phase = runtime.health.status(name, now_s=now_s).phase
            if phase in (TargetPhase.PROBING, TargetPhase.SLOW_START):
                releasable.append(name)
            if phase is TargetPhase.HEALTHY:
                since_s = self._unsuspected_since_s.get((service, name), now_s)
                unsuspected[(service, name)] = since_s
                if now_s - since_s > UNSUSPECTED_RELEASE_S:
                    releasable.append(name)
        others = {
            key: since_s
            for key, since_s in self._unsuspected_since_s.items()
            if key[0] != service
        }
        self._unsuspected_since_s = others | unsuspected
        return releasable


def _suspects(runtime: ServiceRuntime, now_s: float) -> list[TargetStatus]:
    return [
        status
        for status in runtime.health.statuses(now_s=now_s)
        if status.phase is TargetPhase.SUSPECT
    ]
