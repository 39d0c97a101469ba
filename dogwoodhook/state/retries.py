"""Retries: whether an attempt may be repeated, and how many repeats a service bears.

``decide_retry`` asks whether a repeat is safe and useful. ``RetryBudget`` asks
whether the service can bear it: when every target fails, repeats stay a bounded
share of the callers' requests, so that an outage is not made longer by them.
"""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodhook.state.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)

MAX_ATTEMPTS = 3
"""Attempts of one request, the first included."""

MAX_SHEDS = 32
"""Times that targets may shed one request before it is refused."""

MIN_REMAINING_MS = 10.0
"""Time left until the caller's deadline below which a repeat is pointless."""

RESERVE_TOKENS = 3.0
"""Repeats that a service may spend before its requests have earned any."""

RESERVE_REFILL_PER_S = 1 / 30
"""Rate at which a spent reserve returns, so that a quiet service can retry."""

MAX_TOKENS = 10.0
"""Most repeats saved up; bounds the burst when a target dies."""

RETRIED_STATUSES = frozenset({500, 502, 503, 504})
"""Answers that another target may well improve on."""

AttemptOutcome = Outcome


class GiveUpReason(StrEnum):
    """Why an attempt is not repeated."""

    ANSWERED = "answered"
    NOT_HELPED = "not-helped"
    MAY_HAVE_RUN = "may-have-run"
    NOT_REPLAYABLE = "not-replayable"
    ANSWER_STARTED = "answer-started"
    DEADLINE = "deadline"
    ATTEMPTS = "attempts"


@dataclass(frozen=True, slots=True)
class Retry:
    """The request may be sent to another target."""


@dataclass(frozen=True, slots=True)
class Requeue:
    """The request waits for a target again, ahead of those that came later.

    A shed costs the target nearly nothing and its back-off bounds how often a
    daemon asks it again, so no budget is needed. Daemons that share slots without
    knowing each other's counts meet sheds below capacity too.
    """


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The attempt's outcome is the request's outcome."""

    reason: GiveUpReason


RetryDecision = Retry | Requeue | GiveUp


def decide_retry(
    attempt: AttemptOutcome,
    *,
    is_idempotent: bool,
    is_replayable: bool,
    has_answer_started: bool,
    remaining_ms: float,
    attempts: int,
    sheds: int = 0,
) -> RetryDecision:
    """Decide whether an attempt may be repeated.

    ``is_replayable`` tells that the whole body can be sent again, either because
    it is buffered or because none of it has been read from the caller yet.
    ``attempts`` counts those made so far without the ``sheds``. For ``Retry``, the
    budget is asked afterwards.

    >>> decide_retry(
    ...     NotRun(NotRunReason.CONNECT_FAILED),
    ...     is_idempotent=False,
    ...     is_replayable=True,
    ...     has_answer_started=False,
    ...     remaining_ms=900.0,
    ...     attempts=1,
    ... )
    Retry()
    """
    reason = _unsafe_or_useless(attempt, is_idempotent=is_idempotent)
    if reason is not None:
        return GiveUp(reason)
    if has_answer_started:
        return GiveUp(GiveUpReason.ANSWER_STARTED)
    if not is_replayable:
        return GiveUp(GiveUpReason.NOT_REPLAYABLE)
    if remaining_ms < MIN_REMAINING_MS:
        return GiveUp(GiveUpReason.DEADLINE)
    if attempt == NotRun(NotRunReason.TARGET_SHED):
        return Requeue() if sheds < MAX_SHEDS else GiveUp(GiveUpReason.ATTEMPTS)
    if attempts >= MAX_ATTEMPTS:
        return GiveUp(GiveUpReason.ATTEMPTS)
    return Retry()


def _unsafe_or_useless(
    attempt: AttemptOutcome, *, is_idempotent: bool
) -> GiveUpReason | None:
    match attempt:
        case Answered(status) if status not in RETRIED_STATUSES:
            return GiveUpReason.ANSWERED
        case NotRun(NotRunReason.CONNECT_FAILED | NotRunReason.TARGET_SHED):
            return None
        case NotRun():
            return GiveUpReason.NOT_HELPED
        case Unknown(UnknownReason.CALLER_BODY_BROKEN):
            return GiveUpReason.NOT_HELPED
        case Answered() | Unknown() if not is_idempotent:
            return GiveUpReason.MAY_HAVE_RUN
        case _:
            return None


class RetryBudget:
    """Token bucket of one service's retries on one daemon.

    Each request of a caller earns ``retry_budget_percent`` of a token and each
    retry costs one, so over any span

        retries <= percent / 100 * requests + RESERVE_TOKENS + refilled reserve

    where the reserve refills by ``RESERVE_REFILL_PER_S`` while it is not full.

    >>> budget = RetryBudget(retry_budget_percent=10, now_s=0.0)
    >>> [budget.try_take(0.0) for _ in range(4)]
    [True, True, True, False]
    """

    def __init__(self, *, retry_budget_percent: int, now_s: float) -> None:
        self.retry_budget_percent = retry_budget_percent
        self._earned = 0.0
        self._reserve = RESERVE_TOKENS
        self._refilled_at_s = now_s

    def record_request(self, now_s: float) -> None:
        """Count a caller's request, not a retry."""
        self._refill(now_s)
        earned = self._earned + self.retry_budget_percent / 100
        self._earned = min(earned, MAX_TOKENS)

    def try_take(self, now_s: float) -> bool:
        """Take one retry, if the service can bear it."""
        self._refill(now_s)
        if self.retry_budget_percent == 0:
            return False
        if self._earned >= 1:
            self._earned -= 1
            return True
        if self._reserve >= 1:
            self._reserve -= 1
            return True
        return False

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        refilled = self._reserve + elapsed_s * RESERVE_REFILL_PER_S
        self._reserve = min(refilled, RESERVE_TOKENS)
