"""What a forwarder knows of the fleet, and how it sends messages to it."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from dogwoodhook.coordination.attempt_sharing import AttemptSharing
from dogwoodhook.coordination.fleet_messages import TargetFailure, TargetSuccess
from dogwoodhook.coordination.fleet_quarantine import FleetQuarantine
from dogwoodhook.coordination.load_sharing import LoadSharing
from dogwoodhook.coordination.quota_sharing import QuotaSharing
from dogwoodhook.coordination.target_ends import TargetEnds
from dogwoodhook.state.fleet_budget import FleetBudget
from dogwoodhook.state.placement import Placement
from dogwoodhook.state.route_policy import RoutingConfiguration
from dogwoodhook.state.suspicion import Suspicion
from dogwoodhook.state.target_directory import TargetDirectory
from dogwoodhook.state.typical_latency import TypicalLatency
from dogwoodhook.state.workspace_access import ConfigurationAge
from dogwoodhook.transport.crash_checks import CrashChecks
from dogwoodhook.transport.target_connections import TargetConnections


@dataclass(frozen=True, slots=True)
class FleetView:
    """The parts that a forwarder shares with the rest of the daemon.

    ``configuration_age`` tells how far the configuration may be behind.
    ``targets_age_s`` is the time since the directory was known to be up to date.
    ``is_ready`` is set once routes and targets are known. ``notify_fleet`` sends
    to all daemons, ``notify_neighbours`` and ``load_sharing`` to those of the own data
    centre. ``typical_latencies`` is keyed by service. ``receive_pending`` processes
    messages that have arrived and have not been read yet. ``has_competing_load`` is set
    where callers compete for too little room.
    """

    configuration: Callable[[], RoutingConfiguration | None]
    configuration_age: Callable[[], ConfigurationAge]
    directory: TargetDirectory
    targets_age_s: Callable[[], float]
    suspicion: Suspicion
    placement: Placement
    budget: FleetBudget
    quota_sharing: QuotaSharing
    connections: TargetConnections
    crash_checks: CrashChecks
    quarantine: FleetQuarantine
    target_ends: TargetEnds
    attempt_sharing: AttemptSharing
    is_ready: asyncio.Event
    notify_fleet: Callable[[TargetFailure | TargetSuccess], None]
    notify_neighbours: Callable[[TargetFailure], None]
    load_sharing: LoadSharing
    typical_latencies: defaultdict[str, TypicalLatency]
    receive_pending: Callable[[], None]
    count_daemons: Callable[[], int]
    is_stopping: Callable[[], bool]
    has_competing_load: bool
