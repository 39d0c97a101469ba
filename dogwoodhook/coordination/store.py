"""The platform's store as the daemon uses it: small tables that many follow.

A table is read whole or followed by its changes. Versions come from one counter
that grows with each write to the store.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from expression import Result


class Table(StrEnum):
    """The tables that a daemon uses."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    DAEMONS = "daemons"


@dataclass(frozen=True, slots=True)
class StoreRow:
    """A row at a version; ``value`` is ``None`` where the row was removed."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class TableRows:
    """Rows of one read.

    ``version`` is the store's newest version at the read. ``is_complete`` tells a
    whole table from the changes after a version.
    """

    rows: tuple[StoreRow, ...]
    version: int
    is_complete: bool


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The call was refused or got no answer; a write may still take effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes after that version are no longer kept; read the whole table."""


@dataclass(frozen=True, slots=True)
class RowExists:
    """The row to create exists; this is what it holds."""

    row: StoreRow


class Store(Protocol):
    """The store's calls; each has a deadline of its own."""

    async def close(self) -> None:
        """Close the connections."""
        ...

    async def read_table(self, table: Table) -> Result[TableRows, StoreUnavailable]:
        """Read a whole table as of one moment."""
        ...

    async def read_changes(
        self,
        table: Table,
        *,
        after_version: int,
        wait_s: float = 0.0,
        on_long_answer: Callable[[], None] | None = None,
    ) -> Result[TableRows, StoreUnavailable | HistoryLost]:
        """Read the changes after a version, waiting for the first one.

        ``on_long_answer`` is called when an answer begins that takes long to come.
        """
        ...

    async def put_row(
        self, table: Table, key: str, value: bytes
    ) -> Result[int, StoreUnavailable]:
        """Write a row, whatever it held; return the version."""
        ...

    async def create_row(
        self, table: Table, key: str, value: bytes
    ) -> Result[int, StoreUnavailable | RowExists]:
        """Write a row that does not exist yet; return the version."""
        ...
