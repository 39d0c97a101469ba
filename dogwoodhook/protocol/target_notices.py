"""What a target says of itself in the head of an answer."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from multidict import CIMultiDictProxy

from dogwoodhook.protocol.http_conventions import HttpConventions

MAX_VALUE_LENGTH = 100
"""Characters of a value that are logged."""

_LEAVING_VALUE = "1"
_RETRY_AFTER_HEADER = "Retry-After"
_UNAVAILABLE_STATUS = 503
_SECONDS = re.compile(r"[0-9]{1,12}(?:\.[0-9]{0,12})?|\.[0-9]{1,12}")


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """The target accepts no new requests until another process replaces it."""


@dataclass(frozen=True, slots=True)
class PauseNotice:
    """The target asks to be sent nothing for ``for_s``."""

    for_s: float


@dataclass(frozen=True, slots=True)
class UnreadableNotice:
    """A header has a value that is not defined; it is ignored."""

    header: str
    value: str


TargetNotice = LeavingNotice | PauseNotice | UnreadableNotice


def read_notices(
    status: int, headers: CIMultiDictProxy[str], conventions: HttpConventions
) -> Iterator[TargetNotice]:
    """Return what an answer says of its target."""
    if status == _UNAVAILABLE_STATUS:
        yield from _pause_notices(headers.getall(_RETRY_AFTER_HEADER, []))
    yield from _leaving_notices(
        conventions.leaving_header, headers.getall(conventions.leaving_header, [])
    )


def _leaving_notices(header: str, values: Iterable[str]) -> Iterator[TargetNotice]:
    for value in values:
        if value.strip() == _LEAVING_VALUE:
            yield LeavingNotice()
        else:
            yield UnreadableNotice(header, value[:MAX_VALUE_LENGTH])


def _pause_notices(values: Iterable[str]) -> Iterator[TargetNotice]:
    for value in values:
        text = value.strip()
        if not _SECONDS.fullmatch(text):
            yield UnreadableNotice(_RETRY_AFTER_HEADER, value[:MAX_VALUE_LENGTH])
        elif (for_s := float(text)) > 0:
            yield PauseNotice(for_s)
