"""Whether a target may get a request now, and why not.

The store lists targets and which of them drain. A target may also say in an answer that
it leaves. It is then sent nothing new from that moment on, whatever the store or other
daemons say of it later, until another process replaces it. And it may ask a daemon to
send it nothing for some time.

Designed for: targets that turn many daemons away at the same moment and for the same
time. After such a pause the requests return in turns, the urgent and the idempotent
ones first, and each daemon returns at a random point of each turn, so that a target
does not get the requests of all daemons at once.
"""

from dataclasses import dataclass
from enum import IntEnum

MAX_PAUSE_S = 24 * 3600.0
"""Longest pause; a target that asks for a longer one is tried again after a day."""

RETURN_SHARE = 0.5
"""Duration of all turns together, as a share of the pause."""

MAX_RETURN_S = 1.0
"""Longest duration of all turns together: some requests of usual length."""


class Turn(IntEnum):
    """The order in which requests return to a target after a pause."""

    URGENT_IDEMPOTENT = 0
    URGENT = 1
    IDEMPOTENT = 2
    OTHER = 3


def turn_of(*, priority: int, is_idempotent: bool) -> Turn:
    """Return the turn of a request; priority 0 is the most urgent.

    >>> turn_of(priority=0, is_idempotent=False)
    <Turn.URGENT: 1>
    """
    if priority == 0:
        return Turn.URGENT_IDEMPOTENT if is_idempotent else Turn.URGENT
    return Turn.IDEMPOTENT if is_idempotent else Turn.OTHER


@dataclass(frozen=True, slots=True)
class Available:
    """The target may get requests."""


@dataclass(frozen=True, slots=True)
class Unlisted:
    """The store does not list the target."""


@dataclass(frozen=True, slots=True)
class Replaced:
    """The store lists a target at the same address whose process started later."""


@dataclass(frozen=True, slots=True)
class Draining:
    """The target drains, according to the store."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """An incarnation of a target said in an answer that it leaves."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class Paused:
    """A target asked in an answer that it is sent nothing until ``until_s``.

    The time is on the elapsed clock. ``return_s`` is the duration of all turns after
    it, and ``place`` this daemon's point in each of them, from 0 to 1.
    """

    until_s: float
    return_s: float
    place: float

    def returns_s(self, turn: Turn) -> float:
        """Return when the requests of a turn return.

        >>> pause = Paused(until_s=10.0, return_s=1.0, place=0.5)
        >>> pause.returns_s(Turn.URGENT_IDEMPOTENT), pause.returns_s(Turn.OTHER)
        (10.125, 10.875)
        """
        return self.until_s + self.return_s * (turn + self.place) / len(Turn)


def pause_for(for_s: float, *, place: float, now_s: float) -> Paused:
    """Return the pause that a target asks for."""
    pause_s = min(for_s, MAX_PAUSE_S)
    return_s = min(MAX_RETURN_S, pause_s * RETURN_SHARE)
    return Paused(now_s + pause_s, return_s, place)


Availability = Available | Unlisted | Replaced | Draining | Leaving | Paused


def describe(availability: Availability) -> str:
    """Return why a target gets no request, for logs.

    >>> describe(Leaving(incarnation=7))
    'the target leaves'
    """
    match availability:
        case Available():
            return "the target is available"
        case Unlisted():
            return "the target is not listed"
        case Replaced():
            return "another target has the address"
        case Draining() | Leaving():
            return "the target leaves"
        case Paused():
            return "the target asked for a pause"
