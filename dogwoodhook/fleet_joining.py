"""Joins a daemon to its fleet: by its row in the store, and by hellos.

Each daemon writes its address to the store, reads the rows of daemons of its data
centre, and asks some of them for a snapshot of the fleet. It reads the complete tables
itself only if none of them has one, as where all daemons start at once. Then those of
the first ranks read the tables, and the others wait for them.

A daemon sends a hello to all daemons that it knows. Two daemons that start at the same
moment in different data centres may not know each other then, but others know both:
each daemon asks others for the daemons that they know, soon after its start and from
time to time. The fleet's key is a row that the first daemon creates.

When the store comes back from a copy, the daemons that joined shortly before write
their rows again, and those of the first ranks the key (see ``state.row_restoring``). If
another key was created meanwhile, the store's one holds.
"""

import asyncio
import itertools
import json
import random
import secrets
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_links import RowUnavailable
from dogwoodhook.coordination.fleet_messages import DaemonHello
from dogwoodhook.coordination.fleet_snapshot import FleetSnapshot
from dogwoodhook.coordination.store import (
    RowConflict,
    Store,
    StoreRow,
    StoreUnavailable,
    Table,
    TableRows,
)
from dogwoodhook.coordination.store_reading import wait_for
from dogwoodhook.events import (
    DAEMON_ROW_REFUSED,
    DAEMONS_NOT_LISTED,
    FLEET_JOINED,
    FLEET_KEY_REPLACED,
    ROWS_RESTORED,
    log,
)
from dogwoodhook.state.row_restoring import Restoring, restoring_after_return
from dogwoodhook.state.store_position import describe, era_of
from dogwoodhook.state.store_reader import rank_of
from dogwoodhook.transport.datagrams import DatagramPeers, Peer
from dogwoodhook.vm_settings import MAX_PORT, Address, VmSettings, is_host

KEY_ROW = "fleet-key"
_DAEMON_ROW_PREFIX = "daemon/"
KEY_BYTES = 16

FIRST_HELLO_PAUSES_S = (1.0, 4.0)
"""Pauses before the hello is sent again, for daemons that did not receive the first."""

HELLO_INTERVAL_S = 3.0
"""Time between hellos in the own data centre, which show that a daemon is alive."""

REMOTE_HELLO_EVERY = 7
"""Number of hellos of which one goes to all data centres: one every 21 s, three within
the silence after which a daemon of another data centre counts as gone."""

FIRST_RANKS_ASKED = 2
"""Daemons of the first ranks that are asked for a snapshot, beside one at random: where
all start at once, they read the store first."""

SNAPSHOT_WAIT_S = 0.8
"""Longest time for which a daemon waits for a snapshot of daemons that start too."""

SNAPSHOT_INTERVAL_S = 0.1
"""Time between two requests for a snapshot."""

PROBLEM_LENGTH = 200
"""Characters of a problem that are logged."""

MIN_RETRY_S = 0.5
MAX_RETRY_S = 4.0
"""Minimum and maximum pause between attempts while the store does not answer."""


class Neighbours(Protocol):
    """Fetches what other daemons know; the daemons are given by their names."""

    async def fetch_snapshot(
        self, daemon: str
    ) -> Result[FleetSnapshot, RowUnavailable]:
        """Return what another daemon knows of the fleet."""
        ...

    async def fetch_daemons(
        self, daemon: str
    ) -> Result[tuple[DaemonHello, ...], RowUnavailable]:
        """Return the live daemons that another daemon knows."""
        ...


class FleetJoining:
    """Joins the fleet as soon as the store answers, and sends periodic hellos.

    ``on_snapshot`` is called with the snapshot that a neighbour sent. ``has_asked`` is
    set once one has arrived or none is to be expected, ``has_read_rows`` once the rows
    of the fleet are known, and ``has_joined`` once the other daemons are.
    ``on_other_row`` is called with each row of the daemons' table that is neither a
    daemon nor the fleet's key, ``on_missing_quarantines`` when this daemon is to write
    quarantines again.
    """

    def __init__(
        self,
        store: Store,
        peers: DatagramPeers,
        settings: VmSettings,
        clock: Clock,
        *,
        neighbours: Neighbours,
        rng: random.Random,
        on_snapshot: Callable[[FleetSnapshot], None] = lambda snapshot: None,
        on_other_row: Callable[[StoreRow], None] = lambda row: None,
        on_missing_quarantines: Callable[[], None] = lambda: None,
    ) -> None:
        self.has_asked = asyncio.Event()
        self.has_read_rows = False
        self.has_joined = False
        self._is_retry_due = asyncio.Event()
        self._on_snapshot = on_snapshot
        self._on_other_row = on_other_row
        self._store = store
        self._peers = peers
        self._settings = settings
        self._clock = clock
        self._neighbours = neighbours
        self._rng = rng
        self._on_missing_quarantines = on_missing_quarantines
        self._has_new_era = asyncio.Event()
        self._era = 0
        self._era_noticed_s = 0.0
        # The oldest era of which the own row and the key are known to be, and when.
        self._rows_era = 0
        self._row_written_s = 0.0
        self._key_known_s = 0.0

    def notice_era(self, era: int) -> None:
        """Record that the store began a newer era."""
        if era > self._era:
            self._era = era
            self._era_noticed_s = self._clock.now_s()
            self._has_new_era.set()

    async def restore_rows(self) -> None:
        """Write again what the store lacks after each return, until cancelled."""
        while True:
            await self._has_new_era.wait()
            self._has_new_era.clear()
            # A daemon that has not joined yet checks once it has.
            if self.has_joined and self._rows_era < self._era:
                await self._restore(self._era)

    async def run(self) -> None:
        """Try to join until it succeeds, then send hellos until cancelled."""
        pause_s = MIN_RETRY_S
        while not await self._join():
            self.has_asked.set()
            await wait_for(self._is_retry_due, pause_s)
            pause_s = min(MAX_RETRY_S, pause_s * 2)
            if self._is_retry_due.is_set():
                self._is_retry_due.clear()
                pause_s = MIN_RETRY_S
        for pause_s in FIRST_HELLO_PAUSES_S:
            await asyncio.sleep(pause_s)
            await self._greet_all()
        for count in itertools.count(1):
            await asyncio.sleep(HELLO_INTERVAL_S)
            if count % REMOTE_HELLO_EVERY:
                self._send_hello(all_data_centres=False)
            else:
                await self._greet_all()

    def retry(self) -> None:
        """Try again at once, since the store answers."""
        self._is_retry_due.set()

    @property
    def hello(self) -> DaemonHello:
        """Return this daemon's hello."""
        settings = self._settings
        host, port = settings.peer_address.host, settings.peer_address.port
        return DaemonHello(settings.vm_name, settings.data_centre, host, port)

    async def _join(self) -> bool:
        key_prefix = f"{_DAEMON_ROW_PREFIX}{self._settings.data_centre}/"
        async with asyncio.TaskGroup() as group:
            # A write that is not answered does not delay the first reads.
            writing = group.create_task(self._write_own_row())
            source = await self._learn(key_prefix, writing)
        if source is None or writing.result().is_error():
            return False
        self.has_joined = True
        self._rows_era = min(self._rows_era, era_of(writing.result().ok))
        self._has_new_era.set()
        log(FLEET_JOINED, peers=len(self._peers), source=source)
        self._send_hello(all_data_centres=True)
        return True

    async def _learn(
        self, key_prefix: str, writing: asyncio.Task[Result[int, StoreUnavailable]]
    ) -> str | None:
        """Learn the key, and what a neighbour or the store knows; return which one."""
        near = await self._read_page(key_prefix)
        if near is None:
            return None
        self._adopt_rows(near.rows)
        if not self._peers.neighbours():
            self.has_asked.set()
        # The key's row and all others follow those of the daemons.
        is_whole = not near.has_more and any(each.key >= KEY_ROW for each in near.rows)
        page = near if is_whole else await self._read_page(KEY_ROW)
        if page is None:
            return None
        self._adopt_rows(page.rows)
        self.has_read_rows = True
        found = [each for each in page.rows if each.key == KEY_ROW]
        row = found[0] if found else await self._create_key(_new_key())
        key = row.value if row is not None else None
        if row is None or key is None:
            return None
        if len(key) != KEY_BYTES:
            _log_refused(KEY_ROW, f"{len(key)} bytes, needed are {KEY_BYTES}")
            return None
        self._peers.key = key
        self._rows_era = era_of(row.version)
        self._key_known_s = self._clock.now_s()
        snapshot = await self._fetch_snapshot()
        if snapshot is not None:
            self._on_snapshot(snapshot)
            self._peers.add_daemons(snapshot.daemons)
            self.has_asked.set()
            return snapshot.targets.daemon
        self.has_asked.set()
        # Of two daemons that read the table, one then finds the other's row.
        if (await writing).is_error() or not await self._read_all():
            return None
        return "the store"

    async def _read_page(self, start: str) -> TableRows | None:
        """Return the first rows from a key on, ``None`` if there is no answer."""
        match await self._store.read_page(Table.DAEMONS, start=start):
            case Result(tag="ok", ok=page):
                return page
            case _:
                return None

    async def _read_all(self) -> bool:
        match await self._store.read_table(Table.DAEMONS):
            case Result(tag="ok", ok=table):
                self._adopt_rows(table.rows)
                return True
            case _:
                return False

    def _adopt_rows(self, rows: Sequence[StoreRow]) -> None:
        for each in rows:
            if each.key.startswith(_DAEMON_ROW_PREFIX):
                self._add_peer(each)
            elif each.key != KEY_ROW:
                self._on_other_row(each)

    async def _fetch_snapshot(self) -> FleetSnapshot | None:
        """Return a neighbour's snapshot, ``None`` if this daemon reads the store.

        Daemons of an earlier rank that answer but have no snapshot yet are asked again.
        """
        ends_s = self._clock.now_s() + SNAPSHOT_WAIT_S
        earlier = self._neighbours_of_earlier_rank()[:FIRST_RANKS_ASKED]
        while True:
            known = self._peers.neighbours()
            asked = {*earlier, *self._rng.sample(known, min(1, len(known)))}
            answers = await asyncio.gather(*map(self._ask, sorted(asked)))
            for answer in answers:
                if isinstance(answer, FleetSnapshot):
                    return answer
            earlier = [each for each in earlier if each in answers]
            if not earlier or self._clock.now_s() >= ends_s:
                return None
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)

    async def _ask(self, daemon: str) -> FleetSnapshot | str:
        """Return a daemon's snapshot, or its name if it answers without one."""
        match await self._neighbours.fetch_snapshot(daemon):
            case Result(tag="ok", ok=snapshot):
                return snapshot
            case Result(error=problem):
                return daemon if problem.is_answered else ""

    def _neighbours_of_earlier_rank(self) -> list[str]:
        """Return the neighbours that rank before this daemon, the first one first."""
        data_centre = self._settings.data_centre
        names = [self._settings.vm_name, *self._peers.neighbours()]
        ranks = {
            each: rank_of(each, data_centre, {data_centre: names}) for each in names
        }
        own_rank = ranks[self._settings.vm_name]
        return sorted(
            (each for each in names if ranks[each] < own_rank), key=ranks.__getitem__
        )

    async def _greet_all(self) -> None:
        """Learn of further daemons, and send a hello to all."""
        known = self._peers.neighbours()
        if known:
            asked = self._rng.choice(known)
            match await self._neighbours.fetch_daemons(asked):
                case Result(tag="ok", ok=hellos):
                    self._peers.add_daemons(hellos)
                case Result(error=problem):
                    log(DAEMONS_NOT_LISTED, daemon=asked, detail=problem.detail)
        self._send_hello(all_data_centres=True)

    def _send_hello(self, *, all_data_centres: bool) -> None:
        self._peers.send_hello(self.hello, all_data_centres=all_data_centres)

    async def _create_key(self, key: bytes) -> StoreRow | None:
        """Create the fleet's key; return its row, or that of the one that exists."""
        match await self._store.create_row(Table.DAEMONS, KEY_ROW, key):
            case Result(tag="ok", ok=version):
                return StoreRow(KEY_ROW, key, version)
            case Result(error=RowConflict(row)):
                return row
            case _:
                return None

    async def _write_own_row(self) -> Result[int, StoreUnavailable]:
        settings = self._settings
        key = f"{_DAEMON_ROW_PREFIX}{settings.data_centre}/{settings.vm_name}"
        row = json.dumps(_place_of(self.hello)).encode()
        written = await self._store.put_row(Table.DAEMONS, key, row)
        if written.is_ok():
            self._row_written_s = self._clock.now_s()
        return written

    async def _restore(self, era: int) -> None:
        noticed_s = self._era_noticed_s
        row_age_s = noticed_s - self._row_written_s
        settings = self._settings
        restoring = restoring_after_return(
            row_age_s=row_age_s,
            key_age_s=noticed_s - self._key_known_s,
            rank=rank_of(
                settings.vm_name, settings.data_centre, self._peers.live_daemons()
            ),
            chosen=self._rng.random(),
        )
        if restoring.quarantines_delay_s is not None:
            await self._sleep_until(noticed_s + restoring.quarantines_delay_s)
            self._on_missing_quarantines()
        if restoring.row_delay_s is not None:
            await self._sleep_until(noticed_s + restoring.row_delay_s)
            await self._repeat(era, self._restore_own_row)
        if restoring.creates_key:
            await self._repeat(era, self._restore_key)
        if restoring.key_read_delay_s is not None:
            await self._sleep_until(noticed_s + restoring.key_read_delay_s)
            await self._repeat(era, self._check_key)
        if era != self._era:
            return
        self._rows_era = era
        if restoring.row_delay_s is not None:
            log(
                ROWS_RESTORED,
                era=era,
                row=True,
                key=_key_step(restoring),
                age_s=round(row_age_s, 1),
            )

    async def _repeat(self, era: int, step: Callable[[], Awaitable[bool]]) -> None:
        """Repeat a step until it succeeds, or until the store has returned again."""
        pause_s = MIN_RETRY_S
        while era == self._era and not await step():
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_S, pause_s * 2)

    async def _sleep_until(self, due_s: float) -> None:
        await asyncio.sleep(max(0.0, due_s - self._clock.now_s()))

    async def _restore_own_row(self) -> bool:
        return (await self._write_own_row()).is_ok()

    async def _restore_key(self) -> bool:
        key = self._peers.key
        row = await self._create_key(key) if key is not None else None
        return row is not None and await self._adopt_key(row)

    async def _check_key(self) -> bool:
        page = await self._read_page(KEY_ROW)
        if page is None:
            return False
        row = next((each for each in page.rows if each.key == KEY_ROW), None)
        # The daemons of the first ranks may have ended meanwhile.
        return await (self._restore_key() if row is None else self._adopt_key(row))

    async def _adopt_key(self, row: StoreRow) -> bool:
        """Use the stored key; return whether there is one."""
        key = row.value
        if key is None or len(key) != KEY_BYTES:
            _log_refused(KEY_ROW, f"needed are {KEY_BYTES} bytes")
            return False
        self._key_known_s = self._clock.now_s()
        if key == self._peers.key:
            return True
        self._peers.key = key
        log(FLEET_KEY_REPLACED, version=describe(row.version))
        await self._read_all()
        self._send_hello(all_data_centres=True)
        return True

    def _add_peer(self, row: StoreRow) -> None:
        if row.value is None:
            return
        try:
            peer = _decode_peer(row.key, row.value)
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            # Another program may have written it; the other daemons are still found.
            _log_refused(row.key, repr(error))
            return
        self._peers.add(peer)


def _new_key() -> bytes:
    return secrets.token_bytes(KEY_BYTES)


def _key_step(restoring: Restoring) -> str:
    if restoring.creates_key:
        return "created"
    return "none" if restoring.key_read_delay_s is None else "read"


def _log_refused(key: str, problem: str) -> None:
    log(DAEMON_ROW_REFUSED, row=key, problem=problem[:PROBLEM_LENGTH])


def _place_of(hello: DaemonHello) -> dict[str, str | int]:
    return {
        "data_centre": hello.data_centre,
        "host": hello.host,
        "port": hello.port,
    }


def _decode_peer(key: str, value: bytes) -> Peer:
    place = json.loads(value)
    data_centre, host, port = place["data_centre"], place["host"], place["port"]
    if not isinstance(data_centre, str) or not is_host(host):
        raise TypeError("a data centre and a host are needed")
    if type(port) is not int or not 1 <= port <= MAX_PORT:
        raise ValueError(f"a port of 1..{MAX_PORT} is needed")
    name = key.removeprefix(_DAEMON_ROW_PREFIX).removeprefix(f"{data_centre}/")
    return Peer(name, data_centre, Address(host, port))
