import pytest

from dogwoodhook.findings import FindingsError
from dogwoodhook.settings import DaemonSettings, read_settings

REQUIRED = {
    "DOGWOODHOOK_DATA_CENTRE": "kigali-1",
    "DOGWOODHOOK_PLATFORM_URL": "http://127.0.0.1:7000",
    "DOGWOODHOOK_FLEET_SECRET": "0123456789abcdef",
}


def test_a_flag_overrides_the_environment():
    settings, _ = read_settings(
        DaemonSettings,
        ["dogwoodhookd", "--caller_port=9000"],
        {**REQUIRED, "DOGWOODHOOK_CALLER_PORT": "9001"},
    )
    assert settings.caller_port == 9000


def test_all_findings_are_reported_at_once():
    with pytest.raises(FindingsError) as caught:
        read_settings(
            DaemonSettings,
            ["dogwoodhookd", "--caller_port=0", "--peer_prot=7", "--listen_host=here"],
            {
                "DOGWOODHOOK_FLEET_SECRET": "short",
                "DOGWOODHOOK_PLATFORM_URL": "ftp://x",
            },
        )
    assert {finding.place for finding in caught.value.findings} == {
        "--peer_prot",
        "--caller_port",
        "--listen_host",
        "--data_centre",
        "DOGWOODHOOK_FLEET_SECRET",
        "DOGWOODHOOK_PLATFORM_URL",
    }


def test_findings_do_not_show_the_secret():
    with pytest.raises(FindingsError) as caught:
        read_settings(
            DaemonSettings,
            ["dogwoodhookd"],
            {**REQUIRED, "DOGWOODHOOK_FLEET_SECRET": "tooshort"},
        )
    assert "tooshort" not in str(caught.value)


def test_boolean_flags_can_be_negated():
    settings, _ = read_settings(
        DaemonSettings, ["dogwoodhookd", "--nouse_uvloop"], REQUIRED
    )
    assert settings.use_uvloop is False


def test_arguments_that_are_not_flags_are_returned():
    _, arguments = read_settings(DaemonSettings, ["dogwoodhookd", "extra"], REQUIRED)
    assert arguments == ("extra",)
