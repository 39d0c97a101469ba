"""Refuses requests of workspaces over their quotas, before they cost others anything.

A request is counted once its body is there, so that a caller that does not send it
takes nothing from its workspace. One that is refused gets no target, no share of the
retry budget and no place in a queue.
"""

from collections.abc import Awaitable, Callable

from aiohttp import web

from dogwoodhook.clock import Clock
from dogwoodhook.events import QUOTA_EXCEEDED, log
from dogwoodhook.metrics import Metrics
from dogwoodhook.state.workspace_access import ReportedKeys
from dogwoodhook.state.workspace_policy import WorkspacePolicy
from dogwoodhook.state.workspace_quota import OverQuota
from dogwoodhook.transport.fleet_view import FleetView
from dogwoodhook.transport.own_answers import OwnAnswers
from dogwoodhook.transport.routed_request import RoutedRequest

MAX_REPORTED_WORKSPACES = 32
"""Log lines on quotas in an interval."""

REPORT_INTERVAL_S = 10.0
"""Interval after which a workspace is logged again."""

OVER_QUOTA_DETAIL = "the workspace is over its quota"

Run = Callable[[RoutedRequest], Awaitable[web.StreamResponse]]


class QuotaAdmission:
    """Counts requests of workspaces that have a quota."""

    def __init__(
        self,
        fleet: FleetView,
        clock: Clock,
        metrics: Metrics,
        own_answers: OwnAnswers,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._own_answers = own_answers
        self._reported = ReportedKeys(
            limit=MAX_REPORTED_WORKSPACES, interval_s=REPORT_INTERVAL_S
        )

    async def run(self, routed: RoutedRequest, run: Run) -> web.StreamResponse:
        """Run a request if its workspace's quota allows it, and return the answer."""
        workspace = routed.workspace
        if workspace is None or not workspace.has_quota:
            return await run(routed)
        sharing = self._fleet.quota_sharing
        taken = await sharing.take(workspace, priority=routed.priority)
        if isinstance(taken, OverQuota):
            return self._refuse(routed, workspace, taken)
        try:
            return await run(routed)
        finally:
            if not _may_have_run(routed):
                sharing.give_back(workspace, taken)

    def _refuse(
        self, routed: RoutedRequest, workspace: WorkspacePolicy, refusal: OverQuota
    ) -> web.StreamResponse:
        decided_by = refusal.decided_by or ""
        self._metrics.record_quota_refusal(workspace.name, is_reached=bool(decided_by))
        label = f"{workspace.name} {decided_by}"
        if self._reported.is_new(label, now_s=self._clock.now_s()):
            log(
                QUOTA_EXCEEDED,
                workspace=workspace.name,
                decided_by=decided_by,
                rate_per_s=workspace.rate_per_s,
                burst=workspace.burst,
                **routed.log_fields(now_s=self._clock.now_s()),
            )
        return self._own_answers.over_quota(
            routed.request, OVER_QUOTA_DETAIL, retry_after_s=refusal.retry_after_s
        )


def _may_have_run(routed: RoutedRequest) -> bool:
    """Return whether a target may have run a request that has ended here.

    Attempts that were cancelled with the request are not counted as runs.
    """
    has_unknown_attempt = len(routed.tried) > routed.refusals
    return routed.may_have_run or routed.has_succeeded or has_unknown_attempt
