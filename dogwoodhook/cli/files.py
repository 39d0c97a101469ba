"""Reads document files; the findings of all of them are returned together."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from expression import Error, Ok, Result

from dogwoodhook.findings import Finding
from dogwoodhook.protocol.documents import parse_document
from dogwoodhook.state.model import ServiceDefinition, Template, document_key


@dataclass(frozen=True, slots=True)
class DocumentFile:
    """A document and the file that it came from."""

    source: str
    document: Template | ServiceDefinition


def read_files(
    paths: Sequence[str],
) -> Result[tuple[DocumentFile, ...], tuple[Finding, ...]]:
    """Return the documents of files, or every finding of every file."""
    files: list[DocumentFile] = []
    findings: list[Finding] = []
    for path in paths:
        match _read_file(path):
            case Result(tag="ok", ok=file):
                findings += _duplicate_findings(file, files)
                files.append(file)
            case Result(error=found):
                findings += found
    return Error(tuple(findings)) if findings else Ok(tuple(files))


def _read_file(path: str) -> Result[DocumentFile, tuple[Finding, ...]]:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        return Error((Finding(path, f"cannot be read: {error.strerror}"),))
    except UnicodeDecodeError as error:
        return Error((Finding(path, f"not UTF-8: {error}"),))
    match parse_document(text, source=path):
        case Result(tag="ok", ok=document):
            return Ok(DocumentFile(path, document))
        case Result(error=findings):
            return Error(findings)


def _duplicate_findings(
    file: DocumentFile, others: Sequence[DocumentFile]
) -> list[Finding]:
    key = document_key(file.document)
    return [
        Finding(file.source, f"{key.kind} {key.name} is also in {other.source}")
        for other in others
        if document_key(other.document) == key
    ]
