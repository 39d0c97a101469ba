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
    return _SEPARATOR.sub("-", name.lower())


class WorkspaceHeaders:
    """Removes the key and the name of a workspace that a caller has sent."""

    def __init__(self, conventions: HttpConventions) -> None:
        self._dropped = frozenset(
            canonical_name(name)
            for name in (conventions.key_header, conventions.workspace_header)
        )
        # All spellings of a name have the same length.
        self._lengths = frozenset(map(len, self._dropped))

    def drop(self, headers: CIMultiDict[str]) -> None:
        """Remove both headers in all spellings."""
        suspects = {name for name in headers if len(name) in self._lengths}
        for name in suspects:
            if canonical_name(name) in self._dropped:
                headers.popall(name, None)
