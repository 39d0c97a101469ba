"""Records the results of a forwarder's requests at targets, and reports them."""

import random

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_messages import TargetFailure, TargetSuccess
from dogwoodhook.events import REPEAT_DECIDED, log
from dogwoodhook.state.suspicion import Symptom
from dogwoodhook.transport.fleet_view import FleetView
from dogwoodhook.transport.routed_request import RoutedRequest

RUN_NUMBER_BITS = 32
"""Size of the random number that distinguishes the runs of one daemon."""


class FleetReports:
    """Records failures and successes at targets, and retries."""

    def __init__(
        self, fleet: FleetView, clock: Clock, *, daemon: str, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._daemon = daemon
        self._run = rng.getrandbits(RUN_NUMBER_BITS)

    def report_failure(
        self, routed: RoutedRequest, target: str, symptom: Symptom
    ) -> None:
        """Record a target's failure, and report it to the other daemons."""
        self._fleet.suspicion.record_failure(target, symptom, now_s=self._clock.now_s())
        self._send_report(routed, target, symptom)

    def report_success(self, target: str, *, sent_s: float) -> None:
        """Record a success, and report it to others if the target was suspected."""
        if self._fleet.suspicion.record_success(
            target, sent_s=sent_s, now_s=self._clock.now_s()
        ):
            self._fleet.notify_fleet(TargetSuccess(self._daemon, target))

    def take_retry(self, routed: RoutedRequest, *, is_hedge: bool = False) -> bool:
        """Take a retry from the fleet's budget; return whether it is allowed."""
        budget = self._fleet.budget
        now_s = self._clock.now_s()
        account = budget.account(routed.service, now_s=now_s)
        is_allowed = budget.try_take(
            routed.service,
            daemons=self._fleet.count_daemons(),
            now_s=now_s,
            is_hedge=is_hedge,
        )
        log(
            REPEAT_DECIDED,
            request=routed.request_id,
            service=routed.service,
            is_allowed=is_allowed,
            is_race=is_hedge,
            spent=account.spent,
            allowed=round(account.allowed, 1),
        )
        if is_allowed:
            self._send_report(routed, routed.last_target, None)
        return is_allowed

    def _send_report(
        self, routed: RoutedRequest, target: str, symptom: Symptom | None
    ) -> None:
        now_s = self._clock.now_s()
        budget = self._fleet.budget
        # A busy target is avoided for such a short time that the report would come
        # too late to matter in another data centre.
        is_local = symptom is Symptom.BUSY
        send = self._fleet.notify_neighbours if is_local else self._fleet.notify_fleet
        send(
            TargetFailure(
                daemon=self._daemon,
                run=self._run,
                service=routed.service,
                target=target,
                symptom=symptom,
                requests=budget.own_requests(routed.service, now_s=now_s),
                repeats=budget.own_retries(routed.service, now_s=now_s),
            )
        )
