"""The configuration's limits on the size and the duration of what a caller sends."""

import asyncio

import pytest

from dogwoodhook.transport.framing import LINE_END
from tests.platform_adapter import target_server as behave
from tests.platform_adapter.conftest import make_configuration
from tests.platform_adapter.raw_caller import raw_caller, request_text

MAX_HEADER_BYTES = 16384
HEADER_TIMEOUT_S = 0.4
IDLE_TIMEOUT_S = 1.0
READ_BYTES = 256 * 1024
"""The most bytes that the daemon reads at once."""


async def start(platform, *behaviours, version=1):
    configuration = make_configuration(version)
    configuration["limits"] |= {
        "maxHeaderBytes": MAX_HEADER_BYTES,
        "headerTimeout": f"{HEADER_TIMEOUT_S * 1000:.0f}ms",
        "idleTimeout": f"{IDLE_TIMEOUT_S * 1000:.0f}ms",
    }
    await platform.store.put("op", "config", configuration)
    target = await platform.start_target("t1", *behaviours)
    await platform.start_gateway()
    return target, platform.gateways[0]


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/post/1", {"X-Long": "x" * 12_000}),
        ("/post/1", {f"X-{number}": "x" * 20 for number in range(400)}),
        ("/post/1", {f"X-{number}": "" for number in range(1_500)}),
        ("/post/" + "x" * 12_000, {}),
    ],
    ids=["long header", "many headers", "short headers", "long path"],
)
async def test_a_head_within_the_limit_is_accepted(platform, path, headers):
    target, _ = await start(platform)
    assert (await platform.send(path, data=b"x", headers=headers)).status == 200
    received = target.received[0]
    assert received.path == path
    assert headers.keys() <= {name.title() for name in received.headers}


@pytest.mark.parametrize(
    "headers",
    [{"X-Long": "x" * 17_000}, {f"X-{number}": "x" * 90 for number in range(200)}],
    ids=["long header", "many headers"],
)
async def test_a_head_over_the_limit_gets_431(platform, headers):
    target, _ = await start(platform)
    assert (await platform.send("/post/1", data=b"x", headers=headers)).status == 431
    assert not target.received


@pytest.mark.parametrize("piece", [b"x" * 8192, b"X-Another: line\r\n" * 400])
async def test_a_head_without_end_is_cut_off(platform, piece):
    _, gateway = await start(platform)
    sent = 0
    async with raw_caller(gateway) as caller:
        caller.writer.write(b"GET /read/1 HTTP/1.1\r\nX-Long: ")
        answering = asyncio.ensure_future(caller.answer())
        while not answering.done() and sent < 100 * READ_BYTES:
            caller.writer.write(piece)
            sent += len(piece)
            await asyncio.sleep(0)
        answer = await answering
    assert answer.status == 431
    assert answer.closes
    assert sent < 10 * READ_BYTES


async def test_a_head_that_stalls_is_refused_at_its_timeout(platform):
    _, gateway = await start(platform)
    loop = asyncio.get_running_loop()
    async with raw_caller(gateway) as caller:
        began_s = loop.time()
        caller.writer.write(b"GET /read/1 HTTP/1.1\r\nHost: 127")
        answer = await caller.answer()
    assert answer.status == 408
    assert answer.closes
    assert loop.time() - began_s >= HEADER_TIMEOUT_S


async def test_a_head_that_stalls_cuts_no_answer_in_front_of_it(platform):
    _, gateway = await start(platform, behave.after(2 * HEADER_TIMEOUT_S))
    async with raw_caller(gateway) as caller:
        caller.send("/read/1")
        caller.writer.write(b"GET /read/2 HTTP/1.1\r\nHost: 127")
        answers = await caller.answers()
    assert [each.status for each in answers] == [200, 408]


async def test_a_body_may_take_longer_than_a_head(platform):
    target, gateway = await start(platform)
    async with raw_caller(gateway) as caller:
        caller.writer.write(
            b"POST /post/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: slow\r\n"
            b"Content-Length: 4\r\n\r\n"
        )
        for byte in b"slow":
            await asyncio.sleep(HEADER_TIMEOUT_S / 2)
            caller.writer.write(bytes([byte]))
        answer = await caller.answer()
    assert answer.status == 200
    assert target.received[0].body == b"slow"


async def test_an_idle_connection_is_reused_until_its_timeout_and_then_closed(platform):
    _, gateway = await start(platform)
    async with raw_caller(gateway) as caller:
        for _ in range(2):
            caller.send("/read/1")
            assert (await caller.answer()).status == 200
            await asyncio.sleep(0.8 * IDLE_TIMEOUT_S)
        async with asyncio.timeout(2 * IDLE_TIMEOUT_S):
            assert await caller.answer() is None


async def test_longer_limits_of_a_newer_configuration_apply_to_open_connections(
    platform,
):
    _, gateway = await start(platform)
    async with raw_caller(gateway) as caller:
        caller.send("/read/1")
        assert (await caller.answer()).status == 200
        await platform.configure(2)
        async with asyncio.timeout(5):
            while gateway.configuration_version < 2:
                await asyncio.sleep(0.01)
        await asyncio.sleep(2 * IDLE_TIMEOUT_S)
        caller.send("/read/2")
        assert (await caller.answer()).status == 200


async def test_a_request_that_is_parsed_late_is_not_treated_as_a_stalled_head(platform):
    """It follows a body whose reading was paused."""
    _, gateway = await start(platform)
    async with raw_caller(gateway) as caller:
        caller.send("/post/1", body=b"x" * 1_000_000)
        caller.send("/read/2")
        assert [(await caller.answer()).status for _ in range(2)] == [200, 200]
        await asyncio.sleep(1.5 * HEADER_TIMEOUT_S)
        caller.send("/read/3")
        assert (await caller.answer()).status == 200


async def test_empty_lines_between_requests_do_not_start_the_header_timeout(platform):
    _, gateway = await start(platform)
    async with raw_caller(gateway) as caller:
        caller.send("/post/1", body=b"x")
        assert (await caller.answer()).status == 200
        caller.writer.write(b"\r\n")
        await asyncio.sleep(1.5 * HEADER_TIMEOUT_S)
        caller.send("/read/2")
        assert (await caller.answer()).status == 200


@pytest.mark.parametrize("body_bytes", [200, 2 * MAX_HEADER_BYTES])
async def test_a_body_behind_a_declined_upgrade_is_not_treated_as_a_head(
    platform, body_bytes
):
    """The body belongs to a request that was read together with the upgrade request."""
    target, gateway = await start(platform, behave.after(0.2))
    upgrade = request_text("/read/1")[: -len(LINE_END)]
    upgrade += b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
    behind = request_text("/post/2", body=b"x" * body_bytes)
    async with raw_caller(gateway) as caller:
        caller.writer.write(upgrade + behind[: -body_bytes // 2])
        assert (await caller.answer()).status == 200
        caller.writer.write(behind[-body_bytes // 2 : -1])
        await asyncio.sleep(1.5 * HEADER_TIMEOUT_S)
        caller.writer.write(behind[-1:])
        answer = await caller.answer()
    assert answer.status == 200
    assert target.received[1].body == b"x" * body_bytes


UNSUPPORTED_UPGRADE = b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"


@pytest.mark.parametrize("body", [None, b"x" * 100])
async def test_a_request_behind_an_unsupported_upgrade_gets_no_answer(platform, body):
    """The parser drops it, so the answer in front says that it was not read."""
    target, _ = await start(platform)
    path = "/read/1" if body is None else "/post/1"
    head, _, _ = request_text(path, body=body).partition(LINE_END + LINE_END)
    upgrade = head + LINE_END + UNSUPPORTED_UPGRADE + (body or b"")
    async with raw_caller(platform.gateways[0]) as caller, asyncio.timeout(5):
        caller.writer.write(upgrade + request_text("/post/2", body=b"x"))
        answer = await caller.answer()
        assert (answer.status, answer.closes) == (200, True)
        assert await caller.answer() is None
    assert [each.path for each in target.received] == [path]


async def test_a_request_in_a_body_behind_an_unsupported_upgrade_is_run(platform):
    target, _ = await start(platform)
    upgrade = request_text("/read/1")[: -len(LINE_END)] + UNSUPPORTED_UPGRADE
    body = request_text("/post/smuggled", body=b"x")
    behind = request_text("/post/2", body=body)
    async with raw_caller(platform.gateways[0]) as caller, asyncio.timeout(5):
        caller.writer.write(upgrade + behind[: -len(body)])
        await asyncio.sleep(0.1)
        caller.writer.write(body)
        answers = await caller.answers()
    assert [(each.status, each.closes) for each in answers] == [(200, True)]
    assert [each.path for each in target.received] == ["/read/1"]


async def test_the_body_of_an_unsupported_upgrade_is_cut(platform):
    target, _ = await start(platform)
    body = b"x" * 100_000
    text = request_text("/post/1", body=body)
    head = text[: -len(body) - len(LINE_END)] + UNSUPPORTED_UPGRADE
    async with raw_caller(platform.gateways[0]) as caller, asyncio.timeout(5):
        caller.writer.write(head + body[:10])
        await asyncio.sleep(0.1)
        caller.writer.write(body[10:])
        assert (await caller.answer()).status == 200
    assert [each.body for each in target.received] == [body]


async def test_a_request_behind_a_slow_upgrade_does_not_time_out(platform):
    target, gateway = await start(platform, behave.after(1.5 * HEADER_TIMEOUT_S))
    upgrade = request_text("/read/1")[: -len(LINE_END)]
    upgrade += b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
    async with raw_caller(gateway) as caller:
        caller.writer.write(upgrade + request_text("/post/2", body=b"x"))
        statuses = [(await caller.answer()).status for _ in range(2)]
    assert statuses == [200, 200]
    assert len(target.received) == 2
