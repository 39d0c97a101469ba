"""Why no target serves a request: for logs, and for when its caller may retry."""

from dogwoodhook.state.retry_after import (
    NoTargetKnown,
    RefusalCause,
    TargetsPaused,
    TargetsRefused,
    TargetsShed,
)
from dogwoodhook.transport.fleet_view import FleetView
from dogwoodhook.transport.routed_request import RoutedRequest


def shortage_fields(
    fleet: FleetView, routed: RoutedRequest, *, now_s: float
) -> dict[str, object]:
    """Return the log fields that tell how many targets are not to be used."""
    directory = fleet.directory
    pauses = directory.pauses(routed.service, turn=routed.turn, now_s=now_s)
    return {
        "targets_listed": len(directory.serving(routed.service, now_s=now_s)),
        "targets_paused": len(pauses),
        "targets_leaving": directory.count_leaving(routed.service, now_s=now_s),
    }


def refusal_cause(
    fleet: FleetView, routed: RoutedRequest, *, now_s: float
) -> RefusalCause:
    """Return why a request that has not run is refused."""
    if routed.expected_room is not None:
        return routed.expected_room
    directory, turn = fleet.directory, routed.turn
    targets = directory.available(routed.service, turn=turn, now_s=now_s)
    if not targets:
        pauses = directory.pauses(routed.service, turn=turn, now_s=now_s)
        if not pauses:
            return NoTargetKnown()
        first_s = min(pause.returns_s(turn) for pause in pauses)
        return TargetsPaused(first_s - now_s)
    if not routed.arrivals:
        return NoTargetKnown()
    if fleet.placement.has_free_slots(targets, now_s=now_s):
        return TargetsShed()
    return TargetsRefused(fleet.budget.available_in_s(routed.service, now_s=now_s))
