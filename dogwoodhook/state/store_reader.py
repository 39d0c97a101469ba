"""Which daemon of the fleet reads the store for the others.

A target's row changes with each of its heartbeats, so a daemon that follows the table
by itself makes a call to the store for every few heartbeats. Instead one daemon, the
store reader, reads the table and sends store updates to the others, in other data
centres through relays. There is no election: all daemons compute the same ranks, and
each one reads the store itself once it has received no update for a time that grows
with its rank. This also replaces a reader that is gone, frozen or cut off. An update
that reflects an earlier moment ends the silence as of that moment. The state of a
daemon is thus never older than the longest of these times plus one call.

Designed for: hundreds of daemons in several data centres, where calls to the store are
expensive. Their number depends neither on the daemons nor on the data centres.
"""

import hashlib
from collections.abc import Collection, Mapping
from functools import lru_cache

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

DATA_CENTRE_RANKS = 2
"""Ranks by which each data centre follows the one before it. An update for another data
centre arrives later, by a relay's batch of datagrams."""

MAX_RANK = 4
"""Highest rank for which the waiting time grows; later ranks wait equally long."""


def rank_of(
    daemon: str, data_centre: str, daemons: Mapping[str, Collection[str]]
) -> int:
    """Return a daemon's rank; that of the store reader is 0.

    ``daemons`` holds the names of the live daemons of each data centre.

    >>> fleet = {"oulu-2": ["a", "b", "c"], "oulu-1": ["d"]}
    >>> sorted(rank_of(each, "oulu-2", fleet) for each in ["a", "b", "c"])
    [0, 1, 2]
    >>> rank_of("d", "oulu-1", fleet)
    2
    """
    data_centres = sorted({data_centre, *daemons}, key=order_of)
    neighbours = {daemon, *daemons.get(data_centre, ())}
    place = order_of(daemon)
    rank = sum(order_of(each) < place for each in neighbours)
    return rank + DATA_CENTRE_RANKS * data_centres.index(data_centre)


def silence_limit_s(rank: int, *, bound_s: float) -> float:
    """Return how long a daemon waits for a store update before it reads the store.

    >>> silence_limit_s(0, bound_s=2.0), silence_limit_s(1, bound_s=1.0)
    (0.5, 0.325)
    """
    interval_s = min(READ_INTERVAL_S, bound_s * READ_SHARE)
    return interval_s * (1 + RANK_SHARE * min(rank, MAX_RANK))


def excess_age_s(age_s: float, *, bound_s: float) -> float:
    """Return by how much the age of a store update exceeds a current one's.

    The update ends the silence as of this long before it is received.

    >>> excess_age_s(0.1, bound_s=2.5), excess_age_s(1.25, bound_s=2.5)
    (0.0, 1.05)
    """
    return max(0.0, age_s - bound_s * FRESH_SHARE)


@lru_cache(maxsize=4096)
def order_of(name: str) -> bytes:
    """Return a name's place in an order that all daemons compute alike."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
