"""An in-memory platform with faults, for tests and the stand-in server."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from dogwoodhook.coordination.platform import (
    ABSENT_VERSION,
    CommitError,
    Committed,
    Conflict,
    OutcomeUnknown,
    StoredRow,
    Transaction,
    Unavailable,
    Vm,
)


@dataclass(slots=True)
class MemoryTable:
    """Rows with table-wide commit versions; transactions are serializable."""

    rows: dict[str, StoredRow] = field(default_factory=dict)
    version: int = 0

    def read(self, keys: Sequence[str]) -> dict[str, StoredRow]:
        """Return those rows of the keys that exist."""
        return {key: self.rows[key] for key in keys if key in self.rows}

    def scan(self, prefix: str, after: str, limit: int) -> tuple[StoredRow, ...]:
        """Return the rows whose keys have a prefix, in key order."""
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return tuple(self.rows[key] for key in keys[:limit])

    def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Apply a transaction if every condition holds."""
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            version = row.version if row else ABSENT_VERSION
            if version != condition.version:
                return Error(Conflict(condition.key))
        self.version += 1
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                continue
            self.rows[write.key] = StoredRow(
                write.key, write.value, self.version, transaction.token
            )
        return Ok(Committed(self.version))


@dataclass(slots=True)
class MemoryPlatform:
    """``coordination.platform.Platform`` in memory.

    With ``is_down``, every call is refused; with ``refuses_objects``, only calls of
    the object store. The counts state how many of the next commits have a fault:
    ``lost_answers`` are applied, but their answer is lost; ``lost_requests`` are
    dropped before they take effect; ``forced_conflicts`` are refused as conflicts;
    ``delayed_commits`` are held back without an answer until ``apply_delayed`` applies
    them to the table.
    """

    table: MemoryTable = field(default_factory=MemoryTable)
    objects: dict[str, bytes] = field(default_factory=dict)
    vms: tuple[Vm, ...] = ()
    is_down: bool = False
    lost_answers: int = 0
    lost_requests: int = 0
    forced_conflicts: int = 0
    refuses_objects: bool = False
    delayed_commits: int = 0
    delayed: list[Transaction] = field(default_factory=list)

    def apply_delayed(self) -> None:
        """Apply the delayed commits whose conditions still hold."""
        held, self.delayed = self.delayed, []
        for transaction in held:
            self.table.commit(transaction)

    async def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, StoredRow], Unavailable]:
        """Read the rows of the keys as of one point in time."""
        if self.is_down:
            return Error(Unavailable("the table is down"))
        return Ok(self.table.read(keys))

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[tuple[StoredRow, ...], Unavailable]:
        """Read the rows whose keys have a prefix, in key order."""
        if self.is_down:
            return Error(Unavailable("the table is down"))
        return Ok(self.table.scan(prefix, after, limit))

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Apply a transaction, subject to the faults that are set."""
        if self.is_down:
            return Error(Unavailable("the table is down"))
        if self.lost_requests > 0:
            self.lost_requests -= 1
            return Error(OutcomeUnknown("no answer"))
        if self.delayed_commits > 0:
            self.delayed_commits -= 1
            self.delayed.append(transaction)
            return Error(OutcomeUnknown("no answer"))
        if self.forced_conflicts > 0 and transaction.conditions:
            self.forced_conflicts -= 1
            return Error(Conflict(transaction.conditions[0].key))
        result = self.table.commit(transaction)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return Error(OutcomeUnknown("no answer"))
        return result

    async def get_object(self, name: str) -> Result[bytes | None, Unavailable]:
        """Read an object."""
        if self.is_down or self.refuses_objects:
            return Error(Unavailable("the object store is down"))
        return Ok(self.objects.get(name))

    async def put_object(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Store an object."""
        if self.is_down or self.refuses_objects:
            return Error(Unavailable("the object store is down"))
        self.objects[name] = body
        return Ok(None)

    async def list_vms(self) -> Result[tuple[Vm, ...], Unavailable]:
        """Read the VM list."""
        if self.is_down:
            return Error(Unavailable("the VM list is down"))
        return Ok(self.vms)
