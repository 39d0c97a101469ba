"""Retries: whether a request may be retried, and how many retries a service may use.

``decide_retry`` decides whether a retry is safe and useful. ``RetryBudget`` limits the
retries of a service: when every target fails, they stay a bounded share of the callers'
requests, so that they do not prolong an outage.
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
"""Time left until the caller's deadline below which a retry is pointless."""

RESERVE_TOKENS = 3.0
"""Retries that a service may use before its requests have earned any."""

RESERVE_REFILL_PER_S = 1 / 30
"""Rate at which a spent reserve refills, so that a quiet service can retry."""

MAX_TOKENS = 10.0
"""Largest number of earned tokens; it bounds the burst when a target fails."""

RETRIED_STATUSES = frozenset({500, 502, 503, 504})
"""Statuses of answers after which another target may give a better one."""

AttemptOutcome = Outcome


class GiveUpReason(StrEnum):
    """Why a request is not retried."""

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
    """The request waits for a target again, ahead of requests that arrived later.

    A shed costs the target nearly nothing, and the back-off bounds how often a daemon
    tries it again, so no budget is needed. Daemons that share slots without knowing
    each other's counts are shed below capacity too.
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
    """Return whether a request may be retried after an attempt.

    ``is_replayable`` means that the complete body can be sent again, because it is
    buffered or because none of it has been read from the caller yet. ``attempts`` is
    the number of attempts so far, without the ``sheds``. The budget is not considered
    here; it must be asked afterwards if the decision is ``Retry``.

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
    """Token bucket for the retries of one service on one daemon.

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
        """Take one retry if the budget allows it; return whether it does."""
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
