"""The services a daemon forwards for, with everything it keeps for each."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from random import Random

from dogwoodhook.clock import Clock
from dogwoodhook.state.admission import ServiceDispatcher
from dogwoodhook.state.health import ServiceHealth
from dogwoodhook.state.model import Configuration, Service
from dogwoodhook.state.retries import RetryBudget
from dogwoodhook.state.routing import RouteTable
from dogwoodhook.transport.dispatch import Dispatch

DRAIN_ANSWER_S = 30.0
"""Time for which a target that answered that it drains gets no work."""


@dataclass(slots=True)
class ServiceRuntime:
    """One service's health, targets, queue and retry budget."""

    health: ServiceHealth
    dispatch: Dispatch
    budget: RetryBudget
    excluded: frozenset[str] = frozenset()
    drained_until_s: dict[str, float] = field(default_factory=dict)

    @property
    def service(self) -> Service:
        """The definition in force."""
        return self.dispatch.dispatcher.service

    def exclude(self, targets: Iterable[str], *, now_s: float) -> None:
        """Set the targets that get no work, beside those that answered a drain."""
        self.excluded = frozenset(targets)
        self._apply_exclusions(now_s)

    def note_draining(self, target: str, *, now_s: float) -> None:
        """Keep work from a target that answered that it drains."""
        self.drained_until_s[target] = now_s + DRAIN_ANSWER_S
        self._apply_exclusions(now_s)

    def draining(self, *, now_s: float) -> frozenset[str]:
        """Return the targets that lately answered that they drain."""
        return frozenset(
            name for name, until_s in self.drained_until_s.items() if now_s < until_s
        )

    def reconfigure(self, service: Service) -> None:
        """Take over a new definition."""
        self.dispatch.dispatcher.reconfigure(service)
        self.budget.retry_budget_percent = service.parameters.retry_budget_percent
        self.dispatch.wake()

    def _apply_exclusions(self, now_s: float) -> None:
        self.dispatch.dispatcher.exclude(self.excluded | self.draining(now_s=now_s))
        self.dispatch.wake()


class ServiceRegistry:
    """All services of the configuration in force, and their routes."""

    def __init__(self, clock: Clock, *, data_centre: str, rng: Random) -> None:
        self.routes = RouteTable(())
        self._clock = clock
        self._data_centre = data_centre
        self._rng = rng
        self._runtimes: dict[str, ServiceRuntime] = {}

    def __iter__(self) -> Iterator[ServiceRuntime]:
        return iter(list(self._runtimes.values()))

    def get(self, name: str) -> ServiceRuntime | None:
        """Return a service by name."""
        return self._runtimes.get(name)

    def reconfigure(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        services = configuration.services()
        for service in services:
            runtime = self._runtimes.get(service.name)
            if runtime is None:
                self._runtimes[service.name] = self._make(service)
            elif runtime.service != service:
                runtime.reconfigure(service)
        for name in self._runtimes.keys() - {service.name for service in services}:
            del self._runtimes[name]
        self.routes = RouteTable(services)

    def _make(self, service: Service) -> ServiceRuntime:
        health = ServiceHealth(
            service.name,
            [target.name for target in service.targets],
            false_ejection_interval_s=float(
                service.parameters.false_ejection_interval_s
            ),
        )
        dispatcher = ServiceDispatcher(
            service, health, data_centre=self._data_centre, rng=self._rng
        )
        budget = RetryBudget(
            retry_budget_percent=service.parameters.retry_budget_percent,
            now_s=self._clock.now_s(),
        )
        return ServiceRuntime(health, Dispatch(dispatcher, self._clock), budget)
