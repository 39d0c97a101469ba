"""Ejection rows and the configuration head in the platform's table."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from expression import Ok, Result

from dogwoodhook.coordination.platform import (
    ABSENT_VERSION,
    CommitError,
    Committed,
    Condition,
    Platform,
    StoredRow,
    Transaction,
    Unavailable,
    Write,
    commit_resolved,
    new_token,
)
from dogwoodhook.coordination.rows import (
    HEAD_KEY,
    EjectionRow,
    Head,
    ejection_key,
)


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The configuration version in force, and the table's version of its row."""

    configuration_version: int
    version: int


@dataclass(frozen=True, slots=True)
class RowRead:
    """An ejection row, and the table's version of it."""

    row: EjectionRow
    version: int


@dataclass(frozen=True, slots=True)
class EjectionRead:
    """The head and the ejection rows of some services, at one moment."""

    head: HeadRead
    rows: tuple[RowRead, ...]


class EjectionTable:
    """Reads ejection rows, and writes them if the configuration head is unchanged."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def read(self, services: Sequence[str]) -> Result[EjectionRead, Unavailable]:
        """Read the head and the rows of these services at one moment."""
        keys = [HEAD_KEY, *(ejection_key(service) for service in services)]
        match await self._platform.read(keys):
            case Result(tag="ok", ok=stored):
                rows = tuple(_row_read(stored, service) for service in services)
                return Ok(EjectionRead(_head_read(stored), rows))
            case failed:
                return failed.map(lambda _: EjectionRead(_head_read({}), ()))

    async def write(
        self, row: EjectionRow, *, row_read: RowRead, head: HeadRead
    ) -> Result[Committed, CommitError]:
        """Write a row, if neither it nor the head has changed since the read."""
        key = ejection_key(row.service)
        transaction = Transaction(
            conditions=(
                Condition(HEAD_KEY, head.version),
                Condition(key, row_read.version),
            ),
            writes=(Write(key, row),),
            token=new_token(),
        )
        return await commit_resolved(self._platform, transaction)


def _head_read(stored: Mapping[str, StoredRow]) -> HeadRead:
    match stored.get(HEAD_KEY):
        case StoredRow(value=Head(version=configuration_version), version=version):
            return HeadRead(configuration_version, version)
        case _:
            return HeadRead(0, ABSENT_VERSION)


def _row_read(stored: Mapping[str, StoredRow], service: str) -> RowRead:
    match stored.get(ejection_key(service)):
        case StoredRow(value=EjectionRow() as row, version=version):
            return RowRead(row, version)
        case _:
            return RowRead(EjectionRow(service), ABSENT_VERSION)
