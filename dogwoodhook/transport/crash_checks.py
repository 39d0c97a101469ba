"""Checks whether a target's process has ended.

A process that ends takes its port and all its connections with it. A target that resets
a connection, a network path that is cut, or an answer that is lost leaves the port open
or silent. So once a connection has broken, a new one shows which of them it was.
"""

import asyncio
from enum import StrEnum

from dogwoodhook.clock import Clock
from dogwoodhook.state.target_directory import TargetEntry

CHECK_TIMEOUT_S = 0.3
"""Time for the answer to a new connection: several round trips between data centres."""

CHECK_REUSE_S = 0.2
"""Time for which a result also serves other requests whose connections broke."""

MAX_RESULTS = 256
"""Targets whose results are kept."""


class PortState(StrEnum):
    """What became of a new connection: opened, refused, or neither in time."""

    OPEN = "open"
    CLOSED = "closed"
    SILENT = "silent"


class CrashChecks:
    """Checks targets' ports; requests that fail at the same time share a check."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._checks: dict[str, tuple[float, asyncio.Task[PortState]]] = {}

    async def check(self, target: TargetEntry) -> PortState:
        """Return the state of a target's port."""
        now_s = self._clock.now_s()
        started_s, task = self._checks.get(target.address, (float("-inf"), None))
        if task is None or now_s - started_s > CHECK_REUSE_S:
            if len(self._checks) >= MAX_RESULTS:
                self._checks.clear()
            task = asyncio.create_task(_connect(target.host, target.port))
            self._checks[target.address] = now_s, task
        # One caller's departure does not cancel the check for the others.
        return await asyncio.shield(task)


async def _connect(host: str, port: int) -> PortState:
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return PortState.CLOSED
    except (OSError, ValueError):
        # Unreachable, or an address that cannot be resolved or encoded.
        return PortState.SILENT
    writer.close()
    return PortState.OPEN
