"""Which daemon of a data centre reads the store for the others.

A target's row changes with each of its heartbeats, so a daemon that follows the
table by itself costs a call for every few of them. One daemon of a data centre
reads and tells the others. Nobody is appointed: the daemons are ranked the same
way by all, and each one reads for itself once it has heard no reading for a time
that grows with its rank, which also replaces a reader that is gone, frozen or cut
off. A reading that tells of an earlier moment ends the silence as of that moment. What
a daemon believes is thus never older than the longest of these times and one call.
"""

import hashlib
from collections.abc import Iterable

READ_INTERVAL_S = 0.5
"""Longest time between two readings, whatever the bound: each costs a call."""

READ_SHARE = 0.25
"""Time between two readings as a part of the bound within which a change must be known
to every daemon."""

RANK_SHARE = 0.3
"""Further time that each rank waits for those before it, as a part of the interval."""

FRESH_SHARE = 0.08
"""Age of a reading, as a part of the bound, up to which it counts as told at once: a
call over a small VM's link. Without, others would read beside a reader that is well."""

MAX_RANK = 4
"""Ranks beyond this one wait no longer."""


def rank_of(daemon: str, daemons: Iterable[str]) -> int:
    """Return a daemon's rank among those of its data centre, itself included.

    >>> sorted(rank_of(each, ["a", "b", "c"]) for each in ["a", "b", "c"])
    [0, 1, 2]
    """
    ordered = sorted({daemon, *daemons}, key=_order)
    return ordered.index(daemon)


def silence_limit_s(rank: int, *, bound_s: float) -> float:
    """Return how long a daemon waits for another's reading before its own.

    >>> silence_limit_s(0, bound_s=2.0), silence_limit_s(1, bound_s=1.0)
    (0.5, 0.325)
    """
    interval_s = min(READ_INTERVAL_S, bound_s * READ_SHARE)
    return interval_s * (1 + RANK_SHARE * min(rank, MAX_RANK))


def excess_age_s(age_s: float, *, bound_s: float) -> float:
    """Return how long before its coming a reading has ended the silence.

    >>> excess_age_s(0.1, bound_s=2.5), excess_age_s(1.25, bound_s=2.5)
    (0.0, 1.05)
    """
    return max(0.0, age_s - bound_s * FRESH_SHARE)


def _order(daemon: str) -> bytes:
    return hashlib.blake2b(daemon.encode(), digest_size=8).digest()
