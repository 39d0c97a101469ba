"""Measures false quarantines and crashed targets in a simulated fleet.

Run it with ``python -m benchmarks.quarantine``. It compares the product's quarantine
with the common rule "in flight at N crashes on different targets" under two faults.
In the first, a caller resends a request that crashes every target once a second,
among other requests that share the targets. In the second, a data centre's links
drop every connection, and no request is harmful.
"""

import heapq
import itertools
import json
import sys
from collections import defaultdict
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import Protocol

from dogwoodhook.state.quarantine import Quarantine, Refuse, RunAlone

RESULTS = Path(__file__).parent / "results" / "quarantine.json"
DAEMONS = 44
TARGETS = 6
REPORT_DELAY_S = 0.05
MEAN_RUN_S = 0.05
RESTART_S = 5.0
REQUESTS_PER_S = 200.0
REPEATED_SHARE = 0.2
"""Share of requests that many callers send with the same content, such as look-ups."""

REPEATED_REQUESTS = 20
"""Number of different requests among the repeated ones."""

MAX_RESEND_DELAY_S = 0.5
DURATION_S = 20.0
TRIALS = 40
POISON = "poison"

MAX_CRASHED_TARGETS_RATIO = 1.5
"""Largest ratio of crashed targets to those under the common rule of two crashes."""

MAX_FALSE_QUARANTINES_RATIO = 0.5
"""Largest ratio of false quarantines to those under the rule of two crashes."""


class Rule(Protocol):
    """Interface of a quarantine; each daemon of the fleet has one."""

    def observe_crash(self, request: str, target: str, now_s: float) -> None:
        """Record a crash that this daemon saw or that a peer reported."""

    def observe_success(self, request: str, now_s: float) -> None:
        """Record a success."""

    def admit(self, request: str, now_s: float) -> "frozenset[str] | None":
        """Return the targets to avoid, or ``None`` if the request is refused."""

    def begin_run(self, request: str, target: str) -> None:
        """Record the start of a run."""

    def end_run(self, request: str) -> None:
        """Record the end of a run."""

    def is_quarantined(self, request: str, now_s: float) -> bool:
        """Return whether a request is in quarantine."""


class ProductRule:
    """The product's quarantine."""

    def __init__(self) -> None:
        self._quarantine = Quarantine()
        self._quarantined: set[str] = set()
        self._running_alone: set[str] = set()

    def observe_crash(self, request: str, target: str, now_s: float) -> None:
        """Record a crash."""
        self._quarantine.record_peer_crash("payouts", request, target, now_s)

    def observe_success(self, request: str, now_s: float) -> None:
        """Record a success."""
        self._quarantine.record_success(request, now_s)

    def admit(self, request: str, now_s: float) -> frozenset[str] | None:
        """Return the targets to avoid, or ``None`` if the request is refused."""
        for each in self._quarantine.take_unpublished(now_s):
            self._quarantined.add(each.fingerprint)
        match self._quarantine.check(request, now_s):
            case Refuse():
                return None
            case RunAlone(avoid=avoid):
                self._running_alone.add(request)
                return avoid
            case _:
                return frozenset()

    def begin_run(self, request: str, target: str) -> None:
        """Record the start of a run that must run alone."""
        if request in self._running_alone:
            self._quarantine.begin_alone(request, target)

    def end_run(self, request: str) -> None:
        """Record the end of a run that must run alone."""
        if request in self._running_alone:
            self._quarantine.end_alone(request)
            self._running_alone.discard(request)

    def is_quarantined(self, request: str, now_s: float) -> bool:
        """Return whether a request was ever put in quarantine."""
        self.admit("", now_s)
        return request in self._quarantined


class CrashCountRule:
    """The common rule: in flight at N crashes on different targets."""

    def __init__(self, crashes: int) -> None:
        self._crashes = crashes
        self._targets: dict[str, set[str]] = defaultdict(set)

    def observe_crash(self, request: str, target: str, now_s: float) -> None:
        """Count a crash."""
        self._targets[request].add(target)

    def observe_success(self, request: str, now_s: float) -> None:
        """Ignore a success."""

    def admit(self, request: str, now_s: float) -> frozenset[str] | None:
        """Refuse a request that is in quarantine."""
        if self.is_quarantined(request, now_s):
            return None
        return frozenset()

    def begin_run(self, request: str, target: str) -> None:
        """Ignore the start of a run."""

    def end_run(self, request: str) -> None:
        """Ignore the end of a run."""

    def is_quarantined(self, request: str, now_s: float) -> bool:
        """Return whether the number of crashes is reached."""
        return len(self._targets.get(request, ())) >= self._crashes


@dataclass(eq=False, slots=True)
class Run:
    """One request that runs at one target."""

    request: str
    daemon: int
    target: int


class Fleet:
    """Daemons with a rule each, and targets that crash or lose connections."""

    def __init__(self, make_rule: Callable[[], Rule], seed: int) -> None:
        self.rng = Random(seed)
        self.rules = [make_rule() for _ in range(DAEMONS)]
        self.now_s = 0.0
        self.running: list[Run] = []
        self.down_until_s = [0.0] * TARGETS
        self.crash_count = 0
        self.interrupted: set[str] = set()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._request_numbers = itertools.count()

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time of the virtual clock."""
        heapq.heappush(self._events, (time_s, next(self._event_numbers), action))

    def simulate(self) -> None:
        """Run the scheduled actions up to ``DURATION_S``."""
        while self._events and self._events[0][0] < DURATION_S:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def offer(self) -> None:
        """Send one harmless request and schedule the next."""
        is_repeated = self.rng.random() < REPEATED_SHARE
        number = (
            self.rng.randrange(REPEATED_REQUESTS)
            if is_repeated
            else next(self._request_numbers)
        )
        self.send(f"alike-{number}" if is_repeated else f"own-{number}")
        self.schedule(self.now_s + self.rng.expovariate(REQUESTS_PER_S), self.offer)

    def offer_poison(self) -> None:
        """Send the harmful request and schedule its next arrival."""
        self.send(POISON)
        self.schedule(self.now_s + 1.0, self.offer_poison)

    def send(self, request: str) -> None:
        """Send a request through a random daemon to a random usable target."""
        daemon = self.rng.randrange(DAEMONS)
        avoided = self.rules[daemon].admit(request, self.now_s)
        if avoided is None:
            return
        free = [
            target
            for target in range(TARGETS)
            if self.down_until_s[target] <= self.now_s and str(target) not in avoided
        ]
        if not free:
            return
        run = Run(request, daemon, self.rng.choice(free))
        self.rules[daemon].begin_run(request, str(run.target))
        self.running.append(run)
        self.schedule(
            self.now_s + self.rng.expovariate(1 / MEAN_RUN_S), lambda: self.finish(run)
        )

    def finish(self, run: Run) -> None:
        """End a run, or crash its target."""
        if run not in self.running:
            return
        if run.request == POISON:
            self.crash_count += 1
            self.down_until_s[run.target] = self.now_s + RESTART_S
            self.break_connections(run.target)
            return
        self.running.remove(run)
        self.rules[run.daemon].end_run(run.request)
        self.rules[run.daemon].observe_success(run.request, self.now_s)

    def break_connections(self, target: int) -> None:
        """Break every connection to a target; callers resend after a random delay."""
        for run in [each for each in self.running if each.target == target]:
            self.running.remove(run)
            self.rules[run.daemon].end_run(run.request)
            self.interrupted.add(run.request)
            self.report_crash(run)
            if run.request != POISON:
                wait_s = self.rng.uniform(0, MAX_RESEND_DELAY_S)
                self.schedule(
                    self.now_s + wait_s, lambda name=run.request: self.send(name)
                )

    def report_crash(self, run: Run) -> None:
        """Report a crash to the run's daemon at once and to the others later."""
        target = str(run.target)
        for index, rule in enumerate(self.rules):
            delay_s = 0.0 if index == run.daemon else REPORT_DELAY_S
            self.schedule(
                self.now_s + delay_s,
                lambda rule=rule: rule.observe_crash(run.request, target, self.now_s),
            )

    def cut_links(self) -> None:
        """Break every connection to a third of the targets; repeat twice a second."""
        for target in range(TARGETS // 3):
            self.break_connections(target)
        if self.now_s < DURATION_S / 2:
            self.schedule(self.now_s + 0.5, self.cut_links)

    def false_quarantines(self) -> int:
        """Count harmless requests that any daemon put in quarantine."""
        return sum(
            any(rule.is_quarantined(name, self.now_s) for rule in self.rules)
            for name in self.interrupted - {POISON}
        )


@dataclass(frozen=True, slots=True)
class QuarantineResult:
    """Means over the trials."""

    rule: str
    trouble: str
    targets_crashed: float
    false_quarantines: float
    requests_lost: float


RULES: dict[str, Callable[[], Rule]] = {
    "product": ProductRule,
    "in flight at 2 crashes": lambda: CrashCountRule(2),
    "in flight at 3 crashes": lambda: CrashCountRule(3),
    "in flight at 4 crashes": lambda: CrashCountRule(4),
}


def measure(rule: str, trouble: str) -> QuarantineResult:
    """Run the trials of one rule under one fault."""
    crash_count = false = lost = 0
    for seed in range(TRIALS):
        fleet = Fleet(RULES[rule], seed)
        fleet.schedule(0.0, fleet.offer)
        start = fleet.offer_poison if trouble == POISON else fleet.cut_links
        fleet.schedule(1.0, start)
        fleet.simulate()
        crash_count += fleet.crash_count
        false += fleet.false_quarantines()
        lost += len(fleet.interrupted - {POISON})
    return QuarantineResult(
        rule, trouble, crash_count / TRIALS, false / TRIALS, lost / TRIALS
    )


def main() -> int:
    """Run every rule; return the exit status."""
    results = [
        measure(rule, trouble) for trouble in (POISON, "links cut") for rule in RULES
    ]
    for each in results:
        print(
            f"{each.trouble:10} {each.rule:24} "
            f"targets crashed {each.targets_crashed:6.2f}  "
            f"false quarantines {each.false_quarantines:6.2f} "
            f"of {each.requests_lost:6.1f} requests lost"
        )
    broken = check(results)
    RESULTS.parent.mkdir(exist_ok=True)
    document = {"results": [asdict(each) for each in results], "broken_bounds": broken}
    RESULTS.write_text(json.dumps(document, indent=1) + "\n")
    for line in broken:
        print(f"BROKEN: {line}")
    return 1 if broken else 0


def check(results: list[QuarantineResult]) -> list[str]:
    """Compare the product with the common rule of two crashes."""
    found = {(each.trouble, each.rule): each for each in results}
    product = found[POISON, "product"]
    common = found[POISON, "in flight at 2 crashes"]
    broken = []
    if product.targets_crashed > MAX_CRASHED_TARGETS_RATIO * common.targets_crashed:
        broken.append(f"{product.targets_crashed:.2f} targets crashed")
    for trouble in (POISON, "links cut"):
        product = found[trouble, "product"]
        common = found[trouble, "in flight at 2 crashes"]
        if (
            product.false_quarantines
            > MAX_FALSE_QUARANTINES_RATIO * common.false_quarantines
        ):
            broken.append(
                f"{trouble}: {product.false_quarantines:.2f} false quarantines"
            )
    return broken


if __name__ == "__main__":
    sys.exit(main())
