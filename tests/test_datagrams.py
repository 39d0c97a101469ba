"""Datagrams between daemons, over real sockets."""

from contextlib import asynccontextmanager

from dogwoodhook.coordination.fleet_messages import DaemonHello, TargetFailure
from dogwoodhook.state.suspicion import Symptom
from dogwoodhook.testing.fleet import free_port
from dogwoodhook.transport.datagrams import DatagramPeers, Peer
from dogwoodhook.vm_settings import Address
from tests.exchanges import until

FAILURE = TargetFailure("vm-1", "payouts", "t1", Symptom.RESET, was_repeated=True)


@asynccontextmanager
async def open_pair(*, keys=(b"k" * 16, b"k" * 16)):
    heard = []
    first = DatagramPeers(heard.append, daemon="vm-1", data_centre="oulu-1")
    second = DatagramPeers(heard.append, daemon="vm-2", data_centre="oulu-2")
    addresses = [Address("127.0.0.1", free_port()) for _ in range(2)]
    await first.start(addresses[0])
    await second.start(addresses[1])
    first.key, second.key = keys
    first.add(Peer("vm-2", "oulu-2", addresses[1]))
    try:
        yield first, second, heard, addresses
    finally:
        first.close()
        second.close()


async def test_a_broadcast_reaches_the_peer():
    async with open_pair() as (first, _, heard, _):
        first.broadcast(FAILURE)
        await until(lambda: heard == [FAILURE])


async def test_a_datagram_under_another_key_is_dropped_and_counted():
    async with open_pair(keys=(b"k" * 16, b"x" * 16)) as (first, second, heard, _):
        first.broadcast(FAILURE)
        await until(lambda: second.dropped == 1)
        assert heard == []


async def test_a_greeting_makes_the_sender_known():
    async with open_pair() as (first, second, heard, addresses):
        first.broadcast(
            DaemonHello("vm-1", "oulu-1", addresses[0].host, addresses[0].port)
        )
        await until(lambda: len(second) == 1)
        second.broadcast(FAILURE)
        await until(lambda: FAILURE in heard)


async def test_only_neighbours_hear_what_is_meant_for_them():
    async with open_pair() as (first, _, heard, _):
        first.tell_neighbours(FAILURE)
        first.broadcast(FAILURE)
        await until(lambda: heard == [FAILURE])
