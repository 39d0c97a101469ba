"""When a daemon has to ask the store itself whether its configuration is the newest.

A change is acknowledged by the store to the operator and must be in force on every
daemon within a bound. One daemon of a data centre asks the store all the time and
tells the others how long ago what it knows was the newest. A daemon that has no such
word, from whomever, for a part of the bound asks for itself. So no daemon's trouble,
nor that of a connection, keeps a change from another daemon.

Load that this answers: a hundred daemons, of which some are slow, paused or cut off
at any time, and whose connections fall silent.
"""

from dataclasses import dataclass

from dogwoodhook.state.store_reader import MAX_RANK, READ_INTERVAL_S

WAIT_SHARE = 0.25
"""Part of the bound for which the reader's call waits for a change."""

SILENCE_SHARE = 0.4
"""Part of the bound after which others ask for themselves: it leaves the rest for a
call whose first try is lost, and for a large configuration."""

RANK_SHARE = 0.04
"""Further part of the bound that each rank waits for those before it."""


@dataclass(frozen=True, slots=True)
class ConfigurationFreshness:
    """The times that follow from the bound within which a change is in force.

    >>> freshness = ConfigurationFreshness(bound_s=2.5)
    >>> [round(freshness.silence_limit_s(rank), 2) for rank in (0, 1, 9)]
    [0.0, 1.1, 1.4]
    """

    bound_s: float

    @property
    def wait_s(self) -> float:
        """Return how long a call waits at the store for a change."""
        return min(READ_INTERVAL_S, self.bound_s * WAIT_SHARE)

    def silence_limit_s(self, rank: int) -> float:
        """Return the age of what is known from which a daemon asks the store."""
        if not rank:
            return 0.0
        ranks = min(rank, MAX_RANK)
        return self.bound_s * (SILENCE_SHARE + RANK_SHARE * ranks)
