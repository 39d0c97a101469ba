"""Callers that keep using their connections until the daemon is gone."""

import asyncio
import itertools
import random
import time
from contextlib import suppress

import aiohttp

from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.target_sessions import make_session
from tests.platform_adapter.raw_caller import RawCaller, request_text
from tests.platform_adapter.soak.records import CallRecord, Ending
from tests.platform_adapter.soak.world import (
    BRIEF_ROUTE,
    BRIEF_TIMEOUT_MS,
    PADDING,
    World,
    make_path,
)

ADDED_ROUTE_SHARE = 0.4
"""Share of the requests that are not repeatable, sent to routes added lately."""

RECENT_CHANGES = 3
DEADLINE_MS = 4000
CALL_TIMEOUT_S = 8.0
RAW_SHARE = 3
"""One of so many callers sends several requests on a connection before it reads."""

RELAYED_SHARE = 0.25
"""Share of the connections that go through the daemon's relay for callers."""

LEAVING_SHARE = 0.1
MAX_PATIENCE_S = 1.0
"""Share of the requests whose caller leaves early, and its longest wait."""

IDLE_SHARE = 0.1
MAX_IDLE_S = 3.0
"""Share of the pauses of a connection that are long."""

BRIEF_SHARE = 0.2
BRIEF_LONG_SHARE = 0.5
LONG_SHARE = 0.15
LARGE_SHARE = 0.1
MAX_PADDING = 1024 * 1024
BODY = b"hours"
UPLOAD_PIECES = 5
READ_PAUSES_S = (0.0, 0.0, 0.03)


class Callers:
    """Sends requests, one or several at a time on a connection, and keeps records."""

    def __init__(self, world: World, *, seed: int) -> None:
        self.calls: list[CallRecord] = []
        self._world = world
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._seed = seed
        self._ending = asyncio.Event()

    def start(self, count: int) -> list[asyncio.Task]:
        """Start callers of both kinds."""
        return [
            asyncio.create_task(self._run() if number % RAW_SHARE else self._run_raw())
            for number in range(count)
        ]

    def end(self) -> None:
        """Let each caller end after its exchange."""
        self._ending.set()

    @property
    def _is_ending(self) -> bool:
        return self._ending.is_set()

    async def _run(self) -> None:
        async with make_session(aiohttp.TCPConnector(limit=0)) as session:
            while not self._is_ending:
                daemon = self._rng.choice(self._world.daemons)
                is_relayed = self._rng.random() < RELAYED_SHARE
                for _ in range(self._rng.randint(1, 20)):
                    call = await self._call(
                        session,
                        daemon,
                        self._draw(daemon, is_relayed=is_relayed),
                        patience_s=self._draw_patience_s(),
                    )
                    if call.ending is not Ending.ANSWERED:
                        await asyncio.sleep(0.05)
                    if self._is_ending or call.ending is not Ending.ANSWERED:
                        break
                    await self._pause()

    async def _run_raw(self) -> None:
        while not self._is_ending:
            daemon = self._rng.choice(self._world.daemons)
            is_relayed = self._rng.random() < RELAYED_SHARE
            try:
                reader, writer = await asyncio.open_connection(
                    *daemon.address(is_relayed=is_relayed)
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            connection = _Connection(RawCaller(reader, writer), self._rng)
            try:
                while connection.is_open and not self._is_ending:
                    await self._pause()
                    drawn = [
                        self._draw(daemon, is_relayed=is_relayed)
                        for _ in range(self._rng.randint(1, 5))
                    ]
                    patience_s = self._draw_patience_s()
                    self.calls += await connection.exchange(
                        drawn, patience_s=patience_s
                    )
            finally:
                writer.close()

    async def _pause(self) -> None:
        """Wait between two exchanges; a connection may idle while its daemon stops."""
        is_long = self._rng.random() < IDLE_SHARE
        pause_s = self._rng.uniform(0, MAX_IDLE_S if is_long else 0.05)
        with suppress(TimeoutError):
            await asyncio.wait_for(self._ending.wait(), pause_s)

    def _draw_patience_s(self) -> float | None:
        """Return the time after which a caller leaves, ``None`` if it stays."""
        if self._rng.random() >= LEAVING_SHARE:
            return None
        return self._rng.uniform(0.01, MAX_PATIENCE_S)

    async def probe(self, session, daemon) -> CallRecord:
        """Send a request that a daemon that serves answers soon."""
        return await self._call(session, daemon, self._draw(daemon, is_short=True))

    def _draw(
        self, daemon, *, is_relayed: bool = False, is_short: bool = False
    ) -> dict:
        """Return what a request is to be, as the fields of its record."""
        rng = self._rng
        is_idempotent = rng.random() < 0.5
        added_in = 0
        changes = self._world.changes
        if not is_idempotent and rng.random() < ADDED_ROUTE_SHARE:
            added_in = rng.choice(changes[-RECENT_CHANGES:]).version
        request_id = f"{self._seed}-{next(self._numbers)}"
        prefix = "read" if is_idempotent else "post"
        limit_s = DEADLINE_MS / 1000
        is_brief = is_idempotent and rng.random() < BRIEF_SHARE
        if is_brief:
            prefix, limit_s = BRIEF_ROUTE, BRIEF_TIMEOUT_MS / 1000
        long_share = BRIEF_LONG_SHARE if is_brief else LONG_SHARE
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
            "incarnation": daemon.starts,
            "added_in": added_in,
            "limit_s": limit_s,
            "is_relayed": is_relayed,
            "asked": f"GET {path} b''" if is_idempotent else f"POST {path} {BODY}",
        }

    async def _call(self, session, daemon, drawn, *, patience_s=None):
        """Send one request and keep what became of it; give up after ``patience_s``."""
        host, port = daemon.address(is_relayed=drawn["is_relayed"])
        sent_s = time.monotonic()
        trace = AttemptTrace()
        answer = {}
        try:
            async with asyncio.timeout(patience_s or CALL_TIMEOUT_S):
                async with session.request(
                    "GET" if drawn["is_idempotent"] else "POST",
                    f"http://{host}:{port}{drawn['path']}",
                    data=None if drawn["is_idempotent"] else BODY,
                    headers={
                        "Host": "127.0.0.1",
                        "Request-Id": drawn["request_id"],
                        "Deadline-Ms": str(DEADLINE_MS),
                    },
                    trace_request_ctx=trace,
                    middlewares=(trace.block_resend,),
                ) as response:
                    answer = {"has_begun": True}
                    body = await response.read()
                    answer |= _answer_fields(response.status, response.headers, body)
            ending = Ending.ANSWERED
        except TimeoutError:
            ending = Ending.LEFT if patience_s else Ending.TIMED_OUT
        except (aiohttp.ClientError, OSError):
            ending = Ending.BROKEN if trace.is_connected else Ending.UNSENT
        call = CallRecord(
            **drawn,
            sent_s=sent_s,
            # Small requests are sent as soon as they are connected.
            whole_s=sent_s if trace.is_connected else None,
            first_s=sent_s,
            ended_s=time.monotonic(),
            ending=ending,
            **answer,
        )
        self.calls.append(call)
        return call


class _Connection:
    """One connection with several requests in flight, each sent in its own time."""

    def __init__(self, caller: RawCaller, rng: random.Random) -> None:
        self.is_open = True
        self._caller = caller
        self._rng = rng
        self._sent: list[dict] = []

    async def exchange(
        self, drawn: list[dict], *, patience_s: float | None
    ) -> list[CallRecord]:
        """Send requests and return what became of those that were begun.

        With ``patience_s``, the caller leaves if an answer takes longer.
        """
        self._sent = []
        sending = asyncio.create_task(self._send(drawn))
        found = []
        ending = Ending.BROKEN
        first_s, is_behind_close = time.monotonic(), False
        try:
            for _ in drawn:
                async with asyncio.timeout(patience_s or CALL_TIMEOUT_S):
                    answer = await self._caller.answer(
                        pause_s=self._rng.choice(READ_PAUSES_S)
                    )
                if answer is None or not answer.is_complete:
                    self.is_open = False
                    break
                fields = _answer_fields(answer.status, answer.headers, answer.body)
                fields["first_s"] = first_s
                first_s = time.monotonic()
                found.append((Ending.ANSWERED, first_s, fields))
                if answer.closes:
                    self.is_open, is_behind_close, first_s = False, True, None
                    break
        except TimeoutError:
            ending = Ending.LEFT if patience_s else Ending.TIMED_OUT
            answer, self.is_open = None, False
        ended_s = time.monotonic()
        if not self.is_open:
            sending.cancel()
        await asyncio.wait([sending])
        for _ in self._sent[len(found) :]:
            has_begun = answer is not None and not answer.is_complete
            fields = {
                "has_begun": has_begun,
                "first_s": first_s,
                "is_behind_close": is_behind_close,
            }
            found.append((ending, ended_s, fields))
            answer = first_s = None
        return [
            CallRecord(**sent, ending=ending, ended_s=ended_s, **fields)
            for sent, (ending, ended_s, fields) in zip(self._sent, found, strict=True)
        ]

    async def _send(self, drawn: list[dict]) -> None:
        for each in drawn:
            is_slow = not each["is_idempotent"] and self._rng.random() < 0.3
            each["sent_s"] = time.monotonic()
            self._sent.append(each)
            body = None if each["is_idempotent"] else BODY
            text = request_text(each["path"], body=body, deadline_ms=DEADLINE_MS)
            try:
                await self._write(text, is_slow=is_slow)
            except ConnectionError:
                return
            each["whole_s"] = time.monotonic()
            if self._rng.random() < 0.3:
                await asyncio.sleep(self._rng.uniform(0, 1.0))

    async def _write(self, text: bytes, *, is_slow: bool) -> None:
        """Write a request, a slow one with pauses before its last bytes."""
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
    """Return the fields of a record that a whole answer gives."""
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
