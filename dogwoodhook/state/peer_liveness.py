"""Which of the known daemons are taken for running.

Load that this answers: deployments whose VMs are replaced all the time. A daemon that
is gone keeps its row; counted on for ever, it would hold a rank among the readers of
the store and a share of every broadcast.
"""

NEIGHBOUR_SILENCE_S = 10.0
"""Silence after which a daemon of the own data centre is taken for gone: three of
its greetings."""

REMOTE_SILENCE_S = 70.0
"""The same for other data centres, whose greetings are rarer since they cost more."""


class PeerLiveness:
    """When each known daemon was heard last.

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
        """Note a sign of life; a daemon that is newly known counts as heard."""
        self._last_seen_s[daemon] = now_s

    def is_live(self, daemon: str, *, silence_s: float, now_s: float) -> bool:
        """Tell whether a daemon has been heard within a time."""
        return now_s - self._last_seen_s.get(daemon, float("-inf")) <= silence_s
