"""Planned stops and quiet hours against the floor, minute by minute."""

import datetime

from hypothesis import given
from hypothesis import strategies as st

from dogwoodhook.clock import WALL_CLOCK_ERROR_S
from dogwoodhook.state.floors import highest_floor
from dogwoodhook.state.model import (
    Parameters,
    PlannedStop,
    QuietHours,
    Service,
    Target,
)
from dogwoodhook.state.stops import check_stop, counted_stops, stopping_targets

MINUTE_S = 60
HOUR_S = 3600
ZONES = ("Africa/Kigali", "Europe/Helsinki")
TARGETS = tuple(Target(f"t{n}", "a", "127.0.0.1", n) for n in range(5))
BEFORE_CLOCK_CHANGES_S = [
    datetime.datetime(2026, 3, 28, 12, tzinfo=datetime.UTC).timestamp(),
    datetime.datetime(2026, 10, 24, 12, tzinfo=datetime.UTC).timestamp(),
]

clock_times = st.builds(
    datetime.time, st.integers(0, 23), st.sampled_from([0, 15, 30, 59])
)
quiet_hours = st.builds(
    QuietHours,
    st.sampled_from(ZONES),
    st.sampled_from([(5, 6), (6,), (7,), (1, 2, 3, 4, 5, 6, 7)]),
    clock_times,
    clock_times,
    st.integers(0, 4),
)
parameters = st.builds(
    Parameters,
    capacity_floor=st.integers(1, 4),
    quiet_hours=st.lists(quiet_hours, max_size=2).map(tuple),
)


@st.composite
def stop_lists(draw):
    base_s = draw(st.sampled_from(BEFORE_CLOCK_CHANGES_S))
    stops = []
    for number in range(draw(st.integers(1, 6))):
        start_s = base_s + draw(st.integers(0, 24 * 60)) * MINUTE_S
        end_s = start_s + draw(st.integers(1, 10 * 60)) * MINUTE_S
        target = draw(st.sampled_from(TARGETS)).name
        stops.append(PlannedStop(f"s{number}", "postings", target, start_s, end_s))
    return base_s, stops


def accept_in_turn(service, stops):
    accepted = []
    for stop in stops:
        if not check_stop(service, accepted, stop):
            accepted.append(stop)
    return accepted


def moments_of(base_s, stops):
    edges = {edge for stop in stops for edge in (stop.start_s, stop.end_s)}
    yield from (base_s + 10 * MINUTE_S * step for step in range(36 * 6))
    for edge in edges:
        yield from (edge + offset for offset in (-20, -14, -12, -2, 0, 1))


@given(parameters, stop_lists())
def test_accepted_stops_never_break_the_floor_of_the_hour(parameters, drawn):
    base_s, stops = drawn
    service = Service("postings", "ur", parameters, TARGETS, ())
    accepted = accept_in_turn(service, stops)
    for moment_s in moments_of(base_s, accepted):
        out = stopping_targets(
            service, accepted, wall_s=moment_s - WALL_CLOCK_ERROR_S
        ) | stopping_targets(service, accepted, wall_s=moment_s + WALL_CLOCK_ERROR_S)
        floor = parameters.capacity_floor_at(moment_s)
        assert not out or len(TARGETS) - len(out) >= floor


@given(stop_lists(), st.floats(-WALL_CLOCK_ERROR_S, WALL_CLOCK_ERROR_S))
def test_what_one_daemon_stops_every_other_counts(drawn, error_s):
    base_s, stops = drawn
    service = Service("postings", "ur", Parameters(), TARGETS, ())
    for moment_s in moments_of(base_s, stops):
        stopping = stopping_targets(service, stops, wall_s=moment_s + error_s)
        assert stopping <= counted_stops(service, stops, wall_s=moment_s)


@given(parameters, st.sampled_from(BEFORE_CLOCK_CHANGES_S), st.integers(0, 4320))
def test_the_highest_floor_of_a_span_misses_no_moment(parameters, base_s, minutes):
    until_s = base_s + minutes * MINUTE_S
    highest = highest_floor(parameters, from_s=base_s, until_s=until_s)
    walked = range(int(base_s), int(until_s) + 1, MINUTE_S)
    assert highest == max(parameters.capacity_floor_at(each) for each in walked)
