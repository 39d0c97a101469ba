"""Transfers what is too large for a datagram from daemon to daemon.

These are the configuration's row, for daemons whose calls the store refuses while it
answers those of other daemons, and snapshots of the fleet, for daemons that start.
Everything is signed with the fleet's key, so that only daemons of the fleet can send
it.
"""

import asyncio
import math
from collections.abc import Callable, Mapping

import aiohttp
from aiohttp import web
from expression import Error, Ok, Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_links import RowUnavailable
from dogwoodhook.coordination.fleet_messages import DaemonHello
from dogwoodhook.coordination.fleet_snapshot import FleetSnapshot
from dogwoodhook.coordination.store import StoreRow
from dogwoodhook.protocol.fleet_codec import (
    compress_snapshot,
    decode_signed_daemons,
    decode_signed_row,
    decode_signed_snapshot,
    encode_signed_daemons,
    encode_signed_row,
    sign_snapshot,
)
from dogwoodhook.transport.datagrams import DatagramPeers
from dogwoodhook.transport.listening import HttpListener
from dogwoodhook.vm_settings import Address

FETCH_TIMEOUT_S = 1.0
"""Maximum time without a byte of an answer: a round trip and a busy link."""

SNAPSHOT_TIMEOUT_S = 0.4
"""The same for a snapshot: a VM that has no power answers nothing, and the daemon that
asks has not started to serve."""

SNAPSHOT_REUSE_S = 0.25
"""Time for which an encoded snapshot is sent again. Many daemons may start at once."""

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Maximum size of an answer: ten times the largest configuration."""

CLOSE_TIMEOUT_S = 0.1
"""Time for closing open connections when the daemon stops."""

PATH = "/configuration"
SNAPSHOT_PATH = "/snapshot"
DAEMONS_PATH = "/daemons"
_PATHS = (PATH, SNAPSHOT_PATH, DAEMONS_PATH)
_MIN_VERSION = "min-version"


class PeerExchange:
    """Serves what this daemon knows to other daemons, and fetches it from them.

    ``current_row`` is the configuration's row, ``None`` until the first one is known.
    ``take_snapshot`` returns ``None`` while this daemon does not know enough itself.
    """

    def __init__(self, peers: DatagramPeers, address: Address, clock: Clock) -> None:
        self.current_row: StoreRow | None = None
        self.take_snapshot: Callable[[], FleetSnapshot | None] = lambda: None
        self.list_daemons: Callable[[], tuple[DaemonHello, ...]] = tuple
        self._peers = peers
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None
        self._compressed = b""
        self._compressed_s = -math.inf
        self._listener = HttpListener(
            self._handle,
            host=address.host,
            port=address.port,
            close_timeout_s=CLOSE_TIMEOUT_S,
        )

    async def start(self) -> None:
        """Open the listener."""
        await self._listener.start()

    async def close(self) -> None:
        """Close every connection."""
        await self._listener.close()
        if self._session is not None:
            await self._session.close()

    async def fetch(
        self, daemon: str, *, min_version: int
    ) -> Result[StoreRow, RowUnavailable]:
        """Return another daemon's row if its version is at least ``min_version``."""
        params = {_MIN_VERSION: str(min_version)}
        match await self._get(daemon, PATH, params, timeout_s=FETCH_TIMEOUT_S):
            case Result(tag="ok", ok=(signed, key)):
                decoded = decode_signed_row(signed, key=key)
            case Result(error=problem):
                return Error(problem)
        match decoded:
            case Result(tag="ok", ok=row) if row.version >= min_version:
                return Ok(row)
            case Result(tag="ok", ok=row):
                return Error(RowUnavailable(f"{daemon} sent version {row.version}"))
            case Result(error=detail):
                return Error(RowUnavailable(f"{daemon}: {detail}"))

    async def fetch_snapshot(
        self, daemon: str
    ) -> Result[FleetSnapshot, RowUnavailable]:
        """Return what another daemon knows of the fleet."""
        asked_s = self._clock.now_s()
        match await self._get(daemon, SNAPSHOT_PATH, {}, timeout_s=SNAPSHOT_TIMEOUT_S):
            case Result(tag="ok", ok=(signed, key)):
                decoded = decode_signed_snapshot(signed, key=key)
            case Result(error=problem):
                return Error(problem)
        match decoded:
            case Result(tag="ok", ok=snapshot):
                return Ok(snapshot.aged(self._clock.now_s() - asked_s))
            case Result(error=detail):
                return Error(RowUnavailable(f"{daemon}: {detail}"))

    async def fetch_daemons(
        self, daemon: str
    ) -> Result[tuple[DaemonHello, ...], RowUnavailable]:
        """Return the live daemons that another daemon knows."""
        match await self._get(daemon, DAEMONS_PATH, {}, timeout_s=FETCH_TIMEOUT_S):
            case Result(tag="ok", ok=(signed, key)):
                decoded = decode_signed_daemons(signed, key=key)
            case Result(error=problem):
                return Error(problem)
        return decoded.map_error(lambda detail: RowUnavailable(f"{daemon}: {detail}"))

    async def _get(
        self, daemon: str, path: str, params: Mapping[str, str], *, timeout_s: float
    ) -> Result[tuple[bytes, bytes], RowUnavailable]:
        """Return another daemon's signed answer, and the key that it must have."""
        address, key = self._peers.address_of(daemon), self._peers.key
        if address is None or key is None:
            return Error(RowUnavailable(f"{daemon} is not known"))
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(),
                connector=aiohttp.TCPConnector(force_close=True),
            )
        loop = asyncio.get_running_loop()
        signed = bytearray()
        try:
            async with asyncio.timeout(timeout_s) as deadline:
                async with self._session.get(
                    f"http://{address}{path}", params=params
                ) as response:
                    if response.status != web.HTTPOk.status_code:
                        return Error(
                            RowUnavailable(
                                f"{daemon} answered {response.status}",
                                is_answered=True,
                            )
                        )
                    async for part in response.content.iter_any():
                        signed += part
                        if len(signed) > MAX_ANSWER_BYTES:
                            return Error(
                                RowUnavailable(
                                    f"{daemon} sent more than {MAX_ANSWER_BYTES} bytes"
                                )
                            )
                        deadline.reschedule(loop.time() + timeout_s)
        except (aiohttp.ClientError, OSError) as error:
            return Error(RowUnavailable(f"{daemon}: {error!r}"))
        return Ok((bytes(signed), key))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        wanted = request.query.get(_MIN_VERSION, "0")
        if request.path not in _PATHS or not wanted.isdecimal():
            return web.Response(status=404, text=f"allowed: {', '.join(_PATHS)}\n")
        key = self._peers.key
        signed = self._answer(request.path, int(wanted), key) if key else None
        if signed is None:
            return web.Response(status=404, text="not known here\n")
        return web.Response(body=signed)

    def _answer(self, path: str, min_version: int, key: bytes) -> bytes | None:
        if path == SNAPSHOT_PATH:
            return self._signed_snapshot(key)
        if path == DAEMONS_PATH:
            return encode_signed_daemons(self.list_daemons(), key=key)
        row = self.current_row
        if row is None or row.version < min_version:
            return None
        return encode_signed_row(row, key=key)

    def _signed_snapshot(self, key: bytes) -> bytes | None:
        now_s = self._clock.now_s()
        if now_s - self._compressed_s > SNAPSHOT_REUSE_S:
            snapshot = self.take_snapshot()
            if snapshot is None:
                return None
            self._compressed = compress_snapshot(snapshot)
            self._compressed_s = now_s
        held_s = now_s - self._compressed_s
        return sign_snapshot(self._compressed, held_s=held_s, key=key)
