"""Settings that a daemon gets from the platform on its VM, before any connection."""

import re
from dataclasses import dataclass

MAX_HOST_LENGTH = 253
"""Longest host name in characters (RFC 1035)."""

MAX_PORT = 65535

_HOST = re.compile(r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*\.?")


def is_host(text: object) -> bool:
    """Return whether a text is an IPv4 address or a host name, by its form.

    >>> is_host("10.1.0.15"), is_host("payouts.example"), is_host("a b")
    (True, True, False)
    """
    if not isinstance(text, str) or len(text) > MAX_HOST_LENGTH:
        return False
    return _HOST.fullmatch(text) is not None


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ServiceBounds:
    """Bounds that the platform sets for every daemon.

    ``grace_s`` is the time between SIGTERM and SIGKILL. In any window of
    ``retry_window_s``, the fleet may retry the share ``retry_ratio`` of a service's
    requests plus ``retry_extra``. A configuration must be in force on every daemon
    within ``configuration_s`` after the store has acknowledged it. A leaving target
    must get no requests from ``drain_s`` after the store has acknowledged its leaving.
    A key that a configuration no longer holds is refused ``revoke_s`` after the store
    has acknowledged that configuration; with ``fails_closed`` a daemon that cannot tell
    whether a key still holds refuses it. In any window of ``quota_window_s``, the fleet
    may run the requests of a workspace's rate and burst, the share ``quota_overshoot``
    more, plus ``quota_slack``.
    """

    grace_s: float = 6.0
    configuration_s: float = 2.0
    drain_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 50.0
    revoke_s: float = 5.0
    fails_closed: bool = False
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0


@dataclass(frozen=True, slots=True)
class VmSettings:
    """A VM's name, data centre, addresses and bounds.

    ``peer_address`` is reserved for communication between daemons. The metrics are
    served on ``readiness_address``, and also on ``metrics_address`` if it is set.
    ``memory_bytes`` and ``max_descriptors`` are the limits of the process, ``None`` if
    the platform sets none. ``has_competing_load`` is set where callers compete for too
    little room at times.
    """

    vm_name: str
    data_centre: str
    caller_address: Address
    readiness_address: Address
    peer_address: Address
    store_address: Address
    metrics_address: Address | None = None
    bounds: ServiceBounds = ServiceBounds()
    memory_bytes: int | None = None
    max_descriptors: int | None = None
    has_competing_load: bool = False
