import dataclasses
import datetime

import pytest

from dogwoodhook.coordination.change_checks import check_change
from dogwoodhook.state.model import (
    Change,
    Configuration,
    ParameterOverrides,
    Parameters,
    PlannedStop,
    QuietHours,
    Service,
    ServiceDefinition,
    Target,
    Template,
    apply_change,
)
from dogwoodhook.state.stops import (
    check_stop,
    counted_stops,
    minimum_notice_s,
    stopping_targets,
)

NOON_S = datetime.datetime(2026, 12, 4, 12, tzinfo=datetime.UTC).timestamp()
HOUR_S = 3600.0
WEEKEND = QuietHours(
    "Africa/Kigali", (5,), datetime.time(18), datetime.time(6), capacity_floor=2
)


def make_service(*, floor=3, quiet_hours=()):
    listed = tuple(Target(f"t{n}", "kigali-1", "127.0.0.1", n) for n in range(4))
    return Service("postings", "ur", Parameters(floor, quiet_hours), listed, ())


def make_stop(target="t1", *, name="s1", start_s=NOON_S, hours=1.0):
    return PlannedStop(name, "postings", target, start_s, start_s + hours * HOUR_S)


def places(findings):
    return [finding.place for finding in findings]


def test_new_work_ends_one_deadline_before_a_stop():
    service, stops = make_service(), (make_stop(),)
    assert not stopping_targets(service, stops, wall_s=NOON_S - 12.1)
    assert stopping_targets(service, stops, wall_s=NOON_S - 12) == {"t1"}
    assert stopping_targets(service, stops, wall_s=NOON_S + HOUR_S - 1) == {"t1"}
    assert not stopping_targets(service, stops, wall_s=NOON_S + HOUR_S)


def test_the_floor_counts_a_stop_from_before_its_start_until_after_its_end():
    service, stops = make_service(), (make_stop(),)
    assert not counted_stops(service, stops, wall_s=NOON_S - 18.1)
    assert counted_stops(service, stops, wall_s=NOON_S - 18) == {"t1"}
    assert counted_stops(service, stops, wall_s=NOON_S + HOUR_S + 1) == {"t1"}


def test_a_stop_that_the_floor_allows_is_accepted():
    assert check_stop(make_service(), (), make_stop()) == ()


def test_two_stops_at_once_break_the_floor():
    (finding,) = check_stop(make_service(), (make_stop("t2", name="s2"),), make_stop())
    assert "leaves 2 of 4" in finding.message


def test_two_stops_of_one_target_count_once():
    assert check_stop(make_service(), (make_stop(name="s2"),), make_stop()) == ()


def test_a_stop_may_replace_an_older_one_of_its_name():
    assert check_stop(make_service(), (make_stop("t2"),), make_stop()) == ()


@pytest.mark.parametrize(
    ("minutes_past_start", "is_accepted"), [(-30, False), (0, False), (1, True)]
)
def test_quiet_hours_allow_a_second_stop(minutes_past_start, is_accepted):
    service = make_service(quiet_hours=(WEEKEND,))
    start_s = NOON_S + 4 * HOUR_S + 60 * minutes_past_start
    first = make_stop("t2", name="s2", start_s=start_s, hours=2)
    second = make_stop(start_s=start_s, hours=2)
    assert (check_stop(service, (first,), second) == ()) is is_accepted


def test_a_stop_past_the_end_of_quiet_hours_is_refused():
    service = make_service(quiet_hours=(WEEKEND,))
    start_s = NOON_S + 8 * HOUR_S
    first = make_stop("t2", name="s2", start_s=start_s, hours=12)
    (finding,) = check_stop(service, (first,), make_stop(start_s=start_s, hours=8.1))
    assert "2026-12-05T04:00:00" in finding.message
    assert check_stop(service, (first,), make_stop(start_s=start_s, hours=7.9)) == ()


def test_every_fault_of_the_input_is_reported():
    stop = PlannedStop("s1", "uploads", "t9", NOON_S, NOON_S)
    findings = check_stop(make_service(), (), stop)
    assert places(findings) == ["stop.s1.service", "stop.s1.target", "stop.s1.end"]


def test_a_stop_needs_notice_unless_its_target_is_stopping_already():
    service = make_service()
    notice_s = minimum_notice_s(service)
    late_s, early_s = NOON_S - notice_s + 1, NOON_S - notice_s
    findings = check_stop(service, (), make_stop(), wall_s=late_s)
    assert places(findings) == ["stop.s1.start"]
    assert check_stop(service, (), make_stop(), wall_s=early_s) == ()
    longer = make_stop(hours=2)
    assert check_stop(service, (make_stop(),), longer, wall_s=NOON_S + 60) == ()


def make_configuration(previous, *documents):
    version = previous.version + 1
    return apply_change(previous, Change(version, "amina", NOON_S, "t", documents))


def make_definition(*, floor, deadline_ms=None):
    overrides = ParameterOverrides(capacity_floor=floor, deadline_ms=deadline_ms)
    targets = make_service().targets
    return ServiceDefinition("postings", "small", "ur", targets, (), overrides)


PLANNED = make_configuration(Configuration(), make_definition(floor=3), make_stop())


def check(*documents, wall_s):
    version = PLANNED.version + 1
    change = Change(version, "amina", wall_s, "t", documents)
    candidate = apply_change(PLANNED, change)
    findings = check_change(PLANNED, candidate, change)
    return [place for place in places(findings) if place.startswith("stop.")]


def test_a_raised_floor_is_checked_against_stops_accepted_before():
    raised = make_definition(floor=4)
    assert check(raised, wall_s=NOON_S) == ["stop.s1"]
    assert check(raised, wall_s=NOON_S + HOUR_S) == []
    assert check(Template("other"), wall_s=NOON_S) == []


def test_two_stops_of_one_change_are_checked_together():
    start_s = NOON_S + 2 * HOUR_S
    one = make_stop("t2", name="s2", start_s=start_s)
    other = make_stop("t3", name="s3", start_s=start_s)
    assert check(one, wall_s=NOON_S) == []
    assert check(one, other, wall_s=NOON_S) == ["stop.s2", "stop.s3"]


def test_the_notice_is_checked_for_the_stops_that_a_change_writes():
    earlier = make_stop(start_s=NOON_S - 600, hours=2)
    assert check(earlier, wall_s=NOON_S - 600) == ["stop.s1.start"]
    assert check(earlier, wall_s=NOON_S - 700) == []
    assert check(make_stop(hours=2), wall_s=NOON_S + 60) == []


def test_a_longer_deadline_is_refused_too_shortly_before_a_stop():
    longer_deadline = make_definition(floor=3, deadline_ms=60_000)
    assert check(longer_deadline, wall_s=NOON_S - 60) == ["stop.s1.start"]
    assert check(longer_deadline, wall_s=NOON_S - 90) == []
    assert check(longer_deadline, wall_s=NOON_S - 10) == []


def test_a_stop_of_an_unknown_service_is_reported():
    unknown = PlannedStop("s2", "uploads", "t1", NOON_S, NOON_S + HOUR_S)
    assert check(unknown, wall_s=0) == ["stop.s2.service"]


def test_a_target_may_be_removed_while_its_stop_lasts():
    definition = make_definition(floor=3)
    targets = tuple(each for each in definition.targets if each.name != "t1")
    fewer = dataclasses.replace(definition, targets=targets)
    assert check(fewer, wall_s=NOON_S) == []
