"""Checks whether a target's process has ended.

A process that ends takes its port and all its connections with it. A target that resets
a connection, a network path that is cut, or an answer that is lost leaves the port open
or silent. So once a connection has broken, a new one may show which of them it was. A
port that is open again shows nothing: another process may have opened it.
"""

import asyncio
from enum import StrEnum

from dogwoodhook.coordination.target_ends import EndEvidence, TargetEnds
from dogwoodhook.state.target_directory import TargetEntry

CHECK_TIMEOUT_S = 0.3
"""Time for the answer to a new connection: several round trips between data centres."""


class PortState(StrEnum):
    """What became of a new connection: opened, refused, or neither in time."""

    OPEN = "open"
    CLOSED = "closed"
    SILENT = "silent"


class CrashChecks:
    """Checks targets' ports, and records the ends that this shows."""

    def __init__(self, target_ends: TargetEnds) -> None:
        self._target_ends = target_ends
        self._tasks: set[asyncio.Task[PortState]] = set()

    async def check_lost_connection(self, target: TargetEntry) -> PortState:
        """Return the state of a target's port after a connection to it broke."""
        # The departure of the caller does not cancel the check.
        return await asyncio.shield(self._start(target, {PortState.CLOSED}))

    def check_removed_entry(self, target: TargetEntry) -> None:
        """Check a target whose entry was removed, if requests there got no answer."""
        if self._target_ends.has_unanswered_at(target.name):
            self._start(target, {PortState.CLOSED, PortState.SILENT})

    def _start(
        self, target: TargetEntry, ended: set[PortState]
    ) -> asyncio.Task[PortState]:
        task = asyncio.create_task(self._check(target, ended))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _check(self, target: TargetEntry, ended: set[PortState]) -> PortState:
        port = await _connect(target.host, target.port)
        if port in ended:
            is_closed = port is PortState.CLOSED
            evidence = (
                EndEvidence.CLOSED_PORT if is_closed else EndEvidence.REMOVED_ENTRY
            )
            self._target_ends.record_end(target.name, target.incarnation, evidence)
        return port


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
