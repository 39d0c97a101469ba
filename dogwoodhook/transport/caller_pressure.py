"""Decides for all connections of callers what is parsed now, later, or refused."""

import asyncio
from collections import deque
from enum import StrEnum
from typing import Protocol

from dogwoodhook.events import CALLERS_LIMITED, log
from dogwoodhook.metrics import Metrics
from dogwoodhook.state.caller_memory import (
    CallerMemory,
    Holding,
    MemoryShortage,
    ParsingPass,
    choose_closed,
    choose_refused,
    limit_bytes,
    max_connections,
)

WAITING_INTERVAL_S = 0.05
"""Interval at which it is checked whether waiting connections may be read again."""

LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines on refusals."""


class RefusalReason(StrEnum):
    """Why a request was refused, or its connection closed."""

    MEMORY = "memory"
    LARGE_BODY = "large-body"
    BODY_LIMIT = "body-limit"
    CONNECTIONS = "connections"


class CountedConnection(Protocol):
    """A connection whose received bytes may have to wait."""

    @property
    def holding(self) -> Holding:
        """What is held for the connection."""

    @property
    def waiting_cost(self) -> tuple[int, int]:
        """The cost in bytes and the lines of what waits to be parsed."""

    def parse_waiting(self) -> None:
        """Parse what waits, and read on."""

    def refuse_for_memory(self) -> None:
        """Refuse the current request, or close the connection."""


class CallerPressure:
    """The account of one daemon, and the connections that wait to be parsed."""

    def __init__(
        self,
        metrics: Metrics,
        *,
        memory_bytes: int | None = None,
        max_descriptors: int | None = None,
    ) -> None:
        self.memory = CallerMemory(limit_bytes(memory_bytes))
        self._max_connections = max_connections(max_descriptors)
        self._metrics = metrics
        self._connections: dict[CountedConnection, None] = {}
        self._waiting: deque[CountedConnection] = deque()
        self._shortage = MemoryShortage()
        self._pass = ParsingPass()
        self._pass_timer: asyncio.Handle | None = None
        self._timer: asyncio.Handle | None = None
        self._refusals = 0
        self._logged_s = float("-inf")
        self._refused_s = float("-inf")
        # When no connection to close was last found.
        self._searched_s = float("-inf")
        metrics.watch_caller_memory(
            held_bytes=lambda: self.memory.held_bytes,
            body_bytes=lambda: self.memory.body_bytes,
        )

    def open(self, connection: CountedConnection) -> bool:
        """Count a new connection; return whether there is room for it."""
        limit = self._max_connections
        has_room = limit is None or len(self._connections) < limit
        if not has_room:
            self.record_refusal(RefusalReason.CONNECTIONS)
            if not self._close_longest():
                return False
        self._connections[connection] = None
        return True

    def close(self, connection: CountedConnection) -> None:
        """Stop counting a connection."""
        self._connections.pop(connection, None)

    def _close_longest(self) -> bool:
        """Close connections that have been waited for; return whether there are any."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._searched_s < WAITING_INTERVAL_S:
            return False
        connections = list(self._connections)
        chosen = choose_closed([connection.holding for connection in connections])
        for index in chosen:
            connections[index].refuse_for_memory()
            self.close(connections[index])
        if not chosen:
            self._searched_s = now_s
        return bool(chosen)

    def may_parse(self, cost_bytes: int, lines: int) -> bool:
        """Return whether a received part may be parsed now, and count its lines."""
        if not self.memory.admits(cost_bytes) or not self._pass.take(lines):
            return False
        self._shortage.record_admission()
        if self._pass.lines and self._pass_timer is None:
            loop = asyncio.get_running_loop()
            self._pass_timer = loop.call_soon(self._begin_pass)
        return True

    def is_short_of_memory(self) -> bool:
        """Return whether none has been admitted for long, while some wait."""
        now_s = asyncio.get_running_loop().time()
        return self._shortage.lasts(self.memory, now_s=now_s)

    def wait(self, connection: CountedConnection) -> None:
        """Let a connection wait until its received bytes may be parsed."""
        self._waiting.append(connection)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_soon(self._parse_waiting)

    def record_refusal(self, reason: RefusalReason) -> None:
        """Count a refusal; log at most one line a second."""
        self._metrics.record_caller_refusal(reason)
        self._refusals += 1
        now_s = asyncio.get_running_loop().time()
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        log(
            CALLERS_LIMITED,
            reason=reason,
            refusals=self._refusals,
            held_bytes=self.memory.held_bytes,
            body_bytes=self.memory.body_bytes,
            limit_bytes=self.memory.limit_bytes,
            waiting=len(self._waiting),
            connections=len(self._connections),
        )
        self._refusals, self._logged_s = 0, now_s

    def _begin_pass(self) -> None:
        self._pass_timer = None
        self._pass = ParsingPass()

    def _parse_waiting(self) -> None:
        self._timer = None
        loop = asyncio.get_running_loop()
        needs_memory = has_parsed = False
        for _ in range(len(self._waiting)):
            connection = self._waiting.popleft()
            if connection not in self._connections:
                continue
            cost_bytes, lines = connection.waiting_cost
            if self.may_parse(cost_bytes, lines):
                connection.parse_waiting()
                has_parsed = True
                continue
            if self.memory.admits(cost_bytes):
                self._waiting.appendleft(connection)
                has_parsed = True
                break
            self._waiting.append(connection)
            needs_memory = True
        if needs_memory:
            self._refuse_largest()
        if needs_memory and not has_parsed:
            self._shortage.record_wait(now_s=loop.time())
        if not self._waiting or self._timer is not None:
            return
        if has_parsed:
            self._timer = loop.call_soon(self._parse_waiting)
        else:
            self._timer = loop.call_later(WAITING_INTERVAL_S, self._parse_waiting)

    def _refuse_largest(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._refused_s < WAITING_INTERVAL_S:
            return
        self._refused_s = now_s
        connections = list(self._connections)
        refused = choose_refused([connection.holding for connection in connections])
        if refused is None:
            return
        self.record_refusal(RefusalReason.MEMORY)
        connections[refused].refuse_for_memory()
