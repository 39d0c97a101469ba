"""A crowd of callers that send costly requests to a daemon and stay connected."""

import asyncio
from contextlib import asynccontextmanager, suppress

from dogwoodhook.testing.fleet import free_port
from tests.platform_adapter.raw_caller import raw_caller
from tests.platform_adapter.target_server import HOST, TargetServer

CHUNKED = "Transfer-Encoding: chunked"
ONE_SHORT = "Content-Length: 2"

WRITTEN_AT_ONCE_BYTES = 64 * 1024

SETTLED_S = 1.0
"""Time without progress after which a crowd has sent what it can."""

MAX_SENDING_S = 60.0
"""Time after which a crowd is taken to have sent what it can."""


def head(*lines, request_id="hostile", path="/post/1"):
    """Return a request's head with these lines."""
    first = f"POST {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: {request_id}\r\n"
    return (first + "".join(f"{line}\r\n" for line in lines)).encode() + b"\r\n"


def filled_head(line_of, *last, head_bytes):
    """Return the largest head of generated lines up to a size in bytes."""
    lines, size = [], len(head(*last))
    while size + len(line := line_of(len(lines))) + 2 <= head_bytes:
        lines.append(line)
        size += len(line) + 2
    return head(*lines, *last)


def chunks(size, *, chunk_bytes):
    """Return a chunked body without its end."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    return chunk * (size // chunk_bytes)


class Crowd:
    """Callers that each send the same bytes, and then wait without reading."""

    def __init__(self, daemon, text, *, size) -> None:
        self._daemon = daemon
        self._text = text
        self._tasks = [asyncio.ensure_future(self._send()) for _ in range(size)]
        self._sent_bytes = 0
        self._ended = 0

    async def settle(self):
        """Wait until the callers have sent all, or are kept from sending more."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MAX_SENDING_S
        seen, seen_s = None, loop.time()
        while loop.time() < until_s and loop.time() - seen_s < SETTLED_S:
            progress = (self._sent_bytes, self._ended)
            if progress != seen:
                seen, seen_s = progress, loop.time()
            await asyncio.sleep(0.05)

    async def _send(self):
        with suppress(ConnectionError):
            async with raw_caller(self._daemon) as caller:
                for start in range(0, len(self._text), WRITTEN_AT_ONCE_BYTES):
                    part = self._text[start : start + WRITTEN_AT_ONCE_BYTES]
                    caller.writer.write(part)
                    await caller.writer.drain()
                    self._sent_bytes += len(part)
                self._ended += 1
                await asyncio.Event().wait()

    async def close(self):
        """Close the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@asynccontextmanager
async def crowd(daemon, text, *, size):
    """Open a crowd of connections that each send the same bytes."""
    callers = Crowd(daemon, text, size=size)
    try:
        yield callers
    finally:
        await callers.close()


class ChunkedTarget(TargetServer):
    """A target that also reads chunked bodies, and drops them."""

    async def _read_head(self, reader, number):
        received, length = await super()._read_head(reader, number)
        while received.headers.get("transfer-encoding") == "chunked":
            size = int(await reader.readuntil(b"\r\n"), 16)
            await reader.readexactly(size + 2)
            if size == 0:
                break
        return received, length


@asynccontextmanager
async def running_chunked_target(name):
    """Run a target until the context ends."""
    target = ChunkedTarget(name, free_port())
    server = await asyncio.start_server(target.serve, HOST, target.port)
    try:
        yield target
    finally:
        server.close()
