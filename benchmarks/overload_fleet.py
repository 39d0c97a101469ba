"""Simulates daemons and the targets of one service on a virtual clock.

The daemons run the product's own admission, limits, retries and budget. Only the
forwarder's part between these and the targets are modelled: a target sheds requests
while it has no free slot, and the duration of work is exponentially distributed.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from dogwoodhook.state.admission import (
    Granted,
    Queued,
    Rejected,
    ServiceDispatcher,
    Ticket,
)
from dogwoodhook.state.health import ServiceHealth
from dogwoodhook.state.model import Parameters, Service, Target
from dogwoodhook.state.outcomes import (
    Answered,
    Failure,
    FailureKind,
    NotRun,
    NotRunReason,
    Outcome,
    Success,
    Unknown,
    UnknownReason,
)
from dogwoodhook.state.retries import Requeue, Retry, RetryBudget, decide_retry

MEAN_WORK_S = 0.05
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.004
WAKE_INTERVAL_S = 0.005
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")


class TargetState(Enum):
    """What a target does with a request."""

    SERVING = "serving"
    CRASHING = "crashing"


@dataclass(slots=True)
class FakeTarget:
    """A target with its slots; ``received`` counts all attempts, sheds included."""

    slots: int
    state: TargetState = TargetState.SERVING
    busy: int = 0
    busy_s: float = 0.0
    received: int = 0
    shed: int = 0


@dataclass(eq=False, slots=True)
class Request:
    """A caller's request."""

    number: int
    workspace: str
    arrived_s: float
    deadline_s: float
    attempts: int = 0
    sheds: int = 0
    wait_s: float = 0.0
    queued_s: float = 0.0
    queued_at_s: float | None = None
    tried: frozenset[str] = frozenset()
    ticket: Ticket | None = None


@dataclass(frozen=True, slots=True)
class FinishedRequest:
    """A request that has ended, with its outcome."""

    workspace: str
    arrived_s: float
    ended_s: float
    outcome: Outcome
    attempts: int

    @property
    def is_good(self) -> bool:
        """Return whether the caller received a good answer."""
        return self.outcome == Answered(200)


@dataclass(frozen=True, slots=True)
class Layout:
    """Sizes of a simulated deployment."""

    daemons: int
    targets: int
    parameters: Parameters = field(default_factory=Parameters)
    is_idempotent: bool = True


MakeDispatcher = Callable[[Service, ServiceHealth, str, Random], ServiceDispatcher]


class FakeDaemon:
    """A model of a daemon's forwarder that uses the product's decision code."""

    def __init__(self, fleet: "Fleet", data_centre: str) -> None:
        service = fleet.service
        names = [target.name for target in service.targets]
        self.fleet = fleet
        self.data_centre = data_centre
        self.health = ServiceHealth(
            service.name,
            names,
            false_ejection_interval_s=service.parameters.false_ejection_interval_s,
        )
        self.dispatcher = fleet.make_dispatcher(
            service, self.health, data_centre, fleet.rng
        )
        self.budget = RetryBudget(
            retry_budget_percent=service.parameters.retry_budget_percent, now_s=0.0
        )
        self.waiting: dict[int, Request] = {}
        self.is_wake_scheduled = False

    def accept(self, request: Request) -> None:
        """Accept a request from a caller."""
        self.budget.record_request(self.fleet.now_s)
        request.wait_s = self.dispatcher.wait_timeout_s(
            request.workspace, now_s=self.fleet.now_s
        )
        self.admit(request)

    def admit(self, request: Request) -> None:
        """Submit a request to the dispatcher, for its first attempt or a retry."""
        fleet = self.fleet
        request.ticket = Ticket(
            next(fleet.numbers),
            request.workspace,
            fleet.layout.is_idempotent,
            request.tried,
            is_requeued=fleet.has_requeue and request.sheds > 0,
        )
        match self.dispatcher.submit(request.ticket, now_s=fleet.now_s):
            case Granted() as granted:
                self.send(request, granted)
            case Rejected(reason=reason):
                fleet.record_end(request, NotRun(reason))
            case Queued(ticket=ticket):
                self.waiting[ticket.number] = request
                left_s = max(0.0, request.wait_s - request.queued_s)
                request.queued_at_s = fleet.now_s
                due_s = min(fleet.now_s + left_s, request.deadline_s)
                fleet.schedule(due_s, lambda: self.expire(request, ticket))
                self.wake_later()

    def expire(self, request: Request, ticket: Ticket) -> None:
        """End a ticket's wait in the queue."""
        if self.waiting.pop(ticket.number, None) is None:
            return
        match self.dispatcher.expire(ticket, now_s=self.fleet.now_s):
            case Granted() as granted:
                self.send(request, granted)
            case Rejected(reason=reason):
                self.fleet.record_end(request, NotRun(reason))

    def wake(self) -> None:
        """Send the queued requests that the dispatcher grants now."""
        if not self.waiting:
            return
        for granted in self.dispatcher.grant_queued(now_s=self.fleet.now_s):
            self.send(self.waiting.pop(granted.ticket.number), granted)
        self.wake_later()

    def wake_later(self) -> None:
        """Schedule the next look at the queue after the daemon's interval."""
        if not self.waiting or self.is_wake_scheduled:
            return
        self.is_wake_scheduled = True
        self.fleet.schedule(self.fleet.now_s + WAKE_INTERVAL_S, self.wake_again)

    def wake_again(self) -> None:
        """Grant queued requests at the end of the interval."""
        self.is_wake_scheduled = False
        self.wake()

    def send(self, request: Request, granted: Granted) -> None:
        """Send an attempt to the granted target."""
        fleet = self.fleet
        if fleet.now_s >= request.deadline_s:
            self.dispatcher.finish(granted)
            fleet.record_end(request, NotRun(NotRunReason.DEADLINE))
            return
        if request.queued_at_s is not None:
            request.queued_s += fleet.now_s - request.queued_at_s
            request.queued_at_s = None
        is_local = granted.target.data_centre == self.data_centre
        delay_s = LOCAL_DELAY_S if is_local else REMOTE_DELAY_S
        sent_s = fleet.now_s

        def respond(outcome: Outcome) -> None:
            fleet.schedule(
                fleet.now_s + delay_s,
                lambda: self.receive(request, granted, outcome, sent_s),
            )

        fleet.schedule(
            fleet.now_s + delay_s,
            lambda: fleet.start_work(granted.target.name, respond),
        )

    def receive(
        self, request: Request, granted: Granted, outcome: Outcome, sent_s: float
    ) -> None:
        """Record an attempt's outcome, as the forwarder does."""
        fleet = self.fleet
        target = granted.target.name
        self.dispatcher.finish(granted)
        match outcome:
            case Answered():
                self.dispatcher.record_answer(target, now_s=fleet.now_s)
                latency_ms = (fleet.now_s - sent_s) * 1000
                self.health.observe(target, Success(latency_ms), now_s=fleet.now_s)
            case NotRun():
                self.dispatcher.record_shed(target, now_s=fleet.now_s)
            case Unknown():
                failure = Failure(FailureKind.CRASH, request.number)
                self.health.observe(target, failure, now_s=fleet.now_s)
        self.finish_attempt(request, target, outcome)
        self.wake()

    def finish_attempt(self, request: Request, target: str, outcome: Outcome) -> None:
        """Retry the attempt or end the request."""
        fleet = self.fleet
        if outcome == NotRun(NotRunReason.TARGET_SHED):
            request.sheds += 1
        else:
            request.attempts += 1
        decision = decide_retry(
            outcome,
            is_idempotent=fleet.layout.is_idempotent,
            is_replayable=True,
            has_answer_started=False,
            remaining_ms=(request.deadline_s - fleet.now_s) * 1000,
            attempts=request.attempts,
            sheds=request.sheds,
        )
        if isinstance(decision, Requeue) and fleet.has_requeue:
            self.admit(request)
            return
        if isinstance(decision, Retry | Requeue) and fleet.try_take_retry(
            self, outcome
        ):
            request.tried |= {target}
            self.admit(request)
            return
        fleet.record_end(request, outcome)


class Fleet:
    """Simulated daemons and targets with a virtual clock."""

    def __init__(
        self,
        layout: Layout,
        *,
        make_dispatcher: MakeDispatcher,
        has_budget: bool = True,
        has_requeue: bool = True,
        seed: int = 1,
    ) -> None:
        self.layout = layout
        self.rng = Random(seed)
        self.make_dispatcher = make_dispatcher
        self.has_budget = has_budget
        self.has_requeue = has_requeue
        self.now_s = 0.0
        self.numbers = itertools.count(1)
        self.finished: list[FinishedRequest] = []
        self.service = Service(
            name="payouts",
            workspace="oulu",
            parameters=layout.parameters,
            targets=tuple(
                Target(f"t{index}", DATA_CENTRES[index % 3], "127.0.0.1", 1)
                for index in range(layout.targets)
            ),
            routes=(),
        )
        slots = layout.parameters.slots_per_target
        self.targets = {each.name: FakeTarget(slots) for each in self.service.targets}
        self.daemons = [
            FakeDaemon(self, DATA_CENTRES[index % 3]) for index in range(layout.daemons)
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()

    @property
    def capacity_per_s(self) -> float:
        """Number of requests a second that all slots together can serve."""
        slots = self.layout.parameters.slots_per_target * self.layout.targets
        return slots / MEAN_WORK_S

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time of the virtual clock."""
        heapq.heappush(self._events, (time_s, next(self._event_numbers), action))

    def run(self, until_s: float) -> None:
        """Run the scheduled actions up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    def offer(self, workspace: str, rate_per_s: float, until_s: float) -> None:
        """Schedule requests of a workspace to random daemons until ``until_s``."""
        wait_s = self.rng.expovariate(rate_per_s)

        def arrive() -> None:
            self.arrive(workspace)
            self.offer(workspace, rate_per_s, until_s)

        if self.now_s + wait_s < until_s:
            self.schedule(self.now_s + wait_s, arrive)

    def arrive(self, workspace: str) -> None:
        """Send one request to a random daemon."""
        deadline_s = self.now_s + self.layout.parameters.deadline_ms / 1000
        request = Request(next(self.numbers), workspace, self.now_s, deadline_s)
        self.rng.choice(self.daemons).accept(request)

    def start_work(self, name: str, respond: Callable[[Outcome], None]) -> None:
        """Run an attempt at a target, which may shed it or crash."""
        target = self.targets[name]
        target.received += 1
        if target.state is TargetState.CRASHING:
            respond(Unknown(UnknownReason.CONNECTION_LOST))
            return
        if target.busy >= target.slots:
            target.shed += 1
            respond(NotRun(NotRunReason.TARGET_SHED))
            return
        target.busy += 1

        work_s = self.rng.expovariate(1 / MEAN_WORK_S)

        def finish() -> None:
            target.busy -= 1
            target.busy_s += work_s
            respond(Answered(200))

        self.schedule(self.now_s + work_s, finish)

    def try_take_retry(self, daemon: FakeDaemon, outcome: Outcome) -> bool:
        """Spend a retry from the daemon's budget, if the policy has one.

        Return whether the retry is allowed.
        """
        return not self.has_budget or daemon.budget.try_take(self.now_s)

    def record_end(self, request: Request, outcome: Outcome) -> None:
        """Record the end of a request."""
        self.finished.append(
            FinishedRequest(
                request.workspace,
                request.arrived_s,
                self.now_s,
                outcome,
                request.attempts,
            )
        )
