"""The daemon's own answers to callers, for requests on the operator's routes."""

import math
import random

from aiohttp import web

from dogwoodhook.events import REQUEST_REFUSED, log
from dogwoodhook.protocol.http_conventions import HttpConventions
from dogwoodhook.state.retry_after import (
    NoTargetKnown,
    RefusalCause,
    retry_after_s,
)
from dogwoodhook.state.route_policy import CallerLimits
from dogwoodhook.transport.bounded_requests import HEAD_TOO_LARGE_STATUS, head_bytes
from dogwoodhook.transport.request_uris import logged_path

UNAVAILABLE_STATUS = 503
"""Status by which an answer promises that the request has not run and will not run."""

BODY_TOO_LARGE_STATUS = 413

OVER_QUOTA_STATUS = 429
"""Status with the same promise, for a workspace that is over its quota."""

UNAUTHORIZED_STATUS = 401
"""Status for a request whose key no workspace holds; it has not run."""

BODY_LATE_STATUS = 408
"""Status with the same promise, for a caller that sent its request too slowly."""


class OwnAnswers:
    """Makes answers that carry the request's id."""

    def __init__(self, conventions: HttpConventions, rng: random.Random) -> None:
        self._conventions = conventions
        self._rng = rng

    def failure(
        self, request: web.BaseRequest, status: int, detail: str
    ) -> web.Response:
        """Return an answer that says nothing about whether the request ran."""
        answer = web.Response(status=status, text=f"{detail}\n")
        request_id = request.headers.get(self._conventions.request_id_header)
        if request_id is not None:
            answer.headers[self._conventions.request_id_header] = request_id
        return answer

    def unavailable(
        self, request: web.BaseRequest, detail: str, cause: RefusalCause
    ) -> web.Response:
        """Return an answer that promises that the request has not run."""
        answer = self.failure(request, UNAVAILABLE_STATUS, detail)
        retry_s = retry_after_s(cause, rng=self._rng)
        answer.headers["Retry-After"] = _rounded_up(retry_s)
        return answer

    def over_quota(
        self, request: web.BaseRequest, detail: str, *, retry_after_s: float
    ) -> web.Response:
        """Refuse a request as not run, until its workspace's quota has room."""
        answer = self.failure(request, OVER_QUOTA_STATUS, detail)
        answer.headers["Retry-After"] = _rounded_up(retry_after_s)
        return answer

    def quarantined(
        self, request: web.BaseRequest, detail: str, *, for_s: float
    ) -> web.Response:
        """Refuse a request as not run, and say how long it will be refused."""
        answer = self.failure(request, UNAVAILABLE_STATUS, detail)
        answer.headers["Retry-After"] = f"{for_s:.2f}"
        return answer

    def no_configuration(self, request: web.BaseRequest) -> web.Response:
        """Refuse a request because no configuration has been loaded yet."""
        detail = "no configuration is known yet"
        self._log(request, UNAVAILABLE_STATUS, detail)
        return self.unavailable(request, detail, NoTargetKnown())

    def stopping(self, request: web.BaseRequest) -> web.Response:
        """Refuse a request as not run; any other daemon can serve it at once."""
        detail = "the daemon stops"
        self._log(request, UNAVAILABLE_STATUS, detail)
        answer = self.failure(request, UNAVAILABLE_STATUS, detail)
        answer.headers["Retry-After"] = "0"
        return answer

    def over_limit(
        self, request: web.BaseRequest, limits: CallerLimits
    ) -> web.Response | None:
        """Refuse a request whose head or announced body is too large."""
        if head_bytes(request) > limits.max_header_bytes:
            detail = f"a head over {limits.max_header_bytes} bytes"
            return self.denial(request, HEAD_TOO_LARGE_STATUS, detail)
        if (request.content_length or 0) > limits.max_body_bytes:
            detail = f"a body over {limits.max_body_bytes} bytes"
            return self.denial(request, BODY_TOO_LARGE_STATUS, detail)
        return None

    def unauthorized(self, request: web.BaseRequest, detail: str) -> web.Response:
        """Refuse a request without a valid key; what is logged is up to the caller."""
        answer = self.failure(request, UNAUTHORIZED_STATUS, detail)
        # A challenge is needed (RFC 9110, section 15.5.2).
        answer.headers["WWW-Authenticate"] = self._conventions.key_header
        return answer

    def body_late(self, request: web.BaseRequest) -> web.Response:
        """Refuse a request as not run: its body did not arrive in time."""
        detail = "the body did not come in time"
        self._log(request, BODY_LATE_STATUS, detail)
        answer = self.failure(request, BODY_LATE_STATUS, detail)
        answer.force_close()
        return answer

    def denial(
        self, request: web.BaseRequest, status: int, detail: str
    ) -> web.Response:
        """Refuse a request without a route or over a limit; retries would fail too."""
        self._log(request, status, detail)
        return self.failure(request, status, detail)

    def _log(self, request: web.BaseRequest, status: int, detail: str) -> None:
        log(
            REQUEST_REFUSED,
            request=request.headers.get(self._conventions.request_id_header, ""),
            path=logged_path(request),
            status=status,
            detail=detail,
        )


def _rounded_up(retry_after_s: float) -> str:
    """Return a time in hundredths of a second, after which no caller is too early."""
    return f"{math.ceil(retry_after_s * 100) / 100:.2f}"
