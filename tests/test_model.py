import datetime

import pytest

from dogwoodhook.state.model import (
    Change,
    Configuration,
    ParameterOverrides,
    Parameters,
    QuietHours,
    RequestPattern,
    ServiceDefinition,
    Template,
    apply_change,
)


def test_overrides_replace_only_what_they_set():
    parameters = ParameterOverrides(deadline_ms=50).apply_to(
        Parameters(capacity_floor=4)
    )
    assert (parameters.deadline_ms, parameters.capacity_floor) == (50, 4)


def test_service_follows_its_template():
    service = ServiceDefinition("balances", "tills", "oulu", (), ())
    template = Template("tills", Parameters(capacity_floor=5))
    configuration = apply_change(
        Configuration(), Change(1, "aino", 0.0, "t", (template, service))
    )
    assert configuration.service("balances").parameters.capacity_floor == 5


def test_a_change_out_of_order_is_refused():
    with pytest.raises(ValueError, match="does not follow"):
        apply_change(Configuration(version=3), Change(5, "aino", 0.0, "t"))


def test_quiet_hours_run_past_midnight():
    period = QuietHours(
        "Africa/Kigali", (5,), datetime.time(18), datetime.time(6), capacity_floor=1
    )
    zone = datetime.timezone(datetime.timedelta(hours=2))
    friday_evening = datetime.datetime(2026, 12, 4, 19, tzinfo=zone)
    saturday_morning = datetime.datetime(2026, 12, 5, 5, tzinfo=zone)
    saturday_evening = datetime.datetime(2026, 12, 5, 19, tzinfo=zone)
    assert period.contains(friday_evening.timestamp())
    assert period.contains(saturday_morning.timestamp())
    assert not period.contains(saturday_evening.timestamp())


def test_only_marked_requests_are_idempotent():
    parameters = Parameters(idempotent=(RequestPattern("GET", "/balances/*"),))
    assert parameters.is_idempotent("GET", "/balances/7")
    assert not parameters.is_idempotent("POST", "/balances/7")
    assert not parameters.is_idempotent("GET", "/payouts")
