"""Admits requests by the keys of workspaces, on arrival and before each sending.

A request may wait for its body, its turn, a connection or another attempt while its key
is withdrawn or goes to another workspace. Each attempt is therefore made with the
workspace that holds the key at that moment, and given up if this has changed by the
time at which its first byte would be sent.
"""

from dataclasses import dataclass

from aiohttp import web
from multidict import CIMultiDict

from dogwoodhook.clock import Clock
from dogwoodhook.events import KEY_REFUSED, log
from dogwoodhook.metrics import Metrics
from dogwoodhook.protocol.http_conventions import HttpConventions
from dogwoodhook.state.retry_after import NoTargetKnown
from dogwoodhook.state.route_policy import RoutePolicy
from dogwoodhook.state.workspace_access import (
    Access,
    Admitted,
    KeyProblem,
    Public,
    ReportedKeys,
    Unconfirmed,
    UnknownKey,
    access_by_key,
    confirmed_access,
)
from dogwoodhook.state.workspace_policy import WorkspacePolicy
from dogwoodhook.transport.fleet_view import FleetView
from dogwoodhook.transport.own_answers import OwnAnswers
from dogwoodhook.transport.routed_request import RoutedRequest
from dogwoodhook.transport.workspace_headers import WorkspaceHeaders

MAX_REPORTED_KEYS = 32
"""Log lines on refused keys in an interval; all refusals are counted."""

REPORT_INTERVAL_S = 60.0
"""Interval after which a refused key is logged again."""

UNKNOWN_KEY_DETAIL = "no workspace holds the key"
UNCONFIRMED_DETAIL = "the configuration is too old to tell whether the key holds"
REFUSED_DETAIL = "the key no longer holds for certain"
CHANGED_DETAIL = "the workspace of the key has changed"


@dataclass(frozen=True, slots=True)
class WorkspaceLabel:
    """What an attempt tells its target of the workspace.

    ``name`` is ``None`` for a request that needs no key. ``is_set_here`` is false where
    the configuration names no workspaces; a caller's headers are then passed on.
    """

    name: str | None
    is_set_here: bool


class WorkspaceAdmission:
    """Decides by the configuration in force which workspace a request runs for."""

    def __init__(
        self,
        fleet: FleetView,
        conventions: HttpConventions,
        clock: Clock,
        metrics: Metrics,
        own_answers: OwnAnswers,
    ) -> None:
        self._fleet = fleet
        self._conventions = conventions
        self._clock = clock
        self._metrics = metrics
        self._own_answers = own_answers
        self._headers = WorkspaceHeaders(conventions)
        self._reported = ReportedKeys(
            limit=MAX_REPORTED_KEYS, interval_s=REPORT_INTERVAL_S
        )

    def access(self, request: web.BaseRequest, route: RoutePolicy) -> Access:
        """Return for which workspace a request may run now, or why it may not."""
        configuration = self._fleet.configuration()
        if configuration is None or configuration.workspaces is None:
            return Public()
        key_values = request.headers.getall(self._conventions.key_header, [])
        access = access_by_key(
            configuration.workspaces, is_public=route.is_public, key_values=key_values
        )
        return confirmed_access(access, self._fleet.configuration_age())

    def refusal(
        self,
        request: web.BaseRequest,
        route: RoutePolicy,
        *,
        earlier: WorkspacePolicy | None = None,
    ) -> web.Response | None:
        """Return the answer to a request that may not run now, ``None`` if it may.

        ``earlier`` is the workspace that held the key when it was checked before.
        """
        match self.access(request, route):
            case UnknownKey(problem, digest_label):
                if earlier is not None:
                    problem = KeyProblem.WITHDRAWN
                self._report(problem, route, earlier, digest_label)
                return self._own_answers.unauthorized(request, UNKNOWN_KEY_DETAIL)
            case Unconfirmed(holder):
                self._report(KeyProblem.UNCONFIRMED, route, holder or earlier)
                return self._own_answers.unavailable(
                    request, UNCONFIRMED_DETAIL, NoTargetKnown()
                )
            case _:
                return None

    def admits(self, routed: RoutedRequest) -> bool:
        """Return whether a request may still run, and record for which workspace."""
        match self.access(routed.request, routed.route):
            case Admitted(workspace):
                routed.workspace = workspace
                return True
            case Public():
                routed.workspace = None
                return True
            case _:
                return False

    def label(self, routed: RoutedRequest) -> WorkspaceLabel:
        """Return what an attempt that begins now tells its target."""
        configuration = self._fleet.configuration()
        is_set_here = configuration is not None and configuration.workspaces is not None
        workspace = routed.workspace
        return WorkspaceLabel(workspace.name if workspace else None, is_set_here)

    def headers_to_target(
        self, routed: RoutedRequest, label: WorkspaceLabel
    ) -> CIMultiDict[str]:
        """Return the headers of an attempt; they contain no key of a workspace."""
        headers = routed.headers.copy()
        if not label.is_set_here:
            return headers
        self._headers.drop(headers)
        if label.name is not None:
            headers[self._conventions.workspace_header] = label.name
        return headers

    def obstacle(self, routed: RoutedRequest, label: WorkspaceLabel) -> str | None:
        """Return why an attempt is not to be sent any more, if so."""
        if not self.admits(routed):
            return REFUSED_DETAIL
        return CHANGED_DETAIL if self.label(routed) != label else None

    def _report(
        self,
        problem: KeyProblem,
        route: RoutePolicy,
        holder: WorkspacePolicy | None,
        digest_label: str = "",
    ) -> None:
        workspace = holder.name if holder is not None else ""
        self._metrics.record_key_refusal(problem, workspace=workspace)
        label = f"{problem} {digest_label} {workspace} {route.name}"
        if self._reported.is_new(label, now_s=self._clock.now_s()):
            configuration = self._fleet.configuration()
            log(
                KEY_REFUSED,
                problem=problem,
                workspace=workspace,
                key_digest=digest_label,
                route=route.name,
                configuration=configuration.version if configuration else 0,
                configuration_age_ms=round(
                    self._fleet.configuration_age().age_s * 1000
                ),
            )
