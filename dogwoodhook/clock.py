"""Time sources.

Durations are measured with ``CLOCK_BOOTTIME``, which keeps counting while the
VM is suspended, so a lease held by a paused process is found expired. Wall time
is used only for planned stops, quiet hours and times stored in the table; no rule
compares the wall clocks of two VMs more closely than ``WALL_CLOCK_ERROR_S``.
"""

import time
from dataclasses import dataclass
from typing import Protocol

WALL_CLOCK_ERROR_S = 2.0
"""Largest difference assumed between the wall clocks of two VMs."""

CLOCK_RATE_ERROR = 0.01
"""Largest relative difference assumed between the clock rates of two VMs."""


class Clock(Protocol):
    """Source of elapsed and wall time, both in seconds."""

    def now_s(self) -> float:
        """Return seconds of elapsed time since an arbitrary start."""
        ...

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        ...


class SystemClock:
    """The clock of this VM.

    >>> clock = SystemClock()
    >>> clock.now_s() <= clock.now_s()
    True
    """

    def now_s(self) -> float:
        """Return seconds of elapsed time, time suspended included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


@dataclass(slots=True)
class ManualClock:
    """A clock that only ``advance`` moves, for tests and simulations."""

    elapsed_s: float = 0.0
    epoch_s: float = 1_790_000_000.0

    def now_s(self) -> float:
        """Return the elapsed seconds set so far."""
        return self.elapsed_s

    def wall_s(self) -> float:
        """Return the wall time that matches the elapsed seconds."""
        return self.epoch_s + self.elapsed_s

    def advance(self, seconds: float) -> None:
        """Move both times forward."""
        self.elapsed_s += seconds
