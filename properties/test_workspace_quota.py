"""Checks that the sum of all daemons stays within a workspace's quota."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from tests import virtual_time
from tests.quota_fleet import QuotaFleet, bound_of, quota

DAEMONS = 12
NAMES = [f"vm-{number}" for number in range(DAEMONS)]
LENGTH_S = 8.0


def cut(fleet, name):
    fleet.cut.add(name)


def join(fleet, name):
    fleet.cut.discard(name)


def freeze(fleet, name):
    fleet.frozen.add(name)


def wake(fleet, name):
    fleet.wake(name)


def restart(fleet, name):
    fleet.restart(name)


def count_as_gone(fleet, name):
    fleet.gone.add(name)


def restart_all(fleet, name):
    for each in fleet.names:
        fleet.restart(each)


EVENTS = st.tuples(
    st.floats(0.0, LENGTH_S),
    st.sampled_from([cut, join, freeze, wake, restart, count_as_gone, restart_all]),
    st.sampled_from(NAMES),
)


@settings(max_examples=40, deadline=None)
@given(
    events=st.lists(EVENTS, max_size=12),
    rate_per_s=st.floats(1.0, 30.0),
    burst_s=st.floats(0.0, 2.0),
    excess=st.floats(0.5, 6.0),
    loss=st.sampled_from([0.0, 0.05, 0.3]),
    seed=st.integers(0, 2**32),
)
def test_the_sum_of_all_daemons_stays_within_the_quota_in_every_window(
    events, rate_per_s, burst_s, excess, loss, seed
):
    policy = quota(rate_per_s=rate_per_s, burst=burst_s * rate_per_s)

    async def work():
        fleet = QuotaFleet(DAEMONS, policy, loss=loss, seed=seed)
        loop = asyncio.get_running_loop()
        for at_s, change, name in events:
            loop.call_later(at_s, change, fleet, name)
        await fleet.load(excess * rate_per_s, for_s=LENGTH_S)
        return fleet

    fleet = virtual_time.run(work)
    assert fleet.most_in_window() <= bound_of(policy)
