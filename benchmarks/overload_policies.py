"""Policies under test: the product's, and baselines that are commonly used."""

from random import Random

from dogwoodhook.state.admission import Granted, ServiceDispatcher, Ticket
from dogwoodhook.state.health import ServiceHealth
from dogwoodhook.state.limits import TargetLimit
from dogwoodhook.state.model import Service, Target


class FixedLimit(TargetLimit):
    """A limit at the number of slots, that nothing narrows."""

    def headroom(self, *, now_s: float) -> float:
        """Return the free share of the slots."""
        return max(0.0, (self.max_limit - self.in_flight) / self.max_limit)

    def record_answer(self, *, now_s: float) -> None:
        """Ignore an answer."""

    def record_shed(self, *, now_s: float, rng: Random) -> None:
        """Ignore a shed."""


class FixedLimitDispatcher(ServiceDispatcher):
    """Fixed limits in each daemon; the subclass chooses among targets."""

    def reconfigure(self, service: Service) -> None:
        """Take over a definition, with fixed limits."""
        super().reconfigure(service)
        slots = float(service.parameters.slots_per_target)
        self._limits = {each.name: FixedLimit(slots) for each in service.targets}

    def choose(self, usable: list[Target], *, now_s: float) -> Target:
        """Choose a target."""
        raise NotImplementedError

    def _grant_best(
        self, ticket: Ticket, usable: list[Target], *, now_s: float
    ) -> Granted | None:
        if not usable:
            return None
        best = self.choose(usable, now_s=now_s)
        self._limits[best.name].start()
        self._in_flight[ticket.workspace] += 1
        return Granted(ticket, best)


class RandomChoice(FixedLimitDispatcher):
    """Any target with headroom."""

    def choose(self, usable: list[Target], *, now_s: float) -> Target:
        """Choose at random."""
        return self._rng.choice(usable)


class LeastInFlight(FixedLimitDispatcher):
    """The target with the fewest of this daemon's requests, of all data centres."""

    def choose(self, usable: list[Target], *, now_s: float) -> Target:
        """Choose by requests in flight, ties at random."""
        return min(
            usable,
            key=lambda each: (self._limits[each.name].in_flight, self._rng.random()),
        )


def _maker(kind: type[ServiceDispatcher]):
    def make(
        service: Service, health: ServiceHealth, data_centre: str, rng: Random
    ) -> ServiceDispatcher:
        return kind(service, health, data_centre=data_centre, rng=rng)

    return make


make_product = _maker(ServiceDispatcher)
make_random = _maker(RandomChoice)
make_least_in_flight = _maker(LeastInFlight)
