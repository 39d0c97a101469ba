"""Workspaces as given in the operator's configuration: their keys and quotas.

A request carries the key of its workspace. Keys are kept as digests, so that neither a
log nor a snapshot of this state contains one, and looked up by digest, so that the time
of a look-up tells nothing about the characters of a key.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is stored and looked up.

    >>> key_digest("a-key") == key_digest("a-key"), key_digest("a-key") == b"a-key"
    (True, False)
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


@dataclass(frozen=True, slots=True)
class WorkspacePolicy:
    """One workspace.

    ``rate_per_s`` and ``burst`` are the quota of all daemons together; a rate of 0
    means that there is none. ``priority`` replaces the priority of the route if it is
    set; 0 is the most urgent.
    """

    name: str
    key_digests: frozenset[bytes]
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None

    @property
    def has_quota(self) -> bool:
        """Return whether the workspace's requests are limited."""
        return self.rate_per_s > 0


@dataclass(frozen=True, slots=True)
class Workspaces:
    """All workspaces of a configuration, by name and by the digest of a key.

    >>> ukara = WorkspacePolicy("ukara", frozenset({key_digest("a-key")}))
    >>> Workspaces.of([ukara]).holder_of("a-key").name
    'ukara'
    >>> Workspaces.of([ukara]).holder_of("another") is None
    True
    """

    by_name: Mapping[str, WorkspacePolicy]
    by_key_digest: Mapping[bytes, WorkspacePolicy]

    @classmethod
    def of(cls, policies: Iterable[WorkspacePolicy]) -> "Workspaces":
        """Return the workspaces; a digest that two of them have belongs to the last."""
        listed = list(policies)
        return cls(
            by_name={each.name: each for each in listed},
            by_key_digest={
                digest: each for each in listed for digest in each.key_digests
            },
        )

    def holder_of(self, key: str) -> WorkspacePolicy | None:
        """Return the workspace that holds a key, or ``None``."""
        return self.by_key_digest.get(key_digest(key))
