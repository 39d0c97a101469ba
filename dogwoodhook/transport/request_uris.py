"""The URI of a request: read from the request line once, and sent to targets as it is.

Everything that routes, identifies, logs or sends a request reads its URI from here.
"""

from functools import lru_cache

from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from dogwoodhook.protocol.headers import end_to_end_headers
from dogwoodhook.protocol.request_uri import RequestUri, parse_request_uri

_URI = web.RequestKey("uri", RequestUri)


def uri_of(request: web.BaseRequest) -> RequestUri | None:
    """Return a request's URI, ``None`` if HTTP does not allow it."""
    known: RequestUri | None = request.get(_URI)
    if known is not None:
        return known
    uri = parse_request_uri(request.raw_path)
    if uri is not None:
        request[_URI] = uri
    return uri


def logged_path(request: web.BaseRequest) -> str:
    """Return a request's path as it was sent, also of a URI that is not allowed."""
    return request.raw_path.partition("?")[0]


def host_of(request: web.BaseRequest, uri: RequestUri) -> str:
    """Return the host that a request is for; an absolute URI tells it itself."""
    return uri.authority or request.host


def headers_to_target(request: web.BaseRequest, uri: RequestUri) -> CIMultiDict[str]:
    """Return the headers of a request that are sent to targets."""
    headers = end_to_end_headers(request.headers)
    headers.popall("Expect", None)
    if uri.authority:
        # It replaces the Host header (RFC 9112, section 3.2.2).
        headers["Host"] = uri.authority
    return headers


def target_url(address: str, uri: RequestUri) -> URL:
    """Return the URL by which the client library sends the URI as it is.

    The query is passed as a part of the path, since the library drops an empty query.
    """
    return _base_url(address).with_path(uri.text, encoded=True)


@lru_cache(maxsize=4096)
def _base_url(address: str) -> URL:
    return URL(f"http://{address}", encoded=True)
