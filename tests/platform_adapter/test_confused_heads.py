"""Answers whose heads are malformed, joined from two heads, or contradictory."""

import asyncio

import pytest

from tests.platform_adapter import target_server as behave

NOT_RUN_STATUSES = (408, 421, 429, 503)
WORK_S = 0.05
REFUSED = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
MISDIRECTED = "HTTP/1.1 421 Misdirected"
SIGNED = "Server-Signature: t1\r\n"
FINAL = "HTTP/1.1 200 OK\r\n"


def partial_head_before_answer(text, *, answer=behave.answer):
    """Return a behaviour: write part of a head, then run the request and answer it."""

    async def behaviour(server, received, writer):
        writer.write(text.encode())
        await asyncio.sleep(WORK_S)
        await answer(server, received, writer)

    return behaviour


def run_and_write(text):
    """Return a behaviour: run the request, then write ``text``.

    ``ID`` in the text is replaced by the id of the request.
    """

    async def behaviour(server, received, writer):
        await asyncio.sleep(WORK_S)
        writer.write(text.replace("ID", received.request_id).encode("latin-1"))

    return behaviour


PARTIAL_REFUSALS = {
    "status": "HTTP/1.1 4",
    "reason": MISDIRECTED,
    "status_line": REFUSED.partition("\n")[0] + "\n",
    "name": REFUSED + "Retry-Af",
    "value": REFUSED + "Retry-After: 1",
    "begun_value": REFUSED + "Retry-After:",
    "line": REFUSED,
    "bare_line": REFUSED.replace("\r", ""),
    "folded": REFUSED + "X: a\r\n ",
}


@pytest.fixture(params=["used", "new"])
async def target(request, platform):
    """Return a target with a connection that has served a request, or with none yet."""
    await platform.configure()
    target = await platform.start_target("t1")
    await platform.start_gateway()
    if request.param == "used":
        assert (await platform.send("/post/sound", data=b"x")).status == 200
    return target


@pytest.mark.parametrize("part", PARTIAL_REFUSALS)
@pytest.mark.parametrize("path", ["/read/1", "/post/1"])
async def test_a_partial_refusal_does_not_turn_the_answer_behind_it_into_a_refusal(
    platform, target, path, part
):
    target.behaviours = [partial_head_before_answer(PARTIAL_REFUSALS[part])]
    reply = await platform.send(path)
    assert target.received[-1].path == path
    assert reply.status not in NOT_RUN_STATUSES


PARTIAL_SUCCESSES = {
    "reason": "HTTP/1.1 200 O",
    "value": f"{FINAL}{SIGNED}Date: Mon",
    "line": f"{FINAL}{SIGNED}",
}


@pytest.mark.parametrize("part", PARTIAL_SUCCESSES)
@pytest.mark.parametrize("path", ["/read/1", "/post/1"])
async def test_a_partial_success_does_not_turn_the_failure_behind_it_into_a_success(
    platform, target, path, part
):
    target.behaviours = [
        partial_head_before_answer(PARTIAL_SUCCESSES[part], answer=behave.server_error)
    ]
    reply = await platform.send(path)
    assert reply.status >= 500


CONTRADICTORY_ANSWERS = {
    "two_ids": f"{FINAL}Request-Id: ID\r\nRequest-Id: another\r\n{SIGNED}"
    "Content-Length: 2\r\n\r\nno",
    "two_ids_reversed": f"{FINAL}Request-Id: another\r\nRequest-Id: ID\r\n{SIGNED}"
    "Content-Length: 2\r\n\r\nno",
    "two_ids_in_one_line": f"{FINAL}Request-Id: ID, another\r\n{SIGNED}"
    "Content-Length: 2\r\n\r\nno",
    "folded_id": f"{FINAL}Request-Id: ID\r\n another\r\n{SIGNED}"
    "Content-Length: 2\r\n\r\nno",
    "two_lengths": f"{FINAL}Request-Id: ID\r\n{SIGNED}Content-Length: 2\r\n"
    "Content-Length: 5\r\n\r\nwhole",
    "signed_length": f"{FINAL}Request-Id: ID\r\n{SIGNED}Content-Length: +2\r\n\r\nno",
    "coded": f"{FINAL}Request-Id: ID\r\n{SIGNED}"
    "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    "coded_in_two_lines": f"{FINAL}Request-Id: ID\r\n{SIGNED}"
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    "switching": f"HTTP/1.1 101 Switching Protocols\r\nRequest-Id: ID\r\n{SIGNED}"
    "Connection: upgrade\r\nUpgrade: other\r\n\r\nother bytes",
    "switching_to_nothing": f"HTTP/1.1 101 Switching Protocols\r\nRequest-Id: ID\r\n"
    f"{SIGNED}\r\n",
    "not_run_success": f"{FINAL}Request-Id: ID\r\n{SIGNED}Not-Executed: 1\r\n"
    "Content-Length: 2\r\n\r\nno",
    "two_ids_of_a_refusal": f"{REFUSED}Request-Id: ID\r\nRequest-Id: another\r\n"
    "Content-Length: 0\r\n\r\n",
    "spaced_refusal": "HTTP/1.1 503 Busy\r\nNot-Executed : 1\r\nRequest-Id: ID\r\n"
    "Content-Length: 0\r\n\r\n",
    "folded_refusal": "HTTP/1.1 503 Busy\r\nX: a\r\n Not-Executed: 1\r\n"
    "Request-Id: ID\r\nContent-Length: 0\r\n\r\n",
    "long_refusal": f"{REFUSED}Request-Id: ID\r\nContent-Length: 1\r\n\r\n",
    "timeout": f"HTTP/1.1 408 Timeout\r\nRequest-Id: ID\r\n{SIGNED}"
    "Content-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("kind", CONTRADICTORY_ANSWERS)
@pytest.mark.parametrize("path", ["/read/1", "/post/1"])
async def test_a_contradictory_answer_is_neither_a_success_nor_a_refusal(
    platform, target, path, kind
):
    target.behaviours = [run_and_write(CONTRADICTORY_ANSWERS[kind])]
    headers = {"Deadline-Ms": "600"}
    reply = await platform.send(path, headers=headers)
    assert reply.status in (502, 504)


STATUSES_WITHOUT_A_CLASS = ["000", "000 Odd", "099 Odd", "600 Odd", "999 Odd"]


@pytest.mark.parametrize("status", STATUSES_WITHOUT_A_CLASS)
@pytest.mark.parametrize("path", ["/read/1", "/post/1"])
async def test_a_status_that_http_does_not_have_reaches_no_caller(
    platform, target, path, status
):
    whole = f"Request-Id: ID\r\n{SIGNED}Content-Length: 5\r\n\r\nwhole"
    target.behaviours = [run_and_write(f"HTTP/1.1 {status}\r\n{whole}")]
    assert (await platform.send(path)).status == 502


UNUSUAL_ANSWERS = {
    "lower_case": "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-signature: t1\r\n"
    "content-length: 5\r\n\r\nwhole",
    "spaces": f"{FINAL}Request-Id:   ID  \r\n{SIGNED}Content-Length: 5\r\n\r\nwhole",
    "chunked": f"{FINAL}Request-Id: ID\r\n{SIGNED}Transfer-Encoding: Chunked\r\n\r\n"
    "5\r\nwhole\r\n0\r\n\r\n",
    "same_id_twice": f"{FINAL}Request-Id: ID\r\nRequest-Id: ID\r\n{SIGNED}"
    "Content-Length: 5\r\n\r\nwhole",
    "via": f"{FINAL}Via: HTTP/1.1 inner\r\nServer: HTTP/1.1\r\nRequest-Id: ID\r\n"
    f"{SIGNED}Content-Length: 5\r\n\r\nwhole",
    "closing": f"{FINAL}Connection: close\r\nRequest-Id: ID\r\n{SIGNED}"
    "Content-Length: 5\r\n\r\nwhole",
    "longer": f"{FINAL}Request-Id: ID\r\n{SIGNED}Content-Length: 5\r\n\r\nwhole, more",
    "interim": f"HTTP/1.1 103 Early Hints\r\nRequest-Id: another\r\n\r\n{FINAL}"
    f"Request-Id: ID\r\n{SIGNED}Content-Length: 5\r\n\r\nwhole",
}


@pytest.mark.parametrize("kind", UNUSUAL_ANSWERS)
async def test_an_unusual_but_valid_answer_arrives_complete(platform, target, kind):
    target.behaviours = [run_and_write(UNUSUAL_ANSWERS[kind]), behave.answer]
    reply = await platform.send("/post/1")
    assert (reply.status, reply.body) == (200, b"whole")
    assert (await platform.send("/post/2")).body == b"t1 ran /post/2"


ANSWERS_WITHOUT_BODY = {
    "head": ("HEAD", f"{FINAL}Request-Id: ID\r\n{SIGNED}Content-Length: 4\r\n\r\nmore"),
    "204": (
        "POST",
        f"HTTP/1.1 204 None\r\nRequest-Id: ID\r\n{SIGNED}Content-Length: 4\r\n\r\nmore",
    ),
    "304": (
        "GET",
        f"HTTP/1.1 304 Same\r\nRequest-Id: ID\r\n{SIGNED}Content-Length: 4\r\n\r\nmore",
    ),
}


@pytest.mark.parametrize("kind", ANSWERS_WITHOUT_BODY)
async def test_a_body_behind_an_answer_that_may_have_none_reaches_no_caller(
    platform, target, kind
):
    method, text = ANSWERS_WITHOUT_BODY[kind]
    target.behaviours = [run_and_write(text), behave.answer]
    reply = await platform.send("/post/1", method=method)
    assert (reply.status // 100, reply.body) in [(2, b""), (3, b""), (5, b"")]
    assert (await platform.send("/post/2")).body == b"t1 ran /post/2"
