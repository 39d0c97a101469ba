"""No grant goes to a target that leaves, whatever the order of events."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.ejection import EjectionManager
from dogwoodhook.coordination.membership import TARGET_ROLE, Membership
from dogwoodhook.coordination.platform import Vm, VmPhase
from dogwoodhook.exclusions import Exclusions
from dogwoodhook.state.admission import Granted, Queued, Ticket
from dogwoodhook.state.model import (
    Change,
    Configuration,
    Parameters,
    PlannedStop,
    apply_change,
)
from dogwoodhook.state.stops import drain_lead_s
from dogwoodhook.testing.local_proxy import local_documents
from dogwoodhook.testing.memory_platform import MemoryPlatform
from dogwoodhook.transport.services import DRAINING_HOLD_S, ServiceRegistry

PORTS = (1, 2)
TARGETS = st.sampled_from([f"t{number}" for number in PORTS])
PARAMETERS = Parameters(slots_per_target=1, deadline_ms=1_000)


class LeavingTargets(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = ManualClock(elapsed_s=1_000.0)
        self.membership = Membership(daemon="d")
        ejection_manager = EjectionManager(MemoryPlatform(), self.clock, daemon="d")
        self.exclusions = Exclusions(ejection_manager, self.membership, self.clock)
        registry = ServiceRegistry(self.clock, data_centre="k", rng=Random(1))
        registry.exclusions = self.exclusions.names
        self.registry = registry
        self.documents = local_documents(PORTS, PARAMETERS)
        self.configuration = Configuration()
        self.change(*self.documents)
        self.runtime = registry.get("work")
        self.dispatcher = self.runtime.dispatch.dispatcher
        self.listed = set()
        self.drained_s = {}
        self.stops = []
        self.held = []
        self.waiting = []
        self.number = 0

    def change(self, *documents):
        version = self.configuration.version + 1
        self.configuration = apply_change(
            self.configuration, Change(version, "a", 0.0, f"t{version}", documents)
        )
        self.exclusions.put_in_force(self.configuration)
        self.registry.reconfigure(self.configuration)

    def leaves(self, name):
        lead_s = drain_lead_s(self.runtime.service)
        wall_s = self.clock.wall_s()
        return (
            name in self.listed
            or self.clock.now_s() < self.drained_s.get(name, 0.0) + DRAINING_HOLD_S
            or any(
                stop.target == name and stop.start_s - lead_s <= wall_s < stop.end_s
                for stop in self.stops
            )
        )

    def take(self, granted):
        assert not self.leaves(granted.target.name), granted.target.name
        self.held.append(granted)

    @rule(name=TARGETS)
    def list_as_leaving(self, name):
        self.listed ^= {name}
        vms = [
            Vm(each, TARGET_ROLE, f"127.0.0.1:{each[1:]}", "k", VmPhase.LEAVING)
            for each in self.listed
        ]
        self.membership.replace_vms(vms)

    @rule(name=TARGETS)
    def answer_a_drain(self, name):
        self.drained_s[name] = self.clock.now_s()
        self.runtime.record_draining(name, now_s=self.clock.now_s())

    @rule(name=TARGETS, start_s=st.floats(0, 30), lasting_s=st.floats(1, 30))
    def plan_a_stop(self, name, start_s, lasting_s):
        start_s += self.clock.wall_s()
        number = len(self.stops)
        stop = PlannedStop(f"s{number}", "work", name, start_s, start_s + lasting_s)
        self.stops.append(stop)
        self.change(stop)

    @rule(seconds=st.floats(0.1, 40))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(is_idempotent=st.booleans())
    def submit(self, is_idempotent):
        self.number += 1
        ticket = Ticket(self.number, "office", is_idempotent)
        match self.dispatcher.submit(ticket, now_s=self.clock.now_s()):
            case Granted() as granted:
                self.take(granted)
            case Queued(ticket=queued):
                self.waiting.append(queued)

    @rule(data=st.data())
    def expire(self, data):
        if not self.waiting:
            return
        index = data.draw(st.integers(0, len(self.waiting) - 1))
        ticket = self.waiting.pop(index)
        expired = self.dispatcher.expire(ticket, now_s=self.clock.now_s())
        if isinstance(expired, Granted):
            self.take(expired)

    @rule()
    def grant_queued(self):
        for granted in self.dispatcher.grant_queued(now_s=self.clock.now_s()):
            self.waiting.remove(granted.ticket)
            self.take(granted)

    @rule(data=st.data())
    def finish(self, data):
        if self.held:
            index = data.draw(st.integers(0, len(self.held) - 1))
            self.dispatcher.finish(self.held.pop(index))

    @invariant()
    def requests_in_flight_are_kept_to_their_end(self):
        assert self.dispatcher.in_flight == len(self.held)


TestLeavingTargets = LeavingTargets.TestCase
TestLeavingTargets.settings = settings(max_examples=300, stateful_step_count=50)
