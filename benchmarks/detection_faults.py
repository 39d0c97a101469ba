"""Faults that the detection benchmark simulates in one service."""

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
class NoFault:
    """All targets are healthy."""


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
    """The bad target crashes on every request in the first half of each period."""

    period_s: float


@dataclass(frozen=True, slots=True)
class ServiceFault:
    """Every target fails a share of its requests, as when a shared database is down."""

    share: float


@dataclass(frozen=True, slots=True)
class Poison:
    """One request crashes every target that runs it; its caller keeps resending it."""

    interval_s: float


@dataclass(frozen=True, slots=True)
class LossyLinks:
    """Links between data centres lose a share of packets; the targets are healthy."""

    loss: float


Fault = (
    NoFault
    | HardFailure
    | PartlyFailing
    | Slow
    | FailsForWorkspaces
    | Flapping
    | ServiceFault
    | Poison
    | LossyLinks
)

WORKSPACES = 500
POISON_FINGERPRINT = 1


def is_failing(fault: Fault, target: str, elapsed_s: float) -> bool:
    """Return whether a target is at fault ``elapsed_s`` after the fault's onset."""
    match fault:
        case HardFailure() | PartlyFailing() | Slow() | FailsForWorkspaces():
            return target == BAD_TARGET
        case Flapping(period_s):
            return target == BAD_TARGET and elapsed_s % period_s < period_s / 2
        case _:
            return False


def answers_probe(fault: Fault, target: str, elapsed_s: float) -> bool:
    """Return whether a probe succeeds; a target with a gray failure answers probes."""
    match fault:
        case HardFailure() | Flapping():
            return not is_failing(fault, target, elapsed_s)
        case _:
            return True


def simulate_answer(
    fault: Fault, attempt: Attempt, elapsed_s: float, rng: random.Random
) -> tuple[float, Observation]:
    """Return the time an attempt takes, in ms, and its outcome."""
    latency_ms = MEDIAN_LATENCY_MS * rng.lognormvariate(0.0, LATENCY_SIGMA)
    usual = _usual_answer(attempt, latency_ms, rng)
    match fault:
        case HardFailure() if is_failing(fault, attempt.target, elapsed_s):
            return 1.0, Failure(FailureKind.CONNECT, attempt.fingerprint)
        case PartlyFailing(share) if attempt.target == BAD_TARGET:
            return _fail_share(share, attempt, usual, rng)
        case ServiceFault(share):
            return _fail_share(share, attempt, usual, rng)
        case Slow(factor) if attempt.target == BAD_TARGET:
            slow_ms = latency_ms * factor
            return slow_ms, Success(slow_ms, attempt.fingerprint)
        case FailsForWorkspaces(share) if attempt.target == BAD_TARGET:
            is_affected = attempt.workspace < share * WORKSPACES
            return _fail_share(float(is_affected), attempt, usual, rng)
        case Flapping() if is_failing(fault, attempt.target, elapsed_s):
            return 5.0, Failure(FailureKind.CRASH, attempt.fingerprint)
        case Poison() if attempt.fingerprint == POISON_FINGERPRINT:
            return 5.0, Failure(FailureKind.CRASH, attempt.fingerprint)
        case LossyLinks(loss) if attempt.is_remote:
            return _delay_on_lossy_link(loss, attempt, usual, rng)
        case _:
            return usual


def _usual_answer(
    attempt: Attempt, latency_ms: float, rng: random.Random
) -> tuple[float, Observation]:
    if rng.random() < BACKGROUND_FAILING_SHARE:
        failure = Failure(FailureKind.SERVER_ERROR, attempt.fingerprint)
        return latency_ms, failure
    return latency_ms, Success(latency_ms, attempt.fingerprint)


def _fail_share(
    share: float,
    attempt: Attempt,
    usual: tuple[float, Observation],
    rng: random.Random,
) -> tuple[float, Observation]:
    if rng.random() >= share:
        return usual
    return usual[0], Failure(FailureKind.SERVER_ERROR, attempt.fingerprint)


def _delay_on_lossy_link(
    loss: float,
    attempt: Attempt,
    usual: tuple[float, Observation],
    rng: random.Random,
) -> tuple[float, Observation]:
    latency_ms, outcome = usual
    # A request and its answer take about four packets, each of which can be lost. A
    # loss costs a retransmission time-out, which doubles with each further loss.
    wait_ms = RETRANSMISSION_MS
    while rng.random() < 1 - (1 - loss) ** 4:
        latency_ms += wait_ms
        wait_ms *= 2
    if latency_ms > DEADLINE_MS:
        return DEADLINE_MS, Failure(FailureKind.DEADLINE, attempt.fingerprint)
    if isinstance(outcome, Success):
        return latency_ms, Success(latency_ms, attempt.fingerprint)
    return latency_ms, outcome
