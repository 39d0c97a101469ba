"""``template`` and ``service``: apply, show and remove documents."""

from collections.abc import Sequence
from dataclasses import dataclass

from expression import Result

from dogwoodhook.cli.dependencies import Dependencies
from dogwoodhook.cli.edits import Edit, apply_edit
from dogwoodhook.cli.files import read_files
from dogwoodhook.cli.results import (
    CommandResult,
    ExitStatus,
    findings_result,
    refused_result,
    unavailable_result,
)
from dogwoodhook.cli.settings import DocumentSettings, PlatformSettings
from dogwoodhook.coordination.rows import DocumentRow, document_row_key
from dogwoodhook.findings import Finding
from dogwoodhook.protocol.document_text import format_document
from dogwoodhook.state.model import (
    DocumentKey,
    DocumentKind,
    PlannedStop,
    document_key,
)


@dataclass(frozen=True, slots=True)
class DocumentCommands:
    """The commands for one kind of document."""

    kind: DocumentKind

    async def apply(
        self,
        settings: DocumentSettings,
        arguments: Sequence[str],
        dependencies: Dependencies,
    ) -> CommandResult:
        """Put the documents of the files in force, in one change."""
        match read_files(arguments):
            case Result(tag="ok", ok=files):
                pass
            case Result(error=findings):
                return findings_result(findings)
        others = [file for file in files if file.document.kind != self.kind]
        if others:
            return findings_result(
                [
                    Finding(
                        other.source,
                        f"received a {other.document.kind}, allowed: a {self.kind}",
                    )
                    for other in others
                ]
            )
        documents = [file.document for file in files]
        keys = [document_key(document) for document in documents]
        if settings.expect_version is not None and len(keys) > 1:
            message = f"received {len(keys)} files, allowed with this flag: 1"
            return findings_result([Finding("--expect_version", message)])
        expected = _expected_versions(settings, keys)
        edit = Edit(documents, expect_versions=expected)
        return await apply_edit(settings, edit, dependencies)

    async def remove(
        self,
        settings: DocumentSettings,
        arguments: Sequence[str],
        dependencies: Dependencies,
    ) -> CommandResult:
        """Remove a document; succeed also if it does not exist."""
        key = DocumentKey(self.kind, arguments[0])
        expected = _expected_versions(settings, [key])
        edit = Edit(removed=[key], expect_versions=expected)
        return await apply_edit(settings, edit, dependencies)

    async def show(
        self,
        settings: PlatformSettings,
        arguments: Sequence[str],
        dependencies: Dependencies,
    ) -> CommandResult:
        """Return a document as TOML, with its version for ``--expect_version``."""
        key = document_row_key(DocumentKey(self.kind, arguments[0]))
        url, timeout_s = settings.platform_url, settings.platform_timeout_s
        async with dependencies.open_platform(url, timeout_s) as platform:
            result = await platform.read([key])
        match result:
            case Result(tag="ok", ok=rows):
                row = rows[key].value if key in rows else None
            case Result(error=error):
                return unavailable_result(error.detail)
        if not isinstance(row, DocumentRow) or isinstance(row.document, PlannedStop):
            return refused_result(f"there is no {self.kind} {arguments[0]!r}")
        text = f"# version {row.version}\n{format_document(row.document)}"
        return CommandResult(ExitStatus.OK, text.rstrip("\n"), row)


def _expected_versions(
    settings: DocumentSettings, keys: Sequence[DocumentKey]
) -> dict[DocumentKey, int]:
    if settings.expect_version is None:
        return {}
    return dict.fromkeys(keys, settings.expect_version)
