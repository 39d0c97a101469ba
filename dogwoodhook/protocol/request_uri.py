"""The URI of a request as its caller sent it (RFC 9112, section 3.2).

A URI that is decoded or put together again may differ from what the caller sent: an
encoded slash becomes a path separator, and an empty query or segment is lost. Routes
are therefore matched, and requests identified and sent on, by the received text.
"""

import re
from dataclasses import dataclass

_SEGMENT_CHARACTER = r"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})"
_PATH = rf"(?:/{_SEGMENT_CHARACTER}*)"
_QUERY = rf"(?:\?(?:{_SEGMENT_CHARACTER}|[/?])*)"
_ORIGIN_FORM = re.compile(rf"{_PATH}+{_QUERY}?")
_ABSOLUTE_FORM = re.compile(
    rf"(?i:http)://(?P<authority>[A-Za-z0-9\-._~\[\]:]+)"
    rf"(?P<path>{_PATH}*)(?P<query>{_QUERY}?)"
)
_ASTERISK_FORM = "*"


@dataclass(frozen=True, slots=True)
class RequestUri:
    """Path and query of a request, byte for byte.

    ``authority`` is the host and port of a URI in absolute form, otherwise empty.

    >>> RequestUri("/till/stock%2F7?").path
    '/till/stock%2F7'
    """

    text: str
    authority: str = ""

    @property
    def path(self) -> str:
        """Return the path without the query, not decoded."""
        return self.text.partition("?")[0]


def parse_request_uri(received: str) -> RequestUri | None:
    """Return the URI of a request line, ``None`` if HTTP does not allow it.

    >>> parse_request_uri("//a?")
    RequestUri(text='//a?', authority='')
    >>> parse_request_uri("http://tills.example?b=1")
    RequestUri(text='/?b=1', authority='tills.example')
    >>> parse_request_uri("/a#b")
    """
    if _ORIGIN_FORM.fullmatch(received) or received == _ASTERISK_FORM:
        return RequestUri(received)
    absolute = _ABSOLUTE_FORM.fullmatch(received)
    if absolute is None:
        return None
    path = absolute["path"] or "/"
    return RequestUri(path + absolute["query"], absolute["authority"])
