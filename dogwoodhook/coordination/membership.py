"""Who is in the fleet, and which targets are leaving.

The platform's list names the VMs and lags; peers' heartbeats tell what the
fleet's configuration is. Nothing here decides anything that must be agreed.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from dogwoodhook.coordination.messages import Heartbeat
from dogwoodhook.coordination.platform import Vm, VmPhase

DAEMON_ROLE = "daemon"
ADMIN_ROLE = "admin"
TARGET_ROLE = "target"

HEARTBEAT_INTERVAL_S = 2.0
HEARTBEAT_TIMEOUT_S = 7.0
PEER_RETENTION_S = 600.0
"""Time after a peer's last heartbeat for which it is remembered."""


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """A peer's last heartbeat and when it came, on the elapsed clock."""

    heartbeat: Heartbeat
    heard_s: float


class Membership:
    """The VM list and the peers' heartbeats, as one daemon knows them."""

    def __init__(self, *, daemon: str) -> None:
        self._daemon = daemon
        self._vms: tuple[Vm, ...] = ()
        self._leaving: frozenset[str] = frozenset()
        self._peers: dict[str, PeerRecord] = {}

    def replace_vms(self, vms: Sequence[Vm]) -> None:
        """Take over the platform's list."""
        self._vms = tuple(vms)
        # Asked for at each choice of a target, while the list changes rarely.
        self._leaving = frozenset(
            vm.address
            for vm in self._vms
            if vm.role == TARGET_ROLE and vm.phase is VmPhase.LEAVING
        )

    def record_heartbeat(self, heartbeat: Heartbeat, *, now_s: float) -> None:
        """Note a peer's heartbeat."""
        self._peers[heartbeat.daemon] = PeerRecord(heartbeat, now_s)

    def peer_addresses(self) -> dict[str, str]:
        """Return the peer addresses of the other daemons, by name."""
        return {
            vm.name: vm.address
            for vm in self._vms
            if vm.role == DAEMON_ROLE and vm.name != self._daemon
        }

    def remove_silent_peers(self, *, now_s: float) -> None:
        """Forget the peers not heard from for long, as replaced ones are not."""
        self._peers = {
            name: record
            for name, record in self._peers.items()
            if now_s - record.heard_s < PEER_RETENTION_S
        }

    def live_peers(self, *, now_s: float) -> tuple[Heartbeat, ...]:
        """Return the last heartbeats of the peers heard from lately."""
        return tuple(
            record.heartbeat
            for record in self._peers.values()
            if now_s - record.heard_s < HEARTBEAT_TIMEOUT_S
        )

    def leaving_addresses(self) -> frozenset[str]:
        """Return the addresses of targets that the platform lists as leaving."""
        return self._leaving
