"""Policies under test: the product's, and baselines in common use."""

from random import Random

from dogwoodhook.state.admission import Granted, ServiceDispatcher, Ticket
from dogwoodhook.state.health import ServiceHealth
from dogwoodhook.state.limits import TargetLimit
from dogwoodhook.state.model import Service, Target


class FixedLimit(TargetLimit):
    """A limit fixed at the number of slots; answers and sheds don't change it."""

    def headroom(self, *, now_s: float) -> float:
        """Return the free share of the slots."""
        return max(0.0, (self.max_limit - self.in_flight) / self.max_limit)

    def record_answer(self, *, now_s: float) -> None:
        """Ignore an answer."""

    def record_shed(self, *, now_s: float, rng: Random) -> None:
        """Ignore a shed."""


class FixedLimitDispatcher(ServiceDispatcher):
    """Uses fixed limits in each daemon; a subclass chooses among the targets."""

    def reconfigure(self, service: Service) -> None:
        """Apply a service definition, with fixed limits."""
        super().reconfigure(service)
        slots = float(service.parameters.slots_per_target)
        self._limits = {each.name: FixedLimit(slots) for each in service.targets}

    def choose(self, usable: list[Target], *, now_s: float) -> Target:
        """Return the target to use."""
        raise NotImplementedError

    def wait_timeout_s(self, workspace: str, *, now_s: float) -> float:
        """Return the whole queue timeout for every request."""
        return self.service.parameters.queue_timeout_ms / 1000

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
    """Chooses any target with headroom at random."""

    def choose(self, usable: list[Target], *, now_s: float) -> Target:
        """Return a random target."""
        return self._rng.choice(usable)


class LeastInFlight(FixedLimitDispatcher):
    """Chooses the target with the fewest of this daemon's requests in flight.

    Its data centre makes no difference.
    """

    def choose(self, usable: list[Target], *, now_s: float) -> Target:
        """Return the target with the fewest requests in flight, ties at random."""
        return min(
            usable,
            key=lambda each: (self._limits[each.name].in_flight, self._rng.random()),
        )


def _make_factory(dispatcher_class: type[ServiceDispatcher]):
    def make(
        service: Service, health: ServiceHealth, data_centre: str, rng: Random
    ) -> ServiceDispatcher:
        return dispatcher_class(service, health, data_centre=data_centre, rng=rng)

    return make


make_product = _make_factory(ServiceDispatcher)
make_random = _make_factory(RandomChoice)
make_least_in_flight = _make_factory(LeastInFlight)
