"""The configuration in force on a daemon, and how it follows the head.

The table's head row is the only authority on the version in force. Each daemon
polls it, and peers push changes to each other, so that most daemons need no
further read. Whatever the source, a daemon only adopts a configuration that is
complete, valid and of a higher version than its own.
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
"""Latest changes that a daemon keeps, to send to peers that are behind."""

MAX_CHANGES_READ = 200
"""Versions behind the head up to which the changes are read; for more, reading all
documents is cheaper."""


class UnreadyReason(StrEnum):
    """Why a daemon's configuration does not allow it to accept requests."""

    NOT_LOADED = "configuration-not-loaded"
    AWAITING_PEERS = "configuration-awaiting-peers"
    BEHIND = "configuration-behind-peer"
    UNCONFIRMED = "configuration-unconfirmed"
    ISOLATED = "configuration-isolated"


class ConfigurationStore:
    """Holds the configuration in force, from version 0 on.

    ``current`` stays at version 0 until the table or a peer supplies a
    configuration. A snapshot from the object store is kept separately, and is
    adopted only once the table or a peer confirms its version or supplies the
    changes that follow it.
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
        self._snapshot: Configuration | None = None
        self._recent: deque[Change] = deque(maxlen=RECENT_CHANGES)
        self._assembler = SnapshotAssembler()
        self._confirmed_at_s: float | None = None
        self._loaded_at_s: float | None = None
        self._highest_reported = 0
        self._behind_since_s: float | None = None
        self._was_ready = False
        self._peer_heartbeat_at_s: float | None = None
        self._peer_confirmed_at_s: float | None = None

    # Reading the table

    async def refresh(self) -> Result[None, Unavailable]:
        """Read the head, and adopt the changes up to it.

        A head below a version that this daemon knew before the read is stale and
        confirms nothing. The version of the object store's snapshot counts as
        known, since a snapshot is written only after its version is accepted.
        """
        sent_at_s = self._clock.now_s()
        known = max(self._base().version, self._highest_reported)
        match await read_head(self._platform):
            case Result(tag="ok", ok=head) if head < known:
                return Error(Unavailable(f"stale head version {head}, known {known}"))
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
            self._confirm(sent_at_s)
        return Ok(None)

    async def load_snapshot(self) -> None:
        """Read the object store's snapshot, so that fewer changes have to be read."""
        if self._codec is None or self._loaded_at_s is not None:
            return
        match await self._platform.get_object(SNAPSHOT_OBJECT):
            case Result(tag="ok", ok=bytes() as body):
                pass
            case _:
                return
        try:
            snapshot = self._codec.decode(body)
        except SnapshotError as error:
            log(CONFIGURATION_SNAPSHOT_UNREADABLE, error=error)
            return
        log(CONFIGURATION_SNAPSHOT_LOADED, version=snapshot.version)
        if snapshot.version > self._base().version:
            self._snapshot = snapshot

    async def _follow(self, head: int) -> Result[None, Unavailable]:
        base = self._base()
        if head <= self.current.version:
            return Ok(None)
        if head == base.version:
            self._adopt_complete(base)
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
                self._adopt_complete(configuration)
                return Ok(None)
            case Result(error=error):
                return Error(error)

    # Messages of peers

    def adopt_update(self, update: ConfigurationUpdate) -> bool:
        """Adopt a peer's changes if they follow without a gap.

        Return whether they were adopted.
        """
        return self._adopt_changes(self._base(), update.changes)

    def adopt_snapshot(self, part: ConfigurationSnapshot) -> bool:
        """Record a part of a peer's configuration, and adopt it once it is complete.

        Return whether a configuration was adopted.
        """
        if part.version <= self.current.version:
            return False
        configuration = self._assembler.add(part)
        return configuration is not None and self._adopt_complete(configuration)

    def process_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record the version that a peer reports and when it last read the head.

        The object store's snapshot is adopted if it is of the reported version.
        """
        now_s = self._clock.now_s()
        version = heartbeat.configuration_version
        self._peer_heartbeat_at_s = now_s
        if heartbeat.head_age_ms is not None:
            confirmed_at_s = now_s - heartbeat.head_age_ms / 1000
            self._peer_confirmed_at_s = max(
                confirmed_at_s, self._peer_confirmed_at_s or confirmed_at_s
            )
        self._highest_reported = max(self._highest_reported, version)
        if self._snapshot is not None and self._snapshot.version == version:
            self._adopt_complete(self._snapshot)
        self._update_behind_since()

    def catch_up_request(self) -> ConfigurationRequest:
        """Return the request to a peer for the changes that this daemon lacks."""
        return ConfigurationRequest(
            after_version=self._base().version,
            snapshot_version=self._assembler.version,
            part=self._assembler.next_part(),
        )

    @property
    def is_collecting(self) -> bool:
        """Return whether some parts of a peer's configuration are still missing."""
        return self._assembler.version > self.current.version

    def reply_to(
        self, request: ConfigurationRequest
    ) -> tuple[ConfigurationUpdate | ConfigurationSnapshot, ...]:
        """Return the message that a peer needs next; none if it is up to date."""
        if request.after_version >= self.current.version:
            return ()
        update = self.changes_after(request.after_version)
        if update is not None:
            return (update,)
        has_version = request.snapshot_version == self.current.version
        part = request.part if has_version else 0
        return (snapshot_part(self.current, daemon=self._daemon, part=part),)

    def changes_after(self, version: int) -> ConfigurationUpdate | None:
        """Return the changes after a version, or ``None`` if not all are kept.

        Only as many as fit a message are returned, the oldest first; the peer
        requests the next ones afterwards.
        """
        if version > self.current.version:
            return None
        oldest = self.current.version - len(self._recent)
        if version < oldest:
            return None
        later = [change for change in self._recent if change.version > version]
        sizes = [change_bytes(change) for change in later]
        groups = split_by_size(later, sizes)
        return ConfigurationUpdate(groups[0] if groups else ())

    # Confirmation and readiness

    def head_age_s(self, now_s: float) -> float | None:
        """Return the time since the start of the last read that confirmed the head."""
        if self._confirmed_at_s is None:
            return None
        return now_s - self._confirmed_at_s

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether the head was confirmed within the propagation bound."""
        age_s = self.head_age_s(now_s)
        return age_s is not None and age_s <= PROPAGATION_BOUND_S

    def unready_reason(self, now_s: float) -> UnreadyReason | None:
        """Return why the daemon may not accept requests, or ``None`` if it may.

        While the table is down for all daemons no change can be accepted, so a
        daemon stays ready as long as its peers' heartbeats arrive and none reports
        a higher version or a recent read of the head. A daemon whose configuration
        came from a peer alone first waits for the propagation bound, so that the
        other peers can report their versions. When a peer reports a higher version,
        a ready daemon stays ready for the propagation bound while it adopts that
        version; a daemon that is not ready must adopt it first.
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
        if self._confirmed_at_s is None and not _is_past_bound(
            self._loaded_at_s, now_s
        ):
            return UnreadyReason.AWAITING_PEERS
        if self._is_confirmed_by_peers_only(now_s):
            return UnreadyReason.UNCONFIRMED
        if _is_past_bound(self._peer_heartbeat_at_s, now_s):
            return UnreadyReason.ISOLATED
        return None

    def _is_behind(self, now_s: float) -> bool:
        if self.current.version >= self._highest_reported:
            return False
        return not self._was_ready or _is_past_bound(self._behind_since_s, now_s)

    def _is_confirmed_by_peers_only(self, now_s: float) -> bool:
        """Return whether a peer reads the head and this daemon has not for some time.

        The peer's last read must be later than this daemon's by more than the
        propagation bound. In an outage that affects all daemons, their last reads
        lie close together, so the daemon whose read was a little later does not
        make the others unready.
        """
        own_s = self._confirmed_at_s
        if own_s is None:
            own_s = self._loaded_at_s
        peer_s = self._peer_confirmed_at_s
        if own_s is None or peer_s is None or not _is_within_bound(peer_s, now_s):
            return False
        return peer_s - own_s > PROPAGATION_BOUND_S

    # Adopting configurations

    def _base(self) -> Configuration:
        """Return the configuration that later changes are applied to."""
        return self._snapshot or self.current

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

    def _adopt_complete(self, candidate: Configuration) -> bool:
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
        self._snapshot = None
        if self._loaded_at_s is None:
            self._loaded_at_s = self._clock.now_s()
        self._update_behind_since()
        log(CONFIGURATION_ADOPTED, version=candidate.version)
        return True

    def _confirm(self, sent_at_s: float) -> None:
        self._confirmed_at_s = max(sent_at_s, self._confirmed_at_s or sent_at_s)
        if self._loaded_at_s is None:
            self._loaded_at_s = self._clock.now_s()
        self._update_behind_since()

    def _update_behind_since(self) -> None:
        if self.current.version >= self._highest_reported:
            self._behind_since_s = None
        elif self._behind_since_s is None:
            self._behind_since_s = self._clock.now_s()


def _touched(change: Change) -> Iterable[DocumentKey]:
    yield from (document_key(document) for document in change.documents)
    yield from change.removed


def _is_past_bound(moment_s: float | None, now_s: float) -> bool:
    return moment_s is not None and now_s - moment_s > PROPAGATION_BOUND_S


def _is_within_bound(moment_s: float | None, now_s: float) -> bool:
    return moment_s is not None and now_s - moment_s <= PROPAGATION_BOUND_S
