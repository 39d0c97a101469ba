"""What callers and targets saw, and what must hold of it."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run and will not."""

DENIALS = frozenset({400, 401, 403, 404, 413, 431})


UNKNOWN_ROUTE = 404

CONTACT_S = 3.0
"""Time after a disturbance from which a daemon is held to its bounds again."""

CONFIGURATION_BOUND_S = 2.5
"""Time after its acknowledgement in which a configuration is in force; the bound that
the daemons' settings name."""

ROLLBACK_SLACK_S = 0.25
"""Time after a version's effect was seen from which its daemon may not know less."""


class Ending(StrEnum):
    """How an exchange ended for its caller."""

    ANSWERED = "answered"
    UNSENT = "no connection"
    BROKEN = "broken off"
    TIMED_OUT = "timed out"


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One exchange; ``echoed_id`` and ``signature`` are headers of the answer.

    ``incarnation`` counts the daemon's starts. ``added_in`` is the version that added
    the route, 0 for routes that were always there.
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


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A target began to run a request."""

    request_id: str
    target: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Kill:
    """A daemon was killed, with what it held."""

    daemon: str
    at_s: float

    def may_cut(self, call: CallRecord) -> bool:
        """Tell whether it may have broken off an exchange."""
        return self.daemon == call.daemon and call.sent_s <= self.at_s <= call.ended_s


LAST_SHARE = 1 / 6
"""Share of a grace period, its last, in which a daemon may break off what a target is
still at work on, or silent about."""


@dataclass(frozen=True, slots=True)
class Stop:
    """A daemon was told to stop within a grace period."""

    daemon: str
    at_s: float
    grace_s: float

    def may_cut(self, call: CallRecord) -> bool:
        """Tell whether it may have broken off an exchange."""
        from_s = self.at_s + self.grace_s * (1 - LAST_SHARE)
        until_s = self.at_s + self.grace_s
        return self.daemon == call.daemon and from_s <= call.ended_s <= until_s


@dataclass(frozen=True, slots=True)
class Change:
    """A version of the configuration; ``is_valid`` unless it must not be taken."""

    version: int
    acknowledged_s: float
    is_valid: bool = True


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which a daemon, or with ``None`` the store, was disturbed."""

    daemon: str | None
    from_s: float
    until_s: float

    def touches(self, call: CallRecord) -> bool:
        """Tell whether the daemon is not held to its bounds for an exchange."""
        is_meant = self.daemon is None or self.daemon == call.daemon
        return (
            is_meant
            and self.from_s <= call.sent_s
            and call.sent_s - CONTACT_S <= self.until_s
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken."""

    rule: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"


def find_violations(
    calls: Sequence[CallRecord],
    runs: Iterable[RunRecord],
    ends: Sequence[Kill | Stop],
) -> list[Violation]:
    """Return every broken promise."""
    by_request: defaultdict[str, list[str]] = defaultdict(list)
    for run in runs:
        by_request[run.request_id].append(run.target)
    found = [
        Violation("unasked", f"{request_id} ran at {targets}")
        for request_id, targets in by_request.items()
        if request_id not in {call.request_id for call in calls}
    ]
    for call in calls:
        found += _check(call, by_request[call.request_id], ends)
    return found


def _check(
    call: CallRecord, ran_at: list[str], ends: Sequence[Kill | Stop]
) -> list[Violation]:
    found = []
    if len(ran_at) > 1 and not call.is_idempotent:
        found.append(Violation("run twice", f"{call} at {ran_at}"))
    if call.status in PROMISES and ran_at:
        found.append(Violation("said not to have run", f"{call} at {ran_at}"))
    if call.status in DENIALS and not (call.status == UNKNOWN_ROUTE and call.added_in):
        found.append(Violation("denied", str(call)))
    if call.status and call.echoed_id != call.request_id:
        found.append(Violation("answer of another request", str(call)))
    if 200 <= call.status < 300 and (
        call.signature not in ran_at or call.body != f"{call.signature} ran {call.path}"
    ):
        found.append(Violation("not the target's answer", f"{call} at {ran_at}"))
    may_be_cut = any(end.may_cut(call) for end in ends)
    if call.ending is Ending.BROKEN and ran_at and not may_be_cut:
        found.append(Violation("cut", f"{call} at {ran_at}"))
    return found


def find_stale_configurations(
    calls: Iterable[CallRecord],
    changes: Iterable[Change],
    disturbances: Sequence[Disturbance],
) -> list[Violation]:
    """Return every exchange that was handled by a configuration that it must not be."""
    by_version = {change.version: change for change in changes}
    served_s: dict[tuple[str, int, int], float] = {}
    found = []
    for call in sorted(calls, key=lambda each: each.sent_s):
        change = by_version.get(call.added_in)
        if change is None or not call.status:
            continue
        place = (call.daemon, call.incarnation, call.added_in)
        is_known = call.status != UNKNOWN_ROUTE
        if not change.is_valid:
            if is_known and call.status not in PROMISES:
                found.append(Violation("an invalid version in use", str(call)))
            continue
        if is_known:
            if call.status not in PROMISES:
                served_s.setdefault(place, call.ended_s)
            continue
        if call.sent_s > served_s.get(place, call.sent_s) + ROLLBACK_SLACK_S:
            found.append(Violation("an older version again", str(call)))
        is_due = call.sent_s > change.acknowledged_s + CONFIGURATION_BOUND_S
        if is_due and not any(each.touches(call) for each in disturbances):
            found.append(Violation("a version not in force in time", str(call)))
    return found
