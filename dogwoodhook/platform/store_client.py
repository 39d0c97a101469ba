"""Client of the platform's store over HTTP; implements ``coordination.store.Store``."""

import asyncio
import base64
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
from expression import Error, Ok, Result

from dogwoodhook.coordination.store import (
    HistoryLost,
    RowConflict,
    StoreRow,
    StoreUnavailable,
    Table,
    TableRows,
)
from dogwoodhook.coordination.store_reading import wait_for
from dogwoodhook.platform.headers import STORE_ERA_HEADER
from dogwoodhook.platform.store_era import StoreEra
from dogwoodhook.state.store_position import era_of, position_of, version_of
from dogwoodhook.vm_settings import Address

CALL_TIMEOUT_S = 1.0
"""Longest time without receiving a byte of an answer, not counting the time that a call
may wait at the store for a change. The store's slow answers take 0.4 s."""

LONG_ANSWER_BYTES = 16 * 1024
"""Length of an answer from which ``on_long_answer`` is called before the body is read,
so that other daemons can be notified of it meanwhile. The smallest VM's link takes
30 ms to transfer it."""

HEDGE_DELAY_S = 0.5
"""Time without the head of an answer after which a read is hedged on a new connection,
since the first one may have gone silent. Longer than the store's slow answers take."""

_TABLE_NAMES = {
    Table.CONFIGURATION: "op",
    Table.TARGETS: "servers",
    Table.DAEMONS: "dogwoodhook-daemons",
}
_OK, _CONFLICT, _GONE = 200, 412, 410


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer's status and body in an era; ``problem`` says why there is none."""

    status: int = 0
    body: dict[str, Any] | None = None
    problem: str = ""
    era: int = 0

    @property
    def position(self) -> int:
        """Return the store's position at the answer."""
        assert self.body is not None
        return position_of(self.era, self.body["ver"])

    @property
    def rows(self) -> tuple[StoreRow, ...]:
        """Return the answer's rows."""
        assert self.body is not None
        return tuple(_decode_row(row, self.era) for row in self.body["rows"])

    def to_unavailable(self) -> StoreUnavailable:
        return StoreUnavailable(self.problem or f"status {self.status}")


class HttpStore:
    """Client of the store. ``address`` may be changed at any time.

    Connections are reused. A read whose connection seems to have gone silent is hedged
    on a new connection. The versions that are passed and returned are positions (see
    ``state.store_position``).
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._session: aiohttp.ClientSession | None = None
        self._single_use: aiohttp.ClientSession | None = None
        self._era = StoreEra()
        # The doubts about the era at the last complete read of each table.
        self._settled_doubts: dict[Table, int] = {}

    async def close(self) -> None:
        """Close the connections."""
        for session in (self._session, self._single_use):
            if session is not None:
                await session.close()

    async def read_table(self, table: Table) -> Result[TableRows, StoreUnavailable]:
        """Read a complete table.

        The version returned is that of the first page, so that the changes after it
        include everything that is written while the later pages are read.
        """
        rows: list[StoreRow] = []
        position = 0
        start = ""
        doubts = self._era.doubts
        while True:
            answer = await self._read_page(table, start)
            if answer.status != _OK or answer.body is None:
                return Error(answer.to_unavailable())
            position = position or answer.position
            if era_of(position) != answer.era:
                return Error(StoreUnavailable("a new era began during the read"))
            rows += answer.rows
            if not answer.body.get("hasMore"):
                self._settled_doubts[table] = doubts
                return Ok(TableRows(tuple(rows), position, is_complete=True))
            start = rows[-1].key + "\0"

    async def read_page(
        self, table: Table, *, start: str
    ) -> Result[TableRows, StoreUnavailable]:
        """Read the first rows of a table from the key ``start`` on, in one call."""
        answer = await self._read_page(table, start)
        if answer.status != _OK or answer.body is None:
            return Error(answer.to_unavailable())
        return Ok(
            TableRows(
                answer.rows,
                answer.position,
                is_complete=False,
                has_more=bool(answer.body.get("hasMore")),
            )
        )

    async def read_changes(
        self,
        table: Table,
        *,
        after_version: int,
        wait_s: float = 0.0,
        on_long_answer: Callable[[], None] | None = None,
    ) -> Result[TableRows, StoreUnavailable | HistoryLost]:
        """Read the changes after a version, waiting up to ``wait_s`` for the first one.

        ``on_long_answer`` is called when a long answer begins, before its body is read.
        """
        if self._settled_doubts.get(table, 0) != self._era.doubts:
            return Error(HistoryLost())
        query = {
            "table": _TABLE_NAMES[table],
            "after": str(version_of(after_version)),
            "waitMs": "0",
        }
        answer = await self._read(
            "/rows-feed", query, wait_s=wait_s, on_long_answer=on_long_answer
        )
        if answer.status == _GONE:
            return Error(HistoryLost())
        if answer.status != _OK or answer.body is None:
            return Error(answer.to_unavailable())
        if answer.era != era_of(after_version):
            # The version is of another era, and its changes are not those after it.
            return Error(HistoryLost())
        return Ok(TableRows(answer.rows, answer.position, is_complete=False))

    async def put_row(
        self, table: Table, key: str, value: bytes
    ) -> Result[int, StoreUnavailable]:
        """Write a row whether or not it exists; return the new version."""
        return await self.put_rows(table, {key: value})

    async def put_rows(
        self, table: Table, rows: Mapping[str, bytes]
    ) -> Result[int, StoreUnavailable]:
        """Write rows whether or not they exist; return the new version."""
        answer = await self._write(table, rows, expected=[])
        if answer.status != _OK or answer.body is None:
            return Error(answer.to_unavailable())
        return Ok(answer.position)

    async def create_row(
        self, table: Table, key: str, value: bytes
    ) -> Result[int, StoreUnavailable | RowConflict]:
        """Write a row that does not exist yet; return the new version."""
        return await self.replace_row(table, key, value, version=0)

    async def replace_row(
        self, table: Table, key: str, value: bytes, *, version: int
    ) -> Result[int, StoreUnavailable | RowConflict]:
        """Write a row that still has a version, 0 for none; return the new one."""
        if version and era_of(version) != self._era.current:
            # Another row may have this version now.
            return Error(StoreUnavailable("the version is of an older era"))
        known = {
            "table": _TABLE_NAMES[table],
            "part": "",
            "key": key,
            "ver": version_of(version),
        }
        answer = await self._write(table, {key: value}, expected=[known])
        body = answer.body
        if answer.status == _CONFLICT and body is not None and body.get("rows"):
            return Error(RowConflict(_decode_row(body["rows"][0], answer.era)))
        if answer.status != _OK or answer.body is None:
            return Error(answer.to_unavailable())
        return Ok(answer.position)

    async def _read_page(self, table: Table, start: str) -> _Answer:
        query = {"table": _TABLE_NAMES[table], "part": "", "from": start}
        return await self._read("/rows-get", query)

    async def _write(
        self,
        table: Table,
        rows: Mapping[str, bytes],
        *,
        expected: list[dict[str, Any]],
    ) -> _Answer:
        put = [
            {
                "table": _TABLE_NAMES[table],
                "part": "",
                "key": key,
                "value": base64.b64encode(value).decode(),
            }
            for key, value in rows.items()
        ]
        body = {"expected": expected, "put": put, "remove": []}
        return await self._call(self._pooled_session(), "POST", "/rows-tx", body=body)

    async def _read(
        self,
        path: str,
        query: dict[str, str],
        *,
        wait_s: float = 0.0,
        on_long_answer: Callable[[], None] | None = None,
    ) -> _Answer:
        """Return the answer of a read; hedge the read if no answer begins in time.

        Only the first attempt waits at the store for a change; the hedge does not,
        because there may be no change to report. The attempt whose answer begins first
        cancels the other one.
        """
        attempts: list[asyncio.Task[_Answer]] = []
        is_hedge_unneeded = asyncio.Event()

        def handle_begin(length: int) -> None:
            is_hedge_unneeded.set()
            for each in attempts:
                if each is not asyncio.current_task():
                    each.cancel()
            if on_long_answer is not None and length >= LONG_ANSWER_BYTES:
                on_long_answer()

        def start(
            session: aiohttp.ClientSession, wait_s: float, timeout_s: float
        ) -> None:
            call = self._call(
                session,
                "GET",
                path,
                query={**query, "waitMs": str(int(wait_s * 1000))} if wait_s else query,
                timeout_s=wait_s + timeout_s,
                on_begin=handle_begin,
            )
            attempts.append(asyncio.ensure_future(call))

        start(self._pooled_session(), wait_s, CALL_TIMEOUT_S)
        attempts[0].add_done_callback(lambda _: is_hedge_unneeded.set())
        try:
            await wait_for(is_hedge_unneeded, wait_s + HEDGE_DELAY_S)
            if not is_hedge_unneeded.is_set():
                start(self._single_use_session(), 0.0, CALL_TIMEOUT_S - HEDGE_DELAY_S)
            answers = [
                each
                for each in await asyncio.gather(*attempts, return_exceptions=True)
                if isinstance(each, _Answer)
            ]
            return min(answers, key=lambda each: bool(each.problem))
        finally:
            for each in attempts:
                each.cancel()

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        on_begin: Callable[[int], None] | None = None,
    ) -> _Answer:
        """Return the answer of a call.

        Each part of the body that is received extends the time-out, so that a long
        answer may take longer. ``on_begin`` is called with the answer's length when
        its head has been received.
        """
        loop = asyncio.get_running_loop()
        url = f"http://{self.address}{path}"
        try:
            async with asyncio.timeout(timeout_s) as deadline:
                async with session.request(
                    method, url, params=query, json=body
                ) as response:
                    if on_begin is not None:
                        on_begin(response.content_length or 0)
                    content = bytearray()
                    async for part in response.content.iter_any():
                        content += part
                        deadline.reschedule(loop.time() + CALL_TIMEOUT_S)
                    body = json.loads(content or "null")
                    if not self._era.observe(response.headers.get(STORE_ERA_HEADER)):
                        return _Answer(problem="an answer of an older era")
                    return _Answer(response.status, body, era=self._era.current)
        except TimeoutError:
            return _Answer(problem=f"no answer in time to {path}")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return _Answer(problem=repr(error))

    def _pooled_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout())
        return self._session

    def _single_use_session(self) -> aiohttp.ClientSession:
        if self._single_use is None:
            self._single_use = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(),
                connector=aiohttp.TCPConnector(force_close=True),
            )
        return self._single_use


def _decode_row(row: dict[str, Any], era: int) -> StoreRow:
    value = None if row.get("deleted") else base64.b64decode(row.get("value") or "")
    # Version 0 is that of a row that does not exist, in every era.
    version = row["ver"] and position_of(era, row["ver"])
    return StoreRow(key=row["key"], value=value, version=version)
