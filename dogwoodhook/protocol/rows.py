"""Rows of the platform's table as JSON values.

The first part of a row's key determines its class. Values from the table are
validated when they are decoded, because rows stay in the table longer than the
version of the program that wrote them is in use.
"""

import base64
import binascii
from dataclasses import replace
from typing import Any

from pydantic import TypeAdapter, ValidationError

from dogwoodhook.coordination.quarantine_row import QuarantineRow
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
    Row,
    StoredAnswer,
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

_ADAPTERS_BY_CLASS = {
    Head: _ADAPTERS[HEAD_KEY],
    Change: _ADAPTERS[CHANGE_PREFIX],
    DocumentRow: _ADAPTERS[DOCUMENT_PREFIX],
    EjectionRow: _ADAPTERS[EJECTION_PREFIX],
    ClaimRow: _ADAPTERS[CLAIM_PREFIX],
    QuarantineRow: _ADAPTERS[QUARANTINE_PREFIX],
}


class RowError(ValueError):
    """A value of the table does not decode as the class that its key determines."""

    def __init__(self, key: str, detail: str) -> None:
        super().__init__(f"row {key!r}: {detail}")
        self.key = key


def encode_row(row: Row) -> Any:
    """Return a row as a JSON value.

    >>> encode_row(Head(version=7))
    {'version': 7}
    """
    adapter = _ADAPTERS_BY_CLASS[type(row)]
    return adapter.dump_python(_body_to_base64(row), mode="json", exclude_none=True)


def decode_row(key: str, value: object) -> Row:
    """Return the row that a JSON value of the table encodes.

    >>> decode_row("head", {"version": 7})
    Head(version=7)
    """
    prefix, separator, _ = key.partition("/")
    adapter = _ADAPTERS.get(prefix + separator)
    if adapter is None:
        allowed = ", ".join(sorted(_ADAPTERS))
        raise RowError(key, f"no such kind of row, allowed: {allowed}")
    try:
        row: Row = adapter.validate_python(value)
        return _body_from_base64(row)
    except (ValidationError, binascii.Error) as error:
        raise RowError(key, str(error)) from error


def _body_to_base64(row: Row) -> Row:
    match row:
        case ClaimRow(answer=StoredAnswer() as answer):
            encoded = replace(answer, body=base64.b64encode(answer.body))
            return replace(row, answer=encoded)
        case _:
            return row


def _body_from_base64(row: Row) -> Row:
    match row:
        case ClaimRow(answer=StoredAnswer() as answer):
            decoded = replace(answer, body=base64.b64decode(answer.body, validate=True))
            return replace(row, answer=decoded)
        case _:
            return row
