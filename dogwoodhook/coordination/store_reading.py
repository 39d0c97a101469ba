"""Reads the store's tables, completely or by their changes, and decodes their rows."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from dogwoodhook.coordination.store import (
    Store,
    StoreRow,
    StoreUnavailable,
    Table,
    TableRows,
)
from dogwoodhook.state.route_policy import RoutingConfiguration
from dogwoodhook.state.target_directory import TargetEntry


@dataclass(frozen=True, slots=True)
class RowDecoder:
    """Decodes the platform's rows.

    ``configuration_key`` is the key of the row with the configuration in force.
    ``target`` returns ``None`` for a row that is not a target. ``configuration``
    raises ``FindingsError`` for a row that cannot be decoded.
    """

    configuration_key: str
    target: Callable[[StoreRow], TargetEntry | None]
    configuration: Callable[[StoreRow], RoutingConfiguration]


async def read_newer(
    store: Store,
    table: Table,
    *,
    after_version: int,
    wait_s: float = 0.0,
    on_long_answer: Callable[[], None] | None = None,
) -> Result[TableRows, StoreUnavailable]:
    """Read the changes after a version, or the complete table if they are not kept.

    An answer without changes keeps ``after_version`` as the version. Should the feed
    have skipped a change, that version drops out of the store's history in time, and
    the complete table is then read.
    """
    if not after_version:
        return await store.read_table(table)
    match await store.read_changes(
        table,
        after_version=after_version,
        wait_s=wait_s,
        on_long_answer=on_long_answer,
    ):
        case Result(tag="ok", ok=TableRows(rows=(), version=newest)):
            return Ok(
                TableRows((), after_version, is_complete=False, newest_version=newest)
            )
        case Result(tag="ok", ok=rows):
            return Ok(rows)
        case Result(error=StoreUnavailable() as problem):
            return Error(problem)
        case _:
            return await store.read_table(table)


async def wait_for(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until an event is set or the timeout has passed."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
