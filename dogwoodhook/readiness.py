"""Whether the balancer should send requests to this daemon.

The daemon's phases are a small state machine: starting, ready, unready, draining.
Draining is final.
"""

from dataclasses import dataclass

from transitions import Machine

from dogwoodhook.events import DAEMON_DRAINING, DAEMON_READY, DAEMON_UNREADY, log

STARTING = "starting"
READY = "ready"
UNREADY = "unready"
DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ReadinessFacts:
    """What readiness is decided from; versions are of the configuration.

    ``is_head_confirmed`` tells that the table's head was read within the
    propagation bound; ``has_peer_confirmed`` the same of a live peer.
    """

    version: int
    highest_peer_version: int
    has_started_from_live_source: bool
    is_head_confirmed: bool
    has_peer_confirmed: bool
    is_self_doubting: bool


def unready_reason(facts: ReadinessFacts) -> str | None:
    """Return why a daemon should get no requests, or ``None``."""
    if not facts.has_started_from_live_source:
        return "no configuration from the table or a peer yet"
    if facts.version < facts.highest_peer_version:
        return (
            f"configuration {facts.version} is older than a peer's"
            f" {facts.highest_peer_version}"
        )
    if not facts.is_head_confirmed and facts.has_peer_confirmed:
        return "the table answers a peer and not this daemon"
    if facts.is_self_doubting:
        return "most targets of several services fail from here"
    return None


class Readiness:
    """The daemon's phase, logged at each change."""

    state: str

    def __init__(self) -> None:
        self.reason = "starting"
        self._machine = Machine(
            model=self,
            states=[STARTING, READY, UNREADY, DRAINING],
            initial=STARTING,
            transitions=[
                ["become_ready", [STARTING, UNREADY], READY],
                ["become_unready", [STARTING, READY], UNREADY],
                ["begin_drain", [STARTING, READY, UNREADY], DRAINING],
            ],
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )

    @property
    def is_ready(self) -> bool:
        """True while the balancer should send requests."""
        return self.state == READY

    def update(self, facts: ReadinessFacts) -> None:
        """Move to the phase that the facts ask for."""
        if self.state == DRAINING:
            return
        reason = unready_reason(facts)
        if reason is None:
            if self._fire("become_ready"):
                log(DAEMON_READY, version=facts.version)
            self.reason = ""
            return
        if self._fire("become_unready"):
            log(DAEMON_UNREADY, reason=reason)
        self.reason = reason

    def drain(self) -> None:
        """Begin the final phase."""
        if self._fire("begin_drain"):
            log(DAEMON_DRAINING)
        self.reason = "draining"

    def _fire(self, name: str) -> bool:
        return bool(self._machine.events[name].trigger(self))
