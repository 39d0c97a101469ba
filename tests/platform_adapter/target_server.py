"""A stand-in target over raw sockets, with behaviours that answer wrongly."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from dogwoodhook.testing.fleet import free_port

HOST = "127.0.0.1"
HEAD_END = b"\r\n\r\n"


@dataclass
class ReceivedRequest:
    """One request as the target received it."""

    method: str
    path: str
    headers: dict
    body: bytes
    connection: int
    raw_head: str = ""

    @property
    def request_id(self):
        return self.headers.get("request-id", "")


Behaviour = Callable[
    ["TargetServer", ReceivedRequest, asyncio.StreamWriter], Awaitable[None]
]


def head(status, received, *, length=None, **more):
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {received.request_id}"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
    return ("\r\n".join(lines)).encode() + HEAD_END


async def answer(server, received, writer):
    """Answer correctly, with success."""
    body = f"{server.name} ran {received.path}".encode()
    writer.write(
        head("200 OK", received, length=len(body), Server_Signature=server.name) + body
    )


async def reset(server, received, writer):
    """Reset the connection without an answer."""
    reset_connection(writer)


async def refuse(server, received, writer):
    """Refuse, and declare that the request was not run."""
    writer.write(head("503 Busy", received, length=0, Not_Executed="1"))


async def misdirected(server, received, writer):
    """Refuse as a different target at the same address would."""
    writer.write(head("421 Misdirected Request", received, length=0))


async def bare_503(server, received, writer):
    """Answer 503 without the declaration that the request was not run."""
    writer.write(head("503 Busy", received, length=0, Server_Signature=server.name))


def leaving(status="200 OK", *, value="1", **more):
    """Return a behaviour that answers with a status and says that the target leaves."""

    async def answer_leaving(server, received, writer):
        headers = {"Server_Signature": server.name, "Server_Leaving": value, **more}
        body = server.name.encode()
        writer.write(head(status, received, length=len(body), **headers) + body)

    return answer_leaving


def pausing(value, *, status="503 Busy", **more):
    """Return a behaviour that turns a request away and asks for a pause."""

    async def answer_pausing(server, received, writer):
        headers = {"Not_Executed": "1", "Retry_After": value, **more}
        writer.write(head(status, received, length=0, **headers))

    return answer_pausing


async def foreign_leaving(server, received, writer):
    """Send only the answer to another request, which says that the target leaves."""
    other = ReceivedRequest("GET", "/", {"request-id": "another"}, b"", 0)
    await leaving()(server, other, writer)


async def misdirected_leaving(server, received, writer):
    """Refuse as another target at the address would that leaves."""
    writer.write(
        head("421 Misdirected Request", received, length=0, Server_Leaving="1")
    )


async def server_error(server, received, writer):
    """Fail after running the request."""
    writer.write(head("500 Error", received, length=0, Server_Signature=server.name))


async def foreign_answer(server, received, writer):
    """Answer with the id of another request."""
    other = ReceivedRequest("GET", "/", {"request-id": "another"}, b"", 0)
    writer.write(head("200 OK", other, length=2, Server_Signature=server.name) + b"no")


async def unsigned(server, received, writer):
    """Answer with success, without the target's signature."""
    writer.write(head("200 OK", received, length=2) + b"no")


async def truncated(server, received, writer):
    """Close the connection in the middle of the body."""
    writer.write(head("200 OK", received, length=99, Server_Signature=server.name))
    writer.write(b"half")
    writer.close()


async def unframed(server, received, writer):
    """Answer without a length; the end of the connection delimits the body."""
    writer.write(head("200 OK", received, Server_Signature=server.name) + b"whole")
    writer.close()


async def unframed_reset(server, received, writer):
    """Answer without a length, and reset the connection before the end."""
    writer.write(head("200 OK", received, Server_Signature=server.name) + b"half")
    await writer.drain()
    await asyncio.sleep(0.05)
    reset_connection(writer)


async def extra_answer(server, received, writer):
    """Send the answer to another request directly after the correct answer."""
    await answer(server, received, writer)
    await foreign_answer(server, received, writer)


async def hang(server, received, writer):
    """Do not answer for 60 s."""
    await asyncio.sleep(60)


def after(delay_s, behaviour=answer):
    """Return a behaviour that waits for a time before another behaviour."""

    async def behave(server, received, writer):
        await asyncio.sleep(delay_s)
        await behaviour(server, received, writer)

    return behave


def reset_connection(writer):
    """Close the connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@dataclass
class TargetServer:
    """One target.

    Each request uses the next of ``behaviours``; the last one serves all that follow.
    ``cut_count`` counts requests whose connection was closed, or received more bytes,
    before the behaviour had ended.
    """

    name: str
    port: int
    behaviours: list = field(default_factory=lambda: [answer])
    received: list = field(default_factory=list)
    cut_count: int = 0
    connections: int = 0
    endless_bytes: int = 0
    was_cut_off: bool = False
    answers_early: bool = False

    def entry(self, *, service="payouts", **changes):
        """Return the target's row in the store."""
        return {
            "backend": service,
            "address": f"{HOST}:{self.port}",
            "zone": "oulu-1",
            "configVersion": "v1",
            "slots": 3,
            "state": "ready",
            "warmupLeft": "0ms",
            "sequence": 1,
            "born": 1_790_000_000_000,
            **changes,
        }

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        number = self.connections
        try:
            while not writer.is_closing():
                await self._serve_one(reader, writer, number)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer, number):
        received, length = await self._read_head(reader, number)
        if self.answers_early:
            await answer(self, received, writer)
            received.body = await reader.readexactly(length)
            self.received.append(received)
            return
        received.body = await reader.readexactly(length)
        self.received.append(received)
        behave = self.behaviours[0]
        if len(self.behaviours) > 1:
            self.behaviours.pop(0)
        work = asyncio.ensure_future(behave(self, received, writer))
        watch = asyncio.ensure_future(reader.read(1))
        await asyncio.wait([work, watch], return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            self.cut_count += 1
            work.cancel()
            # Retrieves the error of a reset connection, if it was one.
            watch.exception()
            raise ConnectionResetError
        reader_byte = await self._next_byte(watch, writer)
        reader._buffer[:0] = reader_byte

    async def _next_byte(self, watch, writer):
        if writer.is_closing():
            watch.cancel()
            raise ConnectionResetError
        first = await watch
        if not first:
            raise ConnectionResetError
        return first

    async def _read_head(self, reader, number):
        text = (await reader.readuntil(HEAD_END)).decode()
        request_line, *lines = text.strip().split("\r\n")
        method, path, _ = request_line.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        return ReceivedRequest(method, path, headers, b"", number, text), length


@asynccontextmanager
async def running_target(name, *behaviours):
    """Run a target until the context ends."""
    target = TargetServer(name, free_port(), list(behaviours) or [answer])
    server = await asyncio.start_server(target.serve, HOST, target.port)
    try:
        yield target
    finally:
        server.close()
