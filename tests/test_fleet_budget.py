"""The fleet's budget for sending requests a second time."""

import random

from dogwoodhook.state.fleet_budget import FleetBudget


def make_budget(*, extra, seed=7):
    return FleetBudget(ratio=0.2, extra=extra, window_s=10.0, rng=random.Random(seed))


def taken(budget, *, tries, now_s=0.0, daemons=1):
    return sum(
        budget.try_take("payouts", daemons=daemons, now_s=now_s) for _ in range(tries)
    )


def test_what_others_spent_is_not_spent_again():
    budget = make_budget(extra=20)
    for _ in range(14):
        budget.record_peer_repeat("payouts", now_s=0.0)
    assert taken(budget, tries=50) == 1


def test_the_window_slides():
    budget = make_budget(extra=20)
    assert taken(budget, tries=50, now_s=0.0) == 15
    assert taken(budget, tries=50, now_s=9.9) == 0
    assert taken(budget, tries=50, now_s=10.1) == 15


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
        takers = [each for each in fleet if each.try_take("s", daemons=44, now_s=now_s)]
        spent += len(takers)
        for taker in takers:
            for other in fleet:
                if other is not taker:
                    other.record_peer_repeat("s", now_s=now_s)
    assert 0 < spent <= 62
