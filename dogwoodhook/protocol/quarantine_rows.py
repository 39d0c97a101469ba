"""Codec of the rows in which a fleet on the users' platform keeps what it has to share
about requests that end targets: suspects, quarantines, and claims on runs.
"""

import math
from typing import TypeVar

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from dogwoodhook.coordination.quarantine_row import QuarantineRow
from dogwoodhook.coordination.run_claims import MAX_CLAIM_S, ClaimRow
from dogwoodhook.coordination.suspect_row import SuspectRecord, SuspectRow
from dogwoodhook.state.quarantine import MAX_CALLERS_KEPT, MAX_CRASHES_KEPT
from dogwoodhook.state.stored_suspects import MAX_SUSPECTS

_QUARANTINE_ADAPTER = TypeAdapter(QuarantineRow)
_CLAIM_ADAPTER = TypeAdapter(ClaimRow)
_SUSPECT_ADAPTER = TypeAdapter(SuspectRow)

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


def encode_suspect_row(row: SuspectRow) -> bytes:
    """Return a row as JSON."""
    return _SUSPECT_ADAPTER.dump_json(row)


def decode_suspect_row(value: bytes) -> Result[SuspectRow, str]:
    """Return the row, or what is wrong with it.

    >>> from dogwoodhook.state.quarantine import Crash
    >>> suspect = SuspectRecord("f", "payouts", (Crash("t1", "vm-1", 0.3),))
    >>> row = SuspectRow(1_790_000_000.0, (suspect,))
    >>> decode_suspect_row(encode_suspect_row(row)).ok == row
    True
    >>> decode_suspect_row(encode_suspect_row(SuspectRow(0.0, 9 * (suspect,)))).error
    'suspects: 9, at most 4 are stored'
    """
    decoded = _decode(_SUSPECT_ADAPTER, value)
    if decoded.is_error():
        return decoded
    suspects = decoded.ok.suspects
    if len(suspects) > MAX_SUSPECTS:
        return Error(f"suspects: {len(suspects)}, at most {MAX_SUSPECTS} are stored")
    problem = next(filter(None, map(_problem, suspects)), "")
    return Error(problem) if problem else decoded


def _problem(suspect: SuspectRecord) -> str:
    """Return what is wrong with a stored suspect, an empty text if nothing is."""
    if not 1 <= len(suspect.crashes) <= MAX_CRASHES_KEPT:
        return f"crashes: needed are 1..{MAX_CRASHES_KEPT}"
    if len(suspect.callers) > MAX_CALLERS_KEPT:
        return f"callers: at most {MAX_CALLERS_KEPT} are stored"
    if not all(0 <= each.age_s < math.inf for each in suspect.crashes):
        return "crashes: needed are ages of 0 or more"
    return ""


def _decode(adapter: TypeAdapter[T], value: bytes) -> Result[T, str]:
    try:
        return Ok(adapter.validate_json(value))
    except ValidationError as error:
        return Error(str(error))
