"""An event loop whose time jumps to the next timer in place of waiting for it."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Never waits; ``elapsed_s`` is what it would have waited."""

    def __init__(self):
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("nothing is left to wait for")
            self.elapsed_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Its time is that of its selector; of use without sockets or threads only."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.elapsed_s


class LoopClock:
    """The running loop's time as a clock."""

    def now_s(self):
        return asyncio.get_running_loop().time()

    def wall_s(self):
        return self.now_s()


def run(work):
    """Run a coroutine function in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work())
