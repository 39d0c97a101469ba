"""Which targets to avoid, from failures that this daemon and its peers meet.

A gray target fails most requests for some seconds while its health check passes,
and a request that it cut off may have run, so only avoidance helps: one failure
seen anywhere has to move the whole fleet before the next request. A reset by the
target is such a failure. A timeout is not: with part of the network gone it says
more about the path from one daemon than about the target, so timeouts move
other daemons only where several tell of them and none of their own requests
succeeded since. Server errors happen at healthy targets too, and count by twos.

One failure may be a flake: an answer that got lost, an extra one. It makes a target
doubtful, which costs as much as some requests in flight. Failures that follow without
a success between them make it failing. A success at a suspect is told as well, and
takes one failure back, so that a target that fails now and then is soon sound again
and one that fails most requests is not.

A reset on a connection that had been idle may mean that the target, or something on
the way, forgot idle connections. It makes the target doubtful as well, but no number of
such resets makes it failing, and until later all requests to it open new connections.
A gray target fails there too, and is then found out.

Slow is not failing. Under load all targets are slow, and to treat them alike would
hide the ones that fail; a slow target costs as much as some requests in flight.

Avoidance removes no capacity: an avoided target is used where no other is left.
It ends after a holding time that differs from daemon to daemon, so that the first
one to return finds out for the others. What may be repeated returns sooner, since
a failure costs it no more than a second sending.
"""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

HOLD_S = 5.0
"""Holding time after a failure for requests that may run only once. Gray episodes
of some ten seconds were measured; each return meets the rest of one."""

IDEMPOTENT_HOLD_S = 2.0
"""Holding time after a failure for requests that may be repeated."""

HOLD_SPREAD_S = 2.0
"""Further holding time, drawn anew by each daemon."""

PATH_HOLD_S = 4.0
"""Holding time after a failure of this daemon's own path to a target."""

MAX_PATH_HOLD_S = 16.0
"""Longest holding time of a path that fails again and again."""

BUSY_HOLD_S = 0.3
"""Time for which a target that refused a request counts as slow: about the work of
one request, after which a slot is free."""

IDLE_REUSE_PAUSE_S = 6.0
"""Time for which no idle connection to a target is used after one of them was reset."""

AGREEMENT_S = 3.0
"""Time within which failures seen by several daemons speak together."""

AGREEING_REPORTERS = 2
"""Daemons that must report timeouts of a target before others act on them."""

ERRORS_TO_SUSPECT = 2
"""Server errors of a target within ``AGREEMENT_S`` that make it a suspect."""

OWN_SUCCESS_S = 2.0
"""Time for which an own success outweighs other daemons' timeouts."""

UNRELIABLE_REPORTER_TARGETS = 4
"""Different targets failing for one daemon at once that make its reports doubtful."""

UNRELIABLE_REPORTER_WINDOW_S = 0.3
"""Time within which such failures count as simultaneous."""

MAX_REPORTS = 16
"""Reports kept for each target."""

FAILING_FAILURES = 2
"""Failures, less successes, from which a target is failing and not only doubtful."""

MAX_FAILURES = 6
"""Failures that are counted; as many successes make the target sound again."""

MEMORY_S = 15.0
"""Time after the last failure for which earlier ones still count."""

MAX_SUSPECTS = 4096
"""Targets remembered; the one that failed longest ago goes first."""


class Symptom(StrEnum):
    """How a target failed a request.

    ``RESET``: it broke the connection, or answered with anything but an answer
    to the request. ``IDLE_RESET``: it broke a connection that had been idle.
    ``ERROR``: it answered with a server error. ``OVERDUE``: no answer after a time
    in which nearly all come. ``SILENT``: none until the deadline.
    ``UNREACHABLE``: no connection. ``BUSY``: it refused the request.
    """

    RESET = "reset"
    IDLE_RESET = "idle-reset"
    ERROR = "error"
    OVERDUE = "overdue"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    BUSY = "busy"


_PATH_SYMPTOMS = frozenset({Symptom.OVERDUE, Symptom.SILENT, Symptom.UNREACHABLE})


class Standing(IntEnum):
    """What a daemon holds of a target; higher is worse."""

    SOUND = 0
    SLOW = 1
    DOUBTFUL = 2
    FAILING = 3


@dataclass(frozen=True, slots=True)
class Avoidance:
    """A target's standing, and the failures behind it."""

    standing: Standing
    failures: int = 0


_SOUND = Avoidance(Standing.SOUND)
_SLOW = Avoidance(Standing.SLOW)


@dataclass(frozen=True, slots=True)
class FailureReport:
    """A failure at a target, as the daemon that met it tells the others."""

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
        """Lengthen the holding times; neither one gets shorter."""
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
        """Return a target's standing for a request."""
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
        """Tell whether idle connections to a target may be used."""
        suspect = self._suspects.get(target)
        return suspect is None or now_s >= suspect.idle_reuse_paused_until_s

    def record_success(self, target: str, *, sent_s: float, now_s: float) -> bool:
        """Note an answer; tell whether others should know of it.

        An answer to a request that was sent before the last failure changes nothing:
        it only shows that the target was well before.
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
        """Take another daemon's success at a suspect."""
        self._subtract_failure(self._suspect(target))

    def record_failure(self, target: str, symptom: Symptom, *, now_s: float) -> None:
        """Note an own failure."""
        report = FailureReport(target, symptom, self._daemon)
        if symptom is Symptom.BUSY:
            self._hold_busy(target, now_s)
            return
        suspect = self._record_report(report, now_s)
        if symptom in _PATH_SYMPTOMS:
            self._hold_path(suspect, symptom, now_s)
            suspect.path_hold_s = min(MAX_PATH_HOLD_S, suspect.path_hold_s * 2)
        elif self._is_convincing(suspect, report, now_s):
            self._hold(suspect, symptom, now_s)

    def record_reported_failure(self, report: FailureReport, *, now_s: float) -> bool:
        """Take another daemon's report; tell whether it made a new suspect."""
        if report.symptom is Symptom.BUSY:
            self._hold_busy(report.target, now_s)
            return False
        suspect = self._record_report(report, now_s)
        if self._is_unreliable(report.reporter):
            return False
        if not self._is_convincing(suspect, report, now_s):
            return False
        before = self.avoidance(report.target, is_idempotent=False, now_s=now_s)
        if report.symptom in _PATH_SYMPTOMS:
            self._hold_path(suspect, report.symptom, now_s)
        else:
            self._hold(suspect, report.symptom, now_s)
        return before.standing is Standing.SOUND

    def _suspect(self, target: str) -> _Suspect:
        suspect = self._suspects.setdefault(target, _Suspect())
        self._suspects.move_to_end(target)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _is_convincing(
        self, suspect: _Suspect, report: FailureReport, now_s: float
    ) -> bool:
        match report.symptom:
            case Symptom.RESET | Symptom.IDLE_RESET:
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

    def _hold(self, suspect: _Suspect, symptom: Symptom, now_s: float) -> None:
        if symptom is Symptom.IDLE_RESET:
            suspect.idle_reuse_paused_until_s = now_s + IDLE_REUSE_PAUSE_S
        if symptom is not Symptom.IDLE_RESET or not suspect.failures:
            self._add_failures(suspect, 1, now_s)
        spread_s = self._rng.uniform(0, HOLD_SPREAD_S)
        suspect.avoid(
            until_s=now_s + HOLD_S + spread_s,
            idempotent_avoided_until_s=now_s + IDEMPOTENT_HOLD_S + spread_s,
        )

    def _hold_busy(self, target: str, now_s: float) -> None:
        suspect = self._suspect(target)
        suspect.slow_until_s = max(suspect.slow_until_s, now_s + BUSY_HOLD_S)

    def _hold_path(self, suspect: _Suspect, symptom: Symptom, now_s: float) -> None:
        until_s = now_s + suspect.path_hold_s
        if symptom is Symptom.OVERDUE:
            suspect.slow_until_s = max(suspect.slow_until_s, until_s)
            return
        self._add_failures(suspect, FAILING_FAILURES, now_s)
        suspect.avoid(until_s=until_s, idempotent_avoided_until_s=until_s)

    def _add_failures(self, suspect: _Suspect, failures: int, now_s: float) -> None:
        if now_s - suspect.failed_s > MEMORY_S:
            suspect.failures = 0
        suspect.failures = min(MAX_FAILURES, suspect.failures + failures)
        suspect.failed_s = now_s

    def _subtract_failure(self, suspect: _Suspect) -> None:
        suspect.failures = max(0, suspect.failures - 1)
        if not suspect.failures:
            suspect.avoided_until_s = 0.0
            suspect.idempotent_avoided_until_s = 0.0
