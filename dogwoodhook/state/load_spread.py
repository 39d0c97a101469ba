"""How evenly the targets of a service are loaded, as a daemon knows it.

Designed for: operators who ask whether some targets are overrun while others are idle.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from dogwoodhook.state.target_directory import TargetEntry


@dataclass(frozen=True, slots=True)
class LoadSpread:
    """The largest and the smallest load, in requests in flight for each slot."""

    smallest: float
    largest: float


def load_spreads(
    targets: Iterable[TargetEntry],
    in_flight: Mapping[str, float],
    *,
    data_centre: str,
) -> dict[str, LoadSpread]:
    """Return the spread of each service's targets in a data centre.

    >>> entry = TargetEntry("t1", "proofs", "::1", 80, "oulu-1", 4, False, 0.0, 1)
    >>> load_spreads([entry], {"t1": 2}, data_centre="oulu-1")
    {'proofs': LoadSpread(smallest=0.5, largest=0.5)}
    """
    loads: dict[str, list[float]] = {}
    for each in targets:
        if each.data_centre == data_centre:
            load = in_flight.get(each.name, 0) / max(1, each.slots)
            loads.setdefault(each.service, []).append(load)
    return {name: LoadSpread(min(each), max(each)) for name, each in loads.items()}
