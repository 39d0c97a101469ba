"""A socket that takes datagrams in batches."""

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
    """Keeps datagrams with the pass of the event loop in which they came."""

    def __init__(self):
        self.heard = []
        self._pass = 0

    def __call__(self, datagram, sender):
        self.heard.append((datagram, self._pass))

    async def count_passes(self):
        while True:
            self._pass += 1
            await asyncio.sleep(0)

    @property
    def datagrams(self):
        return [datagram for datagram, _ in self.heard]


@pytest.fixture
async def receiver():
    receiver = Receiver()
    counting = asyncio.ensure_future(receiver.count_passes())
    yield receiver
    counting.cancel()


@pytest.fixture
async def address(receiver, monkeypatch):
    monkeypatch.setattr(datagram_socket, "READ_INTERVAL_S", READ_INTERVAL_S)
    address = Address("127.0.0.1", free_port())
    receiving = DatagramSocket(receiver)
    receiving.open(address)
    yield address
    receiving.close()


@pytest.fixture
async def sending():
    sending = DatagramSocket(lambda datagram, sender: None)
    sending.open(Address("127.0.0.1", free_port()))
    yield sending
    sending.close()


async def test_datagrams_that_come_close_together_cost_one_wake_up(
    receiver, address, sending
):
    sending.send(b"alone", address)
    await until(lambda: receiver.heard)
    for number in range(10):
        sending.send(b"%d" % number, address)
        await asyncio.sleep(0.005)
    await until(lambda: len(receiver.heard) == 11)
    assert len({passes for _, passes in receiver.heard[1:]}) == 1


async def test_a_datagram_after_a_silence_is_taken_at_once(receiver, address, sending):
    loop = asyncio.get_running_loop()
    sending.send(b"first", address)
    await until(lambda: receiver.heard)
    await asyncio.sleep(2 * READ_INTERVAL_S)
    sent_s = loop.time()
    sending.send(b"second", address)
    await until(lambda: len(receiver.heard) == 2)
    assert loop.time() - sent_s < READ_INTERVAL_S


async def test_more_datagrams_than_a_batch_are_all_taken(receiver, address, sending):
    count = 2 * MAX_BATCH + 1
    for number in range(count):
        sending.send(b"%d" % number, address)
    await until(lambda: len(receiver.heard) == count)
    assert receiver.datagrams == [b"%d" % number for number in range(count)]


async def test_a_datagram_that_fails_its_receiver_fails_nothing_else(sending):
    heard = []

    def fail_once(datagram, sender):
        heard.append(datagram)
        if len(heard) == 1:
            raise ValueError(datagram)

    address = Address("127.0.0.1", free_port())
    receiving = DatagramSocket(fail_once)
    receiving.open(address)
    sending.send(b"first", address)
    sending.send(b"second", address)
    with logbook.TestHandler().applicationbound() as handler:
        receiving.read_pending()
    assert heard == [b"first", b"second"]
    assert any("task-failed" in each.message for each in handler.records)
    sending.send(b"third", address)
    await until(lambda: heard[2:] == [b"third"])
    receiving.close()


async def test_what_waits_is_taken_when_it_is_needed(receiver, sending, monkeypatch):
    monkeypatch.setattr(datagram_socket, "READ_INTERVAL_S", 3600)
    address = Address("127.0.0.1", free_port())
    receiving = DatagramSocket(receiver)
    receiving.open(address)
    sending.send(b"first", address)
    await until(lambda: receiver.heard)
    sending.send(b"second", address)
    await asyncio.sleep(0.1)
    assert receiver.datagrams == [b"first"]
    receiving.read_pending()
    assert receiver.datagrams == [b"first", b"second"]
    receiving.close()


class FullSocket:
    """Takes a datagram only every other time, as a full link does."""

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


async def test_datagrams_wait_in_order_while_the_link_is_full(
    receiver, address, sending
):
    assert isinstance(sending._socket, socket.socket)
    sending._socket = FullSocket(sending._socket)
    for number in range(5):
        sending.send(b"%d" % number, address)
    await until(lambda: len(receiver.heard) == 5)
    assert receiver.datagrams == [b"%d" % number for number in range(5)]
