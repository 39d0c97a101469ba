"""Whether the balancer should send requests to this daemon.

The daemon's phases are a small state machine: starting, ready, unready, draining.
Draining is final.
"""

from transitions import Machine

from dogwoodhook.events import DAEMON_DRAINING, DAEMON_READY, DAEMON_UNREADY, log

STARTING = "starting"
READY = "ready"
UNREADY = "unready"
DRAINING = "draining"


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
    def accepts_requests(self) -> bool:
        """True while the balancer should send requests."""
        return self.state == READY

    def update(self, reason: str | None) -> None:
        """Become ready, or unready where a reason is given."""
        if self.state == DRAINING:
            return
        if reason is None:
            if self._fire("become_ready"):
                log(DAEMON_READY)
            self.reason = ""
            return
        if self._fire("become_unready"):
            log(DAEMON_UNREADY, reason=reason)
        self.reason = reason

    def drain(self) -> None:
        """Begin draining, the final phase."""
        if self._fire("begin_drain"):
            log(DAEMON_DRAINING)
        self.reason = "draining"

    def _fire(self, name: str) -> bool:
        return bool(self._machine.events[name].trigger(self))
