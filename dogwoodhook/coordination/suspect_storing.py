"""Keeps suspects in the store, for a fleet whose daemons all start again.

The daemons tell each other of suspects, but the store alone outlives them. A daemon
writes all rows that are due in one call, at most once a second. No request waits for
it. While the store is away, the rows wait.
"""

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.store import Store, StoreRow, Table
from dogwoodhook.coordination.store_reading import wait_for
from dogwoodhook.coordination.suspect_row import SuspectRow, to_row, to_suspects
from dogwoodhook.events import (
    DAEMON_ROW_REFUSED,
    SUSPECT_RESTORED,
    SUSPECTS_STORED,
    log,
)
from dogwoodhook.state.quarantine import SUSPICION_S, Quarantine, SuspectState
from dogwoodhook.state.row_restoring import may_be_missing
from dogwoodhook.state.stored_suspects import (
    SUSPECT_ROW_PREFIX,
    StoredSuspects,
    is_storable,
)

STORE_DELAY_S = 0.25
"""Time after an end before it is stored. Targets that end at the same moment take one
call, and a request that succeeds at its second target takes none."""

STORE_INTERVAL_S = 1.0
"""Minimum time between two calls of a daemon."""

PROBLEM_LENGTH = 200
"""Characters of a row's problem that are logged."""


@dataclass(frozen=True, slots=True)
class SuspectRowCodec:
    """Converts rows to bytes and back."""

    encode: Callable[[SuspectRow], bytes]
    decode: Callable[[bytes], Result[SuspectRow, str]]


class SuspectStoring:
    """Writes the suspects of one daemon's quarantine, and restores stored ones."""

    def __init__(
        self,
        quarantine: Quarantine,
        store: Store,
        clock: Clock,
        *,
        daemon: str,
        codec: SuspectRowCodec,
    ) -> None:
        self._quarantine = quarantine
        self._store = store
        self._clock = clock
        self._codec = codec
        self._rows = StoredSuspects(daemon=daemon)
        self._has_due = asyncio.Event()

    def record_end(self, fingerprints: Iterable[str]) -> None:
        """Record that this daemon saw a target end under a request."""
        for each in fingerprints:
            self._rows.record_end(each)
        self._has_due.set()

    def record_success(self, cleared: SuspectState) -> None:
        """Record that a suspect succeeded at this daemon; it may have been stored."""
        oldest_age_s = max((each.age_s for each in cleared.crashes), default=0.0)
        may_be_stored = is_storable(cleared) and oldest_age_s >= STORE_DELAY_S
        # The ends before a quarantine were stored, too.
        if may_be_stored or cleared.quarantines:
            self._rows.record_outdated(cleared.fingerprint)
            self._has_due.set()

    def restore(self, row: StoreRow) -> None:
        """Add stored suspects, unless they have been in quarantine since."""
        if not row.key.startswith(SUSPECT_ROW_PREFIX) or row.value is None:
            return
        decoded = self._codec.decode(row.value)
        if decoded.is_error():
            problem = decoded.error[:PROBLEM_LENGTH]
            log(DAEMON_ROW_REFUSED, row=row.key, problem=problem)
            return
        for suspect in to_suspects(decoded.ok, self._clock):
            self._restore(suspect)

    def _restore(self, suspect: SuspectState) -> None:
        now_s = self._clock.now_s()
        known = self._quarantine.state(suspect.fingerprint, now_s)
        latest_age_s = min((each.age_s for each in suspect.crashes), default=math.inf)
        is_in_quarantine = known is not None and known.quarantines
        if latest_age_s >= SUSPICION_S or is_in_quarantine:
            return
        self._quarantine.merge((suspect,), now_s)
        log(
            SUSPECT_RESTORED,
            service=suspect.service,
            fingerprint=suspect.fingerprint,
            targets=",".join(crash.target for crash in suspect.crashes),
            age_s=round(latest_age_s, 1),
        )

    def store_again(self) -> None:
        """Store the suspects again that a copy of the store may lack."""
        for suspect in self._known():
            latest_age_s = min((each.age_s for each in suspect.crashes), default=0.0)
            if is_storable(suspect) and may_be_missing(latest_age_s):
                self._rows.record_outdated(suspect.fingerprint)
        self._has_due.set()

    async def run(self) -> None:
        """Write rows as they become due, until cancelled."""
        while True:
            if self._rows.has_stored:
                await wait_for(self._has_due, STORE_INTERVAL_S)
            else:
                await self._has_due.wait()
            self._has_due.clear()
            await asyncio.sleep(STORE_DELAY_S)
            await self.store()
            await asyncio.sleep(STORE_INTERVAL_S - STORE_DELAY_S)

    async def store(self) -> None:
        """Write the rows that are due, in one call; those it does not take wait."""
        if not self._rows.is_due and not self._rows.has_stored:
            return
        rows = self._rows.take(self._known(), now_s=self._clock.now_s())
        if not rows:
            return
        values = {
            key: self._codec.encode(to_row(suspects, self._clock))
            for key, suspects in rows.items()
        }
        written = await self._store.put_rows(Table.DAEMONS, values)
        if written.is_error():
            self._rows.put_back(rows)
            self._has_due.set()
            return
        log(SUSPECTS_STORED, rows=len(rows), suspects=sum(map(len, rows.values())))

    def _known(self) -> list[SuspectState]:
        now_s = self._clock.now_s()
        fingerprints = self._quarantine.changed_fingerprints(
            now_s, within_s=SUSPICION_S
        )
        states = (self._quarantine.state(each, now_s) for each in fingerprints)
        return [state for state in states if state is not None]
