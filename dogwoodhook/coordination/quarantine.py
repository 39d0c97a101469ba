"""Quarantine across the fleet: reports between daemons, and the table.

Each crash is reported to all peers at once, so that every daemon has the same
suspects. Decided quarantines are reported as well, and stored in the table for
daemons that start later. Without the table the reports still work, and the rows
are stored once the table is back.
"""

import asyncio
from collections.abc import Callable

from expression import Result

from dogwoodhook.clock import WALL_CLOCK_ERROR_S, Clock
from dogwoodhook.coordination.group_commit import ConditionalWrite, GroupCommitter
from dogwoodhook.coordination.messages import (
    CrashReport,
    QuarantineUpdate,
    SuspectCleared,
)
from dogwoodhook.coordination.platform import ABSENT_VERSION, Platform, StoredRow
from dogwoodhook.coordination.quarantine_row import (
    QuarantineRow,
    to_quarantined,
    to_row,
)
from dogwoodhook.coordination.rows import QUARANTINE_PREFIX, quarantine_key
from dogwoodhook.events import REQUEST_QUARANTINED, log
from dogwoodhook.state.quarantine import (
    MAX_FINGERPRINTS,
    MAX_QUARANTINE_S,
    Quarantine,
)

QuarantineMessage = CrashReport | QuarantineUpdate | SuspectCleared

Broadcast = Callable[[QuarantineMessage], None]


class QuarantineManager:
    """Synchronises one daemon's quarantine with its peers and the table.

    ``broadcast`` queues a message for all peers without waiting. Await ``load`` at
    the start, ``publish`` every second and ``expire`` rarely.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        quarantine: Quarantine,
        *,
        broadcast: Broadcast,
    ) -> None:
        self.quarantine = quarantine
        self._platform = platform
        self._clock = clock
        self._broadcast = broadcast
        self._committer = GroupCommitter(platform, clock)
        self._unstored: dict[str, QuarantineRow] = {}

    def record_crash(self, service: str, fingerprint: str, target: str) -> None:
        """Record a target's crash with the request in flight; report it to peers."""
        now_s = self._clock.now_s()
        self.quarantine.record_crash(service, fingerprint, target, now_s)
        self._broadcast(CrashReport(service, fingerprint, target))
        self.evaluate_suspects()

    def record_success(self, fingerprint: str) -> None:
        """Clear a suspect that a target answered, at this daemon and its peers."""
        if self.quarantine.record_success(fingerprint, self._clock.now_s()):
            self._broadcast(SuspectCleared(fingerprint))

    def receive(self, message: QuarantineMessage) -> None:
        """Record a peer's report, which may be a duplicate, late or out of order."""
        match message:
            case CrashReport(service, fingerprint, target):
                self.quarantine.record_peer_crash(
                    service, fingerprint, target, self._clock.now_s()
                )
            case SuspectCleared(fingerprint):
                self.quarantine.record_success(fingerprint, self._clock.now_s())
            case QuarantineUpdate(entries):
                for row in entries:
                    self._adopt(row)

    async def load(self) -> bool:
        """Adopt the quarantines in the table; return false if it is unreachable."""
        after = ""
        adopted = 0
        while adopted < MAX_FINGERPRINTS:
            match await self._platform.scan(QUARANTINE_PREFIX, after=after):
                case Result(tag="ok", ok=rows):
                    pass
                case _:
                    return False
            if not rows:
                return True
            for stored in rows:
                if isinstance(stored.value, QuarantineRow):
                    self._adopt(stored.value)
            adopted += len(rows)
            after = rows[-1].key
        return True

    def evaluate_suspects(self) -> None:
        """Evaluate the suspects, and report decided quarantines to the peers."""
        decided = self.quarantine.take_unpublished(self._clock.now_s())
        rows = tuple(to_row(each, self._clock) for each in decided)
        for row in rows:
            log(REQUEST_QUARANTINED, service=row.service, fingerprint=row.fingerprint)
            self._unstored[quarantine_key(row.service, row.fingerprint)] = row
        if rows:
            self._broadcast(QuarantineUpdate(rows))

    async def publish(self) -> None:
        """Evaluate the suspects, and store quarantines that the table lacks."""
        self.evaluate_suspects()
        await self._store()

    async def expire(self) -> None:
        """Delete quarantines that ended too long ago to count towards a relapse."""
        match await self._platform.scan(QUARANTINE_PREFIX):
            case Result(tag="ok", ok=rows):
                pass
            case _:
                return
        ended = [stored for stored in rows if self._has_ended(stored)]
        await asyncio.gather(*(self._write(stored, None) for stored in ended))

    async def _store(self) -> None:
        if not self._unstored:
            return
        match await self._platform.read(tuple(self._unstored)):
            case Result(tag="ok", ok=stored):
                pass
            case _:
                return
        keys = tuple(self._unstored)
        await asyncio.gather(*(self._store_row(key, stored.get(key)) for key in keys))

    async def _store_row(self, key: str, stored: StoredRow | None) -> None:
        row = self._unstored[key]
        if stored and _lasts_as_long(stored, row):
            del self._unstored[key]
            return
        version = stored.version if stored else ABSENT_VERSION
        result = await self._committer.write(ConditionalWrite(key, version, row))
        if result.is_ok() and self._unstored.get(key) == row:
            del self._unstored[key]

    async def _write(self, stored: StoredRow, row: QuarantineRow | None) -> None:
        await self._committer.write(ConditionalWrite(stored.key, stored.version, row))

    def _has_ended(self, stored: StoredRow) -> bool:
        if not isinstance(stored.value, QuarantineRow):
            return False
        ended_s = self._clock.wall_s() - stored.value.expires_at_s
        return ended_s > MAX_QUARANTINE_S + WALL_CLOCK_ERROR_S

    def _adopt(self, row: QuarantineRow) -> None:
        quarantined = to_quarantined(row, self._clock)
        self.quarantine.adopt(quarantined, self._clock.now_s())


def _lasts_as_long(stored: StoredRow, row: QuarantineRow) -> bool:
    """Return whether the stored row lasts as long, within the clock error."""
    if not isinstance(stored.value, QuarantineRow):
        return False
    return stored.value.expires_at_s >= row.expires_at_s - WALL_CLOCK_ERROR_S
