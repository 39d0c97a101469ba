"""The configuration in force on a daemon, and how it follows the head.

The table's head row is the one truth. A daemon polls it, and peers push changes
to each other so that most of them need no further read. Whatever the source, a
daemon moves only forward, to a whole and valid configuration.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from enum import StrEnum

from expression import Error, Ok, Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.loading import (
    apply_changes,
    read_changes,
    read_head,
    scan_configuration,
)
from dogwoodhook.coordination.messages import (
    ConfigurationRequest,
    ConfigurationSnapshot,
    ConfigurationUpdate,
    Heartbeat,
)
from dogwoodhook.coordination.platform import Platform, Unavailable
from dogwoodhook.coordination.snapshots import (
    SNAPSHOT_OBJECT,
    SnapshotAssembler,
    SnapshotCodec,
    SnapshotError,
    snapshot_part,
    split_by_size,
)
from dogwoodhook.events import (
    CONFIGURATION_ADOPTED,
    CONFIGURATION_REFUSED,
    CONFIGURATION_SNAPSHOT_LOADED,
    CONFIGURATION_SNAPSHOT_UNREADABLE,
    log,
)
from dogwoodhook.state.checks import check_touched
from dogwoodhook.state.model import Change, Configuration, DocumentKey, document_key
from dogwoodhook.state.sizes import change_bytes
from dogwoodhook.state.stops import PROPAGATION_BOUND_S

RECENT_CHANGES = 128
"""Changes that a daemon keeps to bring its peers up to date."""

MAX_CHANGES_READ = 200
"""Versions behind the head from which reading all documents is cheaper."""


class UnreadyReason(StrEnum):
    """Why a daemon's configuration does not allow it to take requests."""

    NOT_LOADED = "configuration-not-loaded"
    AWAITING_PEERS = "configuration-awaiting-peers"
    BEHIND = "configuration-behind-peer"
    UNCONFIRMED = "configuration-unconfirmed"
    ISOLATED = "configuration-isolated"


class ConfigurationStore:
    """Holds the configuration in force, from version 0 on.

    ``current`` stays at version 0 until the table or a peer has answered. A
    snapshot of the object store is kept apart until one of them has brought it
    up to date.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        *,
        daemon: str = "",
        codec: SnapshotCodec | None = None,
    ) -> None:
        self.current = Configuration()
        self._platform = platform
        self._clock = clock
        self._daemon = daemon
        self._codec = codec
        self._hint: Configuration | None = None
        self._recent: deque[Change] = deque(maxlen=RECENT_CHANGES)
        self._assembler = SnapshotAssembler()
        self._confirmed_at_s: float | None = None
        self._loaded_at_s: float | None = None
        self._highest_reported = 0
        self._behind_since_s: float | None = None
        self._was_ready = False
        self._peer_heard_at_s: float | None = None
        self._peer_confirmed_at_s: float | None = None

    # Reading the table

    async def refresh(self) -> Result[None, Unavailable]:
        """Read the head, and adopt the changes up to it.

        An answer below what this daemon knew before it asked is stale, and
        confirms nothing. That includes the object store's snapshot, which is
        written only after its version was accepted.
        """
        asked_s = self._clock.now_s()
        known = max(self._base().version, self._highest_reported)
        match await read_head(self._platform):
            case Result(tag="ok", ok=head) if head < known:
                return Error(Unavailable(f"stale head {head}, known {known}"))
            case Result(tag="ok", ok=head):
                pass
            case Result(error=error):
                return Error(error)
        match await self._follow(head):
            case Result(tag="ok"):
                pass
            case Result(error=error):
                return Error(error)
        if self.current.version >= head:
            self._confirm(asked_s)
        return Ok(None)

    async def load_snapshot(self) -> None:
        """Read the object store's snapshot, to have less to catch up with."""
        if self._codec is None or self._loaded_at_s is not None:
            return
        match await self._platform.get_object(SNAPSHOT_OBJECT):
            case Result(tag="ok", ok=bytes() as body):
                pass
            case _:
                return
        try:
            hint = self._codec.decode(body)
        except SnapshotError as error:
            log(CONFIGURATION_SNAPSHOT_UNREADABLE, error=error)
            return
        log(CONFIGURATION_SNAPSHOT_LOADED, version=hint.version)
        if hint.version > self._base().version:
            self._hint = hint

    async def _follow(self, head: int) -> Result[None, Unavailable]:
        base = self._base()
        if head <= self.current.version:
            return Ok(None)
        if head == base.version:
            self._adopt_whole(base)
            return Ok(None)
        if head - base.version > MAX_CHANGES_READ:
            return await self._load_all()
        match await read_changes(self._platform, after=base.version, up_to=head):
            case Result(tag="ok", ok=changes):
                self._adopt_changes(base, changes)
                return Ok(None)
            case Result(error=error):
                return Error(error)

    async def _load_all(self) -> Result[None, Unavailable]:
        match await scan_configuration(self._platform):
            case Result(tag="ok", ok=configuration):
                self._adopt_whole(configuration)
                return Ok(None)
            case Result(error=error):
                return Error(error)

    # Messages of peers

    def adopt_update(self, news: ConfigurationUpdate) -> bool:
        """Adopt changes of a peer if they follow without a gap; tell whether."""
        return self._adopt_changes(self._base(), news.changes)

    def adopt_snapshot(self, part: ConfigurationSnapshot) -> bool:
        """Take in a part of a peer's configuration; tell whether one was adopted."""
        if part.version <= self.current.version:
            return False
        configuration = self._assembler.add(part)
        return configuration is not None and self._adopt_whole(configuration)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Remember the version that a peer reports and whether it reads the head."""
        now_s = self._clock.now_s()
        version = heartbeat.configuration_version
        self._peer_heard_at_s = now_s
        if heartbeat.head_age_ms is not None:
            confirmed_at_s = now_s - heartbeat.head_age_ms / 1000
            self._peer_confirmed_at_s = max(
                confirmed_at_s, self._peer_confirmed_at_s or confirmed_at_s
            )
        self._highest_reported = max(self._highest_reported, version)
        if self._hint is not None and self._hint.version == version:
            self._adopt_whole(self._hint)
        self._note_progress()

    def catch_up_request(self) -> ConfigurationRequest:
        """Return the request that brings this daemon up to date."""
        return ConfigurationRequest(
            after_version=self._base().version,
            snapshot_version=self._assembler.version,
            part=self._assembler.next_part(),
        )

    @property
    def is_collecting(self) -> bool:
        """Tell whether some parts of a peer's configuration are still missing."""
        return self._assembler.version > self.current.version

    def reply_to(
        self, request: ConfigurationRequest
    ) -> tuple[ConfigurationUpdate | ConfigurationSnapshot, ...]:
        """Return what a peer needs; nothing where this daemon knows no more."""
        if request.after_version >= self.current.version:
            return ()
        news = self.changes_after(request.after_version)
        if news is not None:
            return (news,)
        has_version = request.snapshot_version == self.current.version
        part = request.part if has_version else 0
        return (snapshot_part(self.current, daemon=self._daemon, part=part),)

    def changes_after(self, version: int) -> ConfigurationUpdate | None:
        """Return the changes after a version, or ``None`` if not all are kept.

        As many are returned as fit a message, the oldest first; the peer asks
        again from there.
        """
        if version > self.current.version:
            return None
        oldest = self.current.version - len(self._recent)
        if version < oldest:
            return None
        later = [change for change in self._recent if change.version > version]
        sizes = [change_bytes(change) for change in later]
        runs = split_by_size(later, sizes)
        return ConfigurationUpdate(runs[0] if runs else ())

    # What the daemon may claim

    def head_age_s(self, now_s: float) -> float | None:
        """Return the time since before the last read that confirmed the head."""
        if self._confirmed_at_s is None:
            return None
        return now_s - self._confirmed_at_s

    def is_confirmed(self, now_s: float) -> bool:
        """Tell whether the head was read within the propagation bound."""
        age_s = self.head_age_s(now_s)
        return age_s is not None and age_s <= PROPAGATION_BOUND_S

    def unready_reason(self, now_s: float) -> UnreadyReason | None:
        """Return why the daemon may take no requests, or ``None`` if it may.

        With the table down for everyone no change can be accepted, so a daemon
        stays ready as long as its peers know no better. One that started from a
        peer alone first waits until the others had time to report. A daemon that
        is ready has the propagation bound to follow a peer's higher version; one
        that is not must follow it first.
        """
        reason = self._find_unready_reason(now_s)
        self._was_ready = reason is None
        return reason

    def _find_unready_reason(self, now_s: float) -> UnreadyReason | None:
        if self._loaded_at_s is None:
            return UnreadyReason.NOT_LOADED
        if self._is_behind(now_s):
            return UnreadyReason.BEHIND
        if self.is_confirmed(now_s):
            return None
        if self._confirmed_at_s is None and not _is_past(self._loaded_at_s, now_s):
            return UnreadyReason.AWAITING_PEERS
        if self._can_peer_alone_confirm(now_s):
            return UnreadyReason.UNCONFIRMED
        if _is_past(self._peer_heard_at_s, now_s):
            return UnreadyReason.ISOLATED
        return None

    def _is_behind(self, now_s: float) -> bool:
        if self.current.version >= self._highest_reported:
            return False
        return not self._was_ready or _is_past(self._behind_since_s, now_s)

    def _can_peer_alone_confirm(self, now_s: float) -> bool:
        """Tell whether a peer still reads the head and this daemon has long not.

        In an outage for all, the last reads of the daemons lie close together, so
        that one whose read was a little later does not make the others unready.
        """
        own_s = self._confirmed_at_s
        if own_s is None:
            own_s = self._loaded_at_s
        peer_s = self._peer_confirmed_at_s
        if own_s is None or peer_s is None or not _is_recent(peer_s, now_s):
            return False
        return peer_s - own_s > PROPAGATION_BOUND_S

    # Moving forward

    def _base(self) -> Configuration:
        return self._hint or self.current

    def _adopt_changes(self, base: Configuration, changes: Sequence[Change]) -> bool:
        later = [change for change in changes if change.version > base.version]
        versions = [change.version for change in later]
        first = base.version + 1
        if not later or versions != list(range(first, first + len(later))):
            return False
        candidate = apply_changes(base, later)
        touched = {key for change in later for key in _touched(change)}
        if base is not self.current:
            touched.update(candidate.revisions)
        return self._adopt(candidate, touched, later)

    def _adopt_whole(self, candidate: Configuration) -> bool:
        return self._adopt(candidate, candidate.revisions, ())

    def _adopt(
        self,
        candidate: Configuration,
        touched: Iterable[DocumentKey],
        changes: Sequence[Change],
    ) -> bool:
        if candidate.version <= self.current.version:
            return False
        findings = check_touched(candidate, touched)
        if findings:
            log(CONFIGURATION_REFUSED, version=candidate.version, finding=findings[0])
            return False
        if not changes or changes[0].version != self.current.version + 1:
            self._recent.clear()
        self._recent.extend(changes)
        self.current = candidate
        self._hint = None
        if self._loaded_at_s is None:
            self._loaded_at_s = self._clock.now_s()
        self._note_progress()
        log(CONFIGURATION_ADOPTED, version=candidate.version)
        return True

    def _confirm(self, asked_s: float) -> None:
        self._confirmed_at_s = max(asked_s, self._confirmed_at_s or asked_s)
        if self._loaded_at_s is None:
            self._loaded_at_s = self._clock.now_s()
        self._note_progress()

    def _note_progress(self) -> None:
        if self.current.version >= self._highest_reported:
            self._behind_since_s = None
        elif self._behind_since_s is None:
            self._behind_since_s = self._clock.now_s()


def _touched(change: Change) -> Iterable[DocumentKey]:
    yield from (document_key(document) for document in change.documents)
    yield from change.removed


def _is_past(moment_s: float | None, now_s: float) -> bool:
    return moment_s is not None and now_s - moment_s > PROPAGATION_BOUND_S


def _is_recent(moment_s: float | None, now_s: float) -> bool:
    return moment_s is not None and now_s - moment_s <= PROPAGATION_BOUND_S
