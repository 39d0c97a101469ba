"""Interface of the daemon to the platform.

It is narrow, so that only one file changes when a real client replaces the client
of the stand-in platform. Reads and commits are linearizable and serializable. Every
call has a deadline. A commit carries a unique token that the table stores with each
row it writes; ``commit_resolved`` uses it to learn the outcome of a commit whose
answer was lost.
"""

import secrets
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from expression import Error, Ok, Result

from dogwoodhook.coordination.rows import Row

ABSENT_VERSION = 0
"""Version of a row that does not exist; real versions start at 1."""

COMMIT_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as read.

    ``version`` is the table-wide number of the commit that wrote the row, and
    ``token`` is the token of that commit. A row that was deleted and written again
    gets a higher version.
    """

    key: str
    value: Row
    version: int
    token: str


@dataclass(frozen=True, slots=True)
class Write:
    """A row to store, or to delete where ``value`` is ``None``."""

    key: str
    value: Row | None


@dataclass(frozen=True, slots=True)
class Condition:
    """A version that a row must still have; ``ABSENT_VERSION`` if it must not exist."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together, if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    token: str


@dataclass(frozen=True, slots=True)
class Committed:
    """The writes took effect, at this table-wide version."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing was written."""

    key: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform refused or could not be reached; nothing was written."""

    detail: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """No answer arrived; the writes may have taken effect, or may do so later."""

    detail: str


CommitError = Conflict | Unavailable | OutcomeUnknown


class VmPhase(StrEnum):
    """Phase of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM of the platform's list.

    ``address`` is ``host:port``: a daemon's peer listener, or a target's
    listener. ``role`` says which of the two it is.
    """

    name: str
    role: str
    address: str
    data_centre: str
    phase: VmPhase


class Platform(Protocol):
    """The platform's table, object store and VM list."""

    async def read(
        self, keys: Sequence[str]
    ) -> Result[Mapping[str, StoredRow], Unavailable]:
        """Read rows, all as of one moment; absent rows are left out."""
        ...

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[tuple[StoredRow, ...], Unavailable]:
        """Read rows whose keys have a prefix and follow ``after``, in key order."""
        ...

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Apply a transaction atomically."""
        ...

    async def get_object(self, name: str) -> Result[bytes | None, Unavailable]:
        """Read an object; ``None`` if it does not exist."""
        ...

    async def put_object(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Store an object."""
        ...

    async def list_vms(self) -> Result[tuple[Vm, ...], Unavailable]:
        """Read the list of live and leaving VMs, which may be out of date."""
        ...


def new_token() -> str:
    """Return a token that no other commit carries."""
    return secrets.token_hex(12)


async def commit_resolved(
    platform: Platform, transaction: Transaction
) -> Result[Committed, CommitError]:
    """Commit, and retry after a lost answer to learn the outcome.

    The transaction must be conditional on every row it writes. Then a retry either
    takes effect for the first time, or fails with a conflict that the first attempt
    caused, which is recognised by its token in the rows. ``OutcomeUnknown`` is
    returned only if neither an attempt nor a read of the rows showed the outcome.
    """
    was_unanswered = False
    result: Result[Committed, CommitError] = Error(Unavailable("not attempted"))
    for _ in range(COMMIT_ATTEMPTS):
        result = await platform.commit(transaction)
        match result:
            case Result(tag="ok"):
                return result
            case Result(tag="error", error=Conflict()) if was_unanswered:
                return await _find_own_commit(platform, transaction, result)
            case Result(tag="error", error=OutcomeUnknown()):
                was_unanswered = True
            case Result(tag="error", error=Unavailable()) if was_unanswered:
                continue
            case _:
                return result
    if was_unanswered:
        return Error(OutcomeUnknown("no attempt was answered"))
    return result


async def _find_own_commit(
    platform: Platform,
    transaction: Transaction,
    conflict: Result[Committed, CommitError],
) -> Result[Committed, CommitError]:
    written = [write.key for write in transaction.writes if write.value is not None]
    match await platform.read(written):
        case Result(tag="ok", ok=rows):
            for row in rows.values():
                if row.token == transaction.token:
                    return Ok(Committed(row.version))
            return conflict
        case _:
            return Error(OutcomeUnknown("the table could not be read back"))
