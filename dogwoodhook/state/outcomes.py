"""What became of a request, and what an attempt says about its target."""

from dataclasses import dataclass
from enum import StrEnum


class NotRunReason(StrEnum):
    """Why a request was certainly not run."""

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
    """The target's whole answer reached the daemon."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """No byte of the request reached a target, or a target declared it shed."""

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

    A ``fingerprint``, where known, proves that the request does not fail
    everywhere, so its failures elsewhere speak against those targets.
    """

    latency_ms: float
    fingerprint: int = 0


@dataclass(frozen=True, slots=True)
class Failure:
    """A target failed an attempt.

    ``fingerprint`` identifies the request, so that one request that fails
    everywhere counts once.
    """

    kind: FailureKind
    fingerprint: int = 0


Observation = Success | Failure


@dataclass(frozen=True, slots=True)
class TargetEvidence:
    """One daemon's outcomes with a target since it last told them.

    ``failures`` counts by kind. Ordering inside the interval
    is lost; intervals are short. ``requests`` names the request behind those
    failures whose fingerprint is known; each of them is in ``failures`` too.
    ``is_suspected`` tells that the reporter came to suspect the target since.
    """

    service: str
    target: str
    successes: int
    failures: tuple[tuple[FailureKind, int], ...]
    requests: tuple[tuple[FailureKind, int], ...] = ()
    is_suspected: bool = False
