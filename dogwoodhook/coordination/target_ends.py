"""Ends of targets, attributed to the requests that were at them.

A daemon learns that a target's process ended from any of these: its port is closed, two
connections to it broke at the same time and none to another target, the store lists
another incarnation or another target at its address, its entry has gone and nothing
accepts connections there, or another daemon says so. What a daemon finds at the target
itself it reports to all, since any of them may have sent the request under which the
target ended. If the daemon that sent it is killed, those attribute the end that it told
of the request (see ``AttemptSharing``).
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.attempt_sharing import AttemptSharing
from dogwoodhook.coordination.fleet_links import FleetLinks
from dogwoodhook.coordination.fleet_messages import TargetEnded
from dogwoodhook.coordination.fleet_quarantine import FleetQuarantine
from dogwoodhook.events import TARGET_CRASHED, log
from dogwoodhook.state.attempted_request import TargetProcess
from dogwoodhook.state.reported_attempts import UnattributedEnd
from dogwoodhook.state.unanswered_runs import UnansweredRun, UnansweredRuns

MAX_ENDS = 1024
"""Ends remembered; the oldest one is discarded first."""

SAME_LOSS_S = 0.6
"""Time within which losses at several targets show a fault of the VM or its network:
twice that for the answer to a new connection."""

SAME_END_S = 1.0
"""Time after an end for which further evidence belongs to it. A target may end again
before the store lists its new incarnation."""


class EndEvidence(StrEnum):
    """What shows that a target's process ended."""

    CLOSED_PORT = "closed-port"
    BROKEN_TOGETHER = "broken-together"
    NEW_INCARNATION = "new-incarnation"
    REMOVED_ENTRY = "removed-entry"
    REPORT = "report"


class TargetEnds:
    """Records ends of targets, and which of this daemon's requests were at them.

    ``on_crash`` is called for each such request.
    """

    def __init__(
        self,
        quarantine: FleetQuarantine,
        links: FleetLinks,
        clock: Clock,
        *,
        daemon: str,
        attempt_sharing: AttemptSharing,
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        attempt_sharing.on_unattributed = self._attribute_for_other
        self._attempt_sharing = attempt_sharing
        self._quarantine = quarantine
        self._links = links
        self._clock = clock
        self._daemon = daemon
        self._on_crash = on_crash
        self._runs = UnansweredRuns()
        self._known: OrderedDict[TargetProcess, float] = OrderedDict()

    def record_unanswered(self, run: UnansweredRun) -> None:
        """Keep a request that got no answer from its target."""
        ended_s = self._known.get(run.process, float("-inf"))
        if run.has_lost_connection and run.at_s - ended_s < SAME_END_S:
            self._attribute(run, EndEvidence.REPORT, ended_s)
            return
        self._runs.add(run)

    def has_unanswered_at(self, target: str) -> bool:
        """Return whether requests got no answer from a target a short time ago.

        They may be those of a daemon that was killed.
        """
        return self._runs.has_any_at(
            target, now_s=self._clock.now_s()
        ) or self._attempt_sharing.has_any_at(target)

    def is_only_loss(self, target: str) -> bool:
        """Return whether no connection to another target broke at the same time."""
        since_s = self._clock.now_s() - SAME_LOSS_S
        return self._runs.lost_targets(since_s=since_s) <= {target}

    def record_end(
        self, target: str, incarnation: int, evidence: EndEvidence, age_s: float = 0.0
    ) -> None:
        """Record that a target ended, ``age_s`` ago or earlier."""
        now_s = self._clock.now_s()
        process = TargetProcess(target, incarnation)
        for run in self._runs.take(process, now_s=now_s):
            self._attribute(run, evidence, now_s - age_s)
        self._attempt_sharing.record_end(process, at_s=now_s - age_s)
        is_known = now_s - self._known.get(process, float("-inf")) < SAME_END_S
        if is_known:
            return
        self._known[process] = now_s - age_s
        self._known.move_to_end(process)
        if len(self._known) > MAX_ENDS:
            self._known.popitem(last=False)
        # Every daemon learns of these itself.
        if evidence not in (EndEvidence.NEW_INCARNATION, EndEvidence.REPORT):
            self._links.broadcast(TargetEnded(self._daemon, target, incarnation, age_s))

    def receive(self, message: TargetEnded) -> None:
        """Record an end that another daemon reports."""
        self.record_end(
            message.target, message.incarnation, EndEvidence.REPORT, message.age_s
        )

    def _attribute_for_other(self, end: UnattributedEnd) -> None:
        """Attribute an end for a daemon that was killed, unless it has done so."""
        if self._quarantine.has_counted(end.request.identity, str(end.process)):
            return
        run = UnansweredRun(
            end.request, end.process, at_s=end.at_s, has_lost_connection=False
        )
        self._attribute(run, EndEvidence.REPORT, end.at_s, sender=end.daemon)

    def _attribute(
        self,
        run: UnansweredRun,
        evidence: EndEvidence,
        ended_s: float,
        *,
        sender: str | None = None,
    ) -> None:
        self._on_crash()
        request, process = run.request, run.process
        log(
            TARGET_CRASHED,
            request=request.request_id,
            **request.identity.log_fields(),
            caller=request.caller,
            service=request.service,
            target=process.target,
            incarnation=process.incarnation,
            evidence=evidence,
            sender=sender or self._daemon,
            unanswered_ms=round((self._clock.now_s() - run.at_s) * 1000),
        )
        self._quarantine.record_crash(
            request.service,
            request.identity,
            str(process),
            crashed_s=run.at_s if run.has_lost_connection else max(run.at_s, ended_s),
        )
