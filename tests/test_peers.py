import asyncio

import pytest

from dogwoodhook.coordination.messages import ConfigurationRequest
from dogwoodhook.testing.fleet import free_port
from dogwoodhook.testing.relay import Relay
from dogwoodhook.transport import peers
from dogwoodhook.transport.peers import PeerHub

SECRET = "a secret of the fleet"


class Inbox:
    def __init__(self):
        self.messages = []
        self.has_message = asyncio.Event()

    async def receive(self, peer, message):
        self.messages.append((peer, message))
        self.has_message.set()


def make_hub(inbox, daemon, *, secret=SECRET):
    return PeerHub(
        inbox.receive, daemon=daemon, secret=secret, host="127.0.0.1", port=free_port()
    )


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def hubs():
    started = []

    async def start(daemon, **values):
        inbox = Inbox()
        hub = make_hub(inbox, daemon, **values)
        await hub.start()
        started.append(hub)
        return hub, inbox

    yield start
    for hub in started:
        await hub.close()


async def test_messages_go_both_ways_over_one_dialled_link(hubs):
    (a, a_inbox), (b, b_inbox) = await hubs("a"), await hubs("b")
    a.replace_peers({"b": f"127.0.0.1:{b._port}"})
    await wait_until(lambda: b.connected() and a.connected())
    a.broadcast(ConfigurationRequest(3))
    b.broadcast(ConfigurationRequest(4))
    await asyncio.gather(a_inbox.has_message.wait(), b_inbox.has_message.wait())
    assert b_inbox.messages == [("a", ConfigurationRequest(3))]
    assert a_inbox.messages == [("b", ConfigurationRequest(4))]


async def test_a_peer_without_the_secret_is_refused(hubs):
    stranger, _ = await hubs("stranger", secret="another secret altogether")
    member, inbox = await hubs("member")
    stranger.replace_peers({"member": f"127.0.0.1:{member._port}"})
    member.replace_peers({"stranger": f"127.0.0.1:{stranger._port}"})
    await asyncio.sleep(0.5)
    assert not member.connected()
    assert not stranger.connected()
    assert not inbox.messages


async def test_a_restarted_peer_is_dialled_again(hubs):
    a, _ = await hubs("a")
    b, _ = await hubs("b")
    address = f"127.0.0.1:{b._port}"
    a.replace_peers({"b": address})
    await wait_until(a.connected)
    await b.close()
    await wait_until(lambda: not a.connected())
    await b.start()
    await wait_until(a.connected)


async def test_a_link_cut_in_one_direction_is_dialled_from_the_other_side(
    hubs, monkeypatch
):
    monkeypatch.setattr(peers, "PING_INTERVAL_S", 0.2)
    monkeypatch.setattr(peers, "PING_TIMEOUT_S", 0.2)
    monkeypatch.setattr(peers, "HANDSHAKE_TIMEOUT_S", 0.2)
    (a, a_inbox), (b, b_inbox) = await hubs("a"), await hubs("b")
    async with Relay(port=b._port) as relay:
        a.replace_peers({"b": f"127.0.0.1:{relay.port}"})
        b.replace_peers({"a": f"127.0.0.1:{a._port}"})
        await wait_until(lambda: a.connected() and b.connected())
        relay.is_cut_to_server = True
        await wait_until(lambda: "a" in b._dialled)
        a_inbox.has_message.clear()
        b_inbox.has_message.clear()
        a.broadcast(ConfigurationRequest(5))
        b.broadcast(ConfigurationRequest(6))
        async with asyncio.timeout(10):
            await asyncio.gather(a_inbox.has_message.wait(), b_inbox.has_message.wait())
        assert ("a", ConfigurationRequest(5)) in b_inbox.messages
        assert ("b", ConfigurationRequest(6)) in a_inbox.messages
