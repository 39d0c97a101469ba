"""What a daemon learns of its VM from the platform, before it talks to anyone."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ServiceBounds:
    """Bounds that the platform sets for every daemon.

    ``grace_s`` is the time between SIGTERM and SIGKILL. Over any
    ``retry_window_s``, the fleet may send ``retry_ratio`` of a service's requests
    plus ``retry_extra`` a second time. A configuration is in force
    ``configuration_s`` after the store has acknowledged it, and a target that leaves
    gets nothing ``drain_s`` after that.
    """

    grace_s: float = 6.0
    configuration_s: float = 2.0
    drain_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 50.0


@dataclass(frozen=True, slots=True)
class VmSettings:
    """A VM's name, place, addresses and bounds.

    ``peer_address`` is free for datagrams between daemons. The metrics are served
    on the readiness address, and on ``metrics_address`` if there is one.
    """

    vm_name: str
    data_centre: str
    caller_address: Address
    readiness_address: Address
    peer_address: Address
    store_address: Address
    metrics_address: Address | None = None
    bounds: ServiceBounds = ServiceBounds()
