"""Asynchronous waiting for a target, on top of ``state.admission``.

``Dispatch`` turns the dispatcher's grants into futures, and serves the queue when a
target may have become free.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from dogwoodhook.clock import Clock
from dogwoodhook.state.admission import (
    Granted,
    Queued,
    Rejected,
    ServiceDispatcher,
    Ticket,
)

WAKE_INTERVAL_S = 0.005
"""Interval at which the queue is served while requests wait for a back-off to end."""


class Dispatch:
    """Grants targets of one service to coroutines."""

    def __init__(self, dispatcher: ServiceDispatcher, clock: Clock) -> None:
        self.dispatcher = dispatcher
        self._clock = clock
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Granted]] = {}
        self._wake_handle: asyncio.TimerHandle | None = None

    @asynccontextmanager
    async def target(
        self,
        workspace: str,
        *,
        is_idempotent: bool,
        tried: frozenset[str],
        timeout_s: float,
        is_requeued: bool = False,
    ) -> AsyncIterator[Granted | Rejected]:
        """Wait for a target and hold it until the context ends."""
        ticket = Ticket(
            next(self._numbers), workspace, is_idempotent, tried, is_requeued
        )
        admission = await self._admit(ticket, timeout_s)
        try:
            yield admission
        finally:
            if isinstance(admission, Granted):
                self.dispatcher.finish(admission)
                self.wake()

    def wake(self) -> None:
        """Grant the targets that are available to waiting requests."""
        if not self._waiting:
            return
        for granted in self.dispatcher.grant_queued(now_s=self._clock.now_s()):
            self._waiting.pop(granted.ticket.number).set_result(granted)
        if self._waiting and self._wake_handle is None:
            loop = asyncio.get_running_loop()
            self._wake_handle = loop.call_later(WAKE_INTERVAL_S, self._wake_later)

    def _wake_later(self) -> None:
        self._wake_handle = None
        self.wake()

    async def _admit(self, ticket: Ticket, timeout_s: float) -> Granted | Rejected:
        admission = self.dispatcher.submit(ticket, now_s=self._clock.now_s())
        if not isinstance(admission, Queued):
            return admission
        future: asyncio.Future[Granted] = asyncio.get_running_loop().create_future()
        self._waiting[ticket.number] = future
        self.wake()
        with suppress(TimeoutError):
            return await self._wait(ticket, future, timeout_s)
        return self.dispatcher.expire(ticket, now_s=self._clock.now_s())

    async def _wait(
        self, ticket: Ticket, future: asyncio.Future[Granted], timeout_s: float
    ) -> Granted:
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(future)
        except (TimeoutError, asyncio.CancelledError) as error:
            if future.done() and isinstance(error, TimeoutError):
                return future.result()
            self._abandon(ticket, future)
            raise

    def _abandon(self, ticket: Ticket, future: asyncio.Future[Granted]) -> None:
        self._waiting.pop(ticket.number, None)
        if future.done():
            self.dispatcher.finish(future.result())
            self.wake()
            return
        future.cancel()
        self.dispatcher.withdraw(ticket)
