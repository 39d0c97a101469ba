"""What a daemon still sends to targets during its planned stop.

A stop has three phases. Until the *intake* ends, the load balancer may still send new
callers to this daemon, and their requests are served if the service usually answers
before the stop ends. After that only callers on kept-alive connections send requests,
and these are refused at once so that the callers use another daemon. Until the
*answers* end, requests at targets may finish. The rest of the grace period is for
writing the last answers and closing connections.

Times are on the elapsed clock.
"""

import math
from dataclasses import dataclass

BALANCER_NOTICE_S = 2.6
"""Time for which new callers still arrive: the load balancer checks readiness once a
second, and two of its checks have to fail."""

MAX_INTAKE_SHARE = 0.45
"""Share of a short grace period after which no request is accepted, so that most of the
period is left for those accepted before."""

ANSWERS_SHARE = 0.9
"""Share of the grace period after which requests at targets are given up. Targets are
promised all of it but the last sixth."""

CLOSE_SHARE = 0.95
"""Share of the grace period after which connections are closed in whatever state they
are."""

MIN_CLOSING_S = 0.1
"""Least time for closing the connections and ending the process."""

MAX_CLOSING_SHARE = 1 / 12
"""Largest share of a short grace period that the closing takes: half of the last sixth,
so that the other half is left for answers."""


@dataclass(slots=True)
class DaemonStop:
    """A planned stop of the daemon; ``began_s`` is ``None`` until it begins."""

    began_s: float | None = None
    grace_s: float = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the stop has begun."""
        return self.began_s is not None

    @property
    def intake_ends_s(self) -> float:
        """Time from which no request is sent to a target."""
        return self._at(min(BALANCER_NOTICE_S, MAX_INTAKE_SHARE * self.grace_s))

    @property
    def answers_end_s(self) -> float:
        """Time at which requests at targets are given up."""
        return self._at(ANSWERS_SHARE * self.grace_s)

    @property
    def reading_ends_s(self) -> float:
        """Time at which incomplete buffered answers are given up: halfway between the
        end of answers and the closing.
        """
        return (self.answers_end_s + self.closes_s) / 2

    @property
    def closes_s(self) -> float:
        """Time at which every connection is closed."""
        least_s = min(MIN_CLOSING_S, MAX_CLOSING_SHARE * self.grace_s)
        return self._at(min(CLOSE_SHARE * self.grace_s, self.grace_s - least_s))

    @property
    def ends_s(self) -> float:
        """Time at which the process must have ended."""
        return self._at(self.grace_s)

    def begin(self, *, now_s: float, grace_s: float) -> None:
        """Begin the stop, with a grace period from now on."""
        self.began_s = now_s
        self.grace_s = grace_s

    def may_send(self, *, now_s: float, expected_s: float, deadline_s: float) -> bool:
        """Return whether a request may be sent to a target, first or as a retry.

        ``expected_s`` is the time in which nearly all answers of its service arrive.
        The request ends at its deadline in any case.

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
        """Return the time since the stop began as log fields; no field before it.

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
