"""The headers by which callers and targets name a workspace.

A caller names it by a key, a target is told its name. Many servers treat other
characters in a header's name like the hyphen, so a caller could pass a name of its own
choice in a header that is spelled differently. All such spellings are dropped.
"""

import re

from multidict import CIMultiDict

from dogwoodhook.protocol.http_conventions import HttpConventions

_SEPARATOR = re.compile(r"[^0-9a-z]")


def canonical_name(name: str) -> str:
    """Return what all spellings of a header's name have in common.

    >>> canonical_name("X_Own.Header") == canonical_name("x-own-header")
    True
    """
    return _SEPARATOR.sub("-", name.strip().lower())


def drop_workspace_headers(
    headers: CIMultiDict[str], conventions: HttpConventions
) -> None:
    """Remove the key and the name of a workspace that a caller has sent."""
    dropped = {
        canonical_name(conventions.key_header),
        canonical_name(conventions.workspace_header),
    }
    for name in {name for name in headers if canonical_name(name) in dropped}:
        headers.popall(name, None)
