"""A daemon on a stand-in platform, in one process."""

from contextlib import AsyncExitStack
from dataclasses import dataclass

import aiohttp
import pytest
from yarl import URL

from dogwoodhook.clock import SystemClock
from dogwoodhook.gateway import Gateway, PlatformAdapter
from dogwoodhook.platform.headers import PLATFORM_CONVENTIONS
from dogwoodhook.platform.rows import make_row_decoder
from dogwoodhook.platform.store_client import HttpStore
from dogwoodhook.testing.fleet import free_port
from dogwoodhook.testing.relay import Relay
from dogwoodhook.transport import route_forwarder
from dogwoodhook.vm_settings import Address, ServiceBounds, VmSettings
from tests.exchanges import until
from tests.platform_adapter.store_server import (
    StoreServer,
    running_store,
    running_store_endpoint,
)
from tests.platform_adapter.target_server import running_target

HOST = "127.0.0.1"


def make_route(prefix, *, kind="unsafe", timeout="3000ms", **changes):
    return {
        "hostname": HOST,
        "prefix": prefix,
        "routeType": kind,
        "timeout": timeout,
        "targetLatency": "1000ms",
        "priority": 1,
        "backend": "payouts",
        "attempts": 2,
        **changes,
    }


def make_configuration(version=1, **routes):
    """Return a configuration with a safe and an unsafe route, and others."""
    defaults = {"read": make_route("/read/", kind="safe"), "post": make_route("/post/")}
    return {
        "configVersion": version,
        "routes": {**defaults, **routes},
        "backends": {"payouts": {"healthPath": "/healthz", "maxConnections": 390}},
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1024 * 1024,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }


@dataclass(frozen=True)
class Reply:
    """What a caller received for one request."""

    status: int
    headers: dict
    body: bytes


class Platform:
    """A stand-in store with its daemons and targets, and a caller."""

    def __init__(self, store: StoreServer, stack: AsyncExitStack) -> None:
        self.store = store
        self.gateways = []
        self.stack = stack
        self._session = None
        self._requests = 0

    async def start_target(self, name, *behaviours, **entry):
        target = await self.stack.enter_async_context(running_target(name, *behaviours))
        await self.store.put("servers", name, target.entry(**entry))
        return target

    async def configure(self, version=1, **routes):
        await self.store.put("op", "config", make_configuration(version, **routes))

    async def open_relay(self):
        """Open a relay to the store, and return it."""
        return await self.stack.enter_async_context(Relay(port=self.store.address.port))

    async def open_store_endpoint(self):
        """Open another endpoint of the store, with separate faults, and return it."""
        return await self.stack.enter_async_context(running_store_endpoint(self.store))

    async def start_gateway(
        self,
        name="vm-1",
        *,
        is_ready=True,
        store_address=None,
        clock=None,
        has_competing_load=False,
        **bounds,
    ):
        store_address = store_address or self.store.address
        address = Address(HOST, free_port())
        settings = VmSettings(
            vm_name=name,
            data_centre="oulu-1",
            caller_address=address,
            readiness_address=Address(HOST, free_port()),
            peer_address=Address(HOST, free_port()),
            store_address=store_address,
            bounds=ServiceBounds(**bounds),
            has_competing_load=has_competing_load,
        )
        store = HttpStore(store_address)
        gateway = Gateway(
            PlatformAdapter(
                settings, store, make_row_decoder(), PLATFORM_CONVENTIONS, lambda: None
            ),
            clock or SystemClock(),
        )
        await gateway.start()
        self.stack.push_async_callback(store.close)
        self.stack.push_async_callback(gateway.close)
        gateway.url = f"http://{address}"
        gateway.settings = settings
        self.gateways.append(gateway)
        if is_ready:
            await until(lambda: gateway.is_ready)
        return gateway

    async def send(self, path, *, gateway=None, method=None, headers=None, **options):
        """Send one request on a kept-alive connection, and return the reply."""
        if self._session is None:
            self._session = aiohttp.ClientSession(auto_decompress=False)
            self.stack.push_async_callback(self._session.close)
        self._requests += 1
        gateway = gateway or self.gateways[0]
        method = method or ("GET" if path.startswith("/read") else "POST")
        sent = {
            "Request-Id": f"request-{self._requests}",
            "Deadline-Ms": "5000",
            **(headers or {}),
        }
        async with self._session.request(
            method, URL(gateway.url + path, encoded=True), headers=sent, **options
        ) as response:
            body = await response.read()
            return Reply(response.status, dict(response.headers), body)


@pytest.fixture
async def platform():
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store())
        yield Platform(store, stack)


@pytest.fixture
def slow_connections(monkeypatch):
    """Allow seconds for a connection to a target, for tests of what follows it."""
    monkeypatch.setattr(route_forwarder, "CONNECT_TIMEOUT_S", 3.0)
