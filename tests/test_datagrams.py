"""Datagrams between daemons, over real sockets."""

import asyncio
import random
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from dogwoodhook.clock import ManualClock, SystemClock
from dogwoodhook.coordination.fleet_messages import (
    DaemonHello,
    LoadReport,
    TargetFailure,
    TargetSuccess,
)
from dogwoodhook.state.load_estimate import MIN_ECHOES
from dogwoodhook.state.peer_liveness import NEIGHBOUR_SILENCE_S
from dogwoodhook.state.relays import RELAYS
from dogwoodhook.state.report_tree import (
    ECHO_TIMEOUT_S,
    MAX_DIRECT_NEIGHBOURS,
    collector_of,
)
from dogwoodhook.state.suspicion import Symptom
from dogwoodhook.testing.fleet import free_port
from dogwoodhook.transport.datagrams import MIN_NOTICES, DatagramPeers, Peer
from dogwoodhook.vm_settings import Address
from tests.exchanges import until

FAILURE = TargetFailure("vm-1", 7, "payouts", "t1", Symptom.RESET, repeats=1)


def make_peers(receive, clock, daemon, data_centre):
    return DatagramPeers(
        receive,
        clock,
        daemon=daemon,
        data_centre=data_centre,
        rng=random.Random(daemon),
    )


@asynccontextmanager
async def open_pair(*, keys=(b"k" * 16, b"k" * 16)):
    received = []
    clock = ManualClock()
    first = make_peers(received.append, clock, "vm-1", "oulu-1")
    second = make_peers(received.append, clock, "vm-2", "oulu-2")
    addresses = [Address("127.0.0.1", free_port()) for _ in range(2)]
    await first.start(addresses[0])
    await second.start(addresses[1])
    first.key, second.key = keys
    first.add(Peer("vm-2", "oulu-2", addresses[1]))
    try:
        yield first, second, received, addresses
    finally:
        first.close()
        second.close()


async def test_a_broadcast_reaches_the_peer():
    async with open_pair() as (first, _, received, _):
        first.broadcast(FAILURE)
        await until(lambda: received == [FAILURE])


async def test_a_datagram_under_another_key_is_dropped_and_counted():
    async with open_pair(keys=(b"k" * 16, b"x" * 16)) as (first, second, received, _):
        first.broadcast(FAILURE)
        await until(lambda: second.dropped == 1)
        assert received == []


async def test_a_hello_makes_the_sender_known():
    async with open_pair() as (first, second, received, addresses):
        hello = DaemonHello("vm-1", "oulu-1", addresses[0].host, addresses[0].port)
        first.send_hello(hello, all_data_centres=True)
        await until(lambda: len(second) == 1)
        second.broadcast(FAILURE)
        await until(lambda: FAILURE in received)


async def test_messages_to_neighbours_do_not_reach_other_data_centres():
    async with open_pair() as (first, _, received, _):
        first.notify_neighbours(FAILURE)
        first.broadcast(FAILURE)
        await until(lambda: received == [FAILURE])


def make_neighbours(clock, *names):
    peers = make_peers(lambda message: None, clock, "vm-1", "oulu-1")
    for name in names:
        peers.add(Peer(name, "oulu-1", Address("127.0.0.1", 7620)))
    return peers


def test_a_silent_neighbour_is_not_ranked_among_the_store_readers():
    clock = ManualClock()
    peers = make_neighbours(clock, "vm-2", "vm-3")
    clock.advance(NEIGHBOUR_SILENCE_S + 1)
    peers.add(Peer("vm-3", "oulu-1", Address("127.0.0.1", 7620)))
    assert peers.neighbours() == ["vm-3"]
    assert len(peers) == 1


def test_the_live_peers_are_not_determined_again_for_each_message():
    clock = ManualClock()
    peers = make_neighbours(clock, "vm-2", "vm-3")
    assert peers.neighbours() is peers.neighbours()
    clock.advance(NEIGHBOUR_SILENCE_S + 1)
    assert peers.neighbours() == []
    peers.add(Peer("vm-2", "oulu-1", Address("127.0.0.1", 7620)))
    assert peers.neighbours() == ["vm-2"]


async def test_a_silent_peer_is_found_again_after_a_hello():
    async with open_pair() as (first, second, received, addresses):
        hello = DaemonHello("vm-1", "oulu-1", addresses[0].host, addresses[0].port)
        first._clock.advance(3600)
        first.broadcast(FAILURE)
        first.send_hello(hello, all_data_centres=True)
        await until(lambda: received == [hello])
        second.broadcast(TargetSuccess("vm-2", "t1"))
        await until(lambda: len(first) == 1)


async def test_a_broadcast_reaches_each_daemon_of_another_data_centre_once():
    clock = ManualClock()
    received = {f"vm-{number}": [] for number in range(6)}
    fleet = {
        name: make_peers(
            messages.append, clock, name, "oulu-1" if name == "vm-0" else "o2"
        )
        for name, messages in received.items()
    }
    sent = []
    for name, peers in fleet.items():
        address = Address("127.0.0.1", free_port())
        await peers.start(address)
        peers.key = b"k" * 16
        for other in fleet.values():
            other.add(Peer(name, peers._data_centre, address))
    origin = fleet["vm-0"]
    origin._send = lambda message, peers, send=origin._send: (
        sent.extend(peers),
        send(message, peers),
    )
    origin.broadcast(FAILURE)
    await until(
        lambda: all(messages for name, messages in received.items() if name != "vm-0")
    )
    await asyncio.sleep(0.1)
    assert [received[f"vm-{number}"] for number in range(1, 6)] == [[FAILURE]] * 5
    assert len(sent) == RELAYS
    for peers in fleet.values():
        peers.close()


async def test_neighbours_that_have_received_other_messages_are_sent_no_hello():
    async with open_pair() as (first, _, received, addresses):
        second = Peer("vm-2", "oulu-1", addresses[1])
        first._peers.clear()
        first.add(second)
        hello = DaemonHello("vm-1", "oulu-1", addresses[0].host, addresses[0].port)
        for _ in range(MIN_NOTICES):
            first.notify_neighbours(FAILURE)
        first.send_hello(hello, all_data_centres=False)
        await until(lambda: len(received) == MIN_NOTICES)
        first.send_hello(hello, all_data_centres=False)
        await until(lambda: received[-1] == hello)
        assert received.count(hello) == 1


async def test_a_silent_neighbour_is_sent_a_hello_despite_other_messages():
    async with open_pair() as (first, _, received, addresses):
        first._peers.clear()
        first.add(Peer("vm-2", "oulu-1", addresses[1]))
        first._clock.advance(NEIGHBOUR_SILENCE_S + 1)
        hello = DaemonHello("vm-1", "oulu-1", addresses[0].host, addresses[0].port)
        for _ in range(MIN_NOTICES):
            first.notify_neighbours(FAILURE)
        first.send_hello(hello, all_data_centres=False)
        await until(lambda: received == [hello])


LARGE = [f"vm-{number}" for number in range(MAX_DIRECT_NEIGHBOURS + 6)]
"""A data centre of so many daemons that their reports go through a collector."""


@asynccontextmanager
async def open_large_data_centre():
    """Yield the peers of each daemon, the messages received, and what each has sent."""
    clock = SystemClock()
    received = {name: [] for name in LARGE}
    sent = Counter()
    fleet = {
        name: make_peers(messages.append, clock, name, "oulu-1")
        for name, messages in received.items()
    }
    for name, peers in fleet.items():
        peers.key = b"k" * 16
        address = Address("127.0.0.1", free_port())
        await peers.start(address)
        for other in fleet.values():
            other.add(Peer(name, "oulu-1", address))

        def send(message, targets, name=name, send=peers._send):
            sent[name] += len(targets)
            send(message, targets)

        peers._send = send
    try:
        yield fleet, received, sent
    finally:
        for peers in fleet.values():
            peers.close()


def senders(messages):
    return [each.daemon for each in messages]


async def test_reports_of_a_large_data_centre_reach_each_daemon_once():
    async with open_large_data_centre() as (fleet, received, sent):
        for name, peers in fleet.items():
            peers.notify_neighbours(LoadReport(name, {"t1": 1}))
        for name, messages in received.items():
            others = sorted(each for each in LARGE if each != name)
            await until(
                lambda messages=messages, others=others: (
                    sorted(senders(messages)) == others
                )
            )
        assert sum(sent.values()) < len(LARGE) ** 2 / 3


@pytest.mark.parametrize("symptom", [None, Symptom.BUSY, Symptom.STALLED])
async def test_frequent_failures_of_a_large_data_centre_are_collected(symptom):
    async with open_large_data_centre() as (fleet, received, sent):
        sender = next(each for each in LARGE if each != collector_of(LARGE))
        failure = replace(FAILURE, daemon=sender, symptom=symptom)
        fleet[sender].notify_neighbours(failure)
        assert sent[sender] == 1
        for name, messages in received.items():
            if name != sender:
                await until(lambda messages=messages: messages == [failure])


async def test_a_collected_report_replaces_an_earlier_one_of_its_daemon():
    async with open_large_data_centre() as (fleet, received, _):
        collector = fleet[collector_of(LARGE)]
        for count in range(3):
            collector.notify_neighbours(LoadReport(collector._daemon, {"t1": count}))
        other = next(each for each in LARGE if fleet[each] is not collector)
        await until(lambda: received[other])
        assert received[other] == [LoadReport(collector._daemon, {"t1": 2})]


async def test_the_age_of_reports_is_known_where_they_go_through_a_collector():
    async with open_large_data_centre() as (fleet, received, _):
        sender, other = [each for each in LARGE if each != collector_of(LARGE)][:2]
        for count in range(MIN_ECHOES):
            assert fleet[sender].news_age.median_s(now_s=SystemClock().now_s()) is None
            report = LoadReport(sender, {"t1": count})
            fleet[sender].notify_neighbours(report)
            await until(lambda report=report: received[other][-1:] == [report])
            await until(lambda count=count: echoes(fleet[sender]) == count + 1)
        assert fleet[sender].news_age.median_s(now_s=SystemClock().now_s()) > 0
        assert echoes(fleet[other]) == 0


def echoes(peers):
    return len(peers.news_age._ages)


async def test_failures_do_not_wait_for_a_collector():
    async with open_large_data_centre() as (fleet, received, _):
        sender = next(each for each in LARGE if each != collector_of(LARGE))
        fleet[sender].notify_neighbours(replace(FAILURE, daemon=sender))
        fleet[collector_of(LARGE)].close()
        for name, messages in received.items():
            if name not in (sender, collector_of(LARGE)):
                await until(lambda messages=messages: senders(messages) == [sender])


async def test_a_daemon_whose_collector_ended_reports_to_each_neighbour():
    async with open_large_data_centre() as (fleet, received, _):
        fleet[collector_of(LARGE)].close()
        sender, other = [each for each in LARGE if each != collector_of(LARGE)][:2]
        fleet[sender].notify_neighbours(LoadReport(sender, {"t1": 1}))
        await asyncio.sleep(ECHO_TIMEOUT_S + 0.1)
        assert received[other] == []
        fleet[sender].notify_neighbours(LoadReport(sender, {"t1": 2}))
        await until(lambda: received[other] == [LoadReport(sender, {"t1": 2})])
