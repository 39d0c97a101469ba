"""The platform as the daemon sees it.

One narrow interface, so that a real client replaces the stand-in's in one file.
Reads and commits are linearizable and serializable. Every call has a deadline.
A commit carries a unique token that the table keeps with each row it writes;
``commit_resolved`` uses it to settle an answer lost after the write.
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
    """A row as read; ``version`` is a table-wide commit number, ``token`` its writer's.

    A row that was deleted and written again gets a higher version.
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
    """A version that a row must still have; ``ABSENT_VERSION`` for no row."""

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
    """No answer came; the writes may have taken effect, now or later."""

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
    listener. ``role`` tells the two apart.
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
        """Read rows at one moment; absent rows are left out."""
        ...

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[tuple[StoredRow, ...], Unavailable]:
        """Read rows below a prefix, in key order, from behind a key."""
        ...

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Apply a transaction whole or not at all."""
        ...

    async def get_object(self, name: str) -> Result[bytes | None, Unavailable]:
        """Read an object; ``None`` where there is none."""
        ...

    async def put_object(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Store an object."""
        ...

    async def list_vms(self) -> Result[tuple[Vm, ...], Unavailable]:
        """Read the list of live and leaving VMs, which lags."""
        ...


def new_token() -> str:
    """Return a token that no other commit carries."""
    return secrets.token_hex(12)


async def commit_resolved(
    platform: Platform, transaction: Transaction
) -> Result[Committed, CommitError]:
    """Commit, and settle a lost answer by sending the transaction again.

    The transaction must be conditional on every row it writes: then a second
    sending either takes effect for the first time, or meets the conflict that
    the first one made, which the token reveals. ``OutcomeUnknown`` is returned
    only where no attempt was answered.
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
