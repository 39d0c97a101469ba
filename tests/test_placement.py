"""Which target a request goes to."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from dogwoodhook.state.fleet_load import FleetLoad
from dogwoodhook.state.placement import SAMPLED_TARGETS, Placement
from dogwoodhook.state.suspicion import Suspicion, Symptom
from dogwoodhook.state.target_directory import TargetEntry

HERE = TargetEntry("here", "payouts", "10.0.0.1", 80, "oulu-1", 3, False, 0.0, 1)
AWAY = replace(HERE, name="away", host="10.0.0.2", data_centre="oulu-2")


@pytest.fixture
def suspicion():
    return Suspicion(daemon="vm-1", rng=random.Random(7))


@pytest.fixture
def with_idle_connection():
    return set()


@pytest.fixture
def recently_joined():
    return set()


@pytest.fixture
def load():
    return FleetLoad()


@pytest.fixture
def placement(suspicion, load, with_idle_connection, recently_joined):
    return Placement(
        suspicion,
        load,
        data_centre="oulu-1",
        rng=random.Random(7),
        has_idle_connection=lambda target: target.name in with_idle_connection,
        has_joined_recently=lambda name, now_s: name in recently_joined,
    )


def choose(placement, targets, *, tried=frozenset(), now_s=0.0, is_idempotent=False):
    candidate = placement.choose(
        targets, tried=tried, is_idempotent=is_idempotent, now_s=now_s
    )
    return candidate.target if candidate else None


def test_targets_of_the_own_data_centre_are_preferred(placement):
    assert all(choose(placement, [AWAY, HERE]) is HERE for _ in range(100))


def test_requests_of_a_busy_data_centre_go_to_another_one(placement):
    for _ in range(4):
        placement.start(HERE, now_s=0.0)
    assert all(choose(placement, [HERE, AWAY]) is AWAY for _ in range(100))
    for _ in range(4):
        placement.finish(HERE)
    assert choose(placement, [HERE, AWAY]) is HERE


def test_a_suspect_is_chosen_only_if_no_other_target_is_left(placement, suspicion):
    suspicion.record_failure("here", Symptom.RESET, now_s=0.0)
    assert choose(placement, [HERE, AWAY]) is AWAY
    assert choose(placement, [HERE]) is HERE


MANY = [replace(HERE, name=f"t{number}") for number in range(5 * SAMPLED_TARGETS)]


def test_one_sound_target_among_many_failing_ones_is_found(placement, suspicion):
    sound = MANY[-1]
    for target in MANY[:-1]:
        suspicion.record_failure(target.name, Symptom.RESET, now_s=0.0)
    assert all(choose(placement, MANY) is sound for _ in range(100))


def test_one_free_target_among_many_busy_ones_is_found(placement, load):
    free = MANY[-1]
    load.record_report("vm-2", {each.name: 3 for each in MANY[:-1]}, now_s=0.0)
    assert all(choose(placement, MANY) is free for _ in range(100))


def test_all_of_many_targets_get_requests(placement):
    chosen = {choose(placement, MANY).name for _ in range(1000)}
    assert len(chosen) == len(MANY)


def test_a_target_that_was_tried_is_not_chosen_again(placement):
    assert choose(placement, [HERE], tried=frozenset({"here"})) is None


def test_a_target_with_an_idle_connection_is_preferred_among_equal_ones(
    placement, with_idle_connection
):
    with_idle_connection.add("here")
    unused = [replace(HERE, name=f"unused-{number}") for number in range(3)]
    counts = Counter(choose(placement, [HERE, *unused]).name for _ in range(1000))
    assert counts["here"] > 900


def test_a_recently_joined_target_gets_its_share_until_its_first_request(
    placement, with_idle_connection, recently_joined
):
    used = [replace(HERE, name=f"used-{number}") for number in range(4)]
    with_idle_connection.update(each.name for each in used)
    recently_joined.add("new")
    new = replace(HERE, name="new")
    counts = Counter(choose(placement, [*used, new]).name for _ in range(1000))
    assert counts["new"] > 100
    placement.start(new, now_s=0.0)
    placement.finish(new)
    counts = Counter(choose(placement, [*used, new]).name for _ in range(1000))
    assert counts["new"] < 10


def test_slow_targets_are_preferred_to_a_failing_one_if_all_are_suspects(
    placement, suspicion
):
    slow = [replace(HERE, name=f"slow-{number}") for number in range(3)]
    for target in slow:
        suspicion.record_failure(target.name, Symptom.OVERDUE, now_s=0.0)
    for _ in range(2):
        suspicion.record_failure("here", Symptom.RESET, now_s=0.0)
    chosen = {choose(placement, [HERE, *slow], now_s=0.1).name for _ in range(100)}
    assert chosen == {"slow-0", "slow-1", "slow-2"}


def test_requests_in_flight_from_neighbours_count(
    placement, load, with_idle_connection
):
    other = replace(HERE, name="other")
    with_idle_connection.update({"here", "other"})
    load.record_report("vm-2", {"here": 1}, now_s=0.0)
    load.record_report("vm-3", {"here": 1}, now_s=0.0)
    assert all(choose(placement, [HERE, other]) is other for _ in range(100))
    load.record_report("vm-2", {}, now_s=0.1)
    load.record_report("vm-3", {}, now_s=0.1)
    chosen = {choose(placement, [HERE, other], now_s=0.1).name for _ in range(100)}
    assert chosen == {"here", "other"}


def queueing_share(*, receives_reports, seed=5):
    """Return the share of requests without a free slot when 75% of slots are in use."""
    rng = random.Random(seed)
    targets = [replace(HERE, name=f"t{number}") for number in range(4)]
    loads = [FleetLoad() for _ in range(16)]
    placements = [
        Placement(
            Suspicion(daemon=f"vm-{number}", rng=rng),
            load,
            data_centre="oulu-1",
            rng=rng,
            has_idle_connection=lambda target: True,
            has_joined_recently=lambda name, now_s: False,
        )
        for number, load in enumerate(loads)
    ]
    busy = Counter()
    ends = []
    queued = requests = 0
    now_s = 0.0
    while requests < 2000:
        now_s += rng.expovariate(9 / 0.23)
        while ends and ends[0][0] <= now_s:
            _, daemon, target = ends.pop(0)
            placements[daemon].finish(target)
            busy[target.name] -= 1
            report_load(loads, daemon, now_s, receives_reports)
        daemon = rng.randrange(16)
        target = choose(placements[daemon], targets, now_s=now_s)
        requests += 1
        queued += busy[target.name] >= 3
        busy[target.name] += 1
        placements[daemon].start(target, now_s=now_s)
        report_load(loads, daemon, now_s, receives_reports)
        ends.append((now_s + rng.expovariate(1 / 0.23), daemon, target))
        ends.sort(key=lambda end: end[0])
    return queued / requests


def report_load(loads, daemon, now_s, receives_reports):
    if not receives_reports:
        return
    for number, load in enumerate(loads):
        if number != daemon:
            load.record_report(f"vm-{daemon}", loads[daemon].own(), now_s=now_s)


def test_counting_requests_of_neighbours_halves_those_without_a_free_slot():
    share_without_reports = queueing_share(receives_reports=False)
    share_with_reports = queueing_share(receives_reports=True)
    assert share_with_reports < share_without_reports / 2


def test_the_target_with_the_fewest_failures_is_chosen_if_all_have_failed(
    placement, suspicion
):
    flaky = replace(HERE, name="flaky")
    for now_s in (0.0, 0.1, 0.2):
        suspicion.record_failure("here", Symptom.RESET, now_s=now_s)
    suspicion.record_failure("flaky", Symptom.RESET, now_s=0.3)
    chosen = {choose(placement, [HERE, flaky], now_s=0.4).name for _ in range(100)}
    assert chosen == {"flaky"}


def test_a_doubtful_target_is_preferred_to_a_busy_one_only_for_idempotent_requests(
    placement, suspicion
):
    other = replace(HERE, name="other")
    suspicion.record_failure("here", Symptom.RESET, now_s=0.0)
    for _ in range(4):
        placement.start(other, now_s=0.0)
    options = {"now_s": 0.1}
    chosen = {choose(placement, [HERE, other], **options).name for _ in range(50)}
    assert chosen == {"other"}
    options["is_idempotent"] = True
    chosen = {choose(placement, [HERE, other], **options).name for _ in range(50)}
    assert chosen == {"here"}


def test_free_slots_are_counted_at_the_targets_of_the_own_data_centre(placement):
    assert placement.has_free_slots([HERE, AWAY], now_s=0.0)
    for _ in range(3):
        placement.start(HERE, now_s=0.0)
    assert not placement.has_free_slots([HERE, AWAY], now_s=0.0)
    assert placement.has_free_slots([AWAY], now_s=0.0)


def test_a_candidate_has_a_free_slot_until_all_are_in_use(placement):
    options = {"tried": frozenset(), "is_idempotent": True, "now_s": 0.0}
    for _ in range(HERE.slots):
        assert placement.choose([HERE], **options).has_free_slot
        placement.start(HERE, now_s=0.0)
    assert not placement.choose([HERE], **options).has_free_slot


def test_a_target_that_refused_a_request_has_no_room_for_a_moment(placement, suspicion):
    assert placement.room([HERE, AWAY], now_s=0.0).places == 9
    suspicion.record_failure("here", Symptom.BUSY, now_s=0.0)
    assert placement.room([HERE, AWAY], now_s=0.1).places == 3
    assert placement.room([HERE, AWAY], now_s=5.0).places == 9
