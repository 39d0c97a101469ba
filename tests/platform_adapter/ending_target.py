"""A stand-in target whose process ends: its port and all connections close."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

from tests.platform_adapter.target_server import (
    HOST,
    TargetServer,
    answer,
    reset_connection,
)

DOWN_S = 1.5
"""Time from a target's end until it accepts connections again."""


@dataclass
class EndingTarget(TargetServer):
    """A target that ends when it runs a request for which ``is_harmful`` is true.

    ``ends_by_reset`` tells whether its connections end by a reset or by a close.
    ``ended_s`` and ``arrived_s`` hold the times of its ends, and of requests with them,
    on the event loop's clock; ``load`` is the number of requests at work.
    """

    is_harmful: object = lambda received: False
    ends_by_reset: bool = True
    work_s: float = 0.02
    ended_s: list = field(default_factory=list)
    arrived_s: list = field(default_factory=list)
    load: int = 0

    def __post_init__(self):
        self.behaviours = [self._run]
        self._writers = set()
        self._server = None
        self._tasks = set()

    async def open(self):
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve_tracked, HOST, self.port)

    def end(self):
        """Close the port and all connections, and open the port again later."""
        if self._server is None:
            return
        server, self._server = self._server, None
        self.ended_s.append(asyncio.get_running_loop().time())
        server.close()
        for writer in self._writers:
            if self.ends_by_reset:
                reset_connection(writer)
            else:
                writer.close()
        task = asyncio.create_task(self._reopen())
        self._tasks.add(task)

    async def close(self):
        """Close the port for good."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.close()

    async def _reopen(self):
        await asyncio.sleep(DOWN_S)
        await self.open()

    async def _serve_tracked(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _run(self, server, received, writer):
        self.arrived_s.append((asyncio.get_running_loop().time(), received))
        self.load += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.load -= 1
        if self.is_harmful(received):
            self.end()
            return
        with suppress(ConnectionError):
            await answer(server, received, writer)
