"""The platform's store over HTTP, as ``coordination.store.Store``."""

import asyncio
import base64
import json
from typing import Any

import aiohttp
from expression import Error, Ok, Result

from dogwoodhook.coordination.store import (
    HistoryLost,
    RowExists,
    StoreRow,
    StoreUnavailable,
    Table,
    TableRows,
)
from dogwoodhook.vm_settings import Address

CALL_TIMEOUT_S = 1.0
"""Deadline of a call, besides the time it may wait for a change. A connection that
went silent shows by it; the store's slow answers take 0.4 s."""

_TABLE_NAMES = {
    Table.CONFIGURATION: "op",
    Table.TARGETS: "servers",
    Table.DAEMONS: "dogwoodhook-daemons",
}
_OK, _CONFLICT, _GONE = 200, 412, 410


class HttpStore:
    """Client of the store; one connection pool. ``address`` may change."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def read_table(self, table: Table) -> Result[TableRows, StoreUnavailable]:
        """Read a whole table.

        The version is that of the first page, so that whoever reads the changes
        since misses nothing that was written between the pages.
        """
        rows: list[StoreRow] = []
        version = 0
        start = ""
        while True:
            query = {"table": _TABLE_NAMES[table], "part": "", "from": start}
            status, body = await self._call("GET", "/rows-get", query=query)
            if status != _OK or body is None:
                return Error(StoreUnavailable(f"status {status}"))
            version = version or body["ver"]
            rows += map(_decode_row, body["rows"])
            if not body.get("hasMore"):
                return Ok(TableRows(tuple(rows), version, is_whole=True))
            start = rows[-1].key + "\0"

    async def read_changes(
        self, table: Table, *, after_version: int, wait_s: float = 0.0
    ) -> Result[TableRows, StoreUnavailable | HistoryLost]:
        """Read the changes after a version, waiting for the first one."""
        query = {
            "table": _TABLE_NAMES[table],
            "after": str(after_version),
            "waitMs": str(int(wait_s * 1000)),
        }
        status, body = await self._call("GET", "/rows-feed", query=query, wait_s=wait_s)
        if status == _GONE:
            return Error(HistoryLost())
        if status != _OK or body is None:
            return Error(StoreUnavailable(f"status {status}"))
        rows = tuple(map(_decode_row, body["rows"]))
        return Ok(TableRows(rows, body["ver"], is_whole=False))

    async def put_row(
        self, table: Table, key: str, value: bytes
    ) -> Result[int, StoreUnavailable]:
        """Write a row, whatever it held; return the version."""
        status, body = await self._write(table, key, value, expected=[])
        if status != _OK or body is None:
            return Error(StoreUnavailable(f"status {status}"))
        return Ok(body["ver"])

    async def create_row(
        self, table: Table, key: str, value: bytes
    ) -> Result[int, StoreUnavailable | RowExists]:
        """Write a row that does not exist yet; return the version."""
        absent = {"table": _TABLE_NAMES[table], "part": "", "key": key, "ver": 0}
        status, body = await self._write(table, key, value, expected=[absent])
        if status == _CONFLICT and body is not None and body.get("rows"):
            return Error(RowExists(_decode_row(body["rows"][0])))
        if status != _OK or body is None:
            return Error(StoreUnavailable(f"status {status}"))
        return Ok(body["ver"])

    async def _write(
        self, table: Table, key: str, value: bytes, *, expected: list[dict[str, Any]]
    ) -> tuple[int, dict[str, Any] | None]:
        row = {
            "table": _TABLE_NAMES[table],
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        body = {"expected": expected, "put": [row], "remove": []}
        return await self._call("POST", "/rows-tx", body=body)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        wait_s: float = 0.0,
    ) -> tuple[int, dict[str, Any] | None]:
        """Return the status and body of an answer, and 0 where there was none."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + wait_s):
                async with self._session.request(
                    method, f"http://{self.address}{path}", params=query, json=body
                ) as response:
                    return response.status, json.loads(await response.read() or "null")
        except (aiohttp.ClientError, OSError, ValueError):
            return 0, None


def _decode_row(row: dict[str, Any]) -> StoreRow:
    value = None if row.get("deleted") else base64.b64decode(row.get("value") or "")
    return StoreRow(key=row["key"], value=value, version=row["ver"])
