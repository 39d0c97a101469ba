"""Which of the known daemons count as running.

Designed for: deployments whose VMs are replaced all the time. The row of a daemon that
is gone stays in the store. If the daemon still counted, it would keep a rank as store
reader and be sent every broadcast.
"""

NEIGHBOUR_SILENCE_S = 10.0
"""Silence after which a daemon of the own data centre counts as gone: three intervals
between its hellos."""

REMOTE_SILENCE_S = 70.0
"""The same for other data centres. Hellos between data centres cost more and are sent
less often."""

KNOWN_SILENCE_S = 600.0
"""Silence after which a daemon no longer belongs to the fleet. A daemon that is cut off
must not take the rest of the fleet for gone."""


class PeerLiveness:
    """Records when the last message of each known daemon was received.

    >>> liveness = PeerLiveness()
    >>> liveness.record_seen("vm-2", now_s=0.0)
    >>> liveness.is_live("vm-2", silence_s=NEIGHBOUR_SILENCE_S, now_s=9.0)
    True
    >>> liveness.is_live("vm-2", silence_s=NEIGHBOUR_SILENCE_S, now_s=11.0)
    False
    """

    def __init__(self) -> None:
        self._last_seen_s: dict[str, float] = {}

    def record_seen(self, daemon: str, *, now_s: float) -> None:
        """Record a message of a daemon, or that the daemon has become known."""
        self._last_seen_s[daemon] = now_s

    def is_live(self, daemon: str, *, silence_s: float, now_s: float) -> bool:
        """Return whether a daemon has been silent for no longer than ``silence_s``."""
        return now_s - self._last_seen_s.get(daemon, float("-inf")) <= silence_s
