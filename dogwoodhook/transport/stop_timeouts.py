"""Timeouts that expire early when a phase of a planned stop ends."""

import asyncio
import math
from collections.abc import Callable
from types import TracebackType

from dogwoodhook.clock import Clock
from dogwoodhook.state.daemon_stop import DaemonStop

MAX_DRIFT_S = 0.01
"""Increase of the difference between the two clocks above which the VM is taken to have
been suspended: half of the time between checks."""


class StopTimeouts:
    """Makes timeouts that also expire when a phase of a stop ends.

    The stop may begin after the timeout was started::

        async with timeouts.until_answers_end():
            ...  # TimeoutError once requests at targets are given up
    """

    def __init__(self, stop: DaemonStop, clock: Clock) -> None:
        self._stop = stop
        self._clock = clock
        self._running: set[_StopTimeout] = set()
        self._loop_lag_s = 0.0

    def until_intake_ends(self, timeout_s: float) -> "_StopTimeout":
        """Return a timeout that expires when requests are no longer sent to targets."""
        return self._timeout(lambda: self._stop.intake_ends_s, timeout_s)

    def until_answers_end(self) -> "_StopTimeout":
        """Return a timeout that expires when requests at targets are given up."""
        return self._timeout(lambda: self._stop.answers_end_s, math.inf)

    def until_reading_ends(self) -> "_StopTimeout":
        """Return a timeout that expires when incomplete held answers are given up."""
        return self._timeout(lambda: self._stop.reading_ends_s, math.inf)

    def begin_stop(self) -> None:
        """Shorten the running timeouts because a stop has begun."""
        self._loop_lag_s = self._measure_loop_lag_s()
        for timeout in self._running:
            timeout.shorten()

    def check_for_suspension(self) -> None:
        """Shorten the timeouts if the VM has been suspended since the last check.

        The timeouts run on the event loop's clock, which does not advance while the VM
        is suspended.
        """
        loop_lag_s = self._measure_loop_lag_s()
        if loop_lag_s - self._loop_lag_s < MAX_DRIFT_S:
            return
        self._loop_lag_s = loop_lag_s
        for timeout in self._running:
            timeout.shorten()

    def _measure_loop_lag_s(self) -> float:
        return self._clock.now_s() - asyncio.get_running_loop().time()

    def _timeout(self, ends_s: Callable[[], float], timeout_s: float) -> "_StopTimeout":
        deadline_s = self._clock.now_s() + timeout_s
        return _StopTimeout(
            lambda: min(deadline_s, ends_s()) - self._clock.now_s(), self._running
        )


class _StopTimeout:
    """An ``asyncio.timeout`` that can be shortened."""

    def __init__(
        self, left_s: Callable[[], float], running: "set[_StopTimeout]"
    ) -> None:
        self._left_s = left_s
        self._running = running
        self._timeout = asyncio.timeout(self._finite(left_s()))

    def shorten(self) -> None:
        """Expire at the end of the stop's phase, if that is earlier."""
        if self._timeout.expired():
            return
        left_s = self._finite(self._left_s())
        if left_s is not None:
            loop = asyncio.get_running_loop()
            self._timeout.reschedule(loop.time() + left_s)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        self._running.add(self)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._running.discard(self)
        await self._timeout.__aexit__(kind, error, traceback)

    @staticmethod
    def _finite(left_s: float) -> float | None:
        return None if math.isinf(left_s) else left_s
