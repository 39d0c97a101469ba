"""How frequent reports reach a large data centre: through a collector and forwarders.

A report sent to each neighbour costs every daemon a datagram, so the datagrams that a
daemon receives grow with the daemons. In a large data centre, reports that may wait
some milliseconds go to one daemon, the collector. It sends those of an interval
together to some forwarders, chosen anew each time, and each of these sends them to its
share of the others. There is no election: all daemons compute the same collector. A
daemon whose own
reports do not come back sends them to each neighbour until the collector works again.

Designed for: data centres of 25 to some hundred daemons in which each sends several
reports a second, and hundreds while targets refuse requests.
"""

import math
import random
from collections.abc import Collection, Iterable, Sequence

from dogwoodhook.state.store_reader import order_of

MAX_DIRECT_NEIGHBOURS = 24
"""Number of neighbours up to which every report is sent to each of them."""

COLLECT_INTERVAL_S = 0.01
"""Time for which the collector gathers reports: a hundred datagrams a second for each
daemon, however many report."""

MAX_REPORTS_PER_BATCH = 16
"""Number of reports in a datagram, so that it fits into one packet or two."""

ECHO_TIMEOUT_S = 0.4
"""Time after which a report that has not come back counts as lost: several intervals,
and the transmission on a busy link."""

DIRECT_S = 5.0
"""Time for which a daemon then sends its reports to each neighbour."""

_SALT = "collector/"


def collector_of(daemons: Collection[str]) -> str:
    """Return the collector among the daemons of a data centre.

    >>> collector_of(["vm-1", "vm-2"]) == collector_of(["vm-2", "vm-1"])
    True
    """
    # Salted, so that the store reader is not also the collector.
    return min(daemons, key=lambda each: order_of(_SALT + each))


def split_among_forwarders(
    daemons: Iterable[str], *, rng: random.Random
) -> list[Sequence[str]]:
    """Return groups of daemons; the first of each forwards to the others.

    >>> groups = split_among_forwarders("abcdefghi", rng=random.Random(7))
    >>> [len(each) for each in groups], sorted(sum(groups, []))[:3]
    ([3, 3, 3], ['a', 'b', 'c'])
    """
    names = list(daemons)
    rng.shuffle(names)
    count = math.isqrt(len(names)) or 1
    return [names[start::count] for start in range(count) if names[start::count]]


class CollectorTrust:
    """Whether the collector works, judged by the own reports that come back.

    >>> trust = CollectorTrust()
    >>> trust.record_sent(now_s=0.0)
    >>> [trust.has_fallen_silent(now_s=each) for each in (0.1, 1.0, 1.1)]
    [False, True, False]
    >>> trust.is_trusted(now_s=1.1), trust.is_trusted(now_s=9.0)
    (False, True)
    """

    def __init__(self) -> None:
        self._unseen_since_s = math.inf
        self._direct_until_s = -math.inf

    def record_sent(self, *, now_s: float) -> None:
        """Record a report sent to the collector."""
        self._unseen_since_s = min(self._unseen_since_s, now_s)

    def record_echo(self) -> None:
        """Record that an own report has come back."""
        self._unseen_since_s = math.inf

    def has_fallen_silent(self, *, now_s: float) -> bool:
        """Return whether a report counts as lost, once for each loss."""
        if now_s - self._unseen_since_s <= ECHO_TIMEOUT_S:
            return False
        self._unseen_since_s = math.inf
        self._direct_until_s = now_s + DIRECT_S
        return True

    def is_trusted(self, *, now_s: float) -> bool:
        """Return whether reports go to the collector."""
        return now_s >= self._direct_until_s
