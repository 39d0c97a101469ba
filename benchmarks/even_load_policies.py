"""Ways of choosing targets that the product's placement is compared with."""

import hashlib
import math
from collections.abc import Sequence

from benchmarks.even_load_fleet import Daemon
from dogwoodhook.state.load_estimate import LoadEstimate, LoadEstimator
from dogwoodhook.state.placement import Candidate, Placement
from dogwoodhook.state.suspicion import Standing
from dogwoodhook.state.target_directory import TargetEntry

MIN_WEIGHT = 0.02
"""Weight of a target without a free slot in a random choice."""

NEW_CONNECTION_WEIGHT = 0.15
"""Weight of a target without an idle connection in a random choice."""

CONNECTION_COST = 0.8
"""Cost of a new connection, in thirds of the slots, where loads are levelled."""

SUBSET_TARGETS = 8
LENT_COST = 1.5
LENDING_S = 0.02
DAEMONS_PER_LOAN = 8


def product(daemon: Daemon) -> Placement:
    """Return the product's placement."""
    return daemon.make_placement()


def as_reported(daemon: Daemon) -> Placement:
    """Return the product's placement without the correction of old counts."""
    return daemon.make_placement(corrects_counts=False)


class _Uncorrected(LoadEstimator):
    """Counts as they are reported, always compared for two random targets."""

    def estimate(self, targets: Sequence[TargetEntry], *, now_s: float) -> LoadEstimate:
        return LoadEstimate(self._load.by_target(now_s=now_s), is_old=True)


class _ManyTargets(LoadEstimator):
    """Corrected counts, compared for as many targets as recent ones."""

    def estimate(self, targets: Sequence[TargetEntry], *, now_s: float) -> LoadEstimate:
        estimate = super().estimate(targets, now_s=now_s)
        return LoadEstimate(estimate.in_flight)


def two_choices(daemon: Daemon) -> Placement:
    """Compare two random targets and those with idle connections."""
    return daemon.make_placement(estimator_class=_Uncorrected)


def corrected_only(daemon: Daemon) -> Placement:
    """Correct old counts, and compare as many targets as with recent ones."""
    return daemon.make_placement(estimator_class=_ManyTargets)


class _Direct(Placement):
    """Chooses among all targets in a way of its own."""

    daemon: Daemon

    def choose(
        self,
        targets: Sequence[TargetEntry],
        *,
        tried: frozenset[str],
        is_idempotent: bool,
        now_s: float,
    ) -> Candidate | None:
        untried = [each for each in targets if each.name not in tried]
        if not untried:
            return None
        in_flight = self._load.by_target(now_s=now_s)
        target = self._pick(untried, in_flight, now_s)
        has_free_slot = in_flight[target.name] < target.slots
        return Candidate(target, 0.0, Standing.SOUND, has_free_slot)

    def _pick(
        self, targets: list[TargetEntry], in_flight: dict[str, int], now_s: float
    ) -> TargetEntry:
        raise NotImplementedError

    @classmethod
    def make(cls, daemon: Daemon) -> Placement:
        """Return a placement for a daemon."""
        placement = daemon.make_placement(cls)
        assert isinstance(placement, cls)
        placement.daemon = daemon
        return placement


class ShareOfFreeSlots(_Direct):
    """Chooses at random, in proportion to the free slots."""

    def _pick(
        self, targets: list[TargetEntry], in_flight: dict[str, int], now_s: float
    ) -> TargetEntry:
        weights = [
            max(MIN_WEIGHT, each.slots - in_flight[each.name])
            * (1.0 if self._has_idle_connection(each) else NEW_CONNECTION_WEIGHT)
            for each in targets
        ]
        return self._rng.choices(targets, weights)[0]


class ExpectedChoosers(_Direct):
    """Levels the loads by the requests that others have started since the reports.

    Dahlin, Interpreting stale load information (2000): a target is chosen with the
    probability with which all of these would end at equal loads.
    """

    def _pick(
        self, targets: list[TargetEntry], in_flight: dict[str, int], now_s: float
    ) -> TargetEntry:
        layout = self.daemon.layout
        age_s = self.daemon.news_age.median_s(now_s=now_s) or 0.0
        expected = 1 + layout.load * layout.slots * layout.targets * age_s / (
            layout.work_s
        )
        loads = sorted(
            (
                in_flight[each.name]
                + self._rng.random() / 5
                + (
                    0.0
                    if self._has_idle_connection(each)
                    else CONNECTION_COST * each.slots / 3
                ),
                number,
            )
            for number, each in enumerate(targets)
        )
        total = level = 0.0
        count = 0
        for count, (load, _) in enumerate(loads, start=1):
            total += load
            level = (expected + total) / count
            if count == len(loads) or level <= loads[count][0]:
                break
        weights = [level - load for load, _ in loads[:count]]
        (_, number), *_ = self._rng.choices(loads[:count], weights)
        return targets[number]


class Subset(_Direct):
    """Compares a subset of its own, and a larger one while all its slots are taken."""

    def _pick(
        self, targets: list[TargetEntry], in_flight: dict[str, int], now_s: float
    ) -> TargetEntry:
        ordered = sorted(targets, key=lambda each: self._order(each.name))
        free: list[TargetEntry] = []
        count = SUBSET_TARGETS
        while not free and count < 2 * len(ordered):
            free = [
                each for each in ordered[:count] if in_flight[each.name] < each.slots
            ]
            count *= 2
        return min(
            free or ordered,
            key=lambda each: (
                self._evaluate(
                    each,
                    in_flight=in_flight[each.name],
                    is_idempotent=True,
                    now_s=now_s,
                ).cost
            ),
        )

    def _order(self, target: str) -> bytes:
        name = f"{self.daemon.number}/{target}"
        return hashlib.blake2b(name.encode(), digest_size=8).digest()


class LentSlots(_Direct):
    """Prefers targets that are lent to it for some milliseconds.

    All daemons have the same clock here, which a fleet would need a message for.
    """

    def _pick(
        self, targets: list[TargetEntry], in_flight: dict[str, int], now_s: float
    ) -> TargetEntry:
        epoch = math.floor(now_s / LENDING_S)
        borrowers = max(1, self.daemon.layout.daemons // DAEMONS_PER_LOAN)

        def cost(target: TargetEntry) -> float:
            evaluated = self._evaluate(
                target,
                in_flight=in_flight[target.name],
                is_idempotent=True,
                now_s=now_s,
            )
            lent_to = hash((epoch, int(target.name[1:]))) % borrowers
            is_lent = lent_to == self.daemon.number % borrowers
            return evaluated.cost + (0.0 if is_lent else LENT_COST)

        return min(self._sample(targets, is_old=False), key=cost)


POLICIES = {
    "product": product,
    "as reported": as_reported,
    "two choices": two_choices,
    "corrected, six choices": corrected_only,
    "share of free slots": ShareOfFreeSlots.make,
    "expected choosers": ExpectedChoosers.make,
    "subsets": Subset.make,
    "lent slots": LentSlots.make,
}
