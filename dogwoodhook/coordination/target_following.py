"""Follows the list of targets in the platform's store.

One daemon of the fleet is the store reader (see ``state.store_reader``); the others
receive store updates from it. A daemon that receives an update with a gap after
the version that it knows reads the store itself. If nothing has changed in the gap, it
takes the store's version as known.

When the store comes back from a copy, the store reader reads the complete table, and
its next update tells what has changed since the version that it knew before. A daemon
that knew more than that, or less, reads the table itself.
"""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, replace

from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_links import FleetLinks
from dogwoodhook.coordination.fleet_messages import StoreUpdate
from dogwoodhook.coordination.fleet_snapshot import TargetTable
from dogwoodhook.coordination.store import Store, Table, TableRows
from dogwoodhook.coordination.store_availability import StoreAvailability
from dogwoodhook.coordination.store_reading import RowDecoder, read_newer, wait_for
from dogwoodhook.events import STORE_ERA_ADOPTED, TARGET_CHANGED, log
from dogwoodhook.state.store_position import describe, era_of
from dogwoodhook.state.store_reader import excess_age_s, rank_of, silence_limit_s
from dogwoodhook.state.target_directory import (
    EXPIRY_HOLD_S,
    TargetChange,
    TargetDirectory,
    TargetEntry,
)

MAX_CATCH_UP_S = 2.0
"""Age of a daemon's data above which it reads the complete table. The changes since
then include every heartbeat of every target and outgrow the table within one heartbeat
interval. A slow VM cannot read ten seconds of changes within the deadline of a call."""

MAX_CHANGES_PER_UPDATE = 5
"""Number of changes that fit one datagram."""

MAX_CHANGES_SENT = 60
"""Number of changes above which they are not sent and the other daemons read the store
themselves: sending more to 45 neighbours takes over half a second on a slow VM's link
of 10 Mbit/s."""


EARLIER_UPDATES = 2
"""Number of earlier updates whose changes an update repeats if they fit one datagram. A
daemon that has received none of these reads the store, and a relay that is gone keeps
an update from a complete data centre."""


class TargetFollower:
    """Keeps the directory of targets up to date.

    ``bound_s`` is the time within which a change must be known; it may be modified.
    The directory was up to date when the last read began, either this daemon's own
    or that of the daemon whose update it received.
    """

    def __init__(
        self,
        store: Store,
        directory: TargetDirectory,
        decoder: RowDecoder,
        links: FleetLinks,
        clock: Clock,
        *,
        daemon: str,
        bound_s: float,
    ) -> None:
        self._store = store
        self._directory = directory
        self._decoder = decoder
        self._links = links
        self._clock = clock
        self.bound_s = bound_s
        self._daemon = daemon
        self._availability = StoreAvailability(Table.TARGETS)
        self._rng = random.Random(daemon)
        self._started_s = clock.now_s()
        self._store_version = 0
        self._missed_version = 0
        # The latest answer without changes after the version that is known.
        self._unchanged: _UnchangedAnswer | None = None
        # What was known of the older era when the current one became known.
        self._older_version = 0
        # The newest era of which another daemon's update told the beginning.
        self._told_era = 0
        # When the complete table is read again after a return of the store.
        self._second_look_s = float("inf")
        self._read_s = float("-inf")
        self._peer_as_of_s = float("-inf")
        self._silent_since_s = float("-inf")
        self._must_read = asyncio.Event()
        self._bases: deque[int] = deque(maxlen=EARLIER_UPDATES)
        self._parts = _ReceivedParts()

    async def run(self) -> None:
        """Read the store whenever a read is due, until cancelled."""
        while True:
            pause_s = self._pause_s()
            if pause_s > 0 and not self._must_read.is_set():
                await wait_for(self._must_read, pause_s)
                continue
            is_known_to_others = self._must_read.is_set() and self._rank() > 0
            self._must_read.clear()
            if not await self._read(may_notify=not is_known_to_others):
                spread = self._rng.uniform(0.7, 1.3)
                await wait_for(self._must_read, self._availability.retry_s * spread)

    def receive(self, update: StoreUpdate) -> None:
        """Apply another daemon's store update."""
        now_s = self._clock.now_s()
        version = update.version
        known = self._directory.version
        if era_of(version) < era_of(known):
            # Its sender has not heard of the store's return yet.
            return
        if era_of(version) > era_of(known) and not self._enter_era(update):
            return
        if update.after_version > known or not self._knew_older_era(update):
            # These changes are valid although earlier ones were missed.
            if update.version > known:
                self._missed_version = update.version
                self._must_read.set()
            version = known
        elif self._parts.record(update) and update.store_version >= self._store_version:
            # An older update was delayed by a relay and is older than it says.
            self._record_peer_read(update.store_version, update.age_s, now_s)
        else:
            version = known
        applied = self._directory.apply(
            update.changes,
            version=version,
            now_s=now_s,
            removal_hold_s=update.removal_hold_s,
        )
        self._record_received(update, applied)

    def _enter_era(self, update: StoreUpdate) -> bool:
        """Return whether an update tells all that a newer era of the store changes.

        It does not if the sender did not know a change that this daemon has applied, or
        if this daemon has missed changes before those of the update.
        """
        known = self._directory.version
        knows_more = bool(self._directory.changes_after(update.older_version))
        if update.after_version > known or knows_more:
            self._missed_version = update.version
            self._must_read.set()
            return False
        self._older_version = known
        self._told_era = era_of(update.version)
        return True

    def _knew_older_era(self, update: StoreUpdate) -> bool:
        """Return whether this daemon knew what an update from an older era leaves out.

        Such an update lacks targets that its sender knew before the return, and that
        may be missing in a copy that this daemon has read.
        """
        era = era_of(update.version)
        return era_of(update.after_version) == era or self._told_era == era

    def adopt(self, table: TargetTable) -> None:
        """Apply all targets that another daemon knows; others are removed.

        This daemon may have read the store itself, before or after the other one.
        """
        now_s = self._clock.now_s()
        if era_of(table.version) < era_of(self._directory.version):
            return
        if table.store_version >= self._store_version:
            self._record_peer_read(table.store_version, table.age_s, now_s)
        applied = self._directory.replace_all(
            table.targets,
            version=table.version,
            now_s=now_s,
            removal_hold_s=table.removal_hold_s,
        )
        self._record_received(table, applied)

    def snapshot(self) -> TargetTable | None:
        """Return all targets, ``None`` while they are not up to date."""
        if not self._directory.version or self.age_s > MAX_CATCH_UP_S:
            return None
        return TargetTable(
            daemon=self._daemon,
            version=self._directory.version,
            store_version=self._store_version,
            age_s=self.age_s,
            removal_hold_s=self._directory.removal_hold_s(now_s=self._clock.now_s()),
            targets=self._directory.listed(),
        )

    @property
    def age_s(self) -> float:
        """Return the time since the directory was known to be up to date."""
        return self._clock.now_s() - max(
            self._started_s, self._read_s, self._peer_as_of_s
        )

    def _record_peer_read(self, store_version: int, age_s: float, now_s: float) -> None:
        """Record that the targets are known as of another daemon's read."""
        self._store_version = store_version
        self._peer_as_of_s = max(self._peer_as_of_s, now_s - age_s)
        excess_s = excess_age_s(age_s, bound_s=self.bound_s)
        self._silent_since_s = max(self._silent_since_s, now_s - excess_s)

    def _record_received(
        self, source: StoreUpdate | TargetTable, applied: tuple[TargetChange, ...]
    ) -> None:
        if self._directory.version >= self._missed_version:
            self._must_read.clear()
        _log_changes(
            applied,
            source=source.daemon,
            version=source.version,
            age_s=source.age_s,
        )

    def _rank(self) -> int:
        links = self._links
        return rank_of(self._daemon, links.data_centre, links.live_daemons())

    def _pause_s(self) -> float:
        rank = self._rank()
        limit_s = silence_limit_s(rank, bound_s=self.bound_s)
        latest_s = max(self._read_s, self._silent_since_s) if rank else self._read_s
        due_s = min(latest_s + limit_s, self._second_look_s)
        return due_s - self._clock.now_s()

    async def _read(self, *, may_notify: bool) -> bool:
        """Read the changes and return whether the store answered.

        ``may_notify`` is false where the other daemons know the changes already.
        """
        started_s = self._clock.now_s()
        before = self._directory.version
        if self.age_s > MAX_CATCH_UP_S or started_s >= self._second_look_s:
            self._second_look_s = float("inf")
            result = await self._store.read_table(Table.TARGETS)
        else:
            result = await read_newer(self._store, Table.TARGETS, after_version=before)
        now_s = self._clock.now_s()
        match result:
            case Result(tag="ok", ok=rows):
                self._availability.record_answer(
                    peer_as_of_s=self._peer_as_of_s, now_s=now_s
                )
                self._read_s = started_s
                newest_version = max(rows.version, rows.newest_version)
                self._store_version = max(self._store_version, newest_version)
                rows = self._confirm_unchanged(rows)
                hold_s = self._apply(rows, now_s, age_s=now_s - started_s)
                if before and may_notify:
                    self._send_update(before, rows.version, hold_s)
                return True
            case Result(error=problem):
                self._availability.record_failure(problem.detail, now_s=now_s)
                return False

    def _confirm_unchanged(self, rows: TableRows) -> TableRows:
        """Return rows with the version up to which two answers show no change.

        The version that this daemon knows is then no longer behind that of daemons that
        read the complete table later, whose updates it would take for a gap. A change
        that was written during the first answer shows in the second one.
        """
        earlier, self._unchanged = self._unchanged, None
        if rows.rows or rows.is_complete or self._missed_version <= rows.version:
            return rows
        self._unchanged = _UnchangedAnswer(rows.version, rows.newest_version)
        if earlier is None or earlier.after_version != rows.version:
            return rows
        return replace(rows, version=max(rows.version, earlier.newest_version))

    def _apply(self, rows: TableRows, now_s: float, *, age_s: float) -> float:
        """Apply rows; return how long removals are delayed."""
        changes = [
            TargetChange(row.key, row.version, self._decoder.target(row))
            for row in rows.rows
        ]
        before = self._directory.version
        has_new_era = bool(before) and era_of(rows.version) > era_of(before)
        if has_new_era:
            # Targets that registered after the copy was made register again.
            self._availability.returned_s = now_s
        hold_s = self._availability.removal_hold_s(now_s=now_s)
        apply = (
            self._directory.replace_all if rows.is_complete else self._directory.apply
        )
        applied = apply(
            changes, version=rows.version, now_s=now_s, removal_hold_s=hold_s
        )
        if has_new_era:
            if self._directory.doubtful:
                # Other daemons' updates do not tell that such a target is alive.
                self._second_look_s = now_s + EXPIRY_HOLD_S
            log(
                STORE_ERA_ADOPTED,
                table=Table.TARGETS,
                before=describe(before),
                position=describe(rows.version),
                changed=len(applied),
            )
        _log_changes(applied, source="store", version=rows.version, age_s=age_s)
        return hold_s

    def _send_update(self, before: int, version: int, hold_s: float) -> None:
        """Send the changes to the other daemons, in several datagrams if necessary.

        Changes that arrived in another daemon's update during the read are included,
        since some daemons may have lost that datagram.
        """
        if era_of(version) > era_of(before):
            self._older_version = before
        base, changes = self._changes_to_send(before)
        self._bases.append(before)
        if len(changes) > MAX_CHANGES_SENT:
            # No other daemon knows this version yet, so each reads the store itself.
            changes, base = (), version
        starts = range(0, len(changes), MAX_CHANGES_PER_UPDATE) or range(1)
        for part, start in enumerate(starts):
            self._links.broadcast(
                StoreUpdate(
                    daemon=self._daemon,
                    after_version=base,
                    version=version,
                    removal_hold_s=hold_s,
                    age_s=self._clock.now_s() - self._read_s,
                    changes=changes[start : start + MAX_CHANGES_PER_UPDATE],
                    part=part,
                    parts=len(starts),
                    store_version=self._store_version,
                    older_version=self._older_version,
                )
            )

    def _changes_to_send(self, before: int) -> tuple[int, tuple[TargetChange, ...]]:
        """Return changes up to now, and the version that they follow on."""
        for base in self._bases:
            changes = self._directory.changes_after(base)
            if len(changes) <= MAX_CHANGES_PER_UPDATE:
                return base, changes
        return before, self._directory.changes_after(before)


@dataclass(frozen=True, slots=True)
class _UnchangedAnswer:
    """An answer of the store without changes between two of its versions."""

    after_version: int
    newest_version: int


class _ReceivedParts:
    """The parts of the latest store update that have been received."""

    def __init__(self) -> None:
        self._update_key = ("", 0, 0)
        self._parts: set[int] = set()

    def record(self, update: StoreUpdate) -> bool:
        """Record a part; return whether all parts of its update have been received."""
        key = (update.daemon, update.after_version, update.version)
        if key != self._update_key:
            self._update_key = key
            self._parts = set()
        self._parts.add(update.part)
        return len(self._parts) >= update.parts


def _log_changes(
    changes: tuple[TargetChange, ...], *, source: str, version: int, age_s: float
) -> None:
    for change in changes:
        entry = change.entry
        log(
            TARGET_CHANGED,
            target=change.name,
            service=entry.service if entry else "",
            state=_state_of(entry),
            source=source,
            row=describe(change.version),
            version=describe(version),
            age_ms=round(age_s * 1000),
        )


def _state_of(entry: TargetEntry | None) -> str:
    if entry is None:
        return "removed"
    return "draining" if entry.is_draining else "serving"
