"""Targets that write drawn bytes where answers are due, and what they ran.

What a target may write wrongly is anything that a caller of it can tell: whole or cut
answers and refusals of other requests, and bytes that are no answer, at any place on a
connection. It does not forge its own answer: what it says about this request by its id
is true, a body that is cut is followed by the end of the connection, and an answer that
its closing ends is cut by a reset.
"""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field
from enum import StrEnum

from hypothesis import strategies as st

HOST = "127.0.0.1"
HEAD_END = b"\r\n\r\n"
SEGMENT_TURNS = 4
"""Passes of the event loop between two segments, so that they are read one by one."""

HANG_S = 0.1
"""Time for which a target that hangs keeps its connection open."""

LARGE_BODY_BYTES = 300 * 1024
"""More than a daemon reads before it passes an answer on."""

LINGER_ON_ZERO = struct.pack("ii", 1, 0)


class Framing(StrEnum):
    """What ends an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSING = "closing"


class End(StrEnum):
    """What becomes of the connection behind the last byte."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"
    HANG = "hang"


class NoiseKind(StrEnum):
    """Bytes that are not this request's answer."""

    REFUSAL = "refusal"
    ANSWER = "answer"
    REPEATED_ANSWER = "repeated answer"
    INTERIM = "interim"
    STRAY = "stray"


@dataclass(frozen=True, slots=True)
class Noise:
    """Bytes of another request; ``share`` of them is written, ``back`` tells whose."""

    kind: NoiseKind
    status: str = "503 Busy"
    has_id: bool = True
    back: int = 1
    share: float = 1.0
    stray: bytes = b"x"


@dataclass(frozen=True, slots=True)
class Plan:
    """What a target does with one request.

    Where ``runs`` is false, it refuses. ``cut_share`` is the share of the answer that
    is written, ``splits`` are the ends of segments as shares.
    """

    runs: bool = True
    status: str = "200 OK"
    refusal: str = "503 Busy"
    has_id: bool = True
    framing: Framing = Framing.LENGTH
    is_large: bool = False
    says_close: bool = False
    before: tuple[Noise, ...] = ()
    cut_share: float = 1.0
    behind: tuple[Noise, ...] = ()
    end: End = End.KEEP
    idle: tuple[Noise, ...] = ()
    splits: tuple[float, ...] = ()
    pause_ms: int = 0
    idle_pause_ms: int = 1

    @property
    def is_sound(self) -> bool:
        """Tell whether a sound target might do the same."""
        is_noisy = bool(self.before or self.behind or self.idle)
        return not is_noisy and self.cut_share >= 1 and self.end is not End.RESET


REFUSALS = ("503 Busy", "429 Too Many", "421 Misdirected Request", "408 Timeout")
STRAYS = (b"x", b"\r\n", HEAD_END, b"\n", b"0\r\n\r\n", b"\x00\xff", b"HTTP/1.1 ")
PARTS = st.integers(0, 99).map(lambda percent: percent / 100)
SHARES = st.one_of(st.just(1.0), PARTS)
NOISES = st.builds(
    Noise,
    kind=st.sampled_from(NoiseKind),
    status=st.sampled_from(REFUSALS),
    has_id=st.booleans(),
    back=st.integers(1, 3),
    share=SHARES,
    stray=st.one_of(st.sampled_from(STRAYS), st.binary(min_size=1, max_size=6)),
)
SOME_NOISE = st.one_of(st.just(()), st.lists(NOISES, min_size=1, max_size=2).map(tuple))
SOUND_PLANS = st.builds(
    Plan,
    runs=st.sampled_from([True, True, False]),
    refusal=st.sampled_from(REFUSALS),
    framing=st.sampled_from([Framing.LENGTH, Framing.CHUNKS]),
)
ODD_PLANS = st.builds(
    Plan,
    runs=st.sampled_from([True, True, False]),
    status=st.sampled_from(["200 OK", "200 OK", "200 OK", "500 Error", "404 Not Here"]),
    refusal=st.sampled_from(REFUSALS),
    has_id=st.sampled_from([True, True, False]),
    framing=st.sampled_from(Framing),
    is_large=st.sampled_from([False] * 9 + [True]),
    says_close=st.sampled_from([False] * 4 + [True]),
    before=SOME_NOISE,
    cut_share=st.one_of(st.just(1.0), st.just(1.0), PARTS),
    behind=SOME_NOISE,
    end=st.sampled_from([End.KEEP] * 5 + list(End)),
    idle=SOME_NOISE,
    splits=st.lists(PARTS, max_size=4).map(tuple),
    pause_ms=st.sampled_from([0, 0, 0, 2]),
    idle_pause_ms=st.sampled_from([0, 1, 4]),
)
REPEATING_PLANS = st.builds(
    Plan,
    status=st.sampled_from(["200 OK", "500 Error"]),
    before=st.builds(
        Noise,
        kind=st.sampled_from([NoiseKind.REFUSAL] * 3 + [NoiseKind.ANSWER]),
        status=st.sampled_from(REFUSALS),
        has_id=st.booleans(),
        share=SHARES,
    ).map(lambda noise: (noise,)),
    pause_ms=st.sampled_from([0, 2]),
)
PLANS = st.one_of(SOUND_PLANS, REPEATING_PLANS, ODD_PLANS)


class PlatformWire:
    """How targets answer on the users' platform."""

    id_field = "Request-Id"
    has_ids = True

    def refusal(self, status, request_id):
        """Return the bytes of a refusal."""
        lines = [f"HTTP/1.1 {status}"]
        if not status.startswith("421"):
            lines.append("Not-Executed: 1")
        if request_id is not None:
            lines.append(f"Request-Id: {request_id}")
        lines.append("Content-Length: 0")
        return "\r\n".join(lines).encode() + HEAD_END

    def answer(
        self, status, request_id, body, *, framing=Framing.LENGTH, says_close=False
    ):
        """Return the bytes of an answer to a request that has run."""
        lines = ["Server-Signature: s"]
        if request_id is not None:
            lines.append(f"Request-Id: {request_id}")
        return framed(status, lines, body, framing=framing, says_close=says_close)


class NativeWire:
    """How targets answer where there are no ids of requests."""

    id_field = "Dogwoodhook-Nonce"
    has_ids = False

    def refusal(self, status, request_id):
        """Return the bytes of a refusal."""
        word = "draining" if status.startswith("421") else "shed"
        head = f"HTTP/1.1 503 Busy\r\nDogwoodhook-Target: {word}\r\nContent-Length: 0"
        return head.encode() + HEAD_END

    def answer(
        self, status, request_id, body, *, framing=Framing.LENGTH, says_close=False
    ):
        """Return the bytes of an answer to a request that has run."""
        return framed(status, [], body, framing=framing, says_close=says_close)


def framed(status, lines, body, *, framing, says_close):
    """Return the bytes of an answer with these header lines."""
    lines = [f"HTTP/1.1 {status}", *lines]
    if says_close:
        lines.append("Connection: close")
    match framing:
        case Framing.LENGTH:
            lines.append(f"Content-Length: {len(body)}")
        case Framing.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
            middle = len(body) // 2
            parts = [each for each in (body[:middle], body[middle:]) if each]
            chunks = [f"{len(each):x}\r\n".encode() + each + b"\r\n" for each in parts]
            body = b"".join(chunks) + b"0\r\n\r\n"
    return "\r\n".join(lines).encode() + HEAD_END + body


@dataclass(slots=True)
class Run:
    """A request that a target has begun to work on, and the answer it made."""

    request_id: str
    status: int
    body: bytes
    target: str


@dataclass(slots=True)
class Arrival:
    """A request that a target got; ``is_clean`` tells that nothing was wrong there."""

    request_id: str
    plan: Plan
    is_clean: bool


@dataclass
class FaultyTarget:
    """One target; ``plan_of`` tells what it does with a request by its id."""

    name: str
    plan_of: object
    wire: object = None
    working: int = 0
    runs: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    tasks: set = field(default_factory=set)
    port: int = 0

    async def start(self):
        self._server = await asyncio.start_server(self._accept, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening, and wait until every connection has ended."""
        self._server.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
                await _Connection(self, reader, writer).serve()
        finally:
            self.tasks.discard(task)
            writer.close()


class _Connection:
    def __init__(self, target, reader, writer):
        self.target = target
        self.wire = target.wire or PlatformWire()
        self.reader = reader
        self.writer = writer
        self.served = []
        self.is_clean = True

    async def serve(self):
        while True:
            method, request_id = await self._receive()
            self.target.working += 1
            try:
                if not await self._serve_one(method, request_id):
                    return
            finally:
                self.target.working -= 1

    async def _serve_one(self, method, request_id):
        plan = self.target.plan_of(request_id)
        arrival = Arrival(request_id, plan, self.is_clean and plan.is_sound)
        self.target.arrivals.append(arrival)
        self.is_clean = arrival.is_clean
        is_kept = await self._answer(plan, method, request_id)
        self.served.append(request_id)
        return is_kept

    async def _receive(self):
        lines = (await self.reader.readuntil(HEAD_END)).decode().split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        if "chunked" in headers.get("transfer-encoding", ""):
            await self.reader.readuntil(b"0\r\n\r\n")
        await self.reader.readexactly(int(headers.get("content-length", 0)))
        return lines[0].split(" ")[0], headers.get(self.wire.id_field.lower(), "")

    async def _answer(self, plan, method, request_id):
        """Do as planned; tell whether the connection is kept."""
        text, head_bytes = self._own_text(plan, method, request_id)
        cut_at = int(plan.cut_share * len(text)) if plan.cut_share < 1 else len(text)
        is_cut = cut_at < len(text)
        is_in_head = cut_at < head_bytes
        before = self._noise(plan.before, request_id, is_before=True)
        # Without a whole head of its own, only what has a status line may follow.
        behind = () if is_cut and not is_in_head else plan.behind
        if is_in_head:
            behind = [each for each in behind if each.kind is not NoiseKind.STRAY]
        closes = plan.framing is Framing.CLOSING and plan.runs
        if closes and not is_in_head:
            behind = ()
        await self._write(
            before
            + text[:cut_at]
            + self._noise(behind, request_id, is_before=is_in_head),
            plan,
        )
        end = plan.end
        if is_cut and end is End.KEEP:
            end = End.CLOSE
        if closes and not is_in_head:
            end = End.RESET if is_cut or end is End.RESET else End.CLOSE
        if plan.says_close and end is End.KEEP:
            end = End.CLOSE
        match end:
            case End.KEEP:
                await asyncio.sleep(plan.idle_pause_ms / 1000)
                await self._write(self._noise(plan.idle, request_id), plan)
                return True
            case End.HANG:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(HANG_S):
                        await self.reader.read()
            case End.RESET:
                reset_connection(self.writer)
        return False

    def _own_text(self, plan, method, request_id):
        """Return the true answer to a request, and how much of it is its head."""
        if not plan.runs:
            # Without an id, a refusal stands for whatever request is due.
            text = self.wire.refusal(plan.refusal, request_id if plan.has_id else None)
            return text, len(text)
        number = len(self.target.runs)
        body = f"{self.target.name} ran {request_id}, run {number}".encode()
        if plan.is_large:
            body *= LARGE_BODY_BYTES // len(body)
        if method == "HEAD":
            body = b""
        status = int(plan.status.split(" ")[0])
        self.target.runs.append(Run(request_id, status, body, self.target.name))
        framing = Framing.LENGTH if method == "HEAD" else plan.framing
        text = self.wire.answer(
            plan.status, request_id, body, framing=framing, says_close=plan.says_close
        )
        return text, text.index(HEAD_END) + len(HEAD_END)

    def _noise(self, noises, request_id, *, is_before=False):
        return b"".join(
            self._noise_text(each, request_id, is_before=is_before) for each in noises
        )

    def _noise_text(self, noise, request_id, *, is_before):
        earlier = [each for each in self.served if each != request_id]
        other = earlier[-noise.back] if len(earlier) >= noise.back else "another"
        # On a new connection there is no earlier request that one without an id is of.
        has_id = noise.has_id or (is_before and not self.served)
        match noise.kind:
            case NoiseKind.REFUSAL:
                text = self.wire.refusal(noise.status, other if has_id else None)
            case NoiseKind.ANSWER:
                text = self.wire.answer(
                    "200 OK", other if has_id else None, b"of another"
                )
            case NoiseKind.REPEATED_ANSWER:
                runs = [each for each in self.target.runs if each.request_id == other]
                body = runs[-1].body if runs else b""
                text = self.wire.answer("200 OK", other, body, framing=Framing.CHUNKS)
            case NoiseKind.INTERIM:
                text = b"HTTP/1.1 103 Early Hints\r\nLink: x" + HEAD_END
            case NoiseKind.STRAY:
                text = noise.stray
        size = len(text) if noise.share >= 1 else int(noise.share * len(text))
        if is_before and not self._may_be_told(noise):
            size = min(size, text.index(HEAD_END))
        return text[:size]

    def _may_be_told(self, noise):
        """Tell whether a caller can tell whole noise in front from its answer."""
        if self.wire.has_ids:
            return True
        match noise.kind:
            case NoiseKind.ANSWER | NoiseKind.REPEATED_ANSWER:
                return False
            case NoiseKind.REFUSAL:
                return bool(self.served)
            case _:
                return True

    async def _write(self, text, plan):
        ends = sorted({int(each * len(text)) for each in plan.splits} | {len(text)})
        start = 0
        for end in ends:
            if end > start:
                if self.writer.is_closing():
                    raise ConnectionResetError
                self.writer.write(text[start:end])
                for _ in range(SEGMENT_TURNS):
                    await asyncio.sleep(0)
                if end < len(text):
                    await asyncio.sleep(plan.pause_ms / 1000)
            start = end
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()


def reset_connection(writer):
    """Close with a reset instead of an end."""
    if writer.is_closing():
        return
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ON_ZERO)
    writer.transport.abort()
