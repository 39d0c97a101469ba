"""Sends datagrams to, and receives them from, the other daemons of the fleet."""

import asyncio
import math
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_messages import (
    BroadcastMessage,
    Collected,
    CollectedMessage,
    DaemonHello,
    FleetMessage,
    LoadReport,
    Relayed,
    TargetFailure,
    TargetSuccess,
    ToCollector,
)
from dogwoodhook.events import COLLECTOR_SILENT, DATAGRAM_DROPPED, log
from dogwoodhook.protocol.fleet_codec import decode_datagram, encode_datagram
from dogwoodhook.state.load_estimate import NewsAge
from dogwoodhook.state.peer_liveness import (
    KNOWN_SILENCE_S,
    NEIGHBOUR_SILENCE_S,
    REMOTE_SILENCE_S,
    PeerLiveness,
)
from dogwoodhook.state.relays import (
    BEST_EFFORT_RELAYS,
    RELAYS,
    SeenMessages,
    choose_relays,
)
from dogwoodhook.state.report_tree import (
    COLLECT_INTERVAL_S,
    MAX_DIRECT_NEIGHBOURS,
    MAX_REPORTS_PER_BATCH,
    CollectorTrust,
    collector_of,
    split_among_forwarders,
)
from dogwoodhook.state.suspicion import Symptom
from dogwoodhook.transport.datagram_socket import DatagramSocket, Sender
from dogwoodhook.vm_settings import Address

NUMBER_BITS = 62
"""Size of the random number that a daemon's first relayed message gets."""

LIVE_PEERS_AGE_S = 0.25
"""Time for which the list of live peers is reused. It is needed several times for each
request, and a peer counts as gone only after seconds of silence."""

MIN_NOTICES = 3
"""Number of messages to all neighbours that show them as well as a hello does that this
daemon is alive, although some are lost."""

# Retries, and symptoms of slow targets, of which there are many on heavy days.
_FREQUENT_SYMPTOMS = frozenset({None, Symptom.BUSY, Symptom.OVERDUE, Symptom.STALLED})

Receiver = Callable[[FleetMessage], None]


@dataclass(frozen=True, slots=True)
class Peer:
    """Another daemon."""

    daemon: str
    data_centre: str
    address: Address


@dataclass(frozen=True, slots=True)
class _LivePeers:
    """The peers that were live at a moment, and when this is determined again.

    ``collector`` is ``None`` if this daemon is the collector of its data centre.
    """

    expires_s: float
    peers: tuple[Peer, ...] = ()
    collector: Peer | None = None
    neighbours: tuple[Peer, ...] = ()
    names: Mapping[str, list[str]] = field(default_factory=dict)
    all_names: frozenset[str] = frozenset()
    known_daemons: int = 1


class DatagramPeers:
    """One socket for all peers; nothing is sent or received before the key is known.

    Hellos are sent to every peer ever known, all other messages only to live peers. A
    peer that was cut off is thus found again through its hello or this daemon's.
    """

    def __init__(
        self,
        receive: Receiver,
        clock: Clock,
        *,
        daemon: str,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        self.key: bytes | None = None
        self.sent_bytes = 0
        self.dropped = 0
        self._receive = receive
        self._clock = clock
        self._rng = rng
        self._liveness = PeerLiveness()
        self._seen = SeenMessages()
        # Random, so that a daemon's numbers after a restart differ from those before.
        self._number = rng.getrandbits(NUMBER_BITS)
        self._daemon = daemon
        self._data_centre = data_centre
        self._peers: dict[str, Peer] = {}
        self._cached_live = _LivePeers(expires_s=-math.inf)
        self._collector_trust = CollectorTrust()
        self.news_age = NewsAge()
        self._notices_since_hello = 0
        self._gathered: dict[tuple[object, ...], CollectedMessage] = {}
        self._socket = DatagramSocket(self._receive_datagram)

    async def start(self, address: Address) -> None:
        """Open the socket."""
        self._socket.open(address)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def receive_pending(self) -> None:
        """Receive the datagrams that have arrived and have not been read yet."""
        self._socket.read_pending()

    def __len__(self) -> int:
        """Return the number of live peers."""
        return len(self._live().peers)

    def add(self, peer: Peer) -> None:
        """Add a peer, or record its new address."""
        if peer.daemon == self._daemon:
            return
        if self._peers.get(peer.daemon) != peer:
            self._peers[peer.daemon] = peer
            self._cached_live = _LivePeers(expires_s=-math.inf)
        self._record_seen(peer.daemon)

    @property
    def data_centre(self) -> str:
        """Return the own data centre."""
        return self._data_centre

    def neighbours(self) -> list[str]:
        """Return the names of the live peers in the own data centre."""
        return self._live().names.get(self._data_centre, [])

    def live_daemons(self) -> Mapping[str, list[str]]:
        """Return the names of the live peers of each data centre that has any."""
        return self._live().names

    def count_known_daemons(self) -> int:
        """Return the number of daemons, this one included, that ran lately."""
        return self._live().known_daemons

    def address_of(self, daemon: str) -> Address | None:
        """Return a daemon's address, or ``None`` if the daemon is not known."""
        peer = self._peers.get(daemon)
        return peer.address if peer else None

    def live_hellos(self) -> tuple[DaemonHello, ...]:
        """Return the hellos of all live peers."""
        return tuple(
            DaemonHello(
                peer.daemon, peer.data_centre, peer.address.host, peer.address.port
            )
            for peer in self._live().peers
        )

    def add_daemons(self, hellos: Iterable[DaemonHello]) -> None:
        """Add the daemons that are not known yet."""
        for hello in hellos:
            if hello.daemon not in self._peers:
                self.add(_peer_of(hello))

    def broadcast(self, message: BroadcastMessage) -> None:
        """Send a message to all neighbours, and through relays to all others."""
        self.notify_neighbours(message)
        relays = choose_relays(
            self.live_daemons(),
            own=self._data_centre,
            rng=self._rng,
            relays=BEST_EFFORT_RELAYS if _may_be_missed(message) else RELAYS,
        )
        self._number += 1
        relayed = Relayed(
            self._daemon, self._number, is_first_hop=True, content=message
        )
        self._send(relayed, [self._peers[name] for name in relays])

    def notify_neighbours(self, message: FleetMessage) -> None:
        """Send a message to the live peers in the own data centre."""
        if message.daemon == self._daemon:
            self._notices_since_hello += 1
        match message:
            case LoadReport() | TargetSuccess():
                self._collect(message)
            case TargetFailure(symptom=symptom) if symptom in _FREQUENT_SYMPTOMS:
                self._collect(message)
            case _:
                self._send(message, self._live().neighbours)

    def _collect(self, message: CollectedMessage) -> None:
        """Send a message to the neighbours, through the collector if they are many."""
        live, now_s = self._live(), self._clock.now_s()
        if self._collector_trust.has_fallen_silent(now_s=now_s):
            collector = live.collector.daemon if live.collector else self._daemon
            log(COLLECTOR_SILENT, collector=collector, neighbours=len(live.neighbours))
        if len(live.neighbours) <= MAX_DIRECT_NEIGHBOURS:
            self._send(message, live.neighbours)
        elif live.collector is None:
            self._gather(message)
        elif not self._collector_trust.is_trusted(now_s=now_s):
            self._send(message, live.neighbours)
        else:
            self._send(ToCollector(self._daemon, message), [live.collector])
            if message.daemon == self._daemon:
                self._collector_trust.record_sent(now_s=now_s)
                if isinstance(message, LoadReport):
                    self.news_age.record_sent(message.in_flight, now_s=now_s)

    def _gather(self, message: CollectedMessage) -> None:
        if not self._gathered:
            loop = asyncio.get_running_loop()
            loop.call_later(COLLECT_INTERVAL_S, self._send_gathered)
        self._gathered[_merge_key(message, len(self._gathered))] = message

    def _send_gathered(self) -> None:
        """Send the gathered messages to forwarders."""
        contents = tuple(self._gathered.values())
        self._gathered.clear()
        names = self.neighbours()
        for start in range(0, len(contents), MAX_REPORTS_PER_BATCH):
            batch = contents[start : start + MAX_REPORTS_PER_BATCH]
            for first, *others in split_among_forwarders(names, rng=self._rng):
                self.notify(Collected(self._daemon, batch, tuple(others)), [first])

    def notify(self, message: FleetMessage, daemons: Iterable[str]) -> None:
        """Send a message to daemons by name; those that are not known get nothing."""
        peers = [self._peers[each] for each in daemons if each in self._peers]
        self._send(message, peers)

    def notify_some(self, message: FleetMessage, count: int) -> None:
        """Send a message to ``count`` live peers chosen at random."""
        live = self._live().peers
        self._send(message, self._rng.sample(live, min(count, len(live))))

    def send_hello(self, hello: DaemonHello, *, all_data_centres: bool) -> None:
        """Send a hello to the known peers of the own data centre, or of all.

        Live neighbours that have received other messages since the last one need none.
        """
        known = list(self._peers.values())
        if not all_data_centres:
            known = self._neighbours_among(known)
            if self._notices_since_hello >= MIN_NOTICES:
                live = self._live().all_names
                known = [each for each in known if each.daemon not in live]
        self._notices_since_hello = 0
        self._send(hello, known)

    def _live(self) -> _LivePeers:
        now_s = self._clock.now_s()
        if now_s < self._cached_live.expires_s:
            return self._cached_live
        live = tuple(
            peer
            for peer in self._peers.values()
            if self._liveness.is_live(
                peer.daemon, silence_s=self._silence_s(peer), now_s=now_s
            )
        )
        names: defaultdict[str, list[str]] = defaultdict(list)
        for peer in live:
            names[peer.data_centre].append(peer.daemon)
        neighbours = tuple(self._neighbours_among(live))
        collector = collector_of([self._daemon, *names.get(self._data_centre, [])])
        self._cached_live = _LivePeers(
            expires_s=now_s + LIVE_PEERS_AGE_S,
            peers=live,
            neighbours=neighbours,
            collector=None if collector == self._daemon else self._peers[collector],
            names=dict(names),
            all_names=frozenset(peer.daemon for peer in live),
            known_daemons=1
            + sum(
                self._liveness.is_live(name, silence_s=KNOWN_SILENCE_S, now_s=now_s)
                for name in self._peers
            ),
        )
        return self._cached_live

    def _silence_s(self, peer: Peer) -> float:
        is_neighbour = peer.data_centre == self._data_centre
        return NEIGHBOUR_SILENCE_S if is_neighbour else REMOTE_SILENCE_S

    def _neighbours_among(self, peers: Iterable[Peer]) -> list[Peer]:
        return [peer for peer in peers if peer.data_centre == self._data_centre]

    def _send(self, message: FleetMessage, peers: Sequence[Peer]) -> None:
        if self.key is None:
            return
        datagram = encode_datagram(message, key=self.key)
        for peer in peers:
            self._socket.send(datagram, peer.address)
        self.sent_bytes += len(datagram) * len(peers)

    def _receive_datagram(self, datagram: bytes, sender: Sender) -> None:
        """Decode a datagram and dispatch its message."""
        if self.key is None:
            return
        match decode_datagram(datagram, key=self.key):
            case Result(tag="ok", ok=message):
                self._record_seen(message.daemon)
                self._dispatch(message)
            case Result(error=problem):
                self.dropped += 1
                host, port = sender
                log(DATAGRAM_DROPPED, sender=f"{host}:{port}", problem=problem)

    def _receive_collected(self, message: CollectedMessage) -> None:
        if message.daemon == self._daemon:
            self._collector_trust.record_echo()
            if isinstance(message, LoadReport):
                now_s = self._clock.now_s()
                self.news_age.record_echo(message.in_flight, now_s=now_s)
            return
        self._record_seen(message.daemon)
        self._receive(message)

    def _record_seen(self, daemon: str) -> None:
        self._liveness.record_seen(daemon, now_s=self._clock.now_s())
        if daemon in self._peers and daemon not in self._cached_live.all_names:
            self._cached_live = _LivePeers(expires_s=-math.inf)

    def _dispatch(self, message: FleetMessage) -> None:
        match message:
            case DaemonHello():
                self.add(_peer_of(message))
                self._receive(message)
            case Relayed(number=number, content=content):
                if not self._seen.add(message.daemon, number):
                    return
                if _may_be_missed(content):
                    self.notify_neighbours(content)
                elif message.is_first_hop:
                    self.notify_neighbours(replace(message, is_first_hop=False))
                self._receive(content)
            case ToCollector(content=content):
                self._receive(content)
                self._gather(content)
            case Collected(contents=contents, forward_to=forward_to):
                if forward_to:
                    self.notify(replace(message, forward_to=()), forward_to)
                for each in contents:
                    self._receive_collected(each)
            case _:
                self._receive(message)


def _merge_key(message: CollectedMessage, count: int) -> tuple[object, ...]:
    """Return a key under which a message replaces an earlier one of its sender.

    ``count`` distinguishes messages that replace none.
    """
    match message:
        case LoadReport(daemon):
            return ("load", daemon)
        case TargetFailure(daemon, run, service, target, symptom):
            return ("failure", daemon, run, service, target, symptom)
        case TargetSuccess():
            return ("success", count)


def _may_be_missed(message: BroadcastMessage) -> bool:
    """Return whether a message is one of many, so that its loss matters little."""
    match message:
        case TargetSuccess():
            return True
        case TargetFailure(symptom=symptom):
            return symptom in _FREQUENT_SYMPTOMS
        case _:
            return False


def _peer_of(hello: DaemonHello) -> Peer:
    return Peer(hello.daemon, hello.data_centre, Address(hello.host, hello.port))
