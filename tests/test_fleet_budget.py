"""The fleet's budget for sending requests a second time."""

import random

from dogwoodhook.state.fleet_budget import OWN_SHARE_FACTOR, FleetBudget


def make_budget(*, extra, seed=7):
    return FleetBudget(ratio=0.2, extra=extra, window_s=10.0, rng=random.Random(seed))


def hear(budget, *, repeats=0, requests=0, now_s=0.0, run=("vm-2", 1)):
    budget.record_report(
        "payouts", run=run, requests=requests, retries=repeats, now_s=now_s
    )


def tell_all(fleet, teller, *, now_s, run=0):
    """Tell a fleet of what one daemon of it has spent."""
    for number, other in enumerate(fleet):
        if number != teller:
            hear(
                other,
                run=(f"vm-{teller}", run),
                requests=fleet[teller].own_requests("payouts", now_s=now_s),
                repeats=fleet[teller].own_retries("payouts", now_s=now_s),
                now_s=now_s,
            )


def taken(budget, *, tries, now_s=0.0, daemons=1):
    return sum(
        budget.try_take("payouts", daemons=daemons, now_s=now_s) for _ in range(tries)
    )


def test_what_others_spent_is_not_spent_again():
    budget = make_budget(extra=20)
    hear(budget, repeats=8, run=("vm-2", 1))
    hear(budget, repeats=6, run=("vm-3", 1))
    assert taken(budget, tries=50) == 2


def test_the_window_slides():
    budget = make_budget(extra=20)
    assert taken(budget, tries=50, now_s=0.0) == 16
    assert taken(budget, tries=50, now_s=9.9) == 0
    assert taken(budget, tries=50, now_s=10.1) == 16


def test_services_have_budgets_of_their_own():
    budget = make_budget(extra=4)
    assert taken(budget, tries=9) == 3
    assert budget.try_take("stock", daemons=1, now_s=0.0)


def test_daemons_that_spend_at_once_keep_the_bound_between_them():
    """All of 44 daemons try every 10 ms; each hears of the others a step later."""
    fleet = [make_budget(extra=62, seed=seed) for seed in range(44)]
    spent = 0
    for step in range(900):
        now_s = step * 0.01
        takers = [
            number
            for number, each in enumerate(fleet)
            if each.try_take("payouts", daemons=44, now_s=now_s)
        ]
        spent += len(takers)
        for taker in takers:
            tell_all(fleet, taker, now_s=now_s)
    assert 0 < spent <= 62


def test_the_requests_that_others_tell_of_earn_repeats_while_they_are_recent():
    budget = make_budget(extra=10)
    hear(budget, requests=100)
    assert taken(budget, tries=50) == 24
    assert taken(budget, tries=50, now_s=10.1) == 8


def test_requests_that_may_still_be_answered_leave_half_to_those_not_run():
    budget = make_budget(extra=20)
    raced = sum(
        budget.try_take("payouts", daemons=1, now_s=0.0, is_hedge=True)
        for _ in range(50)
    )
    assert raced == 8
    assert taken(budget, tries=50) == 8


def test_shedding_by_all_targets_is_met_with_most_of_the_budget():
    """44 daemons, 70 requests a second, 55 in 100 refused for ten seconds."""
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
            tell_all(fleet, daemon, now_s=now_s)
    bound = 62 + 0.2 * requests
    assert 0.5 * bound < spent <= bound


def test_a_daemon_that_hears_nobody_spends_a_bounded_part_of_the_budget():
    budget = make_budget(extra=100)
    hear(budget, requests=1000)
    allowed = 0.8 * (100 + 0.2 * 1000)
    assert taken(budget, tries=500, daemons=40) == OWN_SHARE_FACTOR * allowed / 40


def test_daemons_that_restart_in_turn_do_not_spend_what_was_spent_before():
    """Half of 40 daemons restart while all try to spend at each moment."""
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
                tell_all(fleet, number, now_s=now_s, run=runs[number])
    assert 0 < spent <= extra


def test_lost_messages_are_made_up_for_by_the_next_ones():
    """A third of all messages between 40 daemons is lost."""
    rng = random.Random(3)
    fleet = [make_budget(extra=200, seed=seed) for seed in range(40)]
    spent = 0
    for step in range(900):
        now_s = step * 0.01
        number = rng.randrange(40)
        if fleet[number].try_take("payouts", daemons=40, now_s=now_s):
            spent += 1
            heard = [each for each in fleet if rng.random() > 1 / 3]
            heard = [each for each in heard if each is not fleet[number]]
            tell_all([fleet[number], *heard], 0, now_s=now_s, run=number)
    assert 100 < spent <= 200
