"""Quarantine of requests that crash the targets that run them.

A crash ends every request in flight on the target, so after one crash each of
these requests is only a suspect. A suspect runs alone until it succeeds, which
clears it, or until a second target crashes while it runs there, which puts it in
quarantine.

Three rules distinguish the harmful request from those that merely shared a target
with it. A success clears a request. When several fingerprints have equally many
crashes, or very many have any, a third crash decides. When very many have three,
the cause is the network or the service, and no request is put in quarantine.
"""

import hashlib
from collections import OrderedDict
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

_DIGEST_BYTES = 16


def body_digest(body: bytes) -> bytes:
    """Return the digest of a body, for ``fingerprint``."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).digest()


def fingerprint(
    *, service: str, workspace: str, method: str, path: str, digest: bytes
) -> str:
    """Return an identifier of a request that is the same for each resend.

    >>> first = fingerprint(
    ...     service="payouts", workspace="oulu", method="POST", path="/x", digest=b""
    ... )
    >>> len(first)
    32
    """
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (service, workspace, method, path):
        encoded = part.encode()
        hasher.update(len(encoded).to_bytes(4, "big"))
        hasher.update(encoded)
    hasher.update(digest)
    return hasher.hexdigest()


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
class Quarantined:
    """A fingerprint in quarantine until a moment of the elapsed clock."""

    service: str
    fingerprint: str
    until_s: float
    crashes: int


@dataclass(slots=True)
class _Suspect:
    service: str
    targets: set[str] = field(default_factory=set)
    crashed_at_s: float = 0.0
    quarantined_until_s: float = 0.0
    crashes: int = 0
    was_quarantined: bool = False


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

    def __init__(self, *, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self._max_fingerprints = max_fingerprints
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._running: dict[str, str] = {}
        self._unpublished: list[Quarantined] = []

    def record_crash(
        self, service: str, fingerprint: str, target: str, now_s: float
    ) -> None:
        """Record that a target crashed with the request in flight."""
        suspect = self._get_or_add_suspect(service, fingerprint, now_s)
        if suspect.quarantined_until_s > now_s:
            return
        suspect.targets.add(target)
        suspect.crashed_at_s = now_s
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

    def record_success(self, fingerprint: str, now_s: float) -> None:
        """Clear a suspect that a target answered."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.quarantined_until_s > now_s:
            return
        del self._suspects[fingerprint]

    def adopt(self, quarantined: Quarantined, now_s: float) -> None:
        """Adopt a quarantine from a peer or the table; the longer one is kept."""
        if quarantined.until_s <= now_s:
            return
        suspect = self._get_or_add_suspect(
            quarantined.service, quarantined.fingerprint, now_s
        )
        suspect.crashes = max(suspect.crashes, quarantined.crashes)
        suspect.crashed_at_s = now_s
        suspect.was_quarantined = True
        suspect.quarantined_until_s = max(
            suspect.quarantined_until_s, quarantined.until_s
        )
        self._clear_explained_crashes(suspect)

    def check(self, fingerprint: str, now_s: float) -> Admission:
        """Decide how a request may run; called before each attempt."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Admit()
        if suspect.quarantined_until_s > now_s:
            return Refuse(suspect.quarantined_until_s)
        is_explained = not suspect.targets and not suspect.was_quarantined
        if is_explained or self._is_expired(suspect, now_s):
            del self._suspects[fingerprint]
            return Admit()
        if self._is_decision_needed(suspect) and now_s < _decision_at_s(suspect):
            return Refuse(_decision_at_s(suspect))
        if self._is_confirmed_cause(suspect, now_s):
            self._quarantine(fingerprint, suspect, now_s)
            return Refuse(suspect.quarantined_until_s)
        if fingerprint in self._running:
            return Refuse(now_s + RUNNING_RETRY_S)
        return RunAlone(frozenset(suspect.targets) | frozenset(self._running.values()))

    def begin_alone(self, fingerprint: str, target: str) -> None:
        """Record that a suspect is sent to a target."""
        self._running[fingerprint] = target

    def end_alone(self, fingerprint: str) -> None:
        """Record that the suspect's run ended, whatever its outcome."""
        self._running.pop(fingerprint, None)

    def take_unpublished(self, now_s: float) -> tuple[Quarantined, ...]:
        """Decide on suspects; return the quarantines decided since the last call."""
        for fingerprint, suspect in tuple(self._suspects.items()):
            if self._is_decision_needed(suspect):
                self.check(fingerprint, now_s)
        taken = tuple(self._unpublished)
        self._unpublished.clear()
        return taken

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
        return len(suspect.targets) >= CRASHES_UNTIL_QUARANTINE

    def _is_confirmed_cause(self, suspect: _Suspect, now_s: float) -> bool:
        if not self._is_decision_needed(suspect):
            return False
        crashed = len(suspect.targets)
        competing = self._count_competing_suspects(suspect, now_s)
        if competing == 0 and not self._is_failure_widespread(suspect.service, now_s):
            return True
        return crashed >= CRASHES_WHEN_AMBIGUOUS and competing < MAX_CANDIDATES

    def _count_competing_suspects(self, suspect: _Suspect, now_s: float) -> int:
        return sum(
            1
            for other in self._suspects.values()
            if other is not suspect
            and other.service == suspect.service
            and len(other.targets) >= len(suspect.targets)
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
        return recent > MAX_CANDIDATES

    def _quarantine(self, fingerprint: str, suspect: _Suspect, now_s: float) -> None:
        duration_s = min(QUARANTINE_S * 2**suspect.crashes, MAX_QUARANTINE_S)
        suspect.crashes += 1
        suspect.was_quarantined = True
        suspect.quarantined_until_s = now_s + duration_s
        self._clear_explained_crashes(suspect)
        self._unpublished.append(
            Quarantined(
                suspect.service,
                fingerprint,
                suspect.quarantined_until_s,
                suspect.crashes,
            )
        )

    def _clear_explained_crashes(self, cause: _Suspect) -> None:
        # A crash whose cause is known does not count against other requests.
        for other in self._suspects.values():
            if other is not cause and other.service == cause.service:
                other.targets -= cause.targets
        cause.targets.clear()


def _decision_at_s(suspect: _Suspect) -> float:
    return suspect.crashed_at_s + DECISION_DELAY_S
