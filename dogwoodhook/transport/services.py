"""The services that a daemon forwards requests to, with its state for each."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from dogwoodhook.clock import Clock
from dogwoodhook.state.admission import ServiceDispatcher
from dogwoodhook.state.health import ServiceHealth
from dogwoodhook.state.model import Configuration, Service
from dogwoodhook.state.retries import RetryBudget
from dogwoodhook.state.routing import RouteTable
from dogwoodhook.transport.dispatch import Dispatch

ACTIVE_PERIOD_S = 120.0
"""Time after a service's last request during which it gets background work."""

DRAINING_HOLD_S = 30.0
"""Time for which a target that answered that it is draining gets no work."""


@dataclass(slots=True)
class ServiceRuntime:
    """One service's health, targets, queue and retry budget.

    ``last_request_s`` is when its last request came, on the elapsed clock.
    """

    health: ServiceHealth
    dispatch: Dispatch
    budget: RetryBudget
    last_request_s: float = float("-inf")
    draining_until_s: dict[str, float] = field(default_factory=dict)

    @property
    def service(self) -> Service:
        """The definition in force."""
        return self.dispatch.dispatcher.service

    def record_request(self, *, now_s: float) -> None:
        """Record a caller's request."""
        self.last_request_s = now_s
        self.budget.record_request(now_s)

    def record_draining(self, target: str, *, now_s: float) -> None:
        """Keep work from a target that answered that it is draining."""
        self.draining_until_s[target] = now_s + DRAINING_HOLD_S

    def draining(self, *, now_s: float) -> frozenset[str]:
        """Return targets that answered within ``DRAINING_HOLD_S`` that they drain."""
        return frozenset(
            name for name, until_s in self.draining_until_s.items() if now_s < until_s
        )

    def reconfigure(self, service: Service) -> None:
        """Apply a new definition of the service."""
        self.dispatch.dispatcher.reconfigure(service)
        self.budget.retry_budget_percent = service.parameters.retry_budget_percent
        self.dispatch.wake()


class ServiceRegistry:
    """All services of the configuration in force, and their routes.

    ``exclusions`` returns the targets of a service that get no work now.
    """

    def __init__(self, clock: Clock, *, data_centre: str, rng: Random) -> None:
        self.routes = RouteTable(())
        self.exclusions: Callable[[ServiceRuntime], frozenset[str]] = _no_exclusions
        self._clock = clock
        self._data_centre = data_centre
        self._rng = rng
        self._runtimes: dict[str, ServiceRuntime] = {}

    def __iter__(self) -> Iterator[ServiceRuntime]:
        return iter(list(self._runtimes.values()))

    def get(self, name: str) -> ServiceRuntime | None:
        """Return a service by name."""
        return self._runtimes.get(name)

    def active(self) -> list[ServiceRuntime]:
        """Return the services with a request in the last ``ACTIVE_PERIOD_S``.

        The daemon does background work only for these, so its load depends on its
        traffic and not on the number of services.
        """
        oldest_s = self._clock.now_s() - ACTIVE_PERIOD_S
        return [
            each for each in self._runtimes.values() if each.last_request_s >= oldest_s
        ]

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
            service,
            health,
            data_centre=self._data_centre,
            rng=self._rng,
            exclusions=lambda: self.exclusions(runtime),
        )
        budget = RetryBudget(
            retry_budget_percent=service.parameters.retry_budget_percent,
            now_s=self._clock.now_s(),
        )
        runtime = ServiceRuntime(health, Dispatch(dispatcher, self._clock), budget)
        return runtime


def _no_exclusions(runtime: ServiceRuntime) -> frozenset[str]:
    return frozenset()
