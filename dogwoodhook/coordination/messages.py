"""Messages between daemons.

``dogwoodhook.protocol.peer_codec`` encodes them as CBOR. Each message is
complete in itself and safe to receive twice, late, or out of order.
"""

from dataclasses import dataclass
from typing import Literal

from dogwoodhook.coordination.quarantine_row import QuarantineRow
from dogwoodhook.state.model import Change, Revision
from dogwoodhook.state.outcomes import TargetEvidence


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A daemon's configuration version and the age of its last confirmation.

    ``head_age_ms`` is the time since the daemon read the head from the table,
    ``None`` if it never did.
    """

    daemon: str
    configuration_version: int
    head_age_ms: int | None
    is_ready: bool
    kind: Literal["heartbeat"] = "heartbeat"


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Accepted changes, contiguous and in order of version."""

    changes: tuple[Change, ...]
    kind: Literal["configuration-news"] = "configuration-news"


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """One part of a complete configuration, for a daemon too far behind for changes.

    ``part`` counts from 0 to ``parts`` - 1. Parts may arrive in any order and from
    several peers, since every daemon splits a version in the same way.
    """

    daemon: str
    version: int
    part: int
    parts: int
    revisions: tuple[Revision, ...]
    kind: Literal["configuration-snapshot"] = "configuration-snapshot"


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Requests the changes after a version from a peer.

    The peer replies with a ``ConfigurationUpdate`` or, if it no longer keeps those
    changes, with one ``ConfigurationSnapshot``. ``snapshot_version`` is the version
    whose parts the sender is collecting; a peer that has this version sends
    ``part``, a peer that has another version sends part 0.
    """

    after_version: int
    snapshot_version: int = 0
    part: int = 0
    kind: Literal["configuration-request"] = "configuration-request"


@dataclass(frozen=True, slots=True)
class EvidenceReport:
    """Evidence from one daemon.

    ``sequence`` increases with each report, so that a duplicate or late one is
    dropped. ``incarnation`` is unique to a run of the daemon.
    """

    daemon: str
    incarnation: str
    sequence: int
    entries: tuple[TargetEvidence, ...]
    kind: Literal["evidence-report"] = "evidence-report"


@dataclass(frozen=True, slots=True)
class QuarantineUpdate:
    """Request fingerprints put in quarantine."""

    entries: tuple[QuarantineRow, ...]
    kind: Literal["quarantine-news"] = "quarantine-news"


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request with the fingerprint was in flight when the target crashed."""

    service: str
    fingerprint: str
    target: str
    kind: Literal["crash-news"] = "crash-news"


@dataclass(frozen=True, slots=True)
class SuspectCleared:
    """A request that was suspected after a crash was answered by a target."""

    fingerprint: str
    kind: Literal["suspect-cleared"] = "suspect-cleared"


Message = (
    Heartbeat
    | ConfigurationUpdate
    | ConfigurationSnapshot
    | ConfigurationRequest
    | EvidenceReport
    | QuarantineUpdate
    | CrashReport
    | SuspectCleared
)
