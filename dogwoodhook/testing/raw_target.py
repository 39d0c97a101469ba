"""A target scripted byte by byte, for answers that no HTTP server would send.

Each connection runs a script of steps and records what it received::

    script = (ReceiveRequest(), Send(make_answer(b"ok")), Abort())
    async with RawTarget(script) as target:
        ...
        assert target.request_count == 1
"""

import asyncio
import contextlib
import re
import socket
import struct
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from dogwoodhook.testing.serving import LOOPBACK

READ_BYTES = 64 * 1024
HEAD_LIMIT_BYTES = 64 * 1024
LINGER_ON_ZERO = struct.pack("ii", 1, 0)
"""SO_LINGER value that makes a close reset the connection."""

_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_CHUNKED = re.compile(rb"\r\ntransfer-encoding: *chunked", re.IGNORECASE)
_NONCE = re.compile(rb"\r\ndogwoodhook-nonce: *([^\r]*)", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request as it was received."""

    head: bytes
    body: bytes

    @property
    def method(self) -> str:
        """The request's method."""
        return self.head.split(b" ", 1)[0].decode()

    @property
    def path(self) -> str:
        """The request's path with its query."""
        return self.head.split(b" ", 2)[1].decode()

    @property
    def nonce(self) -> bytes:
        """The caller's nonce, empty where the request has none."""
        match = _NONCE.search(self.head)
        return match.group(1) if match else b""


@dataclass(frozen=True, slots=True)
class ReceiveRequest:
    """Waits for a complete request."""


@dataclass(frozen=True, slots=True)
class ReceiveBytes:
    """Waits until the connection has received ``count`` bytes in total."""

    count: int


@dataclass(frozen=True, slots=True)
class Send:
    """Sends bytes."""

    data: bytes


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Sends the bytes that a function returns for the latest request."""

    make: Callable[[RawRequest], bytes]


@dataclass(frozen=True, slots=True)
class SendForever:
    """Sends the same bytes until the connection ends."""

    data: bytes
    pause_ms: int = 1


@dataclass(frozen=True, slots=True)
class Pause:
    """Waits for a time."""

    duration_ms: int


@dataclass(frozen=True, slots=True)
class WaitFor:
    """Waits until the test sets the event."""

    event: asyncio.Event


@dataclass(frozen=True, slots=True)
class Hold:
    """Keeps the connection open, and reads, until the other side closes it."""


@dataclass(frozen=True, slots=True)
class Abort:
    """Resets the connection; the end of a script closes it without a reset."""


Step = (
    ReceiveRequest
    | ReceiveBytes
    | Send
    | SendAnswer
    | SendForever
    | Pause
    | WaitFor
    | Hold
    | Abort
)
Script = Sequence[Step]


@dataclass(slots=True)
class RawConnection:
    """What one connection received."""

    received: bytearray = field(default_factory=bytearray)
    requests: list[RawRequest] = field(default_factory=list)
    is_open: bool = True
    consumed: int = 0


class RawTarget:
    """Listens on its own port and runs a script on each connection.

    ``script`` is either the script of every connection, or a function that returns
    the script for a connection's index.
    """

    def __init__(self, script: Script | Callable[[int], Script]) -> None:
        self.port = 0
        self.connections: list[RawConnection] = []
        self._script = script
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "RawTarget":
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def request_count(self) -> int:
        """Number of complete requests received over all connections."""
        return sum(len(each.requests) for each in self.connections)

    @property
    def received_bytes(self) -> int:
        """Number of bytes received over all connections."""
        return sum(len(each.received) for each in self.connections)

    @property
    def open_count(self) -> int:
        """Number of connections that neither side has ended."""
        return sum(each.is_open for each in self.connections)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        connection = RawConnection()
        self.connections.append(connection)
        script = self._script
        if callable(script):
            script = script(len(self.connections) - 1)
        try:
            with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
                for step in script:
                    await _run_step(step, connection, reader, writer)
        finally:
            connection.is_open = False
            writer.close()


def make_answer(
    body: bytes,
    *,
    status: str = "200 OK",
    headers: Mapping[str, str] | None = None,
    content_length: int | None = None,
) -> bytes:
    """Return an answer; ``content_length`` may differ from the body's length.

    >>> make_answer(b"ok").endswith(b"ok")
    True
    """
    length = len(body) if content_length is None else content_length
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {length}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def echo_nonce(request: RawRequest) -> bytes:
    """Return an answer whose body is the request's nonce."""
    return make_answer(request.nonce)


async def _run_step(
    step: Step,
    connection: RawConnection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    match step:
        case ReceiveRequest() | ReceiveBytes() | Hold():
            await _run_receiving_step(step, connection, reader)
        case Send(data):
            await _send(data, writer)
        case SendAnswer(make):
            await _send(make(connection.requests[-1]), writer)
        case SendForever(data, pause_ms):
            await _send_forever(data, pause_ms, reader, writer)
        case Pause(duration_ms):
            await asyncio.sleep(duration_ms / 1000)
        case WaitFor(event):
            await event.wait()
        case Abort():
            _reset(writer)


async def _run_receiving_step(
    step: ReceiveRequest | ReceiveBytes | Hold,
    connection: RawConnection,
    reader: asyncio.StreamReader,
) -> None:
    match step:
        case ReceiveRequest():
            await _receive_request(connection, reader)
        case ReceiveBytes(count):
            while len(connection.received) < count:
                await _receive(connection, reader)
        case Hold():
            while True:
                await _receive(connection, reader)


async def _send_forever(
    data: bytes,
    pause_ms: int,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while not reader.at_eof():
        await _send(data, writer)
        await asyncio.sleep(pause_ms / 1000)


async def _receive(connection: RawConnection, reader: asyncio.StreamReader) -> None:
    data = await reader.read(READ_BYTES)
    if not data:
        raise EOFError
    connection.received += data


async def _receive_request(
    connection: RawConnection, reader: asyncio.StreamReader
) -> None:
    while True:
        request = _consume_request(connection)
        if request is not None:
            connection.requests.append(request)
            return
        await _receive(connection, reader)


def _consume_request(connection: RawConnection) -> RawRequest | None:
    unread = bytes(connection.received[connection.consumed :])
    head, separator, rest = unread.partition(b"\r\n\r\n")
    if not separator:
        return None
    size = _body_size(head, rest)
    if size is None or len(rest) < size:
        return None
    connection.consumed += len(head) + len(separator) + size
    return RawRequest(head, rest[:size])


def _body_size(head: bytes, rest: bytes) -> int | None:
    if _CHUNKED.search(head):
        end = rest.find(b"0\r\n\r\n")
        return None if end < 0 else end + 5
    match = _CONTENT_LENGTH.search(head)
    return int(match.group(1)) if match else 0


async def _send(data: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(data)
    await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection: socket.socket = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ON_ZERO)
    writer.transport.abort()
