"""Checks planned stops and quiet hours against the floor, minute by minute."""

import datetime
import operator

from hypothesis import given, settings
from hypothesis import strategies as st

from dogwoodhook.clock import WALL_CLOCK_ERROR_S
from dogwoodhook.state.floors import floor_moments
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
EDGE_OFFSETS_S = (-3, -1, 0, 1, 13)
MOMENT_OFFSETS_S = (-20, -14, -13, -12, -2, 0, 1)
TARGETS = tuple(Target(f"t{n}", "a", "127.0.0.1", n) for n in range(5))
BEFORE_CLOCK_CHANGES_S = [
    datetime.datetime(2026, 3, 28, 12, tzinfo=datetime.UTC).timestamp(),
    datetime.datetime(2026, 10, 24, 12, tzinfo=datetime.UTC).timestamp(),
]

clock_times = st.builds(
    datetime.time, st.sampled_from([0, 2, 3, 4, 18]), st.sampled_from([0, 47])
)
quiet_hours = st.builds(
    QuietHours,
    st.sampled_from(ZONES),
    st.sampled_from([(5, 6), (7,), (1, 2, 3, 4, 5, 6, 7)]),
    clock_times,
    clock_times,
    st.integers(0, 4),
)
parameters = st.builds(
    Parameters,
    capacity_floor=st.integers(3, 5),
    quiet_hours=st.lists(quiet_hours, max_size=2).map(tuple),
)


@st.composite
def service_with_stops(draw):
    service = Service("postings", "ur", draw(parameters), TARGETS, ())
    base_s = draw(st.sampled_from(BEFORE_CLOCK_CHANGES_S))
    until_s = base_s + 24 * HOUR_S
    moments = floor_moments(service.parameters, from_s=base_s, until_s=until_s)
    edges = st.builds(
        operator.add,
        st.sampled_from(sorted(set(moments))),
        st.sampled_from(EDGE_OFFSETS_S),
    )
    stops = []
    for number in range(draw(st.integers(1, 6))):
        start_s, end_s = sorted([draw(edges), draw(edges) + MINUTE_S])
        target = draw(st.sampled_from(TARGETS)).name
        stops.append(PlannedStop(f"s{number}", "postings", target, start_s, end_s))
    return service, base_s, stops


def accept_in_turn(service, stops):
    accepted = []
    for stop in stops:
        if not check_stop(service, accepted, stop):
            accepted.append(stop)
    return accepted


def moments_of(base_s, stops):
    edges = {edge for stop in stops for edge in (stop.start_s, stop.end_s)}
    yield from (base_s + 10 * MINUTE_S * step for step in range(24 * 6))
    for edge in edges:
        yield from (edge + offset for offset in MOMENT_OFFSETS_S)


@settings(max_examples=300)
@given(service_with_stops())
def test_accepted_stops_never_break_the_floor_of_the_hour(drawn):
    service, base_s, stops = drawn
    accepted = accept_in_turn(service, stops)
    for moment_s in moments_of(base_s, accepted):
        out = stopping_targets(
            service, accepted, wall_s=moment_s - WALL_CLOCK_ERROR_S
        ) | stopping_targets(service, accepted, wall_s=moment_s + WALL_CLOCK_ERROR_S)
        floor = service.parameters.capacity_floor_at(moment_s)
        assert not out or len(TARGETS) - len(out) >= floor


@given(service_with_stops(), st.floats(-WALL_CLOCK_ERROR_S, WALL_CLOCK_ERROR_S))
def test_what_one_daemon_stops_every_other_counts(drawn, error_s):
    service, base_s, stops = drawn
    for moment_s in moments_of(base_s, stops):
        stopping = stopping_targets(service, stops, wall_s=moment_s + error_s)
        assert stopping <= counted_stops(service, stops, wall_s=moment_s)


@given(parameters, st.sampled_from(BEFORE_CLOCK_CHANGES_S))
def test_every_change_of_the_floor_is_among_its_moments(parameters, base_s):
    until_s = base_s + 24 * HOUR_S
    moments = set(floor_moments(parameters, from_s=base_s, until_s=until_s))
    before = parameters.capacity_floor_at(base_s)
    for moment_s in range(int(base_s), int(until_s) + 1, MINUTE_S):
        floor = parameters.capacity_floor_at(moment_s)
        assert floor == before or moment_s in moments
        before = floor
