"""Detects heads of answers that are malformed.

A faulty target may break off in the middle of a head and write another answer after
it. The parser then sees one head, with the fields of both answers.
"""

import re

from aiohttp.http import RawResponseMessage

_STATUS_LINE = re.compile(r"HTTP/\d\.\d \d{3}(?!\d)")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_SWITCHING_PROTOCOLS = 101

_MIN_STATUS = 100
_MAX_STATUS = 599
"""The first and the last status code of HTTP (RFC 9110, section 15)."""


def head_problem(message: RawResponseMessage) -> str | None:
    """Return why a head cannot answer a proxied request, ``None`` if it can."""
    if not _MIN_STATUS <= message.code <= _MAX_STATUS:
        return f"status {message.code:03}, which HTTP does not have"
    if message.code == _SWITCHING_PROTOCOLS:
        return "a switch of protocols that was not asked for"
    texts = (message.reason, *message.headers.values())
    if any(_STATUS_LINE.search(text) for text in texts):
        return "a status line within a head"
    # The library would refuse to write such a field to the caller.
    if any(_CONTROL_CHARACTER.search(text) for text in texts):
        return "a control character within a head"
    # The caller would read any other coding as the plain body, since this header is not
    # passed on.
    codings = message.headers.getall("Transfer-Encoding", [])
    if codings and ", ".join(codings).lower() != "chunked":
        return "a transfer coding other than chunked"
    return None
