"""When a daemon itself asks the store whether its configuration is the newest one.

The store acknowledges a change to the operator, and the change must be in force on
every daemon within a bound. One daemon of the fleet asks the store continuously
and reports to the others how long ago its configuration was known to be the newest. A
daemon that receives no such report from any other for a part of the bound asks the
store itself. A change thus reaches the other daemons although a daemon or a connection
has failed.

Designed for: a hundred daemons, of which some are slow, paused or cut off at any time,
and whose connections may stop delivering without an error.
"""

from dataclasses import dataclass

from dogwoodhook.state.store_reader import MAX_RANK, READ_INTERVAL_S

WAIT_SHARE = 0.25
"""Share of the bound for which a call of the store reader waits for a change."""

SILENCE_SHARE = 0.4
"""Share of the bound after which other daemons ask the store themselves. The rest is
enough for a call whose first attempt is lost, and for a large configuration."""

RANK_SHARE = 0.04
"""Additional share of the bound that each rank waits for those before it."""


@dataclass(frozen=True, slots=True)
class ConfigurationFreshness:
    """Times derived from the bound within which a change is to be in force.

    >>> freshness = ConfigurationFreshness(bound_s=2.5)
    >>> [round(freshness.silence_limit_s(rank), 2) for rank in (0, 1, 9)]
    [0.0, 1.1, 1.4]
    """

    bound_s: float

    @property
    def wait_s(self) -> float:
        """How long a call waits at the store for a change."""
        return min(READ_INTERVAL_S, self.bound_s * WAIT_SHARE)

    def silence_limit_s(self, rank: int) -> float:
        """Return the age of the last confirmation at which a daemon asks the store."""
        if not rank:
            return 0.0
        capped_rank = min(rank, MAX_RANK)
        return self.bound_s * (SILENCE_SHARE + RANK_SHARE * capped_rank)
