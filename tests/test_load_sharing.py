"""When the neighbours are told of requests in flight, and what that is worth."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import replace

import pytest

from dogwoodhook.coordination import load_sharing
from dogwoodhook.coordination.load_sharing import LoadSharing
from dogwoodhook.state.fleet_load import FleetLoad
from dogwoodhook.state.placement import Placement
from dogwoodhook.state.suspicion import Suspicion
from dogwoodhook.state.target_directory import TargetEntry

TARGET = TargetEntry("t", "payouts", "10.0.0.1", 80, "oulu-1", 3, False, 0.0, 1)
NEIGHBOURS = 26
TARGETS = 12
WORK_S = 0.24
BUSY_SHARE = 0.75
HEARD_AFTER_S = 0.005
REQUESTS = 4000


class VirtualLoop:
    """Time that passes from one event to the next; has the parts of a loop in use."""

    def __init__(self):
        self.now_s = 0.0
        self._events = []
        self._numbers = itertools.count()

    def time(self):
        return self.now_s

    def call_at(self, at_s, call, *args):
        event = _Event(at_s, next(self._numbers), call, args)
        heapq.heappush(self._events, (at_s, event.number, event))
        return event

    def run_until(self, is_done):
        while self._events and not is_done():
            self.now_s, _, event = heapq.heappop(self._events)
            if not event.is_cancelled:
                event.call(*event.args)


class _Event:
    def __init__(self, at_s, number, call, args):
        self.at_s, self.number, self.call, self.args = at_s, number, call, args
        self.is_cancelled = False

    def when(self):
        return self.at_s

    def cancel(self):
        self.is_cancelled = True


@pytest.fixture
def loop(monkeypatch):
    loop = VirtualLoop()
    monkeypatch.setattr(load_sharing.asyncio, "get_running_loop", lambda: loop)
    return loop


class Links:
    """Takes down when reports were sent."""

    def __init__(self, loop, neighbours=NEIGHBOURS):
        self.sent = []
        self._loop = loop
        self._names = [f"vm-{number}" for number in range(neighbours)]

    def neighbours(self):
        return self._names

    def tell_neighbours(self, message):
        self.sent.append((self._loop.now_s, message.in_flight))


def make_sharing(loop):
    load, links = FleetLoad(), Links(loop)
    return load, links, LoadSharing(load, links, daemon="vm-1")


def note_later(loop, load, sharing, at_s, *, is_start):
    def note():
        if is_start:
            load.start("t1")
            sharing.note_start()
        else:
            load.finish("t1")
            sharing.note_end()

    loop.call_at(at_s, note)


def test_a_first_change_is_told_at_once(loop):
    load, links, sharing = make_sharing(loop)
    note_later(loop, load, sharing, 0.0, is_start=True)
    loop.run_until(lambda: False)
    assert links.sent == [(0.0, {"t1": 1})]


def test_a_start_soon_after_a_report_is_told_sooner_than_an_end(loop):
    load, links, sharing = make_sharing(loop)
    note_later(loop, load, sharing, 0.0, is_start=True)
    note_later(loop, load, sharing, 0.001, is_start=False)
    note_later(loop, load, sharing, 10.0, is_start=True)
    note_later(loop, load, sharing, 10.001, is_start=True)
    loop.run_until(lambda: False)
    (_, end_s, _, start_s) = [at_s for at_s, _ in links.sent]
    assert start_s - 10.0 < end_s


def test_a_start_is_told_with_the_ends_that_wait(loop):
    load, links, sharing = make_sharing(loop)
    note_later(loop, load, sharing, 0.0, is_start=True)
    note_later(loop, load, sharing, 0.001, is_start=False)
    note_later(loop, load, sharing, 0.002, is_start=True)
    loop.run_until(lambda: False)
    assert [in_flight for _, in_flight in links.sent] == [{"t1": 1}, {"t1": 1}]


def test_the_last_state_is_always_told(loop):
    load, links, sharing = make_sharing(loop)
    for number in range(20):
        note_later(loop, load, sharing, number * 0.003, is_start=number % 2 == 0)
    loop.run_until(lambda: False)
    assert links.sent[-1][1] == {}


def test_reports_in_a_burst_are_bounded(loop):
    load, links, sharing = make_sharing(loop)
    for number in range(1000):
        note_later(loop, load, sharing, number * 0.001, is_start=True)
    loop.run_until(lambda: False)
    in_a_second = sum(at_s < 1.0 for at_s, _ in links.sent)
    assert in_a_second * NEIGHBOURS <= 1000 + NEIGHBOURS


class ModelFleet:
    """Daemons of a data centre that share a service's targets in virtual time."""

    def __init__(self, loop, seed):
        self.requests = self.waited = 0
        self._loop = loop
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
        loop.call_at(0.0, self._request)

    def _placement(self, load):
        return Placement(
            Suspicion(daemon="vm", rng=self._rng),
            load,
            data_centre="oulu-1",
            rng=self._rng,
            has_idle_connection=lambda target: True,
            has_joined_lately=lambda name, now_s: False,
        )

    def _request(self):
        now_s = self._loop.now_s
        number = self._rng.randrange(len(self._loads))
        placement = self._placements[number]
        target = placement.choose(
            self._targets, tried=frozenset(), is_idempotent=False, now_s=now_s
        ).target
        self.requests += 1
        self.waited += self._busy[target.name] >= target.slots
        self._busy[target.name] += 1
        placement.start(target, now_s=now_s)
        self._sharing[number].note_start()
        ends_s = now_s + self._rng.expovariate(1 / WORK_S)
        self._loop.call_at(ends_s, self._end, number, target)
        self._loop.call_at(now_s + self._rng.expovariate(self._rate), self._request)

    def _end(self, number, target):
        self._busy[target.name] -= 1
        self._placements[number].finish(target)
        self._sharing[number].note_end()

    def tell(self, teller, report):
        heard_s = self._loop.now_s + HEARD_AFTER_S
        self._loop.call_at(heard_s, self._hear, teller, report)

    def _hear(self, teller, report):
        for number, load in enumerate(self._loads):
            if number != teller:
                load.hear(report.daemon, report.in_flight, now_s=self._loop.now_s)


class _ModelLinks:
    def __init__(self, fleet, number):
        self._fleet, self._number = fleet, number
        self._names = [str(each) for each in range(NEIGHBOURS)]

    def neighbours(self):
        return self._names

    def tell_neighbours(self, report):
        self._fleet.tell(self._number, report)


def queueing_share(loop):
    fleet = ModelFleet(loop, seed=5)
    loop.run_until(lambda: fleet.requests >= REQUESTS)
    return fleet.waited / fleet.requests


def test_telling_starts_sooner_than_ends_lets_fewer_requests_find_no_slot(
    loop, monkeypatch
):
    share = queueing_share(loop)
    same = load_sharing.END_INTERVAL_S_PER_NEIGHBOUR
    monkeypatch.setattr(load_sharing, "START_INTERVAL_S_PER_NEIGHBOUR", same)
    assert share < 0.75 * queueing_share(loop)
