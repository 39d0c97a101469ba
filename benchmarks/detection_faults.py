"""Faults that the detection benchmark induces in one service."""

import random
from dataclasses import dataclass

from dogwoodhook.state.outcomes import Failure, FailureKind, Observation, Success

BACKGROUND_FAILING_SHARE = 0.01
MEDIAN_LATENCY_MS = 20.0
LATENCY_SIGMA = 0.6
DEADLINE_MS = 2_000.0
RETRANSMISSION_MS = 200.0
CONNECT_TIMEOUT_MS = 1_000.0
BAD_TARGET = "target-0"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request sent to one target."""

    target: str
    sent_at_s: float
    fingerprint: int
    workspace: int
    is_remote: bool


@dataclass(frozen=True, slots=True)
class Nothing:
    """All targets are well."""


@dataclass(frozen=True, slots=True)
class HardFailure:
    """The bad target refuses connections."""


@dataclass(frozen=True, slots=True)
class PartlyFailing:
    """The bad target fails a share of its requests with a server error."""

    share: float


@dataclass(frozen=True, slots=True)
class Slow:
    """The bad target takes a multiple of its usual time."""

    factor: float


@dataclass(frozen=True, slots=True)
class FailsForWorkspaces:
    """The bad target fails all requests of a share of the workspaces."""

    share: float


@dataclass(frozen=True, slots=True)
class Flapping:
    """The bad target crashes on everything for half of each period."""

    period_s: float


@dataclass(frozen=True, slots=True)
class ServiceTrouble:
    """Every target fails a share of its requests, say for want of a database."""

    share: float


@dataclass(frozen=True, slots=True)
class Poison:
    """One request crashes whatever runs it, and its caller sends it again."""

    interval_s: float


@dataclass(frozen=True, slots=True)
class LossyLinks:
    """Packets between data centres get lost; the targets are well."""

    loss: float


Fault = (
    Nothing
    | HardFailure
    | PartlyFailing
    | Slow
    | FailsForWorkspaces
    | Flapping
    | ServiceTrouble
    | Poison
    | LossyLinks
)

WORKSPACES = 500
POISON_FINGERPRINT = 1


def is_failing(fault: Fault, target: str, elapsed_s: float) -> bool:
    """Tell whether a target is at fault at a moment after the fault's onset."""
    match fault:
        case HardFailure() | PartlyFailing() | Slow() | FailsForWorkspaces():
            return target == BAD_TARGET
        case Flapping(period_s):
            return target == BAD_TARGET and elapsed_s % period_s < period_s / 2
        case _:
            return False


def answers_probe(fault: Fault, target: str, elapsed_s: float) -> bool:
    """Tell whether a probe succeeds: a gray target answers it."""
    match fault:
        case HardFailure() | Flapping():
            return not is_failing(fault, target, elapsed_s)
        case _:
            return True


def answer(
    fault: Fault, attempt: Attempt, elapsed_s: float, source: random.Random
) -> tuple[float, Observation]:
    """Return the time an attempt takes, in ms, and its outcome."""
    latency_ms = MEDIAN_LATENCY_MS * source.lognormvariate(0.0, LATENCY_SIGMA)
    usual = _usual_answer(attempt, latency_ms, source)
    match fault:
        case HardFailure() if is_failing(fault, attempt.target, elapsed_s):
            return 1.0, Failure(FailureKind.CONNECT, attempt.fingerprint)
        case PartlyFailing(share) if attempt.target == BAD_TARGET:
            return _fails_at(share, attempt, usual, source)
        case ServiceTrouble(share):
            return _fails_at(share, attempt, usual, source)
        case Slow(factor) if attempt.target == BAD_TARGET:
            slow_ms = latency_ms * factor
            return slow_ms, Success(slow_ms, attempt.fingerprint)
        case FailsForWorkspaces(share) if attempt.target == BAD_TARGET:
            is_hit = attempt.workspace < share * WORKSPACES
            return _fails_at(float(is_hit), attempt, usual, source)
        case Flapping() if is_failing(fault, attempt.target, elapsed_s):
            return 5.0, Failure(FailureKind.CRASH, attempt.fingerprint)
        case Poison() if attempt.fingerprint == POISON_FINGERPRINT:
            return 5.0, Failure(FailureKind.CRASH, attempt.fingerprint)
        case LossyLinks(loss) if attempt.is_remote:
            return _over_lossy_link(loss, attempt, usual, source)
        case _:
            return usual


def _usual_answer(
    attempt: Attempt, latency_ms: float, source: random.Random
) -> tuple[float, Observation]:
    if source.random() < BACKGROUND_FAILING_SHARE:
        failure = Failure(FailureKind.SERVER_ERROR, attempt.fingerprint)
        return latency_ms, failure
    return latency_ms, Success(latency_ms, attempt.fingerprint)


def _fails_at(
    share: float,
    attempt: Attempt,
    usual: tuple[float, Observation],
    source: random.Random,
) -> tuple[float, Observation]:
    if source.random() >= share:
        return usual
    return usual[0], Failure(FailureKind.SERVER_ERROR, attempt.fingerprint)


def _over_lossy_link(
    loss: float,
    attempt: Attempt,
    usual: tuple[float, Observation],
    source: random.Random,
) -> tuple[float, Observation]:
    latency_ms, outcome = usual
    # A request and its answer are some four packets that can be lost; each loss
    # costs a retransmission, twice as long as the one before.
    wait_ms = RETRANSMISSION_MS
    while source.random() < 1 - (1 - loss) ** 4:
        latency_ms += wait_ms
        wait_ms *= 2
    if latency_ms > DEADLINE_MS:
        return DEADLINE_MS, Failure(FailureKind.DEADLINE, attempt.fingerprint)
    if isinstance(outcome, Success):
        return latency_ms, Success(latency_ms, attempt.fingerprint)
    return latency_ms, outcome
