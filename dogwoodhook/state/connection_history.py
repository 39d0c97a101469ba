"""What a connection to a target has carried so far.

A target may write an answer to an earlier request again, and HTTP/1.1 identifies the
request of an answer only by the order on the connection. The request's id in the answer
tells the two apart, unless the same request is sent once more on the same connection.
So a connection carries each id only once.
"""

from dataclasses import dataclass

MAX_REQUESTS = 128
"""Requests that one connection may carry; their ids take 13 kB."""


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """What a connection had carried when a request was about to be sent on it.

    ``requests`` counts the earlier requests, and ``refusals`` those of them that the
    target declared not to have run. ``has_carried_id`` is set if one of the requests
    had the same id.
    """

    requests: int = 0
    refusals: int = 0
    has_carried_id: bool = False

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that describe the connection."""
        return {
            "connection_requests": self.requests,
            "connection_refusals": self.refusals,
            "connection_had_id": self.has_carried_id,
        }


NEW_CONNECTION = ConnectionUse()
"""The use of a connection that has carried nothing."""


class ConnectionHistory:
    """The requests that one connection has carried.

    >>> history = ConnectionHistory()
    >>> history.record_request("a")
    >>> history.record_refusal()
    >>> history.use_for("a")
    ConnectionUse(requests=1, refusals=1, has_carried_id=True)
    >>> history.may_carry("a"), history.may_carry("b")
    (False, True)

    ``extra_answers`` counts answers to earlier requests that came where the answer to
    the last one was due.
    """

    def __init__(self) -> None:
        self.extra_answers = 0
        self._last_id: str | None = None
        # Ids have any length, their hashes one. Two ids with the same hash would only
        # cost a connection.
        self._id_hashes: set[int] = set()
        self._requests = 0
        self._refusals = 0

    def may_carry(self, request_id: str | None) -> bool:
        """Return whether a request may be sent on the connection.

        Requests of the native daemon have no id, ``None``.
        """
        return self._requests < MAX_REQUESTS and not self._has_carried(request_id)

    def use_for(self, request_id: str | None) -> ConnectionUse:
        """Return what the connection has carried, for a request that is to be sent."""
        return ConnectionUse(
            self._requests, self._refusals, self._has_carried(request_id)
        )

    def record_request(self, request_id: str | None) -> None:
        """Record that a request is about to be sent."""
        if request_id is not None:
            self._id_hashes.add(hash(request_id))
        self._last_id = request_id
        self._requests += 1

    def record_refusal(self) -> None:
        """Record that the target declared that it did not run the last request."""
        self._refusals += 1

    @property
    def has_earlier_requests(self) -> bool:
        """Return whether an answer may belong to a request before the last one."""
        return self._requests > 1

    def is_of_last_request(self, request_id: str) -> bool:
        """Return whether an id is that of the last request."""
        return request_id == self._last_id

    def is_of_earlier_request(self, request_id: str) -> bool:
        """Return whether an id belongs to a request before the last one."""
        return not self.is_of_last_request(request_id) and self._has_carried(request_id)

    def _has_carried(self, request_id: str | None) -> bool:
        return request_id is not None and hash(request_id) in self._id_hashes
