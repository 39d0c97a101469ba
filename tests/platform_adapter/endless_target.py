"""Behaviours of a stand-in target that sends bytes until its connection is closed."""

import asyncio

from tests.platform_adapter.target_server import answer, head

PIECE_BYTES = 16 * 1024
"""Size of each write."""


def _repeat(text):
    return (text * (PIECE_BYTES // len(text) + 1))[:PIECE_BYTES]


async def _send_endlessly(server, writer, piece):
    """Send until the connection is closed, and count the bytes that were accepted."""
    try:
        while True:
            writer.write(piece)
            await writer.drain()
            server.endless_bytes += len(piece)
            await asyncio.sleep(0)
    except ConnectionError:
        server.was_cut_off = True
        raise


def _endless(begin, piece):
    """Return a behaviour that sends a start and then the same bytes endlessly."""

    async def behave(server, received, writer):
        writer.write(begin(received))
        await _send_endlessly(server, writer, piece)

    return behave


def _no_head(received):
    return b""


garbage = _endless(_no_head, _repeat(b"\x00\x9f\r\n noise "))
reason_phrase = _endless(lambda _: b"HTTP/1.1 200 ", _repeat(b"x"))
header_line = _endless(lambda _: b"HTTP/1.1 200 OK\r\nX-Long: ", _repeat(b"x"))
header_lines = _endless(
    lambda _: b"HTTP/1.1 200 OK\r\n", b"X-Another: line\r\n" * (PIECE_BYTES // 17)
)
interim_answers = _endless(
    _no_head, b"HTTP/1.1 100 Continue\r\n\r\n" * (PIECE_BYTES // 25)
)
body_without_id = _endless(lambda _: b"HTTP/1.1 200 OK\r\n\r\n", _repeat(b"x"))
chunk_size = _endless(
    lambda received: head("200 OK", received, Transfer_Encoding="chunked"),
    _repeat(b"0"),
)
chunk_extension = _endless(
    lambda received: head("200 OK", received, Transfer_Encoding="chunked") + b"5;",
    _repeat(b"x"),
)
trailers = _endless(
    lambda received: (
        head("200 OK", received, Server_Signature="t1", Transfer_Encoding="chunked")
        + b"0\r\n"
    ),
    b"X-Another: line\r\n" * (PIECE_BYTES // 17),
)

answer_without_end = _endless(
    lambda received: head(
        "200 OK", received, Server_Signature="t1", Transfer_Encoding="chunked"
    ),
    b"400\r\n" + b"x" * 1024 + b"\r\n",
)


async def bytes_after_answer(server, received, writer):
    """Send a valid answer and then endless bytes."""
    await answer(server, received, writer)
    await _send_endlessly(server, writer, _repeat(b"x"))


async def answers_after_answer(server, received, writer):
    """Send a valid answer and then endless answers without a request."""
    await answer(server, received, writer)
    more = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    await _send_endlessly(server, writer, more * (PIECE_BYTES // len(more)))


WITHOUT_ANSWER = (
    garbage,
    reason_phrase,
    header_line,
    header_lines,
    interim_answers,
    body_without_id,
    chunk_size,
    chunk_extension,
    trailers,
)
AFTER_ANSWER = (bytes_after_answer, answers_after_answer)
