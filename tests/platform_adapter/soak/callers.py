"""Callers, which use each connection until it is closed."""

import asyncio
import itertools
import random
import socket
import time
from contextlib import suppress

import aiohttp

from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.target_sessions import make_session
from tests.platform_adapter.raw_caller import RawCaller, request_text
from tests.platform_adapter.soak.records import CallRecord, Ending
from tests.platform_adapter.soak.workspaces import key_headers
from tests.platform_adapter.soak.world import (
    BODY,
    PADDING,
    SHORT_TIMEOUT_MS,
    SHORT_TIMEOUT_ROUTE,
    World,
    make_path,
)

ADDED_ROUTE_SHARE = 0.4
"""Share of the non-idempotent requests that use a recently added route."""

RECENT_CHANGES = 3
"""Number of the latest versions whose routes count as recently added."""

DEADLINE_MS = 4000
CALL_TIMEOUT_S = 8.0
PIPELINING_INTERVAL = 3
"""One caller in this many pipelines: it sends several requests before it reads."""

RELAYED_SHARE = 0.25
"""Share of the connections that go through the daemon's relay for callers."""

LEAVING_SHARE = 0.1
"""Share of the exchanges whose caller leaves early."""

MAX_LEAVE_AFTER_S = 1.0
"""Longest time that such a caller waits for an answer."""

IDLE_SHARE = 0.1
"""Share of the pauses between exchanges that are long."""

MAX_IDLE_S = 3.0
"""Longest such pause."""

SHORT_TIMEOUT_SHARE = 0.2
"""Share of the idempotent requests that use the route with a short timeout."""

SHORT_TIMEOUT_LONG_SHARE = 0.5
"""Share of the requests of that route that take long at a target."""

LONG_SHARE = 0.15
"""Share of all other requests that take long at a target."""

LARGE_SHARE = 0.1
"""Share of the requests that have a large answer."""

MAX_PADDING = 1024 * 1024
UPLOAD_PIECES = 5
"""Number of single bytes at the end of a slow upload that are sent one at a time."""

READ_PAUSES_S = (0.0, 0.0, 0.03)
"""Pauses of a pipelining caller before it reads each piece of an answer."""


class _Connector(aiohttp.TCPConnector):
    """Knows the local port of the connection that it opened last."""

    def __init__(self) -> None:
        super().__init__(limit=0, socket_factory=self._bind_socket)
        self.local_port = 0

    def _bind_socket(self, address):
        family, kind, protocol, *_ = address
        bound = socket.socket(family, kind, protocol)
        bound.bind(("127.0.0.1", 0))
        self.local_port = bound.getsockname()[1]
        return bound


class Callers:
    """Sends requests, one at a time or pipelined, and records the exchanges."""

    def __init__(self, world: World, *, seed: int) -> None:
        self.calls: list[CallRecord] = []
        self._world = world
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._seed = seed
        self._stop_event = asyncio.Event()

    def start(self, count: int) -> list[asyncio.Task]:
        """Start callers, sequential and pipelining ones."""
        return [
            asyncio.create_task(
                self._run_sequential()
                if number % PIPELINING_INTERVAL
                else self._run_pipelining()
            )
            for number in range(count)
        ]

    def end(self) -> None:
        """End each caller after its current exchange."""
        self._stop_event.set()

    @property
    def _is_stopping(self) -> bool:
        return self._stop_event.is_set()

    async def _run_sequential(self) -> None:
        async with make_session(_Connector()) as session:
            while not self._is_stopping:
                daemon = self._rng.choice(self._world.daemons)
                is_relayed = self._rng.random() < RELAYED_SHARE
                for _ in range(self._rng.randint(1, 20)):
                    call = await self._call(
                        session,
                        daemon,
                        self._draw_request(daemon, is_relayed=is_relayed),
                        leave_after_s=self._draw_leave_after_s(),
                    )
                    if call.ending is not Ending.ANSWERED:
                        await asyncio.sleep(0.05)
                    if self._is_stopping or call.ending is not Ending.ANSWERED:
                        break
                    await self._pause()

    async def _run_pipelining(self) -> None:
        while not self._is_stopping:
            daemon = self._rng.choice(self._world.daemons)
            is_relayed = self._rng.random() < RELAYED_SHARE
            try:
                reader, writer = await asyncio.open_connection(
                    *daemon.address(is_relayed=is_relayed)
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            connection = _PipelinedConnection(RawCaller(reader, writer), self._rng)
            try:
                while connection.is_open and not self._is_stopping:
                    await self._pause()
                    requests = [
                        self._draw_request(daemon, is_relayed=is_relayed)
                        for _ in range(self._rng.randint(1, 5))
                    ]
                    leave_after_s = self._draw_leave_after_s()
                    self.calls += await connection.exchange(
                        requests, leave_after_s=leave_after_s
                    )
            finally:
                writer.close()

    async def _pause(self) -> None:
        """Wait between two exchanges; connections may be idle while a daemon stops."""
        is_long = self._rng.random() < IDLE_SHARE
        pause_s = self._rng.uniform(0, MAX_IDLE_S if is_long else 0.05)
        with suppress(TimeoutError):
            await asyncio.wait_for(self._stop_event.wait(), pause_s)

    def _draw_leave_after_s(self) -> float | None:
        """Return the time after which a caller leaves, or ``None`` if it stays."""
        if self._rng.random() >= LEAVING_SHARE:
            return None
        return self._rng.uniform(0.01, MAX_LEAVE_AFTER_S)

    async def probe(self, session, daemon) -> CallRecord:
        """Send a request that takes a serving daemon little time."""
        return await self._call(
            session, daemon, self._draw_request(daemon, is_short=True)
        )

    def _draw_request(
        self, daemon, *, is_relayed: bool = False, is_short: bool = False
    ) -> dict:
        """Return a random request, as fields of its ``CallRecord``."""
        rng = self._rng
        is_idempotent = rng.random() < 0.5
        added_in = 0
        changes = self._world.changes
        if not is_idempotent and rng.random() < ADDED_ROUTE_SHARE:
            added_in = rng.choice(changes[-RECENT_CHANGES:]).version
        request_id = f"{self._seed}-{next(self._numbers)}"
        prefix = "read" if is_idempotent else "post"
        limit_s = DEADLINE_MS / 1000
        has_short_timeout = is_idempotent and rng.random() < SHORT_TIMEOUT_SHARE
        if has_short_timeout:
            prefix, limit_s = SHORT_TIMEOUT_ROUTE, SHORT_TIMEOUT_MS / 1000
        long_share = SHORT_TIMEOUT_LONG_SHARE if has_short_timeout else LONG_SHARE
        is_long = rng.random() < long_share and not is_short
        path = make_path(
            f"extra{added_in}" if added_in else prefix,
            request_id,
            work_s=rng.uniform(0.3, 3.0) if is_long else rng.uniform(0.005, 0.15),
            padding=rng.randint(1, MAX_PADDING) if rng.random() < LARGE_SHARE else 0,
        )
        return {
            "request_id": request_id,
            "is_idempotent": is_idempotent,
            "path": path,
            "daemon": daemon.name,
            "incarnation": daemon.start_count,
            "added_in": added_in,
            "limit_s": limit_s,
            "is_relayed": is_relayed,
            "key": self._world.keys.draw_key(is_steady=is_short),
            "request_content": f"GET {path} b''"
            if is_idempotent
            else f"POST {path} {BODY}",
        }

    async def _call(self, session, daemon, request_fields, *, leave_after_s=None):
        """Send one request and record the exchange; leave after ``leave_after_s``."""
        host, port = daemon.address(is_relayed=request_fields["is_relayed"])
        sent_s = time.monotonic()
        trace = AttemptTrace()
        answer = {}
        try:
            async with asyncio.timeout(leave_after_s or CALL_TIMEOUT_S):
                async with session.request(
                    "GET" if request_fields["is_idempotent"] else "POST",
                    f"http://{host}:{port}{request_fields['path']}",
                    data=None if request_fields["is_idempotent"] else BODY,
                    headers={
                        "Host": "127.0.0.1",
                        "Request-Id": request_fields["request_id"],
                        "Deadline-Ms": str(DEADLINE_MS),
                        **key_headers(request_fields["key"]),
                    },
                    trace_request_ctx=trace,
                    middlewares=(trace.block_resend,),
                ) as response:
                    answer = {"has_begun": True}
                    body = await response.read()
                    answer |= _answer_fields(response.status, response.headers, body)
            ending = Ending.ANSWERED
        except TimeoutError:
            ending = Ending.LEFT if leave_after_s else Ending.TIMED_OUT
        except (aiohttp.ClientError, OSError):
            is_refused = (
                request_fields["is_relayed"]
                and session.connector.local_port in daemon.caller_relay.refused_ports
            )
            is_sent = trace.is_connected and not is_refused
            ending = Ending.BROKEN if is_sent else Ending.UNSENT
        call = CallRecord(
            **request_fields,
            sent_s=sent_s,
            # A small request is completely sent as soon as its connection is open.
            fully_sent_s=sent_s if trace.is_connected else None,
            first_in_line_s=sent_s,
            ended_s=time.monotonic(),
            ending=ending,
            **answer,
        )
        self.calls.append(call)
        return call


class _PipelinedConnection:
    """A connection with several requests in flight, sent with pauses in between."""

    def __init__(self, caller: RawCaller, rng: random.Random) -> None:
        self.is_open = True
        self._caller = caller
        self._rng = rng
        self._sent: list[dict] = []

    async def exchange(
        self, requests: list[dict], *, leave_after_s: float | None
    ) -> list[CallRecord]:
        """Send requests and return the records of those whose sending began.

        The caller leaves if an answer takes longer than ``leave_after_s``.
        """
        self._sent = []
        send_task = asyncio.create_task(self._send(requests))
        found = []
        ending = Ending.BROKEN
        first_in_line_s, is_after_close = time.monotonic(), False
        try:
            for _ in requests:
                async with asyncio.timeout(leave_after_s or CALL_TIMEOUT_S):
                    answer = await self._caller.answer(
                        pause_s=self._rng.choice(READ_PAUSES_S)
                    )
                if answer is None or not answer.is_complete:
                    self.is_open = False
                    break
                fields = _answer_fields(answer.status, answer.headers, answer.body)
                fields["first_in_line_s"] = first_in_line_s
                first_in_line_s = time.monotonic()
                found.append((Ending.ANSWERED, first_in_line_s, fields))
                if answer.closes:
                    self.is_open, is_after_close, first_in_line_s = False, True, None
                    break
        except TimeoutError:
            ending = Ending.LEFT if leave_after_s else Ending.TIMED_OUT
            answer, self.is_open = None, False
        ended_s = time.monotonic()
        if not self.is_open:
            send_task.cancel()
        await asyncio.wait([send_task])
        for _ in self._sent[len(found) :]:
            has_begun = answer is not None and not answer.is_complete
            fields = {
                "has_begun": has_begun,
                "first_in_line_s": first_in_line_s,
                "is_after_close": is_after_close,
            }
            found.append((ending, ended_s, fields))
            answer = first_in_line_s = None
        return [
            CallRecord(**sent, ending=ending, ended_s=ended_s, **fields)
            for sent, (ending, ended_s, fields) in zip(self._sent, found, strict=True)
        ]

    async def _send(self, requests: list[dict]) -> None:
        for request in requests:
            is_slow = not request["is_idempotent"] and self._rng.random() < 0.3
            request["sent_s"] = time.monotonic()
            self._sent.append(request)
            body = None if request["is_idempotent"] else BODY
            text = request_text(
                request["path"],
                body=body,
                deadline_ms=DEADLINE_MS,
                headers=key_headers(request["key"]),
            )
            try:
                await self._write(text, is_slow=is_slow)
            except ConnectionError:
                return
            request["fully_sent_s"] = time.monotonic()
            if self._rng.random() < 0.3:
                await asyncio.sleep(self._rng.uniform(0, 1.0))

    async def _write(self, text: bytes, *, is_slow: bool) -> None:
        """Write a request; if it is slow, pause before each of its last bytes."""
        writer = self._caller.writer
        pieces = [text]
        if is_slow:
            at = len(text) - UPLOAD_PIECES
            pieces = [text[:at], *(text[i : i + 1] for i in range(at, len(text)))]
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(self._rng.uniform(0, 0.5))
            writer.write(piece)
            await writer.drain()


def _answer_fields(status, headers, body) -> dict:
    """Return the fields of a ``CallRecord`` that come from a complete answer."""
    text = body.rstrip(PADDING)
    return {
        "has_begun": True,
        "body": text.decode(),
        "padding": len(body) - len(text),
        "status": status,
        "echoed_id": headers.get("request-id") or headers.get("Request-Id", ""),
        "signature": headers.get("server-signature")
        or headers.get("Server-Signature", ""),
    }
