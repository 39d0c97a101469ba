"""Links between daemons: websockets with CBOR messages.

Each daemon dials the peers of the platform's list that have not dialled it, and
runs one task for each link. Of two daemons, the one whose name sorts first dials at
once and the other after ``SECOND_DIALLER_DELAY_S``. So most pairs share one link, and
a pair that can connect in only one direction still gets one.

The queue to a slow peer drops its oldest messages; every message may be lost safely.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Mapping

from expression import Result
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidMessage

from dogwoodhook.coordination.messages import Message
from dogwoodhook.events import PEER_CONNECTED, PEER_LOST, PEER_REFUSED, log
from dogwoodhook.protocol.peer_codec import (
    MAX_FRAME_BYTES,
    decode_message,
    encode_message,
)
from dogwoodhook.transport.peer_handshake import (
    HandshakeError,
    accept_handshake,
    start_handshake,
)

HANDSHAKE_TIMEOUT_S = 2.0
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 5.0
MIN_REDIAL_S = 0.2
MAX_REDIAL_S = 5.0
MAX_QUEUED_FRAMES = 64
SECOND_DIALLER_DELAY_S = 1.0

Receiver = Callable[[str, Message], Awaitable[None]]


class PeerLink:
    """One open connection to a peer, with a bounded queue of frames to send."""

    def __init__(self, peer: str, connection: Connection) -> None:
        self.peer = peer
        self.connection = connection
        self._frames: deque[bytes] = deque(maxlen=MAX_QUEUED_FRAMES)
        self._has_frames = asyncio.Event()

    def send(self, frame: bytes) -> None:
        """Queue a frame; a full queue drops its oldest frame."""
        self._frames.append(frame)
        self._has_frames.set()

    async def run(self, receive: Receiver) -> None:
        """Send queued frames and receive messages until the link ends."""
        sender = asyncio.create_task(self._send_queued())
        try:
            async for frame in self.connection:
                if not isinstance(frame, bytes):
                    return
                match decode_message(frame):
                    case Result(tag="ok", ok=message):
                        await receive(self.peer, message)
                    case Result(error=problem):
                        log(PEER_LOST, peer=self.peer, reason=problem)
                        return
        except ConnectionClosed:
            return
        finally:
            sender.cancel()

    async def _send_queued(self) -> None:
        while True:
            await self._has_frames.wait()
            self._has_frames.clear()
            while self._frames:
                try:
                    await self.connection.send(self._frames.popleft())
                except ConnectionClosed:
                    return


class PeerHub:
    """All links of one daemon; ``sent_bytes`` counts the bytes queued to them."""

    def __init__(
        self, receive: Receiver, *, daemon: str, secret: str, host: str, port: int
    ) -> None:
        self._receive = receive
        self._daemon = daemon
        self._secret = secret
        self._host = host
        self._port = port
        self._dialled: dict[str, PeerLink] = {}
        self._accepted: dict[str, PeerLink] = {}
        self._diallers: dict[str, asyncio.Task[None]] = {}
        self._addresses: dict[str, str] = {}
        self._server: Server | None = None
        self.sent_bytes = 0

    async def start(self) -> None:
        """Open the peer listener."""
        self._server = await serve(
            self._accept,
            self._host,
            self._port,
            max_size=MAX_FRAME_BYTES,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            compression=None,
        )

    async def close(self) -> None:
        """Close the listener and every link."""
        for task in self._diallers.values():
            task.cancel()
        await asyncio.gather(*self._diallers.values(), return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def connected(self) -> frozenset[str]:
        """Return the peers with a link in either direction."""
        return frozenset(self._dialled) | frozenset(self._accepted)

    def replace_peers(self, addresses: Mapping[str, str]) -> None:
        """Dial the peers of a new list, and stop dialling those no longer on it."""
        for peer, address in self._addresses.items():
            if addresses.get(peer) != address:
                self._diallers.pop(peer).cancel()
        for peer, address in addresses.items():
            if peer not in self._diallers:
                self._diallers[peer] = asyncio.create_task(self._dial(peer, address))
        self._addresses = dict(addresses)

    def broadcast(self, message: Message) -> None:
        """Send a message to every connected peer."""
        peers = self.connected()
        if not peers:
            return
        frame = encode_message(message)
        for peer in peers:
            self._send_frame(peer, frame)

    def send(self, peer: str, message: Message) -> None:
        """Send a message to one peer, if it is connected."""
        self._send_frame(peer, encode_message(message))

    def _send_frame(self, peer: str, frame: bytes) -> None:
        link = self._dialled.get(peer) or self._accepted.get(peer)
        if link is not None:
            self.sent_bytes += len(frame)
            link.send(frame)

    async def _dial(self, peer: str, address: str) -> None:
        delay_s = MIN_REDIAL_S
        if self._daemon > peer:
            await asyncio.sleep(SECOND_DIALLER_DELAY_S)
        while True:
            while peer in self._accepted:
                await asyncio.sleep(SECOND_DIALLER_DELAY_S)
            was_connected = await self._dial_once(peer, address)
            delay_s = MIN_REDIAL_S if was_connected else min(delay_s * 2, MAX_REDIAL_S)
            await asyncio.sleep(delay_s)

    async def _dial_once(self, peer: str, address: str) -> bool:
        try:
            async with connect(
                f"ws://{address}/",
                max_size=MAX_FRAME_BYTES,
                open_timeout=HANDSHAKE_TIMEOUT_S,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                compression=None,
                proxy=None,
            ) as connection:
                async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                    await start_handshake(connection, self._secret, daemon=self._daemon)
                await self._serve(PeerLink(peer, connection), self._dialled)
                return True
        except HandshakeError as error:
            log(PEER_REFUSED, peer=peer, reason=error)
        except (OSError, TimeoutError, ConnectionClosed):
            pass
        except (InvalidHandshake, InvalidMessage) as error:
            log(PEER_LOST, peer=peer, reason=error)
        return False

    async def _accept(self, connection: ServerConnection) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                peer = await accept_handshake(connection, self._secret)
        except HandshakeError as error:
            log(PEER_REFUSED, address=connection.remote_address, reason=error)
            return
        except (TimeoutError, ConnectionClosed):
            return
        await self._serve(PeerLink(peer, connection), self._accepted)

    async def _serve(self, link: PeerLink, links: dict[str, PeerLink]) -> None:
        links[link.peer] = link
        log(PEER_CONNECTED, peer=link.peer)
        try:
            await link.run(self._receive)
        finally:
            if links.get(link.peer) is link:
                del links[link.peer]
            log(PEER_LOST, peer=link.peer)
