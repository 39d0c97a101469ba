"""A data centre's daemons and one service's targets, with news of a given age.

The product's placement chooses the targets. Reports of requests in flight are limited
in rate as ``coordination.load_sharing`` does it, and arrive after a delay.
"""

import heapq
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, fields, replace
from typing import Protocol

from dogwoodhook.coordination.load_sharing import START_INTERVAL_S_PER_NEIGHBOUR
from dogwoodhook.state.fleet_load import FleetLoad
from dogwoodhook.state.load_estimate import LoadEstimator, NewsAge
from dogwoodhook.state.placement import Candidate, Placement
from dogwoodhook.state.report_tree import MAX_DIRECT_NEIGHBOURS
from dogwoodhook.state.suspicion import Suspicion, Symptom
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.state.typical_latency import TypicalLatency

WINDOW_S = 0.1
"""Length of the windows in which the load of each target is measured."""

IDLE_S = 9.0
"""Time for which a connection is used again."""

QUEUE_SLOTS = 4
"""Length of a target's own queue, as a multiple of its slots."""

MAX_SHEDS = 8
"""Targets that may refuse a request before it is given up."""

LONG_WORK_SHARE = 0.03
LONG_WORK_FACTOR = 7.0
WORK_SPREAD = 0.5
"""Spread of the work's logarithm, and the share of requests that take much longer."""

_ENTRY = TargetEntry("t", "proofs", "10.0.0.1", 80, "oulu-1", 4, False, 0.0, 1)


@dataclass(frozen=True, slots=True)
class Layout:
    """A data centre's part of a fleet, its load, and the age of its news.

    ``load`` is the share of the targets' slots that the offered work would fill.
    """

    daemons: int
    targets: int
    slots: int
    work_s: float
    load: float
    age_s: float
    loss: float = 0.0


class Chooser(Protocol):
    """What the model asks of a placement; see ``Placement``."""

    def choose(
        self,
        targets: Sequence[TargetEntry],
        *,
        tried: frozenset[str],
        is_idempotent: bool,
        now_s: float,
    ) -> Candidate | None:
        """Return the best target that was not tried yet, or ``None``."""

    def start(self, target: TargetEntry, *, now_s: float) -> None:
        """Count a request sent to a target."""

    def finish(self, target: TargetEntry) -> None:
        """Count the end of a request sent to a target."""


@dataclass(slots=True)
class Daemon:
    """One daemon's view: its counts, its idle connections and its placement."""

    number: int
    layout: Layout
    rng: random.Random
    load: FleetLoad = field(default_factory=FleetLoad)
    news_age: NewsAge = field(default_factory=NewsAge)
    latency: TypicalLatency = field(default_factory=TypicalLatency)
    idle: dict[str, list[float]] = field(default_factory=dict)
    reported_s: float = -math.inf
    is_report_due: bool = False
    now_s: float = 0.0
    suspicion: Suspicion = field(init=False)

    def __post_init__(self) -> None:
        self.suspicion = Suspicion(daemon=f"vm-{self.number}", rng=self.rng)

    def has_idle_connection(self, target: TargetEntry) -> bool:
        """Return whether an idle connection to a target is young enough."""
        return any(
            self.now_s - at_s < IDLE_S for at_s in self.idle.get(target.name, ())
        )

    def take_connection(self, target: TargetEntry) -> bool:
        """Use an idle connection; return whether a new one had to be opened."""
        idle = self.idle.setdefault(target.name, [])
        idle[:] = [at_s for at_s in idle if self.now_s - at_s < IDLE_S]
        if not idle:
            return True
        idle.pop()
        return False

    def make_placement(
        self,
        placement_class: type[Placement] = Placement,
        *,
        estimator_class: type[LoadEstimator] = LoadEstimator,
        corrects_counts: bool = True,
    ) -> Placement:
        """Return a placement over this daemon's view."""
        estimator = estimator_class(
            self.load,
            news_age_s=self.news_age.median_s,
            work_s=lambda service: self.latency.median_s,
        )
        return placement_class(
            self.suspicion,
            self.load,
            data_centre=_ENTRY.data_centre,
            rng=self.rng,
            has_idle_connection=self.has_idle_connection,
            has_joined_recently=lambda name, now_s: False,
            estimator=estimator if corrects_counts else None,
        )


@dataclass(slots=True)
class Measured:
    """What a run showed; loads are requests at a target for each of its slots."""

    requests: int = 0
    sheds: int = 0
    given_up: int = 0
    new_connections: int = 0
    waited_beside_free_slots: int = 0
    waits_s: list[float] = field(default_factory=list)
    largest: list[float] = field(default_factory=list)
    smallest: list[float] = field(default_factory=list)
    reports: int = 0

    def add(self, other: "Measured") -> None:
        """Add the figures of another run."""
        for each in fields(self):
            total = getattr(self, each.name) + getattr(other, each.name)
            setattr(self, each.name, total)

    def summary(self) -> dict[str, float]:
        """Return the means and the tail of the waits."""
        waits = sorted(self.waits_s)
        return {
            "largest_load": round(_mean(self.largest), 3),
            "smallest_load": round(_mean(self.smallest), 3),
            "sheds_per_request": round(self.sheds / self.requests, 4),
            "given_up": round(self.given_up / self.requests, 4),
            "waited_beside_free_slots": round(
                self.waited_beside_free_slots / self.requests, 4
            ),
            "mean_wait_ms": round(1000 * _mean(waits), 1),
            "p99_wait_ms": round(1000 * waits[int(0.99 * len(waits))], 1),
            "new_connections_per_request": round(
                self.new_connections / self.requests, 3
            ),
        }


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


@dataclass(frozen=True, slots=True)
class _Request:
    daemon: int
    arrived_s: float
    work_s: float


@dataclass(slots=True)
class _Target:
    entry: TargetEntry
    running: int = 0
    queue: list[_Request] = field(default_factory=list)
    area: float = 0.0
    changed_s: float = 0.0

    @property
    def requests(self) -> int:
        return self.running + len(self.queue)

    def advance(self, now_s: float) -> None:
        self.area += self.requests * (now_s - self.changed_s)
        self.changed_s = now_s


class EvenLoadFleet:
    """Plays a layout with one way of choosing, in virtual time."""

    def __init__(
        self,
        layout: Layout,
        make_chooser: Callable[[Daemon], Chooser],
        *,
        seed: int,
        slow_targets: int = 0,
        slow_factor: float = 5.0,
    ) -> None:
        self._layout = layout
        # Apart from the choices' source, so that all ways of choosing meet the same
        # requests.
        self._demand = random.Random(seed)
        self._rng = random.Random(seed)
        self.now_s = 0.0
        self.measured = Measured()
        self._slow_targets = slow_targets
        self._slow_factor = slow_factor
        self._targets = {
            f"t{number}": _Target(
                replace(_ENTRY, name=f"t{number}", slots=layout.slots)
            )
            for number in range(layout.targets)
        }
        self._entries = [each.entry for each in self._targets.values()]
        self._daemons = [
            Daemon(number, layout, self._rng) for number in range(layout.daemons)
        ]
        self._choosers = [make_chooser(each) for each in self._daemons]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_number = 0
        mean_work_s = layout.work_s * (1 + LONG_WORK_SHARE * (LONG_WORK_FACTOR - 1))
        self._rate = layout.load * layout.slots * layout.targets / mean_work_s
        self._report_interval_s = START_INTERVAL_S_PER_NEIGHBOUR * min(
            layout.daemons - 1, MAX_DIRECT_NEIGHBOURS
        )

    def play(self, *, warm_up_s: float, measured_s: float) -> Measured:
        """Play the layout, and return what was measured after the warm-up."""
        self._at(0.0, self._arrive)
        self._at(WINDOW_S, self._end_window)
        is_warm = False
        while self._events:
            self.now_s, _, event = heapq.heappop(self._events)
            if not is_warm and self.now_s >= warm_up_s:
                is_warm, self.measured = True, Measured()
            if self.now_s >= warm_up_s + measured_s:
                break
            event()
        return self.measured

    def _at(self, at_s: float, event: Callable[[], None]) -> None:
        self._event_number += 1
        heapq.heappush(self._events, (at_s, self._event_number, event))

    def _end_window(self) -> None:
        loads = []
        for target in self._targets.values():
            target.advance(self.now_s)
            loads.append(target.area / WINDOW_S / target.entry.slots)
            target.area = 0.0
        self.measured.largest.append(max(loads))
        self.measured.smallest.append(min(loads))
        self._at(self.now_s + WINDOW_S, self._end_window)

    def _arrive(self) -> None:
        self._at(self.now_s + self._demand.expovariate(self._rate), self._arrive)
        self.measured.requests += 1
        number = self._demand.randrange(len(self._daemons))
        self._send(_Request(number, self.now_s, self._draw_work_s()))

    def _draw_work_s(self) -> float:
        work_s = self._layout.work_s * self._demand.lognormvariate(
            -(WORK_SPREAD**2) / 2, WORK_SPREAD
        )
        is_long = self._demand.random() < LONG_WORK_SHARE
        return work_s * LONG_WORK_FACTOR if is_long else work_s

    def _send(self, request: _Request, tried: frozenset[str] = frozenset()) -> None:
        daemon = self._daemons[request.daemon]
        chooser = self._choosers[request.daemon]
        daemon.now_s = self.now_s
        candidate = chooser.choose(
            self._entries, tried=tried, is_idempotent=True, now_s=self.now_s
        )
        if candidate is None or len(tried) > MAX_SHEDS:
            self.measured.given_up += 1
            return
        target = self._targets[candidate.target.name]
        self.measured.new_connections += daemon.take_connection(target.entry)
        slots = target.entry.slots
        if target.requests >= (1 + QUEUE_SLOTS) * slots:
            self.measured.sheds += 1
            daemon.suspicion.record_failure(
                target.entry.name, Symptom.BUSY, now_s=self.now_s
            )
            self._send(request, tried | {target.entry.name})
            return
        chooser.start(target.entry, now_s=self.now_s)
        self._report(request.daemon)
        target.advance(self.now_s)
        if target.running < slots:
            self._run(target, request)
            return
        self.measured.waited_beside_free_slots += any(
            each.running < each.entry.slots for each in self._targets.values()
        )
        target.queue.append(request)

    def _run(self, target: _Target, request: _Request) -> None:
        target.running += 1
        self.measured.waits_s.append(self.now_s - request.arrived_s)
        work_s = request.work_s
        if int(target.entry.name[1:]) < self._slow_targets:
            work_s *= self._slow_factor
        self._at(self.now_s + work_s, lambda: self._end(target, request))

    def _end(self, target: _Target, request: _Request) -> None:
        target.advance(self.now_s)
        target.running -= 1
        daemon = self._daemons[request.daemon]
        daemon.latency.record(self.now_s - request.arrived_s)
        daemon.idle.setdefault(target.entry.name, []).append(self.now_s)
        self._choosers[request.daemon].finish(target.entry)
        self._report(request.daemon)
        if target.queue:
            self._run(target, target.queue.pop(0))

    def _report(self, number: int) -> None:
        daemon = self._daemons[number]
        if daemon.is_report_due:
            return
        daemon.is_report_due = True
        due_s = max(self.now_s, daemon.reported_s + self._report_interval_s)
        self._at(due_s, lambda: self._send_report(daemon))

    def _send_report(self, daemon: Daemon) -> None:
        daemon.is_report_due = False
        daemon.reported_s = self.now_s
        self.measured.reports += 1
        in_flight = daemon.load.own()
        daemon.news_age.record_sent(in_flight, now_s=self.now_s)
        age_s = self._layout.age_s * self._rng.uniform(0.5, 1.5)
        self._at(self.now_s + age_s, lambda: self._receive(daemon, in_flight))

    def _receive(self, sender: Daemon, in_flight: dict[str, int]) -> None:
        for each in self._daemons:
            if each is sender:
                each.news_age.record_echo(in_flight, now_s=self.now_s)
                continue
            if self._layout.loss and self._rng.random() < self._layout.loss:
                continue
            each.load.record_report(f"vm-{sender.number}", in_flight, now_s=self.now_s)
