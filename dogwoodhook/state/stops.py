"""Planned stops: when they keep a target from new work, and which are accepted.

A target gets its last new request one drain lead before its stop starts, so that the
requests in flight end, by their deadline, before the stop. The capacity floor counts
the target as out a little earlier still, so that ejections end before the stop needs
their part of the allowance.
"""

import datetime
from collections.abc import Iterator, Sequence

from dogwoodhook.clock import WALL_CLOCK_ERROR_S
from dogwoodhook.findings import Finding
from dogwoodhook.state.floors import LOOKAHEAD_S, floor_moments
from dogwoodhook.state.model import PlannedStop, Service

PROPAGATION_BOUND_S = 5.0
"""Time within which an accepted configuration is in force on every daemon."""


def drain_lead_s(service: Service) -> float:
    """Return the time before a stop's start from which a target gets no new work.

    The last request admitted ends by its deadline. A daemon with a slow clock admits
    its last request later by the wall-clock error.
    """
    return service.parameters.deadline_ms / 1000 + WALL_CLOCK_ERROR_S


def minimum_notice_s(service: Service) -> float:
    """Return the least time between a stop's acceptance and its start.

    With this notice every daemon knows of the stop and counts it before the first
    daemon keeps the target from new work.
    """
    return PROPAGATION_BOUND_S + LOOKAHEAD_S + drain_lead_s(service)


def stopping_targets(
    service: Service, stops: Sequence[PlannedStop], *, wall_s: float
) -> frozenset[str]:
    """Return the targets that planned stops keep from new work at a moment."""
    lead_s = drain_lead_s(service)
    return frozenset(
        stop.target
        for stop in _stops_of(service, stops)
        if stop.start_s - lead_s <= wall_s < stop.end_s
    )


def counted_stops(
    service: Service, stops: Sequence[PlannedStop], *, wall_s: float
) -> frozenset[str]:
    """Return the targets of planned stops that the floor must count at a moment.

    They are a superset of what ``stopping_targets`` returns on any daemon at that
    moment, whatever its wall-clock error within the bound.
    """
    lead_s = drain_lead_s(service) + LOOKAHEAD_S
    return frozenset(
        stop.target
        for stop in _stops_of(service, stops)
        if stop.start_s - lead_s <= wall_s < stop.end_s + WALL_CLOCK_ERROR_S
    )


def check_stop(
    service: Service,
    stops: Sequence[PlannedStop],
    stop: PlannedStop,
    *,
    wall_s: float | None = None,
) -> tuple[Finding, ...]:
    """Return the findings against a planned stop, given the stops already accepted.

    The floor must hold at each moment at which any daemon keeps the target from new
    work. A stop of the same name among ``stops`` is the one replaced. If the moment of
    acceptance, ``wall_s``, is given, the notice is checked as well.
    """
    findings = tuple(_input_findings(service, stop))
    if findings:
        return findings
    others = [each for each in _stops_of(service, stops) if each.name != stop.name]
    findings = tuple(_floor_findings(service, others, stop))
    if wall_s is None:
        return findings
    return (*check_notice(service, stops, stop, wall_s=wall_s), *findings)


def check_notice(
    service: Service,
    known: Sequence[PlannedStop],
    stop: PlannedStop,
    *,
    wall_s: float,
    known_service: Service | None = None,
) -> tuple[Finding, ...]:
    """Return a finding if a stop starts too soon after its acceptance.

    ``known`` are the stops accepted before, and ``known_service`` is the service before
    the change, if the service changes too. If a known stop already makes every daemon
    count the target, no notice is needed, so a running stop can be made longer or
    shorter.
    """
    earliest_s = wall_s + minimum_notice_s(service)
    counted_by = known_service or service
    if stop.start_s >= earliest_s or _is_counted(counted_by, known, stop, wall_s):
        return ()
    finding = Finding(
        f"stop.{stop.name}.start",
        f"received {_format_time(stop.start_s)}, "
        f"allowed from {_format_time(earliest_s)}: "
        "requests in flight need time to end",
    )
    return (finding,)


def _stops_of(service: Service, stops: Sequence[PlannedStop]) -> Iterator[PlannedStop]:
    return (
        stop
        for stop in stops
        if stop.service == service.name and service.target(stop.target)
    )


def _is_counted(
    service: Service, known: Sequence[PlannedStop], stop: PlannedStop, wall_s: float
) -> bool:
    """Return whether every daemon counts the target until it has the new stop."""
    lead_s = drain_lead_s(service) + LOOKAHEAD_S - WALL_CLOCK_ERROR_S
    known_by_s = wall_s + PROPAGATION_BOUND_S + LOOKAHEAD_S
    return any(
        each.target == stop.target
        and each.start_s - lead_s <= wall_s
        and each.end_s >= min(stop.end_s, known_by_s)
        for each in known
    )


def _input_findings(service: Service, stop: PlannedStop) -> Iterator[Finding]:
    place = f"stop.{stop.name}"
    if stop.service != service.name:
        yield Finding(
            f"{place}.service", f"received {stop.service}, allowed {service.name}"
        )
    if service.target(stop.target) is None:
        names = ", ".join(target.name for target in service.targets)
        yield Finding(f"{place}.target", f"received {stop.target}, allowed {names}")
    if stop.end_s <= stop.start_s:
        yield Finding(
            f"{place}.end",
            f"received {_format_time(stop.end_s)}, "
            f"allowed later than the start, {_format_time(stop.start_s)}",
        )


def _floor_findings(
    service: Service, others: Sequence[PlannedStop], stop: PlannedStop
) -> Iterator[Finding]:
    """Yield the first moment of a stop at which the floor does not hold."""
    for moment_s in sorted(set(_checked_moments(service, others, stop))):
        out = {each.target for each in others if _is_active(service, each, moment_s)}
        out.add(stop.target)
        left = len(service.targets) - len(out)
        floor = service.parameters.capacity_floor_at(moment_s)
        if left < floor:
            yield Finding(
                f"stop.{stop.name}",
                f"leaves {left} of {len(service.targets)} targets at "
                f"{_format_time(moment_s)}, allowed {floor} or more; "
                f"out by then: {', '.join(sorted(out))}",
            )
            return


def _checked_moments(
    service: Service, others: Sequence[PlannedStop], stop: PlannedStop
) -> Iterator[float]:
    """Yield the moments of a stop's span at which the floor or the count may change."""
    from_s, until_s = _active_span(service, stop)
    for moment_s in floor_moments(service.parameters, from_s=from_s, until_s=until_s):
        if moment_s < until_s:
            yield moment_s
    for other in others:
        start_s, _ = _active_span(service, other)
        if from_s <= start_s < until_s:
            yield start_s


def _is_active(service: Service, stop: PlannedStop, moment_s: float) -> bool:
    from_s, until_s = _active_span(service, stop)
    return from_s <= moment_s < until_s


def _active_span(service: Service, stop: PlannedStop) -> tuple[float, float]:
    """Return the span in which any daemon may keep the target from new work."""
    lead_s = drain_lead_s(service) + WALL_CLOCK_ERROR_S
    return stop.start_s - lead_s, stop.end_s + WALL_CLOCK_ERROR_S


def _format_time(moment_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(moment_s, datetime.UTC)
    return moment.isoformat(timespec="seconds")
