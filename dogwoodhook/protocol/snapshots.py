"""Codec of the complete configuration's snapshot in the platform's object store."""

import zlib

from pydantic import TypeAdapter, ValidationError

from dogwoodhook.coordination.rows import DocumentRow
from dogwoodhook.coordination.snapshots import SnapshotError
from dogwoodhook.state.model import Configuration, Revision, document_key

MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024
"""Largest size of a snapshot once it is decompressed."""

_ADAPTER = TypeAdapter(tuple[int, tuple[DocumentRow, ...]])


class JsonSnapshotCodec:
    """``coordination.snapshots.SnapshotCodec`` as compressed JSON.

    >>> codec = JsonSnapshotCodec()
    >>> codec.decode(codec.encode(Configuration(version=3))).version
    3
    """

    def encode(self, configuration: Configuration) -> bytes:
        """Return the configuration as compressed JSON."""
        rows = tuple(
            DocumentRow(revision.document, revision.version)
            for revision in configuration.revisions.values()
        )
        body = _ADAPTER.dump_json((configuration.version, rows), exclude_none=True)
        return zlib.compress(body)

    def decode(self, body: bytes) -> Configuration:
        """Return the configuration, or raise ``SnapshotError``."""
        try:
            text = zlib.decompressobj().decompress(body, MAX_SNAPSHOT_BYTES)
            version, rows = _ADAPTER.validate_json(text)
        except (zlib.error, ValidationError) as error:
            raise SnapshotError(str(error)) from error
        revisions = {
            document_key(row.document): Revision(row.document, row.version)
            for row in rows
        }
        return Configuration(version, revisions)
