"""The platform's settings file."""

import pytest

from dogwoodhook.findings import FindingsError
from dogwoodhook.platform.adapter import make_adapter
from dogwoodhook.platform.settings_file import parse_settings
from dogwoodhook.vm_settings import Address

SETTINGS_TEXT = """\
nodeName=edge-kigali-1
ip=10.1.0.15
zone=kigali-1
listen.frontend=10.1.0.15:8641
listen.readiness=10.1.0.15:8640
portRange=7620,7635
provider.address=10.200.1.7:8642
bounds.budgetWindow=10000ms
bounds.grace=6s
bounds.config=2500ms
bounds.drain=2.5s
bounds.retryBudgetExtra=62
a.field.of.tomorrow=1,2
"""


def parse_findings(text):
    with pytest.raises(FindingsError) as caught:
        parse_settings(text, place="boot.conf")
    return [str(finding) for finding in caught.value.findings]


def test_fields_become_settings_and_unknown_ones_are_ignored():
    settings = parse_settings(SETTINGS_TEXT, place="boot.conf")
    assert settings.vm_name == "edge-kigali-1"
    assert settings.data_centre == "kigali-1"
    assert settings.caller_address == Address("10.1.0.15", 8641)
    assert settings.peer_address == Address("10.1.0.15", 7620)
    assert settings.bounds.retry_window_s == 10.0
    assert settings.bounds.grace_s == 6.0
    assert settings.bounds.configuration_s == 2.5
    assert settings.bounds.drain_s == 2.5
    assert settings.bounds.retry_extra == 62


def test_callers_compete_for_room_only_where_the_settings_say_so():
    others = f"{SETTINGS_TEXT}contracts=base,pressures,platform\n"
    assert not parse_settings(others, place="boot.conf").has_competing_load
    named = f"{SETTINGS_TEXT}contracts=base,pressure,platform\n"
    assert parse_settings(named, place="boot.conf").has_competing_load


def test_every_problem_is_reported_with_its_line():
    text = SETTINGS_TEXT.replace("10.1.0.15:8641", "10.1.0.15").replace(
        "10000ms", "soon"
    )
    text = text.replace("zone=kigali-1\n", "") + "no equals sign\n"
    assert parse_findings(text) == [
        "boot.conf:13: received 'no equals sign'; allowed is name=value",
        "boot.conf:3: listen.frontend: received '10.1.0.15'; allowed is host:port",
        "boot.conf: zone is missing",
        "boot.conf:7: bounds.budgetWindow: received 'soon';"
        " allowed is a number with ms or s",
    ]


@pytest.mark.parametrize("port", ["0", "65536", "x"])
def test_a_port_outside_the_range_is_refused(port):
    text = SETTINGS_TEXT.replace("10.200.1.7:8642", f"10.200.1.7:{port}")
    assert len(parse_findings(text)) == 1


def test_a_changed_file_is_applied_but_an_invalid_one_is_not(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(SETTINGS_TEXT)
    adapter = make_adapter(path)
    assert adapter.reread_settings() is None
    path.write_text(SETTINGS_TEXT.replace("retryBudgetExtra=62", "retryBudgetExtra=10"))
    assert adapter.reread_settings().bounds.retry_extra == 10
    path.write_text(SETTINGS_TEXT.replace("6s", "six"))
    with pytest.raises(FindingsError):
        adapter.reread_settings()
    assert adapter.reread_settings() is None


def test_a_bound_of_zero_is_refused():
    text = SETTINGS_TEXT.replace("bounds.config=2500ms", "bounds.config=0ms")
    assert parse_findings(text) == [
        "boot.conf:10: bounds.config: received '0ms'; allowed is more than 0"
    ]


def test_bounds_of_workspaces_and_limits_of_the_process_are_optional():
    settings = parse_settings(SETTINGS_TEXT, place="boot.conf")
    assert (settings.memory_bytes, settings.max_descriptors) == (None, None)
    text = SETTINGS_TEXT + (
        "limits.memoryMb=200\nlimits.maxFds=4100\nbounds.failClosed=true\n"
        "bounds.revoke=4s\nbounds.quotaWindow=6s\nbounds.quotaSlack=21\n"
    )
    settings = parse_settings(text, place="boot.conf")
    assert settings.memory_bytes == 200 * 1024 * 1024
    assert settings.max_descriptors == 4100
    assert settings.bounds.fails_closed
    assert (settings.bounds.revoke_s, settings.bounds.quota_window_s) == (4.0, 6.0)
    assert (settings.bounds.quota_overshoot, settings.bounds.quota_slack) == (0.1, 21.0)
