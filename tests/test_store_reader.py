"""Which daemon of a data centre reads the store."""

import pytest

from dogwoodhook.coordination.store_availability import MAX_RETRY_S
from dogwoodhook.platform.store_client import CALL_TIMEOUT_S
from dogwoodhook.state.store_reader import (
    MAX_RANK,
    READ_INTERVAL_S,
    rank_of,
    silence_limit_s,
)

DRAIN_BOUND_S = 2.0
"""The platform's time limit for leaving targets on the small sites."""

STABLE_S = 3.0
"""Time after the store's return from which the platform counts it as stable."""

RETRY_SPREAD = 1.3
"""Maximum random factor applied to the pause between calls."""

STORE_ANSWER_S = 0.4
"""Time of the store's slowest answers."""


def test_all_daemons_compute_the_same_ranks():
    daemons = [f"vm-{number}" for number in range(20)]
    ranks = [rank_of(each, reversed(daemons)) for each in daemons]
    assert sorted(ranks) == list(range(20))


def test_a_daemon_that_knows_no_other_reads_the_store_itself():
    rank = rank_of("vm-1", [])
    assert silence_limit_s(rank, bound_s=DRAIN_BOUND_S) == READ_INTERVAL_S


def test_the_last_rank_knows_leaving_targets_within_the_bound():
    limit_s = silence_limit_s(MAX_RANK + 10, bound_s=DRAIN_BOUND_S)
    assert limit_s + 2 * STORE_ANSWER_S < DRAIN_BOUND_S


@pytest.mark.parametrize("bound_s", [0.5, 1.0, 2.0, 2.5, 10.0])
def test_silence_limits_follow_the_bound_up_to_the_read_interval(bound_s):
    longest_s = silence_limit_s(MAX_RANK, bound_s=bound_s)
    assert longest_s <= 0.6 * bound_s
    assert silence_limit_s(0, bound_s=bound_s) <= READ_INTERVAL_S


def test_the_store_is_read_again_before_the_platform_counts_it_as_stable():
    longest_s = CALL_TIMEOUT_S + MAX_RETRY_S * RETRY_SPREAD + 2 * STORE_ANSWER_S
    assert longest_s < STABLE_S
