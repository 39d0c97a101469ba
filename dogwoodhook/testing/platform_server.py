"""A stand-in for the platform: table, object store and VM list over HTTP.

The table stores row values as the JSON that it received. ``PUT /faults`` replaces
all faults at once::

    curl -X PUT localhost:7000/faults -d '{"is_down": true}'
    curl -X PUT localhost:7000/faults -d '{"lost_answers": 2, "latency_ms": 300}'

``PUT /vms`` replaces the VM list. ``GET /vms`` shows a change only after the
list's lag; ``GET /keep-alive`` reports how many changes are not visible yet.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

from aiohttp import web
from expression import Result
from pydantic import BaseModel, ConfigDict, NonNegativeInt, ValidationError

from dogwoodhook.clock import Clock, SystemClock
from dogwoodhook.coordination.platform import (
    CommitError,
    Committed,
    Conflict,
    StoredRow,
    Transaction,
    Unavailable,
    Vm,
    Write,
)
from dogwoodhook.protocol.platform_api import (
    CommitBody,
    CommittedBody,
    ConflictBody,
    ReadBody,
    RowBody,
    RowsBody,
    ScanBody,
    VmsBody,
)
from dogwoodhook.testing.memory_platform import MemoryPlatform
from dogwoodhook.testing.serving import serve_app, wait_for_stop_signal

MAX_BODY_BYTES = 64 * 1024 * 1024

_Body = TypeVar("_Body", bound=BaseModel)
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PlatformFaults(BaseModel):
    """Faults of the stand-in; those that a request omits are off.

    With ``is_down``, every call is refused with status 503; with ``is_silent``, no
    call is answered. The counts state how many of the next commits have the fault.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    is_down: bool = False
    is_silent: bool = False
    latency_ms: NonNegativeInt = 0
    lost_answers: NonNegativeInt = 0
    lost_requests: NonNegativeInt = 0
    forced_conflicts: NonNegativeInt = 0
    refuses_objects: bool = False
    is_vm_list_stale: bool = False


class _StatusBody(BaseModel):
    vm_list_lag_ms: int
    vm_changes_pending: int


@dataclass(frozen=True, slots=True)
class _VmChange:
    visible_at_s: float
    vms: tuple[Vm, ...]


@dataclass(slots=True)
class PlatformServer:
    """Serves a ``MemoryPlatform`` over HTTP."""

    platform: MemoryPlatform = field(default_factory=MemoryPlatform)
    vm_list_lag_ms: int = 0
    clock: Clock = field(default_factory=SystemClock)
    _faults: PlatformFaults = field(default_factory=PlatformFaults)
    _vm_changes: deque[_VmChange] = field(default_factory=deque)

    def make_app(self) -> web.Application:
        """Return the application that serves the platform and its fault controls."""
        app = web.Application(
            middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES
        )
        app.router.add_post("/table/read", self._read)
        app.router.add_post("/table/scan", self._scan)
        app.router.add_post("/table/commit", self._commit)
        app.router.add_get("/objects/{name:.+}", self._get_object)
        app.router.add_put("/objects/{name:.+}", self._put_object)
        app.router.add_get("/vms", self._get_vms)
        app.router.add_put("/vms", self._put_vms)
        app.router.add_get("/keep-alive", self._get_status)
        app.router.add_get("/faults", self._get_faults)
        app.router.add_put("/faults", self._put_faults)
        return app

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults in force."""
        self._faults = faults
        self.platform.is_down = faults.is_down
        self.platform.lost_answers = faults.lost_answers
        self.platform.lost_requests = faults.lost_requests
        self.platform.forced_conflicts = faults.forced_conflicts
        self.platform.refuses_objects = faults.refuses_objects

    def set_vms(self, vms: tuple[Vm, ...]) -> None:
        """Replace the VM list; readers see it after the lag."""
        visible_at_s = self.clock.now_s() + self.vm_list_lag_ms / 1000
        self._vm_changes.append(_VmChange(visible_at_s, vms))

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        if _is_control_request(request):
            return await handler(request)
        if self._faults.latency_ms:
            await asyncio.sleep(self._faults.latency_ms / 1000)
        if self._faults.is_silent:
            await asyncio.Event().wait()
        return await handler(request)

    async def _read(self, request: web.Request) -> web.Response:
        body = await _parse(ReadBody, request)
        result = await self.platform.read(body.keys)
        return _answer_rows(result.map(lambda rows: tuple(rows.values())))

    async def _scan(self, request: web.Request) -> web.Response:
        body = await _parse(ScanBody, request)
        result = await self.platform.scan(
            body.prefix, after=body.after, limit=body.limit
        )
        return _answer_rows(result)

    async def _commit(self, request: web.Request) -> web.Response:
        body = await _parse(CommitBody, request)
        writes = tuple(Write(write.key, write.value) for write in body.writes)
        transaction = Transaction(body.conditions, writes, body.token)
        return _answer_commit(request, await self.platform.commit(transaction))

    async def _get_object(self, request: web.Request) -> web.Response:
        match await self.platform.get_object(request.match_info["name"]):
            case Result(tag="ok", ok=None):
                return web.Response(status=404)
            case Result(tag="ok", ok=content):
                return web.Response(body=content)
            case Result(error=unavailable):
                return _refuse(unavailable)

    async def _put_object(self, request: web.Request) -> web.Response:
        content = await request.read()
        name = request.match_info["name"]
        match await self.platform.put_object(name, content):
            case Result(tag="ok"):
                return web.Response(status=204)
            case Result(error=unavailable):
                return _refuse(unavailable)

    async def _get_vms(self, request: web.Request) -> web.Response:
        self._show_vm_changes()
        match await self.platform.list_vms():
            case Result(tag="ok", ok=vms):
                return _answer(VmsBody(vms=vms))
            case Result(error=unavailable):
                return _refuse(unavailable)

    async def _put_vms(self, request: web.Request) -> web.Response:
        body = await _parse(VmsBody, request)
        self.set_vms(body.vms)
        return web.Response(status=204)

    async def _get_status(self, request: web.Request) -> web.Response:
        self._show_vm_changes()
        return _answer(
            _StatusBody(
                vm_list_lag_ms=self.vm_list_lag_ms,
                vm_changes_pending=len(self._vm_changes),
            )
        )

    async def _get_faults(self, request: web.Request) -> web.Response:
        counts = {
            "lost_answers": self.platform.lost_answers,
            "lost_requests": self.platform.lost_requests,
            "forced_conflicts": self.platform.forced_conflicts,
        }
        return _answer(self._faults.model_copy(update=counts))

    async def _put_faults(self, request: web.Request) -> web.Response:
        self.set_faults(await _parse(PlatformFaults, request))
        return web.Response(status=204)

    def _show_vm_changes(self) -> None:
        if self._faults.is_vm_list_stale:
            return
        now_s = self.clock.now_s()
        while self._vm_changes and self._vm_changes[0].visible_at_s <= now_s:
            self.platform.vms = self._vm_changes.popleft().vms


async def run_platform(*, port: int, vm_list_lag_ms: int) -> None:
    """Serve the stand-in until the process receives a stop signal."""
    server = PlatformServer(vm_list_lag_ms=vm_list_lag_ms)
    async with serve_app(server.make_app(), port=port) as bound_port:
        print(f"platform on port {bound_port}", flush=True)
        await wait_for_stop_signal()


def _is_control_request(request: web.Request) -> bool:
    if request.path in ("/faults", "/keep-alive"):
        return True
    return request.path == "/vms" and request.method == "PUT"


async def _parse(model: type[_Body], request: web.Request) -> _Body:
    try:
        return model.model_validate_json(await request.read())
    except ValidationError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def _answer(body: BaseModel, *, status: int = 200) -> web.Response:
    return web.Response(
        status=status, text=body.model_dump_json(), content_type="application/json"
    )


def _refuse(unavailable: Unavailable) -> web.Response:
    return web.Response(status=503, text=unavailable.detail)


def _answer_rows(
    result: Result[tuple[StoredRow, ...], Unavailable],
) -> web.Response:
    match result:
        case Result(tag="ok", ok=rows):
            return _answer(
                RowsBody(rows=tuple(_encode_stored_row(row) for row in rows))
            )
        case Result(error=unavailable):
            return _refuse(unavailable)


def _encode_stored_row(row: StoredRow) -> RowBody:
    return RowBody(key=row.key, value=row.value, version=row.version, token=row.token)


def _answer_commit(
    request: web.Request, result: Result[Committed, CommitError]
) -> web.Response:
    match result:
        case Result(tag="ok", ok=committed):
            return _answer(CommittedBody(version=committed.version))
        case Result(error=Conflict(key)):
            return _answer(ConflictBody(key=key), status=409)
        case Result(error=Unavailable() as unavailable):
            return _refuse(unavailable)
        case _:
            _drop_connection(request)
            return web.Response()


def _drop_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
