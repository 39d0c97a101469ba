"""How long a request may take, by its route and its caller."""

from dogwoodhook.state.route_policy import RoutePolicy

CALLER_MARGIN_S = 0.1
"""How long before its deadline a caller is answered, so that the answer has time to
reach the caller."""


def answer_limit_s(route: RoutePolicy, remaining_ms: str) -> float:
    """Return the time from a request's arrival within which targets may answer it.

    Until the route's timeout a target may still do so; the caller's own deadline has to
    leave time for the answer to arrive. ``remaining_ms`` is what the caller said of it,
    empty if nothing.
    """
    return min(route.timeout_s, caller_limit_s(remaining_ms) - CALLER_MARGIN_S)


def streaming_limit_s(route: RoutePolicy, remaining_ms: str) -> float:
    """Return the time from a request's arrival within which an answer is passed on.

    What the caller has of a streamed answer is lost if it ends before its deadline.
    """
    return min(route.timeout_s, caller_limit_s(remaining_ms))


def caller_limit_s(remaining_ms: str) -> float:
    """Return the time for which a caller waits, infinity if it did not say.

    >>> caller_limit_s("1500"), caller_limit_s("soon")
    (1.5, inf)
    """
    if remaining_ms.isascii() and remaining_ms.isdigit():
        # A float has no limit of digits.
        return float(remaining_ms) / 1000
    return float("inf")
