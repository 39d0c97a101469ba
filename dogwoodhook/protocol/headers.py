"""HTTP headers that callers, daemons and targets exchange.

A caller may name its workspace, limit the time that it waits, and mark a request with
an idempotency key. A target marks its answer to a request that it did not run. The
daemon reports a request's outcome to the caller::

    POST /timesheets HTTP/1.1
    Dogwoodhook-Workspace: kigali-institute
    Dogwoodhook-Timeout-Ms: 2500
    Idempotency-Key: 8e03978e-40d5-43dd-bc93-6894a57f9324

    HTTP/1.1 503 Service Unavailable
    Dogwoodhook-Outcome: not-run; reason=queue-full
"""

from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

from dogwoodhook.state.outcomes import Answered, NotRun, Outcome, Unknown

WORKSPACE_HEADER = "Dogwoodhook-Workspace"
"""Request header: the workspace on whose behalf the caller sends the request."""

TIMEOUT_HEADER = "Dogwoodhook-Timeout-Ms"
"""Request header: milliseconds left until the caller stops waiting.

The daemon forwards the time that remains, so that a target need not work on a
request whose caller no longer waits.
"""

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
"""Request header: of the requests with the same key, at most one is run."""

TARGET_HEADER = "Dogwoodhook-Target"
"""Answer header of a target, on status 503: the request was not run."""

TARGET_SHED = "shed"
"""Value of ``TARGET_HEADER``: the target has no capacity for this request."""

TARGET_DRAINING = "draining"
"""Value of ``TARGET_HEADER``: the target accepts no new requests."""

OUTCOME_HEADER = "Dogwoodhook-Outcome"
"""Answer header to the caller: ``answered``, ``not-run`` or ``unknown``.

The latter two carry a reason, as in ``not-run; reason=target-shed``.
"""

SERVER_ERROR_STATUS = 500
"""Lowest status of a server error."""

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers that a proxy forwards (RFC 9110, section 7.6.1)."""
    dropped = _HOP_BY_HOP | _connection_options(headers)
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept


def _connection_options(headers: Mapping[str, str]) -> frozenset[str]:
    value = headers.get("Connection")
    if not value:
        return frozenset()
    return frozenset(_stripped(value.lower().split(",")))


def _stripped(parts: Iterable[str]) -> Iterable[str]:
    return (part.strip() for part in parts)


def outcome_value(outcome: Outcome) -> str:
    """Return the value of ``OUTCOME_HEADER`` for an outcome.

    >>> from dogwoodhook.state.outcomes import NotRunReason
    >>> outcome_value(NotRun(NotRunReason.QUEUE_FULL))
    'not-run; reason=queue-full'
    """
    match outcome:
        case Answered():
            return "answered"
        case NotRun(reason=reason):
            return f"not-run; reason={reason}"
        case Unknown(reason=unknown_reason):
            return f"unknown; reason={unknown_reason}"
