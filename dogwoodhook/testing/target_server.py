"""A stand-in for a target: slots, queue, drain, shed, deadlines and faults.

A request to a path other than those below is work. It holds one of the target's slots
for the service time and is answered with the caller's nonce, and the digest and size
of the uploaded body. With ``?size=N``, the answer is a download of N bytes instead;
``?service_time_ms=T`` sets the service time. ``/healthz`` and ``/load`` report the
state of ``report_lag_ms`` ago.

``PUT /_faults`` replaces all faults at once; ``/_record`` returns what the target
ran. Both accept ``?port=`` for another target of the same process, so that a target
that is down can be controlled::

    curl -X PUT localhost:20000/_faults -d '{"failing_share": 0.3}'
    curl 'localhost:20000/_record?port=20003'
"""

import asyncio
import contextlib
import hashlib
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from aiohttp import web
from pydantic import BaseModel, ValidationError

from dogwoodhook.clock import SystemClock
from dogwoodhook.protocol.headers import (
    IDEMPOTENCY_KEY_HEADER,
    TARGET_DRAINING,
    TARGET_HEADER,
    TARGET_SHED,
    TIMEOUT_HEADER,
    WORKSPACE_HEADER,
)
from dogwoodhook.testing.serving import (
    LOOPBACK,
    SHUTDOWN_TIMEOUT_S,
    wait_for_stop_signal,
)
from dogwoodhook.testing.target_faults import HealthReport, TargetFaults
from dogwoodhook.testing.target_record import Run, RunPhase, TargetRecord

NONCE_HEADER = "Dogwoodhook-Nonce"
"""Header with which a caller recognises the answer to its own request."""

CRASH_HEADER = "Dogwoodhook-Crash"
"""Request header that crashes the target."""

COLD_START_FACTOR = 5.0
CHUNK_BYTES = 64 * 1024
PATTERN = bytes(range(251)) * 261
REPORT_LIMIT = 1_000

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Capacity and timing of a target."""

    slots: int = 3
    queue_limit: int = 32
    service_time_ms: float = 5.0
    cold_start_ms: int = 0
    report_lag_ms: int = 0


class LoadBody(BaseModel):
    """Answers ``GET /load``."""

    slots: int
    in_flight: int
    queued: int
    is_draining: bool


@dataclass(frozen=True, slots=True)
class _Report:
    at_s: float
    is_healthy: bool
    load: LoadBody


@dataclass(slots=True)
class _Capacity:
    """Slots of a target, and their use, from a start to the next crash."""

    slots: asyncio.Semaphore
    in_flight: int = 0
    queued: int = 0
    crashed: asyncio.Event = field(default_factory=asyncio.Event)


class _CrashError(Exception):
    """The target crashed while it ran a request."""


class TargetServer:
    """One target on one port.

    >>> async def serve():
    ...     async with TargetServer() as target:
    ...         print(target.port)
    """

    def __init__(
        self, settings: TargetSettings | None = None, *, port: int = 0
    ) -> None:
        self.settings = settings or TargetSettings()
        self.port = port
        self.record = TargetRecord()
        self.faults = TargetFaults()
        self.siblings: Mapping[int, TargetServer] = {}
        self._clock = SystemClock()
        self._random = random.Random(port)
        self._capacity = self._new_capacity()
        self._reports: deque[_Report] = deque(maxlen=REPORT_LIMIT)
        self._silenced_transports: set[asyncio.BaseTransport] = set()
        self._runner: web.AppRunner | None = None
        self._restart: asyncio.Task[None] | None = None
        self._started_s = 0.0

    async def __aenter__(self) -> "TargetServer":
        await self._listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._restart is not None:
            self._restart.cancel()
        await self._close()

    async def set_faults(self, faults: TargetFaults) -> None:
        """Replace the faults in force."""
        was_down = self.faults.is_down
        self.faults = faults
        if faults.silences_connections:
            self._silence_connections()
        if faults.is_down and not was_down:
            await self._close()
        if was_down and not faults.is_down and self._runner is None:
            await self._listen()
        self._record_report()

    def crash(self) -> None:
        """Abort every connection, and listen again, cold, after ``restart_ms``."""
        if self._runner is None:
            return
        for transport in self._connections():
            transport.abort()
        self._capacity.crashed.set()
        self._restart = asyncio.get_running_loop().create_task(self._restart_cold())

    async def _restart_cold(self) -> None:
        await self._close()
        await asyncio.sleep(self.faults.restart_ms / 1000)
        if not self.faults.is_down:
            await self._listen()

    def _new_capacity(self) -> _Capacity:
        return _Capacity(asyncio.Semaphore(self.settings.slots))

    async def _listen(self) -> None:
        self._capacity = self._new_capacity()
        runner = web.AppRunner(
            self._make_app(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        site = web.TCPSite(runner, LOOPBACK, self.port, reuse_address=True)
        await site.start()
        self._runner = runner
        self.port = runner.addresses[0][1]
        self._started_s = self._clock.now_s()
        self._record_report()

    async def _close(self) -> None:
        runner, self._runner = self._runner, None
        if runner is None:
            return
        for transport in self._connections_of(runner):
            transport.abort()
        self._capacity.crashed.set()
        await runner.cleanup()

    def _make_app(self) -> web.Application:
        app = web.Application(middlewares=[self._withhold_answer])
        app.router.add_get("/healthz", self._get_health)
        app.router.add_get("/load", self._get_load)
        app.router.add_get("/_faults", self._get_faults)
        app.router.add_put("/_faults", self._put_faults)
        app.router.add_get("/_record", self._get_record)
        app.router.add_delete("/_record", self._delete_record)
        app.router.add_route("*", "/{path:.*}", self._work)
        return app

    # Connections

    def _connections(self) -> list[asyncio.Transport]:
        return self._connections_of(self._runner)

    def _connections_of(self, runner: web.AppRunner | None) -> list[asyncio.Transport]:
        if runner is None or runner.server is None:
            return []
        transports = [each.transport for each in runner.server.connections]
        return [each for each in transports if isinstance(each, asyncio.Transport)]

    def _silence_connections(self) -> None:
        for transport in self._connections():
            transport.pause_reading()
            self._silenced_transports.add(transport)

    @web.middleware
    async def _withhold_answer(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        transport = request.transport
        response = await handler(request)
        if transport in self._silenced_transports and request.path != "/_faults":
            await asyncio.Event().wait()
        return response

    # Work

    async def _work(self, request: web.Request) -> web.StreamResponse:
        self.record.received += 1
        timeout_s = self._timeout_s(request)
        if self.faults.is_draining:
            return self._refuse(TARGET_DRAINING)
        if self.faults.is_shedding:
            return self._refuse(TARGET_SHED)
        capacity = self._capacity
        if not await self._acquire_slot(capacity, timeout_s):
            return self._refuse(TARGET_SHED)
        try:
            return await self._run(request, capacity, timeout_s)
        finally:
            capacity.in_flight -= 1
            capacity.slots.release()
            self._record_report()

    async def _acquire_slot(self, capacity: _Capacity, timeout_s: float | None) -> bool:
        if capacity.slots.locked() and capacity.queued >= self.settings.queue_limit:
            return False
        capacity.queued += 1
        self._record_report()
        try:
            async with asyncio.timeout(timeout_s):
                await capacity.slots.acquire()
        except TimeoutError:
            return False
        finally:
            capacity.queued -= 1
        capacity.in_flight += 1
        self._record_report()
        return True

    def _refuse(self, declaration: str) -> web.Response:
        self.record.shed += 1
        return web.Response(
            status=503, headers={TARGET_HEADER: declaration}, text=declaration
        )

    async def _run(
        self, request: web.Request, capacity: _Capacity, timeout_s: float | None
    ) -> web.StreamResponse:
        run = self._start_run(request)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._run_to_end(request, capacity, run)
        except TimeoutError:
            return web.Response(status=504, text="the deadline passed")
        except _CrashError:
            _abort(request)
            return web.Response(status=500)
        finally:
            self._end_run(run)

    async def _run_to_end(
        self, request: web.Request, capacity: _Capacity, run: Run
    ) -> web.StreamResponse:
        digest = hashlib.sha256()
        size = 0
        async for chunk in request.content.iter_chunked(CHUNK_BYTES):
            digest.update(chunk)
            size += len(chunk)
        if CRASH_HEADER in request.headers or request.path in self.faults.crash_paths:
            self.crash()
        await _wait_service_time(self._service_time_s(request), capacity)
        response = await self._answer(request, digest.hexdigest(), size)
        run.status = response.status
        run.phase = RunPhase.FINISHED
        return response

    async def _answer(
        self, request: web.Request, digest: str, size: int
    ) -> web.StreamResponse:
        headers = {NONCE_HEADER: request.headers.get(NONCE_HEADER, "")}
        if self._fails(request):
            return web.Response(
                status=self.faults.failing_status, headers=headers, text="failed"
            )
        if "size" in request.query:
            return await _send_pattern(request, headers)
        body = {"nonce": headers[NONCE_HEADER], "sha256": digest, "size": size}
        return web.json_response(body, headers=headers)

    def _start_run(self, request: web.Request) -> Run:
        run = Run(
            method=request.method,
            path=request.path,
            workspace=request.headers.get(WORKSPACE_HEADER, ""),
            nonce=request.headers.get(NONCE_HEADER, ""),
            idempotency_key=request.headers.get(IDEMPOTENCY_KEY_HEADER, ""),
            started_s=self._clock.now_s(),
        )
        self.record.runs.append(run)
        return run

    def _end_run(self, run: Run) -> None:
        run.ended_s = self._clock.now_s()
        if run.phase is RunPhase.STARTED:
            run.phase = RunPhase.CUT

    def _timeout_s(self, request: web.Request) -> float | None:
        text = request.headers.get(TIMEOUT_HEADER, "")
        if self.faults.ignores_timeouts or not text.isdecimal():
            return None
        return int(text) / 1000

    def _service_time_s(self, request: web.Request) -> float:
        text = request.query.get("service_time_ms")
        time_ms = float(text) if text else self.settings.service_time_ms
        if self._random.random() < self.faults.slow_share:
            time_ms *= self.faults.slow_factor
        if self._is_cold():
            time_ms *= COLD_START_FACTOR
        return time_ms / 1000

    def _is_cold(self) -> bool:
        age_s = self._clock.now_s() - self._started_s
        return age_s * 1000 < self.settings.cold_start_ms

    def _fails(self, request: web.Request) -> bool:
        workspace = request.headers.get(WORKSPACE_HEADER, "")
        if workspace in self.faults.failing_workspaces:
            return True
        return self._random.random() < self.faults.failing_share

    # Reports

    def _record_report(self) -> None:
        load = LoadBody(
            slots=self.settings.slots,
            in_flight=self._capacity.in_flight,
            queued=self._capacity.queued,
            is_draining=self.faults.is_draining,
        )
        is_healthy = not (self.faults.is_draining or self.faults.is_shedding)
        self._reports.append(_Report(self._clock.now_s(), is_healthy, load))

    def _lagging_report(self) -> _Report:
        latest_s = self._clock.now_s() - self.settings.report_lag_ms / 1000
        while len(self._reports) > 1 and self._reports[1].at_s <= latest_s:
            self._reports.popleft()
        return self._reports[0]

    async def _get_health(self, request: web.Request) -> web.Response:
        match self.faults.health:
            case HealthReport.GOOD:
                is_healthy = True
            case HealthReport.BAD:
                is_healthy = False
            case HealthReport.TRUTHFUL:
                is_healthy = self._lagging_report().is_healthy
        return web.Response(status=200 if is_healthy else 503)

    async def _get_load(self, request: web.Request) -> web.Response:
        load = self._lagging_report().load
        if self.faults.reported_in_flight is not None:
            reported = {"in_flight": self.faults.reported_in_flight}
            load = load.model_copy(update=reported)
        return _json(load)

    # Control endpoints

    def _selected(self, request: web.Request) -> "TargetServer":
        port = request.query.get("port")
        if port is None:
            return self
        sibling = self.siblings.get(int(port)) if port.isdecimal() else None
        if sibling is None:
            allowed = ", ".join(map(str, self.siblings))
            raise web.HTTPNotFound(text=f"received port {port}, allowed {allowed}")
        return sibling

    async def _get_faults(self, request: web.Request) -> web.Response:
        return _json(self._selected(request).faults)

    async def _put_faults(self, request: web.Request) -> web.Response:
        target = self._selected(request)
        try:
            faults = TargetFaults.model_validate_json(await request.read())
        except ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        await target.set_faults(faults)
        return web.Response(status=204)

    async def _get_record(self, request: web.Request) -> web.Response:
        record = self._selected(request).record
        return _json(record.body(request.query.get("nonce")))

    async def _delete_record(self, request: web.Request) -> web.Response:
        self._selected(request).record.clear()
        return web.Response(status=204)


async def _wait_service_time(time_s: float, capacity: _Capacity) -> None:
    if time_s > 0:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(time_s):
                await capacity.crashed.wait()
    if capacity.crashed.is_set():
        raise _CrashError


async def run_targets(ports: Iterable[int], settings: TargetSettings) -> None:
    """Serve a target on each port until the process receives a stop signal."""
    targets = {port: TargetServer(settings, port=port) for port in ports}
    async with contextlib.AsyncExitStack() as stack:
        for target in targets.values():
            target.siblings = targets
            await stack.enter_async_context(target)
        print(f"targets on ports {', '.join(map(str, targets))}", flush=True)
        await wait_for_stop_signal()


def pattern_bytes(size: int) -> bytes:
    """Return the body of a download of ``size`` bytes.

    >>> list(pattern_bytes(4))
    [0, 1, 2, 3]
    """
    return b"".join(_pattern_chunks(size))


def _pattern_chunks(size: int) -> Iterator[bytes]:
    full_count, rest = divmod(size, len(PATTERN))
    for _ in range(full_count):
        yield PATTERN
    if rest:
        yield PATTERN[:rest]


async def _send_pattern(
    request: web.Request, headers: Mapping[str, str]
) -> web.StreamResponse:
    size = int(request.query["size"])
    response = web.StreamResponse(headers=headers)
    if "chunked" in request.query:
        response.enable_chunked_encoding()
    else:
        response.content_length = size
    await response.prepare(request)
    for chunk in _pattern_chunks(size):
        await response.write(chunk)
    await response.write_eof()
    return response


def _json(body: BaseModel) -> web.Response:
    return web.Response(text=body.model_dump_json(), content_type="application/json")


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
