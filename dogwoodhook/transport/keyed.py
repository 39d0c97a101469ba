"""Claims and settles requests with an idempotency key around the forwarder.

The key of a request is claimed before the request is sent, and settled afterwards.
A request with a key, like any that is not idempotent, runs to its end even if its
caller has closed the connection.
"""

from aiohttp import web

from dogwoodhook.coordination.claims import (
    AlreadySettled,
    Claimed,
    ClaimManager,
    FingerprintMismatch,
    InProgress,
    KeyedRequest,
    SettledUnknown,
    TableUnreachable,
)
from dogwoodhook.coordination.rows import StoredAnswer
from dogwoodhook.protocol.headers import OUTCOME_HEADER, outcome_value
from dogwoodhook.state.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from dogwoodhook.transport.answers import AnswerCapture, own_answer
from dogwoodhook.transport.calls import Call
from dogwoodhook.transport.detached_tasks import DetachedTasks
from dogwoodhook.transport.forwarder import Forwarder, Reply


class KeyedForwarder:
    """Forwards calls, and runs at most one request for each idempotency key."""

    def __init__(
        self, forwarder: Forwarder, claims: ClaimManager, detached_tasks: DetachedTasks
    ) -> None:
        self._forwarder = forwarder
        self._claims = claims
        self._detached_tasks = detached_tasks

    async def forward(self, call: Call) -> Reply:
        """Return the reply to the caller."""
        if call.idempotency_key:
            return await self._detached_tasks.run(
                self._forward_keyed(call, call.idempotency_key)
            )
        if call.is_idempotent:
            return await self._forwarder.forward(call)
        return await self._detached_tasks.run(self._forwarder.forward(call))

    async def _forward_keyed(self, call: Call, key: str) -> Reply:
        service = call.runtime.service
        request = KeyedRequest(
            service=service.name,
            workspace=call.workspace,
            key=key,
            fingerprint=call.fingerprint,
            policy=service.parameters.keyed_requests_without_table,
        )
        match await self._claims.claim(request):
            case Claimed() as claim:
                return await self._run_claimed(call, claim)
            case AlreadySettled(answer=answer, status=status):
                return _stored_reply(answer, status)
            case InProgress():
                return _own_reply(Unknown(UnknownReason.KEY_IN_PROGRESS))
            case FingerprintMismatch():
                return _own_reply(NotRun(NotRunReason.KEY_REUSED))
            case SettledUnknown():
                return _own_reply(Unknown(UnknownReason.KEY_UNSETTLED))
            case TableUnreachable():
                return _own_reply(NotRun(NotRunReason.TABLE_UNREACHABLE))

    async def _run_claimed(self, call: Call, claim: Claimed) -> Reply:
        call.claim = claim
        call.capture = AnswerCapture()
        reply = await self._forwarder.forward(call)
        match reply.outcome:
            case Answered(status=status):
                stored = call.capture.stored_answer(reply.answer)
                if stored is None:
                    await self._claims.settle_status(claim, status)
                else:
                    await self._claims.settle(claim, stored)
            case NotRun():
                await self._claims.withdraw(claim)
            case Unknown():
                await self._claims.settle_unknown(claim)
        return reply


def _stored_reply(stored: StoredAnswer | None, status: int) -> Reply:
    outcome = Answered(status)
    if stored is None:
        answer = web.Response(status=status)
    else:
        answer = web.Response(
            status=stored.status, headers=list(stored.headers), body=stored.body
        )
    answer.headers[OUTCOME_HEADER] = outcome_value(outcome)
    return Reply(answer, outcome)


def _own_reply(outcome: NotRun | Unknown) -> Reply:
    return Reply(own_answer(outcome), outcome)
