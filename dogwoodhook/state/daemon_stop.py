"""What a daemon still sends to targets once it has been told to stop.

A stop has three times. Until the *intake* ends the balancer may send new callers here,
and their requests are served if the service usually answers before the stop is over.
From then on only callers on kept connections come, and they are told to go elsewhere
at once. Until *answers* end, what is at targets runs out. The rest of the grace period
is for writing the last answers and for closing.

Times are on the elapsed clock.
"""

import math
from dataclasses import dataclass

BALANCER_NOTICE_S = 2.6
"""Time for which new callers still come: the balancer has to miss two of its
questions, which it asks once a second."""

MAX_INTAKE_SHARE = 0.45
"""Share of a short grace period after which nothing more is taken, so that most of it
is left for what has been."""

ANSWERS_SHARE = 0.9
"""Share of the grace period for which targets may work; the last sixth of it is not
owed to them."""

CLOSE_SHARE = 0.95
"""Share of the grace period after which connections are closed as they are."""

MIN_CLOSING_S = 0.1
"""Least time for closing them and for the end of the process."""

MAX_CLOSING_SHARE = 1 / 12
"""Share of a short grace period that the closing takes at most: half of the last
sixth, so that answers have the rest."""


@dataclass(slots=True)
class DaemonStop:
    """A planned stop; ``began_s`` is ``None`` until the daemon is told to stop."""

    began_s: float | None = None
    grace_s: float = 0.0

    @property
    def has_begun(self) -> bool:
        """Tell whether the daemon has been told to stop."""
        return self.began_s is not None

    @property
    def intake_ends_s(self) -> float:
        """Time from which no request goes to a target any more."""
        return self._at(min(BALANCER_NOTICE_S, MAX_INTAKE_SHARE * self.grace_s))

    @property
    def answers_end_s(self) -> float:
        """Time at which requests at targets are given up."""
        return self._at(ANSWERS_SHARE * self.grace_s)

    @property
    def reading_ends_s(self) -> float:
        """Time at which held answers are given up that are not whole: halfway from
        the end of answers to the closing.
        """
        return (self.answers_end_s + self.closes_s) / 2

    @property
    def closes_s(self) -> float:
        """Time at which every connection is closed."""
        least_s = min(MIN_CLOSING_S, MAX_CLOSING_SHARE * self.grace_s)
        return self._at(min(CLOSE_SHARE * self.grace_s, self.grace_s - least_s))

    @property
    def ends_s(self) -> float:
        """Time at which the process is gone."""
        return self._at(self.grace_s)

    def begin(self, *, now_s: float, grace_s: float) -> None:
        """Stop within a grace period from now on."""
        self.began_s = now_s
        self.grace_s = grace_s

    def may_send(self, *, now_s: float, expected_s: float, deadline_s: float) -> bool:
        """Tell whether a request may go to a target, or to another one.

        ``expected_s`` is the time in which nearly all answers of its service come;
        it ends at its deadline anyway.

        >>> stop = DaemonStop()
        >>> stop.begin(now_s=0.0, grace_s=6.0)
        >>> stop.may_send(now_s=1.0, expected_s=2.0, deadline_s=9.0)
        True
        >>> stop.may_send(now_s=1.0, expected_s=5.0, deadline_s=9.0)
        False
        >>> stop.may_send(now_s=3.0, expected_s=0.1, deadline_s=9.0)
        False
        """
        if now_s >= self.intake_ends_s:
            return False
        return min(now_s + expected_s, deadline_s) <= self.answers_end_s

    def log_fields(self, *, now_s: float) -> dict[str, int]:
        """Return the time since the stop began, for the log; nothing before.

        >>> stop = DaemonStop()
        >>> stop.log_fields(now_s=3.0)
        {}
        >>> stop.begin(now_s=3.0, grace_s=6.0)
        >>> stop.log_fields(now_s=4.5)
        {'stopping_ms': 1500}
        """
        if self.began_s is None:
            return {}
        return {"stopping_ms": int((now_s - self.began_s) * 1000)}

    def _at(self, after_s: float) -> float:
        return math.inf if self.began_s is None else self.began_s + after_s
