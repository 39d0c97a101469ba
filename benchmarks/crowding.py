"""Compares ways to give out too few slots, on a virtual clock.

Run it with ``python -m benchmarks.crowding``. Daemons that know each other's load some
milliseconds late share targets with slots and queues. Demand rises above the capacity
for some seconds while one workspace sends five times its usual. Results are written to
``benchmarks/results/crowding.json``; each bound compares figures of one run, and the
exit status is 1 if one is broken.
"""

import heapq
import itertools
import json
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from random import Random
from typing import Any

from dogwoodhook.state.crowding import (
    Crowding,
    RetryRoom,
    SendNow,
    ServiceRoom,
    Wait,
    WaitingRequest,
)
from dogwoodhook.state.fleet_budget import FleetBudget
from dogwoodhook.state.typical_latency import TypicalLatency

RESULTS = Path(__file__).parent / "results" / "crowding.json"
SERVICE = "payouts"
SLOTS, QUEUE = 6, 24
REPORT_INTERVAL_S = 0.02
CHECK_INTERVAL_S = 0.02
WORKSPACES = 20
BURST_S = (4.0, 10.0)
END_S = 20.0

LATE_CREDIT = 0.3
"""What an answer after the target latency is worth, of a timely one."""

MIN_GOODPUT_RATIO = 0.95
"""Smallest ratio of the product's goodput to the best policy's, with late answers at
``LATE_CREDIT``, and of the product's served requests to the best policy's."""

MIN_WORST_TENTH = 0.25
"""Least share of the worst tenth of workspaces, as a share of all requests' share."""


@dataclass(frozen=True, slots=True)
class Load:
    """A load: deadlines and target latency against the mean work, in seconds."""

    name: str
    work_s: float
    target_latency_s: float
    deadline_s: float
    burst: float
    daemons: int = 14
    targets: int = 8
    base: float = 0.6


LOADS = (
    Load("long deadlines, burst 1.7", 0.5, 2.6, 12.5, 1.7),
    Load("long deadlines, burst 2.5", 0.5, 2.6, 12.5, 2.5),
    Load("short deadlines, burst 2.5", 0.3, 1.5, 3.0, 2.5),
)


class FirstComeFirstServed(Crowding):
    """Sends the request that has waited longest."""

    def _choose(
        self, ready: list[WaitingRequest], *, usual_s: float, now_s: float
    ) -> WaitingRequest:
        return min(ready, key=lambda each: each.arrived_s)


class LeastTimeLeft(Crowding):
    """Sends the request with the nearest deadline."""

    def _choose(
        self, ready: list[WaitingRequest], *, usual_s: float, now_s: float
    ) -> WaitingRequest:
        return min(ready, key=lambda each: (each.deadline_s, each.number))


class LastComeFirstServed(Crowding):
    """Sends the request that came last."""

    def _choose(
        self, ready: list[WaitingRequest], *, usual_s: float, now_s: float
    ) -> WaitingRequest:
        return max(ready, key=lambda each: each.arrived_s)


@dataclass(frozen=True, slots=True)
class Policy:
    """A policy under test; ``make_crowding`` is ``None`` if no request waits."""

    name: str
    make_crowding: Callable[[Random], Crowding] | None


PRODUCT = Policy("product", Crowding)
REFUSING = Policy("refuse at once", None)
POLICIES = (
    PRODUCT,
    REFUSING,
    Policy("first come, first served", FirstComeFirstServed),
    Policy("least time left first", LeastTimeLeft),
    Policy("last come, first served", LastComeFirstServed),
)


@dataclass(frozen=True, slots=True)
class Result:
    """Figures of one policy at one load; shares are of all requests that arrived.

    ``timely_share`` were answered within their target latency, ``goodput`` counts late
    answers in part, ``refused_after_s`` is how long the refused ones waited on average.
    """

    load: str
    policy: str
    goodput: float
    timely_share: float
    served_share: float
    urgent_served_share: float
    other_served_share: float
    worst_tenth_share: float
    p99_s: float
    refused_after_s: float
    sheds_per_request: float


class Simulation:
    """Daemons, targets and callers of one service."""

    def __init__(self, load: Load, policy: Policy, *, seed: int = 1) -> None:
        self.load = load
        self.rng = Random(seed)
        # All policies get the same requests.
        self.arrivals = Random(seed)
        self.work_s: dict[int, float] = {}
        self.now_s = 0.0
        self.in_flight: Counter[int] = Counter()
        self.reported: Counter[int] = Counter()
        self.sheds = 0
        self.ended: list[tuple[WaitingRequest, bool, float]] = []
        self.budget = FleetBudget(ratio=0.2, extra=23, window_s=10.0, rng=self.rng)
        self.crowdings = [
            policy.make_crowding(self.rng) if policy.make_crowding else None
            for _ in range(load.daemons)
        ]
        self.typical = [TypicalLatency() for _ in self.crowdings]
        self.slot_ends = [[0.0] * SLOTS for _ in range(load.targets)]
        self.sent_since: list[Counter[int]] = [Counter() for _ in self.crowdings]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that all slots can serve."""
        return self.load.targets * SLOTS / self.load.work_s

    def schedule(self, in_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a time."""
        event = (self.now_s + in_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Run until all requests have ended."""
        self.schedule(0.0, self.arrive)
        self.schedule(0.0, self.report)
        for daemon in range(self.load.daemons):
            self.schedule(self.rng.random() * CHECK_INTERVAL_S, self._checker(daemon))
        while self._events and self.now_s < END_S + self.load.deadline_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def arrive(self) -> None:
        """Let a request arrive, and schedule the next one."""
        is_burst = BURST_S[0] <= self.now_s < BURST_S[1]
        rate_per_s = self.capacity_per_s * self.load.base
        rate_per_s *= self.load.burst if is_burst else 1.0
        if self.now_s < END_S:
            self.schedule(self.arrivals.expovariate(rate_per_s), self.arrive)
        weights = [5.0 if is_burst else 1.0] + [1.0] * (WORKSPACES - 1)
        workspace = self.arrivals.choices(range(WORKSPACES), weights)[0]
        request = WaitingRequest(
            number=next(self._numbers),
            service=SERVICE,
            workspace=str(workspace),
            priority=self.arrivals.choice((0, 1)),
            arrived_s=self.now_s,
            target_latency_s=self.load.target_latency_s,
            deadline_s=self.now_s + self.load.deadline_s,
        )
        self.work_s[request.number] = self.arrivals.expovariate(1 / self.load.work_s)
        self.budget.record_request(SERVICE, now_s=self.now_s)
        daemon = self.arrivals.randrange(self.load.daemons)
        crowding = self.crowdings[daemon]
        if crowding is None:
            self.send(daemon, request, sheds=0)
            return
        crowding.record_use(request.workspace, now_s=self.now_s)
        decision = crowding.decide_arrival(
            request, self.room(daemon), now_s=self.now_s, **self._usual(daemon)
        )
        match decision:
            case SendNow():
                self.send(daemon, request, sheds=0)
            case Wait():
                crowding.hold(request, now_s=self.now_s)
            case _:
                self.end(request, is_served=False)

    def known(self, daemon: int) -> Counter[int]:
        """Return the requests in flight as a daemon knows them."""
        return self.reported + self.sent_since[daemon]

    def room(self, daemon: int) -> ServiceRoom:
        """Return the service's room as a daemon knows it."""
        known = self.known(daemon)
        room = ServiceRoom(slots=0, in_flight=0, places=0)
        for target in range(self.load.targets):
            room = room.with_target(slots=SLOTS, in_flight=known[target], is_near=True)
        return room

    def send(self, daemon: int, request: WaitingRequest, *, sheds: int) -> None:
        """Send a request to the target with the fewest requests of three."""
        known = self.known(daemon)
        sampled = self.rng.sample(range(self.load.targets), 3)
        target = min(sampled, key=lambda each: known[each])
        self.sent_since[daemon][target] += 1
        if self.in_flight[target] >= SLOTS + QUEUE:
            self.sheds += 1
            self.retry(daemon, request, sheds=sheds + 1)
            return
        self.in_flight[target] += 1
        # Slots serve the queue in order: the work begins when one of them is free.
        slot_ends = self.slot_ends[target]
        begin_s = max(self.now_s, heapq.heappop(slot_ends))
        end_s = begin_s + self.work_s[request.number]
        heapq.heappush(slot_ends, end_s)

        sent_s = self.now_s

        def finish() -> None:
            self.in_flight[target] -= 1
            self.typical[daemon].record(self.now_s - sent_s)
            self.end(request, is_served=self.now_s <= request.deadline_s)

        self.schedule(end_s - self.now_s, finish)

    def retry(self, daemon: int, request: WaitingRequest, *, sheds: int) -> None:
        """Send a shed request again if the budget allows it; else refuse it."""
        daemons = self.load.daemons
        if self.budget.try_take(SERVICE, daemons=daemons, now_s=self.now_s):
            self.schedule(0.005, lambda: self.send(daemon, request, sheds=sheds))
            return
        crowding = self.crowdings[daemon]
        if crowding is not None:
            shed = WaitingRequest(**{**asdict(request), "sheds": sheds})
            decision = crowding.decide_shed(
                shed, self._retries(), now_s=self.now_s, **self._usual(daemon)
            )
            if isinstance(decision, Wait):
                crowding.hold(shed, now_s=self.now_s)
                return
        self.end(request, is_served=False)

    def report(self) -> None:
        """Let the daemons learn of each other's requests."""
        self.reported = self.in_flight.copy()
        for sent in self.sent_since:
            sent.clear()
        self.schedule(REPORT_INTERVAL_S, self.report)

    def check(self, daemon: int) -> None:
        """Grant the held requests of a daemon."""
        crowding = self.crowdings[daemon]
        if crowding is None:
            return
        for late in crowding.overdue(
            SERVICE, usual_s=self._usual_s(daemon), now_s=self.now_s
        ):
            crowding.release(late.number)
            self.end(late, is_served=False)
        room = self.room(daemon)
        while True:
            granted = crowding.grant(
                SERVICE,
                room,
                now_s=self.now_s,
                has_retry=self._retries().tokens >= 1,
                **self._usual(daemon),
            )
            if granted is None:
                return
            if granted.sheds and not self.budget.try_take(
                SERVICE, daemons=self.load.daemons, now_s=self.now_s
            ):
                crowding.hold(granted, now_s=self.now_s)
                return
            room = room.with_one_more()
            self.send(daemon, granted, sheds=granted.sheds)

    def end(self, request: WaitingRequest, *, is_served: bool) -> None:
        """Record the end of a request."""
        self.ended.append((request, is_served, self.now_s - request.arrived_s))

    def _checker(self, daemon: int) -> Callable[[], None]:
        def check() -> None:
            self.check(daemon)
            self.schedule(CHECK_INTERVAL_S, check)

        return check

    def _retries(self) -> RetryRoom:
        usage = self.budget.usage(SERVICE, now_s=self.now_s)
        return RetryRoom(
            tokens=usage.allowed - usage.spent,
            next_in_s=self.budget.available_in_s(SERVICE, now_s=self.now_s),
            tokens_per_s=usage.allowed / self.budget.window_s,
        )

    def _usual_s(self, daemon: int) -> float:
        return self.typical[daemon].usual_s(target_latency_s=self.load.target_latency_s)

    def _usual(self, daemon: int) -> dict[str, Any]:
        return {"usual_s": self._usual_s(daemon), "daemons": self.load.daemons}


def measure(load: Load, policy: Policy) -> Result:
    """Play a load under a policy."""
    simulation = Simulation(load, policy)
    simulation.run()
    ended = simulation.ended
    served = [each for each in ended if each[1]]
    latencies_s = sorted(after_s for _, _, after_s in served)
    refused = [after_s for _, is_served, after_s in ended if not is_served]
    by_workspace = sorted(
        _served_share(ended, lambda each, name=str(name): each.workspace == name)
        for name in range(WORKSPACES)
    )
    worst = by_workspace[: WORKSPACES // 10]
    timely = sum(after_s <= load.target_latency_s for after_s in latencies_s)
    late = len(served) - timely
    return Result(
        load=load.name,
        policy=policy.name,
        goodput=(timely + LATE_CREDIT * late) / len(ended),
        timely_share=timely / len(ended),
        served_share=len(served) / len(ended),
        urgent_served_share=_served_share(ended, lambda each: each.priority == 0),
        other_served_share=_served_share(ended, lambda each: each.priority == 1),
        worst_tenth_share=sum(worst) / len(worst),
        p99_s=latencies_s[int(0.99 * len(latencies_s))],
        refused_after_s=sum(refused) / len(refused) if refused else 0.0,
        sheds_per_request=simulation.sheds / len(ended),
    )


def _served_share(
    ended: list[tuple[WaitingRequest, bool, float]],
    is_counted: Callable[[WaitingRequest], bool],
) -> float:
    counted = [is_served for request, is_served, _ in ended if is_counted(request)]
    return sum(counted) / len(counted)


def check(results: list[Result]) -> list[str]:
    """Return the broken bounds of the product."""
    broken = []
    for result in results:
        if result.policy != PRODUCT.name:
            continue
        others = [each for each in results if each.load == result.load]
        goodput = max(each.goodput for each in others)
        if result.goodput < MIN_GOODPUT_RATIO * goodput:
            broken.append(
                f"{result.load}: goodput {result.goodput:.3f}, {goodput:.3f} possible"
            )
        served = max(each.served_share for each in others)
        if result.served_share < MIN_GOODPUT_RATIO * served:
            broken.append(
                f"{result.load}: {result.served_share:.3f} served, "
                f"{served:.3f} possible"
            )
        if result.worst_tenth_share < MIN_WORST_TENTH * result.served_share:
            broken.append(
                f"{result.load}: worst tenth of workspaces "
                f"{result.worst_tenth_share:.3f}"
            )
    return broken


def main() -> int:
    """Play every load under every policy; return the exit status."""
    results = [measure(load, policy) for load in LOADS for policy in POLICIES]
    names = [each.name for each in fields(Result)]
    print("  ".join(names))
    for result in results:
        values = asdict(result).values()
        print(
            "  ".join(
                f"{each:.3f}" if isinstance(each, float) else f"{each:26}"
                for each in values
            )
        )
    broken = check(results)
    RESULTS.parent.mkdir(exist_ok=True)
    document = {"results": [asdict(each) for each in results], "broken_bounds": broken}
    RESULTS.write_text(json.dumps(document, indent=1) + "\n")
    for each in broken:
        print(f"BROKEN: {each}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
