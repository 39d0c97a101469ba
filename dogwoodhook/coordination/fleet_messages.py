"""Messages between the daemons of a fleet that follows the platform's store.

Each message is a single datagram that is complete in itself. It may be lost, or
arrive twice, late or out of order, without harm.
"""

from dataclasses import dataclass
from typing import Literal

from dogwoodhook.state.open_attempts import OpenRequest
from dogwoodhook.state.quarantine import SuspectState
from dogwoodhook.state.suspicion import Symptom
from dogwoodhook.state.target_directory import TargetChange
from dogwoodhook.state.workspace_quota import BucketState


@dataclass(frozen=True, slots=True)
class DaemonHello:
    """A daemon's name and address, sent at its start and repeatedly after it."""

    daemon: str
    data_centre: str
    host: str
    port: int
    kind: Literal["hello"] = "hello"


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """A request failed at a target, or is being retried, or both.

    ``symptom`` is ``None`` for a retry alone. ``requests`` and ``repeats`` count the
    daemon's own requests and retries for the service in the budget's window; they
    replace the counts that it sent before. ``run`` changes when the daemon restarts.
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
    """A suspected target answered a request successfully."""

    daemon: str
    target: str
    kind: Literal["success"] = "success"


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """The changes that a daemon read from the store's table of targets.

    The changes are all those from ``after_version`` to ``version`` of the store. A
    daemon that does not know ``after_version`` reads the store itself. ``age_s`` is
    the time between the moment at which ``version`` was known to be the newest and
    the sending of this message. ``removal_hold_s`` is how long the receiver delays
    removals after an outage of the store. Changes that do not fit one datagram are
    split into several ``parts``; all parts together lead from ``after_version`` to
    ``version``. ``store_version`` is the store's version at the time of the read; it
    orders the updates of all daemons, and is higher than ``version`` if other tables
    have changed since. ``older_version`` is what the sender knew of the store's older
    era when the current one began. A daemon that knows more than that of the older era
    reads the store itself, since the changes do not undo what only it knows.
    """

    daemon: str
    after_version: int
    version: int
    removal_hold_s: float
    age_s: float
    changes: tuple[TargetChange, ...] = ()
    part: int = 0
    parts: int = 1
    store_version: int = 0
    older_version: int = 0
    kind: Literal["reading"] = "reading"


@dataclass(frozen=True, slots=True)
class ConfigurationNotice:
    """The newest row of the configuration has ``row_version`` or a higher version.

    ``age_s`` is the time from the sender's last confirmation that it knows the newest
    version to the sending of this message. ``store_version`` is the store's version at
    the confirmation; it orders the notices of all daemons. ``compressed_row`` is the
    row's value if the sender has just read it and it is short.
    """

    daemon: str
    row_version: int
    age_s: float
    store_version: int = 0
    compressed_row: bytes = b""
    kind: Literal["configuration"] = "configuration"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A daemon's requests in flight by target; it replaces the previous report."""

    daemon: str
    in_flight: dict[str, int]
    kind: Literal["load"] = "load"


@dataclass(frozen=True, slots=True)
class SuspectStates:
    """What a daemon knows of some requests under which targets ended."""

    daemon: str
    states: tuple[SuspectState, ...]
    kind: Literal["suspects"] = "suspects"


@dataclass(frozen=True, slots=True)
class TargetEnded:
    """An incarnation of a target is known to have ended, ``age_s`` before the sending
    or earlier.
    """

    daemon: str
    target: str
    incarnation: int
    age_s: float
    kind: Literal["ended"] = "ended"


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """Requests of a daemon at targets, in case it is killed before it is answered.

    Each request replaces what earlier numbers of the ``run`` told of it; one without
    processes has been answered. ``run`` changes when the daemon restarts.
    """

    daemon: str
    run: int
    number: int
    requests: tuple[OpenRequest, ...]
    kind: Literal["attempts"] = "attempts"


@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Asks a workspace's coordinator for a token of its quota.

    With ``gives_back`` it returns one that was granted. Copies have the same
    ``number``, and count once. ``rate_per_s`` and ``burst`` are for a coordinator whose
    configuration does not name the workspace yet.
    """

    daemon: str
    number: int
    workspace: str
    rate_per_s: float
    burst: float
    priority: int
    gives_back: bool = False
    kind: Literal["quota-ask"] = "quota-ask"


@dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """A coordinator's answer to the ask with the same ``number``.

    ``retry_after_s`` is set if there is no token.
    """

    daemon: str
    number: int
    retry_after_s: float | None = None
    kind: Literal["quota-answer"] = "quota-answer"


@dataclass(frozen=True, slots=True)
class QuotaReport:
    """What a coordinator has granted, for the other coordinators of the workspaces.

    ``run`` changes when the daemon restarts. A report that is not an answer is answered
    by one, which may have no buckets.
    """

    daemon: str
    run: int
    buckets: tuple[BucketState, ...] = ()
    is_answer: bool = False
    kind: Literal["quota-report"] = "quota-report"


QuotaMessage = QuotaAsk | QuotaAnswer | QuotaReport
"""Messages about the quotas of workspaces."""


BroadcastMessage = (
    TargetFailure
    | TargetSuccess
    | StoreUpdate
    | ConfigurationNotice
    | SuspectStates
    | TargetEnded
)
"""Messages that are sent to the daemons of all data centres."""


@dataclass(frozen=True, slots=True)
class Relayed:
    """A message that is relayed to another data centre.

    The receiver forwards it to its neighbours if ``is_first_hop`` is set. Copies of
    one message have the same ``number``, so that duplicates are dropped.
    """

    daemon: str
    number: int
    is_first_hop: bool
    content: BroadcastMessage
    kind: Literal["relayed"] = "relayed"


CollectedMessage = LoadReport | TargetFailure | TargetSuccess
"""Messages that a collector gathers (see ``state.report_tree``)."""


@dataclass(frozen=True, slots=True)
class ToCollector:
    """A message for the collector to send to the sender's neighbours."""

    daemon: str
    content: CollectedMessage
    kind: Literal["to-collector"] = "to-collector"


@dataclass(frozen=True, slots=True)
class Collected:
    """Messages that a collector has gathered.

    The receiver forwards them to the daemons ``forward_to``.
    """

    daemon: str
    contents: tuple[CollectedMessage, ...]
    forward_to: tuple[str, ...] = ()
    kind: Literal["collected"] = "collected"


FleetMessage = (
    DaemonHello
    | TargetFailure
    | TargetSuccess
    | StoreUpdate
    | ConfigurationNotice
    | LoadReport
    | SuspectStates
    | TargetEnded
    | AttemptReport
    | QuotaAsk
    | QuotaAnswer
    | QuotaReport
    | Relayed
    | ToCollector
    | Collected
)
