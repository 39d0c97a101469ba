"""Measures policies under load on a virtual clock.

Run it with ``python -m benchmarks.overload``. The product's admission, limits,
retries and budget are compared with common policies under too much load, in a full
outage and beside a greedy workspace. Results are written to
``benchmarks/results/overload.json``. Each regression bound is a ratio within the run
or a stated limit; if one is broken, the exit status is 1.
"""

import json
import sys
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from benchmarks.overload_fleet import (
    MEAN_WORK_S,
    FinishedRequest,
    Fleet,
    Layout,
    MakeDispatcher,
    TargetState,
)
from benchmarks.overload_policies import (
    make_least_in_flight,
    make_product,
    make_random,
)
from dogwoodhook.state.model import Parameters
from dogwoodhook.state.retries import RESERVE_REFILL_PER_S, RESERVE_TOKENS

RESULTS = Path(__file__).parent / "results" / "overload.json"
PARAMETERS = Parameters(deadline_ms=2000)
LOADS = (0.5, 0.8, 0.95, 1.5, 2.0, 3.0)
LARGE_LOADS = (0.95, 1.5)
WARM_UP_S = 1.5
MEASURED_S = 12.0
OUTAGE_S = 20.0
GREEDY_LOAD = 3.0
SMALL_WORKSPACES = 10
SMALL_LOAD = 0.02

MIN_SLOT_USE_AGAINST_OTHERS = 0.95
"""Smallest ratio of the product's slot use to the best of all policies.

Slot use is compared instead of the number of answers: every slot in use ends in an
answer, but the number of answers also varies with the random durations of the work.
"""

MIN_SLOT_USE_RATIO = 0.9
"""Smallest ratio of a fleet's slot use to that of one daemon that has all counts."""

MIN_COLLAPSE_RATIO = 0.95
"""Smallest ratio of goodput at the highest load to the best from a load of 1.5 up."""

MIN_FAIRNESS_RATIO = 0.9
"""Smallest ratio of small workspaces' share of good answers to their share alone."""


@dataclass(frozen=True, slots=True)
class Policy:
    """A policy under test."""

    name: str
    make_dispatcher: MakeDispatcher
    has_budget: bool = True
    has_requeue: bool = True

    def make_fleet(self, layout: Layout) -> Fleet:
        """Return a new fleet that follows the policy."""
        return Fleet(
            layout,
            make_dispatcher=self.make_dispatcher,
            has_budget=self.has_budget,
            has_requeue=self.has_requeue,
        )


PRODUCT = Policy("product", make_product)
POLICIES = (
    PRODUCT,
    Policy("product, sheds spend the budget", make_product, has_requeue=False),
    Policy("fixed limit, random choice", make_random),
    Policy("fixed limit, least in flight", make_least_in_flight),
    Policy("no retry budget", make_least_in_flight, has_budget=False),
)


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Figures of one policy at one load.

    ``load`` and ``goodput`` are shares of the capacity.
    """

    policy: str
    daemons: int
    targets: int
    load: float
    goodput: float
    answered_share: float
    p50_ms: float
    p99_ms: float
    attempts_per_request: float
    sheds_per_request: float
    slot_use: float


@dataclass(frozen=True, slots=True)
class OutageResult:
    """Attempts that reached targets while all of them crashed, and the recovery."""

    policy: str
    requests: int
    attempts_per_request: float
    allowed_per_request: float
    goodput_after: float


@dataclass(frozen=True, slots=True)
class FairnessResult:
    """Figures of small workspaces alone, or beside a greedy one by kind of queue."""

    queues: str
    small_answered_share: float
    small_p99_ms: float
    greedy_answered_share: float


def measure_load(policy: Policy, layout: Layout, load: float) -> LoadResult:
    """Offer ``load`` times the capacity and measure after a warm-up."""
    fleet = policy.make_fleet(layout)
    until_s = WARM_UP_S + MEASURED_S
    fleet.offer("only", fleet.capacity_per_s * load, until_s)
    fleet.run(WARM_UP_S)
    busy_s, received, shed = _count_totals(fleet)
    fleet.run(until_s)
    busy_end_s, received_end, shed_end = _count_totals(fleet)
    finished = [each for each in fleet.finished if each.ended_s > WARM_UP_S]
    latencies_ms = _latencies_ms(finished)
    slots = layout.targets * layout.parameters.slots_per_target
    return LoadResult(
        policy=policy.name,
        daemons=layout.daemons,
        targets=layout.targets,
        load=load,
        goodput=len(latencies_ms) / MEASURED_S / fleet.capacity_per_s,
        answered_share=len(latencies_ms) / len(finished),
        p50_ms=_percentile(latencies_ms, 0.5),
        p99_ms=_percentile(latencies_ms, 0.99),
        attempts_per_request=(received_end - received) / len(finished),
        sheds_per_request=(shed_end - shed) / len(finished),
        slot_use=(busy_end_s - busy_s) / MEASURED_S / slots,
    )


def measure_outage(policy: Policy, layout: Layout) -> OutageResult:
    """Let every target crash for ``OUTAGE_S`` and then recover."""
    fleet = policy.make_fleet(layout)
    recovered_s = WARM_UP_S + OUTAGE_S
    until_s = recovered_s + MEASURED_S
    rate_per_s = fleet.capacity_per_s * 0.8
    fleet.offer("only", rate_per_s, until_s)
    fleet.run(WARM_UP_S)
    _, before, shed_before = _count_totals(fleet)
    _set_state(fleet, TargetState.CRASHING)
    fleet.run(recovered_s)
    _, after, shed_after = _count_totals(fleet)
    _set_state(fleet, TargetState.SERVING)
    fleet.run(until_s)
    requests = _count_arrived(fleet.finished, WARM_UP_S, recovered_s)
    reserve = layout.daemons * (RESERVE_TOKENS + OUTAGE_S * RESERVE_REFILL_PER_S)
    percent = layout.parameters.retry_budget_percent
    last_s = until_s - MEASURED_S / 2
    good = sum(each.is_good for each in fleet.finished if each.ended_s > last_s)
    return OutageResult(
        policy=policy.name,
        requests=requests,
        attempts_per_request=(after - before - shed_after + shed_before) / requests,
        allowed_per_request=1 + percent / 100 + reserve / requests,
        goodput_after=good / (MEASURED_S / 2) / rate_per_s,
    )


def measure_fairness(layout: Layout) -> tuple[FairnessResult, ...]:
    """Measure small workspaces alone, beside a greedy one, and in one queue with it."""
    return (
        _fairness("small workspaces alone", layout, greedy_load=0.0),
        _fairness("a queue for each workspace", layout, greedy_load=GREEDY_LOAD),
        _fairness("one queue for all", layout, greedy_load=GREEDY_LOAD, is_shared=True),
    )


def _fairness(
    queues: str, layout: Layout, *, greedy_load: float, is_shared: bool = False
) -> FairnessResult:
    fleet = PRODUCT.make_fleet(layout)
    small = [f"small-{index}" for index in range(SMALL_WORKSPACES)]
    until_s = WARM_UP_S + MEASURED_S
    for name in small:
        fleet.offer(name, fleet.capacity_per_s * SMALL_LOAD, until_s)
    if greedy_load:
        fleet.offer("greedy", fleet.capacity_per_s * greedy_load, until_s)
    if is_shared:
        _share_queue(fleet)
    fleet.run(until_s)
    finished = [each for each in fleet.finished if each.ended_s > WARM_UP_S]
    small_requests = [each for each in finished if each.workspace in small]
    greedy_requests = [each for each in finished if each.workspace == "greedy"]
    return FairnessResult(
        queues=queues,
        small_answered_share=_good_share(small_requests),
        small_p99_ms=_percentile(_latencies_ms(small_requests), 0.99),
        greedy_answered_share=_good_share(greedy_requests),
    )


def _share_queue(fleet: Fleet) -> None:
    """Submit every ticket under the same workspace, so that all share one queue."""
    for daemon in fleet.daemons:
        submit = daemon.dispatcher.submit
        daemon.dispatcher.submit = lambda ticket, *, now_s, submit=submit: submit(  # type: ignore[method-assign]
            replace(ticket, workspace="all"), now_s=now_s
        )


def _set_state(fleet: Fleet, state: TargetState) -> None:
    for target in fleet.targets.values():
        target.state = state


def _count_totals(fleet: Fleet) -> tuple[float, int, int]:
    targets = fleet.targets.values()
    return (
        sum(each.busy_s for each in targets),
        sum(each.received for each in targets),
        sum(each.shed for each in targets),
    )


def _count_arrived(
    finished: Iterable[FinishedRequest], start_s: float, end_s: float
) -> int:
    return sum(start_s <= each.arrived_s < end_s for each in finished)


def _latencies_ms(finished: Iterable[FinishedRequest]) -> list[float]:
    return sorted((e.ended_s - e.arrived_s) * 1000 for e in finished if e.is_good)


def _percentile(values: Sequence[float], share: float) -> float:
    return values[int(len(values) * share)] if values else 0.0


def _good_share(finished: Sequence[FinishedRequest]) -> float:
    return sum(each.is_good for each in finished) / len(finished) if finished else 0.0


def main() -> int:
    """Run every scenario; return the exit status."""
    small = Layout(daemons=44, targets=6, parameters=PARAMETERS)
    large = Layout(daemons=44, targets=13, parameters=PARAMETERS)
    loads = [
        measure_load(policy, layout, load)
        for layout, chosen in ((small, LOADS), (large, LARGE_LOADS))
        for load in chosen
        for policy in POLICIES
    ]
    slots = [
        measure_load(PRODUCT, replace(small, daemons=daemons), 1.5)
        for daemons in (1, 32, 44)
    ]
    outages = [measure_outage(policy, small) for policy in POLICIES]
    fairness = measure_fairness(small)
    _print_tables(loads, slots, outages, fairness)
    broken = [
        *check_loads(loads),
        *check_slots(slots),
        *check_outages(outages),
        *check_fairness(fairness),
    ]
    RESULTS.parent.mkdir(exist_ok=True)
    results = {
        "work_ms": MEAN_WORK_S * 1000,
        "loads": [asdict(each) for each in loads],
        "slot_use": [asdict(each) for each in slots],
        "outages": [asdict(each) for each in outages],
        "fairness": [asdict(each) for each in fairness],
        "broken_bounds": broken,
    }
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")
    for each in broken:
        print(f"BROKEN: {each}")
    return 1 if broken else 0


def check_loads(loads: Sequence[LoadResult]) -> list[str]:
    """Check the product's slot use against other policies', and its goodput's fall."""
    broken = []
    product = [each for each in loads if each.policy == PRODUCT.name]
    for result in product:
        best = max(
            each.slot_use
            for each in loads
            if (each.targets, each.load) == (result.targets, result.load)
        )
        if result.slot_use < MIN_SLOT_USE_AGAINST_OTHERS * best:
            broken.append(f"slot use {result.slot_use:.3f}, {best:.3f} is possible")
    for result in product:
        peak = max(
            each.goodput
            for each in product
            if each.targets == result.targets and each.load >= 1.5
        )
        if result.load == LOADS[-1] and result.goodput < MIN_COLLAPSE_RATIO * peak:
            broken.append(f"goodput falls from {peak:.3f} to {result.goodput:.3f}")
    return broken


def check_slots(slots: Sequence[LoadResult]) -> list[str]:
    """Compare slot use with that of one daemon that has all counts."""
    alone, *fleets = slots
    return [
        f"{each.daemons} daemons use {each.slot_use:.3f} of the slots, "
        f"one uses {alone.slot_use:.3f}"
        for each in fleets
        if each.slot_use < MIN_SLOT_USE_RATIO * alone.slot_use
    ]


def check_outages(outages: Sequence[OutageResult]) -> list[str]:
    """Compare the product's attempts with the retry budget."""
    result = outages[0]
    if result.attempts_per_request <= result.allowed_per_request:
        return []
    return [
        f"{result.attempts_per_request:.3f} attempts a request in an outage, "
        f"allowed {result.allowed_per_request:.3f}"
    ]


def check_fairness(fairness: Sequence[FairnessResult]) -> list[str]:
    """Compare small workspaces beside a greedy one with the same alone."""
    alone, separate, _ = fairness
    least = MIN_FAIRNESS_RATIO * alone.small_answered_share
    if separate.small_answered_share >= least:
        return []
    return [
        f"{separate.small_answered_share:.3f} of small workspaces' requests answered "
        f"beside a greedy one, {alone.small_answered_share:.3f} alone"
    ]


def _print_tables(
    loads: Sequence[LoadResult],
    slots: Sequence[LoadResult],
    outages: Sequence[OutageResult],
    fairness: Sequence[FairnessResult],
) -> None:
    for title, rows in (
        ("Load", loads),
        ("Slot use", slots),
        ("Outage", outages),
        ("Fairness", fairness),
    ):
        print(f"\n{title}")
        _print_table([asdict(row) for row in rows])


def _print_table(rows: Sequence[dict[str, object]]) -> None:
    cells = [list(rows[0]), *([_cell(value) for value in row.values()] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(padded).rstrip())


def _cell(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


if __name__ == "__main__":
    sys.exit(main())
