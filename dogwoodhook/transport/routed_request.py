"""A request on its way through the daemon, by the operator's route."""

from dataclasses import dataclass, field

from aiohttp import web
from multidict import CIMultiDict

from dogwoodhook.state.route_policy import RoutePolicy
from dogwoodhook.state.suspicion import Standing
from dogwoodhook.transport.attempts import CompleteAnswer
from dogwoodhook.transport.bodies import RequestBody


@dataclass(slots=True)
class RoutedRequest:
    """A request on its way, and what became of its attempts.

    ``deadline_s`` is on the elapsed clock. ``runs`` counts the attempts that may
    have run; ``refusals`` those that did not, and ``unreachable`` those among them
    that got no connection in time. ``is_answered`` tells that a target's answer has
    begun. ``failure`` is the own error of
    ``failed_target``, kept while another one may still do better.
    """

    request: web.BaseRequest
    request_id: str
    route: RoutePolicy
    service: str
    headers: CIMultiDict[str]
    body: RequestBody
    arrived_s: float
    deadline_s: float
    runs: int = 0
    refusals: int = 0
    unreachable: int = 0
    arrivals: int = 0
    is_answered: bool = False
    tried: set[str] = field(default_factory=set)
    last_target: str = ""
    started_s: float = 0.0
    is_hedged: bool = False
    target_s: float = 0.0
    failure: CompleteAnswer | None = None
    failed_target: str = ""
    configuration_version: int = 0
    directory_version: int = 0
    directory_age_s: float = 0.0
    last_standing: Standing = Standing.SOUND

    @property
    def has_run(self) -> bool:
        """Tell whether the request may have run."""
        return self.runs > 0 or self.is_answered

    @property
    def has_caller_left(self) -> bool:
        """Tell whether the caller has closed its connection."""
        transport = self.request.transport
        return transport is None or transport.is_closing()

    def log_fields(self, *, now_s: float) -> dict[str, object]:
        """Return what decided the request so far, for the log.

        ``configuration`` and ``targets`` are the versions that were in force,
        ``targets_age_ms`` how old the latter was when the last target was chosen.
        """
        return {
            "request": self.request_id,
            "route": self.route.name,
            "service": self.service,
            "target": self.last_target,
            "standing": self.last_standing.name.lower(),
            "configuration": self.configuration_version,
            "targets": self.directory_version,
            "targets_age_ms": int(self.directory_age_s * 1000),
            "attempts": len(self.tried),
            "runs": self.runs,
            "after_ms": int((now_s - self.arrived_s) * 1000),
            "left_ms": int((self.deadline_s - now_s) * 1000),
        }
