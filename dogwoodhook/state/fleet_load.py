"""Requests in flight at each target, from all daemons of a data centre.

Designed for: days on which half of all slots are busy. A target has a few slots and is
shared by dozens of daemons with a few requests each. A daemon that knew only its own
requests would fill the slots of one target while those of another are free.
"""

from collections import Counter
from collections.abc import Mapping

MAX_REPORT_AGE_S = 10.0
"""Age up to which a report counts. While a long request runs, no further report may
come for that long."""


class FleetLoad:
    """Counts this daemon's requests in flight, and those that neighbours reported.

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
        """Count the end of a request sent to a target."""
        self._own[target] -= 1
        if not self._own[target]:
            del self._own[target]

    def own(self) -> dict[str, int]:
        """Return this daemon's requests in flight by target."""
        return dict(self._own)

    def record_report(
        self, daemon: str, in_flight: Mapping[str, int], *, now_s: float
    ) -> None:
        """Record a neighbour's requests in flight, in place of its previous ones."""
        self._reports[daemon] = (now_s, in_flight)

    def by_target(self, *, now_s: float) -> Counter[str]:
        """Return the requests in flight at each target, own and reported."""
        return self._add_reported(self._own.copy(), now_s)

    def reported(self, *, now_s: float) -> Counter[str]:
        """Return the requests in flight at each target that neighbours reported."""
        return self._add_reported(Counter(), now_s)

    def _add_reported(self, total: Counter[str], now_s: float) -> Counter[str]:
        for at_s, in_flight in self._reports.values():
            if now_s - at_s < MAX_REPORT_AGE_S:
                total.update(in_flight)
        return total
