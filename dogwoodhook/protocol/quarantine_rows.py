"""Codec of the rows in which a fleet on the users' platform keeps what it has to share
about requests that end targets: quarantines, and claims on runs.
"""

from typing import TypeVar

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from dogwoodhook.coordination.quarantine_row import QuarantineRow
from dogwoodhook.coordination.run_claims import MAX_CLAIM_S, ClaimRow

_QUARANTINE_ADAPTER = TypeAdapter(QuarantineRow)
_CLAIM_ADAPTER = TypeAdapter(ClaimRow)

T = TypeVar("T")


def encode_quarantine_row(row: QuarantineRow) -> bytes:
    """Return a row as JSON."""
    return _QUARANTINE_ADAPTER.dump_json(row)


def decode_quarantine_row(value: bytes) -> Result[QuarantineRow, str]:
    """Return the row, or what is wrong with it.

    >>> row = QuarantineRow("f", "payouts", 1_790_000_000.0, 2)
    >>> decode_quarantine_row(encode_quarantine_row(row)).ok == row
    True
    >>> decode_quarantine_row(b"{}").is_error()
    True
    """
    return _decode(_QUARANTINE_ADAPTER, value)


def encode_claim_row(row: ClaimRow) -> bytes:
    """Return a row as JSON."""
    return _CLAIM_ADAPTER.dump_json(row)


def decode_claim_row(value: bytes) -> Result[ClaimRow, str]:
    """Return the row, or what is wrong with it.

    >>> row = ClaimRow("f", "vm-1", 8.0)
    >>> decode_claim_row(encode_claim_row(row)).ok == row
    True
    >>> decode_claim_row(encode_claim_row(ClaimRow("f", "vm-1", 1e9))).error
    'for_s: needed is a number of 0..600.0'
    """
    decoded = _decode(_CLAIM_ADAPTER, value)
    if decoded.is_ok() and not 0 <= decoded.ok.for_s <= MAX_CLAIM_S:
        return Error(f"for_s: needed is a number of 0..{MAX_CLAIM_S}")
    return decoded


def _decode(adapter: TypeAdapter[T], value: bytes) -> Result[T, str]:
    try:
        return Ok(adapter.validate_json(value))
    except ValidationError as error:
        return Error(str(error))
