"""Sends a request through the proxy, and returns what its caller receives."""

import asyncio
import socket
from dataclasses import dataclass

import aiohttp

from dogwoodhook.protocol.headers import OUTCOME_HEADER
from dogwoodhook.testing.target_server import NONCE_HEADER


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """An answer that was received up to its end, as HTTP defines it."""

    status: int
    outcome: str
    body: bytes


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """No answer, or one that ended early."""

    detail: str


async def exchange(session, proxy, path="/work", *, method="GET", nonce="", **options):
    """Send one request on one of the session's connections."""
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
    """Return a session that neither resends requests nor reuses connections."""
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))


async def until(condition, *, timeout_s=5.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.002)


def is_open(connection):
    """Return whether the other side has not yet closed a non-blocking socket."""
    try:
        return connection.recv(1, socket.MSG_PEEK) != b""
    except BlockingIOError:
        return True
    except ConnectionError:
        return False
