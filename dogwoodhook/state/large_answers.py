"""How many bytes of large answers are held, and which routes have such answers.

A request that was started behind another one is lost if the answer in front breaks off
after a part of it went to the caller: the connection can only be closed then. So an
answer with started requests behind it is held until it is complete.

Designed for: callers that pipeline requests on routes whose answers are mostly short.
A route is known to have large answers from the first one on, and nothing is started
behind its requests for some time; they are streamed and not held. The bytes that are
held at the same time have a limit, whatever the number and size of the answers.
"""

from dataclasses import dataclass, field

LARGE_ROUTE_S = 300.0
"""Time after a route's last large answer for which it may have another one."""

MAX_ROUTES = 1024
"""Routes remembered; the one with the oldest large answer is evicted first."""


@dataclass(slots=True)
class HeldBytes:
    """Counts the bytes that are held, up to ``limit``.

    >>> held = HeldBytes(limit=10)
    >>> held.try_take(8), held.try_take(3), held.taken
    (True, False, 8)
    """

    limit: int
    taken: int = 0

    def try_take(self, count: int) -> bool:
        """Take a number of bytes, unless that exceeds the limit."""
        if self.taken + count > self.limit:
            return False
        self.taken += count
        return True

    def give_back(self, count: int) -> None:
        """Give back bytes that were taken."""
        self.taken -= count


@dataclass(slots=True)
class LargeAnswerRoutes:
    """The routes that had large answers recently."""

    _seen_s: dict[str, float] = field(default_factory=dict)

    def record(self, route: str, *, now_s: float) -> None:
        """Record that an answer of a route was large."""
        self._seen_s.pop(route, None)
        self._seen_s[route] = now_s
        if len(self._seen_s) > MAX_ROUTES:
            del self._seen_s[next(iter(self._seen_s))]

    def contains(self, route: str, *, now_s: float) -> bool:
        """Return whether a route may have a large answer again."""
        return now_s - self._seen_s.get(route, float("-inf")) < LARGE_ROUTE_S
