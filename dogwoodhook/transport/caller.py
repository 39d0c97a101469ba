"""Handles requests from callers; each gets exactly one outcome."""

import asyncio

from aiohttp import web
from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.events import REQUEST_FAILED, log
from dogwoodhook.metrics import Metrics
from dogwoodhook.protocol.headers import outcome_value
from dogwoodhook.state.outcomes import NotRun, NotRunReason, Unknown, UnknownReason
from dogwoodhook.transport.answers import own_answer
from dogwoodhook.transport.calls import Call, read_call
from dogwoodhook.transport.forwarder import Reply
from dogwoodhook.transport.keyed import KeyedForwarder
from dogwoodhook.transport.services import ServiceRegistry

_IDEMPOTENT_CLASS = "idempotent"
_OTHER_CLASS = "non-idempotent"


class CallerHandler:
    """Handles callers' requests and counts those in flight."""

    def __init__(
        self,
        registry: ServiceRegistry,
        forwarder: KeyedForwarder,
        metrics: Metrics,
        clock: Clock,
        *,
        max_in_flight: int,
    ) -> None:
        self._registry = registry
        self._forwarder = forwarder
        self._metrics = metrics
        self._clock = clock
        self._max_in_flight = max_in_flight
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._is_draining = False

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self._is_draining = True

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if self._is_draining:
            answer = own_answer(NotRun(NotRunReason.DRAINING))
            answer.force_close()
            return answer
        if self._in_flight >= self._max_in_flight:
            return own_answer(NotRun(NotRunReason.QUEUE_FULL))
        self._in_flight += 1
        self._idle.clear()
        try:
            return await self._handle(request)
        except Exception as error:
            log(REQUEST_FAILED, error=repr(error))
            return own_answer(Unknown(UnknownReason.INTERNAL_ERROR))
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        started_s = self._clock.now_s()
        match await read_call(request, self._registry, now_s=started_s):
            case Result(tag="ok", ok=call):
                reply = await self._forwarder.forward(call)
                self._record(call, reply, started_s)
                return reply.answer
            case Result(error=not_run):
                return own_answer(not_run)

    def _record(self, call: Call, reply: Reply, started_s: float) -> None:
        self._metrics.record_request(
            service=call.runtime.service.name,
            workspace=call.workspace,
            request_class=_IDEMPOTENT_CLASS if call.is_idempotent else _OTHER_CLASS,
            outcome=outcome_value(reply.outcome),
            duration_ms=(self._clock.now_s() - started_s) * 1000,
            target_ms=call.timing.target_ms,
            queueing_ms=call.timing.queueing_ms,
            retries=call.timing.retries,
        )
