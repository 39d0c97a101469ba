"""Targets that get no work from this daemon: ejected, stopping or leaving."""

from collections import defaultdict
from enum import StrEnum

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.ejection import EjectionManager
from dogwoodhook.coordination.membership import Membership
from dogwoodhook.state.model import Configuration, PlannedStop
from dogwoodhook.state.stops import stopping_targets
from dogwoodhook.transport.services import ServiceRuntime


class ExclusionReason(StrEnum):
    """Why a target gets no work."""

    EJECTED = "ejected"
    LEAVING = "leaving"
    PLANNED_STOP = "planned stop"


class Exclusions:
    """Determines which targets get no work now under the configuration in force.

    The right to exclude an ejected target is a lease, so a result holds for the
    moment only and must be determined again for each choice of a target.
    """

    def __init__(
        self, manager: EjectionManager, membership: Membership, clock: Clock
    ) -> None:
        self.version = 0
        self._manager = manager
        self._membership = membership
        self._clock = clock
        self._stops: dict[str, tuple[PlannedStop, ...]] = {}

    def put_in_force(self, configuration: Configuration) -> None:
        """Adopt the version and the planned stops of a configuration."""
        stops: defaultdict[str, list[PlannedStop]] = defaultdict(list)
        for stop in configuration.stops():
            stops[stop.service].append(stop)
        self.version = configuration.version
        self._stops = {service: tuple(each) for service, each in stops.items()}

    def stops(self, runtime: ServiceRuntime) -> tuple[PlannedStop, ...]:
        """Return the planned stops of a service."""
        return self._stops.get(runtime.service.name, ())

    def leaving(self, runtime: ServiceRuntime) -> frozenset[str]:
        """Return the targets that leave, as the VM list or their own answers state."""
        draining = runtime.draining(now_s=self._clock.now_s())
        addresses = self._membership.leaving_addresses()
        if not addresses:
            return draining
        listed = frozenset(
            target.name
            for target in runtime.service.targets
            if target.address in addresses
        )
        return listed | draining

    def names(self, runtime: ServiceRuntime) -> frozenset[str]:
        """Return the targets of a service that get no work now."""
        return frozenset(self.reasons(runtime))

    def reasons(self, runtime: ServiceRuntime) -> dict[str, ExclusionReason]:
        """Return the targets that get no work now, each with the reason."""
        service = runtime.service
        stops = self.stops(runtime)
        leaving = self.leaving(runtime)
        ejected = self._manager.excluded(
            service, stops, leaving=leaving, configuration_version=self.version
        )
        stopping = stopping_targets(service, stops, wall_s=self._clock.wall_s())
        reasons = dict.fromkeys(ejected, ExclusionReason.EJECTED)
        reasons |= dict.fromkeys(leaving, ExclusionReason.LEAVING)
        reasons |= dict.fromkeys(stopping, ExclusionReason.PLANNED_STOP)
        return reasons
