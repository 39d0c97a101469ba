"""The soak's verdicts, and a short soak."""

from dataclasses import replace

import pytest

from tests.platform_adapter.soak.records import (
    CallRecord,
    Change,
    Disturbance,
    Ending,
    Kill,
    RunRecord,
    Stop,
    find_stale_configurations,
    find_violations,
)
from tests.platform_adapter.soak.run import soak

CALL = CallRecord(
    request_id="a",
    is_idempotent=False,
    path="/post/a",
    daemon="vm-1",
    sent_s=1.0,
    ended_s=2.0,
    ending=Ending.ANSWERED,
    status=200,
    body="t1 ran /post/a",
    echoed_id="a",
    signature="t1",
)
RUN = RunRecord("a", "t1", 1.5)

FAILED_SEEDS = (
    # The soak's own relay ended connections well that a target had reset.
    7,
    11,
    14,
    # Cut in the last sixth of the grace period, target silent: allowed, told apart now.
    24,
    30,
    34,
    # Another soak at the same time had daemons at the same addresses.
    52,
    53,
    54,
    # A call for targets that had failed kept a daemon from asking for configurations.
    203,
)
"""Seeds that found a fault once, each with a line on its cause."""


def rules(call, *runs, ends=()):
    return [each.rule for each in find_violations([call], runs, ends)]


def test_a_request_that_ran_once_and_was_answered_breaks_nothing():
    assert rules(CALL, RUN) == []


@pytest.mark.parametrize(
    ("call", "runs", "rule"),
    [
        (CALL, [RUN, replace(RUN, target="t2")], "run twice"),
        (replace(CALL, status=503), [RUN], "said not to have run"),
        (replace(CALL, status=404), [], "denied"),
        (replace(CALL, echoed_id="b"), [RUN], "answer of another request"),
        (replace(CALL, body="t1 ran"), [RUN], "not the target's answer"),
        (replace(CALL, signature="t2"), [RUN], "not the target's answer"),
        (CALL, [RUN, replace(RUN, request_id="b")], "unasked"),
    ],
)
def test_each_broken_promise_is_found(call, runs, rule):
    assert rules(call, *runs) == [rule]


def test_a_request_may_be_cut_by_a_kill():
    cut = replace(CALL, ending=Ending.BROKEN, status=0)
    assert rules(cut, RUN) == ["cut"]
    assert rules(cut, RUN, ends=[Kill("vm-1", 1.7)]) == []
    assert rules(cut, RUN, ends=[Kill("vm-2", 1.7)]) == ["cut"]


def test_a_request_may_be_cut_in_the_last_sixth_of_a_grace_period():
    cut = replace(CALL, ending=Ending.BROKEN, status=0)
    assert rules(cut, RUN, ends=[Stop("vm-1", -0.6, 3.0)]) == []
    assert rules(cut, RUN, ends=[Stop("vm-1", -0.4, 3.0)]) == ["cut"]
    assert rules(cut, RUN, ends=[Stop("vm-1", -1.1, 3.0)]) == ["cut"]
    assert rules(cut, RUN, ends=[Stop("vm-2", -0.6, 3.0)]) == ["cut"]


ADDED = replace(CALL, added_in=5, sent_s=10.0, ended_s=10.1)
UNKNOWN = replace(ADDED, status=404)


def stale(*calls, acknowledged_s=7.4, is_valid=True, disturbances=()):
    changes = [Change(5, acknowledged_s, is_valid)]
    found = find_stale_configurations(calls, changes, disturbances)
    return [each.rule for each in found]


def test_a_version_that_is_not_in_force_in_time_is_found():
    assert stale(ADDED) == []
    assert stale(UNKNOWN) == ["a version not in force in time"]
    assert stale(UNKNOWN, acknowledged_s=7.6) == []


@pytest.mark.parametrize(
    ("disturbance", "is_excused"),
    [
        (Disturbance("vm-1", 5.0, 7.1), True),
        (Disturbance(None, 5.0, 7.1), True),
        (Disturbance("vm-1", 9.0, float("inf")), True),
        (Disturbance("vm-1", 5.0, 6.9), False),
        (Disturbance("vm-2", 9.0, 9.5), False),
        (Disturbance("vm-1", 10.5, 11.0), False),
    ],
)
def test_a_disturbance_excuses_only_its_daemon_and_for_a_time(disturbance, is_excused):
    assert bool(stale(UNKNOWN, disturbances=[disturbance])) != is_excused


def test_an_older_version_again_is_found_in_one_incarnation_despite_disturbances():
    later = replace(UNKNOWN, sent_s=10.4, ended_s=10.5)
    disturbances = [Disturbance("vm-1", 0.0, 20.0)]
    rule = "an older version again"
    assert stale(ADDED, later, disturbances=disturbances) == [rule]
    restarted = replace(later, incarnation=1)
    assert stale(ADDED, restarted, disturbances=disturbances) == []
    at_once = replace(later, sent_s=10.3)
    assert stale(ADDED, at_once, disturbances=disturbances) == []


def test_an_invalid_version_in_use_is_found():
    assert stale(ADDED, is_valid=False) == ["an invalid version in use"]
    assert stale(UNKNOWN, is_valid=False) == []


@pytest.mark.parametrize("seed", [1, *FAILED_SEEDS])
async def test_a_short_soak_breaks_nothing(seed):
    report = await soak(seed=seed, seconds=6.0)
    assert not report.violations, str(report)
