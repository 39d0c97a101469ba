"""Records of what callers and targets saw, and the checks of the promises on them."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request did not run and will not run."""

DENIAL_STATUSES = frozenset({400, 401, 403, 404, 413, 431})
"""Statuses that deny a request. The soak accepts only 404, for routes added during the
soak, and 401, for keys that a version does not hold; see ``soak.workspaces``."""

DAEMON_FAILURE_STATUSES = frozenset({502, 504})
"""Statuses of a daemon's own answer to a request that may have run."""

CLOSE_CROSSING_S = 0.2
"""A request that is due less than this before its connection ends may have crossed the
close on the way, so that the daemon did not read it."""

STOP_INTAKE_S = 3.0
"""Time after SIGTERM from which a daemon may not accept a request that it cannot
finish."""

STOP_MARGIN_S = 1.0
"""Time after the grace period that still counts as part of the stop."""

UNKNOWN_ROUTE_STATUS = 404
UNAUTHORIZED_STATUS = 401

RECOVERY_S = 3.0
"""Time after a disturbance until a daemon must keep its bounds again."""

CONFIGURATION_BOUND_S = 2.5
"""Time in which a configuration must be in force after the store acknowledged it. The
daemons' settings contain the same bound."""

TRANSIT_S = 0.05
"""Network delay between a daemon and a target: the daemon's timeout may start this much
before the target's."""

RETURN_MARGIN_S = 0.15
"""The deadline that a daemon passes to a target may lie this much before the caller's,
which leaves time for the answer to travel back."""

CALLER_LEFT_SLACK_S = 0.5
"""Time after its caller left in which a request may still reach a target or run."""

MAX_LATE_ARRIVALS = 3
"""Number of requests that may reach a target after ``CALLER_LEFT_SLACK_S``; rule
GONE."""

MAX_STILL_WORKING_SHARE = 0.25
"""Share of the abandoned idempotent requests with more work than fits in
``CALLER_LEFT_SLACK_S`` that targets may still work on after it; rule GONE."""

LATE_ANSWER_SLACK_S = 0.5
"""Time after its deadline or its route's timeout in which a request must be
answered."""

MAX_LATE_ANSWER_SHARE = 0.5
"""Share of the overdue requests that may be answered later than that; rule CONFIG."""

MIN_OVERDUE_COUNT = 8
"""Number of overdue requests from which on the share is judged; rule CONFIG."""

ROLLBACK_SLACK_S = 0.25
"""Time after a version's effect was seen from which its daemon may not use an older
version."""


class Ending(StrEnum):
    """How an exchange ended for its caller."""

    ANSWERED = "answered"
    UNSENT = "no connection"
    BROKEN = "broken off"
    TIMED_OUT = "timed out"
    LEFT = "the caller left"


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One exchange of a caller with a daemon.

    ``echoed_id`` and ``signature`` are headers of the answer. ``incarnation`` is the
    number of the daemon's starts. ``added_in`` is the configuration version that added
    the route, 0 for the routes that exist from the beginning. ``fully_sent_s`` is the
    time at which the last byte of the request had been sent, and ``first_in_line_s``
    the time from which no earlier request of the connection was unanswered; both are
    ``None`` if that never happened. ``is_after_close`` is whether an earlier answer
    closed the connection, ``is_relayed`` whether the connection went through a relay,
    and ``has_begun`` whether the head of an answer arrived. ``padding`` is the number
    of bytes after ``body``. ``request_content`` is what a target must receive, and
    ``key`` the key of a workspace that was sent.
    """

    request_id: str
    is_idempotent: bool
    path: str
    daemon: str
    sent_s: float
    ended_s: float
    ending: Ending
    status: int = 0
    body: str = ""
    echoed_id: str = ""
    signature: str = ""
    incarnation: int = 0
    added_in: int = 0
    fully_sent_s: float | None = None
    limit_s: float = math.inf
    first_in_line_s: float | None = None
    is_after_close: bool = False
    is_relayed: bool = False
    has_begun: bool = False
    padding: int = 0
    request_content: str = ""
    key: str = ""

    @property
    def answer_due_s(self) -> float | None:
        """Return the time from which it was completely sent and next to be answered."""
        if self.fully_sent_s is None or self.first_in_line_s is None:
            return None
        return max(self.fully_sent_s, self.first_in_line_s)

    @property
    def is_overdue(self) -> bool:
        """Return whether its deadline had passed when it ended."""
        return self.ended_s >= self.sent_s + self.limit_s


@dataclass(slots=True)
class RunRecord:
    """One run of a request at a target, from ``started_s`` to ``ended_s``.

    ``was_cut`` is whether the connection ended while the target was at work.
    ``is_sound`` is false if the target or its link failed during the run, and
    ``broke_off`` true if the target sent only a part of a large answer. ``padding`` is
    the number of bytes after the text of the answer, ``work_s`` the time that the run
    takes, and ``request_content`` what the target received. ``timeout_s`` is the time
    that the daemon gave the target, which stops working after it. ``target_ended_s`` is
    when the target ended, if that was during the run or soon after it. ``workspace`` is
    the name that the target received, and ``has_foreign_header`` is set if it received
    a key, or a name that the caller sent.
    """

    request_id: str
    target: str
    started_s: float
    ended_s: float = math.inf
    is_sound: bool = True
    was_cut: bool = False
    broke_off: bool = False
    padding: int = 0
    work_s: float = 0.0
    request_content: str = ""
    timeout_s: float = math.inf
    target_ended_s: float | None = None
    workspace: str = ""
    has_foreign_header: bool = False

    def target_ended_by(self, at_s: float) -> bool:
        """Return whether the target had ended, so that its answer may be cut."""
        return self.target_ended_s is not None and self.target_ended_s <= at_s

    @property
    def was_cut_at_work(self) -> bool:
        """Return whether it was cut before the target's timeout."""
        until_s = self.started_s + self.timeout_s - TRANSIT_S
        return self.was_cut and self.ended_s < until_s


@dataclass(frozen=True, slots=True)
class Announcement:
    """A target's answer that it leaves or wants a pause until ``until_s``.

    ``is_sound`` is false if the target's link was disturbed.
    """

    target: str
    request_id: str
    answered_s: float
    until_s: float
    is_sound: bool

    @property
    def is_leaving(self) -> bool:
        """Return whether the target leaves for good."""
        return math.isinf(self.until_s)


@dataclass(frozen=True, slots=True)
class Kill:
    """A daemon was killed together with the requests that it held."""

    daemon: str
    at_s: float

    def may_cut(self, call: CallRecord, runs: Sequence[RunRecord]) -> bool:
        """Return whether it may have broken off an exchange."""
        return self.daemon == call.daemon and call.sent_s <= self.at_s <= call.ended_s


FINAL_CUT_SHARE = 1 / 6
"""Share of a grace period, at its end, in which a daemon may break off requests that a
target is still working on or has not answered."""


@dataclass(slots=True)
class Stop:
    """A daemon received SIGTERM at ``at_s`` and had exited at ``exited_s``.

    ``longest_grace_s`` differs from ``grace_s`` if the settings changed shortly before:
    either grace period may then be in force.
    """

    daemon: str
    at_s: float
    grace_s: float
    longest_grace_s: float = 0.0
    exited_s: float | None = None

    @property
    def until_s(self) -> float:
        """Return the time at which the grace period ends."""
        return self.at_s + max(self.grace_s, self.longest_grace_s)

    def may_cut(self, call: CallRecord, runs: Sequence[RunRecord]) -> bool:
        """Return whether it may have broken off an exchange."""
        from_s = self.at_s + self.grace_s * (1 - FINAL_CUT_SHARE)
        return (
            self.daemon == call.daemon
            and from_s <= call.ended_s
            and (call.ended_s <= self.until_s or self._exited_in_time_after(call))
            and call.sent_s <= self.at_s + STOP_INTAKE_S
            and any(run.ended_s >= from_s for run in runs)
        )

    def _exited_in_time_after(self, call: CallRecord) -> bool:
        """Return whether the daemon had sent all that a caller may have read later."""
        exited_s = self.exited_s
        return exited_s is not None and call.sent_s < exited_s <= self.until_s

    def overlaps(self, call: CallRecord) -> bool:
        """Return whether a part of an exchange lies in the stop."""
        return (
            self.daemon == call.daemon
            and call.sent_s <= self.until_s + STOP_MARGIN_S
            and self.at_s <= call.ended_s
        )


@dataclass(frozen=True, slots=True)
class LinkFault:
    """The relay between callers and a daemon delayed or cut its connections.

    Callers that connect to the daemon directly are not affected.
    """

    daemon: str
    from_s: float
    until_s: float
    is_cut: bool = True

    def overlaps(self, call: CallRecord) -> bool:
        """Return whether an exchange went through the relay during the fault."""
        return (
            call.is_relayed
            and self.daemon == call.daemon
            and self.from_s <= call.ended_s
            and call.sent_s - RECOVERY_S <= self.until_s
        )

    def may_cut(self, call: CallRecord, runs: Sequence[RunRecord]) -> bool:
        """Return whether it may have broken off an exchange; a delay may not."""
        return self.is_cut and self.overlaps(call)


@dataclass(frozen=True, slots=True)
class Change:
    """A version of the configuration; daemons must refuse it unless ``is_valid``."""

    version: int
    acknowledged_s: float
    is_valid: bool = True


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A period in which a daemon was disturbed; the store if ``daemon`` is ``None``.

    ``is_planned`` is true for planned stops, ``is_of_store`` for faults that only
    separate the daemon from the store.
    """

    daemon: str | None
    from_s: float
    until_s: float
    is_planned: bool = False
    is_of_store: bool = False

    def overlaps(self, call: CallRecord) -> bool:
        """Return whether the daemon need not keep its bounds for an exchange."""
        is_same_daemon = self.daemon is None or self.daemon == call.daemon
        return (
            is_same_daemon
            and self.from_s <= call.sent_s
            and call.sent_s - RECOVERY_S <= self.until_s
        )

    def excuses_loss(self, call: CallRecord) -> bool:
        """Return whether it allows the daemon to lose an exchange.

        Planned stops and faults of the store do not.
        """
        return not self.is_planned and self.affects_daemon(call)

    def affects_daemon(self, call: CallRecord) -> bool:
        """Return whether the daemon was disturbed in a call or shortly before."""
        return (
            not self.is_of_store
            and self.daemon == call.daemon
            and self.from_s <= call.ended_s
            and call.sent_s - RECOVERY_S <= self.until_s
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken."""

    rule: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"


@dataclass(slots=True)
class PromiseChecks:
    """The number of checks of each promise, and the violations found."""

    checked: Counter = field(default_factory=Counter)
    broken: list[Violation] = field(default_factory=list)

    def expect(self, is_kept: bool, rule: str, *details: object) -> None:
        """Count one check of a promise, and record a violation if it was not kept."""
        self.checked[rule] += 1
        if not is_kept:
            self.broken.append(Violation(rule, ": ".join(map(str, details))))

    def allow(self, allowed: float, rule: str, broken: Sequence, *, of: int) -> None:
        """Count ``of`` checks of a promise that may be broken ``allowed`` times."""
        self.checked[rule] += of
        if len(broken) > allowed:
            detail = f"{len(broken)} of {of}, {allowed:.1f} allowed: {broken[:3]}"
            self.broken.append(Violation(rule, detail))

    def __add__(self, other: "PromiseChecks") -> "PromiseChecks":
        return PromiseChecks(self.checked + other.checked, self.broken + other.broken)


def find_violations(
    calls: Sequence[CallRecord],
    runs: Iterable[RunRecord],
    interruptions: Sequence[Kill | Stop | LinkFault],
    disturbances: Sequence[Disturbance] = (),
) -> PromiseChecks:
    """Check the promises that hold for each single exchange."""
    by_request = _by_request(runs)
    sent_ids = {call.request_id for call in calls}
    checks = PromiseChecks()
    for request_id, ran in by_request.items():
        checks.expect(request_id in sent_ids, "ran without being sent", request_id, ran)
    for call in calls:
        ran = by_request[call.request_id]
        _check_exchange(checks, call, ran)
        _check_loss(checks, call, ran, interruptions, disturbances)
    return checks


def _by_request(runs: Iterable[RunRecord]) -> defaultdict[str, list[RunRecord]]:
    by_request: defaultdict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        by_request[run.request_id].append(run)
    return by_request


def _check_exchange(
    checks: PromiseChecks, call: CallRecord, runs: list[RunRecord]
) -> None:
    if runs:
        is_same = all(run.request_content == call.request_content for run in runs)
        checks.expect(is_same, "changed on its way", call, runs)
        until_s = min(run.started_s + run.timeout_s for run in runs)
        has_enough_time = until_s >= call.sent_s + call.limit_s - RETURN_MARGIN_S
        checks.expect(has_enough_time, "target got too little time", call, runs)
        if not call.is_idempotent:
            checks.expect(len(runs) == 1, "run twice", call, runs)
    if call.is_after_close and not call.is_idempotent:
        # A caller sends such a request again on another connection.
        checks.expect(not runs, "ran behind an answer that closes", call, runs)
    if not call.status:
        return
    if call.status in NOT_RUN_STATUSES:
        checks.expect(not runs, "ran, but was reported as not run", call, runs)
    is_denied = call.status in DENIAL_STATUSES
    is_allowed = (call.status == UNKNOWN_ROUTE_STATUS and call.added_in) or (
        call.status == UNAUTHORIZED_STATUS and call.key
    )
    checks.expect(not is_denied or bool(is_allowed), "denied", call)
    has_own_id = call.echoed_id == call.request_id
    checks.expect(has_own_id, "answer of another request", call)
    if 200 <= call.status < 300:
        is_targets_answer = any(_is_answer_of(run, call) for run in runs)
        checks.expect(is_targets_answer, "not the target's answer", call, runs)


def _is_answer_of(run: RunRecord, call: CallRecord) -> bool:
    """Return whether a caller's answer is the one that a target made in a run."""
    return (call.signature, call.body, call.padding) == (
        run.target,
        f"{run.target} ran {call.path}",
        run.padding,
    )


def _check_loss(
    checks: PromiseChecks,
    call: CallRecord,
    runs: list[RunRecord],
    interruptions: Sequence[Kill | Stop | LinkFault],
    disturbances: Sequence[Disturbance],
) -> None:
    """Check for lost answers, and for answers of the daemon in place of a target's."""
    if call.ending not in (Ending.ANSWERED, Ending.BROKEN):
        return
    if any(interruption.may_cut(call, runs) for interruption in interruptions):
        return
    is_broken = call.ending is Ending.BROKEN
    is_excused = _is_excused(call, interruptions, disturbances)
    if runs:
        is_complete = not is_broken or _is_broken_stream(call, runs)
        checks.expect(is_complete, "cut", call, runs)
    elif not is_excused:
        is_dropped = is_broken and _was_due(call)
        checks.expect(not is_dropped, "read and dropped", call)
    in_stop = any(
        isinstance(interruption, Stop) and interruption.overlaps(call)
        for interruption in interruptions
    )
    if runs and in_stop and not is_excused:
        is_daemons_answer = (
            call.status in DAEMON_FAILURE_STATUSES and not call.signature
        )
        was_cut_at_work = any(run.is_sound and run.was_cut_at_work for run in runs)
        is_given_up = is_daemons_answer and was_cut_at_work
        checks.expect(not is_given_up, "given up in a stop", call, runs)


def _is_excused(
    call: CallRecord,
    interruptions: Sequence[Kill | Stop | LinkFault],
    disturbances: Sequence[Disturbance],
) -> bool:
    """Return whether a daemon need not have read or finished an exchange in time."""
    return (
        call.is_overdue
        or any(each.excuses_loss(call) for each in disturbances)
        or any(
            isinstance(interruption, LinkFault) and interruption.overlaps(call)
            for interruption in interruptions
        )
    )


def _is_broken_stream(call: CallRecord, runs: list[RunRecord]) -> bool:
    """Return whether a streamed answer may break off for a reason outside the daemon.

    A daemon reads all other answers completely before it forwards them, and sends a
    failure in place of an incomplete one.
    """
    return call.has_begun and (
        call.is_overdue
        or any(run.broke_off or run.target_ended_by(call.ended_s) for run in runs)
    )


def _was_due(call: CallRecord) -> bool:
    """Return whether a request that no target ran was due to be read and answered."""
    return (
        call.answer_due_s is not None
        and call.ended_s - call.answer_due_s > CLOSE_CROSSING_S
    )


def find_late_stops(
    interruptions: Iterable[Kill | Stop | LinkFault],
    disturbances: Sequence[Disturbance],
) -> PromiseChecks:
    """Check that stopped daemons have exited when their grace period ends.

    A daemon cuts all requests that are left at that time.
    """
    checks = PromiseChecks()
    for stop in interruptions:
        if not isinstance(stop, Stop) or stop.exited_s is None:
            continue
        if any(
            each.daemon == stop.daemon
            and not each.is_planned
            and not each.is_of_store
            and each.from_s <= stop.exited_s
            and stop.at_s <= each.until_s + RECOVERY_S
            for each in disturbances
        ):
            continue
        checks.expect(stop.exited_s <= stop.until_s, "stopped late", stop)
    return checks


def find_abandoned_work(
    calls: Iterable[CallRecord],
    runs: Iterable[RunRecord],
    interruptions: Sequence[Kill | Stop | LinkFault],
    disturbances: Sequence[Disturbance],
) -> PromiseChecks:
    """Check that requests no longer reach or occupy targets once their caller left."""
    by_request = _by_request(runs)
    left, late, lasting, working = 0, [], 0, []
    for call in calls:
        if call.ending not in (Ending.LEFT, Ending.TIMED_OUT):
            continue
        if not _is_undisturbed(call, interruptions, disturbances):
            continue
        left += 1
        due_s = call.ended_s + CALLER_LEFT_SLACK_S
        ran = by_request[call.request_id]
        late += [(call, run) for run in ran if run.started_s > due_s]
        for run in ran:
            is_lasting = run.is_sound and run.started_s <= call.ended_s
            if call.is_idempotent and is_lasting and run.started_s + run.work_s > due_s:
                lasting += 1
                if run.ended_s > due_s:
                    working.append((call, run))
    checks = PromiseChecks()
    checks.allow(MAX_LATE_ARRIVALS, "reached a target without a caller", late, of=left)
    allowed = MAX_STILL_WORKING_SHARE * lasting
    checks.allow(allowed, "still at work without a caller", working, of=lasting)
    return checks


def find_late_answers(
    calls: Iterable[CallRecord],
    interruptions: Sequence[Kill | Stop | LinkFault],
    disturbances: Sequence[Disturbance],
) -> PromiseChecks:
    """Check that callers are answered soon after their deadline or route's timeout."""
    overdue, late = 0, []
    for call in calls:
        if call.answer_due_s is None or call.padding or call.ending is Ending.LEFT:
            continue
        deadline_s = call.answer_due_s + call.limit_s
        if call.ended_s < deadline_s or not _is_undisturbed(
            call, interruptions, disturbances
        ):
            continue
        overdue += 1
        if call.ended_s > deadline_s + LATE_ANSWER_SLACK_S:
            late.append(call)
    checks = PromiseChecks()
    if overdue >= MIN_OVERDUE_COUNT:
        rule = "answered too late"
        checks.allow(MAX_LATE_ANSWER_SHARE * overdue, rule, late, of=overdue)
    return checks


def _is_undisturbed(
    call: CallRecord,
    interruptions: Sequence[Kill | Stop | LinkFault],
    disturbances: Sequence[Disturbance],
) -> bool:
    """Return whether neither the daemon nor the caller's link was disturbed."""
    return not any(each.affects_daemon(call) for each in disturbances) and not any(
        isinstance(interruption, LinkFault) and interruption.overlaps(call)
        for interruption in interruptions
    )


def find_stale_configurations(
    calls: Iterable[CallRecord],
    changes: Iterable[Change],
    disturbances: Sequence[Disturbance],
) -> PromiseChecks:
    """Check which versions of the configuration the daemons used."""
    by_version = {change.version: change for change in changes}
    served_s: dict[tuple[str, int, int], float] = {}
    checks = PromiseChecks()
    for call in sorted(calls, key=lambda each: each.sent_s):
        change = by_version.get(call.added_in)
        if change is None or not call.status:
            continue
        route_key = (call.daemon, call.incarnation, call.added_in)
        is_known = call.status != UNKNOWN_ROUTE_STATUS
        if not change.is_valid:
            is_used = is_known and call.status not in NOT_RUN_STATUSES
            checks.expect(not is_used, "an invalid version in use", call)
            continue
        is_due = call.sent_s > change.acknowledged_s + CONFIGURATION_BOUND_S
        if is_due and not any(each.overlaps(call) for each in disturbances):
            checks.expect(is_known, "a version not in force in time", call)
        if call.sent_s > served_s.get(route_key, call.sent_s) + ROLLBACK_SLACK_S:
            checks.expect(is_known, "an older version again", call)
        if is_known and call.status not in NOT_RUN_STATUSES:
            served_s.setdefault(route_key, call.ended_s)
    return checks
