"""Documents as TOML, in the form that ``protocol.documents`` reads."""

from collections.abc import Iterable, Iterator
from dataclasses import fields
from enum import Enum
from itertools import groupby

from dogwoodhook.protocol.documents import WEEKDAYS
from dogwoodhook.state.model import (
    ParameterOverrides,
    Parameters,
    QuietHours,
    RequestPattern,
    Route,
    ServiceDefinition,
    Target,
    Template,
)


def format_document(document: Template | ServiceDefinition) -> str:
    """Return a document's text; parsing it gives the same document.

    >>> print(format_document(Template("tills")).splitlines()[1])
    name = "tills"
    """
    match document:
        case Template():
            lines = _template_lines(document)
        case ServiceDefinition():
            lines = _service_lines(document)
    return "\n".join(lines) + "\n"


def _template_lines(template: Template) -> Iterator[str]:
    yield "[template]"
    yield _entry("name", template.name)
    yield from _parameter_lines("template", template.parameters)


def _service_lines(service: ServiceDefinition) -> Iterator[str]:
    yield "[service]"
    yield _entry("name", service.name)
    yield _entry("template", service.template)
    yield _entry("workspace", service.workspace)
    yield from _empty_list_lines(service)
    yield from _parameter_lines("service", service.overrides)
    yield from _target_lines(service.targets)
    for route in service.routes:
        yield from _route_lines(route)


def _empty_list_lines(service: ServiceDefinition) -> Iterator[str]:
    if not service.targets:
        yield "targets = {}"
    if not service.routes:
        yield "routes = []"


def _parameter_lines(
    section: str, parameters: Parameters | ParameterOverrides
) -> Iterator[str]:
    yield ""
    yield f"[{section}.parameters]"
    for each in fields(parameters):
        value = getattr(parameters, each.name)
        if isinstance(value, int | str):
            yield _entry(each.name, value)
        elif value == ():
            yield f"{each.name} = []"
    for pattern in parameters.idempotent or ():
        yield from _pattern_lines(section, pattern)
    for period in parameters.quiet_hours or ():
        yield from _quiet_hours_lines(section, period)


def _pattern_lines(section: str, pattern: RequestPattern) -> Iterator[str]:
    yield ""
    yield f"[[{section}.parameters.idempotent]]"
    yield _entry("method", pattern.method)
    yield _entry("path", pattern.path)


def _quiet_hours_lines(section: str, period: QuietHours) -> Iterator[str]:
    yield ""
    yield f"[[{section}.parameters.quiet_hours]]"
    yield _entry("time_zone", period.time_zone)
    yield f"days = [{_quoted_list(WEEKDAYS[day - 1] for day in period.days)}]"
    yield _entry("start", period.start.isoformat())
    yield _entry("end", period.end.isoformat())
    yield _entry("capacity_floor", period.capacity_floor)


def _target_lines(targets: tuple[Target, ...]) -> Iterator[str]:
    for data_centre, members in groupby(
        sorted(targets, key=lambda target: target.data_centre),
        key=lambda target: target.data_centre,
    ):
        yield ""
        yield f"[service.targets.{_quote(data_centre)}]"
        for target in members:
            host = f"[{target.host}]" if ":" in target.host else target.host
            yield _entry(_quote(target.name), f"{host}:{target.port}")


def _route_lines(route: Route) -> Iterator[str]:
    yield ""
    yield "[[service.routes]]"
    yield _entry("path_prefix", route.path_prefix)
    if route.host:
        yield _entry("host", route.host)
    if route.workspace:
        yield _entry("workspace", route.workspace)


def _entry(name: str, value: int | str) -> str:
    if isinstance(value, Enum):
        return f"{name} = {_quote(str(value.value))}"
    return f"{name} = {_quote(value) if isinstance(value, str) else value}"


def _quoted_list(values: Iterable[str]) -> str:
    return ", ".join(_quote(value) for value in values)


def _quote(text: str) -> str:
    """Return a TOML basic string."""
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(_escape(character) for character in escaped) + '"'


def _escape(character: str) -> str:
    if character.isprintable():
        return character
    return f"\\U{ord(character):08x}"
