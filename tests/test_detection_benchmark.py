from benchmarks.detection import POOLED_CUSUM, make_factories, poisson_quantile
from benchmarks.detection_faults import HardFailure, Nothing
from benchmarks.detection_fleet import Fleet, FleetSettings
from benchmarks.detection_rules import CountRule, tune_consecutive

SETTINGS = FleetSettings(
    daemons=6,
    targets=6,
    requests_per_target_s=10.0,
    link_ms=5.0,
    warm_up_s=5.0,
    duration_s=20.0,
    seed=3,
)


def run_fleet(fault):
    factory = make_factories(6, 86_400.0)[POOLED_CUSUM]
    return Fleet(SETTINGS, fault, factory).run()


def test_the_same_seed_gives_the_same_run():
    first, second = run_fleet(HardFailure()), run_fleet(HardFailure())
    assert first == second
    assert first.detection_s is not None


def test_nothing_is_detected_without_a_fault():
    result = run_fleet(Nothing())
    assert (result.detection_s, result.attempts) == (None, 0)


def test_rules_are_tuned_to_the_accepted_interval():
    assert tune_consecutive(60.0, 86_400.0) == CountRule(4, 4)


def test_the_poisson_quantile_of_a_rare_event_is_one():
    assert poisson_quantile(0.001, 0.99) == 1
    assert poisson_quantile(10.0, 0.99) == 18
