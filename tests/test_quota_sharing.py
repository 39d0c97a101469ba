"""How a fleet keeps the quotas of workspaces, in virtual time."""

import asyncio

import pytest

from dogwoodhook.state.workspace_policy import WorkspacePolicy
from dogwoodhook.state.workspace_quota import (
    BucketState,
    Granted,
    OverQuota,
    QuotaCoordinator,
    QuotaTolerance,
    coordinators_of,
)
from tests import virtual_time
from tests.quota_fleet import TOLERANCE, QuotaFleet, bound_of, quota

LARGE = quota(rate_per_s=60, burst=60)
SMALL = quota(rate_per_s=4.8, burst=5)
DAEMONS = 32


def play(policy, per_s, *faults, for_s=12.0, **options):
    """Return a fleet after a load; a fault is a time and a function of the fleet."""

    async def work():
        fleet = QuotaFleet(DAEMONS, policy, **options)
        loop = asyncio.get_running_loop()
        for at_s, fault in faults:
            loop.call_later(at_s, fault, fleet)
        await fleet.load(per_s, for_s=for_s)
        return fleet

    return virtual_time.run(work)


def first_coordinator(fleet):
    return coordinators_of("ukara", fleet.names)[0]


def coordinator_of(**tolerance):
    defaults = {"window_s": 5.0, "overshoot": 0.1, "slack": 0.0}
    rng = QuotaFleet(1).rng
    return QuotaCoordinator(QuotaTolerance(**{**defaults, **tolerance}), rng=rng)


@pytest.mark.parametrize(("policy", "usual_per_s"), [(LARGE, 37.5), (SMALL, 3)])
def test_a_workspace_below_its_limit_is_not_refused_in_a_calm_fleet(
    policy, usual_per_s
):
    fleet = play(policy, usual_per_s, for_s=60.0)
    assert not fleet.refusals["ukara"]


@pytest.mark.parametrize(("policy", "hot_per_s"), [(LARGE, 230), (SMALL, 18)])
def test_a_workspace_over_its_limit_gets_its_rate(policy, hot_per_s):
    fleet = play(policy, hot_per_s)
    assert fleet.most_in_window() <= bound_of(policy)
    assert len(fleet.sent_s["ukara"]) >= 12 * policy.rate_per_s


def freeze(fleet):
    fleet.frozen.add(first_coordinator(fleet))


def wake(fleet):
    fleet.wake(first_coordinator(fleet))


def test_a_frozen_coordinator_is_replaced_and_returns():
    fleet = play(LARGE, 230, (4.0, freeze), (8.0, wake))
    assert fleet.most_in_window() <= bound_of(LARGE)
    frozen = [at_s for at_s in fleet.sent_s["ukara"] if 4.5 < at_s < 8]
    assert len(frozen) >= 0.8 * 3.5 * LARGE.rate_per_s


def test_a_restart_of_all_daemons_grants_no_second_burst():
    def restart_all(fleet):
        for name in fleet.names:
            fleet.restart(name)

    fleet = play(LARGE, 230, (1.0, restart_all))
    assert fleet.most_in_window() <= bound_of(LARGE)


def test_daemons_that_reach_no_coordinator_keep_to_the_tolerance_together():
    fleet = play(LARGE, 230, (0.0, lambda fleet: fleet.cut.update(fleet.names)))
    asked_themselves = set(coordinators_of("ukara", fleet.names))
    assert len(asked_themselves) == 3
    assert fleet.most_in_window() <= bound_of(LARGE)


def test_a_lowered_limit_binds_one_window_later():
    lowered = quota(rate_per_s=6, burst=6)

    def lower(fleet):
        fleet.policies["ukara"] = lowered

    fleet = play(LARGE, 230, (4.0, lower))
    fleet.sent_s["ukara"] = [at_s for at_s in fleet.sent_s["ukara"] if at_s > 4.5]
    assert fleet.most_in_window() <= bound_of(lowered)


def test_requests_that_no_target_ran_do_not_count():
    async def work():
        fleet = QuotaFleet(DAEMONS, LARGE)
        await asyncio.gather(
            fleet.load(120, for_s=12.0, runs=False), fleet.load(30, for_s=12.0)
        )
        return fleet

    fleet = virtual_time.run(work)
    assert not fleet.refusals["ukara"]


def test_a_second_coordinator_takes_what_the_first_granted_from_its_bucket():
    first, second = coordinator_of(), coordinator_of()
    policy = quota(rate_per_s=1, burst=4)
    assert isinstance(second.grant(policy, now_s=0.0), Granted)
    for _ in range(3):
        assert isinstance(first.grant(policy, now_s=0.0), Granted)
    (report,) = first.unreported()
    for _ in range(2):
        second.record_report(policy, "vm-1", 7, report, now_s=0.0)
    assert isinstance(second.grant(policy, now_s=0.0), OverQuota)
    assert isinstance(second.grant(policy, now_s=1.0), Granted)


def test_a_long_history_of_another_coordinator_takes_only_its_level():
    coordinator = coordinator_of()
    policy = quota(rate_per_s=1, burst=4)
    coordinator.grant(policy, now_s=0.0)
    report = BucketState("ukara", 100_000, 2.5)
    coordinator.record_report(policy, "vm-1", 7, report, now_s=0.0)
    results = [coordinator.grant(policy, now_s=0.0) for _ in range(3)]
    assert [type(each) for each in results] == [Granted, OverQuota, OverQuota]


def test_a_coordinator_that_was_paused_takes_over_the_level_of_another():
    coordinator = coordinator_of()
    policy = quota(rate_per_s=10, burst=10)
    coordinator.grant(policy, now_s=0.0)
    report = BucketState("ukara", 40, 6.0)
    coordinator.record_report(policy, "vm-1", 7, report, now_s=0.0)
    report = BucketState("ukara", 80, 6.0)
    coordinator.record_report(policy, "vm-1", 7, report, now_s=4.0)
    results = [coordinator.grant(policy, now_s=4.0) for _ in range(7)]
    assert sum(isinstance(each, Granted) for each in results) == 6


def test_refused_callers_return_one_after_the_other():
    coordinator = coordinator_of()
    policy = quota(rate_per_s=10, burst=1)
    coordinator.grant(policy, now_s=0.0)
    waits_s = [coordinator.grant(policy, now_s=0.0).retry_after_s for _ in range(20)]
    assert waits_s == sorted(waits_s)
    assert all(0.1 * number <= wait_s for number, wait_s in enumerate(waits_s, 1))
    assert waits_s[-1] <= 2.2


def test_refused_callers_far_beyond_the_rate_are_spread_over_the_longest_time():
    coordinator = coordinator_of()
    policy = quota(rate_per_s=10, burst=1)
    coordinator.grant(policy, now_s=0.0)
    waits_s = [coordinator.grant(policy, now_s=0.0).retry_after_s for _ in range(1000)]
    by_second = [sum(int(each) == second for each in waits_s) for second in range(5)]
    assert max(waits_s) <= 5.1
    assert min(by_second) > 150


def test_urgent_requests_keep_a_part_of_the_bucket_and_do_not_wait_for_others():
    coordinator = coordinator_of()
    policy = quota(rate_per_s=1, burst=40)
    coordinator.grant(policy, priority=0, now_s=0.0)
    less_urgent = [coordinator.grant(policy, priority=2, now_s=0.1) for _ in range(60)]
    urgent = [coordinator.grant(policy, priority=0, now_s=0.1) for _ in range(7)]
    assert sum(isinstance(each, OverQuota) for each in less_urgent) == 27
    assert [type(each) for each in urgent] == [Granted] * 6 + [OverQuota]
    assert urgent[-1].retry_after_s < less_urgent[-1].retry_after_s


def test_less_urgent_requests_get_the_whole_rate_if_there_are_no_others():
    coordinator = coordinator_of()
    policy = quota(rate_per_s=10, burst=10)
    granted = [
        coordinator.grant(policy, priority=2, now_s=number / 100)
        for number in range(1000)
    ]
    assert sum(isinstance(each, Granted) for each in granted) >= 109


@pytest.mark.parametrize(
    ("live", "share"), [(126, 1.0), (125, 1.0), (63, 0.525), (1, 1.05 / 126)]
)
def test_parts_of_a_fleet_grant_the_rate_and_half_of_the_overshoot_together(
    live, share
):
    assert TOLERANCE.reached_share(live=live, known=126) == pytest.approx(share)


def test_messages_do_not_grow_with_the_daemons():
    def datagrams(count):
        async def work():
            fleet = QuotaFleet(count, LARGE)
            await fleet.load(40, for_s=10.0)
            return sum(fleet.datagrams.values())

        return virtual_time.run(work)

    assert datagrams(300) <= 1.2 * datagrams(30)


def test_no_message_is_sent_without_requests():
    assert not play(LARGE, 1e-6, for_s=20.0).datagrams


def test_a_workspace_of_another_name_is_not_affected():
    other = WorkspacePolicy("other", frozenset(), rate_per_s=4, burst=4)

    async def work():
        fleet = QuotaFleet(DAEMONS, SMALL, other)
        await asyncio.gather(
            fleet.load(50, for_s=12.0),
            fleet.load(2, for_s=12.0, workspace="other"),
        )
        return fleet

    fleet = virtual_time.run(work)
    assert fleet.refusals["ukara"]
    assert not fleet.refusals["other"]


def test_a_daemon_that_joins_or_leaves_is_ranked_as_if_all_were_ranked_anew():
    fleet = QuotaFleet(DAEMONS)
    sharing = fleet.sharing["vm-0"]
    workspaces = [f"workspace-{number}" for number in range(40)]
    for gone in ({"vm-3", "vm-4"}, {"vm-4", "vm-9"}, set(), {"vm-30"}):
        fleet.gone = gone
        live = [name for name in fleet.names if name not in gone]
        for workspace in workspaces:
            ranking = sharing._coordinators(workspace)
            assert ranking == coordinators_of(workspace, live)


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_a_token_that_is_granted_too_late_is_given_back(is_cancelled):
    async def work():
        fleet = QuotaFleet(DAEMONS, LARGE)
        coordinators = coordinators_of("ukara", fleet.names)
        fleet.frozen.update(coordinators)
        request = asyncio.ensure_future(fleet.request())
        await asyncio.sleep(0.05)
        if is_cancelled:
            request.cancel()
        await asyncio.wait([request])
        for name in coordinators:
            fleet.wake(name)
        await asyncio.sleep(0.03 if is_cancelled else 0.05)
        states = [
            state
            for name in coordinators
            for state in fleet.sharing[name]._coordinator.unreported()
        ]
        assert states
        await asyncio.sleep(2.0)
        return [
            fleet.sharing[name]._coordinator._buckets["ukara"].granted
            for name in coordinators
            if "ukara" in fleet.sharing[name]._coordinator._buckets
        ]

    granted = virtual_time.run(work)
    assert granted
    assert not any(granted)
