"""Distinguishes failures of a request from failures of a target.

A request that fails wherever it runs, for example one that crashes its target,
is no evidence against those targets. Its failures count against the first target
only, until it succeeds on some target.
"""

from dataclasses import dataclass

RETENTION_S = 60.0
MAX_REQUESTS = 1024


@dataclass(slots=True)
class _FailedRequest:
    first_target: str
    seen_at_s: float
    has_failed_elsewhere: bool = False
    has_succeeded: bool = False


class FailedRequests:
    """Fingerprints of requests that failed recently, bounded in number and age.

    >>> requests = FailedRequests()
    >>> requests.counts_against(7, "target-a", now_s=0.0)
    True
    >>> requests.counts_against(7, "target-b", now_s=1.0)
    False
    """

    def __init__(self) -> None:
        self._requests: dict[int, _FailedRequest] = {}

    def counts_against(self, fingerprint: int, target: str, *, now_s: float) -> bool:
        """Record a failure; return whether it counts against its target."""
        request = self._find(fingerprint, now_s)
        if request is None:
            self._add(fingerprint, target, now_s)
            return True
        if request.has_succeeded:
            return True
        if target != request.first_target:
            request.has_failed_elsewhere = True
        return not request.has_failed_elsewhere

    def observe_success(self, fingerprint: int) -> None:
        """Record that the request succeeded on some target."""
        request = self._requests.get(fingerprint)
        if request is not None:
            request.has_succeeded = True

    def _find(self, fingerprint: int, now_s: float) -> _FailedRequest | None:
        request = self._requests.get(fingerprint)
        if request is None or now_s - request.seen_at_s <= RETENTION_S:
            return request
        del self._requests[fingerprint]
        return None

    def _add(self, fingerprint: int, target: str, now_s: float) -> None:
        if len(self._requests) >= MAX_REQUESTS:
            del self._requests[next(iter(self._requests))]
        self._requests[fingerprint] = _FailedRequest(target, now_s)
