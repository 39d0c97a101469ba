"""Templates and services as operators write them, in TOML.

A file holds one document. pydantic models check keys, types and ranges; the result is
converted to the data classes of ``dogwoodhook.state.model``. Each problem of a file is
a finding, and all findings are returned together.
"""

import datetime
import difflib
import ipaddress
import re
import tomllib
from collections.abc import Mapping, Sequence
from typing import Annotated, Any

from expression import Error, Ok, Result
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import ErrorDetails

from dogwoodhook.findings import Finding
from dogwoodhook.protocol.key_lines import KeyLines, KeyPath
from dogwoodhook.state.checks import (
    PARAMETER_RANGES,
    check_configuration,
    is_time_zone,
)
from dogwoodhook.state.model import (
    KeyedRequestPolicy,
    ParameterOverrides,
    Parameters,
    QuietHours,
    RequestPattern,
    Route,
    ServiceDefinition,
    Target,
    Template,
)

__all__ = ["check_configuration", "parse_document"]

WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")

METHODS = ("*", "GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

_HOST = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?")


def parse_document(
    text: str, *, source: str
) -> Result[Template | ServiceDefinition, tuple[Finding, ...]]:
    r"""Return the document of a TOML text, or all findings.

    ``source`` is the file's name; the place of each finding begins with it.

    >>> parse_document('[template]\nname = "tills"', source="tills.toml").ok.name
    'tills'
    >>> for finding in parse_document("[till]", source="tills.toml").error:
    ...     print(finding)
    tills.toml:1 till: unknown key, allowed: service, template
    tills.toml: received no document, allowed: [template] or [service]
    """
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error((_syntax_finding(error, source),))
    try:
        parsed = _File.model_validate(tree)
    except ValidationError as error:
        return Error(_findings(error.errors(), text, source, tree))
    match parsed:
        case _File(template=_Template() as template, service=None):
            return Ok(template.to_document())
        case _File(template=None, service=_Service() as service):
            return Ok(service.to_document())
        case _:
            return Error((_document_count_finding(tree, source),))


def _check_name(value: str) -> str:
    if not _NAME.fullmatch(value):
        raise ValueError("letters, digits, '.', '_' and '-', up to 63 characters")
    return value


def _check_method(value: str) -> str:
    if value not in METHODS:
        raise ValueError(f"one of {', '.join(METHODS)}")
    return value


def _check_path(value: str) -> str:
    if not value.startswith("/") or any(each.isspace() for each in value):
        raise ValueError("a path that begins with /")
    if "*" in value[:-1]:
        raise ValueError("a path with * at its end only")
    return value


def _check_path_prefix(value: str) -> str:
    if "*" in value or "?" in value:
        raise ValueError("a path prefix without * or ?")
    return _check_path(value)


def _check_host(value: str) -> str:
    if value and not _HOST.fullmatch(value):
        raise ValueError("a host name without port, or empty for any host")
    return value.lower()


def _check_time_zone(value: str) -> str:
    if not is_time_zone(value):
        raise ValueError("a name of the time zone database such as Europe/Helsinki")
    return value


def _check_weekday(value: str) -> str:
    if value not in WEEKDAYS:
        raise ValueError(f"one of {', '.join(WEEKDAYS)}")
    return value


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("IP number and port such as 10.0.0.7:8080") from None
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= 65535):
        raise ValueError("IP number and port, the port in 1..65535")
    return value


_Name = Annotated[str, AfterValidator(_check_name)]
_Path = Annotated[str, AfterValidator(_check_path)]
_PathPrefix = Annotated[str, AfterValidator(_check_path_prefix)]
_Method = Annotated[str, AfterValidator(_check_method)]
_Host = Annotated[str, AfterValidator(_check_host)]
_TimeZone = Annotated[str, AfterValidator(_check_time_zone)]
_Weekday = Annotated[str, AfterValidator(_check_weekday)]
_Address = Annotated[str, AfterValidator(_check_address)]


def _within(name: str) -> Any:
    allowed = PARAMETER_RANGES[name]
    return Field(strict=True, ge=allowed.low, le=allowed.high)


class _Input(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class _RequestPattern(_Input):
    method: _Method
    path: _Path

    def to_pattern(self) -> RequestPattern:
        return RequestPattern(method=self.method, path=self.path)


class _QuietHours(_Input):
    time_zone: _TimeZone
    days: Annotated[tuple[_Weekday, ...], Field(min_length=1)]
    start: datetime.time
    end: datetime.time
    capacity_floor: Annotated[int, _within("capacity_floor")]

    def to_quiet_hours(self) -> QuietHours:
        return QuietHours(
            time_zone=self.time_zone,
            days=tuple(sorted({WEEKDAYS.index(day) + 1 for day in self.days})),
            start=self.start,
            end=self.end,
            capacity_floor=self.capacity_floor,
        )


class _Parameters(_Input):
    capacity_floor: Annotated[int, _within("capacity_floor")] | None = None
    quiet_hours: tuple[_QuietHours, ...] | None = None
    idempotent: tuple[_RequestPattern, ...] | None = None
    deadline_ms: Annotated[int, _within("deadline_ms")] | None = None
    retry_budget_percent: Annotated[int, _within("retry_budget_percent")] | None = None
    false_ejection_interval_s: (
        Annotated[int, _within("false_ejection_interval_s")] | None
    ) = None
    slots_per_target: Annotated[int, _within("slots_per_target")] | None = None
    connections_per_target: Annotated[int, _within("connections_per_target")] | None = (
        None
    )
    workspace_in_flight_limit: (
        Annotated[int, _within("workspace_in_flight_limit")] | None
    ) = None
    workspace_queue_limit: Annotated[int, _within("workspace_queue_limit")] | None = (
        None
    )
    queue_timeout_ms: Annotated[int, _within("queue_timeout_ms")] | None = None
    replay_buffer_bytes: Annotated[int, _within("replay_buffer_bytes")] | None = None
    keyed_requests_without_table: KeyedRequestPolicy | None = None

    def to_overrides(self) -> ParameterOverrides:
        values = dict(self)
        if self.quiet_hours is not None:
            values["quiet_hours"] = tuple(
                each.to_quiet_hours() for each in self.quiet_hours
            )
        if self.idempotent is not None:
            values["idempotent"] = tuple(each.to_pattern() for each in self.idempotent)
        return ParameterOverrides(**values)


class _Template(_Input):
    name: _Name
    parameters: _Parameters = _Parameters()

    def to_document(self) -> Template:
        overrides = self.parameters.to_overrides()
        return Template(name=self.name, parameters=overrides.apply_to(Parameters()))


class _Route(_Input):
    path_prefix: _PathPrefix
    host: _Host = ""
    workspace: _Name | None = None

    def to_route(self) -> Route:
        return Route(self.path_prefix, self.host, self.workspace)


class _Service(_Input):
    name: _Name
    template: _Name
    workspace: _Name
    targets: Mapping[_Name, Mapping[_Name, _Address]]
    routes: tuple[_Route, ...]
    parameters: _Parameters = _Parameters()

    def to_document(self) -> ServiceDefinition:
        return ServiceDefinition(
            name=self.name,
            template=self.template,
            workspace=self.workspace,
            targets=_to_targets(self.targets),
            routes=tuple(route.to_route() for route in self.routes),
            overrides=self.parameters.to_overrides(),
        )


class _File(_Input):
    template: _Template | None = None
    service: _Service | None = None


def _to_targets(
    addresses: Mapping[str, Mapping[str, str]],
) -> tuple[Target, ...]:
    targets: list[Target] = []
    for data_centre, members in addresses.items():
        for name, address in members.items():
            host, _, port = address.rpartition(":")
            targets.append(Target(name, data_centre, host.strip("[]"), int(port)))
    return tuple(targets)


def _syntax_finding(error: tomllib.TOMLDecodeError, source: str) -> Finding:
    line = re.search(r"at line (\d+)", str(error))
    place = f"{source}:{line.group(1)}" if line else source
    return Finding(place, f"not TOML: {error}")


def _document_count_finding(tree: Mapping[str, object], source: str) -> Finding:
    received = "both documents" if len(tree) > 1 else "no document"
    return Finding(source, f"received {received}, allowed: [template] or [service]")


def _findings(
    errors: Sequence[ErrorDetails],
    text: str,
    source: str,
    tree: Mapping[str, object],
) -> tuple[Finding, ...]:
    lines = KeyLines(text)
    findings = [_finding(each, lines, source) for each in errors]
    if "template" not in tree and "service" not in tree:
        findings.append(_document_count_finding({}, source))
    return tuple(dict.fromkeys(findings))


def _finding(error: ErrorDetails, lines: KeyLines, source: str) -> Finding:
    path = tuple(part for part in error["loc"] if part != "[key]")
    line = lines.line(path)
    where = f"{source}:{line}" if line else source
    dotted = ".".join(str(part) for part in path)
    return Finding(f"{where} {dotted}", _message(error, path))


def _message(error: ErrorDetails, path: KeyPath) -> str:
    received = error["input"]
    match error["type"]:
        case "extra_forbidden":
            return _unknown_key(path)
        case "missing":
            return "missing"
        case "greater_than_equal" | "less_than_equal":
            return f"received {received!r}, allowed {PARAMETER_RANGES[str(path[-1])]}"
        case "value_error":
            return f"received {received!r}, allowed: {error['ctx']['error']}"
        case "enum":
            return f"received {received!r}, allowed: {error['ctx']['expected']}"
        case _:
            return f"received {received!r}, allowed: {_expected_type(error)}"


def _expected_type(error: ErrorDetails) -> str:
    match error["type"]:
        case "int_type" | "int_from_float":
            return "a whole number"
        case "string_type":
            return "a string"
        case "time_parsing" | "time_type":
            return 'a time of day such as "18:00"'
        case "tuple_type":
            return "an array"
        case "mapping_type" | "model_type" | "model_attributes_type" | "dict_type":
            return "a table"
        case "too_short":
            return "at least one entry"
        case _:
            return error["msg"]


def _unknown_key(path: KeyPath) -> str:
    allowed = _allowed_keys(path[:-1])
    close = difflib.get_close_matches(str(path[-1]), allowed, n=1)
    hint = f" (did you mean {close[0]}?)" if close else ""
    return f"unknown key, allowed: {', '.join(sorted(allowed))}{hint}"


def _allowed_keys(section: KeyPath) -> tuple[str, ...]:
    names = [part for part in section if isinstance(part, str)]
    match names:
        case []:
            model: type[BaseModel] = _File
        case ["template"]:
            model = _Template
        case ["service"]:
            model = _Service
        case [_, "parameters"]:
            model = _Parameters
        case [_, "parameters", "quiet_hours"]:
            model = _QuietHours
        case [_, "parameters", "idempotent"]:
            model = _RequestPattern
        case _:
            model = _Route
    return tuple(model.model_fields)
