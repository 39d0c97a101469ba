"""Checks that each idempotency key runs at most once and that "not run" is true.

Three daemons share one table. Hypothesis decides the order of every call to the
table, which of them fail and how, how clocks advance, which daemons are killed, and
how long a claimant pauses between its claim and its attempt.
"""

import asyncio
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from dogwoodhook.clock import ManualClock
from dogwoodhook.coordination.claims import (
    CLAIM_LIFETIME_S,
    AlreadySettled,
    Claimed,
    ClaimManager,
    KeyedRequest,
)
from dogwoodhook.coordination.rows import ClaimPhase, StoredAnswer
from dogwoodhook.testing.memory_platform import MemoryPlatform

DAEMONS = 3
MAX_CALLS = 1000
KEYS = ("key-a", "key-b")
WALL_CLOCK_OFFSETS_S = (0.0, 2.0, -2.0)
CLOCK_RATES = (1.0, 1.01, 0.99)
FAULTS = (
    "none",
    "none",
    "late answer",
    "lost answer",
    "lost request",
    "delayed",
    "unavailable",
)


@dataclass(eq=False)
class Call:
    daemon: int
    method: str
    arguments: tuple
    future: asyncio.Future
    result: object = None


@dataclass(eq=False)
class Attempt:
    daemon: int
    key: str
    task: asyncio.Task | None = None
    gate: asyncio.Future | None = None
    claim: Claimed | None = None
    reported_outcome: str = ""
    has_run: bool = False
    is_killed: bool = False


@dataclass
class SteppedPlatform:
    """Suspends each call until the test performs it."""

    daemon: int
    calls: list[Call]

    async def read(self, keys):
        return await self._suspend("read", (keys,))

    async def commit(self, transaction):
        return await self._suspend("commit", (transaction,))

    async def scan(self, prefix, *, after="", limit=1000):
        return await self._suspend("scan", (prefix, after, limit))

    async def _suspend(self, method, arguments):
        call = Call(self.daemon, method, arguments, asyncio.Future())
        self.calls.append(call)
        return await call.future


@dataclass
class Fleet:
    table: MemoryPlatform = field(default_factory=MemoryPlatform)
    calls: list[Call] = field(default_factory=list)
    late_answers: list[Call] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    runs: dict[str, list[float]] = field(default_factory=dict)
    time_s: float = 0.0

    def __post_init__(self):
        self.loop = asyncio.new_event_loop()
        self.clocks = [
            ManualClock(epoch_s=1_790_000_000.0 + offset_s)
            for offset_s in WALL_CLOCK_OFFSETS_S
        ]
        self.managers = [self.new_manager(daemon) for daemon in range(DAEMONS)]

    def close(self):
        for attempt in self.attempts:
            attempt.is_killed = True
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.settle_loop()
        self.loop.close()

    def new_manager(self, daemon):
        platform = SteppedPlatform(daemon, self.calls)
        return ClaimManager(platform, self.clocks[daemon], daemon=f"vm-{daemon}")

    def start(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.tasks.append(task)
        self.settle_loop()
        return task

    def settle_loop(self):
        for _ in range(12):
            self.loop.run_until_complete(asyncio.sleep(0))

    def perform(self, call, fault="none"):
        self.calls.remove(call)
        if call.future.done():
            return
        call.result = self.loop.run_until_complete(self.call(call, fault))
        if fault == "late answer":
            self.late_answers.append(call)
            return
        self.answer(call)

    def answer(self, call):
        if not call.future.done():
            call.future.set_result(call.result)
        self.settle_loop()

    async def call(self, call, fault):
        table = self.table
        table.is_down = fault == "unavailable"
        table.lost_answers = int(fault == "lost answer")
        table.lost_requests = int(fault == "lost request")
        table.delayed_commits = int(fault == "delayed")
        try:
            if call.method == "scan":
                prefix, after, limit = call.arguments
                return await table.scan(prefix, after=after, limit=limit)
            return await getattr(table, call.method)(*call.arguments)
        finally:
            table.is_down = False
            table.lost_answers = table.lost_requests = table.delayed_commits = 0

    def perform_all(self):
        for _ in range(MAX_CALLS):
            if not self.calls:
                return
            self.perform(self.calls[0])
        raise AssertionError("the calls to the table do not end")

    def row(self, key):
        return next(
            (
                stored.value
                for stored in self.table.table.rows.values()
                if self.key_of(stored.value) == key
            ),
            None,
        )

    @staticmethod
    def key_of(row):
        return row.fingerprint

    async def request(self, attempt, manager):
        """Process a keyed request as a forwarder does; the fingerprint is the key."""
        request = KeyedRequest("payouts", "oulu", attempt.key, attempt.key)
        outcome = await manager.claim(request)
        attempt.reported_outcome = type(outcome).__name__
        if isinstance(outcome, AlreadySettled):
            assert outcome.answer.body.decode() in self.runs[attempt.key]
        if not isinstance(outcome, Claimed):
            return
        attempt.claim = outcome
        attempt.reported_outcome = ""
        try:
            await self.wait_at_gate(attempt)
        except asyncio.CancelledError:
            if not attempt.is_killed:
                await self.withdraw(attempt, manager)
            raise
        if not outcome.may_send(self.clocks[attempt.daemon].now_s()):
            await self.withdraw(attempt, manager)
            return
        self.run(attempt)
        match await self.wait_at_gate(attempt):
            case "answered":
                answer = StoredAnswer(201, (), self.runs[attempt.key][-1].encode())
                await manager.settle(outcome, answer)
            case _:
                await manager.settle_unknown(outcome)

    async def wait_at_gate(self, attempt):
        attempt.gate = asyncio.Future()
        try:
            return await attempt.gate
        finally:
            attempt.gate = None

    async def withdraw(self, attempt, manager):
        attempt.reported_outcome = "NotRun"
        await manager.withdraw(attempt.claim)

    def run(self, attempt):
        """Record a run by the target, after checking that it is permitted."""
        row = self.row(attempt.key)
        assert row is not None
        assert row.claimant == attempt.claim.claimant
        assert row.phase is ClaimPhase.IN_PROGRESS, row.phase
        runs = self.runs.setdefault(attempt.key, [])
        assert not runs or self.time_s - float(runs[-1]) >= CLAIM_LIFETIME_S
        runs.append(repr(self.time_s))
        attempt.has_run = True


class Claims(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.fleet = Fleet()

    @rule(daemon=st.integers(0, DAEMONS - 1), key=st.sampled_from(KEYS))
    def send(self, daemon, key):
        fleet = self.fleet
        attempt = Attempt(daemon, key)
        attempt.task = fleet.start(fleet.request(attempt, fleet.managers[daemon]))
        fleet.attempts.append(attempt)

    @precondition(lambda self: self.fleet.calls)
    @rule(index=st.integers(0, 50), fault=st.sampled_from(FAULTS))
    def perform(self, index, fault):
        calls = self.fleet.calls
        self.fleet.perform(calls[index % len(calls)], fault)

    @precondition(lambda self: self.fleet.calls)
    @rule()
    def perform_all(self):
        self.fleet.perform_all()

    @precondition(lambda self: self.fleet.calls)
    @rule(daemon=st.integers(0, DAEMONS - 1))
    def lose_every_answer_of_one_daemon(self, daemon):
        fleet = self.fleet
        for fault in ("delayed", "lost request", "lost answer"):
            for call in [each for each in fleet.calls if each.daemon == daemon]:
                fleet.perform(call, fault)

    @precondition(lambda self: self.fleet.late_answers)
    @rule(index=st.integers(0, 50))
    def answer_late(self, index):
        late = self.fleet.late_answers
        self.fleet.answer(late.pop(index % len(late)))

    @precondition(lambda self: self.fleet.attempts)
    @rule(daemon=st.integers(0, DAEMONS - 1), seconds=st.sampled_from((20.0, 61.0)))
    def watch_every_key(self, daemon, seconds):
        fleet = self.fleet
        for key in KEYS:
            self.send(daemon, key)
        fleet.perform_all()
        self.advance(seconds)
        self.maintain(daemon)
        fleet.perform_all()

    @precondition(lambda self: self.fleet.table.delayed)
    @rule()
    def apply_delayed(self):
        self.fleet.table.apply_delayed()

    @precondition(lambda self: any(each.gate for each in self.fleet.attempts))
    @rule(index=st.integers(0, 50), result=st.sampled_from(("answered", "lost")))
    def pass_gate(self, index, result):
        waiting = [each for each in self.fleet.attempts if each.gate]
        waiting[index % len(waiting)].gate.set_result(result)
        self.fleet.settle_loop()

    @precondition(lambda self: self.fleet.attempts)
    @rule(index=st.integers(0, 50))
    def cancel(self, index):
        attempt = self.fleet.attempts[index % len(self.fleet.attempts)]
        if not attempt.has_run:
            attempt.task.cancel()
            self.fleet.settle_loop()

    @rule(daemon=st.integers(0, DAEMONS - 1))
    def maintain(self, daemon):
        self.fleet.start(self.fleet.managers[daemon].maintain())

    @rule(daemon=st.integers(0, DAEMONS - 1))
    def expire(self, daemon):
        self.fleet.start(self.fleet.managers[daemon].expire())

    @rule(seconds=st.sampled_from((1.0, 31.0, 61.0, 26 * 3600.0)))
    def advance(self, seconds):
        self.fleet.time_s += seconds
        for clock, rate in zip(self.fleet.clocks, CLOCK_RATES, strict=True):
            clock.elapsed_s += seconds * rate
            clock.epoch_s -= seconds * (rate - 1)

    @rule(daemon=st.integers(0, DAEMONS - 1))
    def replace_daemon(self, daemon):
        fleet = self.fleet
        for attempt in fleet.attempts:
            if attempt.daemon == daemon:
                attempt.is_killed = True
                attempt.task.cancel()
        fleet.calls[:] = [call for call in fleet.calls if call.daemon != daemon]
        fleet.settle_loop()
        fleet.managers[daemon] = fleet.new_manager(daemon)

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        try:
            self.check_answers()
            self.heal()
            self.check_no_key_is_blocked()
            self.check_answers()
        finally:
            fleet.close()

    def check_answers(self):
        for attempt in self.fleet.attempts:
            if attempt.reported_outcome in ("NotRun", "TableUnreachable", "InProgress"):
                assert not attempt.has_run
        for task in self.fleet.tasks:
            if task.done() and not task.cancelled():
                task.result()

    def heal(self):
        fleet = self.fleet
        fleet.table.apply_delayed()
        for _ in range(3):
            fleet.perform_all()
            while fleet.late_answers:
                fleet.answer(fleet.late_answers.pop())
            for attempt in fleet.attempts:
                if attempt.gate:
                    attempt.gate.set_result("answered")
            fleet.settle_loop()
        for daemon in range(DAEMONS):
            self.maintain(daemon)
            fleet.perform_all()

    def check_no_key_is_blocked(self):
        for key in KEYS:
            self.send(0, key)
            self.fleet.perform_all()
            if self.fleet.attempts[-1].reported_outcome != "InProgress":
                continue
            self.advance(61.0)
            self.send(0, key)
            self.fleet.perform_all()
            last = self.fleet.attempts[-1]
            assert last.reported_outcome == "SettledUnknown"
            killed = [each for each in self.fleet.attempts if each.is_killed]
            assert any(each.key == key for each in killed)


def test_a_key_runs_at_most_once():
    run_state_machine_as_test(
        Claims,
        settings=settings(max_examples=300, stateful_step_count=40),
    )
