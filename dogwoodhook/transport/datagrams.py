"""Datagrams to and from the other daemons of the fleet."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from expression import Result

from dogwoodhook.coordination.fleet_messages import (
    DaemonHello,
    FleetMessage,
)
from dogwoodhook.events import DATAGRAM_DROPPED, log
from dogwoodhook.protocol.fleet_codec import decode_datagram, encode_datagram
from dogwoodhook.vm_settings import Address

Receiver = Callable[[FleetMessage], None]


@dataclass(frozen=True, slots=True)
class Peer:
    """Another daemon."""

    daemon: str
    data_centre: str
    address: Address


class DatagramPeers(asyncio.DatagramProtocol):
    """One socket for all peers. Nothing is sent or heard before the key is known."""

    def __init__(self, receive: Receiver, *, daemon: str, data_centre: str) -> None:
        self.key: bytes | None = None
        self.sent_bytes = 0
        self.dropped = 0
        self._receive = receive
        self._daemon = daemon
        self._data_centre = data_centre
        self._peers: dict[str, Peer] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: Address) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        # The event loop's class does not derive from DatagramTransport.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def __len__(self) -> int:
        return len(self._peers)

    def add(self, peer: Peer) -> None:
        """Take in a peer, or its new address."""
        if peer.daemon != self._daemon:
            self._peers[peer.daemon] = peer

    def neighbours(self) -> list[str]:
        """Return the names of the peers in the own data centre."""
        return [peer.daemon for peer in self._near()]

    def broadcast(self, message: FleetMessage) -> None:
        """Send a message to every peer."""
        self._send(message, list(self._peers.values()))

    def tell_neighbours(self, message: FleetMessage) -> None:
        """Send a message to the peers in the own data centre."""
        self._send(message, self._near())

    def _near(self) -> list[Peer]:
        return [
            peer
            for peer in self._peers.values()
            if peer.data_centre == self._data_centre
        ]

    def _send(self, message: FleetMessage, peers: list[Peer]) -> None:
        if self._transport is None or self.key is None:
            return
        datagram = encode_datagram(message, key=self.key)
        for peer in peers:
            self._transport.sendto(datagram, (peer.address.host, peer.address.port))
        self.sent_bytes += len(datagram) * len(peers)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and hand it on."""
        if self.key is None:
            return
        match decode_datagram(data, key=self.key):
            case Result(tag="ok", ok=message):
                if isinstance(message, DaemonHello):
                    self.add(_peer_of(message))
                self._receive(message)
            case Result(error=problem):
                self.dropped += 1
                log(DATAGRAM_DROPPED, sender=f"{addr[0]}:{addr[1]}", problem=problem)

    def error_received(self, exc: Exception) -> None:
        """Ignore a peer that is gone: datagrams are safe to lose."""


def _peer_of(hello: DaemonHello) -> Peer:
    return Peer(hello.daemon, hello.data_centre, Address(hello.host, hello.port))
