"""After what time refused callers may retry."""

import random

import pytest

from dogwoodhook.state.retry_after import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    NoTargetKnown,
    RoomExpected,
    TargetsPaused,
    TargetsRefused,
    TargetsShed,
    retry_after_s,
)


def retry_times_s(cause, *, count=1000):
    rng = random.Random(7)
    return sorted(retry_after_s(cause, rng=rng) for _ in range(count))


def test_retries_are_spread_over_the_time_until_the_budget_allows_them():
    times_s = retry_times_s(TargetsRefused(available_in_s=1.5))
    assert times_s[0] >= MIN_RETRY_AFTER_S
    assert times_s[-1] <= 1.5
    busiest = max(
        sum(start_s <= each < start_s + 0.1 for each in times_s) for start_s in times_s
    )
    assert busiest < 150, "a tenth of a second gets more than twice its share"


def test_no_retry_time_exceeds_the_maximum():
    assert retry_times_s(TargetsRefused(available_in_s=60.0))[-1] <= MAX_RETRY_AFTER_S
    assert retry_times_s(NoTargetKnown())[-1] <= MAX_RETRY_AFTER_S


@pytest.mark.parametrize("returns_in_s", [0.1, 1.0, 30.0])
def test_callers_return_together_or_before_the_first_pause_ends(returns_in_s):
    times_s = retry_times_s(TargetsPaused(returns_in_s))
    assert times_s[0] >= returns_in_s
    spread_s = times_s[-1] - times_s[0]
    assert spread_s >= MIN_RETRY_AFTER_S * 0.9
    middle = times_s[0] + spread_s / 2
    assert 450 < sum(each < middle for each in times_s) < 550


SHED_SHARE = 0.55
"""Share of the requests that the targets shed, as in the platform's own scenarios."""

ATTEMPTS = 4
WORK_S = 0.25
TARGET_LATENCY_S = 1.0


def share_answered_in_time(cause, *, callers=2000):
    """Return the share of callers answered in time by targets that shed at random."""
    rng = random.Random(7)
    served = 0
    for _ in range(callers):
        elapsed_s = 0.0
        for _ in range(ATTEMPTS):
            if rng.random() >= SHED_SHARE:
                served += elapsed_s + WORK_S <= TARGET_LATENCY_S
                break
            elapsed_s += retry_after_s(cause, rng=rng)
    return served / callers


def test_retries_to_targets_that_shed_at_random_are_answered_in_time():
    servable = 1 - SHED_SHARE**ATTEMPTS
    assert share_answered_in_time(TargetsShed()) > 0.95 * servable
    assert share_answered_in_time(TargetsRefused(available_in_s=5.0)) < 0.8 * servable


def test_urgent_callers_return_when_room_is_expected_and_the_others_after_them():
    urgent, usual = (
        retry_times_s(RoomExpected(2.0, priority=priority)) for priority in (0, 1)
    )
    assert 2.0 <= urgent[0] < urgent[-1] <= usual[0] < usual[-1]
    assert urgent[-1] - urgent[0] > 0.9
