"""A caller that sends several requests on one connection before it reads."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class RawAnswer:
    """One answer as it came; ``is_whole`` unless the connection ended in it."""

    status: int
    headers: dict
    body: bytes
    is_whole: bool = True

    @property
    def request_id(self):
        return self.headers.get("request-id", "")

    @property
    def closes(self):
        return self.headers.get("connection", "").lower() == "close"


def make_request(path, *, length=None, deadline_ms=5000):
    """Return the head of a request; the last part of its path is its id."""
    method = "GET" if path.startswith("/read") else "POST"
    text = (
        f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        f"Request-Id: {path.rpartition('/')[2]}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n"
    )
    if length is not None:
        text += f"Content-Length: {length}\r\n"
    return text.encode() + b"\r\n"


class RawCaller:
    """One connection to a daemon."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, *paths, body=None, deadline_ms=5000):
        """Send requests at once; the last part of a path is the request's id."""
        text = b""
        for path in paths:
            length = None if body is None else len(body)
            text += make_request(path, length=length, deadline_ms=deadline_ms)
            text += body or b""
        self.writer.write(text)

    async def answer(self):
        """Return the next answer, or ``None`` where the connection ended before it."""
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
        try:
            body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            partial = getattr(error, "partial", b"")
            return RawAnswer(status, headers, partial, is_whole=False)
        return RawAnswer(status, headers, body)

    async def answers(self):
        """Return the answers up to the end of the connection or one that closes it."""
        found = []
        while (answer := await self.answer()) is not None:
            found.append(answer)
            if answer.closes or not answer.is_whole:
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
