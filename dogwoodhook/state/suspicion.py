"""Which targets to avoid, from failures that this daemon and its peers meet.

A gray target fails most requests for some seconds while its health check passes,
and a request that it cut off may have run, so only avoidance helps: one failure
seen anywhere has to move the whole fleet before the next request. A reset by the
target is such a failure. A timeout is not: with part of the network gone it says
more about the path from one daemon than about the target, so timeouts move
other daemons only where several tell of them and none of their own requests
succeeded since. Server errors happen at healthy targets too, and count by twos.

Avoidance removes no capacity: an avoided target is used where no other is left.
It ends after a holding time that differs from daemon to daemon, so that the first
one to return finds out for the others.
"""

import random
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

HOLD_S = 2.0
"""Holding time after a failure; gray episodes last some seconds."""

HOLD_SPREAD_S = 1.5
"""Further holding time, drawn anew by each daemon."""

PATH_HOLD_S = 4.0
"""Holding time after a failure of this daemon's own path to a target."""

MAX_PATH_HOLD_S = 16.0
"""Longest holding time of a path that fails again and again."""

AGREEMENT_S = 3.0
"""Time within which failures seen by several daemons speak together."""

AGREEING_REPORTERS = 2
"""Daemons that must report timeouts of a target before others act on them."""

ERRORS_TO_SUSPECT = 2
"""Server errors of a target within ``AGREEMENT_S`` that make it a suspect."""

OWN_SUCCESS_S = 2.0
"""Time for which an own success outweighs other daemons' timeouts."""

DOUBT_TARGETS = 4
"""Different targets failing for one daemon at once that make its reports doubtful."""

DOUBT_S = 0.3
"""Time within which such failures count as simultaneous."""

MAX_REPORTS = 16
"""Reports kept for each target."""


class Symptom(StrEnum):
    """How a target failed a request.

    ``RESET``: it broke the connection, or answered with anything but an answer
    to the request. ``ERROR``: it answered with a server error. ``OVERDUE``: no
    answer after a time in which nearly all come. ``UNREACHABLE``: no connection.
    """

    RESET = "reset"
    ERROR = "error"
    OVERDUE = "overdue"
    UNREACHABLE = "unreachable"


_PATH_SYMPTOMS = frozenset({Symptom.OVERDUE, Symptom.UNREACHABLE})


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
    avoided_until_s: float = 0.0
    succeeded_s: float = float("-inf")
    path_hold_s: float = PATH_HOLD_S


class Suspicion:
    """The targets that one daemon avoids."""

    def __init__(self, *, daemon: str, rng: random.Random) -> None:
        self._daemon = daemon
        self._rng = rng
        self._suspects: dict[str, _Suspect] = {}
        self._failed_by_reporter: dict[str, dict[str, float]] = {}

    def is_avoided(self, target: str, *, now_s: float) -> bool:
        """Tell whether a target gets work only where no other is left."""
        suspect = self._suspects.get(target)
        return suspect is not None and now_s < suspect.avoided_until_s

    def avoided_until_s(self, target: str) -> float:
        """Return when the avoidance of a target ends."""
        suspect = self._suspects.get(target)
        return 0.0 if suspect is None else suspect.avoided_until_s

    def record_success(self, target: str, *, now_s: float) -> None:
        """Note an answer; it ends the avoidance of a target."""
        suspect = self._suspects.get(target)
        if suspect is None:
            return
        suspect.succeeded_s = now_s
        suspect.path_hold_s = PATH_HOLD_S
        suspect.avoided_until_s = 0.0

    def record_failure(
        self, target: str, symptom: Symptom, *, now_s: float
    ) -> FailureReport:
        """Note an own failure; return the report for the other daemons."""
        report = FailureReport(target, symptom, self._daemon)
        suspect = self._note(report, now_s)
        if symptom in _PATH_SYMPTOMS:
            self._avoid(suspect, now_s, suspect.path_hold_s)
            suspect.path_hold_s = min(MAX_PATH_HOLD_S, suspect.path_hold_s * 2)
        elif (
            symptom is Symptom.RESET
            or self._errors(suspect, now_s) >= ERRORS_TO_SUSPECT
        ):
            self._avoid(suspect, now_s, self._hold_s())
        return report

    def absorb(self, report: FailureReport, *, now_s: float) -> bool:
        """Take another daemon's report; tell whether the target is avoided now."""
        suspect = self._note(report, now_s)
        if self._is_doubtful(report.reporter, now_s):
            return False
        if self._is_convincing(suspect, report, now_s):
            self._avoid(suspect, now_s, self._hold_s())
        return now_s < suspect.avoided_until_s

    def forget(self, target: str) -> None:
        """Drop what is known of a target that is gone."""
        self._suspects.pop(target, None)

    def _is_convincing(
        self, suspect: _Suspect, report: FailureReport, now_s: float
    ) -> bool:
        match report.symptom:
            case Symptom.RESET:
                return True
            case Symptom.ERROR:
                return self._errors(suspect, now_s) >= ERRORS_TO_SUSPECT
            case Symptom.OVERDUE | Symptom.UNREACHABLE:
                if now_s - suspect.succeeded_s < OWN_SUCCESS_S:
                    return False
                return len(self._path_reporters(suspect, now_s)) >= AGREEING_REPORTERS

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

    def _note(self, report: FailureReport, now_s: float) -> _Suspect:
        suspect = self._suspects.setdefault(report.target, _Suspect())
        suspect.reports.append((now_s, report))
        failed = self._failed_by_reporter.setdefault(report.reporter, {})
        failed[report.target] = now_s
        return suspect

    def _is_doubtful(self, reporter: str, now_s: float) -> bool:
        failed = self._failed_by_reporter[reporter]
        recent = sum(now_s - at_s < DOUBT_S for at_s in failed.values())
        return recent >= DOUBT_TARGETS

    def _hold_s(self) -> float:
        return HOLD_S + self._rng.uniform(0, HOLD_SPREAD_S)

    def _avoid(self, suspect: _Suspect, now_s: float, hold_s: float) -> None:
        suspect.avoided_until_s = max(suspect.avoided_until_s, now_s + hold_s)
