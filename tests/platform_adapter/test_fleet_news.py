"""What other daemons tell, and the choice of a target."""

import asyncio
import random

from dogwoodhook.clock import SystemClock
from dogwoodhook.coordination.fleet_messages import LoadReport
from dogwoodhook.testing.fleet import free_port
from dogwoodhook.transport import datagram_socket
from dogwoodhook.transport.datagrams import DatagramPeers, Peer
from dogwoodhook.vm_settings import Address
from tests.exchanges import until


async def test_a_target_is_chosen_by_what_has_come_and_was_not_read_yet(
    platform, monkeypatch
):
    monkeypatch.setattr(datagram_socket, "READ_INTERVAL_S", 3600)
    await platform.configure()
    targets = [await platform.start_target(name) for name in ("t1", "t2")]
    gateway = await platform.start_gateway()
    await until(lambda: gateway.peers.key)
    clock = SystemClock()
    neighbour = DatagramPeers(
        lambda message: None,
        clock,
        daemon="vm-2",
        data_centre="oulu-1",
        rng=random.Random(7),
    )
    neighbour.key = gateway.peers.key
    await neighbour.start(Address("127.0.0.1", free_port()))
    neighbour.add(Peer("vm-1", "oulu-1", gateway.settings.peer_address))
    for busy, free in (("t1", "t2"), ("t2", "t1")) * 3:
        neighbour.notify_neighbours(LoadReport("vm-2", {busy: 3}))
        await asyncio.sleep(0.05)
        reply = await platform.send("/post/1", data=b"x")
        assert reply.body.startswith(free.encode())
    assert sum(len(target.received) for target in targets) == 6
    neighbour.close()
