"""Snapshots of the complete configuration, in the object store or sent by peers."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from dogwoodhook.coordination.messages import ConfigurationSnapshot
from dogwoodhook.state.model import Configuration, Revision, document_key
from dogwoodhook.state.sizes import document_bytes

_Item = TypeVar("_Item")

SNAPSHOT_OBJECT = "snapshot/latest"

SNAPSHOT_INTERVAL = 64
"""Changes between two snapshots in the object store."""

MESSAGE_BYTES = 256 * 1024
"""Estimated size up to which documents are sent in one message to a peer."""

MAX_CHANGE_BYTES = 768 * 1024
"""Largest estimated size of a change, so that it fits one message to a peer."""


class SnapshotError(ValueError):
    """The bytes of a snapshot cannot be decoded to a configuration."""


class SnapshotCodec(Protocol):
    """Encodes configurations as the bytes of an object, and decodes them."""

    def encode(self, configuration: Configuration) -> bytes:
        """Return the bytes that encode a configuration."""
        ...

    def decode(self, body: bytes) -> Configuration:
        """Return the configuration that bytes encode, or raise ``SnapshotError``."""
        ...


def is_snapshot_due(version: int) -> bool:
    """Return whether the writer of a version stores a snapshot of it.

    The first versions all have one, so that a small fleet has a snapshot from its
    first change on. Later, only one version in ``SNAPSHOT_INTERVAL`` has one, since
    a snapshot of thousands of services is too costly for each of many changes.
    """
    return version < SNAPSHOT_INTERVAL or version % SNAPSHOT_INTERVAL == 0


def snapshot_part(
    configuration: Configuration, *, daemon: str, part: int
) -> ConfigurationSnapshot:
    """Return one part of a configuration, small enough for a message.

    Every daemon splits a version in the same way, so that a peer can collect parts
    from several daemons.
    """
    parts = _split(configuration)
    index = part if part < len(parts) else 0
    return ConfigurationSnapshot(
        daemon=daemon,
        version=configuration.version,
        part=index,
        parts=len(parts),
        revisions=parts[index],
    )


def _split(configuration: Configuration) -> list[tuple[Revision, ...]]:
    keys = sorted(configuration.revisions, key=lambda key: (key.kind, key.name))
    revisions = [configuration.revisions[key] for key in keys]
    sizes = [document_bytes(revision.document) for revision in revisions]
    return split_by_size(revisions, sizes) or [()]


def split_by_size(
    items: Sequence[_Item], sizes: Sequence[int]
) -> list[tuple[_Item, ...]]:
    """Split items into groups of up to ``MESSAGE_BYTES``, or of one larger item.

    >>> split_by_size("abcd", [100_000, 100_000, 100_000, 300_000])
    [('a', 'b'), ('c',), ('d',)]
    """
    groups: list[tuple[_Item, ...]] = []
    group: list[_Item] = []
    group_bytes = 0
    for item, size in zip(items, sizes, strict=True):
        if group and group_bytes + size > MESSAGE_BYTES:
            groups.append(tuple(group))
            group, group_bytes = [], 0
        group.append(item)
        group_bytes += size
    if group:
        groups.append(tuple(group))
    return groups


@dataclass(slots=True)
class SnapshotAssembler:
    """Collects the parts of the highest version that peers send."""

    version: int = 0
    _count: int = 0
    _parts: dict[int, tuple[Revision, ...]] = field(default_factory=dict)

    def add(self, part: ConfigurationSnapshot) -> Configuration | None:
        """Record a part, and return the configuration once it is complete."""
        if part.version < self.version:
            return None
        if (part.version, part.parts) != (self.version, self._count):
            self.clear()
            self.version, self._count = part.version, part.parts
        self._parts[part.part] = part.revisions
        if len(self._parts) < part.parts:
            return None
        revisions = {
            document_key(revision.document): revision
            for members in self._parts.values()
            for revision in members
        }
        self.clear()
        return Configuration(part.version, revisions)

    def next_part(self) -> int:
        """Return the number of the first missing part."""
        return next(part for part in itertools.count() if part not in self._parts)

    def clear(self) -> None:
        """Discard all parts."""
        self.version, self._count, self._parts = 0, 0, {}
