"""A socket for many small datagrams, read in batches.

Waking up for a datagram costs several times as much as taking it. One that comes alone
is taken at once; those that come soon after it wait for one another, or until somebody
needs what they tell.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from dogwoodhook.events import DATAGRAM_UNSENT, TASK_FAILED, log
from dogwoodhook.vm_settings import Address

READ_INTERVAL_S = 0.02
"""Longest time that a datagram waits: some ways between data centres, so that what is
handed on to others is not much older than it would be anyway."""

MAX_BATCH = 64
"""Datagrams taken at once, for other work of the event loop to go on between them."""

MAX_DATAGRAM_BYTES = 64 * 1024

RECEIVE_BUFFER_BYTES = 1024 * 1024
"""Datagrams that may wait: a thousand a second come while targets shed, and a stalled
daemon must not lose what it needs for the fleet's budget."""

MAX_UNSENT = 4096
"""Datagrams that wait for a link; beyond them the oldest are lost."""

Sender = tuple[str, int]


class DatagramSocket:
    """Sends datagrams, and hands on those that come.

    ``receive`` gets a datagram with the host and port of its sender.
    """

    def __init__(self, receive: Callable[[bytes, Sender], None]) -> None:
        self._receive = receive
        self._socket: socket.socket | None = None
        self._unsent: deque[tuple[bytes, Address]] = deque(maxlen=MAX_UNSENT)
        self._resume: asyncio.TimerHandle | None = None

    def open(self, address: Address) -> None:
        """Bind the socket; raises ``OSError`` where the address is taken."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((address.host, address.port))
        asyncio.get_running_loop().add_reader(self._socket, self._wake)

    def close(self) -> None:
        """Close the socket; what waits is lost."""
        if self._socket is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        loop.remove_writer(self._socket)
        if self._resume is not None:
            self._resume.cancel()
        self._socket.close()
        self._socket = None

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram, or let it wait until the link takes more."""
        if self._socket is None:
            return
        if not self._unsent and self._try_send(datagram, address):
            return
        if not self._unsent:
            asyncio.get_running_loop().add_writer(self._socket, self._send_pending)
        self._unsent.append((datagram, address))

    def receive_pending(self) -> None:
        """Hand on what has come so far."""
        self._receive_batch()

    def _send_pending(self) -> None:
        assert self._socket is not None
        while self._unsent:
            if not self._try_send(*self._unsent[0]):
                return
            self._unsent.popleft()
        asyncio.get_running_loop().remove_writer(self._socket)

    def _try_send(self, datagram: bytes, address: Address) -> bool:
        """Send a datagram unless the link is full; tell whether it is done with."""
        assert self._socket is not None
        try:
            self._socket.sendto(datagram, (address.host, address.port))
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            # Datagrams are safe to lose.
            log(DATAGRAM_UNSENT, peer=f"{address.host}:{address.port}", error=error)
        return True

    def _wake(self) -> None:
        """Take a datagram that came alone, and wait for others."""
        assert self._socket is not None
        asyncio.get_running_loop().remove_reader(self._socket)
        self._read()

    def _read(self) -> None:
        """Take what has come; look again soon, or wake up for the next."""
        loop = asyncio.get_running_loop()
        self._resume = loop.call_later(READ_INTERVAL_S, self._read)
        if not self._receive_batch() and self._socket is not None:
            self._resume.cancel()
            loop.add_reader(self._socket, self._wake)

    def _receive_batch(self) -> bool:
        """Hand on what has come, and tell whether that was anything."""
        for taken in range(MAX_BATCH):
            if self._socket is None:
                return False
            try:
                datagram, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return taken > 0
            except OSError as error:
                # Of an earlier datagram to a peer that is gone.
                log(DATAGRAM_UNSENT, error=error)
                continue
            try:
                self._receive(datagram, sender)
            except Exception as error:
                # Neither those behind it nor who needs the news are to fail with it.
                log(TASK_FAILED, task="hearing a datagram", error=repr(error))
        return True
