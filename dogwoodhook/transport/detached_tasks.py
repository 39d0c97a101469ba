"""Tasks that continue after their caller has disconnected."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Value = TypeVar("Value")


class DetachedTasks:
    """Tasks that keep running when the coroutine that awaits them is cancelled."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        """Return the number of tasks that are still running."""
        return len(self._tasks)

    async def run(self, work: Coroutine[Any, Any, Value]) -> Value:
        """Run ``work`` to its end even if this call is cancelled; return its result."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def wait(self) -> None:
        """Wait until all tasks have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)
