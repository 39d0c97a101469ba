"""An event loop whose time jumps to the next timer instead of waiting for it."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Never waits; ``elapsed_s`` is the time that it would have waited in total."""

    def __init__(self):
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("deadlock in virtual time: no timer is scheduled")
            self.elapsed_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Takes its time from its selector; works only without sockets and threads."""

    def __init__(self):
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self):
        return self._jumping_selector.elapsed_s


class LoopClock:
    """A clock that returns the running event loop's time."""

    def now_s(self):
        return asyncio.get_running_loop().time()

    def wall_s(self):
        return self.now_s()


def run(work):
    """Run a coroutine function in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work())
