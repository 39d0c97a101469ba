import pytest

from dogwoodhook.state.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from dogwoodhook.state.retries import (
    MAX_ATTEMPTS,
    MAX_SHEDS,
    RESERVE_REFILL_PER_S,
    RESERVE_TOKENS,
    GiveUp,
    GiveUpReason,
    Requeue,
    Retry,
    RetryBudget,
    decide_retry,
)

LOST = Unknown(UnknownReason.CONNECTION_LOST)
SHED = NotRun(NotRunReason.TARGET_SHED)
CONNECT_FAILED = NotRun(NotRunReason.CONNECT_FAILED)


def decide(attempt, **changes):
    values = {
        "is_idempotent": True,
        "is_replayable": True,
        "has_answer_started": False,
        "remaining_ms": 1000.0,
        "attempts": 1,
    }
    return decide_retry(attempt, **(values | changes))


@pytest.mark.parametrize("attempt", [LOST, CONNECT_FAILED, Answered(503)])
def test_an_idempotent_request_is_retried(attempt):
    assert decide(attempt) == Retry()


def test_a_request_proven_not_run_is_retried_even_if_not_idempotent():
    assert decide(CONNECT_FAILED, is_idempotent=False) == Retry()
    assert decide(SHED, is_idempotent=False) == Requeue()


@pytest.mark.parametrize("attempt", [LOST, Answered(503), Answered(500)])
def test_a_non_idempotent_request_that_may_have_run_is_not_retried(attempt):
    decision = decide(attempt, is_idempotent=False)
    assert decision == GiveUp(GiveUpReason.MAY_HAVE_RUN)


@pytest.mark.parametrize(
    ("attempt", "changes", "reason"),
    [
        (Answered(404), {}, GiveUpReason.ANSWERED),
        (LOST, {"has_answer_started": True}, GiveUpReason.ANSWER_STARTED),
        (LOST, {"is_replayable": False}, GiveUpReason.NOT_REPLAYABLE),
        (SHED, {"is_replayable": False}, GiveUpReason.NOT_REPLAYABLE),
        (LOST, {"remaining_ms": 1.0}, GiveUpReason.DEADLINE),
        (SHED, {"remaining_ms": 1.0}, GiveUpReason.DEADLINE),
        (LOST, {"attempts": MAX_ATTEMPTS}, GiveUpReason.ATTEMPTS),
        (SHED, {"sheds": MAX_SHEDS}, GiveUpReason.ATTEMPTS),
        (NotRun(NotRunReason.QUEUE_FULL), {}, GiveUpReason.NOT_HELPED),
        (Unknown(UnknownReason.CALLER_BODY_BROKEN), {}, GiveUpReason.NOT_HELPED),
    ],
)
def test_giving_up_names_the_reason(attempt, changes, reason):
    assert decide(attempt, **changes) == GiveUp(reason)


def test_the_budget_bounds_retries_over_an_hour_of_outage():
    budget = RetryBudget(retry_budget_percent=10, now_s=0.0)
    retry_count = 0
    for second in range(3600):
        for _ in range(5):
            budget.record_request(float(second))
            retry_count += budget.try_take(float(second))
    assert retry_count <= 0.1 * 18_000 + RESERVE_TOKENS + 3600 * RESERVE_REFILL_PER_S


def test_a_spent_reserve_refills_without_requests():
    budget = RetryBudget(retry_budget_percent=10, now_s=0.0)
    while budget.try_take(0.0):
        pass
    assert budget.try_take(1 / RESERVE_REFILL_PER_S + 0.1)


def test_a_budget_of_zero_allows_no_retry():
    assert not RetryBudget(retry_budget_percent=0, now_s=0.0).try_take(0.0)
