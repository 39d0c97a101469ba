"""A socket for many small datagrams, read in batches.

Waking the event loop for a datagram costs several times as much as reading it. A
datagram that arrives alone is read at once. Those that arrive soon after it are read
together, at the end of an interval or earlier when their content is needed.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from dogwoodhook.events import DATAGRAM_UNSENT, TASK_FAILED, log
from dogwoodhook.vm_settings import Address

READ_INTERVAL_S = 0.02
"""Maximum time that a datagram waits to be read. It is a few one-way delays between
data centres, so that forwarded messages arrive not much later than without it."""

MAX_BATCH = 64
"""Maximum number of datagrams read at once, so that the event loop can run other work
between batches."""

MAX_DATAGRAM_BYTES = 64 * 1024

RECEIVE_BUFFER_BYTES = 1024 * 1024
"""Size of the socket's receive buffer: a thousand datagrams per second arrive while
targets shed, and a stalled daemon must not lose those that the fleet's budget needs."""

MAX_UNSENT = 4096
"""Maximum number of datagrams that wait to be sent; beyond it the oldest are lost."""

Sender = tuple[str, int]


class DatagramSocket:
    """Sends datagrams, and calls ``receive`` for each datagram that arrives.

    ``receive`` gets the datagram and the host and port of its sender.
    """

    def __init__(self, receive: Callable[[bytes, Sender], None]) -> None:
        self._receive = receive
        self._socket: socket.socket | None = None
        self._unsent: deque[tuple[bytes, Address]] = deque(maxlen=MAX_UNSENT)
        self._resume: asyncio.TimerHandle | None = None

    def open(self, address: Address) -> None:
        """Bind the socket; raise ``OSError`` if the address is in use."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((address.host, address.port))
        asyncio.get_running_loop().add_reader(self._socket, self._wake)

    def close(self) -> None:
        """Close the socket; datagrams that still wait to be sent are lost."""
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
        """Send a datagram, or queue it until the socket is writable."""
        if self._socket is None:
            return
        if not self._unsent and self._try_send(datagram, address):
            return
        if not self._unsent:
            asyncio.get_running_loop().add_writer(self._socket, self._send_pending)
        self._unsent.append((datagram, address))

    def read_pending(self) -> None:
        """Receive the datagrams that have arrived so far."""
        self._receive_batch()

    def _send_pending(self) -> None:
        assert self._socket is not None
        while self._unsent:
            if not self._try_send(*self._unsent[0]):
                return
            self._unsent.popleft()
        asyncio.get_running_loop().remove_writer(self._socket)

    def _try_send(self, datagram: bytes, address: Address) -> bool:
        """Send a datagram; return false if the socket would block.

        A datagram that cannot be sent because of another error is dropped.
        """
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
        """Read a datagram that arrived alone, and start an interval for later ones."""
        assert self._socket is not None
        asyncio.get_running_loop().remove_reader(self._socket)
        self._read()

    def _read(self) -> None:
        """Read a batch; read again after an interval, or wait if there was none."""
        loop = asyncio.get_running_loop()
        self._resume = loop.call_later(READ_INTERVAL_S, self._read)
        if not self._receive_batch() and self._socket is not None:
            self._resume.cancel()
            loop.add_reader(self._socket, self._wake)

    def _receive_batch(self) -> bool:
        """Receive a batch of datagrams; return whether there were any."""
        for taken in range(MAX_BATCH):
            if self._socket is None:
                return False
            try:
                datagram, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return taken > 0
            except OSError as error:
                # The error of a datagram sent earlier to a peer that is gone.
                log(DATAGRAM_UNSENT, error=error)
                continue
            try:
                self._receive(datagram, sender)
            except Exception as error:
                # The error must affect neither later datagrams nor the caller of
                # ``read_pending``.
                log(TASK_FAILED, task="hearing a datagram", error=repr(error))
        return True
