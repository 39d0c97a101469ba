"""Daemons of the fleet, and targets that the platform lists as leaving.

The platform's VM list is delayed. Peers' heartbeats report their configuration
versions. This module makes no decision that the daemons must agree on.
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
"""Time for which the record of a peer is kept after its last heartbeat."""


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """A peer's last heartbeat and when it was received, on the elapsed clock."""

    heartbeat: Heartbeat
    received_s: float


class Membership:
    """The VM list and the peers' heartbeats, as one daemon knows them."""

    def __init__(self, *, daemon: str) -> None:
        self._daemon = daemon
        self._vms: tuple[Vm, ...] = ()
        self._leaving: frozenset[str] = frozenset()
        self._peers: dict[str, PeerRecord] = {}

    def replace_vms(self, vms: Sequence[Vm]) -> None:
        """Replace the VM list with the platform's current one."""
        self._vms = tuple(vms)
        # Computed here, since it is read for each choice of a target and the list
        # rarely changes.
        self._leaving = frozenset(
            vm.address
            for vm in self._vms
            if vm.role == TARGET_ROLE and vm.phase is VmPhase.LEAVING
        )

    def record_heartbeat(self, heartbeat: Heartbeat, *, now_s: float) -> None:
        """Record a peer's heartbeat."""
        self._peers[heartbeat.daemon] = PeerRecord(heartbeat, now_s)

    def peer_addresses(self) -> dict[str, str]:
        """Return the peer addresses of the other daemons, by name."""
        return {
            vm.name: vm.address
            for vm in self._vms
            if vm.role == DAEMON_ROLE and vm.name != self._daemon
        }

    def remove_silent_peers(self, *, now_s: float) -> None:
        """Remove peers silent for ``PEER_RETENTION_S``, such as replaced daemons."""
        self._peers = {
            name: record
            for name, record in self._peers.items()
            if now_s - record.received_s < PEER_RETENTION_S
        }

    def live_peers(self, *, now_s: float) -> tuple[Heartbeat, ...]:
        """Return the last heartbeat of each peer that sent one recently."""
        return tuple(
            record.heartbeat
            for record in self._peers.values()
            if now_s - record.received_s < HEARTBEAT_TIMEOUT_S
        )

    def leaving_addresses(self) -> frozenset[str]:
        """Return the addresses of targets that the platform lists as leaving."""
        return self._leaving
