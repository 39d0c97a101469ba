"""Reads the body of a caller's request before a target is chosen, or refuses it."""

from aiohttp import web

from dogwoodhook.clock import Clock
from dogwoodhook.state.retry_after import MemoryShort
from dogwoodhook.transport.accounted_connections import (
    BodyTooLargeError,
    RefusedForMemoryError,
    body_counter,
    may_start_body,
)
from dogwoodhook.transport.bodies import RequestBody, read_prelude
from dogwoodhook.transport.own_answers import OwnAnswers
from dogwoodhook.transport.stop_timeouts import StopTimeouts

BODY_TOO_LARGE_STATUS = 413


class BodyIntake:
    """Reads bodies up to ``buffer_bytes``; the rest is streamed later."""

    def __init__(
        self,
        own_answers: OwnAnswers,
        clock: Clock,
        stop_timeouts: StopTimeouts,
        *,
        buffer_bytes: int,
    ) -> None:
        self._own_answers = own_answers
        self._clock = clock
        self._stop_timeouts = stop_timeouts
        self._buffer_bytes = buffer_bytes

    async def read(
        self, request: web.BaseRequest, *, deadline_s: float
    ) -> RequestBody | web.StreamResponse:
        """Return a body, or a refusal of the request, which has not run."""
        if not may_start_body(request):
            return self._refuse_for_memory(request)
        left_s = deadline_s - self._clock.now_s()
        try:
            async with self._stop_timeouts.until_intake_ends(left_s):
                return await read_prelude(
                    request,
                    buffer_bytes=self._buffer_bytes,
                    count=body_counter(request),
                )
        except TimeoutError:
            if self._clock.now_s() < deadline_s:
                return self._own_answers.stopping(request)
            return self._own_answers.body_late(request)
        except RefusedForMemoryError:
            return self._refuse_for_memory(request)
        except BodyTooLargeError as error:
            answer = self._own_answers.denial(
                request, BODY_TOO_LARGE_STATUS, str(error)
            )
            answer.force_close()
            return answer

    def _refuse_for_memory(self, request: web.BaseRequest) -> web.Response:
        detail = "no memory for the request's body"
        answer = self._own_answers.unavailable(request, detail, MemoryShort())
        answer.force_close()
        return answer
