"""Rows of the platform, decoded into the project's types."""

import json

import pytest

from dogwoodhook.coordination.store import StoreRow
from dogwoodhook.findings import FindingsError
from dogwoodhook.platform.rows import decode_configuration, decode_target
from dogwoodhook.state.target_directory import TargetEntry

SERVER = {
    "backend": "payouts",
    "address": "10.128.0.9:8080",
    "zone": "oulu-1",
    "configVersion": "v1",
    "slots": 3,
    "state": "ready",
    "warmupLeft": "1500ms",
    "sequence": 4,
    "born": 1_790_000_000_123,
}

ROUTE = {
    "hostname": "Tills.example",
    "prefix": "/payouts/",
    "routeType": "unsafe",
    "timeout": "3000ms",
    "targetLatency": "1000ms",
    "priority": 1,
    "backend": "payouts",
    "attempts": 2,
}

CONFIGURATION = {
    "configVersion": 7,
    "routes": {
        "r-1": ROUTE,
        "r-2": {
            **ROUTE,
            "prefix": "/payouts/old/",
            "routeType": "safe",
            "backend": None,
            "weightedBackends": [
                {"backend": "payouts", "weight": 90},
                {"backend": "archive", "weight": 10},
            ],
        },
    },
    "backends": {"payouts": {"healthPath": "/healthz", "maxConnections": 390}},
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
    "baseVersion": 5,
}


def row(value, key="t1"):
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoreRow(key, raw, 3)


def test_a_server_becomes_a_target():
    assert decode_target(row(SERVER)) == TargetEntry(
        name="t1",
        service="payouts",
        host="10.128.0.9",
        port=8080,
        data_centre="oulu-1",
        slots=3,
        is_draining=False,
        warmup_s=1.5,
        incarnation=1_790_000_000_123,
    )


def test_a_draining_server_is_marked():
    assert decode_target(row({**SERVER, "state": "draining"})).is_draining


@pytest.mark.parametrize("name", [name for name in SERVER if name != "born"])
def test_an_entry_without_a_field_names_no_target(name):
    entry = {key: value for key, value in SERVER.items() if key != name}
    assert decode_target(row(entry)) is None


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"slots": "3"},
        {"slots": 0},
        {"address": "10.0.0.1"},
        {"address": 17},
        {"backend": None},
        {"warmupLeft": 5},
        {"sequence": "4"},
        {"born": 1.5},
    ],
)
def test_an_entry_with_a_field_of_another_type_names_no_target(change):
    assert decode_target(row({**SERVER, **change})) is None


@pytest.mark.parametrize("raw", [b"", b"\xff\x00", b"[]", b"null", b'{"a":'])
def test_bytes_that_cannot_be_read_name_no_target(raw):
    assert decode_target(row(raw)) is None


def test_a_configuration_is_decoded_whole():
    configuration = decode_configuration(row(CONFIGURATION, key="config"))
    assert configuration.version == 7
    assert configuration.limits.idle_timeout_s == 15.0
    route = configuration.match("tills.example:80", "/payouts/7")
    assert (route.name, route.is_idempotent, route.max_targets) == ("r-1", False, 2)
    assert (route.timeout_s, route.target_latency_s) == (3.0, 1.0)
    other = configuration.match("TILLS.example", "/payouts/old/7")
    assert other.is_idempotent
    assert [share.weight for share in other.services] == [90, 10]


@pytest.mark.parametrize("path", ["/", "/payout/7", "/payouts", "/other/payouts/"])
def test_a_path_outside_every_prefix_matches_no_route(path):
    configuration = decode_configuration(row(CONFIGURATION, key="config"))
    assert configuration.match("tills.example", path) is None


def test_a_malformed_configuration_is_refused_with_every_place():
    broken = json.loads(json.dumps(CONFIGURATION))
    broken["routes"]["r-1"]["timeout"] = "soon"
    broken["limits"]["idleTimeout"] = None
    with pytest.raises(FindingsError) as caught:
        decode_configuration(row(broken, key="config"))
    places = [finding.place for finding in caught.value.findings]
    assert places == ["routes.r-1.timeout", "limits.idleTimeout"]
