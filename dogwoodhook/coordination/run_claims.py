"""Claims in the store on the runs of suspect requests, one run at a time.

A claim is a row that is written only if it still has the version that the writer knows,
so of several daemons one gets it. It ends when its holder writes that the run is over.
A holder that is gone cannot do that, so a claim also ends for a daemon that has itself
seen the same version of its row for as long as the run may take.
"""

from collections.abc import Callable
from dataclasses import dataclass
from zlib import crc32

from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.store import (
    RowConflict,
    Store,
    StoreRow,
    StoreUnavailable,
    Table,
)
from dogwoodhook.events import DAEMON_ROW_REFUSED, log

CLAIM_ROW_PREFIX = "run/"

MAX_ROWS = 64
"""Rows in the store; requests that share one run one after the other."""

MAX_CLAIM_S = 600.0
"""Longest time for which a row may claim a run; longer than any route's timeout."""

MAX_WRITES = 3
"""Writes of one claim: a row may change between them."""

PROBLEM_LENGTH = 200
"""Characters of a row's problem that are logged."""


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """A request that a daemon runs for ``for_s`` at most.

    Once ``is_over``, others may be run, and for a daemon that knows of fewer than
    ``quarantines`` of this request, it is refused for ``for_s``.
    """

    fingerprint: str
    daemon: str
    for_s: float
    is_over: bool = False
    quarantines: int = 0


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim that this daemon holds; ``version`` is that of its row."""

    key: str
    version: int
    fingerprint: str


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """The request may not run until ``until_s`` of the elapsed clock."""

    holder: str
    until_s: float


def claim_key(fingerprint: str) -> str:
    """Return the key of the row that a request's runs are claimed with."""
    return f"{CLAIM_ROW_PREFIX}{crc32(fingerprint.encode()) % MAX_ROWS}"


class RunClaims:
    """Claims runs for one daemon."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        *,
        daemon: str,
        encode_row: Callable[[ClaimRow], bytes],
        decode_row: Callable[[bytes], Result[ClaimRow, str]],
    ) -> None:
        self._store = store
        self._clock = clock
        self._daemon = daemon
        self._encode_row = encode_row
        self._decode_row = decode_row
        # The version of each row that was seen last, and since when.
        self._seen: dict[str, tuple[int, float]] = {}

    async def claim(
        self, fingerprint: str, *, for_s: float, quarantines: int
    ) -> Claim | ClaimHeld | StoreUnavailable:
        """Claim a run that takes ``for_s`` at most, after so many quarantines."""
        key = claim_key(fingerprint)
        row = ClaimRow(fingerprint, self._daemon, for_s, quarantines=quarantines)
        version = 0
        for _ in range(MAX_WRITES):
            written = await self._write(key, row, version=version)
            if not isinstance(written, StoreRow):
                return written
            held = self._holder(written, row)
            if held.until_s > self._clock.now_s():
                return held
            version = written.version
        return held

    async def release(
        self, claim: Claim, *, refused_for_s: float, quarantines: int
    ) -> None:
        """End a claim, and tell the next daemon how long the request is refused.

        A claim that the store does not take back ends by itself.
        """
        row = ClaimRow(
            claim.fingerprint,
            self._daemon,
            refused_for_s,
            is_over=True,
            quarantines=quarantines,
        )
        await self._write(claim.key, row, version=claim.version)

    async def _write(
        self, key: str, row: ClaimRow, *, version: int
    ) -> Claim | StoreRow | StoreUnavailable:
        """Write a row that still has a version; return the current one if it differs.

        Version 0 writes only a row that does not exist, and reads any other.
        """
        value = self._encode_row(row)
        written = await self._store.replace_row(
            Table.DAEMONS, key, value, version=version
        )
        if written.is_ok():
            self._see(StoreRow(key, value, written.ok))
            return Claim(key, written.ok, row.fingerprint)
        if isinstance(written.error, RowConflict):
            self._see(written.error.row)
            return written.error.row
        return written.error

    def _see(self, row: StoreRow) -> None:
        version, _ = self._seen.get(row.key, (None, 0.0))
        if version != row.version:
            self._seen[row.key] = row.version, self._clock.now_s()

    def _holder(self, current: StoreRow, wanted: ClaimRow) -> ClaimHeld:
        _, since_s = self._seen[current.key]
        if current.value is None:
            return ClaimHeld("", since_s)
        match self._decode_row(current.value):
            case Result(tag="ok", ok=row):
                is_news = (
                    row.fingerprint == wanted.fingerprint
                    and row.quarantines > wanted.quarantines
                )
                if row.is_over and not is_news:
                    return ClaimHeld("", since_s)
                return ClaimHeld(row.daemon, since_s + row.for_s)
            case Result(error=problem):
                log(
                    DAEMON_ROW_REFUSED,
                    row=current.key,
                    problem=problem[:PROBLEM_LENGTH],
                )
                return ClaimHeld("", since_s)
