"""When refused callers may come back."""

import random

from dogwoodhook.state.retry_after import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    NothingToServe,
    TargetsRefused,
    TargetsShed,
    retry_after_s,
)


def returns(cause, *, count=1000):
    rng = random.Random(7)
    return sorted(retry_after_s(cause, rng=rng) for _ in range(count))


def test_callers_of_refusing_targets_are_spread_over_the_time_until_there_is_room():
    times_s = returns(TargetsRefused(available_in_s=1.5))
    assert times_s[0] >= MIN_RETRY_AFTER_S
    assert times_s[-1] <= 1.5
    busiest = max(sum(t <= each < t + 0.1 for each in times_s) for t in times_s)
    assert busiest < 150, "a tenth of a second gets no more than its share twice over"


def test_no_caller_is_sent_away_for_longer_than_the_latest_return():
    assert returns(TargetsRefused(available_in_s=60.0))[-1] <= MAX_RETRY_AFTER_S
    assert returns(NothingToServe())[-1] <= MAX_RETRY_AFTER_S


SHED_SHARE = 0.55
"""Share of the requests that the targets shed, as in the platform's own days."""

TRIES = 4
WORK_S = 0.25
TARGET_LATENCY_S = 1.0


def share_in_time(cause, *, callers=2000):
    """Return the share of callers that targets which shed at random serve in time."""
    rng = random.Random(7)
    served = 0
    for _ in range(callers):
        elapsed_s = 0.0
        for _ in range(TRIES):
            if rng.random() >= SHED_SHARE:
                served += elapsed_s + WORK_S <= TARGET_LATENCY_S
                break
            elapsed_s += retry_after_s(cause, rng=rng)
    return served / callers


def test_callers_return_to_targets_that_shed_at_random_within_their_latency():
    servable = 1 - SHED_SHARE**TRIES
    assert share_in_time(TargetsShed()) > 0.95 * servable
    assert share_in_time(TargetsRefused(available_in_s=5.0)) < 0.8 * servable
