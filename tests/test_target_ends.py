"""Ends of targets that become known late, and the requests that were there."""

import random

import pytest

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.attempt_sharing import AttemptSharing
from dogwoodhook.coordination.fleet_messages import TargetEnded
from dogwoodhook.coordination.target_ends import EndEvidence, TargetEnds
from dogwoodhook.state.attempted_request import AttemptedRequest, TargetProcess
from dogwoodhook.state.quarantine import Admit, Refuse, RequestIdentity
from dogwoodhook.state.unanswered_runs import KEPT_S, UnansweredRun
from tests.test_fleet_quarantine import make_fleet_quarantine

IDENTITY = RequestIdentity("harmful", "harmful of any caller")


class RecordingLinks:
    """Keeps the messages that a daemon sends."""

    def __init__(self):
        self.sent = []

    def broadcast(self, message):
        self.sent.append(message)


class Daemon:
    """The quarantine of one daemon, and the ends that it knows."""

    def __init__(self):
        self.clock = ManualClock()
        self.links = RecordingLinks()
        self.crashes = 0
        self.quarantine = make_fleet_quarantine(
            "vm-1", self.links, self.clock, random.Random(1), None
        )
        self.ends = TargetEnds(
            self.quarantine,
            self.links,
            self.clock,
            daemon="vm-1",
            attempt_sharing=AttemptSharing(
                self.links,
                self.clock,
                daemon="vm-1",
                rng=random.Random(1),
                is_suspect=self.quarantine.is_watched,
            ),
            on_crash=self.count_crash,
        )

    def count_crash(self):
        self.crashes += 1

    def give_up(self, target, *, has_lost_connection=False):
        self.ends.record_unanswered(
            UnansweredRun(
                AttemptedRequest("payouts", IDENTITY, "1", "10.0.0.9"),
                TargetProcess(target, 1),
                at_s=self.clock.now_s(),
                has_lost_connection=has_lost_connection,
            )
        )

    def reported_ends(self):
        return [each for each in self.links.sent if isinstance(each, TargetEnded)]

    def wait(self, seconds):
        self.clock.elapsed_s += seconds


@pytest.fixture
def daemon():
    return Daemon()


@pytest.mark.parametrize("evidence", list(EndEvidence))
@pytest.mark.parametrize("has_lost_connection", [True, False])
def test_an_end_that_is_known_later_counts_for_no_request(
    daemon, evidence, has_lost_connection
):
    for number in range(3):
        daemon.give_up(f"t{number}", has_lost_connection=has_lost_connection)
    daemon.wait(5.0)
    for number in range(3):
        daemon.ends.record_end(f"t{number}", 1, evidence)
    assert daemon.crashes == 3
    assert daemon.quarantine.check(IDENTITY) != Admit()


def test_the_end_of_another_incarnation_counts(daemon):
    daemon.give_up("t1")
    daemon.ends.record_end("t1", 2, EndEvidence.CLOSED_PORT)
    assert daemon.crashes == 0


def test_an_end_counts_for_a_request_that_was_there_long_before(daemon):
    daemon.give_up("t1")
    daemon.wait(KEPT_S + 1.0)
    daemon.ends.record_end("t1", 1, EndEvidence.CLOSED_PORT)
    assert daemon.crashes == 0


def test_one_end_counts_twice_for_a_request(daemon):
    for _ in range(3):
        daemon.give_up("t1")
    daemon.ends.record_end("t1", 1, EndEvidence.CLOSED_PORT)
    daemon.wait(3.0)
    daemon.ends.record_end("t1", 1, EndEvidence.NEW_INCARNATION)
    assert daemon.quarantine.check(IDENTITY) == Admit()


def test_a_connection_that_breaks_after_the_end_was_reported_counts_for_no_request(
    daemon,
):
    daemon.ends.receive(TargetEnded("vm-2", "t1", 1, 0.0))
    daemon.give_up("t1", has_lost_connection=True)
    assert daemon.crashes == 1


def test_a_reset_by_a_target_that_ended_before_counts(daemon):
    daemon.ends.receive(TargetEnded("vm-2", "t1", 1, 0.0))
    daemon.wait(2.0)
    daemon.give_up("t1", has_lost_connection=True)
    assert daemon.crashes == 0


def test_an_end_before_a_success_counts(daemon):
    for number in range(3):
        daemon.give_up(f"t{number}", has_lost_connection=True)
    daemon.give_up("t9", has_lost_connection=True)
    daemon.ends.record_end("t9", 1, EndEvidence.CLOSED_PORT)
    daemon.wait(1.0)
    daemon.quarantine.record_success(IDENTITY)
    daemon.wait(1.0)
    for number in range(3):
        daemon.ends.record_end(f"t{number}", 1, EndEvidence.NEW_INCARNATION)
    assert daemon.quarantine.check(IDENTITY) == Admit()


def test_an_end_before_a_quarantine_prolongs_it(daemon):
    for number in range(4):
        daemon.give_up(f"t{number}", has_lost_connection=True)
    for number in range(3):
        daemon.ends.record_end(f"t{number}", 1, EndEvidence.CLOSED_PORT)
    daemon.wait(0.5)
    refused = daemon.quarantine.check(IDENTITY)
    daemon.wait(2.0)
    daemon.ends.record_end("t3", 1, EndEvidence.NEW_INCARNATION)
    assert refused == Refuse(1.5)
    assert not isinstance(daemon.quarantine.check(IDENTITY), Refuse)


def test_an_end_is_reported_by_every_daemon_that_hears_of_it(daemon):
    daemon.ends.receive(TargetEnded("vm-2", "t1", 1, 0.0))
    daemon.ends.record_end("t1", 1, EndEvidence.CLOSED_PORT)
    daemon.ends.record_end("t2", 1, EndEvidence.NEW_INCARNATION)
    assert daemon.reported_ends() == []
    for _ in range(2):
        daemon.ends.record_end("t3", 1, EndEvidence.CLOSED_PORT)
    assert daemon.reported_ends() == [TargetEnded("vm-1", "t3", 1, 0.0)]
