"""Which suspects the store keeps, so that a fleet that starts again knows them.

There is a fixed number of rows, and a suspect's fingerprint decides on its row, which
keeps a few of them: those under which most targets ended. A daemon writes the rows of
suspects under which it saw a target end. What settles a suspicion settles what is
stored, too: the daemon that wrote the row, and the one at which the request succeeded,
write it again without the request.

Designed for: dozens of targets that end at the same moment, each under a few requests,
at daemons that may all be killed a moment later. Most of these requests are not sent
again, and nothing clears them; their rows expire as the suspicion does. The rows of
quarantines are others, so that many suspects replace no quarantine.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import nlargest
from zlib import crc32

from dogwoodhook.state.quarantine import MIN_CALLERS, SUSPICION_S, SuspectState

SUSPECT_ROW_PREFIX = "suspect/"

MAX_ROWS = 64
"""Rows in the store."""

MAX_SUSPECTS = 4
"""Suspects in a row; those under which the fewest targets ended are left out."""


def row_key(fingerprint: str) -> str:
    """Return the key of the row that keeps a suspect.

    >>> row_key("f")
    'suspect/32'
    """
    return f"{SUSPECT_ROW_PREFIX}{crc32(fingerprint.encode()) % MAX_ROWS}"


@dataclass(frozen=True, slots=True)
class _WrittenSuspect:
    """A suspect in a row that this daemon wrote, which counts until ``expires_s``."""

    suspect: SuspectState
    expires_s: float

    @property
    def targets(self) -> frozenset[str]:
        return _targets(self.suspect)


class StoredSuspects:
    """The rows of suspects that one daemon is to write.

    >>> from dogwoodhook.state.quarantine import Crash
    >>> rows = StoredSuspects(daemon="vm-1")
    >>> rows.record_end("f")
    >>> suspect = SuspectState("payouts", "f", (Crash("t1", "vm-1", 0.1),))
    >>> list(rows.take([suspect], now_s=1.0))
    ['suspect/32']
    >>> rows.take([suspect], now_s=1.0)
    {}
    """

    def __init__(self, *, daemon: str) -> None:
        self._daemon = daemon
        # The rows of suspects under which this daemon saw a target end.
        self._ended: set[str] = set()
        # The rows that are written whatever they are to hold.
        self._outdated: set[str] = set()
        self._stored: dict[str, tuple[_WrittenSuspect, ...]] = {}

    @property
    def is_due(self) -> bool:
        """Return whether rows may have to be written."""
        return bool(self._ended or self._outdated)

    @property
    def has_stored(self) -> bool:
        """Return whether a suspicion may be settled that this daemon has stored."""
        return bool(self._stored)

    def record_end(self, fingerprint: str) -> None:
        """Record that this daemon saw a target end under a request."""
        self._ended.add(row_key(fingerprint))

    def record_outdated(self, fingerprint: str) -> None:
        """Record that the row of a request has to be written in any case."""
        self._outdated.add(row_key(fingerprint))

    def take(
        self, known: Iterable[SuspectState], *, now_s: float
    ) -> dict[str, tuple[SuspectState, ...]]:
        """Return the rows to write with their suspects, of which there may be none.

        ``known`` are the states of all suspects. The rows count as stored from now on,
        unless they are put back.
        """
        by_fingerprint = {state.fingerprint: state for state in known}
        self._check_stored(by_fingerprint, now_s)
        chosen = _choose(by_fingerprint.values())
        rows = {
            key: suspects
            for key in self._ended | self._outdated
            for suspects in (chosen.get(key, ()),)
            if key in self._outdated or any(map(self._has_seen_end, suspects))
        }
        self._ended.clear()
        self._outdated.clear()
        for key, suspects in rows.items():
            self._record_stored(key, suspects, now_s)
        return rows

    def put_back(self, rows: Iterable[str]) -> None:
        """Take back rows that could not be written."""
        for key in rows:
            self._stored.pop(key, None)
            self._outdated.add(key)

    def _check_stored(
        self, by_fingerprint: Mapping[str, SuspectState], now_s: float
    ) -> None:
        """Compare the rows that this daemon wrote with what is known now."""
        for key, suspects in tuple(self._stored.items()):
            kept = []
            for stored in suspects:
                known = by_fingerprint.get(stored.suspect.fingerprint)
                if stored.expires_s <= now_s or (known and known.quarantines):
                    # A row of the quarantine tells the same, and more.
                    continue
                kept.append(stored)
                if known is None or not stored.targets <= _targets(known):
                    # A success or another quarantine has accounted for these ends.
                    self._outdated.add(key)
                elif stored.targets < _targets(known) and self._has_seen_latest(known):
                    # Reports of earlier ends came after the row was written.
                    self._ended.add(key)
            self._keep(key, kept)

    def _record_stored(
        self, key: str, suspects: Iterable[SuspectState], now_s: float
    ) -> None:
        stored = [
            _WrittenSuspect(each, now_s + SUSPICION_S - _latest_age_s(each))
            for each in suspects
        ]
        self._keep(key, stored)

    def _keep(self, key: str, stored: Iterable[_WrittenSuspect]) -> None:
        kept = tuple(stored)
        if kept:
            self._stored[key] = kept
        else:
            self._stored.pop(key, None)

    def _has_seen_end(self, suspect: SuspectState) -> bool:
        return any(crash.daemon == self._daemon for crash in suspect.crashes)

    def _has_seen_latest(self, suspect: SuspectState) -> bool:
        latest = min(suspect.crashes, key=lambda crash: crash.age_s)
        return latest.daemon == self._daemon


def _choose(known: Iterable[SuspectState]) -> dict[str, tuple[SuspectState, ...]]:
    """Return the suspects that each row keeps."""
    by_row: defaultdict[str, list[SuspectState]] = defaultdict(list)
    for state in known:
        if is_storable(state):
            by_row[row_key(state.fingerprint)].append(state)
    return {
        key: tuple(nlargest(MAX_SUSPECTS, suspects, key=_rank))
        for key, suspects in by_row.items()
    }


def is_storable(state: SuspectState) -> bool:
    """Return whether a row is to keep a suspect in this state.

    Quarantines have rows of their own. A fingerprint that leaves the caller out counts
    from its second caller on.
    """
    if not state.crashes or state.quarantines:
        return False
    return not state.is_of_any_caller or len(state.callers) >= MIN_CALLERS


def _rank(state: SuspectState) -> tuple[int, float]:
    return len(state.crashes), -_latest_age_s(state)


def _targets(state: SuspectState) -> frozenset[str]:
    return frozenset(crash.target for crash in state.crashes)


def _latest_age_s(state: SuspectState) -> float:
    return min(crash.age_s for crash in state.crashes)
