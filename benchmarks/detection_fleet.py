"""Simulates a fleet's detectors and one service's requests on a virtual clock."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from benchmarks.detection_faults import (
    BAD_TARGET,
    POISON_FINGERPRINT,
    WORKSPACES,
    Attempt,
    Fault,
    NoFault,
    Poison,
    answers_probe,
    is_failing,
    simulate_answer,
)
from benchmarks.detection_rules import Detector
from dogwoodhook.state.health import TargetPhase
from dogwoodhook.state.outcomes import Observation, TargetEvidence

DATA_CENTRES = 3
MIN_REPORT_INTERVAL_S = 0.1
MAX_REPORT_INTERVAL_S = 0.2
PROBE_S = 0.025


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Size and traffic of one service."""

    daemons: int
    targets: int
    requests_per_target_s: float
    link_ms: float
    warm_up_s: float
    duration_s: float
    seed: int


@dataclass(slots=True)
class Suspicion:
    """A period in which at least one daemon avoided a target."""

    target: str
    started_at_s: float
    was_ejectable: bool = False


@dataclass(slots=True)
class FleetResult:
    """Results of one run; times are in seconds after the fault's onset.

    ``last_work_s`` is the last time at which the bad target received work from a
    daemon that had not yet detected the fault. ``later_attempts`` counts the attempts
    sent by daemons that had.
    """

    first_failure_s: float | None = None
    last_work_s: float | None = None
    avoided_by_all_s: float | None = None
    attempts: int = 0
    later_attempts: int = 0
    messages: int = 0
    false_suspicions: list[Suspicion] = field(default_factory=list)

    @property
    def detection_s(self) -> float | None:
        """Return the time from the first failing answer to ``last_work_s``."""
        if self.avoided_by_all_s is None:
            return None
        if self.last_work_s is None or self.first_failure_s is None:
            return 0.0
        return max(0.0, self.last_work_s - self.first_failure_s)


class Fleet:
    """Daemons that forward one service's requests and exchange evidence."""

    def __init__(
        self,
        settings: FleetSettings,
        fault: Fault,
        make_detector: Callable[[Sequence[str]], Detector],
    ) -> None:
        self._settings = settings
        self._fault = fault
        self._rng = random.Random(settings.seed)
        self._targets = tuple(f"target-{index}" for index in range(settings.targets))
        self._indices = range(settings.targets)
        self._detectors = [
            make_detector(self._targets) for _ in range(settings.daemons)
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._now_s = 0.0
        self._weights = [
            self._cumulative_weights(daemon) for daemon in range(settings.daemons)
        ]
        self._suspecting_daemons: dict[str, set[int]] = {
            each: set() for each in self._targets
        }
        self._detected_by: set[int] = set()
        self._false_suspicions: dict[str, Suspicion] = {}
        self._probing: set[tuple[int, str]] = set()
        self.result = FleetResult()

    def run(self, *, stops_when_detected: bool = False) -> FleetResult:
        """Run to the end, or until all daemons avoid the bad target."""
        settings = self._settings
        for daemon in range(settings.daemons):
            self._schedule(
                self._rng.uniform(0, MAX_REPORT_INTERVAL_S), self._tick, daemon
            )
        self._schedule(0.0, self._next_request)
        if isinstance(self._fault, Poison):
            self._schedule(settings.warm_up_s, self._send_poison)
        end_s = settings.warm_up_s + settings.duration_s
        while self._events and self._events[0][0] < end_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
            if stops_when_detected and self.result.avoided_by_all_s is not None:
                break
        return self.result

    def _schedule(
        self, time_s: float, function: Callable[..., None], *values: object
    ) -> None:
        number = next(self._event_numbers)
        heapq.heappush(self._events, (time_s, number, lambda: function(*values)))

    def _elapsed_s(self) -> float:
        return self._now_s - self._settings.warm_up_s

    def _current_fault(self) -> Fault:
        return self._fault if self._elapsed_s() >= 0 else NoFault()

    def _next_request(self) -> None:
        rate = self._settings.requests_per_target_s * len(self._targets)
        self._schedule(self._now_s + self._rng.expovariate(rate), self._next_request)
        self._send(self._rng.getrandbits(60) + 2)

    def _send_poison(self) -> None:
        assert isinstance(self._fault, Poison)
        self._schedule(self._now_s + self._fault.interval_s, self._send_poison)
        self._send(POISON_FINGERPRINT)

    def _send(self, fingerprint: int) -> None:
        rng = self._rng
        daemon = rng.randrange(self._settings.daemons)
        index = rng.choices(self._indices, cum_weights=self._weights[daemon])[0]
        target = self._targets[index]
        attempt = Attempt(
            target=target,
            sent_at_s=self._now_s,
            fingerprint=fingerprint,
            workspace=rng.randrange(WORKSPACES),
            is_remote=index % DATA_CENTRES != daemon % DATA_CENTRES,
        )
        fault = self._current_fault()
        latency_ms, outcome = simulate_answer(fault, attempt, self._elapsed_s(), rng)
        self._count_work(daemon, target)
        arrival_s = self._now_s + latency_ms / 1000
        self._schedule(arrival_s, self._receive, daemon, target, outcome)

    def _count_work(self, daemon: int, target: str) -> None:
        if not is_failing(self._current_fault(), target, self._elapsed_s()):
            return
        self.result.attempts += 1
        if daemon not in self._detected_by:
            self.result.last_work_s = self._elapsed_s()
            return
        self.result.later_attempts += 1

    def _receive(self, daemon: int, target: str, outcome: Observation) -> None:
        is_bad = is_failing(self._current_fault(), target, self._elapsed_s())
        if is_bad and self.result.first_failure_s is None:
            self.result.first_failure_s = self._elapsed_s()
        self._detectors[daemon].observe(target, outcome, self._now_s)
        self._refresh(daemon)

    def _tick(self, daemon: int) -> None:
        interval_s = self._rng.uniform(MIN_REPORT_INTERVAL_S, MAX_REPORT_INTERVAL_S)
        self._schedule(self._now_s + interval_s, self._tick, daemon)
        evidence = self._detectors[daemon].take_evidence()
        if evidence:
            arrival_s = self._now_s + self._settings.link_ms / 1000
            self._schedule(arrival_s, self._deliver, daemon, evidence)
        self._refresh(daemon)

    def _deliver(self, reporter: int, evidence: tuple[TargetEvidence, ...]) -> None:
        for daemon, detector in enumerate(self._detectors):
            if daemon == reporter:
                continue
            self.result.messages += 1
            for each in evidence:
                detector.merge_evidence(each, str(reporter), self._now_s)
            self._refresh(daemon)

    def _refresh(self, daemon: int) -> None:
        detector = self._detectors[daemon]
        if not detector.refresh(self._now_s):
            return
        self._weights[daemon] = self._cumulative_weights(daemon)
        for target in self._targets:
            if detector.is_probe_due(target, self._now_s):
                self._start_probe(daemon, target)
            self._record_phase(daemon, target, detector)

    def _record_phase(self, daemon: int, target: str, detector: Detector) -> None:
        suspecting_daemons = self._suspecting_daemons[target]
        if detector.phase(target, self._now_s) is TargetPhase.HEALTHY:
            suspecting_daemons.discard(daemon)
            return
        if target == BAD_TARGET and is_failing(self._current_fault(), target, 0.0):
            self._record_detection(daemon)
            return
        if not suspecting_daemons:
            suspicion = Suspicion(target, self._elapsed_s())
            self._false_suspicions[target] = suspicion
            self.result.false_suspicions.append(suspicion)
        suspecting_daemons.add(daemon)
        if detector.failure_reporters(target, self._now_s) > 1:
            self._false_suspicions[target].was_ejectable = True

    def _record_detection(self, daemon: int) -> None:
        self._detected_by.add(daemon)
        if len(self._detected_by) < self._settings.daemons:
            return
        if self.result.avoided_by_all_s is None:
            self.result.avoided_by_all_s = self._elapsed_s()

    def _start_probe(self, daemon: int, target: str) -> None:
        if (daemon, target) in self._probing:
            return
        self._probing.add((daemon, target))
        self._schedule(self._now_s + PROBE_S, self._end_probe, daemon, target)

    def _end_probe(self, daemon: int, target: str) -> None:
        self._probing.discard((daemon, target))
        is_good = answers_probe(self._current_fault(), target, self._elapsed_s())
        self._detectors[daemon].observe_probe(target, is_good, self._now_s)
        self._refresh(daemon)

    def _cumulative_weights(self, daemon: int) -> list[float]:
        detector = self._detectors[daemon]
        weights = [detector.weight(each, self._now_s) for each in self._targets]
        if not any(weights):
            weights = [1.0] * len(weights)
        return list(itertools.accumulate(weights))
