"""What a forwarder notes and tells the fleet of its requests at targets."""

import random

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_messages import TargetFailure, TargetSuccess
from dogwoodhook.events import REPEAT_DECIDED, log
from dogwoodhook.state.suspicion import Symptom
from dogwoodhook.transport.fleet_view import FleetView
from dogwoodhook.transport.routed_request import RoutedRequest

RUN_NUMBER_BITS = 32
"""Size of the drawn number that tells runs of one daemon apart."""


class FleetReports:
    """Records failures and successes at targets, and second sendings."""

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
        """Avoid a target that failed, and tell the others of it."""
        self._fleet.suspicion.record_failure(target, symptom, now_s=self._clock.now_s())
        self._tell(routed, target, symptom)

    def report_success(self, target: str, *, sent_s: float) -> None:
        """Note a good answer; tell the others if the target was a suspect."""
        if self._fleet.suspicion.record_success(
            target, sent_s=sent_s, now_s=self._clock.now_s()
        ):
            self._fleet.tell(TargetSuccess(self._daemon, target))

    def take_repeat(self, routed: RoutedRequest, *, is_race: bool = False) -> bool:
        """Draw on the fleet's budget for one more sending."""
        budget = self._fleet.budget
        now_s = self._clock.now_s()
        account = budget.account(routed.service, now_s=now_s)
        is_allowed = budget.try_take(
            routed.service,
            daemons=self._fleet.count_daemons(),
            now_s=now_s,
            is_hedge=is_race,
        )
        log(
            REPEAT_DECIDED,
            request=routed.request_id,
            service=routed.service,
            is_allowed=is_allowed,
            is_race=is_race,
            spent=account.spent,
            allowed=round(account.allowed, 1),
        )
        if is_allowed:
            self._tell(routed, routed.last_target, None)
        return is_allowed

    def _tell(
        self, routed: RoutedRequest, target: str, symptom: Symptom | None
    ) -> None:
        now_s = self._clock.now_s()
        budget = self._fleet.budget
        # A busy target is avoided for less time than the news takes to matter afar.
        is_local = symptom is Symptom.BUSY
        tell = self._fleet.tell_neighbours if is_local else self._fleet.tell
        tell(
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
