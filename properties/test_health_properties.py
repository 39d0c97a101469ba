"""Property tests of target health."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dogwoodhook.state.health import ServiceHealth, TargetPhase
from dogwoodhook.state.outcomes import Failure, FailureKind, Success, TargetEvidence
from dogwoodhook.state.recovery import MAX_HOLDING_TIME_S, Recovery

DAY_S = 86_400.0
TARGETS = ("a", "b", "c", "d", "e", "f")
DAEMONS = ("vm-0", "vm-1", "vm-2")
NEXT_PHASES = {
    TargetPhase.HEALTHY: {TargetPhase.SUSPECT},
    TargetPhase.SUSPECT: {TargetPhase.PROBING},
    TargetPhase.PROBING: {TargetPhase.SUSPECT, TargetPhase.SLOW_START},
    TargetPhase.SLOW_START: {TargetPhase.SUSPECT, TargetPhase.HEALTHY},
}

targets = st.sampled_from(TARGETS)
daemons = st.sampled_from(DAEMONS)
failures = st.builds(
    Failure, st.sampled_from(tuple(FailureKind)), st.integers(min_value=0, max_value=20)
)
answers = st.builds(
    Success,
    st.floats(min_value=0, max_value=5_000),
    st.integers(min_value=0, max_value=20),
)


def make_health(names=TARGETS):
    return ServiceHealth("payouts", names, false_ejection_interval_s=DAY_S)


def observe_random(health, target, share, source, now_s):
    if source.random() < share:
        failure = Failure(FailureKind.SERVER_ERROR, source.getrandbits(60))
        health.observe(target, failure, now_s=now_s)
    else:
        health.observe(target, Success(10.0), now_s=now_s)


def count_suspects(health, now_s):
    statuses = health.statuses(now_s=now_s)
    return sum(each.phase is TargetPhase.SUSPECT for each in statuses)


class HealthMachine(RuleBasedStateMachine):
    """Three daemons whose messages arrive late, twice, or out of order."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.healths = {daemon: make_health() for daemon in DAEMONS}
        self.messages: list[tuple[str, TargetEvidence]] = []
        self.phases: dict[tuple[str, str], TargetPhase] = {}

    @rule(seconds=st.floats(min_value=0.01, max_value=300))
    def advance(self, seconds):
        self.now_s += seconds

    @rule(daemon=daemons, name=targets, outcome=st.one_of(failures, answers))
    def observe(self, daemon, name, outcome):
        self.healths[daemon].observe(name, outcome, now_s=self.now_s)

    @rule(daemon=daemons, name=targets, count=st.integers(5, 40))
    def fail_often(self, daemon, name, count):
        for index in range(count):
            failure = Failure(FailureKind.CRASH, fingerprint=1_000 + index)
            self.healths[daemon].observe(name, failure, now_s=self.now_s)

    @rule(daemon=daemons, name=targets, count=st.integers(5, 60))
    def succeed_often(self, daemon, name, count):
        for _ in range(count):
            self.healths[daemon].observe(name, Success(10.0), now_s=self.now_s)

    @rule(daemon=daemons)
    def send_evidence(self, daemon):
        evidence = self.healths[daemon].take_evidence()
        self.messages += [(daemon, each) for each in evidence]
        assert self.healths[daemon].take_evidence() == ()

    @rule(daemon=daemons, data=st.data(), copies=st.integers(1, 3))
    def deliver(self, daemon, data, copies):
        if not self.messages:
            return
        reporter, evidence = data.draw(st.sampled_from(self.messages))
        if reporter == daemon:
            return
        for _ in range(copies):
            self.healths[daemon].merge_evidence(
                evidence, reporter=reporter, now_s=self.now_s
            )

    @rule(daemon=daemons, name=targets, is_successful=st.booleans())
    def probe(self, daemon, name, is_successful):
        health = self.healths[daemon]
        before = health.status(name, now_s=self.now_s).phase
        was_wanted = health.is_probe_due(name, now_s=self.now_s)
        health.observe_probe(name, is_successful=is_successful, now_s=self.now_s)
        after = health.status(name, now_s=self.now_s).phase
        admits = was_wanted and is_successful
        assert after is (TargetPhase.PROBING if admits else before)

    @rule(daemon=daemons)
    def reconfigure(self, daemon):
        health = self.healths[daemon]
        before = health.statuses(now_s=self.now_s)
        health.reconfigure(TARGETS, false_ejection_interval_s=DAY_S)
        after = health.statuses(now_s=self.now_s)
        assert [each.phase for each in before] == [each.phase for each in after]

    @invariant()
    def phases_follow_one_another(self):
        for daemon, health in self.healths.items():
            health.statuses(now_s=self.now_s)
            for status in health.take_transitions():
                key = (daemon, status.target)
                previous = self.phases.get(key, TargetPhase.HEALTHY)
                assert status.phase in NEXT_PHASES[previous]
                self.phases[key] = status.phase

    @invariant()
    def statuses_are_coherent(self):
        for health in self.healths.values():
            for status in health.statuses(now_s=self.now_s):
                assert status.threshold > 0
                assert status.score >= 0
                assert 0 <= status.failure_reporters <= len(DAEMONS)
                match status.phase:
                    case TargetPhase.HEALTHY:
                        assert status.weight == 1.0
                    case TargetPhase.SUSPECT:
                        assert status.weight == 0.0
                        assert status.failure_reporters >= 1
                        assert status.reason
                    case TargetPhase.PROBING | TargetPhase.SLOW_START:
                        assert 0 < status.weight <= 1


TestHealthMachine = HealthMachine.TestCase
TestHealthMachine.settings = settings(max_examples=60, stateful_step_count=40)


@given(st.lists(targets, max_size=300))
def test_a_target_that_only_succeeds_quickly_is_never_suspected(order):
    health = make_health()
    for index, target in enumerate(order):
        health.observe(target, Success(10.0), now_s=index * 0.1)
    assert count_suspects(health, 60.0) == 0


@settings(max_examples=40)
@given(
    size=st.integers(4, 13),
    share=st.floats(min_value=0.02, max_value=0.95),
    seed=st.integers(0, 10_000),
)
def test_trouble_of_the_whole_service_suspects_no_majority(size, share, seed):
    names = tuple(f"target-{index}" for index in range(size))
    health = make_health(names)
    source = random.Random(seed)
    for index in range(size * 120):
        present_share = 0.01 if index < size * 30 else share
        now_s = index * 0.02
        observe_random(health, source.choice(names), present_share, source, now_s)
        assert count_suspects(health, now_s) * 2 <= size


@settings(max_examples=40)
@given(
    bad_count=st.integers(1, 2),
    share=st.floats(min_value=0.3, max_value=1.0),
    seed=st.integers(0, 10_000),
)
def test_bad_targets_do_not_hide_behind_the_baseline_they_spoil(bad_count, share, seed):
    health = make_health()
    source = random.Random(seed)
    bad = TARGETS[:bad_count]
    suspected = set()
    for index in range(len(TARGETS) * 400):
        target = TARGETS[index % len(TARGETS)]
        now_s = index * 0.01
        target_share = share if target in bad else 0.0
        observe_random(health, target, target_share, source, now_s)
        suspected |= {
            each.target
            for each in health.take_transitions()
            if each.phase is TargetPhase.SUSPECT
        }
    assert suspected == set(bad)


def outcomes_to_alarm(healths, outcomes):
    for index, is_failure in enumerate(outcomes):
        now_s = 60.0 + index * 0.1
        daemon = index % len(healths)
        outcome = (
            Failure(FailureKind.SERVER_ERROR, fingerprint=index + 1)
            if is_failure
            else Success(10.0)
        )
        healths[daemon].observe("a", outcome, now_s=now_s)
        for reporter, health in enumerate(healths):
            for evidence in health.take_evidence():
                for other in healths:
                    if other is not health:
                        other.merge_evidence(
                            evidence, reporter=f"vm-{reporter}", now_s=now_s
                        )
        if any(count_suspects(each, now_s) for each in healths):
            return index
    return None


@settings(max_examples=50)
@given(
    count=st.integers(2, 8),
    outcomes=st.lists(
        st.sampled_from((True, False, False)), min_size=100, max_size=100
    ),
)
def test_daemons_together_alarm_like_one_that_sees_everything(count, outcomes):
    alone, fleet = [make_health()], [make_health() for _ in range(count)]
    for healths in (alone, fleet):
        for index in range(50 * len(TARGETS)):
            health = healths[index % len(healths)]
            target = TARGETS[index // len(healths) % len(TARGETS)]
            health.observe(target, Success(10.0), now_s=index * 0.2)
    alone_index = outcomes_to_alarm(alone, outcomes)
    fleet_index = outcomes_to_alarm(fleet, outcomes)
    assert alone_index is not None
    assert fleet_index is not None
    assert abs(fleet_index - alone_index) <= 10


@given(
    st.lists(st.floats(min_value=0, max_value=20), min_size=2, max_size=40),
    st.integers(0, 1_000),
)
def test_the_holding_time_of_a_flapping_target_grows_to_a_bound(pauses, seed):
    recovery = Recovery(random.Random(seed))
    now_s = 0.0
    recovery.suspect(now_s)
    previous_s = recovery.holding_time_s()
    for pause_s in pauses:
        now_s = recovery.held_until_s + pause_s
        assert recovery.observe_probe(is_successful=True, now_s=now_s)
        recovery.observe_work(100.0, now_s=now_s)
        recovery.suspect(now_s + pause_s)
        holding_s = recovery.holding_time_s()
        assert holding_s == min(MAX_HOLDING_TIME_S, 2 * previous_s)
        assert recovery.held_until_s - now_s - pause_s <= 1.2 * MAX_HOLDING_TIME_S
        previous_s = holding_s
