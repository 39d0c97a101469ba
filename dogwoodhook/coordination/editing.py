"""Changes of the configuration, as an operator's command makes them.

A change is one transaction on the head row, the row of the change, and the rows
of the documents it touches. The condition on the head puts changes in sequence, so
each is validated against exactly the configuration that it is applied to.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.change_checks import check_change
from dogwoodhook.coordination.history import (
    FieldChange,
    diff_documents,
    read_documents,
)
from dogwoodhook.coordination.loading import (
    catch_up,
    head_version,
    read_changes,
    scan_configuration,
)
from dogwoodhook.coordination.platform import (
    ABSENT_VERSION,
    Condition,
    Conflict,
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
    DocumentRow,
    Head,
    change_key,
    document_row_key,
)
from dogwoodhook.coordination.snapshots import (
    SNAPSHOT_OBJECT,
    SnapshotCodec,
    is_snapshot_due,
)
from dogwoodhook.findings import Finding
from dogwoodhook.state.model import (
    Change,
    Configuration,
    Document,
    DocumentKey,
    DocumentVersion,
    apply_change,
    document_key,
)

EDIT_ATTEMPTS = 8
"""Attempts to commit a change, each on a newer head, before the change fails."""


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """One document's fields before and after."""

    key: DocumentKey
    changes: tuple[FieldChange, ...]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The documents are in force at a version.

    ``is_new`` is false if they were in force already and nothing was written.
    """

    version: int
    is_new: bool
    changes: tuple[DocumentChange, ...] = ()


@dataclass(frozen=True, slots=True)
class EditConflict:
    """Another change of the same document was accepted first; nothing was written.

    ``meanwhile`` holds the changes that others made since the version on which the
    edit is based, the latest of them by ``author``. ``proposed`` holds the changes
    that the edit would make now. ``version`` is 0 if the document has been removed.
    """

    key: DocumentKey
    expected_version: int
    version: int
    author: str
    meanwhile: tuple[FieldChange, ...]
    proposed: tuple[FieldChange, ...]


@dataclass(frozen=True, slots=True)
class InvalidEdit:
    """The resulting configuration would be invalid; nothing was written."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class EditUnavailable:
    """The platform refused or could not be reached; nothing was written."""

    detail: str


@dataclass(frozen=True, slots=True)
class EditUnknown:
    """No attempt was answered; applying the same documents again is safe."""

    detail: str


EditError = EditConflict | InvalidEdit | EditUnavailable | EditUnknown


@dataclass(frozen=True, slots=True)
class _Edit:
    """The change that an operator requested."""

    documents: tuple[Document, ...]
    removed: tuple[DocumentKey, ...]
    author: str
    token: str
    changed_at_s: float
    expected: Mapping[DocumentKey, int]

    def document_keys(self) -> tuple[DocumentKey, ...]:
        return (*(document_key(each) for each in self.documents), *self.removed)

    def document(self, key: DocumentKey) -> Document | None:
        return next((d for d in self.documents if document_key(d) == key), None)


@dataclass(frozen=True, slots=True)
class _Base:
    """The configuration and the rows that an attempt is based on.

    The attempt is conditional on the versions of these rows.
    """

    configuration: Configuration
    rows: Mapping[str, StoredRow] = field(default_factory=dict)

    def version_of(self, key: DocumentKey) -> int:
        revision = self.configuration.revisions.get(key)
        return revision.version if revision else 0

    def document(self, key: DocumentKey) -> Document | None:
        revision = self.configuration.revisions.get(key)
        return revision.document if revision else None

    def condition(self, key: str) -> Condition:
        row = self.rows.get(key)
        return Condition(key, row.version if row else ABSENT_VERSION)


async def apply_documents(
    platform: Platform,
    documents: Sequence[Document],
    removed: Sequence[DocumentKey] = (),
    *,
    author: str,
    clock: Clock,
    expect_versions: Mapping[DocumentKey, int] | None = None,
    codec: SnapshotCodec | None = None,
) -> Result[Accepted, EditError]:
    """Change documents in one transaction, or return why that was not possible.

    ``expect_versions`` maps documents to the version from which they were edited, 0
    for a new one; without it, the version in force when the edit began is expected.
    Documents that are already in force as given make no new version, so applying
    the same documents again is safe.
    """
    edit = _Edit(
        documents=tuple(documents),
        removed=tuple(removed),
        author=author,
        token=new_token(),
        changed_at_s=clock.wall_s(),
        expected=dict(expect_versions or {}),
    )
    match await _apply(platform, edit):
        case Result(tag="ok", ok=(accepted, configuration)):
            if accepted.is_new:
                await _store_snapshot(platform, configuration, codec)
            return Ok(accepted)
        case Result(error=error):
            return Error(error)


async def _apply(
    platform: Platform, edit: _Edit
) -> Result[tuple[Accepted, Configuration], EditError]:
    match await scan_configuration(platform):
        case Result(tag="ok", ok=configuration):
            base = _Base(configuration)
        case Result(error=error):
            return Error(EditUnavailable(error.detail))
    expected = {key: base.version_of(key) for key in edit.document_keys()}
    expected.update(edit.expected)
    for _ in range(EDIT_ATTEMPTS):
        match await _read_base(platform, base.configuration, edit):
            case Result(tag="ok", ok=base):
                pass
            case Result(error=unavailable):
                return Error(EditUnavailable(unavailable.detail))
        match await _attempt(platform, edit, base, expected):
            case Result(tag="ok", ok=accepted):
                return Ok(accepted)
            case Result(
                error=EditConflict()
                | InvalidEdit()
                | EditUnavailable()
                | EditUnknown() as edit_error
            ):
                return Error(edit_error)
    return Error(
        EditUnavailable(f"the head changed during all {EDIT_ATTEMPTS} attempts")
    )


async def _attempt(
    platform: Platform, edit: _Edit, base: _Base, expected: Mapping[DocumentKey, int]
) -> Result[tuple[Accepted, Configuration], EditError | Conflict]:
    """Try to commit on one head version; ``Conflict`` means that the head changed."""
    changed = _changed_keys(edit, base)
    if not changed:
        accepted = Accepted(base.configuration.version, is_new=False)
        return Ok((accepted, base.configuration))
    for key in changed:
        if base.version_of(key) != expected[key]:
            return Error(await _conflict(platform, edit, base, key, expected[key]))
    change = _change(edit, base, changed)
    candidate = apply_change(base.configuration, change)
    findings = check_change(base.configuration, candidate, change)
    if findings:
        return Error(InvalidEdit(findings))
    match await _commit(platform, _transaction(edit, base, change), change):
        case Result(tag="ok"):
            return Ok((_accepted(edit, base, changed), candidate))
        case Result(error=error):
            return Error(error)


async def _commit(
    platform: Platform, transaction: Transaction, change: Change
) -> Result[None, EditUnavailable | EditUnknown | Conflict]:
    match await commit_resolved(platform, transaction):
        case Result(tag="ok"):
            return Ok(None)
        case Result(error=Conflict() as conflict):
            return Error(conflict)
        case Result(error=Unavailable(detail=detail)):
            return Error(EditUnavailable(detail))
        case _:
            return await _read_back(platform, change)


async def _read_back(
    platform: Platform, change: Change
) -> Result[None, EditUnknown | Conflict]:
    """Read the change's row to learn the outcome of a commit without an answer.

    The row is written only once, so another writer's token in it means that this
    commit can no longer take effect.
    """
    key = change_key(change.version)
    match await platform.read([key]):
        case Result(tag="ok", ok=rows) if key in rows:
            is_own = rows[key].token == change.token
            return Ok(None) if is_own else Error(Conflict(key))
        case _:
            return Error(
                EditUnknown(f"no answer to the commit of change {change.version}")
            )


async def _read_base(
    platform: Platform, configuration: Configuration, edit: _Edit
) -> Result[_Base, Unavailable]:
    keys = [HEAD_KEY, *(document_row_key(key) for key in edit.document_keys())]
    match await platform.read(keys):
        case Result(tag="ok", ok=rows):
            head = head_version(rows.get(HEAD_KEY))
        case Result(error=error):
            return Error(error)
    match await catch_up(platform, configuration, head):
        case Result(tag="ok", ok=caught_up) if caught_up.version == head:
            return Ok(_Base(caught_up, rows))
        case Result(tag="ok", ok=caught_up):
            return Error(
                Unavailable(f"stale head version {head}, known {caught_up.version}")
            )
        case Result(error=error):
            return Error(error)


def _changed_keys(edit: _Edit, base: _Base) -> tuple[DocumentKey, ...]:
    return tuple(
        key
        for key in dict.fromkeys(edit.document_keys())
        if base.document(key) != edit.document(key)
    )


def _change(edit: _Edit, base: _Base, changed: Sequence[DocumentKey]) -> Change:
    return Change(
        version=base.configuration.version + 1,
        author=edit.author,
        changed_at_s=edit.changed_at_s,
        token=edit.token,
        documents=tuple(d for d in edit.documents if document_key(d) in changed),
        removed=tuple(key for key in edit.removed if key in changed),
        based_on=tuple(DocumentVersion(key, base.version_of(key)) for key in changed),
    )


def _transaction(edit: _Edit, base: _Base, change: Change) -> Transaction:
    version = change.version
    writes = [Write(HEAD_KEY, Head(version)), Write(change_key(version), change)]
    for document in change.documents:
        row_key = document_row_key(document_key(document))
        writes.append(Write(row_key, DocumentRow(document, version)))
    writes += [Write(document_row_key(key), None) for key in change.removed]
    conditions = [base.condition(write.key) for write in writes]
    return Transaction(tuple(conditions), tuple(writes), edit.token)


def _accepted(edit: _Edit, base: _Base, changed: Sequence[DocumentKey]) -> Accepted:
    changes = tuple(
        DocumentChange(key, diff_documents(base.document(key), edit.document(key)))
        for key in changed
    )
    return Accepted(base.configuration.version + 1, is_new=True, changes=changes)


async def _conflict(
    platform: Platform, edit: _Edit, base: _Base, key: DocumentKey, expected: int
) -> EditConflict:
    current = base.document(key)
    version = base.version_of(key)
    edited_from = await _document_at(platform, DocumentVersion(key, expected))
    return EditConflict(
        key=key,
        expected_version=expected,
        version=version,
        author=await _author_of(platform, version),
        meanwhile=diff_documents(edited_from, current),
        proposed=diff_documents(current, edit.document(key)),
    )


async def _document_at(platform: Platform, version: DocumentVersion) -> Document | None:
    match await read_documents(platform, [version]):
        case Result(tag="ok", ok=documents):
            return documents.get(version)
        case _:
            return None


async def _author_of(platform: Platform, version: int) -> str:
    match await read_changes(platform, after=version - 1, up_to=version):
        case Result(tag="ok", ok=(change,)):
            return change.author
        case _:
            return "unknown"


async def _store_snapshot(
    platform: Platform, configuration: Configuration, codec: SnapshotCodec | None
) -> None:
    """Store a snapshot if one is due.

    A failure is ignored: daemons use a snapshot only to read fewer changes.
    """
    if codec is not None and is_snapshot_due(configuration.version):
        await platform.put_object(SNAPSHOT_OBJECT, codec.encode(configuration))
