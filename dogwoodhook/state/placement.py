"""Which target a request is sent to.

Designed for: a fleet in which each daemon gets a few requests a second and shares the
few slots of every target with all other daemons. The target with the fewest requests
in flight from the data centre is chosen. Targets of the own data centre are preferred
until their slots are taken, and among equal targets one with an idle connection, which
avoids opening a new one. Failing targets come last.

What a daemon knows of the others' requests is some milliseconds old. If all daemons
compared all targets, those that choose in the same moment would choose the same one.
Each therefore compares a few: those to which it has idle connections, and some chosen
at random for each request (Mitzenmacher, The power of two choices in randomized load
balancing, 2001). It compares all of them if none of these few is sound and has a free
slot. While the neighbours' counts are old, which ``load_estimate`` decides, it compares
all only if these few have failed requests.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from dogwoodhook.state.crowding import ServiceRoom
from dogwoodhook.state.fleet_load import FleetLoad
from dogwoodhook.state.load_estimate import LoadEstimator
from dogwoodhook.state.remote_choice import REMOTE_COST
from dogwoodhook.state.suspicion import Standing, Suspicion
from dogwoodhook.state.target_directory import TargetEntry

TYPICAL_SLOTS = 3.0
"""Slots of a target at which a request in flight costs 1; with more it costs less."""

NEW_CONNECTION_COST = 0.8
"""Cost of opening a new connection, in requests in flight. A recently joined target is
exempt until this daemon has used it once."""

WARMUP_COST = 0.7
"""Cost of a target that is warming up after its start, in requests in flight."""

RANDOM_COST = 0.6
"""Largest random cost; it spreads requests over the targets in use."""

SLOW_COST = 4.0
"""Requests in flight by which other targets may be busier than a slow one before the
slow one is chosen."""

DOUBTFUL_COST = 6.0
"""The same for a doubtful target, which failed a request recently."""

DOUBTFUL_IDEMPOTENT_COST = 2.5
"""The same for a doubtful target and an idempotent request: a failure costs it a retry,
and waiting for a slot of another target would cost it as much."""

FREE_SLOTS_SHARE = 0.7
"""Share of the slots in use below which targets count as having free slots, even if
they refuse requests; the rest covers requests from other data centres."""

FAILING_COST = 1000.0
"""Cost of each failure of a failing target: it ranks failing targets behind all others,
and those with the most failures last."""


SAMPLED_TARGETS = 6
"""Targets of the own data centre that are chosen at random for each request, in
addition to those with idle connections."""

SAMPLED_TARGETS_OF_OLD = 2
"""The same while the neighbours' counts are old: of more, the daemons that choose in
the meantime would find the same target to be the best."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target and its cost; the target with the lowest cost is chosen.

    ``has_free_slot`` considers only requests from the own data centre. A target in
    another data centre ``is_elsewhere``.
    """

    target: TargetEntry
    cost: float
    standing: Standing
    has_free_slot: bool
    is_elsewhere: bool = False


class Placement:
    """Chooses targets, and counts this daemon's requests in flight at each of them."""

    def __init__(
        self,
        suspicion: Suspicion,
        load: FleetLoad,
        *,
        data_centre: str,
        rng: random.Random,
        has_idle_connection: Callable[[TargetEntry], bool],
        has_joined_recently: Callable[[str, float], bool],
        estimator: LoadEstimator | None = None,
    ) -> None:
        self._suspicion = suspicion
        self._data_centre = data_centre
        self._rng = rng
        self._has_idle_connection = has_idle_connection
        self._has_joined_recently = has_joined_recently
        self._load = load
        self._estimator = estimator or LoadEstimator(load)
        self._used_recently_joined: set[str] = set()

    def start(self, target: TargetEntry, *, now_s: float) -> None:
        """Count a request sent to a target."""
        self._load.start(target.name)
        if self._has_joined_recently(target.name, now_s):
            self._used_recently_joined.add(target.name)

    def finish(self, target: TargetEntry) -> None:
        """Count the end of a request sent to a target."""
        self._load.finish(target.name)

    def has_free_slots(self, targets: Iterable[TargetEntry], *, now_s: float) -> bool:
        """Return whether the targets have free slots.

        Targets of the own data centre alone are considered, if there are any.
        """
        listed = list(targets)
        near = [each for each in listed if each.data_centre == self._data_centre]
        counted = near or listed
        in_flight = self._load.by_target(now_s=now_s)
        busy = sum(in_flight[each.name] for each in counted)
        return busy < FREE_SLOTS_SHARE * sum(each.slots for each in counted)

    def room(self, targets: Iterable[TargetEntry], *, now_s: float) -> ServiceRoom:
        """Return the known load of the targets.

        A target that refused a request a moment ago is full, whatever is known of its
        load: other data centres send requests to it, too. One in doubt has no room.
        """
        in_flight = self._load.by_target(now_s=now_s)
        room = ServiceRoom(slots=0, in_flight=0, places=0)
        for each in targets:
            avoidance = self._suspicion.avoidance(
                each.name, is_idempotent=True, now_s=now_s
            )
            room = room.with_target(
                slots=each.slots,
                in_flight=in_flight[each.name],
                is_near=each.data_centre == self._data_centre,
                is_sound=avoidance.standing is Standing.SOUND,
            )
        return room

    def choose(
        self,
        targets: Iterable[TargetEntry],
        *,
        tried: frozenset[str],
        is_idempotent: bool,
        now_s: float,
        cost_elsewhere: float = REMOTE_COST,
    ) -> Candidate | None:
        """Return the best target that was not tried yet, or ``None``.

        ``cost_elsewhere`` is the cost of targets of other data centres.
        """
        untried = [each for each in targets if each.name not in tried]
        estimate = self._estimator.estimate(untried, now_s=now_s)
        in_flight = estimate.in_flight

        def best_of(compared: Iterable[TargetEntry]) -> Candidate | None:
            candidates = (
                self._evaluate(
                    target,
                    in_flight=in_flight[target.name],
                    is_idempotent=is_idempotent,
                    now_s=now_s,
                    cost_elsewhere=cost_elsewhere,
                )
                for target in compared
            )
            return min(candidates, key=lambda each: each.cost, default=None)

        sampled = self._sample(untried, is_old=estimate.is_old)
        if len(sampled) < len(untried):
            best = best_of(sampled)
            if best is not None and best.has_free_slot:
                if best.standing is Standing.SOUND:
                    return best
        if estimate.is_old:
            # All daemons would find the same target to be the best of all.
            remote = [each for each in untried if each.data_centre != self._data_centre]
            best = best_of([*sampled, *remote])
            if best is not None and best.standing <= Standing.SLOW:
                return best
        return best_of(untried)

    def _sample(self, targets: list[TargetEntry], *, is_old: bool) -> list[TargetEntry]:
        """Return a few targets of the own data centre."""
        near = [each for each in targets if each.data_centre == self._data_centre]
        count = SAMPLED_TARGETS_OF_OLD if is_old else SAMPLED_TARGETS
        if len(near) <= count:
            return near
        is_idle = {each.name: self._has_idle_connection(each) for each in near}
        others = [each for each in near if not is_idle[each.name]]
        chosen = self._rng.sample(others, min(count, len(others)))
        return chosen + [each for each in near if is_idle[each.name]]

    def _evaluate(
        self,
        target: TargetEntry,
        *,
        in_flight: float,
        is_idempotent: bool,
        now_s: float,
        cost_elsewhere: float = REMOTE_COST,
    ) -> Candidate:
        avoidance = self._suspicion.avoidance(
            target.name, is_idempotent=is_idempotent, now_s=now_s
        )
        cost = in_flight * TYPICAL_SLOTS / target.slots
        cost += self._rng.uniform(0, RANDOM_COST)
        is_elsewhere = target.data_centre != self._data_centre
        if is_elsewhere:
            cost += cost_elsewhere
        if target.warmup_s > 0:
            cost += WARMUP_COST
        if not self._has_idle_connection(target) and not self._is_untried(
            target, now_s
        ):
            cost += NEW_CONNECTION_COST
        match avoidance.standing:
            case Standing.FAILING:
                cost += FAILING_COST * avoidance.failures
            case Standing.DOUBTFUL if is_idempotent:
                cost += DOUBTFUL_IDEMPOTENT_COST
            case Standing.DOUBTFUL:
                cost += DOUBTFUL_COST
            case Standing.SLOW:
                cost += SLOW_COST
            case Standing.SOUND:
                pass
        return Candidate(
            target,
            cost,
            avoidance.standing,
            has_free_slot=in_flight < target.slots,
            is_elsewhere=is_elsewhere,
        )

    def _is_untried(self, target: TargetEntry, now_s: float) -> bool:
        """Return whether a target joined recently and was not used by this daemon."""
        if target.name in self._used_recently_joined:
            return False
        return self._has_joined_recently(target.name, now_s)
