"""Byte sequences that end the parts of HTTP/1.1 messages."""

LINE_END = b"\r\n"
HEAD_END = 2 * LINE_END

LAST_CHUNK = b"0" + HEAD_END
"""The end of a chunked body without trailers."""


def last_bytes(tail: bytes, data: bytes, *, count: int) -> bytes:
    """Return the last ``count`` bytes received.

    ``tail`` holds the last bytes received before ``data``.

    >>> last_bytes(b"abc", b"de", count=4)
    b'bcde'
    """
    return (tail + data[-count:])[-count:]
