from random import Random

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.ejection import EjectionManager
from dogwoodhook.coordination.membership import Membership
from dogwoodhook.coordination.messages import Heartbeat
from dogwoodhook.coordination.platform import Transaction, Write
from dogwoodhook.coordination.rows import (
    HEAD_KEY,
    EjectionEntry,
    EjectionPhase,
    EjectionRow,
    Head,
    ejection_key,
)
from dogwoodhook.ejection_control import UNSUSPECTED_RELEASE_S, EjectionControl
from dogwoodhook.exclusions import ExclusionReason, Exclusions
from dogwoodhook.state.model import Change, Configuration, apply_change
from dogwoodhook.state.outcomes import Failure, FailureKind, TargetEvidence
from dogwoodhook.testing.local_proxy import local_documents
from dogwoodhook.testing.memory_platform import MemoryPlatform
from dogwoodhook.transport.services import ServiceRegistry

SERVICE = "work"
ENTRY = EjectionEntry("t1", EjectionPhase.EJECTED, 1, "crashes")


class Daemon:
    """The parts of a daemon that control ejections, with a table in memory."""

    def __init__(self):
        self.clock = ManualClock(elapsed_s=1_000.0)
        self.platform = MemoryPlatform()
        self.registry = ServiceRegistry(self.clock, data_centre="k", rng=Random(1))
        self.membership = Membership(daemon="d")
        manager = EjectionManager(self.platform, self.clock, daemon="d")
        self.exclusions = Exclusions(manager, self.membership, self.clock)
        self.control = EjectionControl(
            manager, self.membership, self.registry, self.exclusions, self.clock
        )
        change = Change(1, "a", 0.0, "t", local_documents([1, 2, 3, 4]))
        configuration = apply_change(Configuration(), change)
        self.write(HEAD_KEY, Head(1))
        self.registry.reconfigure(configuration)
        self.exclusions.put_in_force(configuration)
        self.runtime = self.registry.get(SERVICE)

    def write(self, key, row):
        self.platform.table.commit(Transaction((), (Write(key, row),), "t"))

    def entries(self):
        row = self.platform.table.rows.get(ejection_key(SERVICE))
        return {each.target: each.phase for each in row.value.entries} if row else {}

    def record_failures(self, target, *, is_reported_by_peer):
        now_s = self.clock.now_s()
        for number in range(60):
            failure = Failure(FailureKind.CRASH, number)
            self.runtime.health.observe(target, failure, now_s=now_s)
        if is_reported_by_peer:
            evidence = TargetEvidence(SERVICE, target, 0, ((FailureKind.CRASH, 60),))
            self.runtime.health.merge_evidence(evidence, reporter="peer", now_s=now_s)

    def receive_heartbeat(self, peer):
        heartbeat = Heartbeat(peer, 1, 0, is_ready=True)
        self.membership.record_heartbeat(heartbeat, now_s=self.clock.now_s())

    async def step(self, *, seconds=1.0):
        self.clock.advance(seconds)
        self.runtime.record_request(now_s=self.clock.now_s())
        await self.control.step()


async def test_a_target_with_two_failure_reporters_is_ejected():
    daemon = Daemon()
    daemon.receive_heartbeat("peer")
    daemon.record_failures("t1", is_reported_by_peer=True)
    await daemon.step()
    assert daemon.entries() == {"t1": EjectionPhase.EJECTED}
    assert daemon.exclusions.reasons(daemon.runtime) == {"t1": ExclusionReason.EJECTED}


async def test_one_failure_reporter_ejects_nothing_while_there_are_peers():
    daemon = Daemon()
    daemon.receive_heartbeat("peer")
    daemon.record_failures("t1", is_reported_by_peer=False)
    await daemon.step()
    assert daemon.entries() == {}


async def test_a_daemon_without_evidence_releases_an_ejection_only_after_a_while():
    daemon = Daemon()
    daemon.write(ejection_key(SERVICE), EjectionRow(SERVICE, 1, (ENTRY,)))
    await daemon.step()
    await daemon.step(seconds=UNSUSPECTED_RELEASE_S / 2)
    assert daemon.entries() == {"t1": EjectionPhase.EJECTED}
    await daemon.step(seconds=UNSUSPECTED_RELEASE_S)
    assert daemon.entries().get("t1") is not EjectionPhase.EJECTED


async def test_a_service_without_traffic_costs_no_read():
    daemon = Daemon()
    daemon.platform.is_down = True
    await daemon.control.step()
    assert daemon.registry.active() == []


async def test_an_ejection_that_is_not_confirmed_excludes_nothing():
    daemon = Daemon()
    daemon.write(ejection_key(SERVICE), EjectionRow(SERVICE, 1, (ENTRY,)))
    await daemon.step()
    assert daemon.exclusions.names(daemon.runtime) == {"t1"}
    daemon.platform.is_down = True
    await daemon.step(seconds=60.0)
    assert daemon.exclusions.names(daemon.runtime) == frozenset()
