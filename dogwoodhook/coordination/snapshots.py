"""Whole configurations outside the table: from the object store, and from peers."""

from dataclasses import dataclass, field
from typing import Protocol

from dogwoodhook.coordination.messages import ConfigurationSnapshot
from dogwoodhook.state.model import Configuration, Revision, document_key

SNAPSHOT_OBJECT = "snapshot/latest"

SNAPSHOT_INTERVAL = 64
"""Changes between two snapshots in the object store."""

SNAPSHOT_PART_DOCUMENTS = 64
"""Documents in one part of a snapshot sent to a peer."""


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


def split_configuration(
    configuration: Configuration, daemon: str
) -> tuple[ConfigurationSnapshot, ...]:
    """Return a configuration in parts small enough for one message each."""
    revisions = tuple(configuration.revisions.values())
    starts = range(0, max(len(revisions), 1), SNAPSHOT_PART_DOCUMENTS)
    return tuple(
        ConfigurationSnapshot(
            daemon=daemon,
            version=configuration.version,
            part=part,
            parts=len(starts),
            revisions=revisions[start : start + SNAPSHOT_PART_DOCUMENTS],
        )
        for part, start in enumerate(starts)
    )


@dataclass(slots=True)
class SnapshotAssembler:
    """Collects the parts of one snapshot, the newest that a peer sends."""

    _origin: tuple[str, int, int] = ("", 0, 0)
    _parts: dict[int, tuple[Revision, ...]] = field(default_factory=dict)

    def add(self, part: ConfigurationSnapshot) -> Configuration | None:
        """Take in a part; return the configuration once it is whole."""
        origin = (part.daemon, part.version, part.parts)
        if origin != self._origin:
            if part.version < self._origin[1]:
                return None
            self._origin = origin
            self._parts = {}
        self._parts[part.part] = part.revisions
        if len(self._parts) < part.parts:
            return None
        revisions = {
            document_key(revision.document): revision
            for members in self._parts.values()
            for revision in members
        }
        self._origin, self._parts = ("", 0, 0), {}
        return Configuration(part.version, revisions)
