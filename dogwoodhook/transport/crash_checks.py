"""Checks whether a target's process has ended.

A process that ends takes its port and all its connections with it. A target that resets
a connection, a network path that is cut, or an answer that is lost leaves the port open
or silent, and other connections open. So once a connection has broken, a new one may
show which of them it was. A port that is open shows nothing, since another process may
have opened it again; then a second connection that broke too shows an end.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum

from dogwoodhook.coordination.target_ends import EndEvidence, TargetEnds
from dogwoodhook.state.target_directory import TargetEntry

CHECK_TIMEOUT_S = 0.3
"""Time for the answer to a new connection: several round trips between data centres."""

BREAK_MARGIN_S = 0.02
"""Time for which the break of a second connection is awaited after the answer to a new
one. The target has sent the break before that answer; packets may be reordered."""


MayConnect = Callable[[TargetEntry], bool]
"""Returns whether a connection to a target may be opened now."""


class PortState(StrEnum):
    """What became of a new connection; ``UNCHECKED`` if none was to be opened."""

    OPEN = "open"
    CLOSED = "closed"
    SILENT = "silent"
    UNCHECKED = "unchecked"


@dataclass(frozen=True, slots=True)
class LossCheck:
    """What was found after a connection broke: the end of its target, if any."""

    evidence: EndEvidence | None
    port: PortState | None = None


class SecondConnection:
    """A second connection to a target, open while a request is there.

    A target closes connections that are idle for long, so a broken one is replaced.
    """

    def __init__(self, target: TargetEntry, *, may_connect: MayConnect) -> None:
        self._target = target
        self._may_connect = may_connect
        self._has_broken = asyncio.Event()
        self._writer: asyncio.StreamWriter | None = None
        self._watching: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Open the connection; without one, it never counts as broken."""
        reader = await self._connect()
        self._watching = asyncio.create_task(self._watch(reader))

    async def has_broken(self) -> bool:
        """Return whether the connection broke now, as another one did."""
        with suppress(TimeoutError):
            async with asyncio.timeout(BREAK_MARGIN_S):
                await self._has_broken.wait()
        return self._has_broken.is_set()

    def close(self) -> None:
        """Close the connection."""
        if self._watching is not None:
            self._watching.cancel()
        if self._writer is not None:
            self._writer.close()

    async def _watch(self, reader: asyncio.StreamReader | None) -> None:
        while reader is not None:
            with suppress(ConnectionError):
                if await reader.read(1):
                    # Bytes that nobody asked for show nothing.
                    return
            self._has_broken.set()
            await asyncio.sleep(CHECK_TIMEOUT_S)
            self._has_broken.clear()
            reader = await self._connect()

    async def _connect(self) -> asyncio.StreamReader | None:
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        opened = await _open_connection(self._target, self._may_connect)
        if isinstance(opened, PortState):
            return None
        reader, self._writer = opened
        return reader


class CrashChecks:
    """Finds out which targets have ended, and records it.

    No connection is opened to a target for which ``may_connect`` returns false.
    """

    def __init__(
        self, target_ends: TargetEnds, *, may_connect: MayConnect = lambda target: True
    ) -> None:
        self._target_ends = target_ends
        self._may_connect = may_connect
        self._tasks: set[asyncio.Task[LossCheck]] = set()

    def second_connection(self, target: TargetEntry) -> SecondConnection:
        """Return a second connection to a target; it is not open yet."""
        return SecondConnection(target, may_connect=self._may_connect)

    async def check_lost_connection(
        self, target: TargetEntry, second: SecondConnection | None = None
    ) -> LossCheck:
        """Check a target after a connection to it broke."""
        # The departure of the caller does not cancel the check.
        return await asyncio.shield(
            self._start(target, {PortState.CLOSED}, second=second)
        )

    async def accepts_connections(self, target: TargetEntry) -> bool:
        """Return whether a new connection to a target is opened in time."""
        opened = await _open_connection(target, self._may_connect)
        if isinstance(opened, PortState):
            return False
        opened[1].close()
        return True

    def check_removed_entry(self, target: TargetEntry) -> None:
        """Check a target whose entry was removed, if requests there got no answer."""
        if self._target_ends.has_unanswered_at(target.name):
            self._start(target, {PortState.CLOSED, PortState.SILENT})

    def _start(
        self,
        target: TargetEntry,
        ended: set[PortState],
        *,
        second: SecondConnection | None = None,
    ) -> asyncio.Task[LossCheck]:
        task = asyncio.create_task(self._check(target, ended, second))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _check(
        self,
        target: TargetEntry,
        ended: set[PortState],
        second: SecondConnection | None,
    ) -> LossCheck:
        found = await self._find(target, ended, second)
        if found.evidence is not None:
            self._target_ends.record_end(
                target.name, target.incarnation, found.evidence
            )
        return found

    async def _find(
        self,
        target: TargetEntry,
        ended: set[PortState],
        second: SecondConnection | None,
    ) -> LossCheck:
        opened = await _open_connection(target, self._may_connect)
        if not isinstance(opened, PortState):
            opened[1].close()
            if (
                second is not None
                and await second.has_broken()
                and self._target_ends.is_only_loss(target.name)
            ):
                return LossCheck(EndEvidence.BROKEN_TOGETHER, PortState.OPEN)
            return LossCheck(None, PortState.OPEN)
        if opened not in ended:
            return LossCheck(None, opened)
        if opened is PortState.CLOSED:
            return LossCheck(EndEvidence.CLOSED_PORT, opened)
        return LossCheck(EndEvidence.REMOVED_ENTRY, opened)


async def _open_connection(
    target: TargetEntry, may_connect: MayConnect
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | PortState:
    if not may_connect(target):
        return PortState.UNCHECKED
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            return await asyncio.open_connection(target.host, target.port)
    except ConnectionRefusedError:
        return PortState.CLOSED
    except (OSError, ValueError):
        # Unreachable, or an address that cannot be resolved or encoded.
        return PortState.SILENT
