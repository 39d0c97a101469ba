"""Checks the floor with four daemons that pause, lose answers and lag behind.

Each daemon has a real ``EjectionManager`` and its own clock. Each call to the platform
pauses before it takes effect and again before its answer is returned, so that time
passes, other daemons act and the configuration changes in between.
"""

import contextlib
import datetime
import types
from collections.abc import Coroutine
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any
from unittest import mock

import pytest
from expression import Error
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from dogwoodhook.clock import CLOCK_RATE_ERROR, WALL_CLOCK_ERROR_S, ManualClock
from dogwoodhook.coordination import confirmation, ejection, ejection_edits
from dogwoodhook.coordination.ejection import EjectionManager, EjectionProposal
from dogwoodhook.coordination.platform import (
    OutcomeUnknown,
    Transaction,
    Unavailable,
    Write,
)
from dogwoodhook.coordination.rows import HEAD_KEY, EjectionPhase, Head
from dogwoodhook.state.floors import CONFIRMATION_LEASE_S, floor_moments
from dogwoodhook.state.model import (
    Parameters,
    PlannedStop,
    QuietHours,
    Service,
    Target,
)
from dogwoodhook.state.stops import (
    check_stop,
    drain_lead_s,
    minimum_notice_s,
    stopping_targets,
)
from dogwoodhook.testing.memory_platform import MemoryPlatform

NAMES = tuple(f"t{number}" for number in range(1, 6))
EPOCH_S = datetime.datetime(2026, 12, 4, 16, tzinfo=datetime.UTC).timestamp()
LEASE_ON_ANY_CLOCK_S = CONFIRMATION_LEASE_S * (1 + CLOCK_RATE_ERROR)
RATES = (1 - CLOCK_RATE_ERROR / 2, 1 + CLOCK_RATE_ERROR / 2, 1.0, 1.0)
WALL_ERRORS_S = (-WALL_CLOCK_ERROR_S / 2, WALL_CLOCK_ERROR_S / 2, 0.0, 0.0)

daemons = st.integers(0, len(RATES) - 1)
targets = st.sampled_from(NAMES)
kinds = st.sampled_from(["refresh", "propose", "propose", "release", "maintain"])


class Fault(Enum):
    """The fault in one half of a call to the platform: its effect or its answer."""

    NONE = "none"
    LOST = "lost"
    LATE = "takes effect later, and is not answered"


faults = st.sampled_from([Fault.NONE, Fault.NONE, Fault.NONE, Fault.LOST, Fault.LATE])


@types.coroutine
def _pause():
    return (yield)


@dataclass
class StepwisePlatform:
    """The shared table, with calls that pause twice until the driver sends a fault."""

    shared: MemoryPlatform
    late: list[Transaction]
    is_conditional_on_head: bool = True
    reads_from_s: float = 0.0
    writes_from_s: float = 0.0
    now_s: float = 0.0

    async def read(self, keys):
        if await _pause() != Fault.NONE or self.now_s < self.reads_from_s:
            return Error(Unavailable("no answer"))
        result = await self.shared.read(keys)
        if await _pause() != Fault.NONE:
            return Error(Unavailable("no answer"))
        return result

    async def commit(self, transaction):
        if not self.is_conditional_on_head:
            kept = [each for each in transaction.conditions if each.key != HEAD_KEY]
            transaction = replace(transaction, conditions=tuple(kept))
        fault = await _pause()
        if self.now_s < self.writes_from_s:
            return Error(Unavailable("cut off"))
        if fault == Fault.LATE:
            self.late.append(transaction)
        if fault in (Fault.LOST, Fault.LATE):
            return Error(OutcomeUnknown("no answer"))
        result = await self.shared.commit(transaction)
        if await _pause() != Fault.NONE:
            return Error(OutcomeUnknown("no answer"))
        return result


@dataclass
class Daemon:
    """An ejection manager and the configuration version that its daemon has adopted."""

    number: int
    platform: StepwisePlatform
    clock: ManualClock
    version: int = 1
    leaving: frozenset[str] = frozenset()
    calls: list[Coroutine[Any, Any, Any]] = field(default_factory=list)

    def __post_init__(self):
        self.restart()

    def restart(self):
        for call in self.calls:
            call.close()
        self.calls = []
        self.manager = EjectionManager(
            self.platform, self.clock, daemon=f"d{self.number}", maintenance_spread_s=0
        )

    def start(self, call):
        self.calls.append(call)
        self.advance(call, None)

    def advance(self, call, fault=Fault.NONE):
        try:
            call.send(fault)
        except StopIteration:
            self.calls.remove(call)

    def finish(self, call):
        self.start(call)
        while call in self.calls:
            self.advance(call)


@dataclass(frozen=True)
class Accepted:
    """A configuration, and the time at which it was accepted."""

    service: Service
    stops: tuple[PlannedStop, ...]
    at_s: float

    def allowed(self, wall_s):
        floor = self.service.parameters.capacity_floor_at(wall_s)
        return len(self.service.targets) - floor


def service_of(names, *, slack, quiet_hours=()):
    listed = tuple(Target(name, "a", "127.0.0.1", 1) for name in names)
    parameters = Parameters(len(names) - slack, quiet_hours, deadline_ms=1000)
    return Service("postings", "ur", parameters, listed, ())


def quiet_hours_of(names, *, slack, start_s, end_s):
    start, end = (
        datetime.datetime.fromtimestamp(moment_s, datetime.UTC).time()
        for moment_s in (start_s, end_s)
    )
    days = (1, 2, 3, 4, 5, 6, 7)
    return QuietHours("UTC", days, start, end, len(names) - slack)


class Fleet(RuleBasedStateMachine):
    """Four daemons, one table, and a history of accepted configurations."""

    is_conditional_on_head = True

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.late = []
        self.shared = MemoryPlatform()
        self.history = []
        self.accept(service_of(NAMES, slack=1), ())
        self.daemons = [self.make_daemon(number) for number in range(len(RATES))]

    def make_daemon(self, number):
        platform = StepwisePlatform(
            self.shared, self.late, is_conditional_on_head=self.is_conditional_on_head
        )
        clock = ManualClock(epoch_s=EPOCH_S + WALL_ERRORS_S[number])
        return Daemon(number, platform, clock)

    @property
    def wall_s(self):
        return EPOCH_S + self.now_s

    @property
    def newest(self):
        return self.history[-1]

    def accept(self, service, stops):
        self.history.append(Accepted(service, stops, self.now_s))
        write = Write(HEAD_KEY, Head(len(self.history)))
        self.shared.table.commit(Transaction((), (write,), "operator"))

    def configuration_of(self, daemon):
        return self.history[daemon.version - 1]

    def call(self, daemon, kind, target="", suspected_targets=frozenset()):
        known = self.configuration_of(daemon)
        rest = {"configuration_version": daemon.version}
        match kind:
            case "refresh":
                return daemon.manager.refresh([known.service.name])
            case "head":
                return daemon.manager.refresh([])
            case "release":
                return daemon.manager.release(known.service, target, **rest)
            case "maintain":
                return daemon.manager.maintain(
                    known.service, known.stops, leaving=daemon.leaving, **rest
                )
        return daemon.manager.propose(
            EjectionProposal(
                known.service,
                target,
                "crash",
                known.stops,
                daemon.leaving,
                suspected_targets,
                **rest,
            )
        )

    @rule(seconds=st.sampled_from([0.3, 1.0, 1.9, 3.9, 4.1, 9.0]))
    def pass_time(self, seconds):
        self.now_s += seconds
        for daemon, rate, error_s in zip(
            self.daemons, RATES, WALL_ERRORS_S, strict=True
        ):
            daemon.platform.now_s = self.now_s
            daemon.clock.advance(seconds * rate)
            daemon.clock.epoch_s = self.wall_s + error_s - daemon.clock.elapsed_s

    @rule(offset_s=st.sampled_from([-9.0, -0.5, 0.5]))
    def pass_time_to_the_next_edge(self, offset_s):
        lead_s = drain_lead_s(self.newest.service)
        edges_s = {
            edge_s + offset_s
            for stop in self.newest.stops
            for edge_s in (stop.start_s - lead_s, stop.end_s)
        }
        edges_s.update(self.quiet_edges_s(offset_s))
        ahead_s = [edge_s for edge_s in edges_s if edge_s > self.wall_s]
        if ahead_s:
            self.pass_time(min(ahead_s) - self.wall_s)

    def quiet_edges_s(self, offset_s):
        from_s, until_s = self.wall_s, self.wall_s + 60
        parameters = self.newest.service.parameters
        moments_s = set(floor_moments(parameters, from_s=from_s, until_s=until_s))
        return {moment_s + offset_s for moment_s in moments_s - {from_s, until_s}}

    @rule(laggard=st.none() | daemons)
    def refresh_all(self, laggard):
        for daemon in self.daemons:
            kind = "head" if daemon.number == laggard else "refresh"
            daemon.finish(self.call(daemon, kind))

    @rule(number=daemons, kind=st.sampled_from(["refresh", "head", "maintain"]))
    def run_call(self, number, kind):
        daemon = self.daemons[number]
        daemon.finish(self.call(daemon, kind))

    @rule(number=daemons, name=targets)
    def propose(self, number, name):
        daemon = self.daemons[number]
        daemon.finish(self.call(daemon, "propose", name))

    @rule(number=daemons, position=st.integers(0, 1))
    def release(self, number, position):
        daemon = self.daemons[number]
        for entry in daemon.manager.entries("postings")[position : position + 1]:
            daemon.finish(self.call(daemon, "release", entry.target))

    @rule(number=daemons, name=targets, seconds=st.sampled_from([0, 4.0, 4.1]))
    def replace_an_ejection(self, number, name, seconds):
        self.release(number, 0)
        if seconds:
            self.pass_time(seconds)
        self.run_call(number, "maintain")
        self.propose(number, name)

    @rule(number=daemons, other=daemons, name=targets)
    def answer_a_read_late(self, number, other, name):
        daemon = self.daemons[number]
        call = self.call(daemon, "refresh")
        daemon.start(call)
        daemon.advance(call)
        self.replace_an_ejection(other, name, 4.1)
        while call in daemon.calls:
            daemon.advance(call)

    @rule(number=daemons, names=st.permutations(NAMES))
    def raise_the_floor_above_two_ejections(self, number, names):
        self.accept(service_of(NAMES, slack=2), self.newest.stops)
        self.adopt_all()
        for name in names[:2]:
            self.propose(number, name)
        self.refresh_all(None)
        self.accept(service_of(NAMES, slack=1), self.newest.stops)
        self.adopt_all()

    @rule(number=daemons, kind=kinds, name=targets, other=targets)
    def start_call(self, number, kind, name, other):
        daemon = self.daemons[number]
        if len(daemon.calls) < 3:
            daemon.start(self.call(daemon, kind, name, frozenset({other})))

    @precondition(lambda self: any(daemon.calls for daemon in self.daemons))
    @rule(data=st.data(), fault=faults)
    def advance_call(self, data, fault):
        busy = [daemon for daemon in self.daemons if daemon.calls]
        daemon = data.draw(st.sampled_from(busy))
        position = data.draw(st.integers(0, len(daemon.calls) - 1))
        daemon.advance(daemon.calls[position], fault)

    @precondition(lambda self: self.late)
    @rule()
    def apply_late_write(self):
        self.shared.table.commit(self.late.pop(0))

    @rule(number=daemons)
    def adopt(self, number):
        self.daemons[number].version = len(self.history)

    @rule()
    def adopt_all(self):
        for number in range(len(self.daemons)):
            self.adopt(number)

    @rule(number=daemons)
    def restart(self, number):
        self.daemons[number].restart()

    @rule(number=daemons, cuts=st.sampled_from([(0, 20), (20, 0), (5, 5)]))
    def cut(self, number, cuts):
        platform = self.daemons[number].platform
        platform.reads_from_s = self.now_s + cuts[0]
        platform.writes_from_s = self.now_s + cuts[1]

    @rule(seconds=st.sampled_from([3, 20]))
    def begin_outage(self, seconds):
        for daemon in self.daemons:
            daemon.platform.reads_from_s = self.now_s + seconds
            daemon.platform.writes_from_s = self.now_s + seconds

    @rule(number=daemons, leaving=st.frozensets(targets, max_size=1))
    def learn_leaving(self, number, leaving):
        self.daemons[number].leaving = leaving

    @rule(
        names=st.sampled_from([NAMES, NAMES, NAMES[:4], NAMES[1:]]),
        slack=st.integers(0, 2),
        quiet_slack=st.integers(0, 3),
        start_s=st.integers(-30, 30),
        length_s=st.integers(1, 30),
    )
    def change_service(self, names, slack, quiet_slack, start_s, length_s):
        start_s = self.wall_s + start_s
        quiet = quiet_hours_of(
            names, slack=quiet_slack, start_s=start_s, end_s=start_s + length_s
        )
        service = service_of(names, slack=slack, quiet_hours=(quiet,))
        self.accept(service, self.newest.stops)

    @rule(number=daemons, name=targets, seconds=st.sampled_from([0.3, 3.9]))
    def raise_the_floor_while_an_ejection_is_written(self, number, name, seconds):
        daemon = self.daemons[number]
        call = self.call(daemon, "propose", name)
        daemon.start(call)
        if call in daemon.calls:
            daemon.advance(call)
        self.accept(service_of(NAMES, slack=0), self.newest.stops)
        self.pass_time(seconds)
        while call in daemon.calls:
            daemon.advance(call)

    @rule(name=targets, delay_s=st.integers(0, 5), length_s=st.integers(1, 20))
    def plan_stop(self, name, delay_s, length_s):
        service, stops = self.newest.service, self.newest.stops
        start_s = self.wall_s + minimum_notice_s(service) + delay_s
        stop = PlannedStop(
            f"s{len(stops)}", service.name, name, start_s, start_s + length_s
        )
        if not check_stop(service, stops, stop, wall_s=self.wall_s):
            self.accept(service, (*stops, stop))

    def excluded(self, daemon):
        known = self.configuration_of(daemon)
        return daemon.manager.excluded(
            known.service,
            known.stops,
            leaving=daemon.leaving,
            configuration_version=daemon.version,
        )

    def stopping(self, daemon):
        known = self.configuration_of(daemon)
        return stopping_targets(
            known.service, known.stops, wall_s=daemon.clock.wall_s()
        )

    @invariant()
    def the_floor_of_each_configuration_holds(self):
        for version in {daemon.version for daemon in self.daemons}:
            fleet = [each for each in self.daemons if each.version == version]
            ejected = frozenset().union(*map(self.excluded, fleet))
            stopping = frozenset().union(*map(self.stopping, fleet))
            leaving = frozenset.intersection(*(each.leaving for each in fleet))
            known = self.history[version - 1]
            listed = {target.name for target in known.service.targets}
            out = ejected | stopping | (leaving & listed)
            assert not ejected or len(out) <= known.allowed(self.wall_s)

    @invariant()
    def an_older_configuration_ejects_nothing_after_one_lease(self):
        if self.now_s < self.newest.at_s + LEASE_ON_ANY_CLOCK_S:
            return
        for daemon in self.daemons:
            assert daemon.version == len(self.history) or not self.excluded(daemon)

    @invariant()
    def the_union_over_all_daemons_stays_within_the_widest_allowance(self):
        in_force = [self.newest]
        for earlier, later in zip(self.history, self.history[1:], strict=False):
            if self.now_s < later.at_s + LEASE_ON_ANY_CLOCK_S:
                in_force.append(earlier)
        ejected = frozenset().union(*map(self.excluded, self.daemons))
        widest = max(each.allowed(self.wall_s) for each in in_force)
        assert not ejected or len(ejected) <= widest


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=300, stateful_step_count=50)


def without_releasing(function):
    """Return ``function`` changed so that it does not count releasing entries."""

    def wrapper(row, *arguments):
        entries = [each for each in row.entries if each.phase is EjectionPhase.EJECTED]
        return function(replace(row, entries=tuple(entries)), *arguments)

    return wrapper


def releasing_last(function):
    """Return ``function`` changed so that a release moves the entry to the end."""

    def wrapper(*arguments, **options):
        row = function(*arguments, **options)
        entries = sorted(row.entries, key=lambda entry: entry.sequence)
        return replace(row, entries=tuple(entries))

    return wrapper


# Patches by the name of the mechanism that they disable.
MECHANISMS = {
    "wait before a place is used again": [
        mock.patch.object(confirmation, "RELEASE_WAIT_S", -1.0)
    ],
    "check of the lease at each use": [
        mock.patch.object(confirmation, "CONFIRMATION_LEASE_S", float("inf"))
    ],
    "condition on the head": [
        mock.patch.object(Fleet, "is_conditional_on_head", False)
    ],
    "count of releasing entries": [
        mock.patch.object(ejection, name, without_releasing(getattr(ejection, name)))
        for name in ("_kept_targets", "_targets_out")
    ],
    "order of releasing entries": [
        mock.patch.object(
            ejection_edits,
            "release_and_drop",
            releasing_last(ejection_edits.release_and_drop),
        )
    ],
    "cut at the floor in force": [
        mock.patch.object(
            ejection, "_kept_targets", lambda row, _: [e.target for e in row.entries]
        )
    ],
    "count of planned stops": [
        mock.patch.object(ejection, "counted_stops", return_value=frozenset())
    ],
}


@pytest.mark.parametrize("name", MECHANISMS)
def test_the_floor_breaks_without(name):
    generate_only = settings(
        max_examples=1000, stateful_step_count=50, phases=[Phase.generate]
    )
    with contextlib.ExitStack() as stack:
        for patch in MECHANISMS[name]:
            stack.enter_context(patch)
        with pytest.raises(AssertionError):
            run_state_machine_as_test(Fleet, settings=generate_only)
