"""HTTP client of the platform.

Only this module depends on the platform's protocol. Every call ends by its deadline.
A commit that was sent and not answered ends as ``OutcomeUnknown``; one that was never
sent, or that the platform refused, ends as ``Unavailable``.
"""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import aiohttp
from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

from dogwoodhook.coordination.platform import (
    CommitError,
    Committed,
    Conflict,
    OutcomeUnknown,
    StoredRow,
    Transaction,
    Unavailable,
    Vm,
)
from dogwoodhook.protocol.platform_api import (
    CommitBody,
    CommittedBody,
    ConflictBody,
    ReadBody,
    RowBody,
    RowsBody,
    ScanBody,
    VmsBody,
    WriteBody,
)
from dogwoodhook.protocol.rows import decode_row, encode_row

DEFAULT_DEADLINE_MS = 2_000
CONNECTION_LIMIT = 16

_Body = TypeVar("_Body", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class _NotSent:
    detail: str


@dataclass(frozen=True, slots=True)
class _NotAnswered:
    detail: str


class HttpPlatform:
    """Implementation of ``coordination.platform.Platform`` over a client session.

    >>> async def show_vms(url):
    ...     async with open_platform(url, deadline_ms=500) as platform:
    ...         print(await platform.list_vms())
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        *,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000)

    async def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, StoredRow], Unavailable]:
        """Read rows, all as of one moment; absent rows are left out."""
        result = await self._read_rows("/table/read", ReadBody(keys=tuple(keys)))
        return result.map(lambda rows: {row.key: row for row in rows})

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[tuple[StoredRow, ...], Unavailable]:
        """Read rows whose keys have a prefix and follow ``after``, in key order."""
        body = ScanBody(prefix=prefix, after=after, limit=limit)
        return await self._read_rows("/table/scan", body)

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Apply a transaction atomically."""
        body = _encode_transaction(transaction)
        match await self._call("POST", "/table/commit", _encode(body)):
            case _NotSent(detail):
                return Error(Unavailable(detail))
            case _NotAnswered(detail):
                return Error(OutcomeUnknown(detail))
            case _Answer(200, content):
                committed = _parse(CommittedBody, content)
                if committed is None:
                    return Error(OutcomeUnknown("the answer is malformed"))
                return Ok(Committed(committed.version))
            case _Answer(409, content):
                conflict = _parse(ConflictBody, content)
                if conflict is None:
                    return Error(OutcomeUnknown("the answer is malformed"))
                return Error(Conflict(conflict.key))
            case _Answer(503, _):
                return Error(Unavailable("status 503"))
            case _Answer(status, _):
                return Error(OutcomeUnknown(f"status {status}"))

    async def get_object(self, name: str) -> Result[bytes | None, Unavailable]:
        """Read an object; ``None`` if it does not exist."""
        match await self._call("GET", _object_path(name)):
            case _Answer(200, content):
                return Ok(content)
            case _Answer(404, _):
                return Ok(None)
            case other:
                return Error(_unavailable(other))

    async def put_object(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Store an object."""
        match await self._call("PUT", _object_path(name), body):
            case _Answer(204, _):
                return Ok(None)
            case other:
                return Error(_unavailable(other))

    async def list_vms(self) -> Result[tuple[Vm, ...], Unavailable]:
        """Read the list of live and leaving VMs, which may be out of date."""
        match await self._call("GET", "/vms"):
            case _Answer(200, content):
                listed = _parse(VmsBody, content)
                if listed is None:
                    return Error(Unavailable("the answer is malformed"))
                return Ok(listed.vms)
            case other:
                return Error(_unavailable(other))

    async def _read_rows(
        self, path: str, body: BaseModel
    ) -> Result[tuple[StoredRow, ...], Unavailable]:
        match await self._call("POST", path, _encode(body)):
            case _Answer(200, content):
                return _decode_rows(content)
            case other:
                return Error(_unavailable(other))

    async def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> _Answer | _NotSent | _NotAnswered:
        try:
            async with self._session.request(
                method,
                self._url + path,
                data=body,
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                return _Answer(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return _NotSent(_describe(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _NotAnswered(_describe(error))


@asynccontextmanager
async def open_platform(
    url: str, *, deadline_ms: int = DEFAULT_DEADLINE_MS
) -> AsyncIterator[HttpPlatform]:
    """Open a platform client with a session of its own, closed with the context."""
    connector = aiohttp.TCPConnector(limit=CONNECTION_LIMIT)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield HttpPlatform(session, url, deadline_ms=deadline_ms)


def _encode(body: BaseModel) -> bytes:
    return body.model_dump_json().encode()


def _parse(model: type[_Body], content: bytes) -> _Body | None:
    try:
        return model.model_validate_json(content)
    except ValidationError:
        return None


def _encode_transaction(transaction: Transaction) -> CommitBody:
    writes = tuple(
        WriteBody(
            key=write.key,
            value=None if write.value is None else encode_row(write.value),
        )
        for write in transaction.writes
    )
    return CommitBody(
        conditions=transaction.conditions, writes=writes, token=transaction.token
    )


def _decode_rows(content: bytes) -> Result[tuple[StoredRow, ...], Unavailable]:
    body = _parse(RowsBody, content)
    if body is None:
        return Error(Unavailable("the answer is malformed"))
    try:
        return Ok(tuple(_decode_stored_row(row) for row in body.rows))
    except ValueError as error:
        return Error(Unavailable(f"a row is malformed: {error}"))


def _decode_stored_row(row: RowBody) -> StoredRow:
    return StoredRow(row.key, decode_row(row.key, row.value), row.version, row.token)


def _unavailable(answer: _Answer | _NotSent | _NotAnswered) -> Unavailable:
    match answer:
        case _Answer(status, _):
            return Unavailable(f"status {status}")
        case _NotSent(detail) | _NotAnswered(detail):
            return Unavailable(detail)


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__


def _object_path(name: str) -> str:
    return f"/objects/{quote(name, safe='/')}"
