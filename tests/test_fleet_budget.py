"""The fleet's retry budget."""

import random

from dogwoodhook.state.fleet_budget import OWN_SHARE_FACTOR, FleetBudget


def make_budget(*, extra, seed=7):
    return FleetBudget(ratio=0.2, extra=extra, window_s=10.0, rng=random.Random(seed))


def receive_report(budget, *, retries_spent=0, requests=0, now_s=0.0, run=("vm-2", 1)):
    budget.record_report(
        "payouts", run=run, requests=requests, retries=retries_spent, now_s=now_s
    )


def report_to_others(fleet, reporter, *, now_s, run=0):
    """Report to all other daemons of a fleet what one daemon has spent."""
    for number, other in enumerate(fleet):
        if number != reporter:
            receive_report(
                other,
                run=(f"vm-{reporter}", run),
                requests=fleet[reporter].own_requests("payouts", now_s=now_s),
                retries_spent=fleet[reporter].own_retries("payouts", now_s=now_s),
                now_s=now_s,
            )


def count_granted(budget, *, tries, now_s=0.0, daemons=1):
    return sum(
        budget.try_take("payouts", daemons=daemons, now_s=now_s) for _ in range(tries)
    )


def test_retries_that_other_daemons_spent_are_not_spent_again():
    budget = make_budget(extra=20)
    receive_report(budget, retries_spent=8, run=("vm-2", 1))
    receive_report(budget, retries_spent=6, run=("vm-3", 1))
    assert count_granted(budget, tries=50) == 2


def test_retries_older_than_the_window_no_longer_count():
    budget = make_budget(extra=20)
    assert count_granted(budget, tries=50, now_s=0.0) == 16
    assert count_granted(budget, tries=50, now_s=9.9) == 0
    assert count_granted(budget, tries=50, now_s=10.1) == 16


def test_each_service_has_its_own_budget():
    budget = make_budget(extra=4)
    assert count_granted(budget, tries=9) == 3
    assert budget.try_take("stock", daemons=1, now_s=0.0)


def test_daemons_that_spend_at_the_same_time_stay_within_the_fleets_budget():
    """All 44 daemons try every 10 ms; reports arrive one step later."""
    fleet = [make_budget(extra=62, seed=seed) for seed in range(44)]
    spent = 0
    for step in range(900):
        now_s = step * 0.01
        spenders = [
            number
            for number, each in enumerate(fleet)
            if each.try_take("payouts", daemons=44, now_s=now_s)
        ]
        spent += len(spenders)
        for spender in spenders:
            report_to_others(fleet, spender, now_s=now_s)
    assert 0 < spent <= 62


def test_recent_requests_reported_by_other_daemons_allow_more_retries():
    budget = make_budget(extra=10)
    receive_report(budget, requests=100)
    assert count_granted(budget, tries=50) == 24
    assert count_granted(budget, tries=50, now_s=10.1) == 8


def test_hedges_leave_half_of_the_budget_to_requests_that_were_not_run():
    budget = make_budget(extra=20)
    hedges = sum(
        budget.try_take("payouts", daemons=1, now_s=0.0, is_hedge=True)
        for _ in range(50)
    )
    assert hedges == 8
    assert count_granted(budget, tries=50) == 8


def test_most_of_the_budget_is_spent_when_all_targets_shed():
    """44 daemons get 70 requests per second; 55 in 100 are refused for ten seconds."""
    rng = random.Random(3)
    fleet = [make_budget(extra=62, seed=seed) for seed in range(44)]
    spent = requests = 0
    for step in range(700):
        now_s = step / 70
        daemon = rng.randrange(44)
        fleet[daemon].record_request("payouts", now_s=now_s)
        requests += 1
        while rng.random() < 0.55:
            if not fleet[daemon].try_take("payouts", daemons=44, now_s=now_s):
                break
            spent += 1
            report_to_others(fleet, daemon, now_s=now_s)
    bound = 62 + 0.2 * requests
    assert 0.5 * bound < spent <= bound


def test_a_daemon_without_reports_of_retries_spends_a_limited_share_of_the_budget():
    budget = make_budget(extra=100)
    receive_report(budget, requests=1000)
    allowed = 0.8 * (100 + 0.2 * 1000)
    assert (
        count_granted(budget, tries=500, daemons=40) == OWN_SHARE_FACTOR * allowed / 40
    )


def test_daemons_that_restart_in_turn_do_not_exceed_the_fleets_budget():
    """Half of 40 daemons restart one by one while all try to spend at every step."""
    extra, daemons = 100, 40
    fleet = [make_budget(extra=extra, seed=seed) for seed in range(daemons)]
    runs = [0] * daemons
    spent = 0
    for step in range(900):
        now_s = step * 0.01
        if step % 40 == 0 and step < 800:
            runs[step // 40] += 1
            fleet[step // 40] = FleetBudget(
                ratio=0.2,
                extra=extra,
                window_s=10.0,
                rng=random.Random(step),
                started_s=now_s,
            )
        for number, budget in enumerate(fleet):
            if budget.try_take("payouts", daemons=daemons, now_s=now_s):
                spent += 1
                report_to_others(fleet, number, now_s=now_s, run=runs[number])
    assert 0 < spent <= extra


def test_later_reports_make_up_for_lost_ones():
    """A third of all reports between 40 daemons is lost."""
    rng = random.Random(3)
    fleet = [make_budget(extra=200, seed=seed) for seed in range(40)]
    spent = 0
    for step in range(900):
        now_s = step * 0.01
        number = rng.randrange(40)
        if fleet[number].try_take("payouts", daemons=40, now_s=now_s):
            spent += 1
            receivers = [each for each in fleet if rng.random() > 1 / 3]
            receivers = [each for each in receivers if each is not fleet[number]]
            report_to_others([fleet[number], *receivers], 0, now_s=now_s, run=number)
    assert 100 < spent <= 200
