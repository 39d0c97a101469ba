"""Requests in flight at each target, from all daemons of a data centre.

Load that this answers: days on which half of all slots are busy. A target has a few
slots and is shared by dozens of daemons with a few requests each; a daemon that knows
only its own would fill the slots of one target while those of another are free.
"""

from collections import Counter
from collections.abc import Mapping

MAX_REPORT_AGE_S = 10.0
"""Time for which a report counts; long requests last that long without another."""


class FleetLoad:
    """Own requests in flight, and what the neighbours told of theirs.

    >>> load = FleetLoad()
    >>> load.start("t1")
    >>> load.record_report("vm-2", {"t1": 2}, now_s=0.0)
    >>> load.by_target(now_s=1.0)["t1"], load.by_target(now_s=60.0)["t1"]
    (3, 1)
    """

    def __init__(self) -> None:
        self._own: Counter[str] = Counter()
        self._reports: dict[str, tuple[float, Mapping[str, int]]] = {}

    def start(self, target: str) -> None:
        """Count a request sent to a target."""
        self._own[target] += 1

    def finish(self, target: str) -> None:
        """Count its end."""
        self._own[target] -= 1
        if not self._own[target]:
            del self._own[target]

    def own(self) -> dict[str, int]:
        """Return this daemon's requests in flight by target."""
        return dict(self._own)

    def record_report(
        self, daemon: str, in_flight: Mapping[str, int], *, now_s: float
    ) -> None:
        """Take a neighbour's requests in flight, in place of its last ones."""
        self._reports[daemon] = (now_s, in_flight)

    def by_target(self, *, now_s: float) -> Counter[str]:
        """Return the requests in flight at each target."""
        total = self._own.copy()
        for at_s, in_flight in self._reports.values():
            if now_s - at_s < MAX_REPORT_AGE_S:
                total.update(in_flight)
        return total
