"""Forwards requests to targets: admission, attempts, retries, outcomes.

The decisions are made in ``state``, which does no I/O; the forwarder asks for them at
each step and carries them out.
"""

from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web
from expression import Result

from dogwoodhook.coordination.quarantine import QuarantineManager
from dogwoodhook.events import ANSWER_CUT, REQUEST_RETRIED, REQUEST_UNKNOWN, log
from dogwoodhook.protocol.headers import SERVER_ERROR_STATUS, TIMEOUT_HEADER
from dogwoodhook.state.admission import Granted, Rejected
from dogwoodhook.state.outcomes import (
    Answered,
    Failure,
    FailureKind,
    NotRun,
    NotRunReason,
    Outcome,
    Success,
    Unknown,
    UnknownReason,
)
from dogwoodhook.state.quarantine import Admit, Refuse, RunAlone
from dogwoodhook.state.retries import RETRIED_STATUSES, Requeue, Retry, decide_retry
from dogwoodhook.transport.answers import own_answer, stream_answer
from dogwoodhook.transport.calls import Call
from dogwoodhook.transport.exchange import (
    AttemptFailure,
    AttemptRequest,
    TargetAnswer,
    open_answer,
)
from dogwoodhook.transport.target_pools import TargetPools

if TYPE_CHECKING:
    from dogwoodhook.clock import Clock

RETRYABLE_ATTEMPT_SHARE = 0.5
"""Share of the remaining time that an attempt gets if the request can be retried."""

MIN_COUNTED_TIMEOUT_SHARE = 0.25
"""Share of the service's deadline from which an attempt's timeout is a target failure.

A shorter timeout is the caller's choice and does not count against the target.
"""


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to the caller, and the outcome of the request."""

    answer: web.StreamResponse
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class _RetryNeeded:
    """The request needs another attempt."""


class Forwarder:
    """Forwards calls to the targets of their services."""

    def __init__(
        self, pools: TargetPools, quarantine: QuarantineManager, clock: "Clock"
    ) -> None:
        self._pools = pools
        self._quarantine_manager = quarantine
        self._quarantine = quarantine.quarantine
        self._clock = clock

    async def forward(self, call: Call) -> Reply:
        """Return the reply to the caller, with exactly one outcome."""
        call.runtime.record_request(now_s=self._clock.now_s())
        tried: frozenset[str] = frozenset()
        attempts = 0
        wait_s = call.runtime.dispatch.dispatcher.wait_timeout_s(
            call.workspace, now_s=self._clock.now_s()
        )
        while True:
            attempts += 1
            sheds = call.sheds
            admission = self._quarantine.check(call.fingerprint, self._clock.now_s())
            if isinstance(admission, Refuse):
                return self._own_reply(call, NotRun(NotRunReason.QUARANTINED))
            avoided = admission.avoid if isinstance(admission, RunAlone) else tried
            queued_s = self._clock.now_s()
            async with self._target(call, tried | avoided, wait_s) as granted:
                call.timing.queueing_ms += (self._clock.now_s() - queued_s) * 1000
                if isinstance(granted, Rejected):
                    return self._refuse(call, granted)
                reply = await self._attempt(
                    call, granted, attempts, is_alone=not isinstance(admission, Admit)
                )
            if isinstance(reply, Reply):
                return reply
            if call.sheds > sheds:
                attempts -= 1
                continue
            tried |= {granted.target.name}
            call.timing.retries += 1
            log(
                REQUEST_RETRIED,
                service=call.runtime.service.name,
                target=granted.target.name,
            )

    def _target(
        self, call: Call, tried: frozenset[str], wait_s: float
    ) -> AbstractAsyncContextManager[Granted | Rejected]:
        left_s = wait_s - call.timing.queueing_ms / 1000
        remaining_s = call.deadline_s - self._clock.now_s()
        return call.runtime.dispatch.target(
            call.workspace,
            is_idempotent=call.is_idempotent,
            tried=tried,
            timeout_s=max(0.0, min(left_s, remaining_s)),
            is_requeued=call.sheds > 0,
        )

    def _refuse(self, call: Call, rejected: Rejected) -> Reply:
        reason = NotRunReason.TARGET_SHED if call.sheds else rejected.reason
        return self._own_reply(call, NotRun(reason))

    async def _attempt(
        self, call: Call, granted: Granted, attempts: int, *, is_alone: bool
    ) -> Reply | _RetryNeeded:
        now_s = self._clock.now_s()
        if now_s >= call.deadline_s or not call.may_send(now_s):
            return self._own_reply(call, NotRun(NotRunReason.DEADLINE))
        if is_alone:
            self._quarantine.begin_alone(call.fingerprint, granted.target.name)
        try:
            return await self._exchange(call, granted, attempts, started_s=now_s)
        finally:
            call.timing.target_ms += (self._clock.now_s() - now_s) * 1000
            if is_alone:
                self._quarantine.end_alone(call.fingerprint)

    async def _exchange(
        self, call: Call, granted: Granted, attempts: int, *, started_s: float
    ) -> Reply | _RetryNeeded:
        timeout_s = self._attempt_timeout_s(call, started_s)
        async with self._pools.session(
            granted.target,
            may_reuse=call.is_idempotent and attempts == 1 and not call.sheds,
            max_connections=call.runtime.service.parameters.connections_per_target,
        ) as session:
            request = _attempt_request(call, timeout_s)
            match await open_answer(session, granted.target, request):
                case Result(tag="ok", ok=opened):
                    return await self._answer(
                        call, granted, opened, attempts, started_s
                    )
                case Result(error=failure):
                    return self._fail(call, granted, failure, attempts, timeout_s)

    def _attempt_timeout_s(self, call: Call, now_s: float) -> float:
        remaining_s = call.deadline_s - now_s
        if call.is_idempotent and call.body.is_complete:
            return remaining_s * RETRYABLE_ATTEMPT_SHARE
        return remaining_s

    async def _answer(
        self,
        call: Call,
        granted: Granted,
        opened: TargetAnswer,
        attempts: int,
        started_s: float,
    ) -> Reply | _RetryNeeded:
        response = opened.response
        target = granted.target.name
        now_s = self._clock.now_s()
        if response.status >= SERVER_ERROR_STATUS:
            self._observe_failure(call, target, FailureKind.SERVER_ERROR)
        else:
            latency_ms = (now_s - started_s) * 1000
            call.runtime.health.observe(
                target, Success(latency_ms, call.failure_identity), now_s=now_s
            )
        call.runtime.dispatch.dispatcher.record_answer(target, now_s=now_s)
        answered = Answered(response.status)
        if response.status in RETRIED_STATUSES and self._may_retry(
            call, answered, attempts
        ):
            response.close()
            return _RetryNeeded()
        answer, outcome = await stream_answer(
            call.request,
            response,
            timeout_s=max(0.0, call.deadline_s - now_s),
            capture=call.capture,
        )
        if isinstance(outcome, Unknown):
            # A deadline missed here may be due to a short timeout or a slow caller,
            # so it is not recorded as a crash.
            if outcome.reason is not UnknownReason.DEADLINE:
                self._record_crash(call, target)
            log(ANSWER_CUT, service=call.runtime.service.name, target=target)
        elif response.status < SERVER_ERROR_STATUS:
            self._quarantine_manager.record_success(call.fingerprint)
        return Reply(answer, outcome)

    def _fail(
        self,
        call: Call,
        granted: Granted,
        failed: AttemptFailure,
        attempts: int,
        timeout_s: float,
    ) -> Reply | _RetryNeeded:
        target = granted.target
        if failed.is_reused:
            # The fault may lie in the connection and not in the target, so the next
            # attempt uses a new connection. The request is suspected even so, which
            # only makes it run alone.
            self._pools.retire_pool(target)
            if failed.failure is FailureKind.CRASH:
                self._suspect_request(call, target.name)
        else:
            self._count_failure(call, target.name, failed, timeout_s)
        if failed.outcome == NotRun(NotRunReason.TARGET_SHED):
            self._record_shed(call, target.name, failed)
        if not failed.is_conclusive:
            call.earlier_unknown = Unknown(UnknownReason.EARLIER_ATTEMPT)
        if self._may_retry(call, failed.outcome, attempts):
            return _RetryNeeded()
        return self._own_reply(call, failed.outcome)

    def _count_failure(
        self, call: Call, target: str, failed: AttemptFailure, timeout_s: float
    ) -> None:
        if failed.failure is None:
            return
        if failed.failure is FailureKind.CRASH:
            self._record_crash(call, target)
            return
        deadline_s = call.runtime.service.parameters.deadline_ms / 1000
        if (
            failed.failure is FailureKind.DEADLINE
            and timeout_s < deadline_s * MIN_COUNTED_TIMEOUT_SHARE
        ):
            return
        self._observe_failure(call, target, failed.failure)

    def _record_shed(self, call: Call, target: str, failed: AttemptFailure) -> None:
        call.sheds += 1
        now_s = self._clock.now_s()
        call.runtime.dispatch.dispatcher.record_shed(target, now_s=now_s)
        if failed.is_draining:
            call.runtime.record_draining(target, now_s=now_s)

    def _record_crash(self, call: Call, target: str) -> None:
        self._observe_failure(call, target, FailureKind.CRASH)
        self._suspect_request(call, target)

    def _suspect_request(self, call: Call, target: str) -> None:
        self._quarantine_manager.record_crash(
            call.runtime.service.name, call.fingerprint, target
        )

    def _observe_failure(self, call: Call, target: str, kind: FailureKind) -> None:
        call.runtime.health.observe(
            target, Failure(kind, call.failure_identity), now_s=self._clock.now_s()
        )

    def _may_retry(self, call: Call, outcome: Outcome, attempts: int) -> bool:
        now_s = self._clock.now_s()
        decision = decide_retry(
            outcome,
            is_idempotent=call.is_idempotent,
            is_replayable=call.body.is_complete,
            has_answer_started=False,
            remaining_ms=(call.deadline_s - now_s) * 1000,
            attempts=attempts,
            sheds=call.sheds,
        )
        if isinstance(decision, Requeue):
            return True
        if not isinstance(decision, Retry) or not call.runtime.budget.try_take(now_s):
            return False
        match outcome:
            case Unknown():
                call.earlier_unknown = outcome
            case Answered():
                call.earlier_unknown = Unknown(UnknownReason.EARLIER_ATTEMPT)
            case NotRun():
                pass
        return True

    def _own_reply(self, call: Call, outcome: NotRun | Unknown) -> Reply:
        final_outcome = call.final_outcome(outcome)
        if isinstance(final_outcome, Unknown):
            log(
                REQUEST_UNKNOWN,
                service=call.runtime.service.name,
                workspace=call.workspace,
                reason=final_outcome.reason,
            )
        return Reply(own_answer(final_outcome), final_outcome)


def _attempt_request(call: Call, timeout_s: float) -> AttemptRequest:
    headers = call.headers.copy()
    headers[TIMEOUT_HEADER] = str(max(1, int(timeout_s * 1000)))
    return AttemptRequest(
        method=call.request.method,
        uri=call.uri,
        headers=headers,
        body=call.body.content(),
        timeout_s=timeout_s,
    )
