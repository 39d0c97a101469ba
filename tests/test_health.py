import pytest

from dogwoodhook.state.health import ServiceHealth, TargetPhase
from dogwoodhook.state.outcomes import Failure, FailureKind, Success, TargetEvidence

TARGETS = ("a", "b", "c", "d", "e", "f")
DAY_S = 86_400.0


def make_health(targets=TARGETS, interval_s=DAY_S):
    return ServiceHealth("payouts", targets, false_ejection_interval_s=interval_s)


def fail(health, target, *, count, now_s=0.0, kind=FailureKind.CRASH):
    for index in range(count):
        failure = Failure(kind, fingerprint=hash((target, now_s, index)))
        health.observe(target, failure, now_s=now_s)


def succeed(health, targets, *, count, now_s=0.0, latency_ms=10.0):
    for _ in range(count):
        for target in targets:
            health.observe(target, Success(latency_ms), now_s=now_s)


def phase(health, target, now_s=0.0):
    return health.status(target, now_s=now_s).phase


def test_a_target_that_fails_every_request_becomes_a_suspect():
    health = make_health()
    succeed(health, TARGETS, count=20)
    fail(health, "a", count=10)
    status = health.status("a", now_s=0.0)
    assert status.phase is TargetPhase.SUSPECT
    assert status.weight == 0.0
    assert status.accusers == 1
    assert phase(health, "b") is TargetPhase.HEALTHY


def test_a_good_probe_only_admits_trial_work():
    health = make_health()
    succeed(health, TARGETS, count=20)
    fail(health, "a", count=10)
    assert not health.wants_probe("a", now_s=0.1)
    assert health.wants_probe("a", now_s=60.0)
    health.observe_probe("a", is_successful=True, now_s=60.0)
    assert phase(health, "a", 60.0) is TargetPhase.PROBING
    succeed(health, ("a",), count=30, now_s=61.0)
    assert phase(health, "a", 61.0) is TargetPhase.SLOW_START
    assert 0 < health.status("a", now_s=70.0).weight < 1
    assert phase(health, "a", 200.0) is TargetPhase.HEALTHY
    assert [each.phase.value for each in health.take_transitions()] == [
        "suspect",
        "probing",
        "slow-start",
        "healthy",
    ]


def test_peers_evidence_adds_up():
    health = make_health()
    reporter = make_health()
    for each in (health, reporter):
        succeed(each, TARGETS, count=20)
    for index in range(10):
        fail(reporter, "a", count=1, now_s=float(index))
        for evidence in reporter.take_evidence():
            health.absorb(evidence, reporter=f"vm-{index % 2}", now_s=float(index))
    status = health.status("a", now_s=10.0)
    assert (status.phase, status.accusers) == (TargetPhase.SUSPECT, 2)


def test_nothing_is_told_of_a_target_that_only_succeeds():
    health = make_health()
    succeed(health, TARGETS, count=50)
    assert health.take_evidence() == ()


def test_a_request_that_fails_everywhere_accuses_one_target_once():
    health = make_health()
    succeed(health, TARGETS, count=20)
    for target in TARGETS * 5:
        health.observe(target, Failure(FailureKind.CRASH, fingerprint=7), now_s=1.0)
    assert all(each.phase is TargetPhase.HEALTHY for each in health.statuses(now_s=1.0))


def test_a_request_that_succeeds_elsewhere_accuses_each_time():
    health = make_health()
    succeed(health, TARGETS, count=20)
    health.observe("b", Failure(FailureKind.CRASH, fingerprint=7), now_s=1.0)
    health.observe("c", Success(10.0, fingerprint=7), now_s=1.0)
    for _ in range(10):
        health.observe("a", Failure(FailureKind.CRASH, fingerprint=7), now_s=1.0)
    assert phase(health, "a", 1.0) is TargetPhase.SUSPECT


def test_a_bad_health_endpoint_alone_suspects_nobody():
    health = make_health()
    for _ in range(1000):
        health.observe("a", Failure(FailureKind.HEALTH_ENDPOINT), now_s=1.0)
    assert phase(health, "a", 1.0) is TargetPhase.HEALTHY


def test_an_unknown_target_is_named_with_those_allowed():
    with pytest.raises(KeyError, match=r"no target 'z'.*targets are a, b"):
        make_health(("a", "b")).status("z", now_s=0.0)


def test_own_successes_count_while_the_pooled_sum_is_zero():
    health = make_health()
    succeed(health, TARGETS, count=20)
    peer = TargetEvidence("payouts", "a", successes=200, failures=())
    for index in range(20):
        fail(health, "a", count=1, now_s=float(index))
        health.absorb(peer, reporter="vm-1", now_s=float(index))
        succeed(health, ("a",), count=20, now_s=float(index))
    assert phase(health, "a", 20.0) is TargetPhase.HEALTHY


def test_two_peers_that_suspect_a_target_halve_the_threshold():
    lone, told = make_health(), make_health()
    verdict = TargetEvidence("payouts", "a", 0, (), is_suspected=True)
    for health in (lone, told):
        succeed(health, TARGETS, count=20)
        fail(health, "a", count=3)
    for reporter in ("vm-1", "vm-2"):
        told.absorb(verdict, reporter=reporter, now_s=0.0)
    assert phase(lone, "a") is TargetPhase.HEALTHY
    assert phase(told, "a") is TargetPhase.SUSPECT


def test_peers_alone_suspecting_a_target_is_not_enough():
    health = make_health()
    verdict = TargetEvidence("payouts", "a", 0, (), is_suspected=True)
    for index in range(40):
        health.absorb(verdict, reporter=f"vm-{index}", now_s=0.0)
    assert phase(health, "a") is TargetPhase.HEALTHY
