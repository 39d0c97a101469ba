"""How neighbours' counts are corrected when their reports are old."""

import random
from dataclasses import replace

import pytest

from benchmarks.even_load_fleet import EvenLoadFleet, Layout
from dogwoodhook.state.fleet_load import FleetLoad
from dogwoodhook.state.load_estimate import (
    ECHO_RETENTION_S,
    MIN_ECHOES,
    MIN_OLD_SHARE,
    LoadEstimator,
    NewsAge,
)
from dogwoodhook.state.load_spread import LoadSpread, load_spreads
from dogwoodhook.state.placement import Placement
from dogwoodhook.state.suspicion import Suspicion, Symptom
from dogwoodhook.state.target_directory import TargetEntry

NEAR = TargetEntry("t1", "proofs", "10.0.0.1", 80, "oulu-1", 4, False, 0.0, 1)
TARGETS = [replace(NEAR, name=f"t{number}") for number in range(1, 21)]
WORK_S = 0.3


@pytest.fixture
def load():
    load = FleetLoad()
    load.record_report("vm-2", {"t1": 2, "t2": 4}, now_s=0.0)
    load.start("t1")
    return load


def estimate(load, targets=TARGETS[:3], *, age_s, work_s=WORK_S):
    estimator = LoadEstimator(
        load, news_age_s=lambda *, now_s: age_s, work_s=lambda service: work_s
    )
    return estimator.estimate(targets, now_s=0.0)


@pytest.mark.parametrize(
    ("age_s", "work_s"),
    [(None, WORK_S), (0.5, None), (0.9 * MIN_OLD_SHARE * WORK_S, WORK_S)],
)
def test_counts_of_recent_or_unknown_age_stand_as_they_are(load, age_s, work_s):
    estimated = estimate(load, age_s=age_s, work_s=work_s)
    assert not estimated.is_old
    assert estimated.in_flight == load.by_target(now_s=0.0)


def test_counts_that_are_old_remain_so_while_requests_queue(load):
    work_s = [0.3]
    estimator = LoadEstimator(
        load,
        news_age_s=lambda *, now_s: 0.05,
        work_s=lambda service: work_s[0],
    )
    assert estimator.estimate(TARGETS, now_s=0.0).is_old
    work_s[0] = 2.0
    assert estimator.estimate(TARGETS, now_s=5.0).is_old
    assert not estimator.estimate(TARGETS, now_s=600.0).is_old


@pytest.mark.parametrize("idle_s", [61_500.0, 1e6, 1e9])
def test_a_service_without_requests_for_hours_overflows(load, idle_s):
    estimator = LoadEstimator(
        load,
        news_age_s=lambda *, now_s: 0.5,
        work_s=lambda service: WORK_S,
    )
    estimator.estimate(TARGETS, now_s=0.0)
    assert estimator.estimate(TARGETS, now_s=idle_s).is_old


def test_old_counts_differ_less_and_own_requests_count_in_full(load):
    counts = [
        estimate(load, age_s=age_s).in_flight for age_s in (0.1, 0.3, 100 * WORK_S)
    ]
    differences = [each["t2"] - each["t3"] for each in counts]
    assert differences == sorted(differences, reverse=True)
    assert counts[-1]["t2"] == pytest.approx(counts[-1]["t3"])
    assert counts[-1]["t1"] == pytest.approx(counts[-1]["t3"] + 1)


def test_the_sum_of_the_requests_is_kept_in_each_data_centre(load):
    away = replace(NEAR, name="away", data_centre="oulu-2")
    in_flight = estimate(load, [*TARGETS[:3], away], age_s=0.2).in_flight
    assert in_flight["away"] == 0
    assert sum(in_flight.values()) == pytest.approx(7)


def play_echoes(age, ages_s, *, sent=lambda number: {"t1": number}):
    for number, age_s in enumerate(ages_s):
        age.record_sent(sent(number), now_s=float(number))
        if age_s is not None:
            age.record_echo(sent(number), now_s=number + age_s)


def test_the_age_is_that_of_most_reports_although_some_are_lost():
    age = NewsAge()
    play_echoes(age, [0.0625, None, 0.0625, 0.0625, 0.4375, None, 0.0625])
    assert age.median_s(now_s=7.0) == 0.0625


def test_a_report_that_a_later_one_replaced_at_the_collector_is_not_measured():
    age = NewsAge()
    for number in range(MIN_ECHOES):
        age.record_sent({"t1": 1}, now_s=float(number))
        age.record_sent({"t1": 2}, now_s=number + 0.25)
        age.record_echo({"t1": 2}, now_s=number + 0.3125)
    assert age.median_s(now_s=4.0) == 0.0625


def test_the_age_is_unknown_before_enough_echoes_and_after_a_silence():
    age = NewsAge()
    play_echoes(age, [0.05] * (MIN_ECHOES - 1))
    assert age.median_s(now_s=2.0) is None
    play_echoes(age, [0.05] * MIN_ECHOES)
    assert age.median_s(now_s=3.0) is not None
    assert age.median_s(now_s=3.0 + ECHO_RETENTION_S) is None


def make_placement(load, *, age_s, suspicion=None):
    rng = random.Random(7)
    return Placement(
        suspicion or Suspicion(daemon="vm-1", rng=rng),
        load,
        data_centre="oulu-1",
        rng=rng,
        has_idle_connection=lambda target: False,
        has_joined_recently=lambda name, now_s: False,
        estimator=LoadEstimator(
            load,
            news_age_s=lambda *, now_s: age_s,
            work_s=lambda service: WORK_S,
        ),
    )


def chosen(placement, targets, count=300):
    return {
        placement.choose(
            targets, tried=frozenset(), is_idempotent=True, now_s=0.1
        ).target.name
        for _ in range(count)
    }


def test_the_last_free_target_is_not_chosen_by_all_daemons_from_old_counts():
    load = FleetLoad()
    load.record_report("vm-2", {each.name: 4 for each in TARGETS[1:]}, now_s=0.0)
    assert chosen(make_placement(load, age_s=0.0), TARGETS) == {"t1"}
    assert len(chosen(make_placement(load, age_s=0.3), TARGETS)) > len(TARGETS) / 2


def test_a_full_data_centre_sends_requests_to_another_also_by_old_counts():
    load = FleetLoad()
    load.record_report("vm-2", {each.name: 12 for each in TARGETS}, now_s=0.0)
    away = replace(NEAR, name="away", data_centre="oulu-2")
    assert chosen(make_placement(load, age_s=0.3), [*TARGETS, away]) == {"away"}


def test_the_one_target_that_did_not_fail_is_found_also_by_old_counts():
    suspicion = Suspicion(daemon="vm-1", rng=random.Random(7))
    for each in TARGETS[1:]:
        suspicion.record_failure(each.name, Symptom.RESET, now_s=0.0)
    placement = make_placement(FleetLoad(), age_s=0.3, suspicion=suspicion)
    assert chosen(placement, TARGETS) == {"t1"}


def test_the_spread_is_that_of_the_own_data_centre_by_slots():
    away = replace(NEAR, name="away", data_centre="oulu-2")
    wide = replace(NEAR, name="wide", slots=8)
    spread = load_spreads(
        [NEAR, wide, away], {"t1": 1, "wide": 6, "away": 9}, data_centre="oulu-1"
    )
    assert spread == {"proofs": LoadSpread(smallest=0.25, largest=0.75)}


def play(layout, *, corrects_counts, **options):
    fleet = EvenLoadFleet(
        layout,
        lambda daemon: daemon.make_placement(corrects_counts=corrects_counts),
        seed=5,
        **options,
    )
    return fleet.play(warm_up_s=2.0, measured_s=3.0).summary()


# 50 daemons share 39 targets of 4 slots; half of the slots are busy. News are as old as
# where a collector's reports wait for busy processors.
HALF_BUSY = Layout(50, 39, 4, WORK_S, 0.5, 0.2)


@pytest.mark.parametrize("options", [{}, {"slow_targets": 3}])
def test_fewer_requests_wait_beside_free_slots_by_corrected_old_counts(options):
    corrected = play(HALF_BUSY, corrects_counts=True, **options)
    as_reported = play(HALF_BUSY, corrects_counts=False, **options)
    for name in ("waited_beside_free_slots", "mean_wait_ms"):
        assert corrected[name] < 0.75 * as_reported[name]
    assert corrected["largest_load"] < as_reported["largest_load"]
    name = "new_connections_per_request"
    assert corrected[name] <= as_reported[name]


def test_a_burst_on_old_news_sheds_fewer_requests_by_corrected_counts():
    layout = replace(HALF_BUSY, load=1.3, age_s=0.05)
    corrected = play(layout, corrects_counts=True)
    as_reported = play(layout, corrects_counts=False)
    assert corrected["sheds_per_request"] < 0.75 * as_reported["sheds_per_request"]
    name = "new_connections_per_request"
    assert corrected[name] < as_reported[name]


def test_with_recent_news_nothing_changes():
    layout = replace(HALF_BUSY, age_s=0.005)
    assert play(layout, corrects_counts=True) == play(layout, corrects_counts=False)
