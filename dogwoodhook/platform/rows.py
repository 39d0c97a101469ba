"""Decodes the platform's rows into the project's types.

In the platform's rows, ``backend`` is a target service, a server is a target, ``zone``
is a data centre, and ``state`` is a target's phase. A row that cannot be decoded as a
target is treated as if there were none, and logged. Every number and text of a row has
an upper bound, since other programs write to these tables too.
"""

import json
from collections import OrderedDict
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)
from pydantic.alias_generators import to_camel

from dogwoodhook.coordination.store import StoreRow
from dogwoodhook.coordination.store_reading import RowDecoder
from dogwoodhook.events import TARGET_ENTRY_REFUSED, log
from dogwoodhook.findings import Finding, FindingsError
from dogwoodhook.platform.durations import parse_duration_s
from dogwoodhook.platform.settings_file import parse_address
from dogwoodhook.state.route_policy import (
    CallerLimits,
    RoutePolicy,
    RoutingConfiguration,
    ServicePolicy,
    ServiceShare,
)
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.state.workspace_policy import (
    WorkspacePolicy,
    Workspaces,
    key_digest,
)

CONFIGURATION_KEY = "config"

MAX_DURATION_S = 30 * 24 * 3600.0
"""Longest duration that a row may contain."""

MAX_COUNT = 2**53
"""Largest count that a row may contain: every smaller one is exact as a float."""

MAX_SLOTS = 100_000
"""Most slots of a target; work is weighed by them."""

MAX_TEXT_LENGTH = 200
"""Longest name that a row may contain, the store's limit for keys."""

MAX_KEY_LENGTH = 4096
"""Longest key of a workspace; a key has to fit the head of a request."""

MAX_REPORTED_ROWS = 256
"""Rows whose last problem is remembered, so that it is logged once."""


_IDEMPOTENT_TYPES = frozenset({"safe", "download"})


def _encodable(text: str) -> str:
    text.encode()
    return text


_DurationS = Annotated[
    float, BeforeValidator(parse_duration_s), Field(ge=0, le=MAX_DURATION_S)
]
_Count = Annotated[int, Field(ge=0, le=MAX_COUNT, strict=True)]
_Text = Annotated[
    str, Field(max_length=MAX_TEXT_LENGTH, strict=True), AfterValidator(_encodable)
]


_Key = Annotated[
    str,
    Field(min_length=1, max_length=MAX_KEY_LENGTH, strict=True),
    AfterValidator(_encodable),
]


class _PlatformModel(BaseModel):
    model_config = ConfigDict(frozen=True, alias_generator=to_camel, extra="ignore")


class _ServerEntry(_PlatformModel):
    backend: Annotated[_Text, Field(min_length=1)]
    address: Annotated[str, Field(strict=True)]
    zone: _Text
    # The version of the target's software, not of the routing configuration.
    config_version: Annotated[str, Field(strict=True)]
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS, strict=True)]
    state: Literal["ready", "draining"]
    warmup_left: _DurationS
    sequence: _Count
    born: _Count = 0


class _WeightedBackend(_PlatformModel):
    backend: str
    weight: Annotated[float, Field(ge=0, le=MAX_COUNT)]


class _RouteRow(_PlatformModel):
    hostname: str
    prefix: Annotated[str, Field(pattern=r"^/(.*/)?$")]
    route_type: Literal["safe", "unsafe", "upload", "download"]
    timeout: _DurationS
    target_latency: _DurationS
    priority: int
    attempts: Annotated[int, Field(ge=1, le=MAX_COUNT)]
    backend: str | None = None
    weighted_backends: tuple[_WeightedBackend, ...] = ()
    public: bool = False

    @model_validator(mode="after")
    def _has_service(self) -> "_RouteRow":
        if self.backend is None and not self.weighted_backends:
            raise ValueError("backend or weightedBackends is needed")
        return self


class _BackendRow(_PlatformModel):
    health_path: str
    max_connections: Annotated[int, Field(ge=1)]


class _LimitsRow(_PlatformModel):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: _DurationS
    idle_timeout: _DurationS


class _TenantRow(_PlatformModel):
    api_keys: tuple[_Key, ...] = ()
    rate_per_s: Annotated[float, Field(ge=0, le=MAX_COUNT)] = 0.0
    burst: Annotated[float, Field(ge=0, le=MAX_COUNT)] = 0.0
    priority: int | None = None


_WorkspaceName = Annotated[
    str,
    # Sent to targets as the value of a header.
    Field(
        max_length=MAX_TEXT_LENGTH,
        strict=True,
        pattern=r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?$",
    ),
    AfterValidator(_encodable),
]


class _ConfigurationRow(_PlatformModel):
    config_version: Annotated[int, Field(ge=-MAX_COUNT, le=MAX_COUNT)]
    # ``ConfigurationDecoder`` decodes each route separately.
    routes: dict[str, Any]
    backends: dict[str, _BackendRow]
    limits: _LimitsRow
    tenants: dict[_WorkspaceName, _TenantRow] | None = None


class TargetDecoder:
    """Decodes the entries of targets, and logs once why it refused one."""

    def __init__(self) -> None:
        self._problems: OrderedDict[str, str] = OrderedDict()

    def decode(self, row: StoreRow) -> TargetEntry | None:
        """Return a row's target, or ``None`` if it was removed or cannot be decoded."""
        if row.value is None:
            self._problems.pop(row.key, None)
            return None
        try:
            entry = _parse_target(row.key, row.value)
        except ValidationError as error:
            problem = "; ".join(str(each) for each in _findings(error))
        except (ValueError, RecursionError) as error:
            problem = str(error)
        else:
            self._problems.pop(row.key, None)
            return entry
        self._report(row.key, problem[:MAX_TEXT_LENGTH])
        return None

    def _report(self, name: str, problem: str) -> None:
        if self._problems.get(name) == problem:
            return
        self._problems[name] = problem
        while len(self._problems) > MAX_REPORTED_ROWS:
            self._problems.popitem(last=False)
        log(TARGET_ENTRY_REFUSED, target=name, problem=problem)


def _parse_target(name: str, value: bytes) -> TargetEntry:
    server = _ServerEntry.model_validate(json.loads(value))
    address = parse_address(server.address)
    return TargetEntry(
        name=name,
        service=server.backend,
        host=address.host,
        port=address.port,
        data_centre=server.zone,
        slots=server.slots,
        is_draining=server.state == "draining",
        warmup_s=server.warmup_left,
        incarnation=server.born,
    )


class ConfigurationDecoder:
    """Decodes the operator's configuration; unchanged routes are not decoded again.

    A version changes few routes of many, and decoding blocks the daemon's event loop.
    ``decoded_route_count`` counts the routes decoded so far.
    """

    def __init__(self) -> None:
        self.decoded_route_count = 0
        self._cache: dict[str, tuple[object, RoutePolicy]] = {}

    @property
    def listed_routes(self) -> list[RoutePolicy]:
        """Return the routes of the last configuration, as they are listed."""
        return [policy for _, policy in self._cache.values()]

    def decode(self, row: StoreRow) -> RoutingConfiguration:
        """Return the configuration in a row, or raise ``FindingsError``."""
        try:
            raw = json.loads(row.value or b"")
        except (ValueError, RecursionError) as error:
            raise FindingsError([Finding(row.key, str(error))]) from None
        cache, findings = self._decode_routes(raw)
        try:
            decoded = _ConfigurationRow.model_validate(raw)
        except ValidationError as error:
            findings += _findings(error)
        else:
            findings += _shared_keys(decoded)
        if findings:
            raise FindingsError(findings)
        self._cache = cache
        return _configuration(decoded, self.listed_routes)

    def _decode_routes(
        self, raw: Any
    ) -> tuple[dict[str, tuple[object, RoutePolicy]], list[Finding]]:
        routes = raw.get("routes") if isinstance(raw, dict) else None
        cache: dict[str, tuple[object, RoutePolicy]] = {}
        findings: list[Finding] = []
        for name, route in routes.items() if isinstance(routes, dict) else ():
            cached = self._cache.get(name)
            if cached is not None and cached[0] == route:
                cache[name] = cached
                continue
            self.decoded_route_count += 1
            try:
                policy = _route_policy(name, _RouteRow.model_validate(route))
            except ValidationError as error:
                findings += _findings(error, "routes", name)
                continue
            cache[name] = (route, policy)
        return cache, findings


def _findings(error: ValidationError, *place: str) -> list[Finding]:
    return [
        Finding(".".join(map(str, (*place, *each["loc"]))), each["msg"])
        for each in error.errors()
    ]


def _shared_keys(decoded: _ConfigurationRow) -> list[Finding]:
    """Return a finding for each key of two workspaces; the key itself is not shown."""
    holders: dict[str, str] = {}
    findings: list[Finding] = []
    for name, tenant in (decoded.tenants or {}).items():
        for index, key in enumerate(tenant.api_keys):
            holder = holders.setdefault(key, name)
            if holder != name:
                place = f"tenants.{name}.apiKeys.{index}"
                findings.append(Finding(place, f"the tenant {holder} has the same key"))
    return findings


def _workspaces(decoded: _ConfigurationRow) -> Workspaces | None:
    if decoded.tenants is None:
        return None
    return Workspaces.of(
        WorkspacePolicy(
            name=name,
            key_digests=frozenset(map(key_digest, tenant.api_keys)),
            rate_per_s=tenant.rate_per_s,
            burst=tenant.burst,
            priority=tenant.priority,
        )
        for name, tenant in decoded.tenants.items()
    )


def _configuration(
    decoded: _ConfigurationRow, policies: list[RoutePolicy]
) -> RoutingConfiguration:
    limits = decoded.limits
    return RoutingConfiguration(
        version=decoded.config_version,
        routes={(route.host, route.path_prefix): route for route in policies},
        services={
            name: ServicePolicy(name, each.health_path, each.max_connections)
            for name, each in decoded.backends.items()
        },
        limits=CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout,
            idle_timeout_s=limits.idle_timeout,
        ),
        workspaces=_workspaces(decoded),
    )


def _route_policy(name: str, route: _RouteRow) -> RoutePolicy:
    shares = tuple(
        ServiceShare(each.backend, each.weight) for each in route.weighted_backends
    )
    return RoutePolicy(
        name=name,
        host=route.hostname.lower(),
        path_prefix=route.prefix,
        is_idempotent=route.route_type in _IDEMPOTENT_TYPES,
        timeout_s=route.timeout,
        target_latency_s=route.target_latency,
        priority=route.priority,
        max_targets=route.attempts,
        services=shares or (ServiceShare(route.backend or "", 1.0),),
        is_public=route.public,
        has_large_answers=route.route_type == "download",
    )


def make_row_decoder() -> RowDecoder:
    """Return the decoder of the platform's rows."""
    return RowDecoder(
        configuration_key=CONFIGURATION_KEY,
        target=TargetDecoder().decode,
        configuration=ConfigurationDecoder().decode,
    )
