"""What a daemon writes again when the store comes back from a copy of its rows.

The copy lacks what was written shortly before. Nobody else knows the daemons' own rows,
the fleet's key and the quarantines, so the daemons write them again, spread over time.
Rows that were written long before are in the copy, and cost no call.
"""

from dataclasses import dataclass

MAX_COPY_AGE_S = 30.0
"""Time before a return within which a row may be missing in the copy: more than the
age of any copy, which is some seconds."""

SPREAD_S = 2.0
"""Time after a return over which the daemons' writes are spread."""

KEY_READ_DELAY_S = 3.0
"""Time after a return at which the other daemons read the key: after those that write
it have done so."""

WRITER_RANKS = 2
"""Daemons of the first ranks that write again what all daemons know."""


@dataclass(frozen=True, slots=True)
class Restoring:
    """Delays after a return in seconds, ``None`` for what is not needed.

    The key is created after the own row was written, unless it exists.
    """

    row_delay_s: float | None = None
    creates_key: bool = False
    key_read_delay_s: float | None = None
    quarantines_delay_s: float | None = None


def restoring_after_return(
    *, row_age_s: float, key_age_s: float, rank: int, chosen: float
) -> Restoring:
    """Return what a daemon does after a return, at a moment that it noticed.

    ``row_age_s`` and ``key_age_s`` are the times since it wrote its row, and since it
    learned or created the key. ``chosen`` is a random number from 0 to 1.

    >>> restoring_after_return(row_age_s=9.0, key_age_s=9.0, rank=7, chosen=0.5)
    ... # doctest: +NORMALIZE_WHITESPACE
    Restoring(row_delay_s=1.0, creates_key=False, key_read_delay_s=3.0,
        quarantines_delay_s=None)
    >>> restoring_after_return(row_age_s=99.0, key_age_s=99.0, rank=7, chosen=0.5)
    ... # doctest: +NORMALIZE_WHITESPACE
    Restoring(row_delay_s=None, creates_key=False, key_read_delay_s=None,
        quarantines_delay_s=None)
    """
    delay_s = chosen * SPREAD_S
    is_writer = rank < WRITER_RANKS
    may_lack_key = may_be_missing(key_age_s)
    return Restoring(
        row_delay_s=delay_s if may_be_missing(row_age_s) else None,
        creates_key=is_writer and may_lack_key,
        key_read_delay_s=KEY_READ_DELAY_S if may_lack_key and not is_writer else None,
        quarantines_delay_s=delay_s if is_writer else None,
    )


def may_be_missing(age_s: float) -> bool:
    """Return whether a copy may lack what was written this long before the return.

    >>> may_be_missing(8.0), may_be_missing(30.0)
    (True, False)
    """
    return age_s < MAX_COPY_AGE_S
