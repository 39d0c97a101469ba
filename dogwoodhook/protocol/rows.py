"""Rows of the platform's table as JSON values."""

from typing import Any

from pydantic import TypeAdapter

from dogwoodhook.coordination.rows import (
    CHANGE_PREFIX,
    CLAIM_PREFIX,
    DOCUMENT_PREFIX,
    EJECTION_PREFIX,
    HEAD_KEY,
    QUARANTINE_PREFIX,
    ClaimRow,
    DocumentRow,
    EjectionRow,
    Head,
    QuarantineRow,
    Row,
)
from dogwoodhook.state.model import Change

_ADAPTERS: dict[str, TypeAdapter[Any]] = {
    HEAD_KEY: TypeAdapter(Head),
    CHANGE_PREFIX: TypeAdapter(Change),
    DOCUMENT_PREFIX: TypeAdapter(DocumentRow),
    EJECTION_PREFIX: TypeAdapter(EjectionRow),
    CLAIM_PREFIX: TypeAdapter(ClaimRow),
    QUARANTINE_PREFIX: TypeAdapter(QuarantineRow),
}


def encode_row(row: Row) -> Any:
    """Return a row as a JSON value."""
    return TypeAdapter(type(row)).dump_python(row, mode="json")


def decode_row(key: str, value: Any) -> Row:
    """Return the row that a JSON value holds; its key tells the kind."""
    for prefix, adapter in _ADAPTERS.items():
        if key.startswith(prefix):
            row: Row = adapter.validate_python(value)
            return row
    raise ValueError(f"received key {key!r}, allowed prefixes {', '.join(_ADAPTERS)}")
