"""Ejections as one daemon last read them, and the time until it may act on them.

A confirmation lasts from the moment its read was sent and is compared with the
clock at each use. A daemon that was paused, or cut off from the table, thus finds
its confirmations expired and acts on no ejection.
"""

from dataclasses import dataclass, field

from dogwoodhook.coordination.platform import ABSENT_VERSION
from dogwoodhook.coordination.rows import EjectionEntry, EjectionPhase, EjectionRow
from dogwoodhook.state.floors import CONFIRMATION_LEASE_S, RELEASE_WAIT_S


@dataclass(slots=True)
class HeadConfirmations:
    """Time of the last read of the configuration head, for each version read."""

    _confirmed_at_s: dict[int, float] = field(default_factory=dict)
    _highest_version: int = 0

    def confirm(self, head_version: int, *, sent_at_s: float) -> bool:
        """Record that a read sent at ``sent_at_s`` returned this head version.

        A version below an earlier one comes from a late or stale read: it confirms
        nothing, and the result is ``False``.
        """
        if head_version < self._highest_version:
            return False
        self._highest_version = head_version
        known_s = self._confirmed_at_s.get(head_version, sent_at_s)
        self._confirmed_at_s[head_version] = max(known_s, sent_at_s)
        expired = [
            version
            for version, confirmed_at_s in self._confirmed_at_s.items()
            if sent_at_s - confirmed_at_s >= CONFIRMATION_LEASE_S
        ]
        for version in expired:
            del self._confirmed_at_s[version]
        return True

    def is_current(self, configuration_version: int, *, now_s: float) -> bool:
        """Return whether a read within the lease showed this version or an earlier one.

        Any later configuration has then been in force for less than one lease.
        """
        return any(
            version <= configuration_version
            and now_s - confirmed_at_s < CONFIRMATION_LEASE_S
            for version, confirmed_at_s in self._confirmed_at_s.items()
        )


@dataclass(slots=True)
class RowView:
    """One service's ejection row as this daemon last read it."""

    row: EjectionRow
    version: int = ABSENT_VERSION
    confirmed_at_s: float = float("-inf")
    due_since_s: float | None = None
    _seen_at_s: dict[EjectionEntry, float] = field(default_factory=dict)

    def record(
        self, row: EjectionRow, version: int, *, sent_at_s: float, now_s: float
    ) -> None:
        """Record a row as read, unless a later version is known already."""
        if version < self.version:
            return
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)
        if version == self.version:
            return
        self.row = row
        self.version = version
        self.due_since_s = None
        self._seen_at_s = {
            entry: self._seen_at_s.get(entry, now_s) for entry in row.entries
        }

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether the row was read within the lease."""
        return now_s - self.confirmed_at_s < CONFIRMATION_LEASE_S

    def is_released(self, entry: EjectionEntry, now_s: float) -> bool:
        """Return whether no daemon can still act on the entry as an ejection.

        This is so once the entry, with its present sequence, has been known for
        longer than any lease that began before its release.
        """
        if entry.phase is not EjectionPhase.RELEASING:
            return False
        seen_at_s = self._seen_at_s.get(entry)
        return seen_at_s is not None and now_s - seen_at_s > RELEASE_WAIT_S
