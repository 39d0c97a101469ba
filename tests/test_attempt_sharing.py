"""Daemons that are killed while targets have requests of theirs."""

import asyncio
import random

import pytest

from dogwoodhook.coordination.attempt_sharing import (
    MAX_MESSAGES,
    RECEIVERS,
    REPORT_INTERVAL_S,
    AttemptSharing,
    choose_receivers,
)
from dogwoodhook.coordination.fleet_messages import (
    AttemptReport,
    SuspectStates,
    TargetEnded,
)
from dogwoodhook.coordination.target_ends import EndEvidence, TargetEnds
from dogwoodhook.protocol.fleet_codec import decode_datagram, encode_datagram
from dogwoodhook.state.attempted_request import AttemptedRequest, TargetProcess
from dogwoodhook.state.open_attempts import (
    MAX_PROCESSES,
    SENDS,
    OpenAttempts,
)
from dogwoodhook.state.quarantine import Admit, RequestIdentity
from dogwoodhook.state.reported_attempts import GRACE_S, ReportedAttempts
from dogwoodhook.state.unanswered_runs import KEPT_S, UnansweredRun
from tests import virtual_time
from tests.test_fleet_quarantine import HARMFUL, KEY, MemoryStore, make_fleet_quarantine

COPIES = 4
COPY_PAUSE_S = 0.05
PACKET_BYTES = 1400


class Links:
    """Delivers a daemon's messages, losing some."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def neighbours(self):
        own = self._fleet.data_centre(self._name)
        return [each for each in self._others() if self._fleet.data_centre(each) == own]

    def live_daemons(self):
        names = {}
        for each in self._others():
            names.setdefault(self._fleet.data_centre(each), []).append(each)
        return names

    def notify(self, message, daemons):
        for each in daemons:
            self._fleet.deliver(message, each)

    def notify_some(self, message, count):
        others = self._others()
        self.notify(message, self._fleet.rng.sample(others, min(count, len(others))))

    def broadcast(self, message):
        self.notify(message, self._others())

    def _others(self):
        return [each for each in self._fleet.daemons if each != self._name]


class Daemon:
    """One daemon's attempts, ends and suspects."""

    def __init__(self, fleet, name):
        links = Links(fleet, name)
        self.name = name
        self.clock = fleet.clock
        self.crashes = 0
        self.quarantine = make_fleet_quarantine(
            name, links, fleet.clock, fleet.rng, fleet.store
        )
        self.sharing = AttemptSharing(
            links,
            fleet.clock,
            daemon=name,
            rng=fleet.rng,
            is_suspect=self.quarantine.is_watched,
        )
        self.ends = TargetEnds(
            self.quarantine,
            links,
            fleet.clock,
            daemon=name,
            attempt_sharing=self.sharing,
            on_crash=self._count_crash,
        )
        self.tasks = [
            asyncio.ensure_future(work())
            for work in (self.quarantine.run, self.sharing.run)
        ]

    def _count_crash(self):
        self.crashes += 1

    def receive(self, message):
        match message:
            case AttemptReport():
                self.sharing.receive(message)
            case SuspectStates():
                self.quarantine.receive(message)
            case TargetEnded():
                self.ends.receive(message)

    def send(self, target, *, number=0, identity=HARMFUL):
        """Send a copy of a request to a target; return what ends it."""
        request = AttemptedRequest("payouts", identity, f"{number}", "10.0.0.9")
        process = TargetProcess(target, 1)
        attempt = self.sharing.begin(request, process)

        def end(*, is_unanswered=False):
            if is_unanswered:
                run = UnansweredRun(
                    request,
                    process,
                    at_s=self.clock.now_s(),
                    has_lost_connection=True,
                )
                self.ends.record_unanswered(run)
            self.sharing.end(request, attempt, is_unanswered=is_unanswered)

        return end

    def quarantines(self, identity=HARMFUL):
        """Return how often a request has been in quarantine."""
        states = self.quarantine.snapshot().states
        return max(
            each.quarantines
            for each in states
            if each.fingerprint == identity.fingerprint
        )

    def counted_ends(self, identity=HARMFUL):
        """Return the targets whose ends count for a request that is not refused."""
        states = self.quarantine.snapshot().states
        return {
            crash.target
            for state in states
            if state.fingerprint == identity.fingerprint
            for crash in state.crashes
        }


class Fleet:
    """Daemons whose messages arrive at once, unless they are lost."""

    def __init__(self, daemons, *, data_centres=1, loss=0.0, seed=1):
        self.clock = virtual_time.LoopClock()
        self.rng = random.Random(seed)
        self.loss = loss
        self.data_centres = data_centres
        self.store = MemoryStore()
        self.reports = []
        self.daemons = {}
        for number in range(daemons):
            self.start(f"vm-{number}")

    def start(self, name):
        self.daemons[name] = Daemon(self, name)
        return self.daemons[name]

    def data_centre(self, name):
        return int(name.partition("-")[2]) % self.data_centres

    def deliver(self, message, name):
        if isinstance(message, AttemptReport):
            self.reports.append(message)
        encoded = encode_datagram(message, key=KEY)
        if isinstance(message, AttemptReport):
            assert len(encoded) < PACKET_BYTES
        receiver = self.daemons.get(name)
        if receiver is not None and self.rng.random() >= self.loss:
            receiver.receive(decode_datagram(encoded, key=KEY).ok)

    async def kill(self, name):
        """Kill a daemon, which sends nothing afterwards."""
        daemon = self.daemons.pop(name)
        for task in daemon.tasks:
            task.cancel()
        await asyncio.gather(*daemon.tasks, return_exceptions=True)

    def end_target(self, target, evidence=EndEvidence.NEW_INCARNATION):
        """End a target; all daemons read from the store that it did."""
        for daemon in tuple(self.daemons.values()):
            daemon.ends.record_end(target, 1, evidence)

    def admissions(self, identity=HARMFUL):
        return {type(each.quarantine.check(identity)) for each in self.daemons.values()}


def play(work, *arguments, **options):
    """Run a play on a fleet in virtual time, and end the daemons' tasks."""

    async def run():
        fleet = Fleet(*arguments, **options)
        try:
            return await work(fleet)
        finally:
            for name in tuple(fleet.daemons):
                await fleet.kill(name)

    return virtual_time.run(run)


async def send_copies(daemon, *, copies=COPIES, identity=HARMFUL):
    ends = []
    for number in range(copies):
        ends.append(daemon.send(f"t{number}", number=number, identity=identity))
        await asyncio.sleep(COPY_PAUSE_S)
    return ends


def end_targets(fleet, *, targets=COPIES):
    for number in range(targets):
        fleet.end_target(f"t{number}")


@pytest.mark.parametrize("data_centres", [1, 3])
@pytest.mark.parametrize("daemons", [2, 3, 40])
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("is_given_up", [False, True])
@pytest.mark.parametrize("starts_again", [False, True])
def test_ends_after_the_kill_of_their_sender_are_attributed_to_nothing(
    daemons, data_centres, seed, is_given_up, starts_again
):
    async def kill_sender(fleet):
        ends = await send_copies(fleet.daemons["vm-1"])
        if is_given_up:
            for end in ends:
                end(is_unanswered=True)
        await asyncio.sleep(0.5)
        await fleet.kill("vm-1")
        if starts_again:
            fleet.start("vm-1")
            await asyncio.sleep(1.0)
        end_targets(fleet)
        await asyncio.sleep(GRACE_S + 3 * REPORT_INTERVAL_S)
        # The first quarantine is short; the next run of the request is a trial.
        assert Admit not in fleet.admissions()
        assert all(each.quarantines() == 1 for each in fleet.daemons.values())

    options = {"data_centres": data_centres, "seed": seed, "loss": 0.1}
    play(kill_sender, daemons, **options)


def test_an_end_under_a_suspect_is_forgotten_with_its_sender():
    """One target ended before, so that a single copy counts."""

    async def kill_sender(fleet):
        sender = fleet.daemons["vm-1"]
        sender.quarantine.record_crash("payouts", HARMFUL, "t9/1")
        sender.send("t0")
        await asyncio.sleep(2 * REPORT_INTERVAL_S)
        await fleet.kill("vm-1")
        fleet.end_target("t0")
        await asyncio.sleep(GRACE_S + 2 * REPORT_INTERVAL_S)
        assert all(
            each.counted_ends() == {"t0/1", "t9/1"} for each in fleet.daemons.values()
        )

    play(kill_sender, 3)


def test_the_entry_of_a_target_is_removed_after_its_sender_was_killed():
    """A daemon that was told of the copies checks the target's address."""

    async def kill_sender(fleet):
        await send_copies(fleet.daemons["vm-0"])
        await asyncio.sleep(REPORT_INTERVAL_S)
        await fleet.kill("vm-0")
        assert all(each.ends.has_unanswered_at("t0") for each in fleet.daemons.values())
        await asyncio.sleep(KEPT_S + 1.0)
        assert not any(
            each.ends.has_unanswered_at("t0") for each in fleet.daemons.values()
        )

    play(kill_sender, 3)


@pytest.mark.parametrize("copies", [2, COPIES])
@pytest.mark.parametrize("seed", range(20))
def test_ends_count_for_a_request_that_was_answered(copies, seed):
    async def answer_and_end(fleet):
        sender = fleet.daemons["vm-1"]
        ends = await send_copies(sender, copies=copies)
        await asyncio.sleep(2 * REPORT_INTERVAL_S)
        for end in ends:
            end()
        end_targets(fleet)
        await asyncio.sleep(3 * GRACE_S)
        assert fleet.admissions() == {Admit}
        assert not any(each.counted_ends() for each in fleet.daemons.values())

    play(answer_and_end, 3, loss=0.1, seed=seed)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("pause_s", [0.0, 0.4, 2.0])
def test_an_end_counts_twice_if_its_sender_lives(pause_s, seed):
    """The sender finds the closed port; the store tells the others later."""

    async def end_one(fleet):
        sender = fleet.daemons["vm-1"]
        ends = await send_copies(sender, copies=2)
        await asyncio.sleep(2 * REPORT_INTERVAL_S)
        ends[0](is_unanswered=True)
        sender.ends.record_end("t0", 1, EndEvidence.CLOSED_PORT)
        await asyncio.sleep(pause_s)
        fleet.end_target("t0")
        await asyncio.sleep(3 * GRACE_S)
        assert fleet.admissions() == {Admit}
        for each in fleet.daemons.values():
            assert each.counted_ends() <= {"t0/1"}
        assert sum(each.crashes for each in fleet.daemons.values()) == 1

    play(end_one, 3, loss=0.1, seed=seed)


def test_single_requests_cost_messages():
    async def send_many(fleet):
        sender = fleet.daemons["vm-1"]
        for number in range(100):
            identity = RequestIdentity(f"{number}", f"{number} of any caller")
            sender.send("t0", number=number, identity=identity)
        await asyncio.sleep(3.0)
        return len(fleet.reports)

    assert play(send_many, 3) == 0


def test_copies_that_are_answered_soon_cost_messages():
    async def answer_soon(fleet):
        for _ in range(20):
            for end in await send_copies(fleet.daemons["vm-1"], copies=2):
                end()
            await asyncio.sleep(REPORT_INTERVAL_S)
        return len({report.number for report in fleet.reports})

    # A copy that is open when a report is due is told, and its answer as well.
    assert play(answer_soon, 3) <= 20 * SENDS


def test_repeated_requests_cost_messages_without_limit():
    seconds = 20

    async def repeat_many(fleet):
        sender = fleet.daemons["vm-1"]
        for number in range(200 * seconds):
            identity = RequestIdentity(
                f"{number // 2:032}", f"{number // 2:032} of any caller"
            )
            sender.send(f"target-{number % 40}", number=number, identity=identity)
            await asyncio.sleep(1 / 200)
        return len(fleet.reports)

    most = RECEIVERS * MAX_MESSAGES / REPORT_INTERVAL_S * seconds
    assert 0 < play(repeat_many, 40, data_centres=4) <= most


def test_a_daemon_without_copies_is_woken_for_ever():
    async def wait(fleet):
        for end in await send_copies(fleet.daemons["vm-1"]):
            end()
        await asyncio.sleep(KEPT_S + 5.0)
        reports = len(fleet.reports)
        await asyncio.sleep(60.0)
        assert len(fleet.reports) == reports
        assert not any(
            each.sharing._has_any.is_set() for each in fleet.daemons.values()
        )

    play(wait, 3)


def test_receivers_are_neighbours_if_there_are_enough():
    names = [f"vm-{number}" for number in range(6)]
    assert choose_receivers("vm-5", ["vm-1", "vm-3"], names[:5]) == ("vm-1", "vm-3")
    assert choose_receivers("vm-2", ["vm-0"], names) == ("vm-0", "vm-3")
    assert choose_receivers("vm-2", [], []) == ()


def make_request(number=0, *, identity=HARMFUL):
    return AttemptedRequest("payouts", identity, f"{number}", "10.0.0.9")


def test_attempts_without_an_answer_are_kept_without_limit():
    attempts = OpenAttempts()
    for number in range(10_000):
        identity = RequestIdentity(f"{number}", "any")
        process = TargetProcess("t1", 1)
        attempts.begin(
            make_request(number, identity=identity), process, now_s=0.0, is_suspect=True
        )
    assert len(attempts._attempts) == len(attempts._shared) <= 1024


def test_a_message_grows_with_the_copies():
    attempts = OpenAttempts()
    for number in range(100):
        process = TargetProcess(f"t{number}", 1)
        attempts.begin(make_request(number), process, now_s=0.0)
    (request,) = attempts.take_due(now_s=0.0, limit=3)
    assert len(request.processes) == MAX_PROCESSES
    assert request.processes[0] == TargetProcess("t99", 1)


def test_an_older_report_replaces_a_newer_one():
    reported, process = ReportedAttempts(), TargetProcess("t1", 1)
    attempts = OpenAttempts()
    attempts.begin(make_request(1), process, now_s=0.0)
    attempts.begin(make_request(2), process, now_s=0.0)
    (opened,) = attempts.take_due(now_s=0.0, limit=1)
    attempts.record_end(process)
    (settled,) = attempts.take_due(now_s=0.0, limit=1)
    for number, request in [(2, settled), (1, opened)]:
        reported.record_report(
            (request,), daemon="vm-1", run=1, number=number, now_s=0.0
        )
    reported.record_end(process, at_s=0.1, now_s=0.1)
    assert reported.take_unattributed(0.1 + GRACE_S) == ()
