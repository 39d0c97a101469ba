"""Choice of a target for each request of one service, and queues for requests.

Two random targets with headroom are picked for a request, in the daemon's own data
centre first, and it gets the one with more headroom. If no target has headroom, it
waits in its workspace's queue; queues are served in turn, so a workspace with many
requests does not delay others. A suspect target is used when a request would
otherwise be refused, or when no other target is left. The targets that get no work
at all (ejected, stopping, leaving) are looked up for each choice, because each is
excluded only while a lease lasts.

Example: a dispatcher with one free target grants it at once.

    dispatcher = ServiceDispatcher(
        service, health, data_centre="kigali-1", rng=Random(7)
    )
    match dispatcher.submit(Ticket(1, "physics", is_idempotent=True), now_s=0.0):
        case Granted(target=target):
            ...
"""

import itertools
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from random import Random

from dogwoodhook.state.health import ServiceHealth, TargetPhase
from dogwoodhook.state.limits import TargetLimit
from dogwoodhook.state.model import Service, Target
from dogwoodhook.state.outcomes import NotRunReason

STANDING_QUEUE_SHARE = 0.3
"""Share of the queue timeout after which a queue that has not been empty meanwhile
counts as standing."""

STANDING_WAIT_SHARE = 0.35
"""Share of the queue timeout that a request may wait in a standing queue."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that needs a target; ``tried`` names the targets it was sent to.

    A requeued request was shed by a target and is queued ahead of later ones.
    """

    number: int
    workspace: str
    is_idempotent: bool
    tried: frozenset[str] = frozenset()
    is_requeued: bool = False


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent to the target; call ``finish`` when it ends."""

    ticket: Ticket
    target: Target


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits in its workspace's queue."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is refused; it was not run."""

    ticket: Ticket
    reason: NotRunReason


Admission = Granted | Queued | Rejected


class ServiceDispatcher:
    """Targets, limits and queues of one service in one daemon."""

    def __init__(
        self,
        service: Service,
        health: ServiceHealth,
        *,
        data_centre: str,
        rng: Random,
        exclusions: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self.service = service
        self.health = health
        self._data_centre = data_centre
        self._rng = rng
        self._exclusions = exclusions
        self._excluded = frozenset[str]()
        self._limits: dict[str, TargetLimit] = {}
        self._queues: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self._queued_since_s: dict[str, float] = {}
        self._in_flight: Counter[str] = Counter()
        self.reconfigure(service)

    @property
    def in_flight(self) -> int:
        """Number of requests in flight to targets."""
        return self._in_flight.total()

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    def reconfigure(self, service: Service) -> None:
        """Apply a new definition; targets that stay keep their limits."""
        self.service = service
        self._local_targets = [
            target
            for target in service.targets
            if target.data_centre == self._data_centre
        ]
        self._remote_targets = [
            target
            for target in service.targets
            if target.data_centre != self._data_centre
        ]
        slots = float(service.parameters.slots_per_target)
        for target in service.targets:
            limit = self._limits.setdefault(target.name, TargetLimit(slots))
            limit.max_limit = slots
        names = {target.name for target in service.targets}
        for name in list(self._limits):
            if name not in names and not self._limits[name].in_flight:
                del self._limits[name]
        self.health.reconfigure(
            [target.name for target in service.targets],
            false_ejection_interval_s=float(
                service.parameters.false_ejection_interval_s
            ),
        )

    def in_flight_at(self, target: str) -> int:
        """Return the number of requests in flight to one target."""
        limit = self._limits.get(target)
        return limit.in_flight if limit else 0

    def wait_timeout_s(self, workspace: str, *, now_s: float) -> float:
        """Return how long a request that arrives now may wait for a target.

        A burst may use the whole queue timeout. A queue that has not been empty
        for a while only adds its waiting time to every answer, so waits are
        shortened until it has been empty.
        """
        timeout_s = self.service.parameters.queue_timeout_ms / 1000
        queued_s = now_s - self._queued_since_s.get(workspace, now_s)
        if queued_s > timeout_s * STANDING_QUEUE_SHARE:
            return timeout_s * STANDING_WAIT_SHARE
        return timeout_s

    def submit(self, ticket: Ticket, *, now_s: float) -> Admission:
        """Grant a target, queue the request or refuse it."""
        self._excluded = self._exclusions()
        if not self._has_target():
            return Rejected(ticket, NotRunReason.NO_TARGET)
        if ticket.is_requeued or not self._queues.get(ticket.workspace):
            granted = self._try_grant(ticket, now_s=now_s)
            if granted:
                return granted
        queue = self._queues.setdefault(ticket.workspace, deque())
        self._queued_since_s.setdefault(ticket.workspace, now_s)
        if ticket.is_requeued:
            queue.appendleft(ticket)
            return Queued(ticket)
        if len(queue) >= self.service.parameters.workspace_queue_limit:
            return self._grant_last_resort(ticket, NotRunReason.QUEUE_FULL, now_s=now_s)
        queue.append(ticket)
        return Queued(ticket)

    def expire(self, ticket: Ticket, *, now_s: float) -> Granted | Rejected:
        """Remove a request whose wait timed out; grant a last resort or refuse it."""
        self._excluded = self._exclusions()
        self.withdraw(ticket)
        return self._grant_last_resort(ticket, NotRunReason.QUEUE_TIMEOUT, now_s=now_s)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a request from its queue."""
        queue = self._queues.get(ticket.workspace)
        if queue is None:
            return
        if ticket in queue:
            queue.remove(ticket)
        if not queue:
            self._drop_queue(ticket.workspace)

    def grant_queued(self, *, now_s: float) -> list[Granted]:
        """Grant targets to queued requests, taking the workspaces in turn."""
        self._excluded = self._exclusions()
        grants: list[Granted] = []
        while self._pick_last_resorts(now_s=now_s):
            granted = self._grant_round(now_s=now_s)
            if not granted:
                break
            grants += granted
        return grants

    def _grant_round(self, *, now_s: float) -> list[Granted]:
        """Grant at most one target to each workspace with queued requests."""
        grants = []
        for workspace in list(self._queues):
            queue = self._queues[workspace]
            granted = self._try_grant(queue[0], now_s=now_s)
            if not granted:
                continue
            grants.append(granted)
            queue.popleft()
            if queue:
                self._queues.move_to_end(workspace)
            else:
                self._drop_queue(workspace)
        return grants

    def finish(self, granted: Granted) -> None:
        """Release a target's slot after a request has ended."""
        limit = self._limits.get(granted.target.name)
        if limit:
            limit.finish()
        workspace = granted.ticket.workspace
        self._in_flight[workspace] -= 1
        if not self._in_flight[workspace]:
            del self._in_flight[workspace]

    def record_answer(self, target: str, *, now_s: float) -> None:
        """Record that a target ran a request."""
        if target in self._limits:
            self._limits[target].record_answer(now_s=now_s)

    def record_shed(self, target: str, *, now_s: float) -> None:
        """Record that a target shed a request."""
        if target in self._limits:
            self._limits[target].record_shed(now_s=now_s, rng=self._rng)

    def _drop_queue(self, workspace: str) -> None:
        del self._queues[workspace]
        self._queued_since_s.pop(workspace, None)

    def _has_target(self) -> bool:
        return any(each.name not in self._excluded for each in self.service.targets)

    def _try_grant(self, ticket: Ticket, *, now_s: float) -> Granted | None:
        limit = self.service.parameters.workspace_in_flight_limit
        if self._in_flight[ticket.workspace] >= limit:
            return None
        pair = self._pick_pair(
            lambda target: self._is_usable(target, ticket, now_s=now_s)
        )
        if not pair and not self._has_healthy(ticket, now_s=now_s):
            pair = self._pick_last_resorts(now_s=now_s)
        return self._grant_best(ticket, pair, now_s=now_s)

    def _grant_last_resort(
        self, ticket: Ticket, reason: NotRunReason, *, now_s: float
    ) -> Granted | Rejected:
        limit = self.service.parameters.workspace_in_flight_limit
        if self._in_flight[ticket.workspace] >= limit:
            return Rejected(ticket, reason)
        pair = self._pick_last_resorts(now_s=now_s)
        return self._grant_best(ticket, pair, now_s=now_s) or Rejected(ticket, reason)

    def _is_usable(self, target: Target, ticket: Ticket, *, now_s: float) -> bool:
        if target.name in self._excluded or target.name in ticket.tried:
            return False
        if self._limits[target.name].headroom(now_s=now_s) <= 0:
            return False
        status = self.health.status(target.name, now_s=now_s)
        if status.phase is TargetPhase.HEALTHY:
            return True
        if status.phase is TargetPhase.PROBING and not ticket.is_idempotent:
            return False
        return self._rng.random() < status.weight

    def _has_healthy(self, ticket: Ticket, *, now_s: float) -> bool:
        return any(
            target.name not in self._excluded
            and target.name not in ticket.tried
            and self.health.status(target.name, now_s=now_s).phase
            is TargetPhase.HEALTHY
            for target in self.service.targets
        )

    def _is_last_resort(self, target: Target, *, now_s: float) -> bool:
        if target.name in self._excluded:
            return False
        return self._limits[target.name].headroom(now_s=now_s) > 0

    def _pick_last_resorts(self, *, now_s: float) -> list[Target]:
        return self._pick_pair(lambda target: self._is_last_resort(target, now_s=now_s))

    def _pick_pair(self, is_eligible: Callable[[Target], bool]) -> list[Target]:
        """Return up to two random eligible targets, of the own data centre if any.

        Targets are checked in random order until two are found, so the cost does
        not grow with their number.
        """
        for targets in (self._local_targets, self._remote_targets):
            eligible = filter(is_eligible, self._in_random_order(targets))
            pair = list(itertools.islice(eligible, 2))
            if pair:
                return pair
        return []

    def _in_random_order(self, targets: Sequence[Target]) -> Iterator[Target]:
        remaining = list(targets)
        while remaining:
            index = int(self._rng.random() * len(remaining))
            remaining[index], remaining[-1] = remaining[-1], remaining[index]
            yield remaining.pop()

    def _grant_best(
        self, ticket: Ticket, pair: list[Target], *, now_s: float
    ) -> Granted | None:
        if not pair:
            return None
        best = max(pair, key=lambda each: self._limits[each.name].headroom(now_s=now_s))
        self._limits[best.name].start()
        self._in_flight[ticket.workspace] += 1
        return Granted(ticket, best)
