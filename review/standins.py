"""Stand-ins for the platform's store, its servers and clients, and daemon processes.

Everything runs on loopback addresses and on the real clock. The store and the servers
follow the users' pages; a case adds the one disruption that it is about.
"""

import asyncio
import base64
import functools
import itertools
import json
import os
import random
import socket
import sys
import tempfile
import time
from collections import defaultdict
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HEAD_END = b"\r\n\r\n"
HEARTBEAT_S = 1.5
EXPIRY_S = 3 * HEARTBEAT_S
METRICS_PORT = 9464
MAX_RUN_S = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

REASONS = {
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    412: "Precondition Failed",
    421: "Misdirected Request",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Record:
    """The file with what was sent, answered and run, in seconds since the start."""

    def __init__(self, path):
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def now_s(self):
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    def write(self, text):
        """Write a line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


@dataclass
class Message:
    """A request or an answer."""

    first_line: str
    headers: dict
    body: bytes

    @property
    def status(self):
        """Return an answer's status."""
        return int(self.first_line.split(" ")[1])

    @property
    def request_id(self):
        """Return the id of the request that it belongs to."""
        return self.headers.get("request-id", "")


class Connection:
    """One end of a connection, with the bytes that were received and not yet used."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.buffer = b""
        self._filling = None

    def fill(self):
        """Return a task that receives more bytes; its result is false at the end."""
        if self._filling is None or self._filling.done():
            self._filling = asyncio.create_task(self._fill())
        return self._filling

    async def _fill(self):
        try:
            data = await self.reader.read(65536)
        except ConnectionError:
            return False
        self.buffer += data
        return bool(data)

    async def _take(self, size):
        while len(self.buffer) < size:
            if not await asyncio.shield(self.fill()):
                raise EOFError
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    async def _take_line(self, end):
        while end not in self.buffer:
            if not await asyncio.shield(self.fill()):
                raise EOFError
        return await self._take(self.buffer.index(end) + len(end))

    async def receive(self):
        """Return the next message, or raise ``EOFError``."""
        first_line, *lines = (await self._take_line(HEAD_END)).decode().split("\r\n")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        if "chunked" in headers.get("transfer-encoding", ""):
            body = await self._take_chunks()
        else:
            body = await self._take(int(headers.get("content-length", 0)))
        return Message(first_line, headers, body)

    async def _take_chunks(self):
        body = b""
        while size := int((await self._take_line(b"\r\n")).split(b";")[0], 16):
            body += await self._take(size)
            await self._take(2)
        await self._take_line(b"\r\n")
        return body

    def send(self, status, body=b"", *, share=1.0, **headers):
        """Send an answer, or only a share of its body."""
        lines = [f"HTTP/1.1 {status} {REASONS[status]}", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {each}" for name, each in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + HEAD_END)
        self.writer.write(body[: int(len(body) * share)])

    def abort(self):
        """Close the connection at once."""
        self.writer.transport.abort()


def free_port(host):
    """Return a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            return port


class Store:
    """The platform's store: rows, a feed of their changes, conditional writes."""

    def __init__(self, host):
        self.host = host
        self.version = 0
        # Names of the daemons that are partitioned from the store.
        self.cut_off = set()
        # Called with a daemon's name and the target of each call of it.
        self.on_call = lambda daemon, target: None
        self._rows = {}
        self._changed = asyncio.Condition()
        self._connections = {}

    async def open_for(self, daemon, stack):
        """Accept a daemon's calls until the stack closes; return the port."""
        port = free_port(self.host)
        server = await asyncio.start_server(
            functools.partial(self._serve, daemon), self.host, port
        )
        stack.callback(server.close)
        return port

    def cut(self, daemon):
        """Reset a daemon's connections, and those that it opens until healed."""
        self.cut_off.add(daemon)
        for connection, name in self._connections.items():
            if name == daemon:
                connection.abort()

    async def put(self, table, key, value):
        """Write a row, as an operator or a server does."""
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        await self._write([(table, "", key, raw)])

    async def remove(self, table, *keys):
        """Remove rows."""
        await self._write([(table, "", key, None) for key in keys])

    async def _write(self, entries):
        async with self._changed:
            self.version += 1
            for table, part, key, raw in entries:
                self._rows[table, part, key] = (raw, self.version)
            self._changed.notify_all()

    async def _serve(self, daemon, reader, writer):
        connection = Connection(reader, writer)
        self._connections[connection] = daemon
        try:
            while True:
                request = await connection.receive()
                method, target, _ = request.first_line.split(" ")
                self.on_call(daemon, target)
                if daemon in self.cut_off:
                    connection.abort()
                    return
                await asyncio.sleep(0.004)
                status, body = await self._answer(method, target, request.body)
                connection.send(status, json.dumps(body).encode())
        except (EOFError, ConnectionError):
            pass
        finally:
            del self._connections[connection]
            writer.close()

    async def _answer(self, method, target, body):
        path, _, text = target.partition("?")
        query = {}
        for pair in filter(None, text.split("&")):
            name, _, value = pair.partition("=")
            query[name] = unquote(value)
        match method, path:
            case "GET", "/rows-get":
                return 200, self._get(query)
            case "GET", "/rows-feed":
                return 200, await self._feed(query)
            case "POST", "/rows-tx":
                return await self._transact(json.loads(body))
        return 404, {}

    def _row(self, place):
        table, part, key = place
        raw, version = self._rows.get(place, (None, 0))
        row = {"table": table, "part": part, "key": key, "ver": version}
        return {**row, "deleted": True} if raw is None else {**row, "value": raw}

    def _stamp(self):
        return {"ver": self.version, "now": f"{time.monotonic() * 1000:.0f}ms"}

    def _get(self, query):
        start, end = query.get("from", ""), query.get("to")
        places = sorted(
            place
            for place, (raw, _) in self._rows.items()
            if place[:2] == (query["table"], query.get("part", ""))
            and raw is not None
            and place[2] >= start
            and (end is None or place[2] < end)
        )
        limit = min(500, int(query.get("limit", 500)))
        rows = [self._row(place) for place in places[:limit]]
        return {"rows": rows, "hasMore": len(places) > limit, **self._stamp()}

    async def _feed(self, query):
        after = int(query["after"])

        def changes():
            found = [
                (version, place)
                for place, (_, version) in self._rows.items()
                if place[0] == query["table"] and version > after
            ]
            return [self._row(place) for _, place in sorted(found)]

        async with self._changed:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("waitMs", 0)) / 1000):
                    await self._changed.wait_for(changes)
            return {"rows": changes(), **self._stamp()}

    async def _transact(self, body):
        def place_of(row):
            return row["table"], row.get("part", ""), row["key"]

        rows = [*body.get("put", []), *body.get("remove", [])]
        if any(row["table"] in ("op", "servers") for row in rows):
            return 403, {}
        known = [(self._row(place_of(row)), row) for row in body.get("expected", [])]
        if any(current["ver"] != row["ver"] for current, row in known):
            return 412, {"rows": [current for current, _ in known], **self._stamp()}
        await self._write(
            [(*place_of(row), row["value"]) for row in body.get("put", [])]
            + [(*place_of(row), None) for row in body.get("remove", [])]
        )
        return 200, self._stamp()


def unquote(text):
    """Return a query's value without its encoding."""
    first, *others = text.replace("+", " ").encode().split(b"%")
    return (
        first + b"".join(bytes([int(each[:2], 16)]) + each[2:] for each in others)
    ).decode()


@dataclass(eq=False)
class Server:
    """A server of a service, with slots, a queue, and an entry in the store.

    ``on_run`` is called with the server and a request when work on it begins, and may
    return a text: ``lose`` for an answer that is lost, ``break`` for one that breaks
    off, ``crash`` for the end of the server. ``make_body`` returns the body of an
    answer. ``arrivals`` and ``runs`` hold the time and the message of each request that
    arrived or ran.
    """

    world: "World"
    service: str
    zone: str
    work_s: float = 0.05
    slots: int = 3
    queue: int = 12
    down_s: float = 3.0
    on_run: object = lambda server, request: ""
    make_body: object = lambda server, request: f"{server.name} ran it".encode()
    name: str = ""
    port: int = 0
    arrivals: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    crashed_s: list = field(default_factory=list)

    def __post_init__(self):
        self.port = free_port(self.world.host)
        self._connections = set()
        self._listener = None
        self._beating = None
        self._waiting = 0

    async def start(self):
        """Accept connections, and register."""
        self.name = f"i-{random.getrandbits(40):010x}"
        self._slots = asyncio.Semaphore(self.slots)
        self._born_ms = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._listener = await asyncio.start_server(
            self._serve, self.world.host, self.port
        )
        await self.register()
        self._beating = self.world.spawn(self._beat())

    async def register(self):
        """Write the entry."""
        entry = {
            "backend": self.service,
            "address": f"{self.world.host}:{self.port}",
            "zone": self.zone,
            "configVersion": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmupLeft": "0ms",
            "sequence": next(self._sequence),
            "born": self._born_ms,
        }
        await self.world.store.put("servers", self.name, entry)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    def stop_beating(self):
        """Write the entry no more; it stays until it is removed."""
        if self._beating is not None:
            self._beating.cancel()

    def end(self):
        """End the process: the port and all connections close."""
        self.stop_beating()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in tuple(self._connections):
            connection.abort()

    def crash(self):
        """End the process, and start another one after some seconds."""
        self.crashed_s.append(self.world.record.now_s())
        self.world.record.write(f"crash server={self.name} service={self.service}")
        self.end()
        self.world.spawn(self._expire(self.name))
        self.world.spawn(self._return())

    async def _expire(self, name):
        await asyncio.sleep(EXPIRY_S)
        await self.world.store.remove("servers", name)

    async def _return(self):
        await asyncio.sleep(self.down_s)
        await self.start()

    async def _serve(self, reader, writer):
        connection = Connection(reader, writer)
        self._connections.add(connection)
        try:
            while not writer.is_closing():
                async with asyncio.timeout(10.0):
                    request = await connection.receive()
                await self._handle(connection, request)
        except (EOFError, ConnectionError, TimeoutError):
            pass
        finally:
            self._connections.discard(connection)
            writer.close()

    async def _handle(self, connection, request):
        name, now_s = self.name, self.world.record.now_s()
        echo = {"Request-Id": request.request_id, "Keep-Alive": "timeout=10"}
        if request.headers.get("expected-instance", name) != name:
            connection.send(421, Instance_Id=name, **echo)
            return
        self.arrivals.append((now_s, request))
        if not request.request_id:
            connection.send(400, Not_Executed="1")
            return
        if self._waiting >= self.queue + self.slots:
            connection.send(503, Not_Executed="1", **echo)
            return
        self._waiting += 1
        work = asyncio.create_task(self._work(connection, request, echo))
        try:
            while not work.done():
                filling = connection.fill()
                await asyncio.wait({work, filling}, return_when=asyncio.FIRST_COMPLETED)
                if filling.done() and not filling.result():
                    # The request's connection has closed.
                    raise EOFError
        finally:
            work.cancel()
            self._waiting -= 1

    async def _work(self, connection, request, echo):
        limit_s = int(request.headers.get("deadline-ms", 60000)) / 1000
        record, name = self.world.record, self.name
        try:
            async with asyncio.timeout(limit_s), self._slots:
                self.runs.append((record.now_s(), request))
                record.write(
                    f"run server={name} service={self.service}"
                    f" id={request.request_id} {request.first_line}"
                )
                fate = self.on_run(self, request)
                await asyncio.sleep(self.work_s)
        except TimeoutError:
            connection.send(504, Server_Signature=name, **echo)
            return
        if fate == "crash":
            self.crash()
        elif fate == "lose":
            record.write(f"answer lost server={name} id={request.request_id}")
            connection.abort()
        else:
            body = self.make_body(self, request)
            share = 0.9 if fate == "break" else 1.0
            connection.send(200, body, share=share, Server_Signature=name, **echo)
            await connection.writer.drain()
            if fate == "break":
                record.write(f"answer broken off server={name} id={request.request_id}")
                connection.writer.close()


@dataclass(eq=False)
class Daemon:
    """A daemon that runs as a process, with the command of the deploy file."""

    world: "World"
    name: str
    zone: str
    host: str
    store_port: int
    process: object = None

    def __post_init__(self):
        self.port, self._ready_port, self._admin_port, self._peer_port = (
            free_port(self.host) for _ in range(4)
        )
        self._settings = self.world.folder / f"{self.name}.conf"
        self._log = (self.world.folder / f"{self.name}.log").open("ab")

    async def start(self, **bounds):
        """Write the settings file, and start the process."""
        store, host = self.world.store, self.host
        fields = {
            "nodeName": self.name,
            "role": "proxy",
            "instanceClass": "edge",
            "serves": "edge",
            "ip": host,
            "zone": self.zone,
            "listen.frontend": f"{host}:{self.port}",
            "listen.readiness": f"{host}:{self._ready_port}",
            "listen.admin": f"{host}:{self._admin_port}",
            "portRange": f"{self._peer_port},{self._peer_port}",
            "bootstrap": "true",
            "heartbeat": "1500ms",
            "bounds.contact": "3000ms",
            "bounds.drain": "2000ms",
            "bounds.grace": "6s",
            "bounds.config": "2000ms",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindow": "10s",
            "bounds.retryBudgetExtra": "56",
            "provider.address": f"{store.host}:{self.store_port}",
            "provider.form": "table",
            **bounds,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self._settings.write_text(text)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["DOGWOODHOOK_SETTINGS"] = str(self._settings)
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "dogwoodhook.platform",
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )
        self.world.record.write(f"start daemon={self.name}")

    async def is_ready(self):
        """Return whether the daemon says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self._ready_port)
        except OSError:
            return False
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def kill(self):
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.world.record.write(f"kill daemon={self.name}")
            self.process.kill()
            await self.process.wait()

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)


class World:
    """A small deployment: a store, servers and daemons."""

    def __init__(self, record, folder, stack):
        self.record, self.folder = record, folder
        self._stack = stack
        self._tasks = set()
        network = f"127.{random.randrange(60, 250)}.{random.randrange(250)}"
        self.host = f"{network}.1"
        self._daemon_hosts = (f"{network}.{each}" for each in range(11, 100))
        self.store = Store(self.host)
        self.servers, self.daemons = [], []
        self._ids = itertools.count(1)
        self.answers = {}

    def spawn(self, work):
        """Run a task until the world closes."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def add_servers(self, service, count, **options):
        """Start servers of a service, in two zones by turns."""
        added = []
        for number in range(count):
            server = Server(self, service, f"zone-{'ab'[number % 2]}", **options)
            await server.start()
            added.append(server)
        self.servers += added
        return added

    async def add_daemons(self, count):
        """Start daemons, in two zones by turns, and wait until they are ready."""
        for number in range(count):
            host = next(self._daemon_hosts)
            with socket.socket() as metrics:
                metrics.bind((host, METRICS_PORT))
            zone = f"zone-{'ab'[number % 2]}"
            name = f"edge-{zone}-{number}"
            store_port = await self.store.open_for(name, self._stack)
            daemon = Daemon(self, name, zone, host, store_port)
            await daemon.start()
            self.daemons.append(daemon)
        await self.wait_until_ready()

    async def wait_until_ready(self):
        """Wait until all daemons are ready, at most 20 s."""
        async with asyncio.timeout(20.0):
            while not all([await each.is_ready() for each in self.daemons]):
                await asyncio.sleep(0.1)

    async def configure(self, version, routes, services):
        """Write a version of the configuration."""
        self.record.write(f"configuration {version}: {json.dumps(routes)}")
        configuration = {
            "configVersion": version,
            "routes": routes,
            "backends": {
                name: {"healthPath": "/healthz", "maxConnections": 330}
                for name in services
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
        }
        await self.store.put("op", "config", configuration)

    async def send(self, daemon, method, path, body=b"", *, source="", deadline_s=5.0):
        """Send a request on a new connection; return its id and the status, or 0."""
        request_id = f"{next(self._ids):016x}"
        head = [
            f"{method} {path} HTTP/1.1",
            "Host: tills.example",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_s * 1000:.0f}",
        ]
        if method != "GET":
            head.append(f"Content-Length: {len(body)}")
        self.record.write(f"send id={request_id} {method} {path} to={daemon.name}")
        status, detail = 0, "no answer"
        with suppress(EOFError, OSError, TimeoutError):
            async with asyncio.timeout(deadline_s):
                reader, writer = await asyncio.open_connection(
                    daemon.host,
                    daemon.port,
                    local_addr=(source, 0) if source else None,
                )
                try:
                    writer.write("\r\n".join(head).encode() + HEAD_END + body)
                    answer = await Connection(reader, writer).receive()
                    status, detail = answer.status, answer.body[:60]
                finally:
                    writer.close()
        self.answers[request_id] = status
        self.record.write(f"answer id={request_id} status={status} {detail!r}")
        return request_id, status

    def runs_by_id(self):
        """Return the servers that ran each request, by its id."""
        found = defaultdict(list)
        for server in self.servers:
            for at_s, request in server.runs:
                found[request.request_id].append((at_s, server.service, server.port))
        return found

    async def close(self):
        """End all processes and tasks."""
        for daemon in self.daemons:
            await daemon.kill()
        for task in tuple(self._tasks):
            task.cancel()
        for server in self.servers:
            server.end()
        # The connections of the processes that have ended close meanwhile.
        await asyncio.sleep(0.2)


def route(prefix, kind, **changes):
    """Return a route like those of the site."""
    return {
        "hostname": "tills.example",
        "prefix": prefix,
        "routeType": kind,
        "timeout": "4000ms",
        "targetLatency": "800ms",
        "priority": 1,
        "attempts": 2,
        **changes,
    }


def main(play, folder):
    """Play a case, write its record, and exit with its result.

    ``play`` gets the world and whether there is trouble, and returns whether the rule
    was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")

    async def run():
        async with AsyncExitStack() as stack:
            temporary = stack.enter_context(tempfile.TemporaryDirectory())
            world = World(record, Path(temporary), stack)
            stack.push_async_callback(world.close)
            async with asyncio.timeout(MAX_RUN_S):
                is_broken = await play(world, has_trouble)
            for daemon in world.daemons:
                if keep := os.environ.get("KEEP_LOGS"):
                    log = (world.folder / f"{daemon.name}.log").read_text()
                    (Path(keep) / f"{daemon.name}.log").write_text(log)
            return is_broken

    code = NOT_RUN
    try:
        code = BROKEN if asyncio.run(run()) else HELD
    except Exception as error:  # The case could not run, whatever the reason.
        record.write(f"not run: {error!r}")
        print(f"not run: {error!r}")
    record.write(f"exit {code}")
    record.close()
    sys.exit(code)
