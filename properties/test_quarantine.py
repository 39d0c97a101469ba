"""Checks how many targets a request can crash before the fleet refuses it.

A small fleet with delayed messages runs requests one of which crashes every
target that runs it. Once enough targets have crashed and the reports of the crashes
have had time to arrive, no daemon sends the request again.
"""

import heapq
import itertools
import math
from collections import defaultdict
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.quarantine import QuarantineManager
from dogwoodhook.state.quarantine import (
    CRASHES_UNTIL_QUARANTINE,
    CRASHES_WHEN_AMBIGUOUS,
    DECISION_DELAY_S,
    QUARANTINE_S,
    Quarantine,
    Refuse,
    RunAlone,
)
from dogwoodhook.testing.memory_platform import MemoryPlatform

POISON = "poison"
MAX_DELAY_S = 0.4
RUN_S = 0.2
TARGETS = [f"t{index}" for index in range(8)]
SECOND_CRASH = CRASHES_UNTIL_QUARANTINE
THIRD_CRASH = CRASHES_WHEN_AMBIGUOUS


@dataclass(frozen=True)
class Send:
    gap_s: float
    daemon: int
    request: str
    target: int


@dataclass(eq=False)
class Run:
    request: str
    daemon: int
    target: str
    started_s: float
    is_alone: bool


@dataclass
class Fleet:
    """Daemons whose messages take up to ``MAX_DELAY_S``, in any order."""

    daemons: int
    delays: list[float]
    clock: ManualClock = field(default_factory=ManualClock)
    events: list = field(default_factory=list)
    running: list[Run] = field(default_factory=list)
    poison_starts_s: list[float] = field(default_factory=list)
    crashes: list[tuple[float, str]] = field(default_factory=list)
    crashed_under: dict = field(default_factory=lambda: defaultdict(set))
    refused: set[str] = field(default_factory=set)

    def __post_init__(self):
        self.order = itertools.count()
        self.delay = itertools.cycle(self.delays)
        self.managers = [
            QuarantineManager(
                MemoryPlatform(),
                self.clock,
                Quarantine(),
                broadcast=lambda message, sender=index: self.broadcast(sender, message),
            )
            for index in range(self.daemons)
        ]

    def schedule(self, time_s, action):
        heapq.heappush(self.events, (time_s, next(self.order), action))

    def broadcast(self, sender, message):
        for index, manager in enumerate(self.managers):
            if index != sender:
                time_s = self.clock.now_s() + next(self.delay)
                self.schedule(time_s, lambda manager=manager: manager.receive(message))

    def play(self, sends):
        time_s = 0.0
        for send in sends:
            time_s += send.gap_s
            self.schedule(time_s, lambda send=send: self.send(send))
        for tick_s in range(math.ceil(time_s)):
            self.schedule(float(tick_s), self.evaluate_all_managers)
        while self.events:
            self.clock.elapsed_s, _, action = heapq.heappop(self.events)
            action()

    def evaluate_all_managers(self):
        for manager in self.managers:
            manager.evaluate_suspects()

    def send(self, send):
        now_s = self.clock.now_s()
        daemon = send.daemon % self.daemons
        quarantine = self.managers[daemon].quarantine
        admission = quarantine.check(send.request, now_s)
        if isinstance(admission, Refuse):
            if admission.until_s > now_s + 2:
                self.refused.add(send.request)
            return
        target = TARGETS[send.target]
        is_alone = isinstance(admission, RunAlone)
        if is_alone:
            free = [each for each in TARGETS if each not in admission.avoid]
            target = free[send.target % len(free)]
            quarantine.begin_alone(send.request, target)
        run = Run(send.request, daemon, target, now_s, is_alone)
        self.running.append(run)
        self.schedule(now_s + RUN_S, lambda: self.end(run))

    def end(self, run):
        if run not in self.running:
            return
        if run.request == POISON:
            self.crash(run.target)
            return
        self.running.remove(run)
        manager = self.managers[run.daemon]
        if run.is_alone:
            manager.quarantine.end_alone(run.request)
        manager.record_success(run.request)

    def crash(self, target):
        self.crashes.append((self.clock.now_s(), target))
        for run in [each for each in self.running if each.target == target]:
            self.running.remove(run)
            self.crashed_under[run.request].add(target)
            manager = self.managers[run.daemon]
            if run.is_alone:
                manager.quarantine.end_alone(run.request)
            manager.record_crash("payouts", run.request, target)
            if run.request == POISON:
                self.poison_starts_s.append(run.started_s)

    def nth_crash_s(self, count):
        seen = set()
        for time_s, target in self.crashes:
            seen.add(target)
            if len(seen) == count:
                return time_s
        return float("inf")


SENDS = st.lists(
    st.builds(
        Send,
        gap_s=st.sampled_from((0.0, 0.05, 0.3, 0.7)),
        daemon=st.integers(0, 5),
        request=st.sampled_from((POISON, POISON, "a", "b", "c")),
        target=st.integers(0, len(TARGETS) - 1),
    ),
    min_size=10,
    max_size=40,
)
DELAYS = st.lists(st.sampled_from((0.0, 0.1, MAX_DELAY_S)), min_size=1, max_size=7)


@settings(max_examples=1000)
@given(sends=SENDS, daemons=st.integers(1, 6), delays=DELAYS)
def test_the_fleet_stops_a_harmful_request(sends, daemons, delays):
    fleet = Fleet(daemons, delays)
    fleet.play(sends)
    other_crash_counts = [
        len(targets)
        for request, targets in fleet.crashed_under.items()
        if request != POISON
    ]
    is_ambiguous = max(other_crash_counts, default=0) >= SECOND_CRASH
    decisive = THIRD_CRASH if is_ambiguous else SECOND_CRASH
    known_s = fleet.nth_crash_s(decisive) + MAX_DELAY_S
    assert max(fleet.poison_starts_s, default=0.0) <= known_s


@settings(max_examples=1000)
@given(sends=SENDS, daemons=st.integers(1, 6), delays=DELAYS)
def test_one_shared_crash_puts_nobody_in_quarantine(sends, daemons, delays):
    fleet = Fleet(daemons, delays)
    fleet.play(sends)
    for request in fleet.refused:
        assert len(fleet.crashed_under[request]) >= SECOND_CRASH


@given(
    daemons=st.integers(1, 6),
    delays=DELAYS,
    picks=st.lists(st.integers(0, 5), min_size=60),
)
def test_a_caller_who_waits_crashes_two_targets(daemons, delays, picks):
    fleet = Fleet(daemons, delays)
    gap_s = RUN_S + MAX_DELAY_S + 0.01
    sends = [Send(gap_s, pick, POISON, pick) for pick in picks[:40]]
    fleet.play(sends)
    assert len(fleet.crashes) == SECOND_CRASH


def test_ceaseless_sending_crashes_one_target_for_each_doubled_quarantine():
    fleet = Fleet(4, [0.1])
    fleet.play([Send(1.0, index, POISON, index % 8) for index in range(3600)])
    quarantines = 0
    lasting_s = 0.0
    while lasting_s < 3600:
        lasting_s += QUARANTINE_S * 2**quarantines
        quarantines += 1
    assert len(fleet.crashes) <= SECOND_CRASH + quarantines


def test_a_success_at_one_daemon_is_not_known_at_the_others():
    fleet = Fleet(2, [0.0])
    first, second = fleet.managers
    first.record_crash("payouts", "a", TARGETS[0])
    fleet.play([])
    first.record_success("a")
    fleet.play([])
    second.record_crash("payouts", "a", TARGETS[1])
    fleet.clock.elapsed_s += DECISION_DELAY_S
    now_s = fleet.clock.now_s()
    for manager in fleet.managers:
        assert not isinstance(manager.quarantine.check("a", now_s), Refuse)


def test_the_decision_delay_exceeds_the_message_delay():
    assert DECISION_DELAY_S > MAX_DELAY_S
