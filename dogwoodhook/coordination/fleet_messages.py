"""Messages between the daemons of a fleet that follows the platform's store.

They travel as single datagrams: each is complete in itself and safe to lose, to
receive twice, late, or out of order.
"""

from dataclasses import dataclass
from typing import Literal

from dogwoodhook.state.suspicion import Symptom
from dogwoodhook.state.target_directory import TargetChange


@dataclass(frozen=True, slots=True)
class DaemonHello:
    """A daemon that has just started, and where it is reached."""

    daemon: str
    data_centre: str
    host: str
    port: int
    kind: Literal["hello"] = "hello"


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """A request failed at a target, or is sent a second time, or both.

    ``symptom`` is ``None`` for a second sending alone. ``requests`` and ``repeats``
    are the daemon's own for the service in the budget's window, which replace those
    it told of before; ``run`` is another one after a restart.
    """

    daemon: str
    run: int
    service: str
    target: str
    symptom: Symptom | None
    requests: int = 0
    repeats: int = 0
    kind: Literal["failure"] = "failure"


@dataclass(frozen=True, slots=True)
class TargetSuccess:
    """A suspect answered a request well."""

    daemon: str
    target: str
    kind: Literal["success"] = "success"


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """What a daemon read from the store.

    The changes are all that matter between two versions of the store. A daemon
    that does not know the first version reads for itself. ``age_s`` is how long
    before the sending the second was certainly the newest, ``removal_hold_s`` how
    long removals wait, where the store has just been away. Where the changes do not
    fit one datagram, this is one of several ``parts``; all of them together lead from
    the one version to the other.
    """

    daemon: str
    after_version: int
    version: int
    removal_hold_s: float
    age_s: float
    changes: tuple[TargetChange, ...] = ()
    part: int = 0
    parts: int = 1
    kind: Literal["reading"] = "reading"


@dataclass(frozen=True, slots=True)
class ConfigurationNotice:
    """The least version of the configuration's newest row, as a daemon knows it.

    ``age_s`` is how long before the sending that was certainly so.
    """

    daemon: str
    row_version: int
    age_s: float
    kind: Literal["configuration"] = "configuration"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A daemon's requests in flight by target; it replaces the last report."""

    daemon: str
    in_flight: dict[str, int]
    kind: Literal["load"] = "load"


BroadcastMessage = TargetFailure | TargetSuccess | ConfigurationNotice
"""What is told to the daemons of all data centres."""


@dataclass(frozen=True, slots=True)
class Relayed:
    """A message on its way through another data centre.

    Its receiver hands it on to its neighbours if it ``is_first_hop``. ``number``
    tells copies of the same message from others.
    """

    daemon: str
    number: int
    is_first_hop: bool
    content: BroadcastMessage
    kind: Literal["relayed"] = "relayed"


FleetMessage = (
    DaemonHello
    | TargetFailure
    | TargetSuccess
    | StoreUpdate
    | ConfigurationNotice
    | LoadReport
    | Relayed
)
