"""What a caller sees of one exchange through the proxy."""

import asyncio
import socket
from dataclasses import dataclass

import aiohttp

from dogwoodhook.protocol.headers import OUTCOME_HEADER
from dogwoodhook.testing.target_server import NONCE_HEADER


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """An answer that ended as HTTP says it should."""

    status: int
    outcome: str
    body: bytes


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """No answer, or one that broke off."""

    detail: str


async def exchange(session, proxy, path="/work", *, method="GET", nonce="", **options):
    """Send one request on a connection of the session's."""
    headers = {NONCE_HEADER: nonce, **options.pop("headers", {})}
    try:
        async with session.request(
            method, proxy.url + path, headers=headers, **options
        ) as response:
            body = await response.read()
            outcome = response.headers.get(OUTCOME_HEADER, "")
            return CompleteAnswer(response.status, outcome, body)
    except (aiohttp.ClientError, OSError) as error:
        return BrokenAnswer(repr(error))


def open_caller():
    """Return a session that never sends a request twice nor reuses connections."""
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))


async def until(condition, *, timeout_s=5.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.002)


def is_open(connection):
    """Tell whether the other side has not closed a non-blocking socket yet."""
    try:
        return connection.recv(1, socket.MSG_PEEK) != b""
    except BlockingIOError:
        return True
    except ConnectionError:
        return False
