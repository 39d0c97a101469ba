import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodhook.state.daemon_stop import BALANCER_NOTICE_S, DaemonStop

TIMES = st.floats(0, 30)
GRACES = st.floats(0.5, 60)


def make_stop(grace_s=6.0):
    stop = DaemonStop()
    stop.begin(now_s=100.0, grace_s=grace_s)
    return stop


def test_no_phase_ends_before_a_stop_has_begun():
    stop = DaemonStop()
    assert stop.intake_ends_s == stop.answers_end_s == stop.closes_s == math.inf
    assert stop.may_send(now_s=5.0, expected_s=1e9, deadline_s=math.inf)


@given(grace_s=GRACES)
def test_the_phases_of_a_stop_follow_each_other_within_its_grace_period(grace_s):
    stop = make_stop(grace_s)
    assert 100 < stop.intake_ends_s <= 100 + BALANCER_NOTICE_S
    assert stop.intake_ends_s <= 100 + grace_s / 2
    assert stop.answers_end_s >= 100 + grace_s * 5 / 6, (
        "answers end before the last sixth of the grace period"
    )
    assert stop.answers_end_s < stop.reading_ends_s < stop.closes_s < 100 + grace_s


@pytest.mark.parametrize("grace_s", [1.2, 2.0, 6.0, 30.0])
def test_a_stop_leaves_a_tenth_of_a_second_for_the_exit_of_the_process(grace_s):
    assert make_stop(grace_s).closes_s <= 100 + grace_s - 0.1


@given(grace_s=GRACES, after_s=TIMES, expected_s=TIMES, left_s=TIMES)
def test_a_request_sent_during_a_stop_is_expected_to_be_answered_in_time(
    grace_s, after_s, expected_s, left_s
):
    stop = make_stop(grace_s)
    now_s = 100 + after_s
    deadline_s = now_s + left_s
    if stop.may_send(now_s=now_s, expected_s=expected_s, deadline_s=deadline_s):
        assert min(now_s + expected_s, deadline_s) <= stop.answers_end_s
        assert now_s < stop.intake_ends_s


@pytest.mark.parametrize(
    ("after_s", "expected_s", "left_s", "may_send"),
    [
        (1.0, 2.6, 15.0, True),
        (1.0, 4.6, 15.0, False),
        (1.0, 4.6, 4.0, True),
        (2.7, 0.1, 0.2, False),
    ],
)
def test_the_expected_latency_decides_whether_a_request_is_sent(
    after_s, expected_s, left_s, may_send
):
    now_s = 100 + after_s
    assert may_send == make_stop().may_send(
        now_s=now_s, expected_s=expected_s, deadline_s=now_s + left_s
    )
