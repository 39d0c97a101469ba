"""Requests are routed, and arrive at targets, by the URI that the caller sent."""

import pytest

from tests.platform_adapter import target_server as behave
from tests.platform_adapter.conftest import make_route
from tests.platform_adapter.raw_caller import raw_caller


async def send_raw(platform, uri, *, method="GET", host="127.0.0.1"):
    """Send a request with the bytes of a URI, and return the answer."""
    line = method.encode() + b" " + uri + b" HTTP/1.1\r\n"
    headers = f"Host: {host}\r\nRequest-Id: a\r\nDeadline-Ms: 5000\r\n\r\n"
    async with raw_caller(platform.gateways[0]) as caller:
        caller.writer.write(line + headers.encode())
        return await caller.answer()


async def start(platform, *behaviours):
    await platform.configure(
        till=make_route("/till/"),
        stock=make_route("/till/stock/", kind="safe"),
        all=make_route("/"),
    )
    targets = [await platform.start_target(name, *behaviours) for name in ("t1", "t2")]
    await platform.start_gateway()
    return targets


@pytest.mark.parametrize("uri", [b"/till/stock%2F7", b"/till/stock%2f7?a=/till/"])
async def test_an_unsafe_request_with_an_encoded_slash_runs_twice(platform, uri):
    targets = await start(platform, behave.reset)
    answer = await send_raw(platform, uri, method="POST")
    assert answer.status == 502
    assert sum(len(target.received) for target in targets) == 1


@pytest.mark.parametrize(
    "uri",
    [
        b"//payout/7",
        b"///",
        b"/payout/7?",
        b"/payout/7??a?b=/",
        b"/?",
        b"/a//b/?x=%2f&y=%2F",
        b"/a/./b/../c",
        b"/a;b=c,d:e@f/!$&'()*+~",
        b"/%C3%A9%00%23",
    ],
)
async def test_a_request_reaches_a_target_with_another_path_or_query(platform, uri):
    targets = await start(platform)
    answer = await send_raw(platform, uri, method="POST")
    assert answer.status == 200
    [received] = [each for target in targets for each in target.received]
    assert received.path == uri.decode()


@pytest.mark.parametrize(
    ("uri", "path"),
    [
        (b"http://127.0.0.1/read//1?", "/read//1?"),
        (b"HTTP://127.0.0.1:80?a", "/?a"),
    ],
)
async def test_a_uri_in_absolute_form_is_routed_by_the_host_header(platform, uri, path):
    targets = await start(platform)
    answer = await send_raw(platform, uri, method="POST", host="other.example")
    assert answer.status == 200
    [received] = [each for target in targets for each in target.received]
    assert received.path == path
    assert received.headers["host"] in ("127.0.0.1", "127.0.0.1:80")


@pytest.mark.parametrize(
    "uri",
    [b"/a#b", b"/\xc3\xa9", b"/a?\xff", b"/%", b"/%4", b"/%zz", b"/a|b", b'/"', b"a/b"],
)
async def test_a_uri_that_http_does_not_allow_reaches_a_target(platform, uri):
    targets = await start(platform)
    answer = await send_raw(platform, uri)
    assert answer.status == 400
    assert not any(target.received for target in targets)


async def test_a_request_for_the_whole_server_reaches_a_target(platform):
    targets = await start(platform)
    answer = await send_raw(platform, b"*", method="OPTIONS")
    assert answer.status == 404
    assert not any(target.received for target in targets)
