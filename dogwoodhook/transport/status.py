"""JSON models of the reports that a daemon gives to operators."""

from pydantic import BaseModel


class TargetReport(BaseModel):
    """State of one target on this daemon.

    ``why_excluded`` is empty if the target may receive requests.
    """

    name: str
    data_centre: str
    address: str
    phase: str
    score: float
    threshold: float
    reason: str
    in_flight: int
    is_excluded: bool
    why_excluded: str


class ServiceReport(BaseModel):
    """State of one service on this daemon."""

    capacity_floor: int
    queued: int
    in_flight: int
    targets: list[TargetReport]


class PeerReport(BaseModel):
    """State of a peer, from its last heartbeat and the link to it."""

    name: str
    configuration_version: int
    is_ready: bool
    is_connected: bool


class StatusReport(BaseModel):
    """The answer of ``/status``."""

    daemon: str
    data_centre: str
    configuration_version: int
    is_ready: bool
    reason: str
    in_flight: int
    services: dict[str, ServiceReport]
    peers: list[PeerReport]


class ExplanationReport(BaseModel):
    """The answer of ``/explain/<service>``: lines that say what was done and why."""

    service: str
    lines: list[str]
