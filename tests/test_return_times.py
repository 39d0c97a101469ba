"""When refused callers may come back."""

import random

from dogwoodhook.state.return_times import (
    LATEST_S,
    SOONEST_S,
    NothingToServe,
    TargetsRefused,
    retry_after_s,
)


def returns(cause, *, count=1000):
    rng = random.Random(7)
    return sorted(retry_after_s(cause, rng=rng) for _ in range(count))


def test_callers_of_refusing_targets_are_spread_over_the_time_until_there_is_room():
    times_s = returns(TargetsRefused(room_in_s=1.5))
    assert times_s[0] >= SOONEST_S
    assert times_s[-1] <= 1.5
    busiest = max(sum(t <= each < t + 0.1 for each in times_s) for t in times_s)
    assert busiest < 150, "a tenth of a second gets no more than its share twice over"


def test_no_caller_is_sent_away_for_longer_than_the_latest_return():
    assert returns(TargetsRefused(room_in_s=60.0))[-1] <= LATEST_S
    assert returns(NothingToServe())[-1] <= LATEST_S
