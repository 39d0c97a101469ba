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
class LeavingAnnouncement:
    """The target accepts no new requests until another process replaces it."""


@dataclass(frozen=True, slots=True)
class PauseAnnouncement:
    """The target asks to be sent nothing for ``for_s``."""

    for_s: float


@dataclass(frozen=True, slots=True)
class UnreadableAnnouncement:
    """A header has a value that is not defined; it is ignored."""

    header: str
    value: str


TargetAnnouncement = LeavingAnnouncement | PauseAnnouncement | UnreadableAnnouncement


def read_announcements(
    status: int, headers: CIMultiDictProxy[str], conventions: HttpConventions
) -> Iterator[TargetAnnouncement]:
    """Return what an answer says of its target."""
    if status == _UNAVAILABLE_STATUS:
        yield from _pause_announcements(headers.getall(_RETRY_AFTER_HEADER, []))
    yield from _leaving_announcements(
        conventions.leaving_header, headers.getall(conventions.leaving_header, [])
    )


def _leaving_announcements(
    header: str, values: Iterable[str]
) -> Iterator[TargetAnnouncement]:
    for value in values:
        if value.strip() == _LEAVING_VALUE:
            yield LeavingAnnouncement()
        else:
            yield UnreadableAnnouncement(header, value[:MAX_VALUE_LENGTH])


def _pause_announcements(values: Iterable[str]) -> Iterator[TargetAnnouncement]:
    for value in values:
        text = value.strip()
        if not _SECONDS.fullmatch(text):
            yield UnreadableAnnouncement(_RETRY_AFTER_HEADER, value[:MAX_VALUE_LENGTH])
        elif (for_s := float(text)) > 0:
            yield PauseAnnouncement(for_s)
