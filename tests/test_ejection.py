import dataclasses

import pytest
from expression import Error, Ok

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.ejection import (
    EjectionManager,
    EjectionProposal,
    RefusalRule,
    Standing,
)
from dogwoodhook.coordination.platform import Transaction, Write
from dogwoodhook.coordination.rows import HEAD_KEY, EjectionPhase, Head
from dogwoodhook.state.floors import CONFIRMATION_LEASE_S, RELEASE_WAIT_S
from dogwoodhook.state.model import Parameters, PlannedStop, Service, Target
from dogwoodhook.testing.memory_platform import MemoryPlatform


def make_service(*, targets=6, floor=5):
    listed = tuple(
        Target(f"t{number}", "kigali-1", "127.0.0.1", number)
        for number in range(1, targets + 1)
    )
    return Service("postings", "ur", Parameters(capacity_floor=floor), listed, ())


def make_proposal(service, target, **values):
    proposal = EjectionProposal(
        service, target, "crash", (), frozenset(), frozenset(), 1
    )
    return dataclasses.replace(proposal, **values)


def write_head(platform, version):
    platform.table.commit(Transaction((), (Write(HEAD_KEY, Head(version)),), "cli"))


def excluded(manager, service, *, version=1, stops=(), leaving=frozenset()):
    return manager.excluded(
        service, stops, leaving=leaving, configuration_version=version
    )


async def maintain(manager, service, *, version=1):
    return await manager.maintain(
        service, (), leaving=frozenset(), configuration_version=version
    )


@pytest.fixture
def platform():
    platform = MemoryPlatform()
    write_head(platform, 1)
    return platform


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def manager(platform, clock):
    return EjectionManager(platform, clock, daemon="d1", maintenance_spread_s=0)


async def test_an_ejection_excludes_its_target_only_within_the_lease(manager, clock):
    service = make_service()
    result = await manager.propose(make_proposal(service, "t1"))
    assert result.ok.phase is EjectionPhase.EJECTED
    assert excluded(manager, service) == {"t1"}
    clock.advance(CONFIRMATION_LEASE_S)
    assert excluded(manager, service) == frozenset()


@pytest.mark.parametrize(
    ("values", "rule"),
    [
        ({"unserving": frozenset({"t2"})}, RefusalRule.FLOOR),
        ({"leaving": frozenset({"t2"})}, RefusalRule.FLOOR),
        ({"target": "t9"}, RefusalRule.NOT_LISTED),
        ({"configuration_version": 0}, RefusalRule.STALE_CONFIGURATION),
    ],
)
async def test_a_refusal_names_its_rule(manager, values, rule):
    service = make_service()
    proposal = dataclasses.replace(make_proposal(service, "t1"), **values)
    result = await manager.propose(proposal)
    assert result.error.rule is rule
    (line,) = manager.explain(service.name)
    assert (line.standing, line.rule) == (Standing.REFUSED, rule)


async def test_a_releasing_entry_counts_as_out_until_the_wait_is_over(manager, clock):
    service = make_service()
    await manager.propose(make_proposal(service, "t1"))
    assert await manager.release(service, "t1", configuration_version=1) == Ok(None)
    clock.advance(RELEASE_WAIT_S)
    assert (await maintain(manager, service)).ok.is_empty
    refused = await manager.propose(make_proposal(service, "t2"))
    assert refused.error.rule is RefusalRule.FLOOR
    clock.advance(0.1)
    assert (await maintain(manager, service)).ok.dropped == ("t1",)
    assert (await manager.propose(make_proposal(service, "t2"))).is_ok()


async def test_a_raised_floor_ends_the_newest_ejection_at_once_and_releases_it(manager):
    await manager.propose(make_proposal(make_service(floor=4), "t1"))
    await manager.propose(make_proposal(make_service(floor=4), "t2"))
    assert excluded(manager, make_service(floor=5)) == {"t1"}
    assert (await maintain(manager, make_service(floor=5))).ok.released == ("t2",)


async def test_a_planned_stop_displaces_an_ejection_before_the_stop_starts(
    manager, clock
):
    service = make_service()
    await manager.propose(make_proposal(service, "t1"))
    start_s = clock.wall_s() + 30
    stop = PlannedStop("s", service.name, "t2", start_s, start_s + 60)
    assert excluded(manager, service, stops=(stop,)) == {"t1"}
    clock.advance(12.5)
    await manager.refresh([service.name])
    assert excluded(manager, service, stops=(stop,)) == frozenset()


async def test_an_ejection_whose_commit_answer_was_lost_is_recognised(
    manager, platform
):
    platform.lost_answers = 1
    result = await manager.propose(make_proposal(make_service(), "t1"))
    assert result.ok.target == "t1"
    assert excluded(manager, make_service()) == {"t1"}


async def test_operators_are_shown_ejections_and_refusals(manager, clock):
    service = make_service()
    await manager.propose(make_proposal(service, "t1"))
    await manager.propose(make_proposal(service, "t2"))
    refused = (
        "t2: ejection refused by rule floor: "
        "2 of 6 targets would be out, allowed 1: t1, t2"
    )
    lines = [str(line) for line in manager.explain(service.name)]
    assert lines == ["t1: ejected for crash", refused]
    clock.advance(CONFIRMATION_LEASE_S)
    entry, _ = manager.explain(service.name)
    assert str(entry) == "t1: ejected for crash; unconfirmed, not acted on"


async def test_without_the_table_nothing_is_ejected(manager, platform):
    platform.is_down = True
    result = await manager.propose(make_proposal(make_service(), "t1"))
    assert result.error.rule is RefusalRule.TABLE_UNAVAILABLE
    released = await manager.release(make_service(), "t1", configuration_version=1)
    assert isinstance(released, type(Error(None)))


async def test_a_newer_head_ends_exclusions_under_an_older_configuration(
    manager, platform, clock
):
    service = make_service()
    await manager.propose(make_proposal(service, "t1"))
    write_head(platform, 2)
    for _ in range(5):
        clock.advance(1)
        await manager.refresh([service.name])
    assert excluded(manager, service, version=1) == frozenset()
    assert excluded(manager, service, version=2) == {"t1"}


async def test_a_stale_read_confirms_nothing(manager, platform, clock):
    service = make_service()
    await manager.propose(make_proposal(service, "t1"))
    stale_rows = dict(platform.table.rows)
    write_head(platform, 2)
    await manager.refresh([service.name])
    platform.table.rows = stale_rows
    for _ in range(5):
        clock.advance(1)
        await manager.refresh([service.name])
    assert excluded(manager, service, version=1) == frozenset()


async def test_a_target_ejected_again_while_releasing_counts_a_relapse(manager):
    service = make_service()
    await manager.propose(make_proposal(service, "t1"))
    await manager.release(service, "t1", configuration_version=1)
    entry = (await manager.propose(make_proposal(service, "t1"))).ok
    assert (entry.phase, entry.relapses) == (EjectionPhase.EJECTED, 1)


async def test_maintenance_is_shared_between_daemons(platform, clock):
    service = make_service()
    managers = [EjectionManager(platform, clock, daemon=f"d{n}") for n in range(20)]
    await managers[0].propose(make_proposal(service, "t1"))
    for manager in managers:
        await manager.refresh([service.name])
    shrunken = make_service(targets=5)
    plans = [(await maintain(manager, shrunken)).ok for manager in managers]
    assert sum(not plan.is_empty for plan in plans) <= 2
    clock.advance(5)
    for manager in managers:
        await manager.refresh([service.name])
        await maintain(manager, shrunken)
    (entry,) = managers[0].entries(service.name)
    assert entry.phase is EjectionPhase.RELEASING
