"""Forwards requests according to the operator's routes.

Each request goes to a target of its route's service and gets exactly one outcome.
A request that a target refused, or that never reached one, is sent to another target.
A request that may have run is sent again only if its route is idempotent.
"""

import asyncio
import random
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import replace
from typing import Any

from aiohttp import ClientError, web
from multidict import CIMultiDict

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.target_ends import EndEvidence
from dogwoodhook.events import (
    ATTEMPT_FAILED,
    CALLER_LEFT,
    REQUEST_ANSWERED,
    REQUEST_CUT,
    REQUEST_REFUSED,
    REQUEST_UNANSWERED,
    TARGET_LIVES,
    log,
)
from dogwoodhook.metrics import Metrics
from dogwoodhook.protocol.headers import SERVER_ERROR_STATUS, end_to_end_headers
from dogwoodhook.protocol.http_conventions import HttpConventions
from dogwoodhook.protocol.request_uri import RequestUri
from dogwoodhook.state.daemon_stop import DaemonStop
from dogwoodhook.state.placement import Candidate
from dogwoodhook.state.quarantine import Admission, Admit, Refuse, RunAlone
from dogwoodhook.state.route_policy import (
    CallerLimits,
    RoutePolicy,
    RoutingConfiguration,
)
from dogwoodhook.state.suspicion import Standing, Symptom
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.state.unanswered_runs import UnansweredRun
from dogwoodhook.transport.attempt_records import (
    log_extra_answers,
    to_attempted_request,
    to_process,
)
from dogwoodhook.transport.attempts import (
    Attempt,
    AttemptResult,
    CompleteAnswer,
    MayHaveRun,
    NotRunAtTarget,
    OpenAnswer,
    connection_fields,
    discard_attempt,
    send_attempt,
)
from dogwoodhook.transport.body_intake import BodyIntake
from dogwoodhook.transport.bounded_requests import BAD_REQUEST_STATUS
from dogwoodhook.transport.crash_checks import SecondConnection
from dogwoodhook.transport.detached_tasks import DetachedTasks
from dogwoodhook.transport.fleet_reports import FleetReports
from dogwoodhook.transport.fleet_view import FleetView
from dogwoodhook.transport.held_answers import HeldAnswers, may_stream
from dogwoodhook.transport.held_requests import HeldRequests
from dogwoodhook.transport.own_answers import UNAVAILABLE_STATUS, OwnAnswers
from dogwoodhook.transport.pipelining import (
    ClosingReason,
    abort_caller_connection,
    start_streaming,
    waited_s,
)
from dogwoodhook.transport.quota_admission import QuotaAdmission
from dogwoodhook.transport.request_uris import (
    host_of,
    logged_path,
    uri_of,
)
from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.routed_request import RoutedRequest
from dogwoodhook.transport.stop_timeouts import StopTimeouts
from dogwoodhook.transport.target_announcements import AnnouncementRecorder
from dogwoodhook.transport.target_shortage import refusal_cause, shortage_fields
from dogwoodhook.transport.time_limits import answer_limit_s, streaming_limit_s
from dogwoodhook.transport.workspace_admission import WorkspaceAdmission

REPLAY_BUFFER_BYTES = 512 * 1024
"""Bodies up to this size are buffered, so that they can be sent to another target."""

LARGE_ANSWER_BUFFER_BYTES = 4 * 1024 * 1024
"""Size of a large answer, of which ``MAX_LARGE_ANSWER_BUFFERS`` may be held."""

MAX_LARGE_ANSWER_BUFFERS = 5
"""Number of answers of ``LARGE_ANSWER_BUFFER_BYTES`` whose bytes may be held before
they are passed on, where later requests of the same connection are already at targets.
Together they take a tenth of a small VM's memory."""

MIN_ATTEMPT_S = 0.05
"""Minimum time left before the deadline for a request to be sent to a target."""

FIRST_CONFIGURATION_S = 0.3
"""How long a request waits until a daemon that has just started has loaded its routes
and targets, which takes several calls to the store."""

FINAL_READ_S = 0.01
"""Time that a stopping daemon takes to read answers that have already arrived, before
it gives up requests at targets."""

MAX_REFUSALS = 8
"""Number of targets that may refuse a request before the caller gets an error."""

MAX_OWN_DELAY_S = 0.1
"""Delay of this daemon's own timer up to which a request that is overdue speaks against
its target: a daemon that was paused finds all its requests overdue."""

CONNECT_TIMEOUT_S = 0.3
"""Deadline for a request's first new connection: several round trips between data
centres. It doubles with each target that was not reached, since several unreachable
targets in a row suggest that this VM or its link is slow."""

MAX_UNREACHABLE = 4
"""Number of unreachable targets after which the caller gets an error. Their connect
timeouts add up to 4.5 s."""

TOO_LARGE_DETAIL = "the answer is too large to be held for the requests behind it"

CRASHED_DETAIL = "targets crashed under this request"


class _AttemptsGivenUpError(Exception):
    """The attempts of a request are given up; the text says why."""


class RouteForwarder:
    """Forwards callers' requests to targets."""

    def __init__(
        self,
        fleet: FleetView,
        conventions: HttpConventions,
        clock: Clock,
        metrics: Metrics,
        *,
        daemon: str,
        rng: random.Random,
        stop: DaemonStop,
        stop_timeouts: StopTimeouts,
        detached_tasks: DetachedTasks,
    ) -> None:
        self._metrics = metrics
        self._stop = stop
        self._stop_timeouts = stop_timeouts
        self._detached_tasks = detached_tasks
        self._fleet = fleet
        self._conventions = conventions
        self._own_answers = OwnAnswers(conventions, rng)
        self._workspaces = WorkspaceAdmission(
            fleet, conventions, clock, metrics, self._own_answers
        )
        self._quotas = QuotaAdmission(fleet, clock, metrics, self._own_answers)
        self._intake = BodyIntake(
            self._own_answers, clock, stop_timeouts, buffer_bytes=REPLAY_BUFFER_BYTES
        )
        self._clock = clock
        self._reports = FleetReports(fleet, clock, daemon=daemon, rng=rng)
        self._held_requests = HeldRequests(fleet, self._reports, clock, metrics, rng)
        self._rng = rng
        self._announcements = AnnouncementRecorder(fleet.directory, clock, metrics, rng)
        self._held_answers = HeldAnswers(
            clock,
            stop_timeouts,
            limit_bytes=MAX_LARGE_ANSWER_BUFFERS * LARGE_ANSWER_BUFFER_BYTES,
        )
        self._running: set[RoutedRequest] = set()
        fleet.quarantine.on_stopped = self._recall

    async def forward(self, request: web.BaseRequest) -> web.StreamResponse:
        """Forward a request, and return the answer for the caller."""
        arrived_s = self._clock.now_s() - waited_s(request)
        configuration = await self._first_configuration()
        if configuration is None:
            return self._own_answers.no_configuration(request)
        uri = uri_of(request)
        if uri is None:
            return self._own_answers.denial(
                request, BAD_REQUEST_STATUS, "a URI that HTTP does not allow"
            )
        if len(request.headers.getall(self._conventions.request_id_header, [])) > 1:
            # Which of them identifies an answer is up to the target.
            return self._own_answers.denial(
                request, BAD_REQUEST_STATUS, "more than one request id"
            )
        route = _route_of(configuration, request, uri)
        if route is None:
            return self._own_answers.denial(
                request, 404, f"no route in version {configuration.version}"
            )
        refusal = self._refusal_on_arrival(request, route, configuration.limits)
        if refusal is not None:
            return refusal
        deadline_s = arrived_s + answer_limit_s(route, self._remaining_ms(request))
        service = route.service_at(self._rng.random())
        if not self._stop_allows_sending(route, service, deadline_s=deadline_s):
            return self._own_answers.stopping(request)
        body = await self._intake.read(request, deadline_s=deadline_s)
        if isinstance(body, web.StreamResponse):
            return body
        routed = RoutedRequest(
            request=request,
            uri=uri,
            request_id=request.headers.get(self._conventions.request_id_header, ""),
            route=route,
            service=service,
            body=body,
            arrived_s=arrived_s,
            deadline_s=deadline_s,
            caller=request.remote or "",
            configuration_version=configuration.version,
        )
        work = self._serve(routed)
        if route.is_idempotent:
            return await work
        # Runs to its end even if the caller disconnects: it may not be sent again.
        return await self._detached_tasks.run(work)

    async def _serve(self, routed: RoutedRequest) -> web.StreamResponse:
        """Run a request if its quota allows it; its body is held for as long."""
        with routed.body:
            self._workspaces.admits(routed)
            return await self._quotas.run(routed, self._run)

    def _refusal_on_arrival(
        self, request: web.BaseRequest, route: RoutePolicy, limits: CallerLimits
    ) -> web.Response | None:
        refusal = self._workspaces.refusal(request, route)
        if refusal is not None:
            return refusal
        return self._own_answers.over_limit(request, limits)

    def _stop_allows_sending(
        self, route: RoutePolicy, service: str, *, deadline_s: float
    ) -> bool:
        """Return whether a planned stop still allows a request to go to a target."""
        if not self._stop.has_begun:
            return True
        expected_s = self._fleet.typical_latencies[service].overdue_s(
            target_latency_s=route.target_latency_s
        )
        return self._stop.may_send(
            now_s=self._clock.now_s(), expected_s=expected_s, deadline_s=deadline_s
        )

    def report_unanswered(
        self, request: web.BaseRequest, reason: ClosingReason
    ) -> None:
        """Log and count a request whose connection closed before its answer ended."""
        self._metrics.record_unanswered(reason)
        log(
            CALLER_LEFT if reason is ClosingReason.CALLER else REQUEST_CUT,
            request=request.headers.get(self._conventions.request_id_header, ""),
            path=logged_path(request),
            closed_by=reason,
            **self._stop.log_fields(now_s=self._clock.now_s()),
        )

    async def _first_configuration(self) -> RoutingConfiguration | None:
        """Return the configuration, after a short wait if the daemon just started."""
        if self._fleet.is_ready.is_set():
            return self._fleet.configuration()
        with suppress(TimeoutError):
            async with self._stop_timeouts.until_intake_ends(FIRST_CONFIGURATION_S):
                await self._fleet.is_ready.wait()
        return self._fleet.configuration()

    def is_route_idempotent(self, request: web.BaseRequest) -> bool:
        """Return whether a request's route is idempotent."""
        configuration = self._fleet.configuration()
        uri = uri_of(request)
        if configuration is None or uri is None:
            return False
        route = _route_of(configuration, request, uri)
        return route is not None and route.is_idempotent

    def may_answer_be_large(self, request: web.BaseRequest) -> bool:
        """Return whether a request's route had a large answer a short time ago."""
        configuration = self._fleet.configuration()
        uri = uri_of(request)
        if configuration is None or uri is None:
            return False
        route = _route_of(configuration, request, uri)
        return route is not None and self._held_answers.may_be_large(route)

    def _remaining_ms(self, request: web.BaseRequest) -> str:
        return request.headers.get(self._conventions.remaining_ms_header, "")

    def _stop_allows_attempt(self, routed: RoutedRequest) -> bool:
        return self._stop_allows_sending(
            routed.route, routed.service, deadline_s=routed.deadline_s
        )

    async def _run(self, routed: RoutedRequest) -> web.StreamResponse:
        pending: dict[asyncio.Task[AttemptResult], TargetEntry] = {}
        self._fleet.budget.record_request(routed.service, now_s=self._clock.now_s())
        self._running.add(routed)
        try:
            answer = await self._send_until_answered(routed, pending)
            routed.has_succeeded = answer.status < SERVER_ERROR_STATUS
        finally:
            self._running.discard(routed)
            for task in pending:
                discard_attempt(task)
            if routed.alone_run is not None:
                has_arrived = bool(routed.arrivals or pending) or routed.may_have_run
                self._fleet.quarantine.end_alone(
                    routed.alone_run, has_arrived=has_arrived
                )
        self._record_metrics(routed, answer)
        return answer

    def _recall(self, fingerprint: str) -> None:
        """Give up the attempts of a request under which too many targets ended.

        They may wait for a slot. Most targets drop a request whose connection closes. A
        request that may run only once is waited for: its caller needs the outcome.
        """
        for routed in self._running:
            if (
                routed.route.is_idempotent
                and routed.tried
                and routed.alone_run is None
                and routed.identity.fingerprint == fingerprint
                and not routed.recalled.done()
            ):
                routed.recalled.set_result(None)

    def _record_metrics(
        self, routed: RoutedRequest, answer: web.StreamResponse
    ) -> None:
        duration_s = self._clock.now_s() - routed.arrived_s
        self._metrics.record_request(
            service=routed.service,
            workspace=routed.workspace.name if routed.workspace else routed.route.name,
            request_class="idempotent" if routed.route.is_idempotent else "once",
            outcome=str(answer.status),
            duration_ms=duration_s * 1000,
            target_ms=routed.target_s * 1000,
            queueing_ms=routed.waited_s * 1000,
            retries=max(0, len(routed.tried) - 1),
        )

    async def _send_until_answered(
        self,
        routed: RoutedRequest,
        pending: dict[asyncio.Task[AttemptResult], TargetEntry],
    ) -> web.StreamResponse:
        """Send the request to one target after another until there is an answer.

        There is at most one attempt at a time, except that an overdue idempotent
        request is hedged: it is sent to a second target as well.
        """
        refused_until_s = await self._begin_if_admitted(routed)
        if refused_until_s is not None:
            return self._refuse_quarantined(routed, refused_until_s)
        target = await self._first_target(routed)
        detail = "no target serves it"
        while True:
            if target is not None:
                pending[self._start_attempt(routed, target)] = target
                routed.started_s = self._clock.now_s()
            if not pending:
                return self._conclude(routed, detail)
            try:
                finished = await self._wait_for_answers(routed, pending)
            except _AttemptsGivenUpError as reason:
                routed.runs += len(pending)
                return self._conclude(routed, str(reason))
            target = None
            if not finished:
                target = self._hedge_target(routed)
                continue
            for task in finished:
                answer = await self._handle_result(
                    routed, pending.pop(task), task.result()
                )
                if isinstance(answer, web.StreamResponse):
                    return answer
                detail = answer
            if not pending:
                target = await self._target_after_failure(routed)

    def _admission(self, routed: RoutedRequest) -> Admission:
        quarantine = self._fleet.quarantine
        # Nearly always empty, and then no request needs its fingerprints.
        return quarantine.check(routed.identity) if len(quarantine) else Admit()

    async def _begin_if_admitted(self, routed: RoutedRequest) -> float | None:
        """Return ``None`` if the request may run, or until when it is refused."""
        self._fleet.receive_pending()
        match self._admission(routed):
            case Refuse(until_s):
                return until_s
            case RunAlone():
                return await self._begin_alone(routed)
            case Admit():
                return None

    async def _begin_alone(self, routed: RoutedRequest) -> float | None:
        left_s = routed.deadline_s - self._clock.now_s()
        begun = await self._fleet.quarantine.begin_alone(routed.identity, for_s=left_s)
        if isinstance(begun, Refuse):
            return begun.until_s
        routed.alone_run = begun
        return None

    def _refuse_quarantined(
        self, routed: RoutedRequest, until_s: float
    ) -> web.StreamResponse:
        self._metrics.record_quarantine_refusal()
        for_s = max(0.0, until_s - self._clock.now_s())
        detail = CRASHED_DETAIL
        log(
            REQUEST_REFUSED,
            **self._log_fields(routed),
            **routed.identity.log_fields(),
            status=UNAVAILABLE_STATUS,
            detail=detail,
        )
        return self._own_answers.quarantined(routed.request, detail, for_s=for_s)

    async def _wait_for_answers(
        self,
        routed: RoutedRequest,
        pending: dict[asyncio.Task[AttemptResult], TargetEntry],
    ) -> set[asyncio.Task[AttemptResult]]:
        """Return the attempts that have ended, or none if the request is to be hedged.

        Raises ``_AttemptsGivenUpError`` when a stop of the daemon, or a recall, ends
        the wait for answers.
        """
        waiting: set[asyncio.Future[Any]] = {*pending, routed.recalled}
        try:
            async with self._stop_timeouts.until_answers_end():
                await asyncio.wait(
                    waiting,
                    timeout=self._time_to_hedge_s(routed, len(pending)),
                    return_when=asyncio.FIRST_COMPLETED,
                )
        except TimeoutError:
            # An answer may have arrived while the event loop was blocked, and not have
            # been read yet.
            finished, _ = await asyncio.wait(
                pending, timeout=FINAL_READ_S, return_when=asyncio.FIRST_COMPLETED
            )
            if not finished:
                raise _AttemptsGivenUpError("the daemon stops") from None
            return finished
        finished = {task for task in pending if task.done()}
        if routed.recalled.done() and not finished:
            raise _AttemptsGivenUpError(CRASHED_DETAIL)
        return finished

    def _next_target(self, routed: RoutedRequest) -> TargetEntry | None:
        candidate = self._choose_candidate(routed)
        if candidate is None:
            return None
        routed.last_standing = candidate.standing
        if candidate.is_elsewhere:
            self._metrics.record_room_wait("elsewhere", 0.0)
        return candidate.target

    def _hedge_target(self, routed: RoutedRequest) -> TargetEntry | None:
        """Return a second target for an overdue request, ``None`` to keep waiting.

        A request is hedged only on a free slot; otherwise it would take the place of
        another request.
        """
        routed.is_hedge_considered = True
        if not isinstance(self._admission(routed), Admit):
            return None
        candidate = self._choose_candidate(routed)
        if candidate is None or candidate.standing is Standing.FAILING:
            return None
        if not candidate.has_free_slot:
            return None
        return (
            candidate.target
            if self._reports.take_retry(routed, is_hedge=True)
            else None
        )

    def _choose_candidate(self, routed: RoutedRequest) -> Candidate | None:
        now_s = self._clock.now_s()
        if routed.deadline_s - now_s < MIN_ATTEMPT_S:
            return None
        if not self._stop_allows_attempt(routed):
            return None
        self._fleet.receive_pending()
        if not self._workspaces.admits(routed):
            return None
        routed.directory_version = self._fleet.directory.version
        routed.directory_age_s = self._fleet.targets_age_s()
        return self._fleet.placement.choose(
            self._fleet.directory.available(
                routed.service, turn=routed.turn, now_s=now_s
            ),
            tried=routed.excluded_targets,
            is_idempotent=routed.route.is_idempotent,
            now_s=now_s,
            cost_elsewhere=self._held_requests.cost_elsewhere(routed),
        )

    def _time_to_hedge_s(self, routed: RoutedRequest, in_flight: int) -> float | None:
        """Return the time left until the request is hedged, ``None`` for never."""
        may_hedge = (
            routed.route.is_idempotent
            and routed.body.is_complete
            and not routed.is_hedge_considered
            and routed.alone_run is None
            and routed.runs + in_flight < routed.route.max_targets
        )
        if not may_hedge:
            return None
        hedge_delay_s = self._fleet.typical_latencies[routed.service].hedge_after_s(
            target_latency_s=routed.route.target_latency_s
        )
        return max(0.0, routed.started_s + hedge_delay_s - self._clock.now_s())

    async def _handle_result(
        self, routed: RoutedRequest, target: TargetEntry, result: AttemptResult
    ) -> web.StreamResponse | str:
        """Return the caller's answer, or a text that says why there is none yet."""
        match result:
            case CompleteAnswer(status=status) if status >= SERVER_ERROR_STATUS:
                routed.runs += 1
                routed.arrivals += 1
                self._record_failure(routed, target, Symptom.ERROR, f"status {status}")
                if not routed.route.is_idempotent:
                    return self._deliver(routed, target.name, result)
                routed.failure, routed.failed_target = result, target.name
                return f"status {status}"
            case CompleteAnswer():
                return self._deliver(routed, target.name, result)
            case OpenAnswer():
                routed.has_answer_started = True
                buffered = await self._held_answers.hold_if_needed(routed, result)
                if isinstance(buffered, OpenAnswer):
                    if may_stream(routed):
                        return await self._stream(routed, target, buffered)
                    buffered.response.close()
                    return self._refuse_or_fail(routed, TOO_LARGE_DETAIL)
                buffered = await self._check_survival(routed, target, buffered)
                return await self._handle_result(routed, target, buffered)
            case NotRunAtTarget(detail, symptom, has_arrived, has_timed_out):
                routed.refusals += 1
                routed.unreachable += has_timed_out
                routed.arrivals += has_arrived
                routed.sheds += symptom is Symptom.BUSY
                connection = connection_fields(result)
                self._record_failure(routed, target, symptom, detail, **connection)
                return detail
            case MayHaveRun(detail, symptom):
                routed.runs += 1
                routed.arrivals += 1
                connection = connection_fields(result)
                self._record_failure(routed, target, symptom, detail, **connection)
                return detail

    def _conclude(self, routed: RoutedRequest, detail: str) -> web.StreamResponse:
        """Return the final answer to a request without a successful attempt."""
        if routed.failure is not None:
            return self._deliver(routed, routed.failed_target, routed.failure)
        return self._refuse_or_fail(routed, detail)

    def _start_attempt(
        self, routed: RoutedRequest, target: TargetEntry
    ) -> asyncio.Task[AttemptResult]:
        routed.tried.add(target.name)
        routed.available_again.discard(target.name)
        routed.last_target = target.name
        return asyncio.ensure_future(self._send(routed, target))

    async def _send(self, routed: RoutedRequest, target: TargetEntry) -> AttemptResult:
        quarantine = self._fleet.quarantine
        if not len(quarantine) or not quarantine.is_watched(routed.identity):
            result = await self._exchange(routed, target)
            return await self._check_survival(routed, target, result)
        second = self._fleet.crash_checks.second_connection(target)
        try:
            await second.open()
            result = await self._exchange(routed, target)
            return await self._check_survival(routed, target, result, second)
        finally:
            second.close()

    async def _exchange(
        self, routed: RoutedRequest, target: TargetEntry
    ) -> AttemptResult:
        """Send the request to a target, and account for it there."""
        fleet = self._fleet
        now_s = self._clock.now_s()
        remaining_s = routed.deadline_s - now_s
        typical_latency = self._fleet.typical_latencies[routed.service]
        overdue_s = typical_latency.overdue_s(
            target_latency_s=routed.route.target_latency_s
        )
        label = self._workspaces.label(routed)
        headers = self._workspaces.headers_to_target(routed, label)
        headers[self._conventions.remaining_ms_header] = str(int(remaining_s * 1000))
        attempt = Attempt(
            method=routed.request.method,
            uri=routed.uri,
            headers=headers,
            body=routed.body.content(),
            request_id=routed.request_id,
            timeout_s=remaining_s,
            connect_timeout_s=CONNECT_TIMEOUT_S * 2**routed.unreachable,
            on_announcement=lambda announcement: self._announcements.record(
                routed, target, announcement
            ),
        )
        may_use_idle = fleet.suspicion.may_use_idle(target.name, now_s=now_s)
        trace = AttemptTrace(
            lambda: (
                self._workspaces.obstacle(routed, label)
                or self._announcements.obstacle(routed, target)
            )
        )
        overdue = asyncio.create_task(
            self._report_overdue(routed, target, trace, due_s=now_s + overdue_s)
        )
        attempted = to_attempted_request(routed)
        number = fleet.attempt_sharing.begin(attempted, to_process(target))
        is_unanswered = False
        fleet.placement.start(target, now_s=now_s)
        fleet.load_sharing.report_start()
        fleet.connections.record_use(target)
        try:
            result = await send_attempt(
                fleet.connections.session(may_use_idle=may_use_idle),
                target,
                attempt,
                self._conventions,
                trace,
            )
            is_unanswered = isinstance(result, MayHaveRun)
        except asyncio.CancelledError:
            if trace.is_connected and not routed.has_succeeded:
                is_unanswered = True
                self._record_unanswered(routed, target, has_lost_connection=False)
            raise
        finally:
            routed.target_s += self._clock.now_s() - now_s
            fleet.placement.finish(target)
            fleet.load_sharing.report_end()
            fleet.attempt_sharing.end(attempted, number, is_unanswered=is_unanswered)
            overdue.cancel()
        log_extra_answers(routed, target, trace)
        if isinstance(result, CompleteAnswer):
            if may_use_idle:
                fleet.connections.record_idle(target)
            latency_s = self._clock.now_s() - now_s
            typical_latency.record(latency_s)
            is_late = latency_s >= overdue_s
            if result.status < SERVER_ERROR_STATUS and not is_late:
                self._reports.report_success(target.name, sent_s=now_s)
        return result

    async def _check_survival(
        self,
        routed: RoutedRequest,
        target: TargetEntry,
        result: AttemptResult,
        second: SecondConnection | None = None,
    ) -> AttemptResult:
        """Record whether the target's process lived on or ended under a request."""
        match result:
            case CompleteAnswer(status=status):
                self._record_survival(routed, target, status)
            case MayHaveRun(has_lost_connection=True):
                if await self._has_crashed(routed, target, second):
                    return replace(result, symptom=Symptom.CRASHED)
            case MayHaveRun(symptom=Symptom.SILENT):
                self._record_unanswered(routed, target, has_lost_connection=False)
            case NotRunAtTarget(is_port_closed=True):
                self._fleet.target_ends.record_end(
                    target.name, target.incarnation, EndEvidence.CLOSED_PORT
                )
            case _:
                pass
        return result

    def _record_survival(
        self, routed: RoutedRequest, target: TargetEntry, status: int
    ) -> None:
        # A gray target may answer with an error before it runs the request.
        if status < SERVER_ERROR_STATUS and len(self._fleet.quarantine):
            self._fleet.quarantine.record_success(
                routed.identity, target=target.name, status=status
            )

    async def _has_crashed(
        self,
        routed: RoutedRequest,
        target: TargetEntry,
        second: SecondConnection | None = None,
    ) -> bool:
        """Return whether the target of a broken connection is known to have ended."""
        self._record_unanswered(routed, target, has_lost_connection=True)
        found = await self._fleet.crash_checks.check_lost_connection(target, second)
        if found.evidence is not None:
            return True
        self._fleet.quarantine.watch(routed.identity)
        log(
            TARGET_LIVES,
            request=routed.request_id,
            **routed.identity.log_fields(),
            target=target.name,
            incarnation=target.incarnation,
            port=found.port,
            is_watched=second is not None,
        )
        return False

    def _record_unanswered(
        self, routed: RoutedRequest, target: TargetEntry, *, has_lost_connection: bool
    ) -> None:
        run = UnansweredRun(
            to_attempted_request(routed),
            to_process(target),
            at_s=self._clock.now_s(),
            has_lost_connection=has_lost_connection,
        )
        self._fleet.target_ends.record_unanswered(run)

    async def _report_overdue(
        self,
        routed: RoutedRequest,
        target: TargetEntry,
        trace: AttemptTrace,
        *,
        due_s: float,
    ) -> None:
        """Wait until a request is overdue, and report it; cancelled by its answer.

        The target is to blame if it accepts connections, and this daemon is not late
        itself.
        """
        await asyncio.sleep(max(0.0, due_s - self._clock.now_s()))
        is_own_delay = self._clock.now_s() - due_s > MAX_OWN_DELAY_S
        symptom = Symptom.OVERDUE
        if trace.is_connected and not is_own_delay:
            is_path_known = not trace.is_reused
            if is_path_known or await self._fleet.crash_checks.accepts_connections(
                target
            ):
                symptom = Symptom.STALLED
        self._reports.report_failure(routed, target.name, symptom)

    def _record_failure(
        self,
        routed: RoutedRequest,
        target: TargetEntry,
        symptom: Symptom | None,
        detail: str,
        **connection: object,
    ) -> None:
        """Log a failed attempt, and report its symptom to the fleet."""
        if symptom is not None:
            self._reports.report_failure(routed, target.name, symptom)
        fields = {
            **self._log_fields(routed),
            "target": target.name,
            "address": target.address,
            "caller": routed.caller,
            "fingerprint": routed.identity.fingerprint,
            **connection,
        }
        log(ATTEMPT_FAILED, **fields, detail=detail)

    def _may_send_again(self, routed: RoutedRequest) -> bool:
        """Return whether a request without an answer may go to another target."""
        if not routed.body.can_be_sent or routed.refusals > MAX_REFUSALS:
            return False
        if routed.unreachable >= MAX_UNREACHABLE:
            return False
        if routed.has_caller_left or not self._stop_allows_attempt(routed):
            return False
        if not self._workspaces.admits(routed):
            return False
        if routed.may_have_run and not routed.route.is_idempotent:
            return False
        if routed.runs >= routed.route.max_targets:
            return False
        if routed.arrivals and not isinstance(self._admission(routed), Admit):
            return False
        return not routed.arrivals or self._reports.take_retry(routed)

    async def _first_target(self, routed: RoutedRequest) -> TargetEntry | None:
        if not await self._held_requests.wait_on_arrival(routed):
            return None
        # Targets may have ended under the same request while this one waited.
        if routed.waited_s and not isinstance(self._admission(routed), Admit):
            return None
        return self._next_target(routed)

    async def _target_after_failure(self, routed: RoutedRequest) -> TargetEntry | None:
        """Return where the request goes next, maybe after a wait, or ``None``."""
        # Before a retry is taken from the budget, there must be a target for it.
        has_room = self._held_requests.may_retry_at_once(routed)
        has_target = has_room and self._choose_candidate(routed) is not None
        if has_target and self._may_send_again(routed):
            return self._next_target(routed)
        if not await self._held_requests.wait_after_shed(routed):
            return None
        is_admitted = isinstance(self._admission(routed), Admit)
        return self._next_target(routed) if is_admitted else None

    def _deliver(
        self, routed: RoutedRequest, target: str, answer: CompleteAnswer
    ) -> web.Response:
        self._log_answered(routed, target, answer.status)
        headers = self._headers_to_caller(answer.headers)
        headers.popall("Content-Length", None)
        return web.Response(
            status=answer.status,
            reason=answer.reason,
            headers=headers,
            body=answer.body,
        )

    def _headers_to_caller(self, headers: Mapping[str, str]) -> CIMultiDict[str]:
        """Return an answer's headers without what concerns only this daemon."""
        kept = end_to_end_headers(headers)
        kept.popall(self._conventions.leaving_header, None)
        return kept

    async def _stream(
        self, routed: RoutedRequest, target: TargetEntry, opened: OpenAnswer
    ) -> web.StreamResponse:
        """Stream a large answer to the caller; abort the connection on an error."""
        remaining_ms = self._remaining_ms(routed.request)
        ends_s = routed.arrived_s + streaming_limit_s(routed.route, remaining_ms)
        answer = web.StreamResponse(
            status=opened.status,
            reason=opened.reason,
            headers=self._headers_to_caller(opened.headers),
        )
        try:
            async with asyncio.timeout(ends_s - self._clock.now_s()):
                start_streaming(routed.request)
                await answer.prepare(routed.request)
                await answer.write(opened.body)
                async for chunk in opened.response.content.iter_any():
                    await answer.write(chunk)
        except Exception as error:
            abort_caller_connection(routed.request)
            fields = self._log_fields(routed)
            log(REQUEST_UNANSWERED, **fields, detail=f"the answer broke off: {error!r}")
            if isinstance(error, ClientError):
                await self._has_crashed(routed, target)
            return answer
        finally:
            opened.response.close()
        self._record_survival(routed, target, opened.status)
        self._log_answered(routed, target.name, opened.status)
        return answer

    def _log_fields(self, routed: RoutedRequest) -> dict[str, object]:
        now_s = self._clock.now_s()
        return {**routed.log_fields(now_s=now_s), **self._stop.log_fields(now_s=now_s)}

    def _log_answered(self, routed: RoutedRequest, target: str, status: int) -> None:
        fields = self._log_fields(routed)
        log(REQUEST_ANSWERED, **{**fields, "target": target}, status=status)

    def _refuse_or_fail(self, routed: RoutedRequest, detail: str) -> web.Response:
        """Return the daemon's own answer: a refusal if the request has not run."""
        if not routed.may_have_run and not self._stop_allows_attempt(routed):
            return self._own_answers.stopping(routed.request)
        if not routed.may_have_run:
            refusal = self._workspaces.refusal(
                routed.request, routed.route, earlier=routed.workspace
            )
            if refusal is not None:
                return refusal
        fields = self._log_fields(routed)
        if not routed.may_have_run:
            now_s = self._clock.now_s()
            log(
                REQUEST_REFUSED,
                **fields,
                **shortage_fields(self._fleet, routed, now_s=now_s),
                status=UNAVAILABLE_STATUS,
                detail=detail,
            )
            cause = refusal_cause(self._fleet, routed, now_s=now_s)
            return self._own_answers.unavailable(routed.request, detail, cause)
        left_s = routed.deadline_s - self._clock.now_s()
        status = 504 if left_s <= MIN_ATTEMPT_S else 502
        log(REQUEST_UNANSWERED, **fields, status=status, detail=detail)
        return self._own_answers.failure(routed.request, status, detail)


def _route_of(
    configuration: RoutingConfiguration, request: web.BaseRequest, uri: RequestUri
) -> RoutePolicy | None:
    return configuration.match(host_of(request, uri), uri.path)
