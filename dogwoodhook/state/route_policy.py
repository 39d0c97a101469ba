"""Routes and services as given in the operator's configuration.

A route maps a host and a path prefix to one service, or to several by weight, and
carries the policy for its requests: whether they are idempotent, to how many targets a
request may be sent, and how long a caller may be kept waiting.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from dogwoodhook.state.workspace_policy import Workspaces


def host_name(host: str) -> str:
    """Return the name in a Host header: in lower case and without the port.

    >>> host_name("Tills.Example:8080")
    'tills.example'
    """
    return host.lower().rsplit(":", 1)[0]


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RoutePolicy:
    """One route.

    ``path_prefix`` begins and ends with a slash. ``max_targets`` limits the number of
    targets that may run one request. ``priority`` 0 is the most urgent. Requests on a
    public route need no key. ``has_large_answers`` is set for a route of downloads.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    max_targets: int
    services: tuple[ServiceShare, ...]
    is_public: bool = False
    has_large_answers: bool = False

    def service_at(self, point: float) -> str:
        """Return the service at a point between 0 and 1 of the summed weights.

        >>> shares = (ServiceShare("a", 3), ServiceShare("b", 1))
        >>> route = RoutePolicy("r", "h", "/p/", True, 1.0, 0.5, 1, 2, shares)
        >>> route.service_at(0.7), route.service_at(0.8)
        ('a', 'b')
        """
        left = point * sum(share.weight for share in self.services)
        for share in self.services:
            left -= share.weight
            if left < 0:
                return share.service
        return self.services[-1].service


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """A service's health path and the connections that each target accepts."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for callers: request sizes, time to send the header, and idle time."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """The operator's configuration at one version.

    ``routes`` is keyed by host and path prefix. ``workspaces`` is ``None`` if the
    configuration names none; requests then need no key.
    """

    version: int
    routes: Mapping[tuple[str, str], RoutePolicy]
    services: Mapping[str, ServicePolicy]
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: Workspaces | None = None

    def match(self, host: str, path: str) -> RoutePolicy | None:
        """Return the route with the longest prefix of the path, or ``None``.

        The look-up costs one dictionary access for each path segment, independent of
        the number of routes.
        """
        name = host_name(host)
        end = path.rfind("/")
        while end >= 0:
            route = self.routes.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
