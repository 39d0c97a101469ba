"""Transfers the configuration's row from daemon to daemon.

It serves daemons whose calls the store refuses while it answers others. The row is
authenticated with the fleet's key, so that only daemons of the fleet can send one.
"""

import asyncio

import aiohttp
from aiohttp import web
from expression import Error, Ok, Result

from dogwoodhook.coordination.fleet_links import RowUnavailable
from dogwoodhook.coordination.store import StoreRow
from dogwoodhook.protocol.fleet_codec import decode_signed_row, encode_signed_row
from dogwoodhook.transport.datagrams import DatagramPeers
from dogwoodhook.transport.listening import HttpListener
from dogwoodhook.vm_settings import Address

FETCH_TIMEOUT_S = 1.0
"""Maximum time without a byte of an answer: a round trip and a busy link."""

MAX_ROW_BYTES = 4 * 1024 * 1024
"""Maximum size of an answer: ten times the largest configuration."""

CLOSE_TIMEOUT_S = 0.1
"""Time for closing open connections when the daemon stops."""

PATH = "/configuration"
_MIN_VERSION = "min-version"


class ConfigurationExchange:
    """Serves this daemon's row to other daemons, and fetches theirs.

    ``current_row`` is the row to serve, ``None`` until the first one is known.
    """

    def __init__(self, peers: DatagramPeers, address: Address) -> None:
        self.current_row: StoreRow | None = None
        self._peers = peers
        self._session: aiohttp.ClientSession | None = None
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
        address, key = self._peers.address_of(daemon), self._peers.key
        if address is None or key is None:
            return Error(RowUnavailable(f"{daemon} is not known"))
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(),
                connector=aiohttp.TCPConnector(force_close=True),
            )
        url = f"http://{address}{PATH}"
        loop = asyncio.get_running_loop()
        sealed = bytearray()
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S) as deadline:
                async with self._session.get(
                    url, params={_MIN_VERSION: str(min_version)}
                ) as response:
                    if response.status != web.HTTPOk.status_code:
                        return Error(
                            RowUnavailable(f"{daemon} answered {response.status}")
                        )
                    async for part in response.content.iter_any():
                        sealed += part
                        if len(sealed) > MAX_ROW_BYTES:
                            return Error(
                                RowUnavailable(
                                    f"{daemon} sent more than {MAX_ROW_BYTES} bytes"
                                )
                            )
                        deadline.reschedule(loop.time() + FETCH_TIMEOUT_S)
        except (aiohttp.ClientError, OSError) as error:
            return Error(RowUnavailable(f"{daemon}: {error!r}"))
        match decode_signed_row(bytes(sealed), key=key):
            case Result(tag="ok", ok=row) if row.version >= min_version:
                return Ok(row)
            case Result(tag="ok", ok=row):
                return Error(RowUnavailable(f"{daemon} sent version {row.version}"))
            case Result(error=problem):
                return Error(RowUnavailable(f"{daemon}: {problem}"))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        wanted = request.query.get(_MIN_VERSION, "0")
        key, row = self._peers.key, self.current_row
        if request.path != PATH or not wanted.isdecimal():
            return web.Response(status=404, text=f"allowed: {PATH}\n")
        if key is None or row is None or row.version < int(wanted):
            return web.Response(status=404, text="not known here\n")
        return web.Response(body=encode_signed_row(row, key=key))
