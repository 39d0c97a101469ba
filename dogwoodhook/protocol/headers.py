"""The HTTP header contract with callers and targets."""

from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

from dogwoodhook.state.outcomes import Answered, NotRun, Outcome, Unknown

WORKSPACE_HEADER = "Dogwoodhook-Workspace"
"""Request header: the workspace a request belongs to."""

TIMEOUT_HEADER = "Dogwoodhook-Timeout-Ms"
"""Request header: time left for the answer, from callers and to targets."""

OUTCOME_HEADER = "Dogwoodhook-Outcome"
"""Answer header to the caller: what became of the request."""

TARGET_HEADER = "Dogwoodhook-Target"
"""Answer header of a target that declares that it did not run the request."""

TARGET_SHED = "shed"
TARGET_DRAINING = "draining"

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
"""Request header of the IETF HTTP API working group's draft of that name."""

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
    """Return the headers that a proxy passes on (RFC 9110, section 7.6.1)."""
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
    """Return the outcome header's value.

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
