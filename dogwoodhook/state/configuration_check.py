"""Checks a routing configuration before it is sent, beside the errors of its format.

Three kinds of problems are found: an error, with which no daemon serves what the
operator wants; an entry that can never match a request; and limits that contradict each
other, so that one of them has no effect. ``differences`` tells what a configuration
changes in the one in force. Nothing here contains a key of a workspace.
"""

import re
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

from dogwoodhook.findings import Finding
from dogwoodhook.state.route_policy import RoutePolicy, RoutingConfiguration
from dogwoodhook.state.workspace_policy import WorkspacePolicy
from dogwoodhook.vm_settings import is_host

_SENT_PATH = re.compile(r"[A-Za-z0-9\-._~!$&'()*+,;=:@/%]*")
"""Characters of a path as callers send it (RFC 3986, section 3.3); a prefix is compared
with the path before it is decoded."""

_HIDDEN_FIELDS = frozenset({"key_digests"})


class Problem(StrEnum):
    """The kind of a problem."""

    ERROR = "error"
    NEVER_MATCHES = "never matches"
    CONTRADICTION = "contradiction"


@dataclass(frozen=True, slots=True)
class ConfigurationProblem:
    """A problem and its place.

    >>> print(ConfigurationProblem(Problem.ERROR, Finding("routes.r-1", "no timeout")))
    error: routes.r-1: no timeout
    """

    kind: Problem
    finding: Finding

    def __str__(self) -> str:
        return f"{self.kind}: {self.finding}"


def check_configuration(
    configuration: RoutingConfiguration, routes: Sequence[RoutePolicy]
) -> list[ConfigurationProblem]:
    """Return all problems of a configuration.

    ``routes`` are its routes as they are listed; in the configuration itself, of two
    with the same host and prefix only one is left.
    """
    return [
        *_route_problems(configuration, routes),
        *_service_problems(configuration, routes),
        *_limit_problems(configuration),
        *_workspace_problems(configuration, routes),
    ]


def _error(place: str, message: str) -> ConfigurationProblem:
    return ConfigurationProblem(Problem.ERROR, Finding(place, message))


def _never(place: str, message: str) -> ConfigurationProblem:
    return ConfigurationProblem(Problem.NEVER_MATCHES, Finding(place, message))


def _contradiction(place: str, message: str) -> ConfigurationProblem:
    return ConfigurationProblem(Problem.CONTRADICTION, Finding(place, message))


def _route_problems(
    configuration: RoutingConfiguration, routes: Iterable[RoutePolicy]
) -> Iterator[ConfigurationProblem]:
    first_at: dict[tuple[str, str], str] = {}
    for route in routes:
        place = f"routes.{route.name}"
        first = first_at.setdefault((route.host, route.path_prefix), route.name)
        if first != route.name:
            yield _error(place, f"the route {first} has the same host and prefix")
        if not is_host(route.host):
            yield _never(place, f"{route.host!r} is no host that a request can name")
        if not _SENT_PATH.fullmatch(route.path_prefix):
            yield _never(place, "the prefix has a character that callers encode")
        if route.timeout_s <= 0:
            yield _error(place, "the timeout is 0: every request fails")
        elif route.target_latency_s > route.timeout_s:
            yield _contradiction(
                place,
                f"the target latency of {route.target_latency_s:g} s is longer than the"
                f" timeout of {route.timeout_s:g} s",
            )
        yield from _share_problems(configuration, route, place)


def _share_problems(
    configuration: RoutingConfiguration, route: RoutePolicy, place: str
) -> Iterator[ConfigurationProblem]:
    if not any(share.weight > 0 for share in route.services):
        yield _error(place, "no service has a weight over 0")
    for share in route.services:
        if share.service not in configuration.services:
            yield _error(place, f"the service {share.service!r} is not listed")
        elif share.weight <= 0:
            yield _never(place, f"the service {share.service} has the weight 0")


def _service_problems(
    configuration: RoutingConfiguration, routes: Iterable[RoutePolicy]
) -> Iterator[ConfigurationProblem]:
    used = {share.service for route in routes for share in route.services}
    for name, service in configuration.services.items():
        place = f"services.{name}"
        if name not in used:
            yield _never(place, "no route leads to it")
        if not service.health_path.startswith("/"):
            yield _error(place, "the health path does not begin with a slash")


def _limit_problems(
    configuration: RoutingConfiguration,
) -> Iterator[ConfigurationProblem]:
    limits = configuration.limits
    if limits.max_header_bytes <= 0:
        yield _error("limits", "no head is short enough for the limit of heads")
    if limits.max_body_bytes < 0:
        yield _error("limits", "the limit of bodies is negative")
    if limits.header_timeout_s <= 0:
        yield _error("limits", "no head is sent in the time for heads")
    if limits.idle_timeout_s <= 0:
        yield _contradiction("limits", "no connection is kept, the idle time is 0")


def _workspace_problems(
    configuration: RoutingConfiguration, routes: Sequence[RoutePolicy]
) -> Iterator[ConfigurationProblem]:
    if configuration.workspaces is None:
        return
    workspaces = configuration.workspaces.by_name.values()
    has_keys = any(workspace.key_digests for workspace in workspaces)
    for route in routes:
        if not route.is_public and not has_keys:
            yield _never(f"routes.{route.name}", "it needs a key, and there is none")
    for workspace in workspaces:
        place = f"workspaces.{workspace.name}"
        if not workspace.key_digests:
            yield _never(place, "it has no key")
        if workspace.burst and not workspace.has_quota:
            yield _contradiction(place, "a burst without a rate has no effect")
        if workspace.has_quota and workspace.rate_per_s + workspace.burst < 1:
            yield _contradiction(place, "its quota is less than one request")


def differences(
    old: RoutingConfiguration, new: RoutingConfiguration
) -> list[ConfigurationProblem | str]:
    """Return what a new configuration changes, a line each; errors of its version too.

    Daemons never go back to an earlier version, so a new one needs a higher number.
    """
    lines: list[ConfigurationProblem | str] = []
    if new.version <= old.version:
        lines.append(
            _error(
                "version",
                f"{new.version} is not above {old.version}, which is in force",
            )
        )
    lines += _changes("route", _by_name(old.routes), _by_name(new.routes))
    lines += _changes("service", old.services, new.services)
    lines += _changes("limits", {"": old.limits}, {"": new.limits})
    lines += _changes("workspace", _workspaces(old), _workspaces(new), _key_changes)
    return lines


def _by_name(routes: Mapping[tuple[str, str], RoutePolicy]) -> dict[str, RoutePolicy]:
    return {route.name: route for route in routes.values()}


def _workspaces(configuration: RoutingConfiguration) -> Mapping[str, WorkspacePolicy]:
    if configuration.workspaces is None:
        return {}
    return configuration.workspaces.by_name


def _no_more_changes(before: Any, after: Any) -> list[str]:
    return []


def _key_changes(before: WorkspacePolicy, after: WorkspacePolicy) -> list[str]:
    added = len(after.key_digests - before.key_digests)
    removed = len(before.key_digests - after.key_digests)
    return [f"{added} keys added, {removed} removed"] if added or removed else []


def _changes(
    kind: str,
    old: Mapping[str, Any],
    new: Mapping[str, Any],
    more_changes: Callable[[Any, Any], list[str]] = _no_more_changes,
) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        label = f"{kind} {name}".rstrip()
        if name not in new:
            yield f"{label}: removed"
        elif name not in old:
            yield f"{label}: added"
        elif old[name] != new[name]:
            changed = _changed_fields(old[name], new[name])
            yield f"{label}: {', '.join(changed + more_changes(old[name], new[name]))}"


def _changed_fields(old: Any, new: Any) -> list[str]:
    pairs = (
        (field.name, getattr(old, field.name), getattr(new, field.name))
        for field in fields(old)
        if field.name not in _HIDDEN_FIELDS
    )
    return [f"{name} {was!r} -> {now!r}" for name, was, now in pairs if was != now]
