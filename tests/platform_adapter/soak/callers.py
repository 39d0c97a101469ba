"""Callers that keep using their connections until the daemon is gone."""

import asyncio
import itertools
import random
import time

import aiohttp

from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.target_sessions import make_session
from tests.platform_adapter.raw_caller import RawCaller, request_text
from tests.platform_adapter.soak.records import CallRecord, Ending
from tests.platform_adapter.soak.world import PADDING, World, make_path

ADDED_ROUTE_SHARE = 0.4
"""Share of the requests that are not repeatable, sent to routes added lately."""

RECENT_CHANGES = 3
DEADLINE_MS = 4000
CALL_TIMEOUT_S = 8.0
RAW_SHARE = 3
"""One of so many callers sends several requests on a connection before it reads."""

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
        self._is_ending = False

    def start(self, count: int) -> list[asyncio.Task]:
        """Start callers of both kinds."""
        return [
            asyncio.create_task(self._run() if number % RAW_SHARE else self._run_raw())
            for number in range(count)
        ]

    def end(self) -> None:
        """Let each caller end after its exchange."""
        self._is_ending = True

    async def _run(self) -> None:
        async with make_session(aiohttp.TCPConnector(limit=0)) as session:
            while not self._is_ending:
                daemon = self._rng.choice(self._world.daemons)
                for _ in range(self._rng.randint(1, 20)):
                    call = await self.call(session, daemon)
                    if call.ending is not Ending.ANSWERED:
                        await asyncio.sleep(0.05)
                    if self._is_ending or call.ending is not Ending.ANSWERED:
                        break
                    await asyncio.sleep(self._rng.uniform(0, 0.05))

    async def _run_raw(self) -> None:
        while not self._is_ending:
            daemon = self._rng.choice(self._world.daemons)
            try:
                reader, writer = await asyncio.open_connection(
                    daemon.host, daemon.caller_port
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            connection = _Connection(RawCaller(reader, writer), self._rng)
            try:
                while connection.is_open and not self._is_ending:
                    drawn = [self._draw(daemon) for _ in range(self._rng.randint(1, 5))]
                    self.calls += await connection.exchange(drawn)
                    await asyncio.sleep(self._rng.uniform(0, 0.05))
            finally:
                writer.close()

    def _draw(self, daemon) -> dict:
        """Return what a request is to be, as the fields of its record."""
        rng = self._rng
        is_idempotent = rng.random() < 0.5
        added_in = 0
        changes = self._world.changes
        if not is_idempotent and rng.random() < ADDED_ROUTE_SHARE:
            added_in = rng.choice(changes[-RECENT_CHANGES:]).version
        request_id = f"{self._seed}-{next(self._numbers)}"
        prefix = "read" if is_idempotent else "post"
        is_long = rng.random() < LONG_SHARE
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
            "limit_s": DEADLINE_MS / 1000,
        }

    async def call(self, session, daemon):
        """Send one request and keep what became of it."""
        drawn = self._draw(daemon)
        sent_s = time.monotonic()
        trace = AttemptTrace()
        answer = {}
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with session.request(
                    "GET" if drawn["is_idempotent"] else "POST",
                    daemon.url + drawn["path"],
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
            ending = Ending.TIMED_OUT
        except (aiohttp.ClientError, OSError):
            ending = Ending.BROKEN if trace.is_connected else Ending.UNSENT
        call = CallRecord(
            **drawn,
            sent_s=sent_s,
            # Small requests are sent as soon as they are connected.
            whole_s=sent_s if trace.is_connected else None,
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
        self._answered = 0

    async def exchange(self, drawn: list[dict]) -> list[CallRecord]:
        """Send requests and return what became of those that were begun."""
        self._sent, self._answered = [], 0
        sending = asyncio.create_task(self._send(drawn))
        found = []
        ending = Ending.BROKEN
        try:
            for _ in drawn:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    answer = await self._caller.answer(
                        pause_s=self._rng.choice(READ_PAUSES_S)
                    )
                if answer is None or not answer.is_whole:
                    self.is_open = False
                    break
                self._answered += 1
                fields = _answer_fields(answer.status, answer.headers, answer.body)
                found.append((Ending.ANSWERED, time.monotonic(), fields))
                if answer.closes:
                    self.is_open = False
                    break
        except TimeoutError:
            ending, answer, self.is_open = Ending.TIMED_OUT, None, False
        ended_s = time.monotonic()
        if not self.is_open:
            sending.cancel()
        await asyncio.wait([sending])
        for _ in self._sent[len(found) :]:
            has_begun = answer is not None and not answer.is_whole
            found.append((ending, ended_s, {"has_begun": has_begun}))
            answer = None
        return [
            CallRecord(**sent, ending=ending, ended_s=ended_s, **fields)
            for sent, (ending, ended_s, fields) in zip(self._sent, found, strict=True)
        ]

    async def _send(self, drawn: list[dict]) -> None:
        for each in drawn:
            is_slow = not each["is_idempotent"] and self._rng.random() < 0.3
            each["is_behind"] = len(self._sent) > self._answered
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
