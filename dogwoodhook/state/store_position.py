"""Positions in the store's history: a version within an era.

The store's versions rise with each write. If it comes back from a copy, it begins a new
era, and versions that it had given out since the copy are given out again. So versions
are compared only within an era, and each position of a newer era comes after all
positions of older ones.

A position is a single integer with the era in its high bits, so that positions are
ordered, compared and sent like versions. Those of era 0 are the versions themselves.
"""

VERSION_BITS = 48
"""Bits of the version: enough for 8,900 years of 1,000 writes a second."""


def position_of(era: int, version: int) -> int:
    """Return the position of a version in an era.

    >>> position_of(0, 7)
    7
    >>> position_of(3, 7) > position_of(2, 9_000)
    True
    """
    return (era << VERSION_BITS) | version


def era_of(position: int) -> int:
    """Return the era of a position.

    >>> era_of(position_of(3, 7)), era_of(7)
    (3, 0)
    """
    return position >> VERSION_BITS


def version_of(position: int) -> int:
    """Return the version of a position within its era.

    >>> version_of(position_of(3, 7))
    7
    """
    return position & ((1 << VERSION_BITS) - 1)


def describe(position: int) -> str:
    """Return a position for logs.

    >>> describe(position_of(3, 7)), describe(7)
    ('3/7', '7')
    """
    era = era_of(position)
    return f"{era}/{version_of(position)}" if era else str(position)
