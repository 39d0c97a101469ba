"""A request crashes the servers that run it, and all daemons are killed twice."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as standins

HOST = "hulo84.example"
SERVICE = "huvo11a"
DEADLY = "/leny950/deadly"
DEADLINE_MS = 4000

DEADLY_EVERY_S = 4.0
"""The pause after which the client sends its request again."""

CRASHED_FOR_S = 3.0
"""A crashed server is back after some seconds."""

CONTACT_S = 3.0
"""The bound ``contact``."""

DEADLY_PER_LIFE = 2
"""Sendings between two kills of all daemons."""

KILLS = 2
LAST_LIFE_S = 30.0
SOUND_PER_S = 10.0

CONFIGURATION = {
    "configVersion": 7,
    "routes": {
        "r-lookup": {
            "hostname": HOST,
            "prefix": "/leny950/",
            "routeType": "unsafe",
            "timeout": "4000ms",
            "targetLatency": "1000ms",
            "priority": 1,
            "backend": SERVICE,
            "attempts": 2,
        }
    },
    "backends": {SERVICE: {"healthPath": "/healthz", "maxConnections": 390}},
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
}


class CrashingServer(standins.Server):
    """Ends when it begins to run the deadly request, and is back after seconds."""

    def __init__(self, *arguments, crashes: list, **options) -> None:
        super().__init__(*arguments, **options)
        self._crashes = crashes
        self._writers: set[asyncio.StreamWriter] = set()
        self._is_down = False

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def handle(self, request, writer) -> None:
        """Run a request, or crash under it."""
        is_for_this = request.headers.get("expected-instance") == self.name
        if self._is_down:
            raise ConnectionResetError
        if DEADLY in request.start and is_for_this:
            self._is_down = True
            request_id = request.headers["request-id"]
            self._crashes.append((time.monotonic(), request_id, self.name))
            self._record.say(f"crash {len(self._crashes)}: {self.name}, {request_id}")
            self.close()
            for each in self._writers:
                each.transport.abort()
            self._restart = asyncio.get_running_loop().call_later(
                CRASHED_FOR_S, lambda: asyncio.ensure_future(self._return())
            )
            raise ConnectionResetError
        await super().handle(request, writer)

    async def _return(self) -> None:
        self._born = int(time.time() * 1000)
        self._busy = 0
        self._queue.clear()
        self._is_down = False
        await self.start()


class Deployment:
    """The daemons, and the moments from which each has been running."""

    def __init__(self, daemons, record) -> None:
        self.daemons, self._record = daemons, record
        self.started_s: list[float] = []
        self.sent: dict[str, float] = {}
        self._numbers = itertools.count(1)

    async def start(self) -> None:
        """Start all daemons, and wait until they are in touch."""
        for daemon in self.daemons:
            daemon.start()
        self.started_s.append(time.monotonic())
        for daemon in self.daemons:
            await daemon.wait_until_ready()
        left_s = self.started_s[-1] + CONTACT_S + 0.5 - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))

    async def kill_all(self) -> None:
        """Kill all daemons at once; they start again a second later."""
        self._record.say("all daemons are killed")
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGKILL)
        for daemon in self.daemons:
            daemon.kill()
        await asyncio.sleep(1.0)
        await self.start()

    async def send(self, path: str) -> None:
        """Send one request to the next daemon."""
        number = next(self._numbers)
        daemon = self.daemons[number % len(self.daemons)]
        sent = standins.Sent(f"q-{number:05d}", path, daemon.name, time.monotonic())
        self.sent[sent.request_id] = sent.sent_s
        request = standins.request_bytes(
            "POST", path, HOST, sent.request_id, deadline_ms=DEADLINE_MS, body=b"x"
        )
        await standins.send_fresh(
            daemon, sent, request, deadline_s=DEADLINE_MS / 1000, record=self._record
        )
        if path == DEADLY:
            self._record.say("deadly request:", sent.status or sent.ending)

    async def send_deadly_for(self, seconds: float) -> None:
        """Send the deadly request again and again."""
        ends_s = time.monotonic() + seconds
        while time.monotonic() < ends_s:
            next_s = time.monotonic() + DEADLY_EVERY_S
            await self.send(DEADLY)
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))

    async def send_sound(self) -> None:
        """Send other requests until cancelled."""
        tasks: set[asyncio.Task] = set()
        for number in itertools.count():
            task = asyncio.create_task(self.send(f"/leny950/{number}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / SOUND_PER_S)


async def case(files: Path, record: standins.Record) -> int:
    """Start the deployment, and play the case."""
    store = standins.Store()
    await store.start()
    store.put("op", "config", CONFIGURATION)
    crashes: list = []
    servers = [
        CrashingServer(
            store, record, SERVICE, zone="zone-a", work_s=0.1, crashes=crashes
        )
        for _ in range(8)
    ]
    for server in servers:
        await server.start()
    daemons = [standins.Daemon(store, files, f"edge-{number}") for number in range(3)]
    deployment = Deployment(daemons, record)
    sound = None
    try:
        await deployment.start()
        sound = asyncio.create_task(deployment.send_sound())
        await asyncio.sleep(1.0)
        for _ in range(KILLS):
            await deployment.send_deadly_for(DEADLY_PER_LIFE * DEADLY_EVERY_S)
            if standins.has_trouble():
                await deployment.kill_all()
        await deployment.send_deadly_for(LAST_LIFE_S)
        return judge(deployment, crashes, record)
    finally:
        if sound is not None:
            sound.cancel()
        for daemon in daemons:
            daemon.kill()
        for server in servers:
            server.close()
        store.close()


def judge(deployment, crashes, record) -> int:
    """Check BUDGET: arrivals after the third crash, sent by machines in touch."""
    counted = []
    for at_s, request_id, _ in crashes[3:]:
        sent_s = deployment.sent[request_id]
        is_in_touch = all(
            not started_s - 1.5 < sent_s < started_s + CONTACT_S
            for started_s in deployment.started_s
        )
        if is_in_touch and sent_s > crashes[2][0] + CONTACT_S:
            counted.append(request_id)
        record.say(f"{request_id} arrived {at_s - crashes[2][0]:.1f} s after the third")
    record.say(
        f"{len(crashes)} servers crashed; {len(counted)} arrivals later than contact"
        " after the third, sent by daemons in touch"
    )
    if len(counted) > 3:
        record.say("BUDGET is broken")
        return standins.EXIT_BROKEN
    record.say("BUDGET holds")
    return standins.EXIT_HELD


if __name__ == "__main__":
    standins.main(case, Path(__file__).resolve().parent)
