import logging
import zlib

import pytest

from dogwoodhook.state.health import ServiceHealth, TargetPhase, is_self_doubting
from dogwoodhook.state.outcomes import Failure, FailureKind, Success, TargetEvidence
from dogwoodhook.state.reporters import Reporters

TARGETS = ("a", "b", "c", "d", "e", "f")
DAY_S = 86_400.0


def make_health(targets=TARGETS, interval_s=DAY_S):
    return ServiceHealth("payouts", targets, false_ejection_interval_s=interval_s)


def make_fingerprint(target, now_s, index):
    return zlib.crc32(f"{target} {now_s} {index}".encode())


def fail(health, target, *, count, now_s=0.0, kind=FailureKind.CRASH):
    for index in range(count):
        failure = Failure(kind, fingerprint=make_fingerprint(target, now_s, index))
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
    assert status.failure_reporters == 1
    assert phase(health, "b") is TargetPhase.HEALTHY


def test_a_successful_probe_admits_only_trial_work():
    health = make_health()
    succeed(health, TARGETS, count=20)
    fail(health, "a", count=10)
    assert not health.is_probe_due("a", now_s=0.1)
    assert health.is_probe_due("a", now_s=60.0)
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


def test_evidence_from_several_peers_adds_up():
    health = make_health()
    reporter = make_health()
    for each in (health, reporter):
        succeed(each, TARGETS, count=20)
    for index in range(10):
        fail(reporter, "a", count=1, now_s=float(index))
        for evidence in reporter.take_evidence():
            health.merge_evidence(
                evidence, reporter=f"vm-{index % 2}", now_s=float(index)
            )
    status = health.status("a", now_s=10.0)
    assert (status.phase, status.failure_reporters) == (TargetPhase.SUSPECT, 2)


def test_a_target_that_only_succeeds_is_not_reported():
    health = make_health()
    succeed(health, TARGETS, count=50)
    assert health.take_evidence() == ()


def test_a_request_that_fails_everywhere_counts_against_one_target_once():
    health = make_health()
    succeed(health, TARGETS, count=20)
    for target in TARGETS * 5:
        health.observe(target, Failure(FailureKind.CRASH, fingerprint=7), now_s=1.0)
    assert all(each.phase is TargetPhase.HEALTHY for each in health.statuses(now_s=1.0))


def test_failures_of_a_request_that_succeeds_elsewhere_count_each_time():
    health = make_health()
    succeed(health, TARGETS, count=20)
    health.observe("b", Failure(FailureKind.CRASH, fingerprint=7), now_s=1.0)
    health.observe("c", Success(10.0, fingerprint=7), now_s=1.0)
    for _ in range(10):
        health.observe("a", Failure(FailureKind.CRASH, fingerprint=7), now_s=1.0)
    assert phase(health, "a", 1.0) is TargetPhase.SUSPECT


def test_a_failing_health_endpoint_alone_makes_no_suspect():
    health = make_health()
    for _ in range(1000):
        health.observe("a", Failure(FailureKind.HEALTH_ENDPOINT), now_s=1.0)
    fail(health, "a", count=1, now_s=1.0)
    status = health.status("a", now_s=1.0)
    assert status.phase is TargetPhase.HEALTHY
    assert status.score > status.threshold / 4


def test_a_probe_before_the_holding_time_is_over_admits_nothing():
    health = make_health()
    succeed(health, TARGETS, count=20)
    fail(health, "a", count=10)
    health.observe_probe("a", is_successful=True, now_s=1.0)
    assert phase(health, "a", 1.0) is TargetPhase.SUSPECT


def test_successes_after_a_failure_are_reported():
    health = make_health()
    succeed(health, TARGETS, count=20)
    fail(health, "a", count=1)
    succeed(health, TARGETS, count=3)
    assert health.take_evidence() == (
        TargetEvidence(
            "payouts",
            "a",
            successes=3,
            failures=((FailureKind.CRASH, 1),),
            requests=((FailureKind.CRASH, make_fingerprint("a", 0.0, 0)),),
        ),
    )


def test_phase_changes_are_not_logged_by_the_transitions_library():
    assert not logging.getLogger("transitions.core").isEnabledFor(logging.INFO)


def test_the_error_for_an_unknown_target_lists_the_known_targets():
    with pytest.raises(KeyError, match=r"no target 'z'.*targets are a, b"):
        make_health(("a", "b")).status("z", now_s=0.0)


def test_own_successes_count_while_the_pooled_sum_is_zero():
    health = make_health()
    succeed(health, TARGETS, count=20)
    peer = TargetEvidence("payouts", "a", successes=200, failures=())
    for index in range(20):
        fail(health, "a", count=1, now_s=float(index))
        health.merge_evidence(peer, reporter="vm-1", now_s=float(index))
        succeed(health, ("a",), count=20, now_s=float(index))
    assert phase(health, "a", 20.0) is TargetPhase.HEALTHY


def test_two_peers_that_suspect_a_target_halve_the_threshold():
    without_reports, with_reports = make_health(), make_health()
    suspicion = TargetEvidence("payouts", "a", 0, (), is_suspected=True)
    for health in (without_reports, with_reports):
        succeed(health, TARGETS, count=20)
        fail(health, "a", count=3)
    for reporter in ("vm-1", "vm-2"):
        with_reports.merge_evidence(suspicion, reporter=reporter, now_s=0.0)
    assert phase(without_reports, "a") is TargetPhase.HEALTHY
    assert phase(with_reports, "a") is TargetPhase.SUSPECT


def test_suspicions_of_peers_alone_make_no_suspect():
    health = make_health()
    suspicion = TargetEvidence("payouts", "a", 0, (), is_suspected=True)
    for index in range(40):
        health.merge_evidence(suspicion, reporter=f"vm-{index}", now_s=0.0)
    assert phase(health, "a") is TargetPhase.HEALTHY


def test_constant_packet_loss_on_a_link_makes_no_suspect():
    health = make_health()
    succeed(health, TARGETS, count=20)
    peer = TargetEvidence("payouts", "a", successes=4, failures=())
    for index in range(1000):
        is_slow = index % 25 in (0, 3, 7, 10, 14, 17, 21)
        succeed(health, TARGETS[1:], count=1, now_s=index * 1.0)
        latency_ms = 200.0 if is_slow else 10.0
        succeed(health, ("a",), count=1, now_s=index * 1.0, latency_ms=latency_ms)
        health.merge_evidence(peer, reporter="vm-1", now_s=index * 1.0)
    assert phase(health, "a", 1000.0) is TargetPhase.HEALTHY


def test_a_slow_target_becomes_a_suspect():
    health = make_health()
    succeed(health, TARGETS, count=20)
    succeed(health, ("a",), count=20, latency_ms=100.0)
    assert phase(health, "a") is TargetPhase.SUSPECT
    assert "slow" in health.status("a", now_s=0.0).reason


def fail_all_services(*, failing_peers=0, services=3):
    healths = []
    for _ in range(services):
        health = make_health()
        succeed(health, TARGETS, count=20)
        for target in TARGETS:
            fail(health, target, count=8, now_s=1.0)
        for index in range(10):
            errors = 40 if index < failing_peers else 1
            evidence = TargetEvidence(
                "payouts", "a", 10, ((FailureKind.CONNECT, errors),)
            )
            health.merge_evidence(evidence, reporter=f"vm-{index}", now_s=1.0)
        healths.append(health)
    return healths


def test_most_targets_failing_for_one_daemon_alone_is_a_fault_on_its_side():
    healths = fail_all_services()
    assert is_self_doubting(healths, now_s=2.0)
    assert not is_self_doubting(healths, now_s=120.0)


def test_targets_failing_for_peers_too_are_no_fault_on_the_daemons_side():
    assert not is_self_doubting(fail_all_services(failing_peers=6), now_s=2.0)


def test_one_failing_service_is_no_fault_on_the_daemons_side():
    assert not is_self_doubting(fail_all_services(services=1), now_s=2.0)


def test_reconfiguring_keeps_the_state_of_targets_that_stay():
    health = make_health()
    succeed(health, TARGETS, count=20)
    fail(health, "a", count=10)
    health.reconfigure(("a", "g"), false_ejection_interval_s=DAY_S)
    assert phase(health, "a") is TargetPhase.SUSPECT
    assert phase(health, "g") is TargetPhase.HEALTHY


def test_peers_without_reports_for_long_are_removed():
    reporters = Reporters()
    for index in range(100):
        reporters.record_report(f"vm-{index}", now_s=index * 600.0)
    assert len(reporters) <= 7


def test_a_suspect_without_trial_work_becomes_healthy_in_the_end():
    health = make_health()
    succeed(health, TARGETS, count=20)
    fail(health, "a", count=10)
    health.observe_probe("a", is_successful=True, now_s=60.0)
    weights = [health.status("a", now_s=now_s).weight for now_s in (60, 180, 600)]
    assert weights == [0.05, 0.2, 0.5]
    assert phase(health, "a", 660.0) is TargetPhase.SLOW_START
    assert phase(health, "a", 691.0) is TargetPhase.HEALTHY


def test_a_daemon_avoids_a_target_that_only_it_fails_to_reach():
    health = make_health()
    succeed(health, TARGETS, count=20)
    peer = TargetEvidence("payouts", "a", successes=20, failures=())
    for index in range(10):
        fail(health, "a", count=1, now_s=float(index), kind=FailureKind.CONNECT)
        for reporter in ("vm-1", "vm-2", "vm-3"):
            health.merge_evidence(peer, reporter=reporter, now_s=float(index))
    status = health.status("a", now_s=10.0)
    assert (status.phase, status.failure_reporters) == (TargetPhase.SUSPECT, 1)


def test_one_daemon_that_fails_to_reach_a_target_makes_no_suspect_for_others():
    health = make_health()
    succeed(health, TARGETS, count=20)
    failing = TargetEvidence("payouts", "a", 0, ((FailureKind.CONNECT, 1),))
    succeeding = TargetEvidence("payouts", "a", 1, ())
    for index in range(50):
        now_s = index * 1.0
        health.merge_evidence(failing, reporter="vm-0", now_s=now_s)
        for reporter in range(1, 32):
            health.merge_evidence(succeeding, reporter=f"vm-{reporter}", now_s=now_s)
    assert phase(health, "a", 50.0) is TargetPhase.HEALTHY
