"""Applies an edit and returns its result; shared by the commands that edit."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from expression import Result

from dogwoodhook.cli.dependencies import Dependencies
from dogwoodhook.cli.results import (
    CommandResult,
    ExitStatus,
    Failure,
    findings_result,
    unavailable_result,
)
from dogwoodhook.cli.settings import EditSettings
from dogwoodhook.cli.version_wait import VersionWait, WaitResult
from dogwoodhook.coordination.editing import (
    Accepted,
    EditConflict,
    EditError,
    EditUnavailable,
    EditUnknown,
    InvalidEdit,
    apply_documents,
)
from dogwoodhook.coordination.platform import Platform
from dogwoodhook.protocol.snapshots import JsonSnapshotCodec
from dogwoodhook.state.model import Document, DocumentKey


@dataclass(frozen=True, slots=True)
class Edit:
    """Documents to write and to remove, and the versions that they must have."""

    documents: Sequence[Document] = ()
    removed: Sequence[DocumentKey] = ()
    expect_versions: Mapping[DocumentKey, int] | None = None


@dataclass(frozen=True, slots=True)
class AcceptedReport:
    """An accepted edit, as data; ``waited`` is set with ``--wait``."""

    accepted: Accepted
    waited: WaitResult | None = None
    result: str = "accepted"


@dataclass(frozen=True, slots=True)
class ConflictReport:
    """An edit refused because a document has changed meanwhile, as data."""

    conflict: EditConflict
    result: str = "conflict"


async def apply_edit(
    settings: EditSettings, edit: Edit, dependencies: Dependencies
) -> CommandResult:
    """Apply an edit; with ``--wait``, wait until it is in force on the daemons."""
    url, timeout_s = settings.platform_url, settings.platform_timeout_s
    async with dependencies.open_platform(url, timeout_s) as platform:
        result = await apply_documents(
            platform,
            edit.documents,
            edit.removed,
            author=settings.author,
            clock=dependencies.clock,
            expect_versions=edit.expect_versions,
            codec=JsonSnapshotCodec(),
        )
        match result:
            case Result(tag="ok", ok=accepted):
                waited = await _wait(settings, accepted, platform, dependencies)
                return _accepted_result(accepted, waited)
            case Result(error=error):
                return _error_result(error)


async def _wait(
    settings: EditSettings,
    accepted: Accepted,
    platform: Platform,
    dependencies: Dependencies,
) -> WaitResult | None:
    if not settings.wait:
        return None
    async with dependencies.open_admin_client() as admin:
        version_wait = VersionWait(platform, admin, dependencies.clock)
        return await version_wait.wait(
            accepted.version, timeout_s=settings.wait_timeout_s
        )


def _accepted_result(accepted: Accepted, waited: WaitResult | None) -> CommandResult:
    lines = _accepted_lines(accepted)
    status = ExitStatus.OK
    if waited is not None:
        lines += _waited_lines(waited)
        status = ExitStatus.WAIT_TIMED_OUT if waited.missing else ExitStatus.OK
    return CommandResult(status, "\n".join(lines), AcceptedReport(accepted, waited))


def _accepted_lines(accepted: Accepted) -> list[str]:
    if not accepted.is_new:
        return [f"already in force; the configuration is at version {accepted.version}"]
    lines = [f"accepted as version {accepted.version}"]
    for document in accepted.changes:
        lines.append(f"{document.key.kind} {document.key.name}")
        lines += [f"  {change}" for change in document.changes]
    return lines


def _waited_lines(waited: WaitResult) -> list[str]:
    count = len(waited.in_force)
    lines = [
        f"version {waited.version} or later is in force on {count} daemons"
        f" after {waited.elapsed_s:.1f} s"
    ]
    return lines + [f"not in force on {each}" for each in waited.missing]


def _error_result(error: EditError) -> CommandResult:
    match error:
        case EditConflict():
            text = "\n".join(_conflict_lines(error))
            return CommandResult(ExitStatus.REFUSED, text, ConflictReport(error))
        case InvalidEdit(findings=findings):
            return findings_result(findings)
        case EditUnavailable(detail=detail):
            return unavailable_result(detail)
        case EditUnknown(detail=detail):
            text = (
                f"outcome unknown: {detail}; the change may be in force."
                " Run the same command again: it makes no second change."
            )
            return CommandResult(ExitStatus.UNKNOWN, text, Failure("unknown", detail))


def _conflict_lines(conflict: EditConflict) -> list[str]:
    key = conflict.key
    lines = [
        f"conflict: {key.kind} {key.name} is at version {conflict.version},"
        f" and the edit is based on version {conflict.expected_version}",
        f"changed meanwhile, last by {conflict.author}:",
    ]
    lines += [f"  {change}" for change in conflict.meanwhile]
    lines.append("this edit would now change:")
    return lines + [f"  {change}" for change in conflict.proposed]
