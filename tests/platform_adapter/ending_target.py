"""A stand-in target whose process ends: its port and all connections close."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

from tests.platform_adapter.target_server import (
    HOST,
    TargetServer,
    answer,
    refuse,
    reset_connection,
    server_error,
)

DOWN_S = 1.5
"""Time from a target's end until it accepts connections again."""

HEARTBEAT_S = 0.5
"""Time from a target's start until its entry shows the new incarnation."""


@dataclass
class EndingTarget(TargetServer):
    """A target that ends when it runs a request for which ``is_harmful`` is true.

    ``ends_by_reset`` tells whether its connections end by a reset or by a close.
    ``ended_s`` and ``arrived_s`` hold the times of its ends, and of requests with them,
    on the event loop's clock; ``load`` is the number of requests at work.

    ``down_s`` is how long the port is closed; with ``None`` another process serves it
    at once. ``register`` is called with the target's new entry after each start, if
    given. A harmful request waits for ``wait_s`` before it runs; with probability
    ``error_share`` it gets a 500 in place of running, with ``refused_share`` a refusal.
    ``slots`` bounds the requests at work, where it is given. ``finishes_cut_requests``
    tells that a request runs to its end although its connection was closed.
    """

    is_harmful: object = lambda received: False
    ends_by_reset: bool = True
    work_s: float = 0.02
    down_s: float | None = DOWN_S
    wait_s: float = 0.0
    error_share: float = 0.0
    refused_share: float = 0.0
    slots: int | None = None
    finishes_cut_requests: bool = False
    rng: object = None
    register: Callable[[dict], Awaitable[None]] | None = None
    ended_s: list = field(default_factory=list)
    arrived_s: list = field(default_factory=list)
    load: int = 0
    incarnation: int = 0

    def __post_init__(self):
        self.behaviours = [self._behave]
        self._writers = set()
        self._server = None
        self._tasks = set()
        self._slots = asyncio.Semaphore(self.slots) if self.slots else None

    def entry(self, **changes):
        """Return the target's row in the store."""
        born = 1_790_000_000_000 + self.incarnation
        return super().entry(**{"slots": self.slots or 3, "born": born, **changes})

    async def open(self):
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve_tracked, HOST, self.port)

    def end(self):
        """Close all connections and the port, and open the port again later."""
        if self._server is None:
            return
        self.ended_s.append(asyncio.get_running_loop().time())
        self.incarnation += 1
        if self.down_s is not None:
            server, self._server = self._server, None
            server.close()
        for writer in self._writers:
            if self.ends_by_reset:
                reset_connection(writer)
            else:
                writer.close()
        for task in self._tasks:
            task.cancel()
        self._start(self._start_again())

    async def close(self):
        """Close the port for good."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.close()

    def _start(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _start_again(self):
        if self.down_s is not None:
            await asyncio.sleep(self.down_s)
            await self.open()
        if self.register is not None:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register(self.entry())

    async def _serve_tracked(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _behave(self, server, received, writer):
        self.arrived_s.append((asyncio.get_running_loop().time(), received))
        run = self._run(received, writer)
        if not self.finishes_cut_requests:
            await run
            return
        await asyncio.shield(self._start(run))

    async def _run(self, received, writer):
        if not self.is_harmful(received):
            await self._work()
            with suppress(ConnectionError):
                await answer(self, received, writer)
            return
        drawn = self.rng.random() if self.rng is not None else 1.0
        if drawn < self.refused_share:
            await refuse(self, received, writer)
            return
        if drawn < self.refused_share + self.error_share:
            await server_error(self, received, writer)
            return
        await asyncio.sleep(self.wait_s)
        await self._work()
        self.end()

    async def _work(self):
        self.load += 1
        try:
            if self._slots is None:
                await asyncio.sleep(self.work_s)
                return
            async with self._slots:
                await asyncio.sleep(self.work_s)
        finally:
            self.load -= 1
