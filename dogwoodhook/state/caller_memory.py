"""What a daemon holds for its callers, against a limit derived from the VM's memory.

A head costs memory by its lines rather than by its bytes, and a buffered body by the
pieces in which it came. At the limit the daemon first stops reading, then starts no
further large bodies, and then refuses what holds most and waits for its caller.

Designed for: hundreds of callers that each send a head of thousands of short lines, or
a body in very small chunks, stop just short of its end and stay connected. In calm,
one request at the limits of a configuration, a body of 64 MiB in chunks of one byte
included, meets none of these limits, since at most 0.5 MiB of its body is held.

>>> memory = CallerMemory(limit_bytes=10_000_000)
>>> memory.change(9_500_000)
>>> memory.admits(20_000), memory.admits(800_000), memory.allows_large_body
(True, False, False)
"""

from dataclasses import dataclass
from heapq import nlargest

MEMORY_SHARE = 0.2
"""Share of the process's memory that may be held for callers. An idle daemon takes
about 60 MB; the rest is for targets' answers and for what cannot be counted."""

DEFAULT_LIMIT_BYTES = 256 * 1024 * 1024
"""Limit where the platform sets none for the process."""

CONNECTION_BYTES = 8 * 1024
"""Memory of a connection without a request."""

LINE_BYTES = 400
"""Memory of a line of a head with a name of its own, beside its characters: the raw
and the decoded name and value, in the parser and in the request."""

PIECE_BYTES = 100
"""Memory of a piece of a buffered body beside its bytes: an object, its place in the
buffer and the recorded end of its chunk."""

SMALL_BYTES = 64 * 1024
"""Cost up to which received bytes are still admitted at the limit, within
``SMALL_SHARE``: more than an ordinary request costs."""

SMALL_SHARE = 0.125
"""Share of the limit that is kept for small requests."""

LARGE_BODY_BYTES = 64 * 1024
"""Size above which a body counts as large; one without a length counts as large."""

LARGE_BODY_SHARE = 0.75
"""Share of the limit above which no further large bodies are started."""

READ_SHARE = 0.25
"""Share of the limit above which smaller parts are read at once."""

MIN_WAIT_S = 0.5
"""How long a connection must have waited for its caller before it may be refused in
favour of others."""

CLOSED_SHARE = 0.01
"""Share of the connections that are closed at once to make room for others."""

SHORTAGE_S = 2.0
"""Time without any admission, while connections wait for memory, after which the
daemon asks for no new connections. Callers that hold most are refused each 50 ms, so a
shortage that callers cause ends sooner."""

FEW_LINES = 128
"""Lines of received bytes that are always parsed at once: more than an ordinary
request has."""

LINES_PER_PASS = 4096
"""Lines of costly parts that are parsed in a pass of the event loop, which takes a few
milliseconds. A part with more lines is parsed alone."""

FILE_DESCRIPTORS = 200
"""Descriptors of the process that are reserved for files."""

CONNECTIONS_SHARE = 0.75
"""Share of the other descriptors for callers; the rest is for targets, the store and
other daemons."""


def limit_bytes(memory_bytes: int | None) -> int:
    """Return how much may be held for callers, from the memory of the process.

    >>> limit_bytes(400_000_000), limit_bytes(None)
    (80000000, 268435456)
    """
    if memory_bytes is None:
        return DEFAULT_LIMIT_BYTES
    return int(MEMORY_SHARE * memory_bytes)


def max_connections(max_descriptors: int | None) -> int | None:
    """Return the number of connections of callers, ``None`` for no limit.

    >>> max_connections(4100), max_connections(None)
    (2925, None)
    """
    if max_descriptors is None:
        return None
    sockets = max(max_descriptors - FILE_DESCRIPTORS, max_descriptors // 2)
    return int(CONNECTIONS_SHARE * sockets)


def head_cost(*, lines: int, size_bytes: int) -> int:
    """Return the memory of a head.

    >>> head_cost(lines=2500, size_bytes=16000)
    1032000
    """
    return LINE_BYTES * lines + 2 * size_bytes


def body_cost(*, pieces: int, size_bytes: int) -> int:
    """Return the memory of buffered bytes of a body.

    >>> body_cost(pieces=4096, size_bytes=8192)
    417792
    """
    return PIECE_BYTES * pieces + size_bytes


@dataclass(frozen=True, slots=True)
class Holding:
    """What is held for a connection; ``waits_s`` counts while it waits for its caller.

    ``waits_s`` is ``None`` if the connection waits for a target.
    """

    held_bytes: int
    waits_s: float | None


@dataclass(slots=True)
class CallerMemory:
    """The bytes that are held for all callers together.

    ``body_bytes`` are those of bodies that were read from their connections.
    """

    limit_bytes: int
    held_bytes: int = 0
    body_bytes: int = 0

    def change(self, difference_bytes: int) -> None:
        """Count bytes that are held from now on, or no longer if negative."""
        self.held_bytes += difference_bytes

    def change_bodies(self, difference_bytes: int) -> None:
        """Count bytes of bodies that were read, or no longer held if negative."""
        self.body_bytes += difference_bytes
        self.change(difference_bytes)

    def admits(self, cost_bytes: int) -> bool:
        """Return whether received bytes of this cost may be parsed now."""
        limit_bytes = float(self.limit_bytes)
        if cost_bytes <= SMALL_BYTES:
            limit_bytes *= 1 + SMALL_SHARE
        return self.held_bytes + cost_bytes <= limit_bytes

    @property
    def allows_large_body(self) -> bool:
        """Return whether a request with a large body may be started."""
        return self.held_bytes <= LARGE_BODY_SHARE * self.limit_bytes

    @property
    def reads_large_parts(self) -> bool:
        """Return whether much may be read from a connection at once."""
        return self.held_bytes <= READ_SHARE * self.limit_bytes


@dataclass(slots=True)
class MemoryShortage:
    """Whether connections wait for memory, and none has been admitted for long.

    Designed for: an account that does not fall, whatever fills it. While it does not,
    callers that connect would wait for nothing. In a crowd of large requests, small
    ones are still admitted, so that there is no shortage.

    >>> memory = CallerMemory(limit_bytes=1_000_000, held_bytes=1_125_000)
    >>> shortage = MemoryShortage()
    >>> shortage.record_wait(now_s=1.0)
    >>> shortage.lasts(memory, now_s=2.0), shortage.lasts(memory, now_s=3.0)
    (False, True)
    >>> memory.change(-500_000)
    >>> shortage.lasts(memory, now_s=3.1)
    False
    """

    _waits_since_s: float | None = None
    _has_lasted: bool = False

    def record_wait(self, *, now_s: float) -> None:
        """Record that connections wait and none could be admitted."""
        if self._waits_since_s is None:
            self._waits_since_s = now_s

    def record_admission(self) -> None:
        """Record that received bytes were admitted."""
        self._waits_since_s = None

    def lasts(self, memory: CallerMemory, *, now_s: float) -> bool:
        """Return whether the shortage is long; it ends once there is room again."""
        since_s = self._waits_since_s
        if since_s is not None and now_s - since_s >= SHORTAGE_S:
            self._has_lasted = True
        if memory.admits(SMALL_BYTES):
            self._has_lasted = False
        return self._has_lasted


@dataclass(slots=True)
class ParsingPass:
    """The lines that are parsed in one pass of the event loop.

    >>> parsing = ParsingPass()
    >>> parsing.take(9000), parsing.take(500), parsing.take(20)
    (True, False, True)
    """

    lines: int = 0

    def take(self, lines: int) -> bool:
        """Count the lines of a part, unless it has to wait for a later pass."""
        if lines <= FEW_LINES:
            return True
        if self.lines and self.lines + lines > LINES_PER_PASS:
            return False
        self.lines += lines
        return True


def choose_refused(holdings: list[Holding]) -> int | None:
    """Return the index of the connection to refuse, which holds most.

    >>> choose_refused([Holding(9, None), Holding(5, 0.1), Holding(4, 2.0)])
    2
    """
    waiting = [
        index
        for index, holding in enumerate(holdings)
        if holding.waits_s is not None and holding.waits_s >= MIN_WAIT_S
    ]
    return max(waiting, key=lambda index: holdings[index].held_bytes, default=None)


def choose_closed(holdings: list[Holding]) -> list[int]:
    """Return the indices of connections to close so that others can be opened.

    They have been waited for longest. Several are chosen at once, so that many new
    connections do not take as many searches.

    >>> choose_closed([Holding(9, None), Holding(5, 7.0), Holding(8, 2.0)])
    [1]
    """
    waits_s = [holding.waits_s or 0.0 for holding in holdings]
    count = 1 + int(CLOSED_SHARE * len(holdings))
    longest = nlargest(count, range(len(waits_s)), key=waits_s.__getitem__)
    return [index for index in longest if waits_s[index] >= MIN_WAIT_S]
