"""Which requests wait for room, which go first, and which are refused."""

import random
from collections import Counter

import pytest

from dogwoodhook.state.crowding import (
    MAX_HELD,
    Crowding,
    RefuseNoRoom,
    RefuseTooLate,
    RetryRoom,
    SendNow,
    ServiceRoom,
    Wait,
    WaitingRequest,
)

FULL = ServiceRoom(slots=6, in_flight=12, places=0)
FREE = ServiceRoom(slots=6, in_flight=3, places=9)
NO_TOKENS = RetryRoom(tokens=0.0, next_in_s=2.0, tokens_per_s=5.0)
USUAL = {"usual_s": 0.5, "daemons": 1}


def ask(number, *, workspace="a", priority=1, arrived_s=0.0, left_s=12.0, **more):
    return WaitingRequest(
        number,
        "payouts",
        workspace,
        priority,
        arrived_s,
        target_latency_s=2.5,
        deadline_s=arrived_s + left_s,
        **more,
    )


@pytest.fixture
def crowding():
    return Crowding(random.Random(7))


def grant_all(crowding, *, now_s=1.0):
    granted = []
    while (each := crowding.grant("payouts", FREE, now_s=now_s, **USUAL)) is not None:
        granted.append(each)
    return granted


def test_a_request_is_sent_at_once_while_a_target_has_room(crowding):
    assert crowding.decide_arrival(ask(1), FREE, now_s=0.0, **USUAL) == SendNow()


def test_a_request_waits_while_all_slots_are_taken(crowding):
    decision = crowding.decide_arrival(ask(1), FULL, now_s=0.0, **USUAL)
    assert isinstance(decision, Wait)
    crowding.hold(ask(1), now_s=0.0)
    assert crowding.grant("payouts", FULL, now_s=0.1, **USUAL) is None
    assert crowding.grant("payouts", FREE, now_s=0.2, **USUAL) == ask(1)
    assert len(crowding) == 0


def test_a_later_request_does_not_overtake_a_held_one(crowding):
    crowding.hold(ask(1), now_s=0.0)
    assert isinstance(crowding.decide_arrival(ask(2), FREE, now_s=0.0, **USUAL), Wait)


def test_a_request_that_cannot_end_in_time_is_refused_at_once(crowding):
    decision = crowding.decide_arrival(ask(1, left_s=0.52), FULL, now_s=0.0, **USUAL)
    assert isinstance(decision, RefuseTooLate)


def test_a_held_request_is_overdue_once_it_cannot_end_in_time(crowding):
    crowding.hold(ask(1, left_s=3.0), now_s=0.0)
    assert not crowding.overdue("payouts", usual_s=0.5, now_s=2.2)
    assert crowding.overdue("payouts", usual_s=0.5, now_s=2.3) == [ask(1, left_s=3.0)]


def test_no_more_requests_are_held_than_allowed(crowding):
    for number in range(MAX_HELD):
        crowding.hold(ask(number), now_s=0.0)
    decision = crowding.decide_arrival(ask(999), FULL, now_s=0.0, **USUAL)
    assert isinstance(decision, RefuseNoRoom)


def test_a_shed_request_waits_for_the_budget_if_it_has_the_time(crowding):
    long, short = ask(1, sheds=1), ask(2, sheds=1, left_s=2.3)
    decide = crowding.decide_shed
    assert decide(long, NO_TOKENS, now_s=0.0, **USUAL) == Wait(2.0)
    assert isinstance(decide(short, NO_TOKENS, now_s=0.0, **USUAL), RefuseTooLate)
    crowding.hold(long, now_s=0.0)
    assert crowding.grant("payouts", FREE, now_s=1.0, **USUAL) is None
    granted = crowding.grant("payouts", FREE, now_s=1.0, has_retry=True, **USUAL)
    assert granted == long


def test_a_waiting_retry_does_not_keep_new_requests_back(crowding):
    crowding.hold(ask(1, sheds=1), now_s=0.0)
    assert crowding.decide_arrival(ask(2), FREE, now_s=0.0, **USUAL) == SendNow()


def test_urgent_requests_go_first_and_the_others_still_get_turns(crowding):
    for number in range(16):
        crowding.hold(ask(number, priority=number % 2), now_s=0.0)
    first = grant_all(crowding)[:8]
    assert Counter(each.priority for each in first)[0] >= 6
    crowding.hold(ask(99, workspace="z", priority=2), now_s=1.0)
    for number in range(100, 104):
        crowding.hold(ask(number), now_s=1.0)
    assert 99 in [each.number for each in grant_all(crowding)]


def test_a_workspace_at_five_times_its_usual_does_not_displace_the_others(crowding):
    for second in range(60):
        for workspace in "abcde":
            crowding.record_use(workspace, now_s=float(second))
    numbers = iter(range(1000))
    for workspace, count in {"a": 20, "b": 4, "c": 4, "d": 4, "e": 4}.items():
        for _ in range(count):
            crowding.record_use(workspace, now_s=60.0)
            crowding.hold(ask(next(numbers), workspace=workspace), now_s=60.0)
    first = Counter(each.workspace for each in grant_all(crowding, now_s=60.0)[:20])
    assert all(first[each] >= 3 for each in "bcde")
    assert first["a"] <= 8


def test_requests_that_can_still_be_in_time_go_before_late_ones(crowding):
    crowding.hold(ask(1, arrived_s=0.0), now_s=3.0)
    crowding.hold(ask(2, arrived_s=2.0), now_s=3.0)
    crowding.hold(ask(3, arrived_s=1.0), now_s=3.0)
    assert [each.number for each in grant_all(crowding, now_s=3.0)] == [3, 2, 1]


def test_of_many_daemons_that_see_one_free_place_few_use_it():
    one = ServiceRoom(slots=6, in_flight=11, places=1)
    granted = 0
    for seed in range(100):
        crowding = Crowding(random.Random(seed))
        crowding.hold(ask(1), now_s=0.0)
        granted += (
            crowding.grant("payouts", one, usual_s=0.5, daemons=100, now_s=0.1)
            is not None
        )
    assert granted <= 10
