"""Several daemons and concurrent operators that use one table with faults."""

import asyncio
from dataclasses import dataclass, field
from unittest.mock import patch

from expression import Error, Ok, Result
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination import configuration, loading, snapshots
from dogwoodhook.coordination.configuration import (
    PROPAGATION_BOUND_S,
    ConfigurationStore,
    UnreadyReason,
)
from dogwoodhook.coordination.editing import (
    Accepted,
    EditConflict,
    EditUnknown,
    apply_documents,
)
from dogwoodhook.coordination.history import diff_documents
from dogwoodhook.coordination.loading import head_version, scan_configuration
from dogwoodhook.coordination.messages import (
    ConfigurationSnapshot,
    ConfigurationUpdate,
    Heartbeat,
)
from dogwoodhook.coordination.platform import OutcomeUnknown, Transaction
from dogwoodhook.coordination.rows import HEAD_KEY, Head
from dogwoodhook.protocol.peer_codec import MAX_FRAME_BYTES, encode_message
from dogwoodhook.protocol.snapshots import JsonSnapshotCodec
from dogwoodhook.state.model import (
    Change,
    Configuration,
    DocumentKey,
    Parameters,
    Route,
    ServiceDefinition,
    Target,
    Template,
    apply_change,
)
from dogwoodhook.state.sizes import change_bytes
from dogwoodhook.testing.memory_platform import MemoryPlatform

DAEMONS = 3
STEP_S = 0.001
NAMES = ("tills", "mukamana")

daemons = st.integers(0, DAEMONS - 1)
names = st.sampled_from(NAMES)
floors = st.integers(0, 3)


@dataclass
class FaultyPlatform(MemoryPlatform):
    """Also returns stale heads, delays commits and runs hooks within its calls."""

    stale_heads: int = 0
    stale_by: int = 1
    delayed: int = 0
    waiting: list[Transaction] = field(default_factory=list)
    before_commit: list = field(default_factory=list)
    before_answer: list = field(default_factory=list)
    between_pages: list = field(default_factory=list)

    async def scan(self, prefix, **options):
        result = await super().scan(prefix, **options)
        while self.between_pages:
            await self.between_pages.pop()()
        return result

    async def read(self, keys):
        result = await super().read(keys)
        if self.before_answer:
            await self.before_answer.pop(0)()
        head = self.table.rows.get(HEAD_KEY)
        if list(keys) == [HEAD_KEY] and self.stale_heads and head and result.is_ok():
            self.stale_heads -= 1
            older = Head(max(0, head.value.version - self.stale_by))
            return Ok({HEAD_KEY: type(head)(HEAD_KEY, older, head.version, "")})
        return result

    async def commit(self, transaction):
        while self.before_commit:
            await self.before_commit.pop()()
        if self.delayed:
            self.delayed -= 1
            self.waiting.append(transaction)
            return Error(OutcomeUnknown("no answer"))
        return await super().commit(transaction)


class ConfigurationMachine(RuleBasedStateMachine):
    """Under any fault, no daemon's version decreases and no change is made twice."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.platform = FaultyPlatform()
        self.codec = JsonSnapshotCodec()
        self.stores = [self.make_store(index) for index in range(DAEMONS)]
        self.versions = [0] * DAEMONS
        self.reported = [0] * DAEMONS
        self.was_ready = [False] * DAEMONS
        self.has_accepted_stale_head = [False] * DAEMONS
        self.head_times = [(-1.0, 0)]
        self.cuts = set()
        self.accepted = {}

    def make_store(self, index):
        return ConfigurationStore(
            self.platform, self.clock, daemon=f"vm-{index}", codec=self.codec
        )

    def run(self, coroutine):
        return asyncio.run(coroutine)

    async def apply(self, name, floor, **options):
        return await apply_documents(
            self.platform,
            [Template(name, Parameters(capacity_floor=floor))],
            author="aino",
            clock=self.clock,
            codec=self.codec,
            **options,
        )

    def record_head(self):
        self.head_times.append((self.clock.now_s(), self.head()))

    def head_at(self, moment_s):
        return max(
            head for time_s, head in self.head_times if time_s < moment_s - STEP_S / 2
        )

    def record_result(self, result):
        self.record_edit(result.ok if result.is_ok() else result.error)

    def record_edit(self, result):
        match result:
            case Accepted(is_new=True, version=version):
                assert version not in self.accepted
                self.accepted[version] = result
            case Accepted(version=version):
                assert version <= self.head()
            case _:
                pass

    def head(self):
        row = self.platform.table.rows.get(HEAD_KEY)
        return row.value.version if row else 0

    # Operators

    @rule(name=names, floor=floors)
    def edit(self, name, floor):
        result = self.run(self.apply(name, floor))
        self.record_result(result)

    @rule(name=names, floor=floors, lost=st.integers(1, 4))
    def edit_with_lost_answers(self, name, floor, lost):
        self.platform.lost_answers = lost
        before = self.head()
        self.run(self.edit_until_answered(name, floor))
        assert self.head() - before <= 1
        assert self.head() == before or self.head() in self.accepted

    @rule(name=names, floor=floors, lost=st.integers(1, 4))
    def edit_with_lost_requests(self, name, floor, lost):
        self.platform.lost_requests = lost
        before = self.head()
        self.run(self.edit_until_answered(name, floor))
        assert self.head() - before <= 1

    @rule(name=names, floor=floors, delayed=st.integers(1, 4))
    def edit_with_delayed_requests(self, name, floor, delayed):
        self.platform.delayed = delayed
        before = self.head()
        self.run(self.edit_until_answered(name, floor))
        for transaction in self.platform.waiting:
            self.platform.table.commit(transaction)
        self.platform.waiting.clear()
        assert self.head() - before <= 1

    async def edit_until_answered(self, name, floor):
        """Apply the same file, as an operator does, until the outcome is known."""
        for _ in range(3):
            result = await self.apply(name, floor)
            self.record_result(result)
            if not (result.is_error() and isinstance(result.error, EditUnknown)):
                break
        self.platform.lost_answers = self.platform.lost_requests = 0
        self.platform.delayed = 0
        if not self.platform.is_down:
            assert result.is_ok()

    @precondition(lambda self: not self.platform.is_down)
    @rule(name=names, mine=floors, theirs=floors, other=names)
    def race(self, name, mine, theirs, other):
        before = self.run(scan_configuration(self.platform)).ok
        self.platform.before_commit.append(
            lambda: self.commit_competing_edit(other, theirs)
        )
        result = self.run(self.apply(name, mine))
        self.platform.before_commit.clear()
        self.record_result(result)
        match result:
            case Result(error=EditConflict() as conflict):
                assert name == other
                assert conflict.key == DocumentKey("template", name)
                assert conflict.meanwhile == self.field_change(before, name, theirs)
                assert conflict.proposed
            case _:
                assert result.is_ok()
                floor = self.floor_of(before, name)
                assert name != other or theirs in (mine, floor) or mine == floor

    async def commit_competing_edit(self, name, floor):
        result = await self.apply(name, floor)
        self.record_edit(result.ok)

    def floor_of(self, configuration, name):
        template = configuration.template(name)
        return template.parameters.capacity_floor if template else None

    def field_change(self, before, name, floor):
        after = Template(name, Parameters(capacity_floor=floor))
        return diff_documents(before.template(name), after)

    # Platform, links and daemons

    @rule(is_down=st.booleans())
    def set_table(self, is_down):
        self.platform.is_down = is_down

    @rule(count=st.integers(1, 3), versions=st.integers(1, 3))
    def answer_stale(self, count, versions):
        self.platform.stale_heads = count
        self.platform.stale_by = versions

    @rule(sender=daemons, receiver=daemons)
    def cut(self, sender, receiver):
        self.cuts.add((sender, receiver))

    @rule()
    def heal(self):
        self.cuts.clear()

    @rule(seconds=st.sampled_from([0.5, 4.0, 6.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(index=daemons)
    def restart(self, index):
        self.stores[index] = self.make_store(index)
        self.versions[index] = 0
        self.reported[index] = 0
        self.was_ready[index] = False
        self.has_accepted_stale_head[index] = False

    @rule(index=daemons)
    def load_snapshot(self, index):
        self.run(self.stores[index].load_snapshot())

    @rule(index=daemons)
    def poll(self, index):
        if self.platform.stale_heads:
            # Reads are linearizable by contract. A daemon accepts a stale head that
            # it cannot detect; then only its report of being confirmed is wrong.
            known = max(self.versions[index], self.reported[index])
            stale = max(0, self.head() - self.platform.stale_by)
            self.has_accepted_stale_head[index] |= stale >= known
        self.run(self.stores[index].refresh())

    @precondition(lambda self: not self.platform.stale_heads)
    @rule(index=daemons, name=names, floor=floors, seconds=st.sampled_from([0, 4]))
    def poll_while_edited(self, index, name, floor, seconds):
        async def edit_and_wait():
            self.record_result(await self.apply(name, floor))
            self.record_head()
            self.clock.advance(seconds)

        self.platform.before_answer.append(edit_and_wait)
        self.run(self.stores[index].refresh())
        self.platform.before_answer.clear()

    @precondition(lambda self: not self.platform.stale_heads)
    @rule(
        index=daemons,
        sender=daemons,
        edit=st.tuples(names, floors),
        reads=st.integers(0, 3),
        is_far_behind=st.booleans(),
    )
    def poll_while_update_arrives(self, index, sender, edit, reads, is_far_behind):
        async def wait():
            pass

        async def receive_update():
            self.record_result(await self.apply(*edit))
            await self.stores[sender].refresh()
            self.request_catch_up(sender, index)
            self.no_daemon_goes_back()

        self.platform.before_answer += [*([wait] * reads), receive_update]
        limit = 0 if is_far_behind else 200
        with patch.object(configuration, "MAX_CHANGES_READ", limit):
            self.run(self.stores[index].refresh())
        self.platform.before_answer.clear()

    @precondition(lambda self: not self.platform.stale_heads)
    @rule(index=daemons, edits=st.lists(st.tuples(names, floors), max_size=3))
    def load_all_while_edited(self, index, edits):
        async def edit():
            for name, floor in edits:
                self.record_result(await self.apply(name, floor))

        self.restart(index)
        self.platform.between_pages.append(edit)
        with (
            patch.object(loading, "SCAN_PAGE_ROWS", 1),
            patch.object(configuration, "MAX_CHANGES_READ", 0),
        ):
            self.run(self.stores[index].refresh())
        self.platform.between_pages.clear()

    @rule(sender=daemons, receiver=daemons)
    def heartbeat(self, sender, receiver):
        if (sender, receiver) not in self.cuts and sender != receiver:
            self.send_heartbeat(sender, receiver)

    def send_heartbeat(self, sender, receiver):
        store = self.stores[sender]
        age_s = store.head_age_s(self.clock.now_s())
        self.stores[receiver].process_heartbeat(
            Heartbeat(
                daemon=f"vm-{sender}",
                configuration_version=store.current.version,
                head_age_ms=None if age_s is None else int(age_s * 1000),
                is_ready=store.unready_reason(self.clock.now_s()) is None,
            )
        )
        reported = max(self.reported[receiver], store.current.version)
        self.reported[receiver] = reported

    @rule(sender=daemons, receiver=daemons)
    def catch_up(self, sender, receiver):
        if {(sender, receiver), (receiver, sender)} & self.cuts:
            return
        self.request_catch_up(sender, receiver)

    def request_catch_up(self, sender, receiver):
        for message in self.stores[sender].reply_to(
            self.stores[receiver].catch_up_request()
        ):
            match message:
                case ConfigurationUpdate():
                    self.stores[receiver].adopt_update(message)
                case ConfigurationSnapshot():
                    self.stores[receiver].adopt_snapshot(message)

    @rule(sender=daemons, receiver=daemons, versions=st.integers(0, 4))
    def deliver_late_update(self, sender, receiver, versions):
        version = max(0, self.stores[sender].current.version - versions)
        update = self.stores[sender].changes_after(version)
        if update is not None:
            self.stores[receiver].adopt_update(update)

    @rule()
    def connected_daemons_converge(self):
        self.platform.is_down = False
        self.platform.stale_heads = 0
        self.run(self.stores[0].refresh())
        assert self.stores[0].current.version == self.head()
        for index in range(1, DAEMONS):
            self.send_heartbeat(0, index)
            self.request_catch_up(0, index)
            assert self.stores[index].current == self.stores[0].current

    # Invariants

    @invariant()
    def no_daemon_goes_back(self):
        for index, store in enumerate(self.stores):
            assert store.current.version >= self.versions[index]
            assert store.current.version <= self.head()
            self.versions[index] = store.current.version

    @invariant()
    def each_daemon_holds_exactly_its_version(self):
        rows = self.platform.table.rows.values()
        changes = {r.value.version: r.value for r in rows if "change/" in r.key}
        assert sorted(changes) == list(range(1, self.head() + 1))
        assert len({change.token for change in changes.values()}) == len(changes)
        for store in self.stores:
            expected = Configuration()
            for version in range(1, store.current.version + 1):
                expected = apply_change(expected, changes[version])
            assert store.current == expected

    @invariant()
    def a_confirmed_daemon_holds_the_head_of_that_moment(self):
        now_s = self.clock.now_s()
        for index, store in enumerate(self.stores):
            age_s = store.head_age_s(now_s)
            if age_s is not None and not self.has_accepted_stale_head[index]:
                assert store.current.version >= self.head_at(now_s - age_s)
        self.record_head()
        self.clock.advance(STEP_S)

    @invariant()
    def no_daemon_becomes_ready_on_a_version_older_than_a_peer_reported(self):
        for index, store in enumerate(self.stores):
            is_ready = store.unready_reason(self.clock.now_s()) is None
            if is_ready and not self.was_ready[index]:
                assert store.current.version >= self.reported[index]
            self.was_ready[index] = is_ready


def test_configuration_under_faults():
    run_state_machine_as_test(
        ConfigurationMachine,
        settings=settings(max_examples=100, stateful_step_count=40),
    )


class Fleet:
    """A table with a few changes, and daemons that may lose access to it."""

    def __init__(self):
        self.clock = ManualClock()
        self.platform = FaultyPlatform()
        self.codec = JsonSnapshotCodec()

    def store(self):
        return ConfigurationStore(
            self.platform, self.clock, daemon="vm-1", codec=self.codec
        )

    async def store_at(self, version):
        while self.head() < version:
            template = Template("tills", Parameters(capacity_floor=self.head() + 1))
            await apply_documents(
                self.platform,
                [template],
                author="aino",
                clock=self.clock,
                codec=self.codec,
            )
        store = self.store()
        await store.refresh()
        return store

    def head(self):
        return head_version(self.platform.table.rows.get(HEAD_KEY))

    def reason(self, store):
        return store.unready_reason(self.clock.now_s())


async def test_a_daemon_started_from_one_peer_waits_for_the_others():
    fleet = Fleet()
    older, newer = await fleet.store_at(3), await fleet.store_at(5)
    fleet.platform.is_down = True
    fresh = fleet.store()
    fresh.adopt_update(older.changes_after(0))
    fleet.clock.advance(PROPAGATION_BOUND_S)
    assert fleet.reason(fresh) is UnreadyReason.AWAITING_PEERS
    fresh.process_heartbeat(Heartbeat("vm-2", newer.current.version, None, True))
    fleet.clock.advance(0.1)
    assert fleet.reason(fresh) is UnreadyReason.BEHIND
    fresh.adopt_update(newer.changes_after(3))
    assert fleet.reason(fresh) is None


async def test_a_head_below_what_a_peer_reported_is_stale():
    fleet = Fleet()
    store = await fleet.store_at(3)
    await fleet.store_at(5)
    store.process_heartbeat(Heartbeat("vm-2", 5, 0, True))
    fleet.clock.advance(PROPAGATION_BOUND_S + 0.1)
    fleet.platform.stale_heads, fleet.platform.stale_by = 1, 2
    assert (await store.refresh()).is_error()
    assert not store.is_confirmed(fleet.clock.now_s())
    await store.refresh()
    assert store.current.version == 5
    assert store.is_confirmed(fleet.clock.now_s())


async def test_a_snapshot_is_only_a_hint():
    fleet = Fleet()
    peer = await fleet.store_at(3)
    hinted = fleet.store()
    await hinted.load_snapshot()
    fleet.platform.is_down = True
    fleet.clock.advance(2 * PROPAGATION_BOUND_S)
    assert hinted.current.version == 0
    assert fleet.reason(hinted) is UnreadyReason.NOT_LOADED
    hinted.process_heartbeat(Heartbeat("vm-2", 3, None, True))
    assert hinted.current == peer.current


async def test_a_snapshot_loaded_as_a_hint_is_updated_by_a_peer():
    fleet = Fleet()
    await fleet.store_at(3)
    hinted = fleet.store()
    await hinted.load_snapshot()
    peer = await fleet.store_at(5)
    fleet.platform.is_down = True
    assert hinted.catch_up_request().after_version == 3
    assert hinted.adopt_update(peer.changes_after(3))
    assert hinted.current == peer.current


def heartbeat_of(fleet, store):
    age_s = store.head_age_s(fleet.clock.now_s())
    age_ms = None if age_s is None else int(age_s * 1000)
    return Heartbeat("vm", store.current.version, age_ms, True)


@given(polls=st.lists(st.integers(0, 9), min_size=2, max_size=4))
def test_an_outage_for_all_leaves_every_daemon_ready(polls):
    asyncio.run(run_outage_for_all(polls))


async def run_outage_for_all(polls):
    """Poll and send a heartbeat once a second, each daemon in its own tenth of it."""
    fleet = Fleet()
    stores = [await fleet.store_at(3) for _ in polls]
    for tenth in range(300):
        fleet.clock.advance(0.1)
        fleet.platform.is_down = tenth >= 50
        for store, poll in zip(stores, polls, strict=True):
            if tenth % 10 == poll:
                await store.refresh()
                for peer in stores:
                    if peer is not store:
                        peer.process_heartbeat(heartbeat_of(fleet, store))
        assert [fleet.reason(store) for store in stores] == [None] * len(stores)


async def test_a_daemon_cut_off_from_the_table_alone_is_unready_in_time():
    fleet = Fleet()
    cut_off, peer = await fleet.store_at(3), await fleet.store_at(3)
    reasons = []
    for _ in range(80):
        fleet.clock.advance(0.1)
        await peer.refresh()
        cut_off.process_heartbeat(heartbeat_of(fleet, peer))
        reasons.append(fleet.reason(cut_off))
    assert reasons[40] is None
    assert reasons[55:] == [UnreadyReason.UNCONFIRMED] * 25


async def test_a_daemon_alone_without_the_table_is_unready():
    fleet = Fleet()
    store = await fleet.store_at(3)
    store.process_heartbeat(Heartbeat("vm-2", 3, 0, True))
    assert fleet.reason(store) is None
    fleet.platform.is_down = True
    fleet.clock.advance(PROPAGATION_BOUND_S + 0.1)
    assert fleet.reason(store) is UnreadyReason.ISOLATED
    store.process_heartbeat(Heartbeat("vm-2", 3, None, True))
    assert fleet.reason(store) is None


async def test_a_daemon_far_behind_gets_a_complete_snapshot_from_a_peer():
    fleet = Fleet()
    peer = await fleet.store_at(200)
    fleet.platform.is_down = True
    fresh = fleet.store()
    (part,) = peer.reply_to(fresh.catch_up_request())
    assert isinstance(part, ConfigurationSnapshot)
    assert fresh.adopt_snapshot(part)
    assert fresh.current == peer.current


def make_large_service(number, routes):
    return ServiceDefinition(
        name=f"service-{number}",
        template="t",
        workspace="oulu",
        targets=(Target("t1", "oulu-1", "10.0.0.1", 80),),
        routes=tuple(Route(f"/{number}/{route:0100}") for route in range(routes)),
    )


def make_large_configuration(services):
    documents = tuple(make_large_service(each, routes=500) for each in range(services))
    change = Change(1, "aino", 0.0, "t", (Template("t"), *documents))
    return apply_change(Configuration(), change)


def test_parts_are_collected_from_several_peers_and_each_fits_a_message():
    fleet = Fleet()
    fresh, *peers = [fleet.store() for _ in range(3)]
    for peer in peers:
        peer.current = make_large_configuration(services=30)
    rounds = 0
    while fresh.current.version == 0:
        (part,) = peers[rounds % 2].reply_to(fresh.catch_up_request())
        assert len(encode_message(part)) < MAX_FRAME_BYTES
        fresh.adopt_snapshot(part)
        rounds += 1
        assert rounds <= part.parts
    assert rounds > 5
    assert fresh.current == peers[0].current
    assert not fresh.is_collecting


def test_parts_of_an_older_version_are_dropped():
    fleet = Fleet()
    fresh, peer = fleet.store(), fleet.store()
    peer.current = make_large_configuration(services=30)
    (part,) = peer.reply_to(fresh.catch_up_request())
    fresh.adopt_snapshot(part)
    change = Change(2, "aino", 0.0, "u", (Template("other"),))
    peer.current = apply_change(peer.current, change)
    for _ in range(part.parts):
        (newer,) = peer.reply_to(fresh.catch_up_request())
        fresh.adopt_snapshot(newer)
        assert not fresh.adopt_snapshot(part)
    assert fresh.current == peer.current


def test_a_change_of_the_largest_size_fits_a_message():
    routes = 0
    while change_bytes(make_large_change(routes + 100)) <= snapshots.MAX_CHANGE_BYTES:
        routes += 100
    update = ConfigurationUpdate((make_large_change(routes),))
    assert routes > 3000
    assert len(encode_message(update)) < MAX_FRAME_BYTES


def make_large_change(routes):
    return Change(1, "aino", 0.0, "t", (make_large_service(1, routes),))


async def test_a_change_too_large_for_a_message_is_a_finding():
    fleet = Fleet()
    result = await apply_documents(
        fleet.platform,
        [Template("t"), make_large_service(1, routes=8000)],
        author="aino",
        clock=fleet.clock,
    )
    assert [finding.place for finding in result.error.findings] == ["change"]
