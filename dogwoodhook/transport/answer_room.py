"""Room for the large answers that a daemon holds, in the order of their asking."""

import asyncio
from collections import deque

from dogwoodhook.state.large_answers import HeldBytes


class AnswerRoom:
    """The room for large answers, up to ``limit_bytes`` together."""

    def __init__(self, *, limit_bytes: int) -> None:
        self._held = HeldBytes(limit_bytes)
        # The sizes that are waited for, the first one first.
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    def try_take(self, size_bytes: int) -> bool:
        """Take room if there is any that nobody waits for."""
        return not self._waiting and self._held.try_take(size_bytes)

    async def take(self, size_bytes: int, *, timeout_s: float) -> bool:
        """Take room, maybe after a wait; return ``False`` if there is none in time."""
        if self.try_take(size_bytes):
            return True
        if timeout_s <= 0 or size_bytes > self._held.limit:
            return False
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((size_bytes, granted))
        try:
            await asyncio.wait([granted], timeout=timeout_s)
        except asyncio.CancelledError:
            if granted.done():
                self._held.give_back(size_bytes)
            raise
        finally:
            if not granted.done():
                self._waiting.remove((size_bytes, granted))
            self._grant()
        return granted.done()

    def give_back(self, size_bytes: int) -> None:
        """Give back room, to those that wait for it."""
        self._held.give_back(size_bytes)
        self._grant()

    def _grant(self) -> None:
        while self._waiting and self._held.try_take(self._waiting[0][0]):
            _, granted = self._waiting.popleft()
            granted.set_result(None)
