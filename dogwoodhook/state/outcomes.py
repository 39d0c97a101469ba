"""Outcomes of requests, and the observations of targets that attempts give."""

from dataclasses import dataclass
from enum import StrEnum


class NotRunReason(StrEnum):
    """Why a request is known not to have run."""

    NO_ROUTE = "no-route"
    BAD_REQUEST = "bad-request"
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    DEADLINE = "deadline"
    CONNECT_FAILED = "connect-failed"
    TARGET_SHED = "target-shed"
    NO_TARGET = "no-target"
    DRAINING = "draining"
    TABLE_UNREACHABLE = "table-unreachable"
    KEY_REUSED = "key-reused"
    QUARANTINED = "quarantined"


class UnknownReason(StrEnum):
    """Why it is not known whether a request ran."""

    CONNECTION_LOST = "connection-lost"
    DEADLINE = "deadline"
    BROKEN_ANSWER = "broken-answer"
    CALLER_BODY_BROKEN = "caller-body-broken"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_UNSETTLED = "key-unsettled"
    EARLIER_ATTEMPT = "earlier-attempt"
    INTERNAL_ERROR = "internal-error"


@dataclass(frozen=True, slots=True)
class Answered:
    """The daemon received the target's complete answer."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """No byte of the request reached a target, or a target reported it as shed."""

    reason: NotRunReason


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run."""

    reason: UnknownReason


Outcome = Answered | NotRun | Unknown


class FailureKind(StrEnum):
    """How a target failed an attempt."""

    CONNECT = "connect"
    CRASH = "crash"
    SERVER_ERROR = "server-error"
    DEADLINE = "deadline"
    SLOW = "slow"
    HEALTH_ENDPOINT = "health-endpoint"


@dataclass(frozen=True, slots=True)
class Success:
    """A target answered.

    ``fingerprint`` identifies the request, where known. A request that succeeds on
    one target does not fail everywhere, so its failures on other targets count
    against them.
    """

    latency_ms: float
    fingerprint: int = 0


@dataclass(frozen=True, slots=True)
class Failure:
    """A target failed an attempt.

    ``fingerprint`` identifies the request, so that a request that fails on every
    target counts only once.
    """

    kind: FailureKind
    fingerprint: int = 0


Observation = Success | Failure


@dataclass(frozen=True, slots=True)
class TargetEvidence:
    """One daemon's outcomes with a target since its last report.

    ``failures`` counts failures by kind. The order of outcomes within the interval
    is lost; intervals are short. ``requests`` holds the kind and the request's
    fingerprint for failures whose fingerprint is known; each of them is counted in
    ``failures`` too. ``is_suspected`` is true if the reporter has suspected the
    target since its last report.
    """

    service: str
    target: str
    successes: int
    failures: tuple[tuple[FailureKind, int], ...]
    requests: tuple[tuple[FailureKind, int], ...] = ()
    is_suspected: bool = False
