"""A caller that pipelines requests: it sends several before it reads their answers."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"
PIECE_BYTES = 64 * 1024


def request_text(path, *, body=None, deadline_ms=5000, headers=None):
    """Return the bytes of a request; the last part of its path is its id."""
    method = "GET" if path.startswith("/read") else "POST"
    text = (
        f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        f"Request-Id: {path.rpartition('/')[2]}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n"
        + "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    ).encode()
    if body is not None:
        text += f"Content-Length: {len(body)}\r\n".encode()
    return text + b"\r\n" + (body or b"")


@dataclass(frozen=True)
class RawAnswer:
    """One answer; ``is_complete`` unless the connection ended within its body."""

    status: int
    headers: dict
    body: bytes
    is_complete: bool = True

    @property
    def request_id(self):
        return self.headers.get("request-id", "")

    @property
    def closes(self):
        return self.headers.get("connection", "").lower() == "close"


class RawCaller:
    """One connection to a daemon."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, *paths, body=None, deadline_ms=5000):
        """Send one request per path at once; the last part of a path is the id."""
        self.writer.write(
            b"".join(
                request_text(path, body=body, deadline_ms=deadline_ms) for path in paths
            )
        )

    async def answer(self, *, pause_s=0.0):
        """Return the next answer, or ``None`` if the connection ended in its head.

        ``pause_s`` is the time to wait before each piece of the body is read.
        """
        try:
            head = await self.reader.readuntil(HEAD_END)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        status_line, *lines = head.decode().strip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        status = int(status_line.split(" ")[1])
        length = int(headers.get("content-length", 0))
        body = b""
        try:
            while len(body) < length:
                await asyncio.sleep(pause_s)
                piece = min(length - len(body), PIECE_BYTES)
                body += await self.reader.readexactly(piece)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            body += getattr(error, "partial", b"")
            return RawAnswer(status, headers, body, is_complete=False)
        return RawAnswer(status, headers, body)

    async def answers(self):
        """Return the answers up to one that closes the connection or is incomplete."""
        found = []
        while (answer := await self.answer()) is not None:
            found.append(answer)
            if answer.closes or not answer.is_complete:
                break
        return found


@asynccontextmanager
async def raw_caller(gateway, **options):
    """Open a connection to a daemon."""
    address = gateway.settings.caller_address
    reader, writer = await asyncio.open_connection(
        address.host, address.port, **options
    )
    try:
        yield RawCaller(reader, writer)
    finally:
        writer.close()
