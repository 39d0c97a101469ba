"""Reading the store's tables: whole or by their changes, and decoding their rows."""

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
    """Decodes the platform's rows; ``configuration_key`` names the one in force.

    ``target`` returns ``None`` for a row that names no target. ``configuration``
    raises ``FindingsError`` for one that cannot be read.
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
    """Read the changes after a version; the whole table where they are not kept.

    An answer without changes does not move the version on: should the feed have missed
    one, the version is lost with the store's history, and the table read whole.
    """
    if not after_version:
        return await store.read_table(table)
    match await store.read_changes(
        table,
        after_version=after_version,
        wait_s=wait_s,
        on_long_answer=on_long_answer,
    ):
        case Result(tag="ok", ok=TableRows(rows=())):
            return Ok(TableRows((), after_version, is_complete=False))
        case Result(tag="ok", ok=rows):
            return Ok(rows)
        case Result(error=StoreUnavailable() as problem):
            return Error(problem)
        case _:
            return await store.read_table(table)


async def wait_for(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event, but no longer than a timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
