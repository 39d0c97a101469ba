"""Which daemon of a data centre reads the store for the others.

A target's row changes with each of its heartbeats, so a daemon that follows the table
by itself makes a call to the store for every few heartbeats. Instead one daemon of a
data centre, the store reader, reads the table and sends store updates to the others.
There is no election: all daemons compute the same ranks, and each one reads the store
itself once it has received no update for a time that grows with its rank. This also
replaces a reader that is gone, frozen or cut off. An update that reflects an earlier
moment ends the silence as of that moment. The state of a daemon is thus never older
than the longest of these times plus one call.
"""

import hashlib
from collections.abc import Iterable

READ_INTERVAL_S = 0.5
"""Time between two reads of the store unless the bound calls for a shorter one. Each
read costs a call."""

READ_SHARE = 0.25
"""Longest time between two reads, as a share of the bound within which a change must be
known to every daemon."""

RANK_SHARE = 0.3
"""Additional time that each rank waits, as a share of the interval between reads."""

FRESH_SHARE = 0.08
"""Age of a store update, as a share of the bound, up to which it counts as current: the
duration of a call over a small VM's link. Without this allowance other daemons would
read the store although the store reader works."""

MAX_RANK = 4
"""Highest rank for which the waiting time grows; later ranks wait equally long."""


def rank_of(daemon: str, daemons: Iterable[str]) -> int:
    """Return a daemon's rank among those of its data centre, itself included.

    >>> sorted(rank_of(each, ["a", "b", "c"]) for each in ["a", "b", "c"])
    [0, 1, 2]
    """
    ordered = sorted({daemon, *daemons}, key=_order)
    return ordered.index(daemon)


def silence_limit_s(rank: int, *, bound_s: float) -> float:
    """Return how long a daemon waits for a store update before it reads the store.

    >>> silence_limit_s(0, bound_s=2.0), silence_limit_s(1, bound_s=1.0)
    (0.5, 0.325)
    """
    interval_s = min(READ_INTERVAL_S, bound_s * READ_SHARE)
    return interval_s * (1 + RANK_SHARE * min(rank, MAX_RANK))


def excess_age_s(age_s: float, *, bound_s: float) -> float:
    """Return how far before its receipt a store update ended the silence.

    This is its age beyond the one that counts as current.

    >>> excess_age_s(0.1, bound_s=2.5), excess_age_s(1.25, bound_s=2.5)
    (0.0, 1.05)
    """
    return max(0.0, age_s - bound_s * FRESH_SHARE)


def _order(daemon: str) -> bytes:
    return hashlib.blake2b(daemon.encode(), digest_size=8).digest()
