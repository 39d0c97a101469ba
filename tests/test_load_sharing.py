"""When requests in flight are reported to neighbours, and the effect on queueing."""

import asyncio
import random
from collections import Counter
from dataclasses import replace

from dogwoodhook.coordination import load_sharing
from dogwoodhook.coordination.load_sharing import LoadSharing
from dogwoodhook.state.fleet_load import FleetLoad
from dogwoodhook.state.placement import Placement
from dogwoodhook.state.suspicion import Suspicion
from dogwoodhook.state.target_directory import TargetEntry
from tests import virtual_time

TARGET = TargetEntry("t", "payouts", "10.0.0.1", 80, "oulu-1", 3, False, 0.0, 1)
NEIGHBOURS = 26
TARGETS = 12
WORK_S = 0.24
BUSY_SHARE = 0.75
REPORT_DELAY_S = 0.005
REQUESTS = 4000


class RecordingLinks:
    """Records the time and the content of each report."""

    def __init__(self):
        self.sent = []

    def neighbours(self):
        return [f"vm-{number}" for number in range(NEIGHBOURS)]

    def notify_neighbours(self, message):
        now_s = asyncio.get_running_loop().time()
        self.sent.append((now_s, message.in_flight))


def reports_of(*changes):
    """Return the reports sent for changes, each a time and whether it is a start."""

    async def work():
        load, links = FleetLoad(), RecordingLinks()
        sharing = LoadSharing(load, links, daemon="vm-1")
        loop = asyncio.get_running_loop()
        for at_s, is_start in changes:
            await asyncio.sleep(at_s - loop.time())
            if is_start:
                load.start("t1")
                sharing.report_start()
            else:
                load.finish("t1")
                sharing.report_end()
        await asyncio.sleep(1.0)
        return links.sent

    return virtual_time.run(work)


def test_the_first_change_is_reported_immediately():
    assert reports_of((0.0, True)) == [(0.0, {"t1": 1})]


def test_a_start_soon_after_a_report_is_reported_sooner_than_an_end():
    (_, end_s), (first_start_s, start_s) = (
        [at_s for at_s, _ in reports_of((0.0, True), (0.001, is_start))]
        for is_start in (False, True)
    )
    assert first_start_s < start_s < end_s


def test_a_report_of_a_start_includes_unreported_ends():
    reports = reports_of((0.0, True), (0.001, False), (0.002, True))
    assert [in_flight for _, in_flight in reports] == [{"t1": 1}, {"t1": 1}]


def test_the_last_state_is_always_reported():
    changes = [(number * 0.003, number % 2 == 0) for number in range(20)]
    assert reports_of(*changes)[-1][1] == {}


def test_the_number_of_reports_in_a_burst_is_limited():
    reports = reports_of(*((number * 0.001, True) for number in range(1000)))
    in_first_second = sum(at_s < 1.0 for at_s, _ in reports)
    assert in_first_second * NEIGHBOURS <= 1000 + NEIGHBOURS


class ModelFleet:
    """Daemons of a data centre that share a service's targets in virtual time."""

    def __init__(self, *, seed):
        self.requests = self.queued = 0
        self.is_done = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(seed)
        self._targets = [replace(TARGET, name=f"t{each}") for each in range(TARGETS)]
        self._busy = Counter()
        self._loads = [FleetLoad() for _ in range(NEIGHBOURS + 1)]
        self._placements = [self._placement(load) for load in self._loads]
        self._sharing = [
            LoadSharing(load, _ModelLinks(self, number), daemon=f"vm-{number}")
            for number, load in enumerate(self._loads)
        ]
        self._rate = BUSY_SHARE * TARGET.slots * TARGETS / WORK_S
        self._request()

    def _placement(self, load):
        return Placement(
            Suspicion(daemon="vm", rng=self._rng),
            load,
            data_centre="oulu-1",
            rng=self._rng,
            has_idle_connection=lambda target: True,
            has_joined_recently=lambda name, now_s: False,
        )

    def _request(self):
        now_s = self._loop.time()
        number = self._rng.randrange(len(self._loads))
        placement = self._placements[number]
        target = placement.choose(
            self._targets, tried=frozenset(), is_idempotent=False, now_s=now_s
        ).target
        self.requests += 1
        if self.requests >= REQUESTS:
            self.is_done.set()
        self.queued += self._busy[target.name] >= target.slots
        self._busy[target.name] += 1
        placement.start(target, now_s=now_s)
        self._sharing[number].report_start()
        ends_s = now_s + self._rng.expovariate(1 / WORK_S)
        self._loop.call_at(ends_s, self._end, number, target)
        self._loop.call_at(now_s + self._rng.expovariate(self._rate), self._request)

    def _end(self, number, target):
        self._busy[target.name] -= 1
        self._placements[number].finish(target)
        self._sharing[number].report_end()

    def send_report(self, sender, report):
        received_s = self._loop.time() + REPORT_DELAY_S
        self._loop.call_at(received_s, self._receive, sender, report)

    def _receive(self, sender, report):
        for number, load in enumerate(self._loads):
            if number != sender:
                load.record_report(
                    report.daemon, report.in_flight, now_s=self._loop.time()
                )


class _ModelLinks:
    def __init__(self, fleet, number):
        self._fleet, self._number = fleet, number
        self._names = [str(each) for each in range(NEIGHBOURS)]

    def neighbours(self):
        return self._names

    def notify_neighbours(self, report):
        self._fleet.send_report(self._number, report)


def queueing_share():
    """Return the share of requests that found no free slot."""

    async def work():
        fleet = ModelFleet(seed=5)
        await fleet.is_done.wait()
        return fleet.queued / fleet.requests

    return virtual_time.run(work)


def test_reporting_starts_sooner_than_ends_leaves_fewer_requests_without_a_slot(
    monkeypatch,
):
    share = queueing_share()
    end_interval_s = load_sharing.END_INTERVAL_S_PER_NEIGHBOUR
    monkeypatch.setattr(load_sharing, "START_INTERVAL_S_PER_NEIGHBOUR", end_interval_s)
    assert share < 0.75 * queueing_share()
