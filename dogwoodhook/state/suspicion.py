"""Which targets to avoid, judged by failures at this daemon and its peers.

A gray target fails most requests for some seconds while its health check passes.
A request that it cuts off may have run and cannot always be retried, so the target
has to be avoided: one failure seen by any daemon has to reach the whole fleet before
the next request. A reset by the target is such a failure. A timeout is not: during a
partial network failure it says more about the path from one daemon than about the
target. Timeouts therefore affect other daemons only if several daemons report them and
none of the own requests has succeeded recently. Healthy targets return server errors
too, so two of them are needed to suspect a target.

A single failure may be an accident, such as a lost or a surplus answer. It makes a
target doubtful, which placement weighs like a few requests in flight. Further failures
without a success between them make it failing. A success at a suspect is reported as
well and subtracts one failure, so that a target that fails occasionally is soon sound
again while one that fails most requests is not.

A reset on an idle connection may mean that the target, or a device on the path, has
dropped its idle connections. It makes the target doubtful too, but further resets of
idle connections do not make it failing. For some time afterwards all requests to the
target open new connections. A gray target fails on those as well and is then detected.

A target may also hang: it accepts connections and answers nothing. A request that is
overdue there, while the path is known to work, makes it slow for all daemons, as it
cannot be retried if it may run only once. It makes it no more than slow: one in a
hundred requests takes that long at sound targets, too.

A slow target is not a failing one. Under load all targets are slow, and treating both
alike would hide the ones that fail. Slowness weighs like a few requests in flight.

Avoidance removes no capacity: an avoided target is used if no other is left. It ends
after a holding time that differs between daemons, so that the first daemon to use the
target again can report the result to the others. Idempotent requests return to it
sooner, since a failure costs them no more than a retry.
"""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

HOLD_S = 5.0
"""Holding time after a failure for requests that are not idempotent. Gray episodes
last some ten seconds, and every request sent to the target before the end may fail."""

IDEMPOTENT_HOLD_S = 2.0
"""Holding time after a failure for idempotent requests."""

HOLD_SPREAD_S = 2.0
"""Largest random addition to a holding time. Each daemon draws its own for each
failure, so that they do not all use the target again at the same time."""

PATH_HOLD_S = 4.0
"""First holding time after a failure of this daemon's network path to a target."""

MAX_PATH_HOLD_S = 16.0
"""Longest holding time of a path; it doubles with each failure up to this value."""

BUSY_HOLD_S = 0.3
"""Time for which a target that refused a request counts as slow: about the processing
time of one request, after which a slot is free."""

STALL_HOLD_S = 3.0
"""Time for which a target that stalled counts as slow, in addition to the spread: as
long as an episode lasts. A sound one whose answer was only late is needed again."""

IDLE_REUSE_PAUSE_S = 6.0
"""Time for which no idle connection to a target is used after one of them was reset."""

AGREEMENT_S = 3.0
"""Time within which failures count together, whichever daemons reported them."""

AGREEING_REPORTERS = 2
"""Daemons that must report timeouts of a target before other daemons act on them."""

ERRORS_TO_SUSPECT = 2
"""Server errors of a target within ``AGREEMENT_S`` that make it a suspect."""

OWN_SUCCESS_S = 2.0
"""Time after an own success for which other daemons' timeouts are ignored."""

UNRELIABLE_REPORTER_TARGETS = 4
"""If this many different targets fail simultaneously for one daemon, its reports are
ignored, since the fault is then likely to be on its own side."""

UNRELIABLE_REPORTER_WINDOW_S = 0.3
"""Time within which such failures count as simultaneous."""

MAX_REPORTS = 16
"""Reports kept for each target."""

FAILING_FAILURES = 2
"""Failures, minus successes, from which a target is failing and not only doubtful."""

MAX_FAILURES = 6
"""Upper bound of the failure count; as many successes make the target sound again."""

FAILURE_RETENTION_S = 15.0
"""Time after the last failure for which the earlier ones still count."""

MAX_SUSPECTS = 4096
"""Targets remembered; the least recently updated one is evicted first."""


class Symptom(StrEnum):
    """How a target failed a request.

    ``RESET``: it broke the connection, or sent something that is no valid answer to
    the request. ``IDLE_RESET``: it broke a connection that had been idle. ``ERROR``: it
    answered with a server error. ``OVERDUE``: it did not answer within the time in
    which nearly all answers arrive. ``SILENT``: it did not answer before the deadline.
    ``STALLED``: it did not answer within that time although it accepts connections.
    ``UNREACHABLE``: no connection could be opened. ``BUSY``: it refused the request.
    ``CRASHED``: its process ended with the request in flight.
    """

    RESET = "reset"
    IDLE_RESET = "idle-reset"
    ERROR = "error"
    OVERDUE = "overdue"
    STALLED = "stalled"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    BUSY = "busy"
    CRASHED = "crashed"


# These may come from the network path between daemon and target, not from the target.
_PATH_SYMPTOMS = frozenset({Symptom.OVERDUE, Symptom.SILENT, Symptom.UNREACHABLE})


class Standing(IntEnum):
    """How a daemon rates a target; higher is worse.

    ``SOUND``: it is not avoided. ``SLOW``: it recently refused a request or did not
    answer in time. ``DOUBTFUL``: it is avoided after fewer than ``FAILING_FAILURES``
    failures. ``FAILING``: it is avoided after that many or more.
    """

    SOUND = 0
    SLOW = 1
    DOUBTFUL = 2
    FAILING = 3


@dataclass(frozen=True, slots=True)
class Avoidance:
    """A target's standing, and the failures that led to it."""

    standing: Standing
    failures: int = 0


_SOUND = Avoidance(Standing.SOUND)
_SLOW = Avoidance(Standing.SLOW)


@dataclass(frozen=True, slots=True)
class FailureReport:
    """A failure at a target and the daemon that observed it."""

    target: str
    symptom: Symptom
    reporter: str


@dataclass(slots=True)
class _Suspect:
    reports: deque[tuple[float, FailureReport]] = field(
        default_factory=lambda: deque(maxlen=MAX_REPORTS)
    )
    failures: int = 0
    avoided_until_s: float = 0.0
    idempotent_avoided_until_s: float = 0.0
    slow_until_s: float = 0.0
    idle_reuse_paused_until_s: float = 0.0
    failed_s: float = float("-inf")
    succeeded_s: float = float("-inf")
    path_hold_s: float = PATH_HOLD_S

    def avoid(self, *, until_s: float, idempotent_avoided_until_s: float) -> None:
        """Extend the holding times; neither is ever shortened."""
        self.avoided_until_s = max(self.avoided_until_s, until_s)
        self.idempotent_avoided_until_s = max(
            self.idempotent_avoided_until_s, idempotent_avoided_until_s
        )


class Suspicion:
    """The targets that one daemon avoids."""

    def __init__(self, *, daemon: str, rng: random.Random) -> None:
        self._daemon = daemon
        self._rng = rng
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._failed_by_reporter: dict[str, dict[str, float]] = {}

    def avoidance(self, target: str, *, is_idempotent: bool, now_s: float) -> Avoidance:
        """Return a target's standing for a request, and its count of failures."""
        suspect = self._suspects.get(target)
        if suspect is None:
            return _SOUND
        until_s = (
            suspect.idempotent_avoided_until_s
            if is_idempotent
            else suspect.avoided_until_s
        )
        if now_s < until_s:
            is_failing = suspect.failures >= FAILING_FAILURES
            standing = Standing.FAILING if is_failing else Standing.DOUBTFUL
            return Avoidance(standing, suspect.failures)
        return _SLOW if now_s < suspect.slow_until_s else _SOUND

    def may_use_idle(self, target: str, *, now_s: float) -> bool:
        """Return whether idle connections to a target may be used."""
        suspect = self._suspects.get(target)
        return suspect is None or now_s >= suspect.idle_reuse_paused_until_s

    def record_success(self, target: str, *, sent_s: float, now_s: float) -> bool:
        """Record an answer; return whether to report it to the other daemons.

        An answer to a request that was sent before the last failure changes nothing:
        it only shows that the target was healthy before that failure.
        """
        suspect = self._suspect(target)
        suspect.succeeded_s = now_s
        if sent_s <= suspect.failed_s:
            return False
        suspect.path_hold_s = PATH_HOLD_S
        suspect.slow_until_s = 0.0
        was_suspect = suspect.failures > 0
        self._subtract_failure(suspect)
        return was_suspect

    def record_reported_success(self, target: str) -> None:
        """Record a success at a suspect that another daemon reported."""
        self._subtract_failure(self._suspect(target))

    def record_restart(self, target: str) -> None:
        """Record that a target's process was started again.

        A target that has ended once is no longer avoided; one that has failed in other
        ways, or has ended several times, is.
        """
        suspect = self._suspects.get(target)
        if suspect is None or suspect.failures > 1 or not suspect.reports:
            return
        _, report = suspect.reports[-1]
        if report.symptom is Symptom.CRASHED:
            self._subtract_failure(suspect)

    def record_failure(self, target: str, symptom: Symptom, *, now_s: float) -> None:
        """Record a failure of a request of this daemon."""
        report = FailureReport(target, symptom, self._daemon)
        if symptom is Symptom.BUSY:
            self._mark_busy(target, now_s)
            return
        suspect = self._record_report(report, now_s)
        if symptom is Symptom.STALLED:
            self._avoid_after_stall(suspect, now_s)
        elif symptom in _PATH_SYMPTOMS:
            self._avoid_after_path_failure(suspect, symptom, now_s)
            suspect.path_hold_s = min(MAX_PATH_HOLD_S, suspect.path_hold_s * 2)
        elif self._has_enough_evidence(suspect, report, now_s):
            self._avoid_after_failure(suspect, symptom, now_s)

    def record_reported_failure(self, report: FailureReport, *, now_s: float) -> bool:
        """Record another daemon's report; return whether it made a new suspect."""
        if report.symptom is Symptom.BUSY:
            self._mark_busy(report.target, now_s)
            return False
        suspect = self._record_report(report, now_s)
        if self._is_unreliable(report.reporter):
            return False
        if not self._has_enough_evidence(suspect, report, now_s):
            return False
        if report.symptom is Symptom.STALLED:
            self._avoid_after_stall(suspect, now_s)
            return False
        before = self.avoidance(report.target, is_idempotent=False, now_s=now_s)
        if report.symptom in _PATH_SYMPTOMS:
            self._avoid_after_path_failure(suspect, report.symptom, now_s)
        else:
            self._avoid_after_failure(suspect, report.symptom, now_s)
        return before.standing is Standing.SOUND

    def _suspect(self, target: str) -> _Suspect:
        suspect = self._suspects.setdefault(target, _Suspect())
        self._suspects.move_to_end(target)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _has_enough_evidence(
        self, suspect: _Suspect, report: FailureReport, now_s: float
    ) -> bool:
        match report.symptom:
            case Symptom.RESET | Symptom.IDLE_RESET | Symptom.CRASHED | Symptom.STALLED:
                return True
            case Symptom.ERROR:
                return self._errors(suspect, now_s) >= ERRORS_TO_SUSPECT
            case Symptom.OVERDUE | Symptom.SILENT | Symptom.UNREACHABLE:
                if now_s - suspect.succeeded_s < OWN_SUCCESS_S:
                    return False
                return len(self._path_reporters(suspect, now_s)) >= AGREEING_REPORTERS
            case Symptom.BUSY:
                return False

    def _errors(self, suspect: _Suspect, now_s: float) -> int:
        return sum(
            report.symptom is Symptom.ERROR
            for at_s, report in suspect.reports
            if now_s - at_s < AGREEMENT_S
        )

    def _path_reporters(self, suspect: _Suspect, now_s: float) -> frozenset[str]:
        return frozenset(
            report.reporter
            for at_s, report in suspect.reports
            if now_s - at_s < AGREEMENT_S and report.symptom in _PATH_SYMPTOMS
        )

    def _record_report(self, report: FailureReport, now_s: float) -> _Suspect:
        suspect = self._suspect(report.target)
        suspect.reports.append((now_s, report))
        failed = self._failed_by_reporter.get(report.reporter, {})
        recent = {
            target: at_s
            for target, at_s in failed.items()
            if now_s - at_s < UNRELIABLE_REPORTER_WINDOW_S
        }
        self._failed_by_reporter[report.reporter] = {**recent, report.target: now_s}
        return suspect

    def _is_unreliable(self, reporter: str) -> bool:
        return len(self._failed_by_reporter[reporter]) >= UNRELIABLE_REPORTER_TARGETS

    def _avoid_after_failure(
        self, suspect: _Suspect, symptom: Symptom, now_s: float
    ) -> None:
        if symptom is Symptom.IDLE_RESET:
            suspect.idle_reuse_paused_until_s = now_s + IDLE_REUSE_PAUSE_S
        if symptom is not Symptom.IDLE_RESET or not suspect.failures:
            self._add_failures(suspect, 1, now_s)
        spread_s = self._rng.uniform(0, HOLD_SPREAD_S)
        suspect.avoid(
            until_s=now_s + HOLD_S + spread_s,
            idempotent_avoided_until_s=now_s + IDEMPOTENT_HOLD_S + spread_s,
        )

    def _mark_busy(self, target: str, now_s: float) -> None:
        suspect = self._suspect(target)
        suspect.slow_until_s = max(suspect.slow_until_s, now_s + BUSY_HOLD_S)

    def _avoid_after_stall(self, suspect: _Suspect, now_s: float) -> None:
        until_s = now_s + STALL_HOLD_S + self._rng.uniform(0, HOLD_SPREAD_S)
        suspect.slow_until_s = max(suspect.slow_until_s, until_s)

    def _avoid_after_path_failure(
        self, suspect: _Suspect, symptom: Symptom, now_s: float
    ) -> None:
        until_s = now_s + suspect.path_hold_s
        if symptom is Symptom.OVERDUE:
            suspect.slow_until_s = max(suspect.slow_until_s, until_s)
            return
        self._add_failures(suspect, FAILING_FAILURES, now_s)
        suspect.avoid(until_s=until_s, idempotent_avoided_until_s=until_s)

    def _add_failures(self, suspect: _Suspect, failures: int, now_s: float) -> None:
        if now_s - suspect.failed_s > FAILURE_RETENTION_S:
            suspect.failures = 0
        suspect.failures = min(MAX_FAILURES, suspect.failures + failures)
        suspect.failed_s = now_s

    def _subtract_failure(self, suspect: _Suspect) -> None:
        suspect.failures = max(0, suspect.failures - 1)
        if not suspect.failures:
            suspect.avoided_until_s = 0.0
            suspect.idempotent_avoided_until_s = 0.0
