"""Checks of a change before it is committed, including its planned stops."""

from collections.abc import Iterator

from dogwoodhook.coordination.snapshots import MAX_CHANGE_BYTES
from dogwoodhook.findings import Finding
from dogwoodhook.state.checks import check_configuration
from dogwoodhook.state.model import Change, Configuration, PlannedStop
from dogwoodhook.state.sizes import change_bytes
from dogwoodhook.state.stops import check_notice, check_stop


def check_change(
    before: Configuration, after: Configuration, change: Change
) -> tuple[Finding, ...]:
    """Return the problems of a change from one configuration to another.

    A new stop must keep the capacity floor and start late enough after its
    acceptance. Stops accepted earlier must still meet both conditions for each
    service that the change touches: a higher floor or a longer deadline can make
    them fail, and the operator must cancel them first. A stop of a target that the
    service no longer lists has no effect, so a target can be stopped and then
    removed.
    """
    return (
        *check_configuration(after),
        *_size_findings(change),
        *_new_stop_findings(before, after, change),
        *_kept_stop_findings(before, after, change),
    )


def _size_findings(change: Change) -> Iterator[Finding]:
    size = change_bytes(change)
    if size > MAX_CHANGE_BYTES:
        message = (
            f"received {len(change.documents)} documents of about {size} bytes, "
            f"allowed in one change: {MAX_CHANGE_BYTES}; apply them in several changes"
        )
        yield Finding("change", message)


def _new_stop_findings(
    before: Configuration, after: Configuration, change: Change
) -> Iterator[Finding]:
    for stop in _stops_of(change):
        service = after.service(stop.service)
        if service is None:
            message = f"received {stop.service!r}, allowed: the name of a service"
            yield Finding(f"stop.{stop.name}.service", message)
            continue
        yield from check_stop(service, after.stops(stop.service), stop)
        yield from check_notice(
            service,
            before.stops(stop.service),
            stop,
            wall_s=change.changed_at_s,
            known_service=before.service(stop.service),
        )


def _kept_stop_findings(
    before: Configuration, after: Configuration, change: Change
) -> Iterator[Finding]:
    new = _stops_of(change)
    for stop in after.stops():
        if stop in new or stop.end_s <= change.changed_at_s:
            continue
        service = after.service(stop.service)
        if service is None or service.target(stop.target) is None:
            continue
        known_service = before.service(stop.service)
        if service == known_service:
            continue
        yield from check_stop(service, after.stops(stop.service), stop)
        yield from check_notice(
            service,
            [stop],
            stop,
            wall_s=change.changed_at_s,
            known_service=known_service,
        )


def _stops_of(change: Change) -> tuple[PlannedStop, ...]:
    return tuple(each for each in change.documents if isinstance(each, PlannedStop))
