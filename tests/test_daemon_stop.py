import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodhook.state.daemon_stop import BALANCER_NOTICE_S, DaemonStop

TIMES = st.floats(0, 30)
GRACES = st.floats(0.5, 60)


def begun(grace_s=6.0):
    stop = DaemonStop()
    stop.begin(now_s=100.0, grace_s=grace_s)
    return stop


def test_nothing_ends_before_a_stop_has_begun():
    stop = DaemonStop()
    assert stop.intake_ends_s == stop.answers_end_s == stop.closes_s == math.inf
    assert stop.may_send(now_s=5.0, expected_s=1e9, deadline_s=math.inf)


@given(grace_s=GRACES)
def test_the_phases_of_a_stop_follow_each_other_within_its_grace_period(grace_s):
    stop = begun(grace_s)
    assert 100 < stop.intake_ends_s <= 100 + BALANCER_NOTICE_S
    assert stop.intake_ends_s <= 100 + grace_s / 2
    assert stop.answers_end_s >= 100 + grace_s * 5 / 6, "the last sixth is not owed"
    assert stop.answers_end_s < stop.reading_ends_s < stop.closes_s < 100 + grace_s


@pytest.mark.parametrize("grace_s", [1.2, 2.0, 6.0, 30.0])
def test_a_stop_keeps_a_tenth_of_a_second_for_the_end_of_the_process(grace_s):
    assert begun(grace_s).closes_s <= 100 + grace_s - 0.1


@given(grace_s=GRACES, after_s=TIMES, expected_s=TIMES, left_s=TIMES)
def test_what_is_sent_in_a_stop_is_expected_to_end_before_it(
    grace_s, after_s, expected_s, left_s
):
    stop = begun(grace_s)
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
def test_the_usual_work_of_a_service_decides_what_is_taken(
    after_s, expected_s, left_s, may_send
):
    now_s = 100 + after_s
    assert may_send == begun().may_send(
        now_s=now_s, expected_s=expected_s, deadline_s=now_s + left_s
    )
