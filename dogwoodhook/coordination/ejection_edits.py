"""Edits of an ejection row.

Entries keep their order for as long as they exist, whatever their phase: the
order decides which ejections the floor allows, and a daemon that reads a later
row must not start to act on an entry while others still act on those before it.
"""

from collections.abc import Collection
from dataclasses import replace

from dogwoodhook.coordination.rows import EjectionEntry, EjectionPhase, EjectionRow


def find_entry(row: EjectionRow, target: str) -> EjectionEntry | None:
    """Return a target's entry."""
    return next((entry for entry in row.entries if entry.target == target), None)


def eject(row: EjectionRow, target: str, *, reason: str, relapses: int) -> EjectionRow:
    """Return the row with a target ejected, in its releasing entry or at the end."""
    sequence = row.sequence + 1
    known = find_entry(row, target)
    if known is None:
        entry = EjectionEntry(target, EjectionPhase.EJECTED, sequence, reason, relapses)
        return replace(row, sequence=sequence, entries=(*row.entries, entry))
    entry = replace(
        known,
        phase=EjectionPhase.EJECTED,
        sequence=sequence,
        reason=reason,
        relapses=max(relapses, known.relapses + 1),
    )
    entries = tuple(entry if each is known else each for each in row.entries)
    return replace(row, sequence=sequence, entries=entries)


def release_and_drop(
    row: EjectionRow, *, released: Collection[str] = (), dropped: Collection[str] = ()
) -> EjectionRow:
    """Return the row with some targets releasing and some releasing entries removed."""
    sequence = row.sequence + 1
    entries = tuple(
        replace(entry, phase=EjectionPhase.RELEASING, sequence=sequence)
        if entry.target in released and entry.phase is EjectionPhase.EJECTED
        else entry
        for entry in row.entries
        if entry.target not in dropped or entry.phase is EjectionPhase.EJECTED
    )
    return replace(row, sequence=sequence, entries=entries)
