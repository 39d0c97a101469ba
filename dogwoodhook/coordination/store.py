"""Interface of the platform's store: small tables that many daemons follow.

A daemon reads a complete table, or the changes after a version. Versions come from one
counter that increases with each write to the store.
"""

from collections.abc import Callable, Mapping
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
    """A row at a version; ``value`` is ``None`` if the row was removed."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class TableRows:
    """Rows of one read.

    The rows are all up to ``version``: the complete table if ``is_complete``, otherwise
    the changes after a version. ``newest_version`` is the store's version at the time
    of the read if it is higher. ``has_more`` tells that rows follow those of a page.
    """

    rows: tuple[StoreRow, ...]
    version: int
    is_complete: bool
    newest_version: int = 0
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The call was refused or not answered; a write may still take effect."""

    detail: str


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer keeps the changes after that version; read the table."""


@dataclass(frozen=True, slots=True)
class RowConflict:
    """The row does not have the expected version; ``row`` is the current one."""

    row: StoreRow


class Store(Protocol):
    """The store's calls; each has a deadline of its own."""

    async def close(self) -> None:
        """Close the connections."""
        ...

    async def read_table(self, table: Table) -> Result[TableRows, StoreUnavailable]:
        """Read a complete, consistent snapshot of a table."""
        ...

    async def read_page(
        self, table: Table, *, start: str
    ) -> Result[TableRows, StoreUnavailable]:
        """Read the first rows of a table from the key ``start`` on, in one call."""
        ...

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
        ...

    async def put_row(
        self, table: Table, key: str, value: bytes
    ) -> Result[int, StoreUnavailable]:
        """Write a row, replacing any existing one, and return its version."""
        ...

    async def put_rows(
        self, table: Table, rows: Mapping[str, bytes]
    ) -> Result[int, StoreUnavailable]:
        """Write up to 100 rows by their keys in one call, all of them or none."""
        ...

    async def create_row(
        self, table: Table, key: str, value: bytes
    ) -> Result[int, StoreUnavailable | RowConflict]:
        """Write a row that does not exist yet, and return its version."""
        ...

    async def replace_row(
        self, table: Table, key: str, value: bytes, *, version: int
    ) -> Result[int, StoreUnavailable | RowConflict]:
        """Write a row that still has a version, 0 for none, and return the new one."""
        ...
