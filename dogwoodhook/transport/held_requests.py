"""Holds requests back in the daemon while their service has no room for them."""

import asyncio
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass

from dogwoodhook.clock import Clock
from dogwoodhook.events import REQUEST_GRANTED, REQUEST_HELD, log
from dogwoodhook.metrics import Metrics
from dogwoodhook.state.crowding import (
    Crowding,
    Decision,
    RefuseNoRoom,
    RefuseTooLate,
    RetryRoom,
    SendNow,
    ServiceRoom,
    Wait,
    WaitingRequest,
)
from dogwoodhook.state.remote_choice import remote_cost
from dogwoodhook.transport.fleet_reports import FleetReports
from dogwoodhook.transport.fleet_view import FleetView
from dogwoodhook.transport.routed_request import RoutedRequest

CHECK_INTERVAL_S = 0.02
"""Interval at which held requests are checked. Slots are freed by requests of other
daemons too, whose reports arrive at about this interval."""


@dataclass(slots=True)
class _HeldRequest:
    routed: RoutedRequest
    waiting: WaitingRequest
    usual_s: float
    outcome: asyncio.Future[Decision]


class HeldRequests:
    """Lets requests wait for room, and tells them when to go or that it is too late.

    Where callers compete for room, requests are also held before they were sent once,
    and one that was shed by all targets waits, too. Elsewhere a shed request waits only
    while sheds have spent the retry budget.
    """

    def __init__(
        self,
        fleet: FleetView,
        reports: FleetReports,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._reports = reports
        self._clock = clock
        self._metrics = metrics
        self._crowding = Crowding(rng)
        self._holds_arrivals = fleet.has_competing_load
        self._held: dict[int, _HeldRequest] = {}
        self._numbers = itertools.count(1)
        self._check: asyncio.Task[None] | None = None

    async def wait_on_arrival(self, routed: RoutedRequest) -> bool:
        """Wait until a new request may be sent; return ``False`` if it is refused."""
        if not self._holds_arrivals:
            return True
        usual_s = self._usual_s(routed)
        now_s = self._clock.now_s()
        self._crowding.record_use(_workspace_of(routed), now_s=now_s)
        waiting = self._waiting_request(routed)
        decision = self._crowding.decide_arrival(
            waiting,
            self._room(routed, now_s),
            usual_s=usual_s,
            daemons=self._fleet.count_daemons(),
            now_s=now_s,
        )
        return await self._follow(decision, routed, waiting, usual_s)

    async def wait_after_shed(self, routed: RoutedRequest) -> bool:
        """Wait until a request that was shed may be sent again, with a retry taken.

        Return ``False`` if it cannot wait; it is then to be refused.
        """
        if not routed.sheds or routed.may_have_run or not routed.body.is_complete:
            return False
        if routed.has_caller_left or self._fleet.is_stopping():
            return False
        retries = self._retry_room(routed.service)
        if retries.tokens >= 1 and not self._holds_arrivals:
            # The targets refuse, but not so many requests that the budget is spent.
            return False
        usual_s = self._usual_s(routed)
        waiting = self._waiting_request(routed)
        decision = self._crowding.decide_shed(
            waiting,
            retries,
            usual_s=usual_s,
            daemons=self._fleet.count_daemons(),
            now_s=self._clock.now_s(),
        )
        return await self._follow(decision, routed, waiting, usual_s)

    def may_retry_at_once(self, routed: RoutedRequest) -> bool:
        """Return whether a request may be sent again now, if the budget allows it.

        While callers compete and no place is known to be free, a retry would only be
        shed again.
        """
        if not self._holds_arrivals or not routed.sheds:
            return True
        return self._room(routed, self._clock.now_s()).places > 0

    def cost_elsewhere(self, routed: RoutedRequest) -> float:
        """Return the cost of sending a request to another data centre."""
        return remote_cost(
            body_bytes=len(routed.body.prelude),
            usual_s=self._usual_s(routed),
            target_latency_s=routed.route.target_latency_s,
        )

    async def _follow(
        self,
        decision: Decision,
        routed: RoutedRequest,
        waiting: WaitingRequest,
        usual_s: float,
    ) -> bool:
        if not isinstance(decision, Wait):
            return self._conclude(decision, routed, waited_s=0.0, expected_s=0.0)
        started_s = self._clock.now_s()
        outcome = asyncio.get_running_loop().create_future()
        held = _HeldRequest(routed, waiting, usual_s, outcome)
        self._held[waiting.number] = held
        self._crowding.hold(waiting, now_s=started_s)
        if self._check is None:
            self._check = asyncio.create_task(self._check_held())
        log(
            REQUEST_HELD,
            **routed.log_fields(now_s=started_s),
            expected_ms=int(decision.expected_s * 1000),
            held=len(self._held),
        )
        try:
            concluded = await outcome
        finally:
            del self._held[waiting.number]
            self._crowding.release(waiting.number)
        return self._conclude(
            concluded,
            routed,
            waited_s=self._clock.now_s() - started_s,
            expected_s=decision.expected_s,
        )

    def _conclude(
        self,
        decision: Decision,
        routed: RoutedRequest,
        *,
        waited_s: float,
        expected_s: float,
    ) -> bool:
        """Account for the end of a wait; return whether the request may be sent."""
        match decision:
            case RefuseTooLate(room_in_s) | RefuseNoRoom(room_in_s):
                is_late = isinstance(decision, RefuseTooLate)
                outcome = "too-late" if is_late else "no-room"
                self._metrics.record_room_wait(outcome, waited_s)
                if waited_s or not routed.sheds:
                    routed.room_in_s = room_in_s
                return False
            case _:
                pass
        if not waited_s:
            self._metrics.record_room_wait("at-once", 0.0)
            return True
        self._metrics.record_room_wait("waited", waited_s)
        routed.waited_s += waited_s
        # A target that was full may have room by now.
        routed.available_again = set(routed.tried)
        routed.refusals = 0
        log(
            REQUEST_GRANTED,
            **routed.log_fields(now_s=self._clock.now_s()),
            expected_ms=int(expected_s * 1000),
            waited_ms=int(waited_s * 1000),
        )
        return True

    async def _check_held(self) -> None:
        """Grant held requests as places become free, as long as there are any."""
        while self._held:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._fleet.receive_pending()
            now_s = self._clock.now_s()
            by_service: defaultdict[str, list[_HeldRequest]] = defaultdict(list)
            for held in self._held.values():
                if not held.outcome.done():
                    by_service[held.routed.service].append(held)
            for service, requests in by_service.items():
                self._refuse_overdue(requests, now_s)
                self._grant(service, requests, now_s)
        self._check = None

    def _refuse_overdue(self, requests: list[_HeldRequest], now_s: float) -> None:
        for held in requests:
            is_late = not held.waiting.can_end(usual_s=held.usual_s, now_s=now_s)
            if is_late or held.routed.has_caller_left or self._fleet.is_stopping():
                self._end(held, RefuseTooLate(held.usual_s))

    def _grant(self, service: str, requests: list[_HeldRequest], now_s: float) -> None:
        room = self._room(requests[0].routed, now_s)
        retries = self._retry_room(service)
        has_retry = retries.tokens >= 1
        for _ in requests:
            granted = self._crowding.grant(
                service,
                room,
                usual_s=requests[0].usual_s,
                daemons=self._fleet.count_daemons(),
                now_s=now_s,
                has_retry=has_retry,
            )
            if granted is None:
                return
            held = self._held[granted.number]
            if granted.sheds and not self._reports.take_retry(held.routed):
                # The next check tries it again, with the same place in the order.
                self._crowding.hold(granted, now_s=now_s)
                return
            room = room.with_one_more()
            self._end(held, SendNow())

    def _end(self, held: _HeldRequest, decision: Decision) -> None:
        self._crowding.release(held.waiting.number)
        if not held.outcome.done():
            held.outcome.set_result(decision)

    def _usual_s(self, routed: RoutedRequest) -> float:
        return self._fleet.typical_latencies[routed.service].usual_s(
            target_latency_s=routed.route.target_latency_s
        )

    def _waiting_request(self, routed: RoutedRequest) -> WaitingRequest:
        return WaitingRequest(
            number=next(self._numbers),
            service=routed.service,
            workspace=_workspace_of(routed),
            priority=routed.priority,
            arrived_s=routed.arrived_s,
            target_latency_s=routed.route.target_latency_s,
            deadline_s=routed.deadline_s,
            sheds=routed.sheds,
            body_bytes=len(routed.body.prelude),
        )

    def _room(self, routed: RoutedRequest, now_s: float) -> ServiceRoom:
        targets = self._fleet.directory.available(
            routed.service, turn=routed.turn, now_s=now_s
        )
        return self._fleet.placement.room(targets, now_s=now_s)

    def _retry_room(self, service: str) -> RetryRoom:
        now_s = self._clock.now_s()
        budget = self._fleet.budget
        usage = budget.usage(service, now_s=now_s)
        return RetryRoom(
            tokens=usage.allowed - usage.spent,
            next_in_s=max(0.0, budget.available_in_s(service, now_s=now_s)),
            tokens_per_s=usage.allowed / budget.window_s,
        )


def _workspace_of(routed: RoutedRequest) -> str:
    """Return the name of a request's workspace, or of its route if it has none."""
    return routed.workspace.name if routed.workspace else routed.route.name
