"""Measures how evenly targets are loaded by daemons whose news is old.

Run it with ``python -m benchmarks.even_load``, or with ``--all`` for each size and age
and fewer ways of choosing, which are compared on a virtual clock. Results are written
to ``benchmarks/results``. Each bound is a ratio to the counts as reported within the
run; if one is broken, the exit status is 1.
"""

import json
import sys
from collections.abc import Collection, Iterable
from dataclasses import asdict
from pathlib import Path

from benchmarks.even_load_fleet import EvenLoadFleet, Layout, Measured
from benchmarks.even_load_policies import POLICIES

RESULTS = Path(__file__).parent / "results"
SEEDS = (3, 4, 5)
WARM_UP_S = 3.0
MEASURED_S = 4.0

DATA_CENTRES = {
    "32 daemons": (32, 25, 4, 0.3),
    "151 in 3": (50, 39, 4, 0.3),
    "126 in 4": (32, 30, 6, 0.55),
    "300 in 3": (100, 78, 4, 0.3),
}
"""Daemons, targets of a service, slots and work in seconds of a data centre."""

AGES_S = (0.005, 0.02, 0.05, 0.2, 0.5)
LOADS = (0.5, 0.8, 1.2)
FEW_POLICIES = ("product", "as reported")
DEFAULT_POINTS = (("151 in 3", 0.05), ("151 in 3", 0.2), ("126 in 4", 0.2))

MAX_WAITING_RATIO = 0.9
"""Largest ratio of the requests that wait beside free slots to those by the counts as
reported, where news is as old as ``OLD_S`` and slots are free."""

MAX_CONNECTIONS_RATIO = 1.05
"""Largest ratio of the new connections for each request."""

MAX_SHEDS_RATIO = 1.0
"""Largest ratio of the sheds for each request, at each load and age."""

OLD_S = 0.2
"""Age at which the bound of waiting requests holds."""


def layout_of(name: str, age_s: float, load: float) -> Layout:
    """Return a data centre's layout."""
    daemons, targets, slots, work_s = DATA_CENTRES[name]
    return Layout(daemons, targets, slots, work_s, load, age_s)


def play(layout: Layout, policy: str) -> dict[str, float]:
    """Return the summary of all seeds of a policy together."""
    total = Measured()
    for seed in SEEDS:
        fleet = EvenLoadFleet(layout, POLICIES[policy], seed=seed)
        total.add(fleet.play(warm_up_s=WARM_UP_S, measured_s=MEASURED_S))
    return total.summary()


def missed_bounds(layout: Layout, by_policy: dict[str, dict[str, float]]) -> list[str]:
    """Return the bounds that the product misses."""
    product, reported = by_policy["product"], by_policy["as reported"]
    bounds = {
        "new_connections_per_request": MAX_CONNECTIONS_RATIO,
        "sheds_per_request": MAX_SHEDS_RATIO,
    }
    if layout.age_s >= OLD_S and layout.load < 1:
        bounds["waited_beside_free_slots"] = MAX_WAITING_RATIO
    return [
        f"{name}: {product[name]} over {ratio} x {reported[name]} in {layout}"
        for name, ratio in bounds.items()
        if product[name] > ratio * reported[name]
    ]


def main(
    points: Iterable[tuple[str, float]], policies: Collection[str], results_name: str
) -> int:
    """Play the points at each load; return the exit status."""
    results, missed = [], []
    for name, age_s in points:
        for load in LOADS:
            layout = layout_of(name, age_s, load)
            by_policy = {policy: play(layout, policy) for policy in policies}
            results.append({"layout": asdict(layout), "policies": by_policy})
            missed += missed_bounds(layout, by_policy)
            print(f"{name}, news of {age_s * 1000:.0f} ms, load {load}", flush=True)
            for policy, summary in by_policy.items():
                figures = ", ".join(f"{each:g}" for each in summary.values())
                print(f"  {policy:24s}{figures}", flush=True)
    (RESULTS / results_name).write_text(json.dumps(results, indent=1) + "\n")
    print("\n".join(missed) or "every bound holds")
    return 1 if missed else 0


if __name__ == "__main__":
    every_point = [(name, age_s) for name in DATA_CENTRES for age_s in AGES_S]
    if "--all" in sys.argv:
        sys.exit(main(every_point, FEW_POLICIES, "even_load_all.json"))
    sys.exit(main(DEFAULT_POINTS, POLICIES, "even_load.json"))
