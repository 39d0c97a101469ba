"""Rows of the platform's table, and their keys.

Configuration rows hold ``dogwoodhook.state.model`` documents: ``head``,
``change/<version>`` and the documents themselves. Every accepted change and
every planned stop advances the head, so one condition on the head covers both.
"""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodhook.coordination.quarantine_row import QuarantineRow
from dogwoodhook.state.model import (
    Change,
    DocumentKey,
    PlannedStop,
    ServiceDefinition,
    Template,
)

HEAD_KEY = "head"
CHANGE_PREFIX = "change/"
DOCUMENT_PREFIX = "document/"
EJECTION_PREFIX = "ejection/"
CLAIM_PREFIX = "claim/"
QUARANTINE_PREFIX = "quarantine/"


@dataclass(frozen=True, slots=True)
class Head:
    """The version of the configuration in force."""

    version: int


@dataclass(frozen=True, slots=True)
class DocumentRow:
    """A document with the head version at which it last changed."""

    document: Template | ServiceDefinition | PlannedStop
    version: int


class EjectionPhase(StrEnum):
    """Phase of an ejection entry; its target counts as out in both phases."""

    EJECTED = "ejected"
    RELEASING = "releasing"


@dataclass(frozen=True, slots=True)
class EjectionEntry:
    """One target that is ejected on all daemons.

    ``sequence`` is the row's sequence at which the entry entered its phase.
    ``relapses`` counts consecutive ejections; each doubles the holding time.
    """

    target: str
    phase: EjectionPhase
    sequence: int
    reason: str
    relapses: int = 0


@dataclass(frozen=True, slots=True)
class EjectionRow:
    """The ejections of one service; ``sequence`` grows by one with each write."""

    service: str
    sequence: int = 0
    entries: tuple[EjectionEntry, ...] = ()


class ClaimPhase(StrEnum):
    """Phase of an idempotency key.

    The request of a withdrawn key certainly did not run, so the key may be claimed
    again. Its row stays, so that a delayed commit of the withdrawn claim fails on
    its condition.
    """

    IN_PROGRESS = "in-progress"
    SETTLED = "settled"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer kept for later requests with the same key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """An idempotency key, claimed before the request is sent.

    ``claimant`` is unique to the claim, not only to the daemon. ``fingerprint``
    is the digest of the request that claimed the key. ``answer`` is ``None``
    where the answer was too large to keep.
    """

    claimant: str
    fingerprint: str
    phase: ClaimPhase
    claimed_at_s: float
    status: int | None = None
    answer: StoredAnswer | None = None


Row = Head | Change | DocumentRow | EjectionRow | ClaimRow | QuarantineRow


def change_key(version: int) -> str:
    """Return the key of a change; keys sort by version."""
    return f"{CHANGE_PREFIX}{version:012d}"


def document_row_key(key: DocumentKey) -> str:
    """Return the key of a document's row."""
    return f"{DOCUMENT_PREFIX}{key.kind}/{key.name}"


def ejection_key(service: str) -> str:
    """Return the key of a service's ejection row."""
    return f"{EJECTION_PREFIX}{service}"


def claim_key(service: str, workspace: str, key_digest: str) -> str:
    """Return the key of an idempotency claim."""
    return f"{CLAIM_PREFIX}{service}/{workspace}/{key_digest}"


def quarantine_key(service: str, fingerprint: str) -> str:
    """Return the key of a quarantined fingerprint."""
    return f"{QUARANTINE_PREFIX}{service}/{fingerprint}"
