"""Which requests wait in a daemon for room at a service, and which are refused.

A target works on as many requests as it has slots, queues some more and sheds the
rest. While all slots of a service are known to be taken, a daemon holds requests back
instead of having them shed: a held request keeps its place, and the retry budget is
left for requests that need it. A request that was shed without a token left for a
retry is held too, until the budget has one. A shed proves that nothing ran, so this
includes requests that may run only once.

A request that cannot end before its deadline is refused as soon as that is known. Held
requests are sent in order of priority, but every ``FAIR_INTERVAL``-th goes to the
workspace whose turn it is, whatever its priority, so that none is starved. Workspaces
of one priority take turns by weight of their usual use: one that sends many times its
usual does not displace the others. Within a workspace those come first that can still
be answered within their target latency, and among them the one with the least time.

Designed for: bursts of 1.7 to 2.5 times the usual demand and a workspace at 4 to 6
times its usual, with deadlines of 12 to 15 s for work of 0.5 s; targets that shed half
of what they get for some seconds, with deadlines of 3 to 6 s for work of 0.3 s.
"""

import math
import random
from collections import Counter, OrderedDict, defaultdict, deque
from dataclasses import dataclass

QUEUE_SHARE = 1.0
"""Requests queued at the targets of the own data centre, as a share of their slots, up
to which a service has room: enough to keep the slots busy until news of an end has
reached the daemons."""

MAX_HELD = 64
"""Requests that a daemon holds back for all services together."""

MAX_HELD_BYTES = 4 * 1024 * 1024
"""Bytes of their bodies."""

FAIR_INTERVAL = 4
"""Every how many grants the workspace whose turn it is goes before priority."""

CONCURRENT_SHARE = 0.3
"""Share of the daemons assumed to send a held request at the same moment."""

RECENT_GRANTS = 32
MIN_GRANTS = 4
MAX_GRANT_AGE_S = 5.0
"""Grants from whose rate the wait is expected: how many are remembered, how many are
needed, and the age up to which they count."""

WAIT_MARGIN = 2.0
"""Multiple of the expected wait that a request must have left when it arrives, since
more urgent requests that arrive later go before it."""

END_MARGIN = 1.5
"""Multiple of the usual time that a held request must have left to be sent: half of all
requests take longer than the usual time."""

MIN_TIMES_USUAL = 3.0
"""Multiple of the usual time of the work that a shed request must have left to wait."""

FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
"""Pause before a request that was shed is sent again; it doubles with each shed."""

USE_MEMORY_S = 60.0
"""Time over which a workspace's use is averaged: several times a burst."""

MAX_WORKSPACES = 4096
"""Workspaces whose use is remembered."""


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that asks for room; times are on the elapsed clock."""

    number: int
    service: str
    workspace: str
    priority: int
    arrived_s: float
    target_latency_s: float
    deadline_s: float
    sheds: int = 0
    body_bytes: int = 0

    def can_end(self, *, usual_s: float, now_s: float) -> bool:
        """Return whether the request can end before its deadline if sent now."""
        return now_s + END_MARGIN * usual_s <= self.deadline_s

    def is_in_time(self, *, usual_s: float, now_s: float) -> bool:
        """Return whether it can be answered within its target latency if sent now."""
        return now_s + usual_s <= self.arrived_s + self.target_latency_s


@dataclass(frozen=True, slots=True)
class ServiceRoom:
    """The known load of a service: its slots, requests in flight, and free places."""

    slots: int
    in_flight: int
    places: int

    def with_target(
        self, *, slots: int, in_flight: int, is_near: bool, is_sound: bool = True
    ) -> "ServiceRoom":
        """Return the room with one more target; one that is not sound has no places.

        Of targets in other data centres only the requests from here are known, so their
        queues are left to their own data centre.

        >>> room = ServiceRoom(slots=0, in_flight=0, places=0)
        >>> room.with_target(slots=6, in_flight=11, is_near=True)
        ServiceRoom(slots=6, in_flight=11, places=1)
        """
        limit = math.floor(slots * (1 + QUEUE_SHARE)) if is_near else slots
        places = max(0, limit - in_flight) if is_sound else 0
        return ServiceRoom(
            self.slots + slots, self.in_flight + in_flight, self.places + places
        )

    def with_one_more(self) -> "ServiceRoom":
        """Return the room after one more request has been sent."""
        return ServiceRoom(self.slots, self.in_flight + 1, max(0, self.places - 1))

    def time_per_end_s(self, usual_s: float) -> float:
        """Return the mean time between two ends of requests (Little's law)."""
        return usual_s / max(self.slots, self.in_flight, 1)


@dataclass(frozen=True, slots=True)
class RetryRoom:
    """The retry budget: tokens left, when the next is due, and how many a second."""

    tokens: float
    next_in_s: float
    tokens_per_s: float


@dataclass(frozen=True, slots=True)
class SendNow:
    """The request is sent at once."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits, for about ``expected_s``."""

    expected_s: float


@dataclass(frozen=True, slots=True)
class RefuseTooLate:
    """The request could not end before its deadline; room is due in ``room_in_s``."""

    room_in_s: float


@dataclass(frozen=True, slots=True)
class RefuseNoRoom:
    """The daemon holds as many requests as it may; room is due in ``room_in_s``."""

    room_in_s: float


Decision = SendNow | Wait | RefuseTooLate | RefuseNoRoom


class Crowding:
    """The requests that a daemon holds back, and the use of its workspaces.

    ``rng`` decides which of several daemons that see the same free place uses it.

    >>> crowding = Crowding(random.Random(7))
    >>> request = WaitingRequest(1, "payouts", "", 0, 0.0, 2.0, 12.0)
    >>> full = ServiceRoom(slots=6, in_flight=12, places=0)
    >>> crowding.decide_arrival(request, full, usual_s=0.5, daemons=1, now_s=0.0)
    Wait(expected_s=0.041666666666666664)
    >>> crowding.hold(request, now_s=0.0)
    >>> crowding.grant("payouts", full, usual_s=0.5, daemons=1, now_s=0.1) is None
    True
    >>> free = ServiceRoom(slots=6, in_flight=11, places=1)
    >>> crowding.grant("payouts", free, usual_s=0.5, daemons=1, now_s=0.2).number
    1
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._held: dict[int, tuple[WaitingRequest, float]] = {}
        self._use: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self._passes: dict[tuple[str, str], float] = {}
        self._virtual_times: defaultdict[str, float] = defaultdict(float)
        self._grants: Counter[str] = Counter()
        self._granted_s: defaultdict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=RECENT_GRANTS)
        )

    def __len__(self) -> int:
        return len(self._held)

    def services(self) -> set[str]:
        """Return the services for which requests are held."""
        return {request.service for request, _ in self._held.values()}

    def record_use(self, workspace: str, *, now_s: float) -> None:
        """Count a request of a workspace, held or not."""
        self._use[workspace] = (self._weight(workspace, now_s) + 1, now_s)
        self._use.move_to_end(workspace)
        if len(self._use) > MAX_WORKSPACES:
            forgotten, _ = self._use.popitem(last=False)
            for key in [key for key in self._passes if key[1] == forgotten]:
                del self._passes[key]

    def decide_arrival(
        self,
        request: WaitingRequest,
        room: ServiceRoom,
        *,
        usual_s: float,
        daemons: int,
        now_s: float,
    ) -> Decision:
        """Return what happens to a request that has not been sent yet.

        ``usual_s`` is the usual time from sending a request to its answer. All daemons
        are assumed to hold about as many requests as this one.
        """
        ahead = sum(not each.sheds for each in self._held_for(request.service))
        if not room.slots or (room.places and not ahead):
            return SendNow()
        per_grant_s = daemons * room.time_per_end_s(usual_s)
        granted_s = self._granted_s[request.service]
        if len(granted_s) >= MIN_GRANTS and now_s - granted_s[0] < MAX_GRANT_AGE_S:
            per_grant_s = (now_s - granted_s[0]) / len(granted_s)
        expected_s = room.time_per_end_s(usual_s) + ahead * per_grant_s
        return self._wait_or_refuse(
            request,
            expected_s,
            usual_s=usual_s,
            now_s=now_s,
            least_left_s=WAIT_MARGIN * expected_s + usual_s,
        )

    def decide_shed(
        self,
        request: WaitingRequest,
        retries: RetryRoom,
        *,
        usual_s: float,
        daemons: int,
        now_s: float,
    ) -> Decision:
        """Return whether a request that was shed, and may not be retried now, waits."""
        ahead = sum(each.sheds > 0 for each in self._held_for(request.service))
        expected_s = pause_s(request.sheds)
        if retries.tokens < 1:
            expected_s = max(expected_s, retries.next_in_s)
        if ahead:
            expected_s += ahead * daemons / max(retries.tokens_per_s, 1e-3)
        return self._wait_or_refuse(
            request,
            expected_s,
            usual_s=usual_s,
            now_s=now_s,
            least_left_s=MIN_TIMES_USUAL * usual_s,
        )

    def hold(self, request: WaitingRequest, *, now_s: float) -> None:
        """Hold a request until it is granted or released."""
        may_go_s = now_s + (pause_s(request.sheds) if request.sheds else 0.0)
        self._held[request.number] = (request, may_go_s)

    def release(self, number: int) -> None:
        """Forget a request that is no longer held."""
        self._held.pop(number, None)

    def overdue(
        self, service: str, *, usual_s: float, now_s: float
    ) -> list[WaitingRequest]:
        """Return the held requests that can no longer end before their deadlines."""
        return [
            each
            for each in self._held_for(service)
            if not each.can_end(usual_s=usual_s, now_s=now_s)
        ]

    def grant(
        self,
        service: str,
        room: ServiceRoom,
        *,
        usual_s: float,
        daemons: int,
        now_s: float,
        has_retry: bool = False,
    ) -> WaitingRequest | None:
        """Release and return the held request that is sent next, if there is room.

        It is to be called at each freed slot. ``has_retry`` tells whether the budget
        has tokens; without them requests that were shed stay.
        """
        concurrent = max(1.0, CONCURRENT_SHARE * daemons)
        if room.slots and self._rng.random() * concurrent >= room.places:
            return None
        ready = [
            request
            for request, may_go_s in self._held.values()
            if request.service == service
            and may_go_s <= now_s
            and (has_retry or not request.sheds)
        ]
        if not ready:
            return None
        chosen = self._choose(ready, usual_s=usual_s, now_s=now_s)
        if not chosen.sheds:
            self._granted_s[service].append(now_s)
        self.release(chosen.number)
        return chosen

    def _choose(
        self, ready: list[WaitingRequest], *, usual_s: float, now_s: float
    ) -> WaitingRequest:
        service = ready[0].service
        self._grants[service] += 1
        if self._grants[service] % FAIR_INTERVAL:
            most_urgent = min(each.priority for each in ready)
            ready = [each for each in ready if each.priority == most_urgent]
        # Start-time fair queueing: a workspace that held nothing gets no credit for it.
        virtual = self._virtual_times[service]
        starts = {
            each.workspace: max(virtual, self._passes.get((service, each.workspace), 0))
            for each in ready
        }
        workspace = min(starts, key=lambda each: (starts[each], each))
        self._virtual_times[service] = starts[workspace]
        weight = max(1.0, self._weight(workspace, now_s))
        self._passes[service, workspace] = starts[workspace] + 1 / weight
        own = [each for each in ready if each.workspace == workspace]
        return min(
            own,
            key=lambda each: (
                each.priority,
                not each.is_in_time(usual_s=usual_s, now_s=now_s),
                each.deadline_s,
            ),
        )

    def _wait_or_refuse(
        self,
        request: WaitingRequest,
        expected_s: float,
        *,
        usual_s: float,
        now_s: float,
        least_left_s: float,
    ) -> Decision:
        left_s = request.deadline_s - now_s
        if left_s < max(expected_s + END_MARGIN * usual_s, least_left_s):
            return RefuseTooLate(expected_s)
        held_bytes = sum(each.body_bytes for each, _ in self._held.values())
        if (
            len(self._held) >= MAX_HELD
            or held_bytes + request.body_bytes > MAX_HELD_BYTES
        ):
            return RefuseNoRoom(expected_s)
        return Wait(expected_s)

    def _held_for(self, service: str) -> list[WaitingRequest]:
        return [each for each, _ in self._held.values() if each.service == service]

    def _weight(self, workspace: str, now_s: float) -> float:
        value, at_s = self._use.get(workspace, (0.0, now_s))
        return value * math.exp((at_s - now_s) / USE_MEMORY_S)


def pause_s(sheds: int) -> float:
    """Return the pause before a request is sent again that was shed so many times.

    >>> pause_s(1), pause_s(3), pause_s(9)
    (0.05, 0.2, 1.0)
    """
    return float(min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (max(1, sheds) - 1)))
