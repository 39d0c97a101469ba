"""Work that goes on after its caller has left."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Value = TypeVar("Value")


class DetachedTasks:
    """Tasks that the cancellation of whoever waits for them does not end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def has_running(self) -> bool:
        """Tell whether a task is left."""
        return bool(self._tasks)

    async def run(self, work: Coroutine[Any, Any, Value]) -> Value:
        """Run to the end, and return the result if the waiter is still there."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def wait(self) -> None:
        """Wait until no task is left."""
        while self._tasks:
            await asyncio.wait(self._tasks)
