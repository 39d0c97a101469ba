"""Checks of documents against each other and against the allowed values.

``check_configuration`` checks every document; a writer runs it before it proposes a
change. ``check_touched`` checks only the services that a change affects, so it is
cheap enough for a daemon to run on every change that it adopts.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields
from zoneinfo import ZoneInfo

from dogwoodhook.findings import Finding
from dogwoodhook.state.model import (
    Configuration,
    DocumentKey,
    ParameterOverrides,
    Parameters,
    QuietHours,
    Route,
    ServiceDefinition,
    Target,
    Template,
    resolve_service,
)


@dataclass(frozen=True, slots=True)
class IntRange:
    """The allowed values of a whole number, both ends included."""

    low: int
    high: int

    def __contains__(self, value: int) -> bool:
        return self.low <= value <= self.high

    def __str__(self) -> str:
        return f"{self.low}..{self.high}"


PARAMETER_RANGES = {
    "capacity_floor": IntRange(0, 10_000),
    "deadline_ms": IntRange(1, 24 * 3600 * 1000),
    "retry_budget_percent": IntRange(0, 100),
    "false_ejection_interval_s": IntRange(60, 10 * 365 * 24 * 3600),
    "slots_per_target": IntRange(1, 10_000),
    "connections_per_target": IntRange(1, 100_000),
    "workspace_in_flight_limit": IntRange(1, 1_000_000),
    "workspace_queue_limit": IntRange(0, 1_000_000),
    "queue_timeout_ms": IntRange(0, 600_000),
    "replay_buffer_bytes": IntRange(0, 16 * 1024 * 1024),
}
"""Allowed values of the numeric parameters, by name."""


def check_configuration(configuration: Configuration) -> tuple[Finding, ...]:
    """Return the findings of every document, by itself and against the others.

    >>> lost = ServiceDefinition("balances", "tills", "oulu", (), ())
    >>> from dogwoodhook.state.model import Change, apply_change
    >>> change = Change(1, "aino", 0.0, "t", (lost,))
    >>> for finding in check_configuration(apply_change(Configuration(), change)):
    ...     print(finding)
    service.balances.template: received 'tills', allowed: the name of a template
    service.balances.targets: received 0 targets, allowed: at least 1
    service.balances.routes: received 0 routes, allowed: at least 1
    """
    alone = check_touched(configuration, configuration.revisions)
    return (*alone, *_check_routes(configuration))


def check_touched(
    configuration: Configuration, keys: Iterable[DocumentKey]
) -> tuple[Finding, ...]:
    """Return the findings of the given documents and of services that use them.

    Routes of different services are not compared; see ``check_configuration``.
    """
    touched = frozenset(keys)
    templates = {key.name for key in touched if key.kind == "template"}
    findings: list[Finding] = []
    for name in sorted(templates):
        template = configuration.template(name)
        if template is not None:
            findings += _check_template(template)
    for definition in _affected_services(configuration, touched, templates):
        findings += _check_service(configuration, definition)
    return tuple(findings)


def check_parameters(
    parameters: Parameters | ParameterOverrides, place: str
) -> tuple[Finding, ...]:
    """Return the findings of parameter values, in a template or a service."""
    findings: list[Finding] = []
    for each in fields(parameters):
        allowed = PARAMETER_RANGES.get(each.name)
        value = getattr(parameters, each.name)
        if allowed is not None and value is not None and value not in allowed:
            findings.append(
                Finding(f"{place}.{each.name}", f"received {value}, allowed {allowed}")
            )
    for index, period in enumerate(parameters.quiet_hours or ()):
        findings += _check_period(period, f"{place}.quiet_hours.{index}")
    return tuple(findings)


def is_time_zone(name: str) -> bool:
    """Return whether a name is in the time zone database.

    >>> is_time_zone("Africa/Kigali"), is_time_zone("Africa/Kigalli")
    (True, False)
    """
    try:
        ZoneInfo(name)
    except (LookupError, ValueError, OSError):
        return False
    return True


def route_key(route: Route) -> tuple[str, str]:
    """Return host and path prefix, normalised for the comparison of two routes."""
    return route.host.lower(), route.path_prefix.rstrip("/")


def _affected_services(
    configuration: Configuration,
    touched: frozenset[DocumentKey],
    templates: set[str],
) -> Iterator[ServiceDefinition]:
    if not templates:
        documents = (
            configuration.revisions[key].document
            for key in touched
            if key in configuration.revisions
        )
    else:
        documents = (
            revision.document
            for key, revision in configuration.revisions.items()
            if key in touched
            or getattr(revision.document, "template", None) in templates
        )
    for document in documents:
        if isinstance(document, ServiceDefinition):
            yield document


def _check_template(template: Template) -> tuple[Finding, ...]:
    place = f"template.{template.name}.parameters"
    return check_parameters(template.parameters, place)


def _check_service(
    configuration: Configuration, definition: ServiceDefinition
) -> list[Finding]:
    place = f"service.{definition.name}"
    findings = list(check_parameters(definition.overrides, f"{place}.parameters"))
    template = configuration.template(definition.template)
    if template is None:
        message = f"received {definition.template!r}, allowed: the name of a template"
        findings.append(Finding(f"{place}.template", message))
    findings += _check_targets(definition.targets, f"{place}.targets")
    if not definition.routes:
        message = "received 0 routes, allowed: at least 1"
        findings.append(Finding(f"{place}.routes", message))
    if template is None or not definition.targets:
        return findings
    parameters = resolve_service(definition, template).parameters
    findings += _check_floors(parameters, len(definition.targets), place)
    return findings


def _check_targets(targets: tuple[Target, ...], place: str) -> Iterator[Finding]:
    if not targets:
        yield Finding(place, "received 0 targets, allowed: at least 1")
    names: dict[str, Target] = {}
    addresses: dict[tuple[str, int], Target] = {}
    for target in targets:
        target_place = f"{place}.{target.data_centre}.{target.name}"
        other = names.setdefault(target.name, target)
        if other is not target:
            message = f"the name is taken by a target in {other.data_centre}"
            yield Finding(target_place, message)
        other = addresses.setdefault((target.host, target.port), target)
        if other is not target:
            address = target.address
            message = f"received {address}, which is the address of {other.name}"
            yield Finding(target_place, message)


def _check_floors(
    parameters: Parameters, target_count: int, place: str
) -> Iterator[Finding]:
    allowed = f"allowed 0..{target_count}, the number of targets"
    floor = parameters.capacity_floor
    if floor > target_count:
        floor_place = f"{place}.parameters.capacity_floor"
        yield Finding(floor_place, f"received {floor}, {allowed}")
    for index, period in enumerate(parameters.quiet_hours):
        floor = period.capacity_floor
        if floor > target_count:
            floor_place = f"{place}.parameters.quiet_hours.{index}.capacity_floor"
            yield Finding(floor_place, f"received {floor}, {allowed}")


def _check_period(period: QuietHours, place: str) -> Iterator[Finding]:
    if not is_time_zone(period.time_zone):
        message = (
            f"received {period.time_zone!r}, allowed: a name of the time zone "
            "database such as Europe/Helsinki"
        )
        yield Finding(f"{place}.time_zone", message)
    allowed = PARAMETER_RANGES["capacity_floor"]
    if period.capacity_floor not in allowed:
        message = f"received {period.capacity_floor}, allowed {allowed}"
        yield Finding(f"{place}.capacity_floor", message)


def _check_routes(configuration: Configuration) -> Iterator[Finding]:
    owners: dict[tuple[str, str], str] = {}
    for revision in configuration.revisions.values():
        definition = revision.document
        if not isinstance(definition, ServiceDefinition):
            continue
        for index, route in enumerate(definition.routes):
            key = route_key(route)
            if key in owners:
                yield _overlap(definition.name, index, route, owners[key])
            else:
                owners[key] = definition.name


def _overlap(service: str, index: int, route: Route, owner: str) -> Finding:
    host = route.host or "any host"
    return Finding(
        f"service.{service}.routes.{index}",
        f"received {route.path_prefix} on {host}, which is a route of {owner}",
    )
