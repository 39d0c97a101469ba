"""Whole configurations outside the table: from the object store, and from peers."""

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
"""Estimated size up to which documents share a message to a peer."""

MAX_CHANGE_BYTES = 768 * 1024
"""Largest estimated size of a change, so that it fits a message to a peer."""


class SnapshotError(ValueError):
    """The bytes of a snapshot do not stand for a configuration."""


class SnapshotCodec(Protocol):
    """Turns a configuration into an object's bytes and back."""

    def encode(self, configuration: Configuration) -> bytes:
        """Return the bytes that stand for a configuration."""
        ...

    def decode(self, body: bytes) -> Configuration:
        """Return the configuration; raises ``SnapshotError``."""
        ...


def is_snapshot_due(version: int) -> bool:
    """Tell whether the writer of a version stores a snapshot.

    A small fleet has one from its first change on. Where changes are many, a
    snapshot of thousands of services is not worth its cost for each of them.
    """
    return version < SNAPSHOT_INTERVAL or version % SNAPSHOT_INTERVAL == 0


def snapshot_part(
    configuration: Configuration, *, daemon: str, part: int
) -> ConfigurationSnapshot:
    """Return one part of a configuration, small enough for a message.

    All daemons cut a version alike, so that a peer can collect parts from several.
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
    """Cut items into runs of up to ``MESSAGE_BYTES``, or of one larger item.

    >>> split_by_size("abcd", [100_000, 100_000, 100_000, 300_000])
    [('a', 'b'), ('c',), ('d',)]
    """
    runs: list[tuple[_Item, ...]] = []
    run: list[_Item] = []
    run_bytes = 0
    for item, size in zip(items, sizes, strict=True):
        if run and run_bytes + size > MESSAGE_BYTES:
            runs.append(tuple(run))
            run, run_bytes = [], 0
        run.append(item)
        run_bytes += size
    if run:
        runs.append(tuple(run))
    return runs


@dataclass(slots=True)
class SnapshotAssembler:
    """Collects the parts of one version, the highest that peers send."""

    version: int = 0
    _count: int = 0
    _parts: dict[int, tuple[Revision, ...]] = field(default_factory=dict)

    def add(self, part: ConfigurationSnapshot) -> Configuration | None:
        """Take in a part; return the configuration once it is whole."""
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
        """Return the first part that is missing."""
        return next(part for part in itertools.count() if part not in self._parts)

    def clear(self) -> None:
        """Forget every part."""
        self.version, self._count, self._parts = 0, 0, {}
