"""The request path of a daemon, run inside the test's process.

The configuration is fixed and no control loop runs: there is no ejection, there are
no probes and no peers. Everything between the caller's socket and the target's
socket is the real code.
"""

from collections.abc import Sequence
from random import Random

from dogwoodhook.clock import Clock, SystemClock
from dogwoodhook.coordination.claims import ClaimManager
from dogwoodhook.coordination.messages import Message
from dogwoodhook.coordination.platform import Platform
from dogwoodhook.coordination.quarantine import QuarantineManager
from dogwoodhook.metrics import Metrics
from dogwoodhook.state.model import (
    Change,
    Configuration,
    Document,
    Parameters,
    RequestPattern,
    Route,
    ServiceDefinition,
    Target,
    Template,
    apply_change,
)
from dogwoodhook.state.quarantine import Quarantine
from dogwoodhook.testing.fleet import free_port
from dogwoodhook.testing.memory_platform import MemoryPlatform
from dogwoodhook.testing.serving import LOOPBACK
from dogwoodhook.transport.caller import CallerHandler
from dogwoodhook.transport.detached_tasks import DetachedTasks
from dogwoodhook.transport.forwarder import Forwarder
from dogwoodhook.transport.keyed import KeyedForwarder
from dogwoodhook.transport.listening import HttpListener
from dogwoodhook.transport.services import ServiceRegistry
from dogwoodhook.transport.target_pools import TargetPools

DAEMON = "daemon-1"
DATA_CENTRE = "kigali-1"
GET_IS_IDEMPOTENT = Parameters(idempotent=(RequestPattern("GET", "/*"),))


class LocalProxy:
    """Forwards for one service to targets on loopback ports.

    >>> async def show(port):
    ...     async with LocalProxy([port]) as proxy:
    ...         print(proxy.url)
    """

    def __init__(
        self,
        target_ports: Sequence[int],
        *,
        parameters: Parameters = GET_IS_IDEMPOTENT,
        platform: Platform | None = None,
        clock: Clock | None = None,
        seed: int = 7,
        max_in_flight: int = 1_000,
    ) -> None:
        clock = clock or SystemClock()
        platform = platform or MemoryPlatform()
        self.port = free_port()
        self.pools = TargetPools()
        self.detached_tasks = DetachedTasks()
        self.registry = ServiceRegistry(
            clock, data_centre=DATA_CENTRE, rng=Random(seed)
        )
        self.registry.reconfigure(_configuration(target_ports, parameters))
        quarantine = QuarantineManager(
            platform, clock, Quarantine(), broadcast=_discard_message
        )
        self.callers = CallerHandler(
            self.registry,
            KeyedForwarder(
                Forwarder(self.pools, quarantine, clock),
                ClaimManager(platform, clock, daemon=DAEMON),
                self.detached_tasks,
            ),
            Metrics(daemon=DAEMON, max_workspace_series=10),
            clock,
            max_in_flight=max_in_flight,
        )
        self._listener = HttpListener(
            self.callers.handle, host=LOOPBACK, port=self.port
        )

    @property
    def url(self) -> str:
        """Address for callers."""
        return f"http://{LOOPBACK}:{self.port}"

    async def __aenter__(self) -> "LocalProxy":
        await self._listener.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._listener.close()
        await self.pools.close()


def local_documents(
    target_ports: Sequence[int], parameters: Parameters = GET_IS_IDEMPOTENT
) -> tuple[Document, ...]:
    """Return a template, and a service for all paths with targets on loopback."""
    targets = tuple(
        Target(f"t{number}", DATA_CENTRE, LOOPBACK, port)
        for number, port in enumerate(target_ports, start=1)
    )
    service = ServiceDefinition("work", "local", "office", targets, (Route("/"),))
    return Template("local", parameters), service


def _configuration(
    target_ports: Sequence[int], parameters: Parameters
) -> Configuration:
    documents = local_documents(target_ports, parameters)
    return apply_change(Configuration(), Change(1, "test", 0.0, "t-1", documents))


def _discard_message(message: Message) -> None:
    pass
