"""A socket that reads datagrams in batches."""

import asyncio
import socket

import logbook
import pytest

from dogwoodhook.testing.fleet import free_port
from dogwoodhook.transport import datagram_socket
from dogwoodhook.transport.datagram_socket import MAX_BATCH, DatagramSocket
from dogwoodhook.vm_settings import Address
from tests.exchanges import until

READ_INTERVAL_S = 0.5


class Receiver:
    """Records datagrams with the event-loop iteration in which they arrived."""

    def __init__(self):
        self.received = []
        self._iteration = 0

    def __call__(self, datagram, sender):
        self.received.append((datagram, self._iteration))

    async def count_iterations(self):
        while True:
            self._iteration += 1
            await asyncio.sleep(0)

    @property
    def datagrams(self):
        return [datagram for datagram, _ in self.received]


@pytest.fixture
async def receiver():
    receiver = Receiver()
    counter = asyncio.ensure_future(receiver.count_iterations())
    yield receiver
    counter.cancel()


@pytest.fixture
async def address(receiver, monkeypatch):
    monkeypatch.setattr(datagram_socket, "READ_INTERVAL_S", READ_INTERVAL_S)
    address = Address("127.0.0.1", free_port())
    receiver_socket = DatagramSocket(receiver)
    receiver_socket.open(address)
    yield address
    receiver_socket.close()


@pytest.fixture
async def sender_socket():
    sender_socket = DatagramSocket(lambda datagram, sender: None)
    sender_socket.open(Address("127.0.0.1", free_port()))
    yield sender_socket
    sender_socket.close()


async def test_datagrams_that_arrive_close_together_are_read_in_one_iteration(
    receiver, address, sender_socket
):
    sender_socket.send(b"alone", address)
    await until(lambda: receiver.received)
    for number in range(10):
        sender_socket.send(b"%d" % number, address)
        await asyncio.sleep(0.005)
    await until(lambda: len(receiver.received) == 11)
    assert len({iteration for _, iteration in receiver.received[1:]}) == 1


async def test_a_datagram_after_a_silence_is_read_immediately(
    receiver, address, sender_socket
):
    loop = asyncio.get_running_loop()
    sender_socket.send(b"first", address)
    await until(lambda: receiver.received)
    await asyncio.sleep(2 * READ_INTERVAL_S)
    sent_s = loop.time()
    sender_socket.send(b"second", address)
    await until(lambda: len(receiver.received) == 2)
    assert loop.time() - sent_s < READ_INTERVAL_S


async def test_more_datagrams_than_a_batch_are_all_read(
    receiver, address, sender_socket
):
    count = 2 * MAX_BATCH + 1
    for number in range(count):
        sender_socket.send(b"%d" % number, address)
    await until(lambda: len(receiver.received) == count)
    assert receiver.datagrams == [b"%d" % number for number in range(count)]


async def test_an_error_of_the_receiver_affects_no_other_datagram(sender_socket):
    received = []

    def fail_once(datagram, sender):
        received.append(datagram)
        if len(received) == 1:
            raise ValueError(datagram)

    address = Address("127.0.0.1", free_port())
    receiver_socket = DatagramSocket(fail_once)
    receiver_socket.open(address)
    sender_socket.send(b"first", address)
    sender_socket.send(b"second", address)
    with logbook.TestHandler().applicationbound() as handler:
        receiver_socket.read_pending()
    assert received == [b"first", b"second"]
    assert any("task-failed" in each.message for each in handler.records)
    sender_socket.send(b"third", address)
    await until(lambda: received[2:] == [b"third"])
    receiver_socket.close()


async def test_waiting_datagrams_are_read_on_demand(
    receiver, sender_socket, monkeypatch
):
    monkeypatch.setattr(datagram_socket, "READ_INTERVAL_S", 3600)
    address = Address("127.0.0.1", free_port())
    receiver_socket = DatagramSocket(receiver)
    receiver_socket.open(address)
    sender_socket.send(b"first", address)
    await until(lambda: receiver.received)
    sender_socket.send(b"second", address)
    await asyncio.sleep(0.1)
    assert receiver.datagrams == [b"first"]
    receiver_socket.read_pending()
    assert receiver.datagrams == [b"first", b"second"]
    receiver_socket.close()


class FullSocket:
    """Refuses every other datagram, as a socket with a full send buffer does."""

    def __init__(self, inner):
        self._inner = inner
        self._is_full = False

    def sendto(self, datagram, address):
        self._is_full = not self._is_full
        if self._is_full:
            raise BlockingIOError
        self._inner.sendto(datagram, address)

    def __getattr__(self, name):
        return getattr(self._inner, name)


async def test_datagrams_are_sent_in_order_when_the_socket_is_full(
    receiver, address, sender_socket
):
    assert isinstance(sender_socket._socket, socket.socket)
    sender_socket._socket = FullSocket(sender_socket._socket)
    for number in range(5):
        sender_socket.send(b"%d" % number, address)
    await until(lambda: len(receiver.received) == 5)
    assert receiver.datagrams == [b"%d" % number for number in range(5)]
