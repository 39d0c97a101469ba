"""Quarantine of requests that crash the targets that run them.

A crash ends every request in flight on the target, so after one crash each of
these requests is only a suspect. A suspect runs alone until it succeeds, which
clears it, or until a second target crashes while it runs there, which puts it in
quarantine.

Three rules distinguish the harmful request from those that merely shared a target
with it. A success clears a request. When several fingerprints have equally many
crashes, or very many have any, a third crash decides. When very many have three,
the cause is the network or the service, and no request is put in quarantine.

Daemons exchange what they know as ``SuspectState``. A state holds everything known of a
fingerprint, with ages in place of times, so states may be lost, or arrive twice or out
of order: ``Quarantine.merge`` adds only what is new.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

CRASHES_UNTIL_QUARANTINE = 2
"""Different targets crashed before a sole suspect is put in quarantine."""

CRASHES_WHEN_AMBIGUOUS = 3
"""Different targets crashed before quarantine if others have as many crashes."""

MAX_CANDIDATES = 8
"""Largest number of fingerprints of one service that one harmful request can turn into
suspects."""

CRASH_WINDOW_S = 10.0
"""Time for which a crash counts as a sign of a widespread failure."""

DECISION_DELAY_S = 0.5
"""Wait after a second crash, in which peers report their requests in flight."""

SUSPICION_S = 120.0
"""Time after a crash for which a fingerprint stays a suspect."""

QUARANTINE_S = 30.0
"""Duration of the first quarantine; doubles with each crash that follows."""

MAX_QUARANTINE_S = 3600.0
"""Longest duration of a quarantine."""

MAX_FINGERPRINTS = 4096
"""Fingerprints kept; the least recently used is evicted first."""

RUNNING_RETRY_S = 1.0
"""Retry delay sent to a caller whose suspect request is running already."""

MAX_CRASHES_KEPT = 6
"""Crashes kept of each fingerprint, the latest ones."""

MAX_CALLERS_KEPT = 4
"""Callers kept of each fingerprint."""

MIN_CALLERS = 2
"""Callers under which targets crashed before a request of any caller is a suspect."""

_DIGEST_BYTES = 16
_NEVER_S = float("-inf")


@dataclass(frozen=True, slots=True)
class QuarantinePolicy:
    """How much evidence it takes to refuse a request, and for how long.

    ``crashes_until_alone`` is the number of crashes from which a suspect runs alone.
    A further crash of the same target counts after ``repeated_crash_s``.
    ``durations_s`` are those of the first and of later quarantines of a request; the
    last one also holds for all that follow.
    """

    crashes_until_alone: int
    crashes_until_quarantine: int
    crashes_when_ambiguous: int
    max_candidates: int
    durations_s: tuple[float, ...]
    repeated_crash_s: float = float("inf")

    def duration_s(self, earlier: int) -> float:
        """Return the duration of a quarantine after ``earlier`` others."""
        return self.durations_s[min(earlier, len(self.durations_s) - 1)]


UNCONFIRMED_CRASHES_POLICY = QuarantinePolicy(
    crashes_until_alone=1,
    crashes_until_quarantine=CRASHES_UNTIL_QUARANTINE,
    crashes_when_ambiguous=CRASHES_WHEN_AMBIGUOUS,
    max_candidates=MAX_CANDIDATES,
    durations_s=tuple(
        min(QUARANTINE_S * 2**earlier, MAX_QUARANTINE_S) for earlier in range(8)
    ),
)
"""Every lost connection counts as a crash, so a network fault looks like many."""

CONFIRMED_CRASHES_POLICY = QuarantinePolicy(
    crashes_until_alone=2,
    crashes_until_quarantine=3,
    crashes_when_ambiguous=3,
    max_candidates=64,
    durations_s=(1.0, 60.0, 900.0, MAX_QUARANTINE_S),
    repeated_crash_s=1.0,
)
"""Only a target whose port is closed counts as crashed. Three targets may end by
themselves under a sound request, so the first quarantine is short: the run after it
succeeds, or ends the last target for a long time."""


def body_digest(body: bytes) -> bytes:
    """Return the digest of a body, for ``fingerprint``."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).digest()


def fingerprint(
    *, scope: str, workspace: str, method: str, path: str, digest: bytes
) -> str:
    """Return an identifier of a request that is the same for each resend.

    ``scope`` distinguishes requests that agree otherwise: the host, or the service of a
    daemon whose requests always go to the same one.

    >>> first = fingerprint(
    ...     scope="payouts", workspace="oulu", method="POST", path="/x", digest=b""
    ... )
    >>> len(first)
    32
    """
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (scope, workspace, method, path):
        # A path may contain bytes that are not UTF-8, which are decoded to surrogates.
        encoded = part.encode(errors="surrogatepass")
        hasher.update(len(encoded).to_bytes(4, "big"))
        hasher.update(encoded)
    hasher.update(digest)
    return hasher.hexdigest()


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """The fingerprints of a request: with its caller, and that of any caller."""

    fingerprint: str
    any_caller_fingerprint: str

    def __iter__(self) -> Iterator[str]:
        return iter((self.fingerprint, self.any_caller_fingerprint))

    def log_fields(self) -> dict[str, str]:
        """Return the fingerprints as log fields."""
        return {
            "fingerprint": self.fingerprint,
            "any_caller_fingerprint": self.any_caller_fingerprint,
        }


@dataclass(frozen=True, slots=True)
class Admit:
    """The request runs like any other."""


@dataclass(frozen=True, slots=True)
class RunAlone:
    """The request is a suspect: one run at a time, away from other suspects.

    ``avoid`` names the targets that crashed while they ran it and those that run
    another suspect now. ``Quarantine.begin_alone`` is called before the run and
    ``Quarantine.end_alone`` after it.
    """

    avoid: frozenset[str]


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused, without a run, until a moment of the elapsed clock."""

    until_s: float


Admission = Admit | RunAlone | Refuse


@dataclass(frozen=True, slots=True)
class Crash:
    """A target that crashed with the request in flight, as a daemon saw it."""

    target: str
    daemon: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Quarantined:
    """A fingerprint in quarantine until a moment of the elapsed clock.

    ``evidence`` holds the crashes that led to it, where this daemon decided it.
    """

    service: str
    fingerprint: str
    until_s: float
    crashes: int
    evidence: tuple[Crash, ...] = ()


@dataclass(frozen=True, slots=True)
class SuspectState:
    """What a daemon knows of a fingerprint; ages and times left are as of its sending.

    ``is_of_any_caller`` tells that the fingerprint leaves the caller out; ``callers``
    are then those under which targets crashed. ``quarantines`` counts the quarantines
    so far, the last of which was decided ``decided_age_s`` ago. ``held_for_s`` is the
    time for which only the sender runs the request. ``cleared_age_s`` is the time since
    the request succeeded. ``watched_for_s`` is the time for which its runs are watched.
    """

    service: str
    fingerprint: str
    crashes: tuple[Crash, ...] = ()
    is_of_any_caller: bool = False
    callers: tuple[str, ...] = ()
    quarantines: int = 0
    decided_age_s: float = 0.0
    refused_for_s: float = 0.0
    held_for_s: float = 0.0
    cleared_age_s: float | None = None
    watched_for_s: float = 0.0


@dataclass(slots=True)
class _Suspect:
    service: str
    is_of_any_caller: bool = False
    crashed: dict[str, tuple[float, str]] = field(default_factory=dict)
    callers: set[str] = field(default_factory=set)
    crashed_at_s: float = 0.0
    decided_s: float = _NEVER_S
    quarantined_until_s: float = 0.0
    held_until_s: dict[str, float] = field(default_factory=dict)
    quarantines: int = 0
    was_quarantined: bool = False

    @property
    def targets(self) -> frozenset[str]:
        return frozenset(self.crashed)

    def add_callers(self, callers: Iterable[str]) -> None:
        self.callers = set(sorted(self.callers.union(callers))[:MAX_CALLERS_KEPT])

    @property
    def is_eligible(self) -> bool:
        return not self.is_of_any_caller or len(self.callers) >= MIN_CALLERS


class Quarantine:
    """The suspects and quarantined fingerprints that one daemon knows.

    >>> quarantine = Quarantine()
    >>> quarantine.record_crash("payouts", "f", "t1", 0.0)
    >>> quarantine.check("f", 0.1)
    RunAlone(avoid=frozenset({'t1'}))
    >>> quarantine.record_crash("payouts", "f", "t2", 0.2)
    >>> quarantine.check("f", 0.3)
    Refuse(until_s=0.7)
    >>> quarantine.check("f", 0.7)
    Refuse(until_s=30.7)
    """

    def __init__(
        self,
        *,
        policy: QuarantinePolicy = UNCONFIRMED_CRASHES_POLICY,
        max_fingerprints: int = MAX_FINGERPRINTS,
    ) -> None:
        self._policy = policy
        self._max_fingerprints = max_fingerprints
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        # The time of the last success of fingerprints that are no longer suspects.
        self._cleared_s: OrderedDict[str, float] = OrderedDict()
        # Until when a fingerprint is watched, in the order of these times.
        self._watched_until_s: OrderedDict[str, float] = OrderedDict()
        self._running: dict[str, str] = {}
        # Until when other daemons do not run the fingerprints among them.
        self._held_until_s: dict[str, float] = {}
        # The fingerprints among them whose quarantine had ended before.
        self._trials: set[str] = set()
        self._unpublished: list[Quarantined] = []

    def __len__(self) -> int:
        """Return the number of suspects, quarantined and watched fingerprints."""
        return len(self._suspects) + len(self._watched_until_s)

    def watch(self, fingerprint: str, now_s: float) -> None:
        """Watch the runs of a request of which a connection to a target broke.

        Nothing shows that the target ended, so the request is no suspect; but its next
        runs are prepared for finding out.
        """
        self._watch_until(fingerprint, now_s + SUSPICION_S)

    def is_watched(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the runs of a request are watched; those of suspects are."""
        if fingerprint in self._suspects:
            return True
        return self._watched_until_s.get(fingerprint, _NEVER_S) > now_s

    def record_crash(
        self,
        service: str,
        fingerprint: str,
        target: str,
        now_s: float,
        *,
        daemon: str = "",
        caller: str | None = None,
        crashed_s: float | None = None,
    ) -> None:
        """Record that a target crashed with the request in flight.

        ``daemon`` saw the crash. ``caller`` is given for a fingerprint that leaves the
        caller out. ``crashed_s`` is the time of the crash if it became known later.
        """
        if crashed_s is None:
            crashed_s = now_s
        elif self._is_settled(fingerprint, crashed_s):
            return
        suspect = self._get_or_add_suspect(service, fingerprint, now_s)
        if suspect.quarantined_until_s > now_s and fingerprint not in self._trials:
            return
        if caller is not None:
            suspect.is_of_any_caller = True
            suspect.add_callers((caller,))
        name = self._name(suspect, target, crashed_s)
        self._add_crash(suspect, name, crashed_s, daemon)
        if suspect.was_quarantined:
            self._quarantine(fingerprint, suspect, now_s)

    def record_peer_crash(
        self, service: str, fingerprint: str, target: str, now_s: float
    ) -> None:
        """Record a crash that another daemon reported; idempotent."""
        known = self._suspects.get(fingerprint)
        if known and target in known.targets:
            return
        self.record_crash(service, fingerprint, target, now_s)

    def record_success(self, fingerprint: str, now_s: float) -> bool:
        """Clear a suspect that a target answered; return whether it was one."""
        self._watched_until_s.pop(fingerprint, None)
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.quarantined_until_s > now_s:
            return False
        self._clear(fingerprint, now_s)
        return True

    def adopt(self, quarantined: Quarantined, now_s: float) -> None:
        """Adopt a quarantine from a peer or the table; the longer one is kept."""
        if quarantined.until_s <= now_s:
            return
        suspect = self._get_or_add_suspect(
            quarantined.service, quarantined.fingerprint, now_s
        )
        suspect.quarantines = max(suspect.quarantines, quarantined.crashes)
        suspect.crashed_at_s = now_s
        suspect.decided_s = now_s
        suspect.was_quarantined = True
        suspect.quarantined_until_s = max(
            suspect.quarantined_until_s, quarantined.until_s
        )
        self._clear_explained_crashes(suspect)

    def restore(self, quarantined: Quarantined, now_s: float) -> None:
        """Restore a quarantine after a start, also one that has ended.

        The next run of a request whose quarantine has ended is a trial.
        """
        until_s = quarantined.until_s
        if not quarantined.crashes or now_s > until_s + MAX_QUARANTINE_S:
            return
        decided_s = min(now_s, until_s)
        if decided_s <= self._cleared_s.get(quarantined.fingerprint, _NEVER_S):
            return
        suspect = self._get_or_add_suspect(
            quarantined.service, quarantined.fingerprint, now_s
        )
        suspect.was_quarantined = True
        suspect.quarantines = max(suspect.quarantines, quarantined.crashes)
        suspect.decided_s = max(suspect.decided_s, decided_s)
        suspect.crashed_at_s = max(suspect.crashed_at_s, decided_s)
        suspect.quarantined_until_s = max(suspect.quarantined_until_s, until_s)

    def check(self, fingerprint: str, now_s: float) -> Admission:
        """Decide how a request may run; called before each attempt."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Admit()
        if suspect.quarantined_until_s > now_s:
            return Refuse(suspect.quarantined_until_s)
        held_until_s = max(suspect.held_until_s.values(), default=0.0)
        if held_until_s > now_s:
            return Refuse(min(held_until_s, now_s + RUNNING_RETRY_S))
        is_explained = not suspect.crashed and not suspect.was_quarantined
        if is_explained or self._is_expired(suspect, now_s):
            del self._suspects[fingerprint]
            return Admit()
        if self._is_decision_needed(suspect) and now_s < _decision_at_s(suspect):
            return Refuse(_decision_at_s(suspect))
        if self._is_confirmed_cause(suspect, now_s):
            self._quarantine(fingerprint, suspect, _decision_at_s(suspect))
            if suspect.quarantined_until_s > now_s:
                return Refuse(suspect.quarantined_until_s)
        crashes = len(suspect.crashed)
        if not suspect.was_quarantined and (
            crashes < self._policy.crashes_until_alone or not suspect.is_eligible
        ):
            return Admit()
        if fingerprint in self._running:
            return Refuse(now_s + RUNNING_RETRY_S)
        return RunAlone(suspect.targets | frozenset(self._running.values()))

    def begin_alone(
        self, fingerprint: str, target: str, *, until_s: float = 0.0
    ) -> None:
        """Record that a suspect is sent to a target.

        Other daemons do not run it until ``until_s``, or until they hear of its end.
        """
        self._running[fingerprint] = target
        self._held_until_s[fingerprint] = until_s
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.was_quarantined:
            self._trials.add(fingerprint)

    def end_alone(
        self, fingerprint: str, *, now_s: float = 0.0, has_arrived: bool = False
    ) -> None:
        """Record that the suspect's run ended, whatever its outcome.

        A trial that has reached a target without a success is followed by the next
        quarantine: whether the target runs the request, or ends later, is not known.
        """
        self._running.pop(fingerprint, None)
        self._held_until_s.pop(fingerprint, None)
        suspect = self._suspects.get(fingerprint)
        is_trial = fingerprint in self._trials
        self._trials.discard(fingerprint)
        if suspect is None or not (is_trial and has_arrived):
            return
        if suspect.quarantined_until_s <= now_s:
            self._quarantine(fingerprint, suspect, now_s)

    def running_fingerprints(self) -> list[str]:
        """Return the suspects that this daemon runs now."""
        return list(self._running)

    def holders(self, fingerprint: str, now_s: float) -> frozenset[str]:
        """Return the other daemons that run a suspect now."""
        suspect = self._suspects.get(fingerprint)
        held = {} if suspect is None else suspect.held_until_s
        return frozenset(daemon for daemon, until_s in held.items() if until_s > now_s)

    def take_unpublished(self, now_s: float) -> tuple[Quarantined, ...]:
        """Decide on suspects; return the quarantines decided since the last call."""
        for fingerprint, suspect in tuple(self._suspects.items()):
            if self._is_decision_needed(suspect):
                self.check(fingerprint, now_s)
        return self.take_decided()

    def take_decided(self) -> tuple[Quarantined, ...]:
        """Return the quarantines decided since the last call, and decide on none."""
        taken = tuple(self._unpublished)
        self._unpublished.clear()
        return taken

    def state(self, fingerprint: str, now_s: float) -> SuspectState | None:
        """Return what is known of a fingerprint, for other daemons."""
        suspect = self._suspects.get(fingerprint)
        cleared_s = self._cleared_s.get(fingerprint)
        cleared_age_s = None if cleared_s is None else now_s - cleared_s
        watched_until_s = self._watched_until_s.get(fingerprint, now_s)
        watched_for_s = max(0.0, watched_until_s - now_s)
        if suspect is None:
            if cleared_age_s is None and not watched_for_s:
                return None
            return SuspectState(
                "",
                fingerprint,
                cleared_age_s=cleared_age_s,
                watched_for_s=watched_for_s,
            )
        return SuspectState(
            service=suspect.service,
            fingerprint=fingerprint,
            crashes=tuple(
                Crash(target, daemon, now_s - crashed_s)
                for target, (crashed_s, daemon) in suspect.crashed.items()
            ),
            is_of_any_caller=suspect.is_of_any_caller,
            callers=tuple(sorted(suspect.callers)),
            quarantines=suspect.quarantines,
            decided_age_s=now_s - suspect.decided_s if suspect.quarantines else 0.0,
            refused_for_s=max(0.0, suspect.quarantined_until_s - now_s),
            held_for_s=max(0.0, self._held_until_s.get(fingerprint, now_s) - now_s),
            cleared_age_s=cleared_age_s,
            watched_for_s=watched_for_s,
        )

    def is_critical(self, fingerprint: str) -> bool:
        """Return whether a daemon that does not know the state may run the request.

        The state of a single crash may be lost: it admits the request.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return fingerprint in self._cleared_s
        return (
            suspect.was_quarantined
            or len(suspect.crashed) >= self._policy.crashes_until_alone
        )

    def is_stopped(self, fingerprint: str, now_s: float) -> bool:
        """Return whether enough targets crashed under a request to refuse it."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        return suspect.quarantined_until_s > now_s or self._is_confirmed_cause(
            suspect, now_s
        )

    def changed_fingerprints(self, now_s: float, *, within_s: float) -> list[str]:
        """Return the fingerprints that other daemons need to know.

        These are the ones that are, or may soon be, in quarantine, and all that had a
        crash or a success within the time.
        """
        suspects = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if self.is_critical(fingerprint) or now_s - suspect.crashed_at_s < within_s
        ]
        cleared = [
            fingerprint
            for fingerprint, cleared_s in self._cleared_s.items()
            if now_s - cleared_s < within_s and fingerprint not in self._suspects
        ]
        return suspects + cleared

    def discard_expired(self, now_s: float) -> None:
        """Discard the suspects and successes that no longer count."""
        for fingerprint, suspect in tuple(self._suspects.items()):
            if self._is_expired(suspect, now_s):
                del self._suspects[fingerprint]
        for fingerprint, cleared_s in tuple(self._cleared_s.items()):
            if now_s - cleared_s > SUSPICION_S:
                del self._cleared_s[fingerprint]
        for fingerprint, until_s in tuple(self._watched_until_s.items()):
            if until_s <= now_s:
                del self._watched_until_s[fingerprint]

    def merge(
        self, states: Iterable[SuspectState], now_s: float, *, daemon: str = ""
    ) -> None:
        """Add what another daemon knows; idempotent, in any order."""
        for state in states:
            if state.cleared_age_s is not None:
                self._clear(state.fingerprint, now_s - state.cleared_age_s)
            if state.watched_for_s:
                self._watch_until(state.fingerprint, now_s + state.watched_for_s)
            settled_s = self._cleared_s.get(state.fingerprint, _NEVER_S)
            self._merge_quarantine(state, settled_s, now_s)
            self._merge_crashes(state, settled_s, now_s)
            held = self._suspects.get(state.fingerprint)
            if held is not None:
                held.held_until_s[daemon] = now_s + state.held_for_s

    def _merge_quarantine(
        self, state: SuspectState, settled_s: float, now_s: float
    ) -> None:
        decided_s = now_s - state.decided_age_s
        if not state.quarantines or decided_s <= settled_s:
            return
        suspect = self._get_or_add_suspect(state.service, state.fingerprint, now_s)
        suspect.is_of_any_caller |= state.is_of_any_caller
        suspect.quarantines = max(suspect.quarantines, state.quarantines)
        suspect.was_quarantined = True
        suspect.decided_s = max(suspect.decided_s, decided_s)
        suspect.crashed_at_s = max(suspect.crashed_at_s, decided_s)
        suspect.quarantined_until_s = max(
            suspect.quarantined_until_s, now_s + state.refused_for_s
        )
        self._clear_explained_crashes(suspect)

    def _merge_crashes(
        self, state: SuspectState, settled_s: float, now_s: float
    ) -> None:
        known = self._suspects.get(state.fingerprint)
        if known is not None:
            settled_s = max(settled_s, known.decided_s)
        settled_s = max(settled_s, now_s - SUSPICION_S)
        for crash in state.crashes:
            crashed_s = now_s - crash.age_s
            if crashed_s <= settled_s:
                continue
            suspect = self._get_or_add_suspect(state.service, state.fingerprint, now_s)
            suspect.is_of_any_caller |= state.is_of_any_caller
            suspect.add_callers(state.callers)
            if crash.target not in suspect.crashed:
                self._add_crash(suspect, crash.target, crashed_s, crash.daemon)

    def _watch_until(self, fingerprint: str, until_s: float) -> None:
        self._watched_until_s[fingerprint] = until_s
        self._watched_until_s.move_to_end(fingerprint)
        while len(self._watched_until_s) > self._max_fingerprints:
            self._watched_until_s.popitem(last=False)

    def _is_settled(self, fingerprint: str, crashed_s: float) -> bool:
        """Return whether a later success or quarantine has accounted for a crash."""
        suspect = self._suspects.get(fingerprint)
        decided_s = _NEVER_S if suspect is None else suspect.decided_s
        return crashed_s <= max(decided_s, self._cleared_s.get(fingerprint, _NEVER_S))

    def _name(self, suspect: _Suspect, target: str, now_s: float) -> str:
        """Return a name for a target's crash that differs from its earlier ones."""
        for number in range(1, MAX_CRASHES_KEPT):
            name = target if number == 1 else f"{target}#{number}"
            crashed_s, _ = suspect.crashed.get(name, (now_s, ""))
            if abs(now_s - crashed_s) < self._policy.repeated_crash_s:
                return name
        return target

    def _add_crash(
        self, suspect: _Suspect, target: str, crashed_s: float, daemon: str
    ) -> None:
        suspect.crashed[target] = (crashed_s, daemon)
        suspect.crashed_at_s = max(suspect.crashed_at_s, crashed_s)
        while len(suspect.crashed) > MAX_CRASHES_KEPT:
            del suspect.crashed[next(iter(suspect.crashed))]

    def _clear(self, fingerprint: str, cleared_s: float) -> None:
        """Remove a suspect whose crashes and quarantine are older than a success."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.crashed_at_s <= cleared_s:
            del self._suspects[fingerprint]
        before_s = self._cleared_s.get(fingerprint, _NEVER_S)
        self._cleared_s[fingerprint] = max(before_s, cleared_s)
        self._cleared_s.move_to_end(fingerprint)
        while len(self._cleared_s) > self._max_fingerprints:
            self._cleared_s.popitem(last=False)

    def _get_or_add_suspect(
        self, service: str, fingerprint: str, now_s: float
    ) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._is_expired(suspect, now_s):
            suspect = _Suspect(service)
            self._suspects[fingerprint] = suspect
        self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > self._max_fingerprints:
            self._suspects.popitem(last=False)
        return suspect

    def _is_expired(self, suspect: _Suspect, now_s: float) -> bool:
        retention_s = SUSPICION_S
        if suspect.was_quarantined:
            retention_s = MAX_QUARANTINE_S
        last_s = max(suspect.crashed_at_s, suspect.quarantined_until_s)
        return now_s > last_s + retention_s

    def _is_decision_needed(self, suspect: _Suspect) -> bool:
        is_enough = len(suspect.crashed) >= self._policy.crashes_until_quarantine
        return is_enough and suspect.is_eligible

    def _is_confirmed_cause(self, suspect: _Suspect, now_s: float) -> bool:
        if not self._is_decision_needed(suspect):
            return False
        crashed = len(suspect.crashed)
        competing = self._count_competing_suspects(suspect, now_s)
        if competing == 0 and not self._is_failure_widespread(suspect.service, now_s):
            return True
        is_enough = crashed >= self._policy.crashes_when_ambiguous
        return is_enough and competing < self._policy.max_candidates

    def _count_competing_suspects(self, suspect: _Suspect, now_s: float) -> int:
        return sum(
            1
            for other in self._suspects.values()
            if other is not suspect
            and other.service == suspect.service
            and len(other.crashed) >= len(suspect.crashed)
            and other.quarantined_until_s <= now_s
            and not self._is_expired(other, now_s)
        )

    def _is_failure_widespread(self, service: str, now_s: float) -> bool:
        # A harmful request affects only requests at the same targets; a network fault
        # affects more.
        recent = sum(
            1
            for each in self._suspects.values()
            if each.service == service and now_s - each.crashed_at_s < CRASH_WINDOW_S
        )
        return recent > self._policy.max_candidates

    def _quarantine(self, fingerprint: str, suspect: _Suspect, now_s: float) -> None:
        duration_s = self._policy.duration_s(suspect.quarantines)
        suspect.quarantines += 1
        suspect.decided_s = now_s
        suspect.was_quarantined = True
        suspect.quarantined_until_s = now_s + duration_s
        crashed = tuple(
            Crash(target, daemon, now_s - crashed_s)
            for target, (crashed_s, daemon) in suspect.crashed.items()
        )
        self._clear_explained_crashes(suspect)
        self._unpublished.append(
            Quarantined(
                suspect.service,
                fingerprint,
                suspect.quarantined_until_s,
                suspect.quarantines,
                crashed,
            )
        )

    def _clear_explained_crashes(self, cause: _Suspect) -> None:
        # A crash whose cause is known does not count against other requests.
        for other in self._suspects.values():
            if other is not cause:
                self._remove_explained(other, cause)
        cause.crashed.clear()

    def _remove_explained(self, other: _Suspect, cause: _Suspect) -> None:
        for target, (crashed_s, _) in cause.crashed.items():
            if target not in other.crashed:
                continue
            apart_s = abs(other.crashed[target][0] - crashed_s)
            if apart_s < self._policy.repeated_crash_s:
                del other.crashed[target]


def _decision_at_s(suspect: _Suspect) -> float:
    return suspect.crashed_at_s + DECISION_DELAY_S
