"""Builds the reports on the daemon's state for the admin listener."""

from dogwoodhook.control import Fleet
from dogwoodhook.state.model import Target
from dogwoodhook.transport.caller import CallerHandler
from dogwoodhook.transport.services import ServiceRuntime
from dogwoodhook.transport.status import (
    ExplanationReport,
    PeerReport,
    ServiceReport,
    StatusReport,
    TargetReport,
)


class Reporter:
    """Builds reports from the daemon's components."""

    def __init__(
        self,
        fleet: Fleet,
        callers: CallerHandler,
        *,
        data_centre: str,
    ) -> None:
        self._fleet = fleet
        self._callers = callers
        self._data_centre = data_centre

    def readiness(self) -> tuple[bool, str]:
        """Return whether the daemon is ready, and why not."""
        return self._fleet.readiness.accepts_requests, self._fleet.readiness.reason

    def status(self) -> StatusReport:
        """Return the daemon's state."""
        is_ready, reason = self.readiness()
        return StatusReport(
            daemon=self._fleet.daemon,
            data_centre=self._data_centre,
            configuration_version=self._fleet.store.current.version,
            is_ready=is_ready,
            reason=reason,
            in_flight=self._callers.in_flight,
            services={
                runtime.service.name: self._service_report(runtime)
                for runtime in self._fleet.registry
            },
            peers=self._peer_reports(),
        )

    def explain(self, service: str) -> ExplanationReport | None:
        """Return what was done to a service's targets, if the service exists."""
        runtime = self._fleet.registry.get(service)
        if runtime is None:
            return None
        lines = [str(line) for line in self._fleet.ejection_manager.explain(service)]
        lines += [
            f"target {report.name}: {report.phase}"
            f" {report.reason} {report.why_excluded}".rstrip()
            for report in self._service_report(runtime).targets
        ]
        return ExplanationReport(service=service, lines=lines)

    def _service_report(self, runtime: ServiceRuntime) -> ServiceReport:
        dispatcher = runtime.dispatch.dispatcher
        reasons = self._fleet.exclusions.reasons(runtime)
        wall_s = self._fleet.clock.wall_s()
        return ServiceReport(
            capacity_floor=runtime.service.parameters.capacity_floor_at(wall_s),
            queued=dispatcher.queued,
            in_flight=dispatcher.in_flight,
            targets=[
                self._target_report(runtime, target, reasons.get(target.name, ""))
                for target in runtime.service.targets
            ],
        )

    def _target_report(
        self, runtime: ServiceRuntime, target: Target, why_excluded: str
    ) -> TargetReport:
        status = runtime.health.status(target.name, now_s=self._fleet.clock.now_s())
        return TargetReport(
            name=target.name,
            data_centre=target.data_centre,
            address=target.address,
            phase=status.phase,
            score=status.score,
            threshold=status.threshold,
            reason=status.reason,
            in_flight=runtime.dispatch.dispatcher.in_flight_at(target.name),
            is_excluded=bool(why_excluded),
            why_excluded=why_excluded,
        )

    def _peer_reports(self) -> list[PeerReport]:
        connected = self._fleet.hub.connected()
        peers = self._fleet.membership.live_peers(now_s=self._fleet.clock.now_s())
        return [
            PeerReport(
                name=peer.daemon,
                configuration_version=peer.configuration_version,
                is_ready=peer.is_ready,
                is_connected=peer.daemon in connected,
            )
            for peer in peers
        ]
