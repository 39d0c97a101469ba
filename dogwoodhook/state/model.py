"""The configuration as data: templates, services, planned stops.

A template holds parameters. A service definition names its template, overrides
the parameters that differ, and lists its targets and routes. ``resolve_service``
merges the two. All of it is immutable; ``apply_change`` returns a new
configuration. The classes are plain data classes: documents from outside are
validated in ``dogwoodhook.protocol`` before they become one of these.
"""

import datetime
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from enum import StrEnum
from typing import Literal
from zoneinfo import ZoneInfo


class KeyedRequestPolicy(StrEnum):
    """What happens to a request with an idempotency key while the table is down."""

    REFUSE = "refuse"
    FORWARD = "forward"


@dataclass(frozen=True, slots=True)
class RequestPattern:
    """A method and a path; a path ending in ``*`` matches by prefix.

    >>> RequestPattern(method="GET", path="/balances/*").matches("GET", "/balances/7")
    True
    """

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request's method and path match the pattern."""
        if self.method not in ("*", method):
            return False
        if self.path.endswith("*"):
            return path.startswith(self.path[:-1])
        return path == self.path


@dataclass(frozen=True, slots=True)
class QuietHours:
    """A weekly period with a capacity floor of its own.

    ``days`` holds ISO weekday numbers (Monday is 1) on which the period starts.
    A period whose end is not after its start runs into the following day.
    """

    time_zone: str
    days: tuple[int, ...]
    start: datetime.time
    end: datetime.time
    capacity_floor: int

    def contains(self, wall_s: float) -> bool:
        """Return whether a moment, in seconds since the epoch, is in the period."""
        moment = datetime.datetime.fromtimestamp(wall_s, ZoneInfo(self.time_zone))
        clock_time = moment.time()
        weekday = moment.isoweekday()
        if self.start < self.end:
            return weekday in self.days and self.start <= clock_time < self.end
        if weekday in self.days and clock_time >= self.start:
            return True
        previous_weekday = (weekday - 2) % 7 + 1
        return previous_weekday in self.days and clock_time < self.end


@dataclass(frozen=True, slots=True)
class Parameters:
    """Parameters of a service, after its template and its own values are merged."""

    capacity_floor: int = 1
    quiet_hours: tuple[QuietHours, ...] = ()
    idempotent: tuple[RequestPattern, ...] = ()
    deadline_ms: int = 10_000
    retry_budget_percent: int = 10
    false_ejection_interval_s: int = 7 * 24 * 3600
    slots_per_target: int = 3
    connections_per_target: int = 330
    workspace_in_flight_limit: int = 64
    workspace_queue_limit: int = 64
    queue_timeout_ms: int = 1_000
    replay_buffer_bytes: int = 64 * 1024
    keyed_requests_without_table: KeyedRequestPolicy = KeyedRequestPolicy.REFUSE

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether the operator marked such a request as idempotent."""
        return any(pattern.matches(method, path) for pattern in self.idempotent)

    def capacity_floor_at(self, wall_s: float) -> int:
        """Return the floor in force at a moment in seconds since the epoch."""
        for period in self.quiet_hours:
            if period.contains(wall_s):
                return period.capacity_floor
        return self.capacity_floor


@dataclass(frozen=True, slots=True)
class ParameterOverrides:
    """A service's own values; ``None`` leaves the template's value in force."""

    capacity_floor: int | None = None
    quiet_hours: tuple[QuietHours, ...] | None = None
    idempotent: tuple[RequestPattern, ...] | None = None
    deadline_ms: int | None = None
    retry_budget_percent: int | None = None
    false_ejection_interval_s: int | None = None
    slots_per_target: int | None = None
    connections_per_target: int | None = None
    workspace_in_flight_limit: int | None = None
    workspace_queue_limit: int | None = None
    queue_timeout_ms: int | None = None
    replay_buffer_bytes: int | None = None
    keyed_requests_without_table: KeyedRequestPolicy | None = None

    def apply_to(self, parameters: Parameters) -> Parameters:
        """Return the parameters with the values set here replacing theirs."""
        values = {each.name: getattr(self, each.name) for each in fields(self)}
        changed = {name: value for name, value in values.items() if value is not None}
        return replace(parameters, **changed)


@dataclass(frozen=True, slots=True)
class Target:
    """One server of a service."""

    name: str
    data_centre: str
    host: str
    port: int

    @property
    def address(self) -> str:
        """Host and port, as the platform's list writes them."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of a host (empty for any) below a path prefix."""

    path_prefix: str
    host: str = ""
    workspace: str | None = None


@dataclass(frozen=True, slots=True)
class Template:
    """Parameters shared by services."""

    name: str
    parameters: Parameters = field(default_factory=Parameters)
    kind: Literal["template"] = "template"


@dataclass(frozen=True, slots=True)
class ServiceDefinition:
    """A workspace service as its operator wrote it."""

    name: str
    template: str
    workspace: str
    targets: tuple[Target, ...]
    routes: tuple[Route, ...]
    overrides: ParameterOverrides = field(default_factory=ParameterOverrides)
    kind: Literal["service"] = "service"


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A target's planned stop, between two moments in seconds since the epoch."""

    name: str
    service: str
    target: str
    start_s: float
    end_s: float
    reason: str = ""
    kind: Literal["stop"] = "stop"


Document = Template | ServiceDefinition | PlannedStop
DocumentKind = Literal["template", "service", "stop"]


@dataclass(frozen=True, slots=True)
class DocumentKey:
    """Kind and name of a document."""

    kind: DocumentKind
    name: str


@dataclass(frozen=True, slots=True)
class DocumentVersion:
    """A document and the head version at which it changed; 0 if it was absent."""

    key: DocumentKey
    version: int


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted change of the configuration, kept permanently.

    ``version`` is the head version that the change created; ``changed_at_s`` is wall
    time. ``token`` is unique to the attempt, so that a writer that lost the answer
    to its commit recognises its own change. ``based_on`` names, for each document
    changed or removed, the version that it replaces, which links the versions of
    each document into a history.
    """

    version: int
    author: str
    changed_at_s: float
    token: str
    documents: tuple[Document, ...] = ()
    removed: tuple[DocumentKey, ...] = ()
    based_on: tuple[DocumentVersion, ...] = ()


@dataclass(frozen=True, slots=True)
class Revision:
    """A document with the head version at which it last changed."""

    document: Document
    version: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service with its parameters resolved."""

    name: str
    workspace: str
    parameters: Parameters
    targets: tuple[Target, ...]
    routes: tuple[Route, ...]

    def target(self, name: str) -> Target | None:
        """Return the target of that name, if the service lists one."""
        return next((each for each in self.targets if each.name == name), None)


@dataclass(frozen=True, slots=True)
class Configuration:
    """Every document in force at one head version."""

    version: int = 0
    revisions: Mapping[DocumentKey, Revision] = field(default_factory=dict)

    def template(self, name: str) -> Template | None:
        """Return a template by name."""
        revision = self.revisions.get(DocumentKey("template", name))
        document = revision.document if revision else None
        return document if isinstance(document, Template) else None

    def service(self, name: str) -> Service | None:
        """Return a service by name, with its parameters resolved."""
        revision = self.revisions.get(DocumentKey("service", name))
        document = revision.document if revision else None
        if not isinstance(document, ServiceDefinition):
            return None
        return resolve_service(document, self.template(document.template))

    def services(self) -> tuple[Service, ...]:
        """Return every service, with its parameters resolved."""
        return tuple(
            resolve_service(
                revision.document, self.template(revision.document.template)
            )
            for revision in self.revisions.values()
            if isinstance(revision.document, ServiceDefinition)
        )

    def stops(self, service: str | None = None) -> tuple[PlannedStop, ...]:
        """Return the planned stops, of one service or of all."""
        return tuple(
            revision.document
            for revision in self.revisions.values()
            if isinstance(revision.document, PlannedStop)
            and service in (None, revision.document.service)
        )


def resolve_service(
    definition: ServiceDefinition, template: Template | None
) -> Service:
    """Merge a service's own values with its template's."""
    parameters = template.parameters if template else Parameters()
    return Service(
        name=definition.name,
        workspace=definition.workspace,
        parameters=definition.overrides.apply_to(parameters),
        targets=definition.targets,
        routes=definition.routes,
    )


def document_key(document: Document) -> DocumentKey:
    """Return the key under which a document is kept."""
    return DocumentKey(document.kind, document.name)


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """Return the configuration after the change, which must be the next one.

    >>> change = Change(1, "amina", 0.0, "t-1", documents=(Template("small"),))
    >>> apply_change(Configuration(), change).template("small").name
    'small'
    """
    if change.version != configuration.version + 1:
        raise ValueError(
            f"change {change.version} does not follow version {configuration.version}"
        )
    revisions = dict(configuration.revisions)
    for document in change.documents:
        revisions[document_key(document)] = Revision(document, change.version)
    for key in change.removed:
        revisions.pop(key, None)
    return Configuration(version=change.version, revisions=revisions)
