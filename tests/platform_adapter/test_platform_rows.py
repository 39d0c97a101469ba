"""Rows of the platform are decoded into the project's types."""

import json

import logbook
import pytest

from dogwoodhook.coordination.store import StoreRow
from dogwoodhook.findings import FindingsError
from dogwoodhook.platform.rows import ConfigurationDecoder, TargetDecoder
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
    assert TargetDecoder().decode(row(SERVER)) == TargetEntry(
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
    assert TargetDecoder().decode(row({**SERVER, "state": "draining"})).is_draining


@pytest.mark.parametrize("name", [name for name in SERVER if name != "born"])
def test_an_entry_that_lacks_a_field_yields_no_target(name):
    entry = {key: value for key, value in SERVER.items() if key != name}
    assert TargetDecoder().decode(row(entry)) is None


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
def test_an_entry_with_an_invalid_field_yields_no_target(change):
    assert TargetDecoder().decode(row({**SERVER, **change})) is None


@pytest.mark.parametrize("raw", [b"", b"\xff\x00", b"[]", b"null", b'{"a":'])
def test_bytes_that_cannot_be_decoded_yield_no_target(raw):
    assert TargetDecoder().decode(row(raw)) is None


def test_a_configuration_is_decoded_completely():
    configuration = ConfigurationDecoder().decode(row(CONFIGURATION, key="config"))
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
    configuration = ConfigurationDecoder().decode(row(CONFIGURATION, key="config"))
    assert configuration.match("tills.example", path) is None


def test_a_malformed_configuration_is_refused_with_the_place_of_each_error():
    broken = json.loads(json.dumps(CONFIGURATION))
    broken["routes"]["r-1"]["timeout"] = "soon"
    broken["limits"]["idleTimeout"] = None
    with pytest.raises(FindingsError) as caught:
        ConfigurationDecoder().decode(row(broken, key="config"))
    places = [finding.place for finding in caught.value.findings]
    assert places == ["routes.r-1.timeout", "limits.idleTimeout"]


def test_only_the_routes_that_have_changed_are_decoded_again():
    decoder = ConfigurationDecoder()
    first = decoder.decode(row(CONFIGURATION, key="config"))
    count = decoder.decoded_route_count
    changed = json.loads(json.dumps(CONFIGURATION))
    changed["configVersion"] = 9
    changed["routes"]["r-1"]["timeout"] = "700ms"
    second = decoder.decode(row(changed, key="config"))
    assert decoder.decoded_route_count == count + 1
    assert second.version == 9
    assert second.match("tills.example", "/payouts/7").timeout_s == 0.7
    assert first.match("tills.example", "/payouts/7").timeout_s == 3.0


def test_a_removed_or_refused_route_is_not_reused():
    decoder = ConfigurationDecoder()
    decoder.decode(row(CONFIGURATION, key="config"))
    fewer = json.loads(json.dumps(CONFIGURATION))
    del fewer["routes"]["r-1"]
    assert len(decoder.decode(row(fewer, key="config")).routes) == 1
    broken = json.loads(json.dumps(CONFIGURATION))
    broken["routes"]["r-1"]["timeout"] = "soon"
    with pytest.raises(FindingsError):
        decoder.decode(row(broken, key="config"))
    assert len(decoder.decode(row(CONFIGURATION, key="config")).routes) == 2


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 10**17},
        {"born": 10**400},
        {"sequence": 10**400},
        {"warmupLeft": "9" * 400 + "s"},
        {"zone": "z" * 60_000},
        {"zone": "\ud800"},
        {"backend": "\ud800"},
        {"address": "a\ud800b:9"},
        {"address": "a" * 50_000 + ":9"},
        {"address": "127.0.0.1:\u0661\u0662"},
    ],
)
def test_a_value_without_an_upper_bound_is_used(change):
    assert TargetDecoder().decode(row({**SERVER, **change})) is None


def test_a_refused_entry_is_not_logged():
    decoder = TargetDecoder()
    with logbook.TestHandler() as logged:
        for _ in range(3):
            decoder.decode(row({**SERVER, "slots": 10**17}))
    assert len(logged.records) == 1
    assert "slots" in logged.records[0].message


@pytest.mark.parametrize("change", [{"configVersion": 10**400}])
def test_a_configuration_value_without_an_upper_bound_is_used(change):
    with pytest.raises(FindingsError):
        ConfigurationDecoder().decode(row({**CONFIGURATION, **change}))


TENANTS = {
    "ukara": {"apiKeys": ["k-1", "k-2"], "priority": 0, "ratePerS": 5, "burst": 7.5},
    "ziwa": {"apiKeys": ["k-3"]},
}


def decode_with(**changes):
    return ConfigurationDecoder().decode(row({**CONFIGURATION, **changes}))


def findings_of(**changes):
    with pytest.raises(FindingsError) as caught:
        decode_with(**changes)
    return [str(finding) for finding in caught.value.findings]


def test_tenants_become_workspaces():
    workspaces = decode_with(tenants=TENANTS).workspaces
    ukara = workspaces.by_name["ukara"]
    assert (ukara.rate_per_s, ukara.burst, ukara.priority) == (5, 7.5, 0)
    assert workspaces.holder_of("k-2") is ukara
    assert workspaces.holder_of("k-3").has_quota is False
    assert workspaces.holder_of("k-4") is None


def test_no_key_is_kept_or_shown():
    assert "k-1" not in repr(decode_with(tenants=TENANTS))
    shared = {"ukara": {"apiKeys": ["k-1"]}, "ziwa": {"apiKeys": ["k-9", "k-1"]}}
    assert findings_of(tenants=shared) == [
        "tenants.ziwa.apiKeys.1: the tenant ukara has the same key"
    ]


@pytest.mark.parametrize("name", ["", " ", "a ", "a\nb", "a\r", "\x00", "a" * 201])
def test_a_name_that_fits_no_header_refuses_the_version(name):
    (finding,) = findings_of(tenants={name: {"apiKeys": ["k"]}})
    assert finding.startswith("tenants.")
    assert decode_with(tenants={"Käyttö 1": {"apiKeys": ["k"]}}).workspaces is not None


def test_a_configuration_may_name_no_tenants_or_an_empty_table_of_them():
    assert decode_with().workspaces is None
    assert decode_with(tenants={}).workspaces.by_name == {}


@pytest.mark.parametrize(
    ("tenant", "place"),
    [
        ({"apiKeys": [""]}, "tenants.ukara.apiKeys.0"),
        ({"apiKeys": ["k"], "ratePerS": -1}, "tenants.ukara.ratePerS"),
        ({"apiKeys": ["k"], "ratePerS": "many"}, "tenants.ukara.ratePerS"),
        ({"apiKeys": ["k"], "burst": float("nan")}, "tenants.ukara.burst"),
    ],
)
def test_a_tenant_that_is_not_allowed_refuses_the_version(tenant, place):
    findings = findings_of(tenants={"ukara": tenant})
    assert [finding.partition(": ")[0] for finding in findings] == [place]


def test_downloads_are_idempotent_and_a_route_may_be_public():
    downloads = {**ROUTE, "routeType": "download", "public": True}
    route = decode_with(routes={"r-1": downloads}).match("tills.example", "/payouts/7")
    assert (route.is_idempotent, route.has_large_answers, route.is_public) == (
        True,
        True,
        True,
    )
