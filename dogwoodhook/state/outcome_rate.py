"""A running estimate of a service's rate of outcomes."""

WINDOW_S = 60.0
MIN_ELAPSED_S = 10.0
PRIOR_OUTCOMES_PER_S = 1.0


class OutcomeRate:
    """Outcomes per second, averaged over the last few minutes.

    A rise takes effect at once, since too low a rate would give more false alarms.
    """

    def __init__(self) -> None:
        self._outcomes_per_s = PRIOR_OUTCOMES_PER_S
        self._count = 0
        self._started_at_s: float | None = None
        self._elapsed_s = 0.0

    def record(self, now_s: float) -> None:
        """Count one outcome."""
        if self._started_at_s is None:
            self._started_at_s = now_s
        self._count += 1
        self._elapsed_s = now_s - self._started_at_s
        if self._elapsed_s < WINDOW_S:
            return
        self._outcomes_per_s = (self._outcomes_per_s + self._window_rate()) / 2
        self._count = 0
        self._elapsed_s = 0.0
        self._started_at_s = now_s

    def outcomes_per_s(self) -> float:
        """Return the present estimate."""
        return max(self._outcomes_per_s, self._window_rate())

    def _window_rate(self) -> float:
        return self._count / max(MIN_ELAPSED_S, self._elapsed_s)
