"""Reads the configuration from the table: its head, changes, and all documents."""

from collections.abc import Sequence

from expression import Error, Ok, Result

from dogwoodhook.coordination.platform import Platform, StoredRow, Unavailable
from dogwoodhook.coordination.rows import (
    DOCUMENT_PREFIX,
    HEAD_KEY,
    DocumentRow,
    Head,
    change_key,
)
from dogwoodhook.state.model import (
    Change,
    Configuration,
    DocumentKey,
    Revision,
    apply_change,
    document_key,
)

CHANGE_BATCH = 100
"""Changes read in one call."""

SCAN_PAGE_ROWS = 200
"""Documents read in one call."""


async def read_head(platform: Platform) -> Result[int, Unavailable]:
    """Return the head version; 0 before the first change."""
    match await platform.read([HEAD_KEY]):
        case Result(tag="ok", ok=rows):
            return Ok(head_version(rows.get(HEAD_KEY)))
        case Result(error=error):
            return Error(error)


def head_version(row: StoredRow | None) -> int:
    """Return the version that a head row holds; 0 for no row."""
    match row:
        case StoredRow(value=Head(version=version)):
            return version
        case _:
            return 0


async def read_changes(
    platform: Platform, *, after: int, up_to: int
) -> Result[tuple[Change, ...], Unavailable]:
    """Return the changes after a version up to another, in order.

    Changes are never deleted, so an answer that lacks one is wrong and counts as a
    failed read.
    """
    changes: list[Change] = []
    for first in range(after + 1, up_to + 1, CHANGE_BATCH):
        versions = range(first, min(first + CHANGE_BATCH, up_to + 1))
        match await platform.read([change_key(version) for version in versions]):
            case Result(tag="ok", ok=rows):
                batch = [rows.get(change_key(version)) for version in versions]
            case Result(error=error):
                return Error(error)
        for version, row in zip(versions, batch, strict=True):
            if row is None or not isinstance(row.value, Change):
                return Error(Unavailable(f"the row of change {version} is missing"))
            changes.append(row.value)
    return Ok(tuple(changes))


async def catch_up(
    platform: Platform, configuration: Configuration, head: int
) -> Result[Configuration, Unavailable]:
    """Return the configuration brought up to a head version."""
    match await read_changes(platform, after=configuration.version, up_to=head):
        case Result(tag="ok", ok=changes):
            return Ok(apply_changes(configuration, changes))
        case Result(error=error):
            return Error(error)


def apply_changes(
    configuration: Configuration, changes: Sequence[Change]
) -> Configuration:
    """Apply contiguous changes in order."""
    for change in changes:
        configuration = apply_change(configuration, change)
    return configuration


async def scan_configuration(
    platform: Platform,
) -> Result[Configuration, Unavailable]:
    """Return the complete configuration, read in pages.

    Documents may change between two pages. The head is therefore read before the
    first page and after the last one, and the changes between the two are applied
    again. Each change holds complete documents, so the result is the same where a
    page already contained that change or a later one.
    """
    match await read_head(platform):
        case Result(tag="ok", ok=head_before):
            pass
        case Result(error=error):
            return Error(error)
    match await _scan_revisions(platform):
        case Result(tag="ok", ok=revisions):
            scanned = Configuration(head_before, revisions)
        case Result(error=error):
            return Error(error)
    match await read_head(platform):
        case Result(tag="ok", ok=head) if head >= head_before:
            return await catch_up(platform, scanned, head)
        case Result(tag="ok", ok=head):
            return Error(Unavailable(f"head version fell from {head_before} to {head}"))
        case Result(error=error):
            return Error(error)


async def _scan_revisions(
    platform: Platform,
) -> Result[dict[DocumentKey, Revision], Unavailable]:
    revisions: dict[DocumentKey, Revision] = {}
    after = ""
    while True:
        match await platform.scan(DOCUMENT_PREFIX, after=after, limit=SCAN_PAGE_ROWS):
            case Result(tag="ok", ok=rows):
                pass
            case Result(error=error):
                return Error(error)
        for row in rows:
            if isinstance(row.value, DocumentRow):
                key = document_key(row.value.document)
                revisions[key] = Revision(row.value.document, row.value.version)
        if len(rows) < SCAN_PAGE_ROWS:
            return Ok(revisions)
        after = rows[-1].key
