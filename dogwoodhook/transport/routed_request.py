"""State of a request that is being forwarded according to the operator's routes."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web
from multidict import CIMultiDict

from dogwoodhook.coordination.fleet_quarantine import AloneRun
from dogwoodhook.protocol.request_uri import RequestUri
from dogwoodhook.state.quarantine import (
    RequestIdentity,
    body_digest,
    fingerprint,
)
from dogwoodhook.state.retry_after import RoomExpected
from dogwoodhook.state.route_policy import RoutePolicy, host_name
from dogwoodhook.state.store_position import describe
from dogwoodhook.state.suspicion import Standing
from dogwoodhook.state.target_availability import Turn, turn_of
from dogwoodhook.state.workspace_policy import WorkspacePolicy
from dogwoodhook.transport.attempts import CompleteAnswer
from dogwoodhook.transport.bodies import RequestBody
from dogwoodhook.transport.request_uris import headers_to_target, host_of


@dataclass(slots=True, eq=False)
class RoutedRequest:
    """A request that is being forwarded, and the results of its attempts.

    ``deadline_s`` is on the elapsed clock. ``caller`` is the address that the caller's
    connection comes from. ``runs`` counts the attempts that may have run, ``refusals``
    those that did not run, and ``unreachable`` those among the latter that got no
    connection in time. ``arrivals`` counts the attempts that reached a target.
    ``sheds`` counts the refusals of full targets, and ``available_again`` names targets
    that were tried before the request waited for room. ``room_in_s`` is when room is
    expected, if the request is refused for want of it.
    ``has_answer_started`` is set once the start of a target's answer has been read,
    ``has_succeeded`` once a target has answered without an error.
    ``is_hedge_considered`` is set once the request was overdue and a hedge was
    considered, even if none was sent. ``failure`` is the error answer of
    ``failed_target``, kept in case no other target answers successfully. ``alone_run``
    is the request's run as a suspect. ``recalled`` is done once its attempts are to be
    given up. ``workspace`` is the holder of the request's key, ``None`` if it needs
    none.
    """

    request: web.BaseRequest
    uri: RequestUri
    request_id: str
    route: RoutePolicy
    service: str
    body: RequestBody
    arrived_s: float
    deadline_s: float
    caller: str = ""
    runs: int = 0
    refusals: int = 0
    unreachable: int = 0
    arrivals: int = 0
    sheds: int = 0
    waited_s: float = 0.0
    room_in_s: float | None = None
    has_answer_started: bool = False
    tried: set[str] = field(default_factory=set)
    available_again: set[str] = field(default_factory=set)
    last_target: str = ""
    started_s: float = 0.0
    is_hedge_considered: bool = False
    target_s: float = 0.0
    failure: CompleteAnswer | None = None
    failed_target: str = ""
    configuration_version: int = 0
    directory_version: int = 0
    directory_age_s: float = 0.0
    last_standing: Standing = Standing.SOUND
    has_succeeded: bool = False
    alone_run: AloneRun | None = None
    recalled: asyncio.Future[None] = field(default_factory=asyncio.Future)
    workspace: WorkspacePolicy | None = None
    _identity: RequestIdentity | None = None
    _headers: CIMultiDict[str] | None = None

    @property
    def priority(self) -> int:
        """Return the priority of the workspace if it has one, else of the route."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    @property
    def headers(self) -> CIMultiDict[str]:
        """Return the headers that are sent to targets."""
        if self._headers is None:
            self._headers = headers_to_target(self.request, self.uri)
        return self._headers

    @property
    def turn(self) -> Turn:
        """Return when the request returns to a target after a pause."""
        return turn_of(priority=self.priority, is_idempotent=self.route.is_idempotent)

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have run."""
        return self.runs > 0 or self.has_answer_started

    @property
    def excluded_targets(self) -> frozenset[str]:
        """Return the targets that the request is not to be sent to again for now."""
        return frozenset(self.tried - self.available_again)

    @property
    def expected_room(self) -> RoomExpected | None:
        """Return when room is expected, if the request is refused for want of it."""
        if self.room_in_s is None:
            return None
        return RoomExpected(self.room_in_s, self.priority)

    @property
    def identity(self) -> RequestIdentity:
        """Return the fingerprints, which are the same for each sending.

        They tell what the caller sent, not where the request goes: a route may have
        several services, and another version of the configuration another service.
        """
        if self._identity is None:
            digest = body_digest(self.body.identifying_bytes)
            of_caller, of_any_caller = (
                fingerprint(
                    scope=host_name(host_of(self.request, self.uri)),
                    workspace=caller,
                    method=self.request.method,
                    path=self.uri.text,
                    digest=digest,
                )
                for caller in (self.caller, "")
            )
            self._identity = RequestIdentity(of_caller, of_any_caller)
        return self._identity

    @property
    def has_caller_left(self) -> bool:
        """Return whether the caller has closed its connection."""
        transport = self.request.transport
        return transport is None or transport.is_closing()

    def log_fields(self, *, now_s: float) -> dict[str, object]:
        """Return the log fields that explain how the request has been handled so far.

        ``configuration`` and ``targets`` are the versions that were in force.
        ``targets_age_ms`` is the age of ``targets`` when the last target was chosen.
        """
        return {
            "request": self.request_id,
            "route": self.route.name,
            "service": self.service,
            "target": self.last_target,
            "standing": self.last_standing.name.lower(),
            "configuration": self.configuration_version,
            "targets": describe(self.directory_version),
            "targets_age_ms": int(self.directory_age_s * 1000),
            "attempts": len(self.tried),
            "runs": self.runs,
            "after_ms": int((now_s - self.arrived_s) * 1000),
            "left_ms": int((self.deadline_s - now_s) * 1000),
        }
