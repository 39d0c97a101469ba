"""How long a service's answers usually take."""

from dogwoodhook.state.typical_latency import RECENT_ANSWERS, TypicalLatency


def limits(latencies_s):
    typical = TypicalLatency()
    for latency_s in latencies_s:
        typical.record(latency_s)
    return (
        typical.hedge_after_s(target_latency_s=1.0),
        typical.overdue_s(target_latency_s=1.0),
    )


def test_fast_answers_leave_the_limits_at_a_share_of_the_target_latency():
    hedge_after_s, overdue_s = limits([0.1] * 30)
    assert hedge_after_s == overdue_s == 0.6


def test_a_burst_of_only_slow_answers_raises_the_overdue_limit():
    _, overdue_s = limits([0.3] * 30 + [0.9] * RECENT_ANSWERS)
    assert overdue_s > 2.0


def test_a_few_slow_answers_do_not_raise_the_overdue_limit():
    _, overdue_s = limits([0.3] * 16 + [3.0] * 8)
    assert overdue_s < 1.0
