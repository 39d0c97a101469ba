"""Holds large answers until they are complete, where requests behind depend on it."""

import asyncio

from dogwoodhook.clock import Clock
from dogwoodhook.state.large_answers import LargeAnswerRoutes
from dogwoodhook.state.route_policy import RoutePolicy
from dogwoodhook.transport.answer_room import AnswerRoom
from dogwoodhook.transport.attempts import (
    AttemptResult,
    CompleteAnswer,
    MayHaveRun,
    OpenAnswer,
    read_rest,
)
from dogwoodhook.transport.pipelining import (
    PipelinedRequest,
    call_when_answered,
    has_started_behind,
)
from dogwoodhook.transport.routed_request import RoutedRequest
from dogwoodhook.transport.stop_timeouts import StopTimeouts

ROOM_WAIT_SHARE = 0.5
"""Share of the time left to a request for which its answer waits for room. The rest is
for passing the answer on as it comes, if there is still none."""


def may_stream(routed: RoutedRequest) -> bool:
    """Return whether a large answer may be passed on before it is complete.

    If it broke off then, the requests started behind it would be lost. Instead the
    request itself is given up, unless it must not run again: its caller needs the
    outcome.
    """
    return not has_started_behind(routed.request) or not routed.route.is_idempotent


class HeldAnswers:
    """The large answers that a daemon holds, up to ``limit_bytes`` together."""

    def __init__(
        self, clock: Clock, stop_timeouts: StopTimeouts, *, limit_bytes: int
    ) -> None:
        self._clock = clock
        self._stop_timeouts = stop_timeouts
        self._room = AnswerRoom(limit_bytes=limit_bytes)
        self._routes = LargeAnswerRoutes()

    def may_be_large(self, route: RoutePolicy) -> bool:
        """Return whether a route had a large answer a short time ago."""
        return self._routes.contains(route.name, now_s=self._clock.now_s())

    async def hold_if_needed(
        self, routed: RoutedRequest, opened: OpenAnswer
    ) -> AttemptResult:
        """Buffer a large answer completely if later requests have been started.

        Otherwise return it as it is, and also if too many bytes would be held. An
        answer that must not be given up waits for room first, without being read.
        """
        self._routes.record(routed.route.name, now_s=self._clock.now_s())
        try:
            async with asyncio.timeout(routed.deadline_s - self._clock.now_s()):
                if isinstance(routed.request, PipelinedRequest):
                    await routed.request.wait_for_turn()
                if not has_started_behind(routed.request):
                    return opened
                async with self._stop_timeouts.until_reading_ends():
                    return await self._hold(routed, opened)
        except TimeoutError:
            opened.response.close()
            return MayHaveRun("no answer in time", None)
        except asyncio.CancelledError:
            opened.response.close()
            raise

    async def _hold(self, routed: RoutedRequest, opened: OpenAnswer) -> AttemptResult:
        """Read an answer to its end, or until too many bytes are held.

        The bytes of a complete answer count as held until the caller has got them.
        """
        room, length = self._room, opened.response.content_length
        taken = len(opened.body) if length is None else length
        may_wait = length is not None and not routed.route.is_idempotent
        left_s = routed.deadline_s - self._clock.now_s()
        timeout_s = ROOM_WAIT_SHARE * left_s if may_wait else 0.0
        if not await room.take(taken, timeout_s=timeout_s):
            return opened

        def may_hold(count: int) -> bool:
            nonlocal taken
            if not room.try_take(count):
                return False
            taken += count
            return True

        result: AttemptResult | None = None
        try:
            result = await read_rest(
                opened,
                may_hold=may_hold if length is None else lambda count: True,
            )
            return result
        finally:
            if isinstance(result, CompleteAnswer):
                call_when_answered(routed.request, lambda: room.give_back(taken))
            else:
                room.give_back(taken)
