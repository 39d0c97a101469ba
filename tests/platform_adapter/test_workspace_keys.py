"""Keys of workspaces, as callers and targets see them."""

import asyncio
import re

import logbook
import pytest

from dogwoodhook.transport import route_forwarder
from dogwoodhook.vm_settings import Address
from tests.exchanges import until
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.conftest import HOST, make_configuration, make_route
from tests.platform_adapter.raw_caller import raw_caller

LAB = {"Api-Key": "lab-key"}
WARD = {"Api-Key": "ward-key"}
WORKSPACES = {
    "lab": {"apiKeys": ["lab-key"], "priority": 0},
    "ward": {"apiKeys": ["ward-key"]},
}


async def configure(platform, version=1, tenants=WORKSPACES):
    """Write a configuration, and wait until all daemons use it."""
    public = make_route("/read/open/", kind="safe", public=True)
    value = make_configuration(version, open=public)
    if tenants is not None:
        value["tenants"] = tenants
    await platform.store.put("op", "config", value)
    for gateway in platform.gateways:
        await until(lambda gateway=gateway: gateway.configuration_version == version)


async def start(platform, *behaviours, tenants=WORKSPACES, **bounds):
    await configure(platform, tenants=tenants)
    target = await platform.start_target("t1", *behaviours)
    await platform.start_gateway(**bounds)
    return target


def workspaces_at(target):
    return [received.headers.get("tenant-id") for received in target.received]


async def test_a_target_gets_the_name_of_the_workspace_and_not_the_key(platform):
    target = await start(platform)
    for headers in (LAB, WARD):
        assert (
            await platform.send("/post/1", data=b"x", headers=headers)
        ).status == 200
    assert workspaces_at(target) == ["lab", "ward"]
    assert not any("key" in received.raw_head for received in target.received)


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"Api-Key": ""},
        {"Api-Key": "unknown"},
        {"Api-Key": "lab-key, ward-key"},
        {"Api_Key": "lab-key"},
        {"Tenant-Id": "lab"},
    ],
)
async def test_a_request_without_a_valid_key_gets_401_and_does_not_run(
    platform, headers
):
    target = await start(platform)
    reply = await platform.send("/post/1", data=b"x", headers=headers)
    assert (reply.status, reply.headers["Request-Id"]) == (401, "request-1")
    assert reply.headers["WWW-Authenticate"] == "Api-Key"
    assert target.received == []


async def test_a_refusal_is_counted_and_names_no_key(platform):
    await start(platform)
    with logbook.TestHandler().applicationbound() as handler:
        for _ in range(3):
            await platform.send("/read/1", headers={"Api-Key": "very-secret"})
        logged = "".join(handler.formatted_records)
    metrics = platform.gateways[0]._metrics.exposition().decode()
    (line,) = re.findall(r"dogwoodhook_key_refusals_total\{.*", metrics)
    assert 'problem="unknown"' in line
    assert line.endswith(" 3.0")
    assert logged.count("key-refused") == 1
    assert "very-secret" not in metrics + logged


@pytest.mark.parametrize(
    "spelling", ["Tenant-Id", "tenant-id", "TENANT-ID", "Tenant_Id", "tenant.id"]
)
@pytest.mark.parametrize("path", ["/read/1", "/read/open/1"])
async def test_a_callers_own_name_of_a_workspace_is_dropped(platform, spelling, path):
    target = await start(platform)
    headers = {**LAB, spelling: "forged"}
    assert (await platform.send(path, headers=headers)).status == 200
    assert "forged" not in target.received[0].raw_head
    assert "lab-key" not in target.received[0].raw_head
    expected = None if "open" in path else "lab"
    assert workspaces_at(target) == [expected]


async def test_without_workspaces_all_headers_go_to_the_target(platform):
    target = await start(platform, tenants=None)
    headers = {"Api-Key": "k", "Tenant-Id": "own", "Tenant_Id": "other"}
    assert (await platform.send("/post/1", data=b"x", headers=headers)).status == 200
    received = target.received[0].headers
    assert [received[name] for name in ("api-key", "tenant-id", "tenant_id")] == [
        "k",
        "own",
        "other",
    ]


SMUGGLED = {
    "connection": b"Connection: Tenant-Id, Api-Key\r\nTenant-Id: forged\r\n",
    "two-connections": b"Connection: close\r\nConnection: Tenant-Id\r\n",
    "folded-name": b"X-Own: a\r\n Tenant-Id: forged\r\n",
    "folded-key": b"Api-Key:\r\n lab-key\r\n",
    "space-before-colon": b"Tenant-Id : forged\r\n",
    "bare-line-feed": b"X-Own: a\nTenant-Id: forged\r\n",
    "bare-carriage-return": b"X-Own: a\rTenant-Id: forged\r\n",
    "repeated": b"Tenant-Id: forged\r\nTenant-Id: forged\r\n",
}


@pytest.mark.parametrize("lines", SMUGGLED.values(), ids=SMUGGLED)
async def test_no_way_of_writing_a_head_reaches_a_target_with_another_name(
    platform, lines
):
    target = await start(platform)
    async with raw_caller(platform.gateways[0]) as caller:
        caller.writer.write(
            b"GET /read/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: 1\r\n"
            b"Deadline-Ms: 2000\r\nApi-Key: lab-key\r\n" + lines + b"\r\n"
        )
        answer = await caller.answer()
    assert answer.status in (200, 400, 401)
    assert workspaces_at(target) == (["lab"] if answer.status == 200 else [])
    assert not any(
        text in received.raw_head.lower()
        for received in target.received
        for text in ("forged", "key")
    )


async def test_a_trailer_names_no_workspace(platform):
    target = await start(platform)
    async with raw_caller(platform.gateways[0]) as caller:
        caller.writer.write(
            b"POST /post/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: 1\r\n"
            b"Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n"
            b"Trailer: Api-Key, Tenant-Id\r\n\r\n"
            b"1\r\nx\r\n0\r\nApi-Key: lab-key\r\nTenant-Id: lab\r\n\r\n"
        )
        answer = await caller.answer()
    assert answer.status == 401
    assert target.received == []


async def test_an_added_key_is_served_and_a_withdrawn_one_refused(platform):
    target = await start(platform)
    assert (await platform.send("/read/1", headers=WARD)).status == 200
    await configure(platform, 2, {"lab": {"apiKeys": ["lab-key", "lab-new"]}})
    assert (
        await platform.send("/read/2", headers={"Api-Key": "lab-new"})
    ).status == 200
    assert (await platform.send("/read/3", headers=WARD)).status == 401
    assert workspaces_at(target) == ["ward", "lab"]


async def test_a_daemon_without_a_configuration_answers_503(platform):
    await platform.start_target("t1")
    await platform.start_gateway(is_ready=False)
    assert (await platform.send("/read/1", headers=LAB)).status == 503


async def test_a_daemon_that_is_behind_does_not_deny_an_unknown_key(platform):
    relay = await platform.open_relay()
    target = await start(
        platform, store_address=Address(HOST, relay.port), configuration_s=0.6
    )
    relay.close_port()
    gateway = platform.gateways[0]
    await until(lambda: gateway._configuration.age_s > 0.6)
    reply = await platform.send("/read/1", headers={"Api-Key": "added-meanwhile"})
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert target.received == []


@pytest.mark.parametrize(("fails_closed", "status"), [(True, 503), (False, 200)])
async def test_a_daemon_that_may_have_missed_a_withdrawal_serves_unless_it_fails_closed(
    platform, fails_closed, status
):
    relay = await platform.open_relay()
    await start(
        platform,
        store_address=Address(HOST, relay.port),
        revoke_s=0.8,
        configuration_s=0.6,
        fails_closed=fails_closed,
    )
    relay.close_port()
    gateway = platform.gateways[0]
    await until(lambda: gateway._configuration.age_s > 0.8)
    assert (await platform.send("/read/1", headers=LAB)).status == status
    assert (await platform.send("/read/open/1")).status == 200


WITHDRAWN = {"lab": {"apiKeys": ["lab-key"]}}
MOVED = {"lab": {"apiKeys": ["lab-key", "ward-key"]}}


@pytest.mark.parametrize(
    ("tenants", "status", "names"),
    [(WITHDRAWN, 401, []), (MOVED, 200, ["lab"])],
    ids=["withdrawn", "moved"],
)
async def test_a_request_whose_body_arrives_later_goes_by_the_key_of_that_moment(
    platform, tenants, status, names
):
    target = await start(platform)
    async with raw_caller(platform.gateways[0]) as caller:
        caller.writer.write(
            b"POST /post/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: 1\r\n"
            b"Deadline-Ms: 4000\r\nApi-Key: ward-key\r\nContent-Length: 4\r\n\r\nab"
        )
        await caller.writer.drain()
        await asyncio.sleep(0.1)
        await configure(platform, 2, tenants)
        caller.writer.write(b"cd")
        answer = await caller.answer()
    assert answer.status == status
    assert workspaces_at(target) == names


@pytest.mark.parametrize(
    ("tenants", "status", "names"),
    [(WITHDRAWN, 401, ["ward"]), (MOVED, 200, ["ward", "lab"])],
    ids=["withdrawn", "moved"],
)
async def test_a_request_that_a_target_refused_goes_by_the_key_of_the_next_attempt(
    platform, tenants, status, names
):
    refusal = asyncio.Event()

    async def refuse_later(server, received, writer):
        await refusal.wait()
        await behave.refuse(server, received, writer)

    first = await start(platform, refuse_later)
    sending = asyncio.create_task(platform.send("/post/1", data=b"x", headers=WARD))
    await until(lambda: first.received)
    second = await platform.start_target("t2")
    await until(lambda: platform.gateways[0].knows_target("t2"))
    await configure(platform, 2, tenants)
    refusal.set()
    assert (await sending).status == status
    assert workspaces_at(first) + workspaces_at(second) == names
    metrics = platform.gateways[0]._metrics.exposition().decode()
    assert ('problem="withdrawn",workspace="ward"' in metrics) == (status == 401)


async def test_a_pipelined_request_goes_by_the_key_of_its_own_sending(platform):
    release = asyncio.Event()

    async def answer_later(server, received, writer):
        await release.wait()
        await behave.answer(server, received, writer)

    target = await start(platform, answer_later)
    lines = (
        "POST /post/{0} HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: {0}\r\n"
        "Deadline-Ms: 4000\r\nApi-Key: ward-key\r\nContent-Length: 0\r\n\r\n"
    )
    async with raw_caller(platform.gateways[0]) as caller:
        caller.writer.write((lines.format(1) + lines.format(2)).encode())
        await until(lambda: target.received)
        await configure(platform, 2, WITHDRAWN)
        release.set()
        statuses = [(await caller.answer()).status for _ in range(2)]
    assert statuses == [200, 401]
    assert workspaces_at(target) == ["ward"]


@pytest.mark.parametrize("tenants", [WITHDRAWN, MOVED], ids=["withdrawn", "moved"])
async def test_a_request_that_waits_for_a_connection_never_goes_out_by_an_old_key(
    platform, tenants, monkeypatch
):
    target = await start(platform)
    send_attempt = route_forwarder.send_attempt

    async def send_late(*arguments):
        await configure(platform, 2, tenants)
        return await send_attempt(*arguments)

    monkeypatch.setattr(route_forwarder, "send_attempt", send_late)
    reply = await platform.send("/post/1", data=b"x", headers=WARD)
    assert reply.status == (401 if tenants is WITHDRAWN else 503)
    assert target.received == []


async def test_a_request_whose_key_was_withdrawn_is_not_hedged(platform):
    first = await start(platform, behave.after(2.0))
    sending = asyncio.create_task(platform.send("/read/1", headers=WARD))
    await until(lambda: first.received)
    second = await platform.start_target("t2")
    await until(lambda: platform.gateways[0].knows_target("t2"))
    await configure(platform, 2, WITHDRAWN)
    assert (await sending).status == 200
    assert second.received == []


async def test_a_withdrawn_key_says_nothing_of_a_request_that_may_have_run(platform):
    release = asyncio.Event()

    async def reset_later(server, received, writer):
        await release.wait()
        await behave.reset(server, received, writer)

    target = await start(platform, reset_later)
    sending = asyncio.create_task(platform.send("/post/1", data=b"x", headers=WARD))
    await until(lambda: target.received)
    await configure(platform, 2, WITHDRAWN)
    release.set()
    assert (await sending).status == 502
