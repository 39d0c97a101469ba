"""History of the configuration: author, time and fields of each change."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, fields
from enum import Enum

from expression import Error, Ok, Result

from dogwoodhook.coordination.loading import CHANGE_BATCH, read_changes, read_head
from dogwoodhook.coordination.platform import Platform, Unavailable
from dogwoodhook.coordination.rows import change_key
from dogwoodhook.state.model import (
    Change,
    Document,
    DocumentKey,
    DocumentVersion,
    ParameterOverrides,
    Parameters,
    QuietHours,
    RequestPattern,
    Route,
    Target,
    document_key,
)


@dataclass(frozen=True, slots=True)
class FieldChange:
    """One field of a document before and after; ``None`` where it is absent."""

    field: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        return f"{self.field}: {self.before or '-'} -> {self.after or '-'}"


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """The fields of one document that an accepted change altered."""

    version: int
    author: str
    changed_at_s: float
    key: DocumentKey
    changes: tuple[FieldChange, ...]


def diff_documents(
    before: Document | None, after: Document | None
) -> tuple[FieldChange, ...]:
    """Return the fields in which two versions of a document differ.

    Targets are matched by name, and routes by host and path, so that a different
    order alone is no difference.

    >>> from dogwoodhook.state.model import Template
    >>> for change in diff_documents(
    ...     Template("tills", Parameters(capacity_floor=4)),
    ...     Template("tills", Parameters(capacity_floor=5)),
    ... ):
    ...     print(change)
    parameters.capacity_floor: 4 -> 5
    """
    old = dict(_flatten(before, "")) if before else {}
    new = dict(_flatten(after, "")) if after else {}
    names = dict.fromkeys([*old, *new])
    return tuple(
        FieldChange(name, old.get(name), new.get(name))
        for name in names
        if old.get(name) != new.get(name)
    )


async def read_history(
    platform: Platform, *, limit: int, key: DocumentKey | None = None
) -> Result[tuple[HistoryEntry, ...], Unavailable]:
    """Return the latest entries, newest first, of one document or of all."""
    match await read_head(platform):
        case Result(tag="ok", ok=head):
            pass
        case Result(error=error):
            return Error(error)
    entries: list[HistoryEntry] = []
    last = head
    while last > 0 and len(entries) < limit:
        after = max(0, last - min(CHANGE_BATCH, limit))
        match await _read_entries(platform, after=after, up_to=last):
            case Result(tag="ok", ok=batch):
                entries += [each for each in batch if key in (None, each.key)]
            case Result(error=error):
                return Error(error)
        last = after
    return Ok(tuple(entries[:limit]))


async def read_documents(
    platform: Platform, versions: Iterable[DocumentVersion]
) -> Result[Mapping[DocumentVersion, Document], Unavailable]:
    """Return documents as they were at the versions that changed them."""
    wanted = [each for each in dict.fromkeys(versions) if each.version > 0]
    documents: dict[DocumentVersion, Document] = {}
    for start in range(0, len(wanted), CHANGE_BATCH):
        batch = wanted[start : start + CHANGE_BATCH]
        keys = list(dict.fromkeys(change_key(each.version) for each in batch))
        match await platform.read(keys):
            case Result(tag="ok", ok=rows):
                changes = [row.value for row in rows.values()]
            case Result(error=error):
                return Error(error)
        for change in changes:
            if isinstance(change, Change):
                documents.update(_documents_of(change))
    return Ok({each: documents[each] for each in wanted if each in documents})


def entries_of(
    change: Change, before: Mapping[DocumentVersion, Document]
) -> tuple[HistoryEntry, ...]:
    """Return the entries of a change, given the documents that it is based on."""
    based_on = {each.key: each for each in change.based_on}
    after = {document_key(document): document for document in change.documents}
    entries: list[HistoryEntry] = []
    for key in (*after, *change.removed):
        old = before.get(based_on[key]) if key in based_on else None
        entries.append(
            HistoryEntry(
                version=change.version,
                author=change.author,
                changed_at_s=change.changed_at_s,
                key=key,
                changes=diff_documents(old, after.get(key)),
            )
        )
    return tuple(entries)


async def _read_entries(
    platform: Platform, *, after: int, up_to: int
) -> Result[list[HistoryEntry], Unavailable]:
    match await read_changes(platform, after=after, up_to=up_to):
        case Result(tag="ok", ok=changes):
            based_on = [each for change in changes for each in change.based_on]
        case Result(error=error):
            return Error(error)
    match await read_documents(platform, based_on):
        case Result(tag="ok", ok=before):
            newest_first = reversed(changes)
            return Ok(
                [e for change in newest_first for e in entries_of(change, before)]
            )
        case Result(error=error):
            return Error(error)


def _documents_of(change: Change) -> Iterator[tuple[DocumentVersion, Document]]:
    for document in change.documents:
        yield DocumentVersion(document_key(document), change.version), document


def _flatten(value: object, path: str) -> Iterator[tuple[str, str]]:
    match value:
        case None:
            return
        case Target() | Route() | RequestPattern() | QuietHours():
            yield f"{path}.{_item_name(value)}", _item_text(value)
        case tuple():
            for item in value:
                yield from _flatten(item, path)
        case Parameters() | ParameterOverrides():
            yield from _flatten_fields(value, path)
        case Enum():
            yield path, str(value.value)
        case str() | int() | float():
            yield path, str(value)
        case _:
            yield from _flatten_fields(value, path)


def _flatten_fields(value: object, path: str) -> Iterator[tuple[str, str]]:
    for each in fields(value):  # type: ignore[arg-type]
        if each.name == "kind":
            continue
        name = "parameters" if each.name == "overrides" else each.name
        inner = f"{path}.{name}" if path else name
        yield from _flatten(getattr(value, each.name), inner)


def _item_name(item: Target | Route | RequestPattern | QuietHours) -> str:
    match item:
        case Target():
            return item.name
        case Route():
            return f"{item.host}{item.path_prefix}"
        case RequestPattern():
            return f"{item.method} {item.path}"
        case QuietHours():
            days = ",".join(str(day) for day in item.days)
            return f"{item.time_zone} {days} {item.start:%H:%M}-{item.end:%H:%M}"


def _item_text(item: Target | Route | RequestPattern | QuietHours) -> str:
    match item:
        case Target():
            return f"{item.data_centre} {item.address}"
        case Route():
            return f"workspace {item.workspace}" if item.workspace else "listed"
        case RequestPattern():
            return "listed"
        case QuietHours():
            return f"capacity_floor {item.capacity_floor}"
