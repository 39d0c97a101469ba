"""False quarantines against crashed targets: ``python -m benchmarks.quarantine``.

A fleet runs a request that crashes every target, re-sent by its caller each
second, among other requests which share the targets. Compared are the product's
quarantine and the common rule "in flight at N crashes on different targets",
also while a data centre's links drop every connection and nothing is wrong with
any request.
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
NEWS_DELAY_S = 0.05
RUN_S = 0.05
RESTART_S = 5.0
REQUESTS_PER_S = 200.0
REPEATED_SHARE = 0.2
"""Share of requests that many callers send alike, such as a look-up."""

ALIKE = 20
RESEND_S = 0.5
LASTING_S = 20.0
TRIALS = 40
POISON = "poison"

MAX_TARGETS_RATIO = 1.5
"""Most targets crashed, against the common rule of two crashes."""

MAX_FALSE_RATIO = 0.5
"""Most false quarantines, against the common rule of two crashes."""


class Rule(Protocol):
    """What the fleet asks of a quarantine; one for each daemon."""

    def crash(self, request: str, target: str, now_s: float) -> None:
        """Take a crash, a peer's included."""

    def success(self, request: str, now_s: float) -> None:
        """Take a success."""

    def admit(self, request: str, now_s: float) -> "frozenset[str] | None":
        """Return the targets to avoid, or ``None`` to refuse."""

    def begin(self, request: str, target: str) -> None:
        """Take the start of a run."""

    def end(self, request: str) -> None:
        """Take the end of a run."""

    def is_quarantined(self, request: str, now_s: float) -> bool:
        """Tell whether a request is in quarantine."""


class Product:
    """The product's quarantine."""

    def __init__(self) -> None:
        self._quarantine = Quarantine()
        self._refused: set[str] = set()
        self._alone: set[str] = set()

    def crash(self, request: str, target: str, now_s: float) -> None:
        """Take a crash."""
        self._quarantine.record_peer_crash("payouts", request, target, now_s)

    def success(self, request: str, now_s: float) -> None:
        """Take a success."""
        self._quarantine.record_success(request, now_s)

    def admit(self, request: str, now_s: float) -> frozenset[str] | None:
        """Ask for admission."""
        for each in self._quarantine.take_unpublished(now_s):
            self._refused.add(each.fingerprint)
        match self._quarantine.check(request, now_s):
            case Refuse():
                return None
            case RunAlone(avoid=avoid):
                self._alone.add(request)
                return avoid
            case _:
                return frozenset()

    def begin(self, request: str, target: str) -> None:
        """Begin a run."""
        if request in self._alone:
            self._quarantine.begin_alone(request, target)

    def end(self, request: str) -> None:
        """End a run."""
        if request in self._alone:
            self._quarantine.end_alone(request)
            self._alone.discard(request)

    def is_quarantined(self, request: str, now_s: float) -> bool:
        """Tell whether a request was ever put in quarantine."""
        self.admit("", now_s)
        return request in self._refused


class CountedCrashes:
    """In flight at N crashes on different targets."""

    def __init__(self, crashes: int) -> None:
        self._crashes = crashes
        self._targets: dict[str, set[str]] = defaultdict(set)

    def crash(self, request: str, target: str, now_s: float) -> None:
        """Count a crash."""
        self._targets[request].add(target)

    def success(self, request: str, now_s: float) -> None:
        """Ignore a success."""

    def admit(self, request: str, now_s: float) -> frozenset[str] | None:
        """Refuse what is in quarantine."""
        if self.is_quarantined(request, now_s):
            return None
        return frozenset()

    def begin(self, request: str, target: str) -> None:
        """Ignore a start."""

    def end(self, request: str) -> None:
        """Ignore an end."""

    def is_quarantined(self, request: str, now_s: float) -> bool:
        """Tell whether the count is reached."""
        return len(self._targets.get(request, ())) >= self._crashes


@dataclass(eq=False, slots=True)
class Run:
    """A request at a target."""

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
        self.crashed = 0
        self.touched: set[str] = set()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._names = itertools.count()

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (time_s, next(self._order), action))

    def play(self) -> None:
        """Play until the end."""
        while self._events and self._events[0][0] < LASTING_S:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def offer(self) -> None:
        """Let requests of all kinds arrive."""
        is_alike = self.rng.random() < REPEATED_SHARE
        number = self.rng.randrange(ALIKE) if is_alike else next(self._names)
        self.send(f"alike-{number}" if is_alike else f"own-{number}")
        self.at(self.now_s + self.rng.expovariate(REQUESTS_PER_S), self.offer)

    def offer_poison(self) -> None:
        """Let the harmful request arrive, again and again."""
        self.send(POISON)
        self.at(self.now_s + 1.0, self.offer_poison)

    def send(self, request: str) -> None:
        """Send through any daemon."""
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
        self.rules[daemon].begin(request, str(run.target))
        self.running.append(run)
        self.at(self.now_s + self.rng.expovariate(1 / RUN_S), lambda: self.finish(run))

    def finish(self, run: Run) -> None:
        """End a run, or crash its target."""
        if run not in self.running:
            return
        if run.request == POISON:
            self.crashed += 1
            self.down_until_s[run.target] = self.now_s + RESTART_S
            self.lose(run.target)
            return
        self.running.remove(run)
        self.rules[run.daemon].end(run.request)
        self.rules[run.daemon].success(run.request, self.now_s)

    def lose(self, target: int) -> None:
        """Break every connection to a target; callers send again later."""
        for run in [each for each in self.running if each.target == target]:
            self.running.remove(run)
            self.rules[run.daemon].end(run.request)
            self.touched.add(run.request)
            self.tell(run)
            if run.request != POISON:
                wait_s = self.rng.uniform(0, RESEND_S)
                self.at(self.now_s + wait_s, lambda name=run.request: self.send(name))

    def tell(self, run: Run) -> None:
        """Tell the run's daemon at once and the others later."""
        target = str(run.target)
        for index, rule in enumerate(self.rules):
            delay_s = 0.0 if index == run.daemon else NEWS_DELAY_S
            self.at(
                self.now_s + delay_s,
                lambda rule=rule: rule.crash(run.request, target, self.now_s),
            )

    def cut_links(self) -> None:
        """Break every connection to a third of the targets, twice a second."""
        for target in range(TARGETS // 3):
            self.lose(target)
        if self.now_s < LASTING_S / 2:
            self.at(self.now_s + 0.5, self.cut_links)

    def false_quarantines(self) -> int:
        """Count harmless requests that any daemon put in quarantine."""
        return sum(
            any(rule.is_quarantined(name, self.now_s) for rule in self.rules)
            for name in self.touched - {POISON}
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
    "product": Product,
    "in flight at 2 crashes": lambda: CountedCrashes(2),
    "in flight at 3 crashes": lambda: CountedCrashes(3),
    "in flight at 4 crashes": lambda: CountedCrashes(4),
}


def measure(rule: str, trouble: str) -> QuarantineResult:
    """Play the trials of one rule under one trouble."""
    crashed = false = lost = 0
    for seed in range(TRIALS):
        fleet = Fleet(RULES[rule], seed)
        fleet.at(0.0, fleet.offer)
        start = fleet.offer_poison if trouble == POISON else fleet.cut_links
        fleet.at(1.0, start)
        fleet.play()
        crashed += fleet.crashed
        false += fleet.false_quarantines()
        lost += len(fleet.touched - {POISON})
    return QuarantineResult(
        rule, trouble, crashed / TRIALS, false / TRIALS, lost / TRIALS
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
    own = found[POISON, "product"]
    common = found[POISON, "in flight at 2 crashes"]
    broken = []
    if own.targets_crashed > MAX_TARGETS_RATIO * common.targets_crashed:
        broken.append(f"{own.targets_crashed:.2f} targets crashed")
    for trouble in (POISON, "links cut"):
        own = found[trouble, "product"]
        common = found[trouble, "in flight at 2 crashes"]
        if own.false_quarantines > MAX_FALSE_RATIO * common.false_quarantines:
            broken.append(f"{trouble}: {own.false_quarantines:.2f} false quarantines")
    return broken


if __name__ == "__main__":
    sys.exit(main())
