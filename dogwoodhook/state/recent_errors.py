"""Comparison of this daemon's recent errors with those of its peers."""

import math
from dataclasses import dataclass

DECAY_S = 30.0
MIN_ERRORS = 3.0
COMPARABLE_SHARE = 0.25
"""Part of this daemon's errors from which a peer counts as affected too."""


@dataclass(slots=True)
class _Tally:
    errors: float = 0.0
    at_s: float = 0.0

    def decayed(self, now_s: float) -> float:
        return self.errors * math.exp((self.at_s - now_s) / DECAY_S)


class RecentErrors:
    """Errors of a service at this daemon and at each peer, decaying with time."""

    def __init__(self) -> None:
        self._own = _Tally()
        self._peers: dict[str, _Tally] = {}

    def record_own(self, errors: int, *, now_s: float) -> None:
        """Count errors that this daemon saw."""
        self._add(self._own, errors, now_s)

    def record_peer(self, reporter: str, errors: int, *, now_s: float) -> None:
        """Count errors that a peer reported; also registers a peer without errors."""
        tally = self._peers.setdefault(reporter, _Tally(at_s=now_s))
        self._add(tally, errors, now_s)

    def remove(self, reporter: str) -> None:
        """Remove a peer that has not reported for long."""
        self._peers.pop(reporter, None)

    def is_only_local(self, *, now_s: float) -> bool:
        """Return whether this daemon sees errors that most peers do not see."""
        own = self._own.decayed(now_s)
        if own < MIN_ERRORS:
            return False
        affected = sum(
            tally.decayed(now_s) >= own * COMPARABLE_SHARE
            for tally in self._peers.values()
        )
        return affected * 2 <= len(self._peers)

    def _add(self, tally: _Tally, errors: int, now_s: float) -> None:
        tally.errors = tally.decayed(now_s) + errors
        tally.at_s = now_s
