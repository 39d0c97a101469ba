"""Stand-ins for the platform's store, the servers and the clients, and daemon control.

Everything runs on loopback addresses with the standard library alone. The stand-ins
keep to PROTOCOL.md: the store is linearizable and answers at once, a server runs a
request once, echoes its id and signs its answer, and a client sends whole requests
within its limits. A case adds its own disruption.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HEAD_END = b"\r\n\r\n"

EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Lines of ``record.txt``, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def write(self, *words: object) -> None:
        """Write a line."""
        at_s = time.monotonic() - self._started_s
        print(f"{at_s:9.3f}", *words, file=self._file)

    def say(self, *words: object) -> None:
        """Write a line, and print it too."""
        self.write(*words)
        print(*words, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


_taken_ports: set[int] = set()

PORTS = range(20_000, 32_000)
"""Below the usual range of ports for outgoing connections, which may take any other."""


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free on a loopback address, and not returned before."""
    for _ in range(500):
        port = random.choice(PORTS)
        if port in _taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port
    raise CouldNotRunError(f"no port of {host} is free")


def free_host(port: int) -> str:
    """Return a loopback address on which a fixed port is free."""
    for _ in range(200):
        host = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.7"
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return host
    raise CouldNotRunError(f"no loopback address has port {port} free")


@dataclass
class Message:
    """One HTTP message; ``is_whole`` tells whether its body is complete."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message."""
    text = (await reader.readuntil(HEAD_END)).decode("latin-1")
    start, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start, headers)


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks."""
    body = bytearray()
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return bytes(body)
        body += chunk[:-2]


async def read_message(reader: asyncio.StreamReader, *, is_answer: bool) -> Message:
    """Read a message with its body; interim answers are skipped."""
    message = await read_head(reader)
    while is_answer and message.status < 200:
        message = await read_head(reader)
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await read_chunked(reader)
    elif "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.headers["content-length"]))
    elif is_answer and message.status not in (204, 304):
        message.body = await reader.read()
    return message


# --------------------------------------------------------------------------- store


class Store:
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self) -> None:
        self.host, self.port = "127.0.0.1", free_port()
        self.version = 0
        self._rows: dict[tuple[str, str], tuple[str | None, int]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row, as the operator or a server does."""
        self._write(
            [(table, key, base64.b64encode(json.dumps(value).encode()).decode())]
        )

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write([(table, key, None)])

    def _write(self, rows: list[tuple[str, str, str | None]]) -> None:
        self.version += 1
        for table, key, value in rows:
            self._rows[table, key] = (value, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, table: str, key: str) -> dict[str, object]:
        value, version = self._rows.get((table, key), (None, 0))
        row: dict[str, object] = {
            "table": table,
            "part": "",
            "key": key,
            "ver": version,
        }
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                call = await read_message(reader, is_answer=False)
                status, body = await self._answer(call)
                text = json.dumps({"ver": self.version, "now": "1ms", **body}).encode()
                head = (
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n"
                )
                writer.write(head.encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, call: Message) -> tuple[int, dict[str, object]]:
        path, _, text = call.start.split(" ")[1].partition("?")
        query = dict(each.partition("=")[::2] for each in text.split("&") if each)
        if path == "/rows-get":
            start = query.get("from", "").replace("%2F", "/").replace("%00", "\0")
            keys = sorted(
                key
                for (table, key), (value, _) in self._rows.items()
                if table == query["table"] and value is not None and key >= start
            )
            rows = [self._row(query["table"], key) for key in keys[:500]]
            return 200, {"rows": rows, "hasMore": len(keys) > 500}
        if path == "/rows-feed":
            return 200, {"rows": await self._feed(query)}
        if path == "/rows-tx":
            body = json.loads(call.body)
            for each in body["expected"]:
                row = self._row(each["table"], each["key"])
                if row["ver"] != each["ver"]:
                    return 412, {"rows": [row]}
            written = [
                (each["table"], each["key"], each["value"]) for each in body["put"]
            ]
            removed = [(each["table"], each["key"], None) for each in body["remove"]]
            self._write([*written, *removed])
            return 200, {}
        return 404, {}

    async def _feed(self, query: dict[str, str]) -> list[dict[str, object]]:
        ends_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = sorted(
                (version, key)
                for (table, key), (_, version) in self._rows.items()
                if table == query["table"] and version > int(query["after"])
            )
            left_s = ends_s - time.monotonic()
            if changed or left_s <= 0:
                return [self._row(query["table"], key) for _, key in changed]
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


# ------------------------------------------------------------------------- servers


class Server:
    """A server: registers itself, runs ``slots`` requests at once and queues some."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        *,
        zone: str,
        slots: int = 3,
        work_s: float = 0.05,
    ) -> None:
        self.name = f"i-{next(self._numbers):08x}"
        self.host, self.port = "127.0.0.1", free_port()
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.runs: list[tuple[str, str, float]] = []
        self._store, self._record = store, record
        self._born = int(time.time() * 1000)
        self._busy = 0
        self._queue: deque[asyncio.Future[None]] = deque()
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self._beats = asyncio.create_task(self._beat())

    def close(self) -> None:
        """Stop listening and writing to the store."""
        if self._server is not None:
            self._server.close()
        if self._beats is not None:
            self._beats.cancel()

    async def _beat(self) -> None:
        for sequence in itertools.count(1):
            self._store.put(
                "servers",
                self.name,
                {
                    "backend": self.service,
                    "address": f"{self.host}:{self.port}",
                    "zone": self.zone,
                    "configVersion": "v1",
                    "slots": self.slots,
                    "state": "ready",
                    "warmupLeft": "0ms",
                    "sequence": sequence,
                    "born": self._born,
                },
            )
            await asyncio.sleep(1.5)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_message(reader, is_answer=False)
                await self.handle(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it, or refuse it."""
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expected-instance", self.name) != self.name:
            self._send(writer, 421, request_id, b"", "Not-Executed: 1\r\n")
            return
        if self._busy >= self.slots:
            if len(self._queue) >= 12:
                self._send(writer, 503, request_id, b"", "Not-Executed: 1\r\n")
                return
            place = asyncio.get_running_loop().create_future()
            self._queue.append(place)
            await place
        else:
            self._busy += 1
        try:
            method, path, _ = request.start.split(" ")
            self.runs.append((request_id, f"{method} {path}", time.monotonic()))
            self._record.write(self.name, "runs", request_id, method, path)
            await asyncio.sleep(self.work_s)
        finally:
            if self._queue:
                self._queue.popleft().set_result(None)
            else:
                self._busy -= 1
        signature = f"Server-Signature: {self.name}\r\n"
        self._send(writer, 200, request_id, f"ran {request_id}".encode(), signature)

    def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        body: bytes,
        more: str,
    ) -> None:
        head = (
            f"HTTP/1.1 {status} -\r\nRequest-Id: {request_id}\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)


# ------------------------------------------------------------------------- daemons

METRICS_PORT = 9464


class Daemon:
    """A daemon process, started with the command of ``deploy/system.toml``."""

    def __init__(self, store: Store, folder: Path, name: str, **settings: str) -> None:
        self.name = name
        self.host = free_host(METRICS_PORT)
        self.port = free_port(self.host)
        self.readiness_port = free_port(self.host)
        self._folder = folder
        fields = {
            "nodeName": name,
            "role": "proxy",
            "instanceClass": "edge",
            "serves": "edge",
            "ip": self.host,
            "zone": "zone-a",
            "region": "region-a",
            "listen.frontend": f"{self.host}:{self.port}",
            "listen.readiness": f"{self.host}:{self.readiness_port}",
            "portRange": f"{free_port(self.host)},7635",
            "bootstrap": "true",
            "lossCounts": "false",
            "limits.cpuShare": "0.86",
            "limits.cores": "1",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "limits.diskMb": "0",
            "discovery": "platform",
            "entrypoint": "vip",
            "heartbeat": "1500ms",
            "contracts": "base,drain,config,cost,retry,recover,health,platform",
            "bounds.reuseAfter": "2s",
            "bounds.contact": "3000ms",
            "bounds.drain": "2000ms",
            "bounds.grace": "6s",
            "bounds.config": "2000ms",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindow": "10s",
            "bounds.retryBudgetExtra": "62",
            "provider.address": f"{store.host}:{store.port}",
            **{key.replace("__", "."): value for key, value in settings.items()},
        }
        self.settings_path = folder / f"{name}.conf"
        self.settings_path.write_text(
            "".join(f"{key}={value}\n" for key, value in fields.items())
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["DOGWOODHOOK_SETTINGS"] = str(self.settings_path)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "dogwoodhook.platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until the readiness check succeeds."""
        ends_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{self.name} was not ready in time")

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.readiness_port
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(1.0):
                return (await read_head(reader)).status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is not None and self.process.poll() is not None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


# ------------------------------------------------------------------------- clients


@dataclass
class Sent:
    """A client's request and what became of it; times are of the steady clock."""

    request_id: str
    kind: str
    daemon: str
    sent_s: float
    ended_s: float | None = None
    status: int | None = None
    ending: str = "open"
    fields: dict[str, object] = field(default_factory=dict)


def request_bytes(
    method: str,
    path: str,
    host: str,
    request_id: str,
    *,
    deadline_ms: int,
    body: bytes = b"",
    **headers: str,
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + HEAD_END + body


async def send_fresh(
    daemon: Daemon, sent: Sent, request: bytes, *, deadline_s: float, record: Record
) -> None:
    """Send one request on a new connection, and wait until the deadline at most."""
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(daemon.host, daemon.port)
            sent.sent_s = time.monotonic()
            record.write("client sends", sent.request_id, sent.kind, "to", daemon.name)
            writer.write(request)
            await writer.drain()
            answer = await read_message(reader, is_answer=True)
            sent.status, sent.ending = answer.status, "answered"
    except TimeoutError:
        sent.ending = "no answer"
    except (asyncio.IncompleteReadError, OSError):
        sent.ending = "closed"
    finally:
        sent.ended_s = time.monotonic()
        if writer is not None:
            writer.close()
    record.write("client gets", sent.request_id, sent.status or sent.ending)


async def run_case(case, *, seconds: float, folder: Path) -> int:
    """Run ``case(files, record)`` with a time limit; return the exit code."""
    record = Record(folder / "record.txt")
    files = Path(tempfile.mkdtemp(prefix="case-"))
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        # The case then ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(seconds):
            return await case(files, record)
    except asyncio.CancelledError:
        record.say("could not run: ended by a signal")
        return EXIT_COULD_NOT_RUN
    except (CouldNotRunError, TimeoutError, OSError) as error:
        record.say("could not run:", repr(error))
        return EXIT_COULD_NOT_RUN
    finally:
        record.close()
        shutil.rmtree(files, ignore_errors=True)


def main(case, folder: Path, *, seconds: float = 115.0) -> None:
    """Run a case as a program."""
    sys.exit(asyncio.run(run_case(case, seconds=seconds, folder=folder)))


def has_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"
