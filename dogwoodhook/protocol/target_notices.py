"""What a target says of itself in the head of an answer."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from multidict import CIMultiDictProxy

from dogwoodhook.protocol.http_conventions import HttpConventions

MAX_VALUE_LENGTH = 100
"""Characters of a value that are logged."""

_LEAVING_VALUE = "1"


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """The target accepts no new requests until another process replaces it."""


@dataclass(frozen=True, slots=True)
class UnreadableNotice:
    """A header has a value that is not defined; it is ignored."""

    header: str
    value: str


TargetNotice = LeavingNotice | UnreadableNotice


def read_notices(
    headers: CIMultiDictProxy[str], conventions: HttpConventions
) -> Iterator[TargetNotice]:
    """Return what an answer says of its target."""
    yield from _leaving_notices(
        conventions.leaving_header, headers.getall(conventions.leaving_header, [])
    )


def _leaving_notices(header: str, values: Iterable[str]) -> Iterator[TargetNotice]:
    for value in values:
        if value.strip() == _LEAVING_VALUE:
            yield LeavingNotice()
        else:
            yield UnreadableNotice(header, value[:MAX_VALUE_LENGTH])
