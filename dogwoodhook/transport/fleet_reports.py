"""Records the results of a forwarder's requests at targets, and reports them.

A failure is followed at once by the decision to retry, which is reported too, since
both carry the totals of the fleet's budget. Reports are therefore sent at the end of
the event loop's step, so that one message tells of both.
"""

import asyncio
import random
from dataclasses import dataclass

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_messages import TargetFailure, TargetSuccess
from dogwoodhook.events import REPEAT_DECIDED, log
from dogwoodhook.state.suspicion import Symptom
from dogwoodhook.transport.fleet_view import FleetView
from dogwoodhook.transport.routed_request import RoutedRequest

RUN_NUMBER_BITS = 32
"""Size of the random number that distinguishes the runs of one daemon."""


@dataclass(slots=True)
class _Report:
    """A report to be sent; ``symptom`` is ``None`` for a retry alone."""

    service: str
    target: str
    symptom: Symptom | None
    has_retry: bool = False


class FleetReports:
    """Records failures and successes at targets, and retries."""

    def __init__(
        self, fleet: FleetView, clock: Clock, *, daemon: str, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._daemon = daemon
        self._run = rng.getrandbits(RUN_NUMBER_BITS)
        self._unsent: list[_Report] = []

    def report_failure(
        self, routed: RoutedRequest, target: str, symptom: Symptom
    ) -> None:
        """Record a target's failure, and report it to the other daemons."""
        self._fleet.suspicion.record_failure(target, symptom, now_s=self._clock.now_s())
        self._add_report(_Report(routed.service, target, symptom))

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
        usage = budget.usage(routed.service, now_s=now_s)
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
            spent=usage.spent,
            allowed=round(usage.allowed, 1),
        )
        if is_allowed:
            self._add_retry(routed)
        return is_allowed

    def _add_retry(self, routed: RoutedRequest) -> None:
        for report in self._unsent:
            if report.service == routed.service:
                report.has_retry = True
                return
        self._add_report(
            _Report(routed.service, routed.last_target, None, has_retry=True)
        )

    def _add_report(self, report: _Report) -> None:
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._send_reports)
        self._unsent.append(report)

    def _send_reports(self) -> None:
        now_s = self._clock.now_s()
        budget = self._fleet.budget
        reports, self._unsent = self._unsent, []
        for report in reports:
            # A busy target is avoided for such a short time that the report would come
            # too late to matter in another data centre.
            is_local = report.symptom is Symptom.BUSY and not report.has_retry
            send = (
                self._fleet.notify_neighbours if is_local else self._fleet.notify_fleet
            )
            send(
                TargetFailure(
                    daemon=self._daemon,
                    run=self._run,
                    service=report.service,
                    target=report.target,
                    symptom=report.symptom,
                    requests=budget.own_requests(report.service, now_s=now_s),
                    repeats=budget.own_retries(report.service, now_s=now_s),
                )
            )
