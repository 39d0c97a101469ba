"""Routes of requests to services."""

from collections.abc import Iterable
from dataclasses import dataclass

from dogwoodhook.state.model import Service


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The service that a request is sent to, and the workspace of its route."""

    service: str
    workspace: str


class RouteTable:
    """Routes by host and path prefix; the route with the longest prefix is used.

    A route with a host has precedence over one for any host. Prefixes match complete
    path segments. A look-up costs one dictionary access for each path segment,
    independent of the number of routes.
    """

    def __init__(self, services: Iterable[Service]) -> None:
        self._routes: dict[tuple[str, str], RouteMatch] = {}
        for service in services:
            for route in service.routes:
                key = (route.host.lower(), route.path_prefix.rstrip("/"))
                workspace = route.workspace or service.workspace
                self._routes[key] = RouteMatch(service.name, workspace)

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Return the match of a request's host and path, or ``None``."""
        name = host.lower().rsplit(":", 1)[0]
        for candidate in (name, ""):
            prefix = path.rstrip("/")
            while True:
                found = self._routes.get((candidate, prefix))
                if found is not None:
                    return found
                if not prefix:
                    break
                prefix = prefix.rpartition("/")[0]
        return None
