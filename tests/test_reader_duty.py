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
"""The platform's bound for leaving targets on the small sites."""

STABLE_S = 3.0
"""Time after its return from which the platform counts its store as stable."""

RETRY_SPREAD = 1.3
"""Largest factor by which a pause between calls is spread."""

STORE_ANSWER_S = 0.4
"""The store's slowest answers."""


def test_all_daemons_rank_the_same_way():
    daemons = [f"vm-{number}" for number in range(20)]
    ranks = [rank_of(each, reversed(daemons)) for each in daemons]
    assert sorted(ranks) == list(range(20))


def test_a_daemon_that_knows_no_other_reads_for_itself():
    rank = rank_of("vm-1", [])
    assert silence_limit_s(rank, bound_s=DRAIN_BOUND_S) == READ_INTERVAL_S


def test_leaving_targets_are_known_in_time_even_by_the_last_rank():
    limit_s = silence_limit_s(MAX_RANK + 10, bound_s=DRAIN_BOUND_S)
    assert limit_s + 2 * STORE_ANSWER_S < DRAIN_BOUND_S


@pytest.mark.parametrize("bound_s", [0.5, 1.0, 2.0, 2.5, 10.0])
def test_the_pace_follows_the_bound_and_is_no_slower_than_the_longest_interval(bound_s):
    longest_s = silence_limit_s(MAX_RANK, bound_s=bound_s)
    assert longest_s <= 0.6 * bound_s
    assert silence_limit_s(0, bound_s=bound_s) <= READ_INTERVAL_S


def test_the_store_is_read_again_before_it_counts_as_stable():
    longest_s = CALL_TIMEOUT_S + MAX_RETRY_S * RETRY_SPREAD + 2 * STORE_ANSWER_S
    assert longest_s < STABLE_S
