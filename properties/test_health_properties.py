"""Property tests of target health."""

from hypothesis import given
from hypothesis import strategies as st

from dogwoodhook.state.health import ServiceHealth, TargetPhase
from dogwoodhook.state.outcomes import Success

TARGETS = ("a", "b", "c", "d", "e", "f")


@given(st.lists(st.sampled_from(TARGETS), max_size=300))
def test_a_target_that_only_succeeds_quickly_is_never_suspected(order):
    health = ServiceHealth("payouts", TARGETS, false_ejection_interval_s=3600)
    for index, target in enumerate(order):
        health.observe(target, Success(10.0), now_s=index * 0.1)
    statuses = health.statuses(now_s=60.0)
    assert all(each.phase is TargetPhase.HEALTHY for each in statuses)
