"""``dogwoodhookd``: creates the daemon's components, starts and stops them.

All components are created and connected here, and nowhere else.
"""

import asyncio
import os
import secrets
import signal
import sys
from contextlib import suppress
from random import Random

import aiohttp
import uvloop

from dogwoodhook.clock import Clock, SystemClock
from dogwoodhook.control import Control, Fleet
from dogwoodhook.coordination.claims import ClaimManager
from dogwoodhook.coordination.configuration import ConfigurationStore
from dogwoodhook.coordination.ejection import EjectionManager
from dogwoodhook.coordination.membership import Membership
from dogwoodhook.coordination.messages import Message
from dogwoodhook.coordination.quarantine import QuarantineManager
from dogwoodhook.ejection_control import EjectionControl
from dogwoodhook.events import DAEMON_STARTED, DAEMON_STOPPED, log, make_handler
from dogwoodhook.exclusions import Exclusions
from dogwoodhook.findings import FindingsError
from dogwoodhook.metrics import Metrics
from dogwoodhook.protocol.snapshots import JsonSnapshotCodec
from dogwoodhook.readiness import Readiness
from dogwoodhook.reporting import Reporter
from dogwoodhook.settings import DaemonSettings, read_settings
from dogwoodhook.state.quarantine import Quarantine
from dogwoodhook.transport.admin import AdminHandler
from dogwoodhook.transport.caller import CallerHandler
from dogwoodhook.transport.detached_tasks import DetachedTasks
from dogwoodhook.transport.forwarder import Forwarder
from dogwoodhook.transport.keyed import KeyedForwarder
from dogwoodhook.transport.listening import Handler, HttpListener
from dogwoodhook.transport.peers import PeerHub
from dogwoodhook.transport.platform_client import HttpPlatform
from dogwoodhook.transport.probes import Prober
from dogwoodhook.transport.services import ServiceRegistry
from dogwoodhook.transport.target_pools import TargetPools

EXIT_BAD_SETTINGS = 2


class Daemon:
    """One daemon with its components, from start to stop."""

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self._settings = settings
        self._platform_session = aiohttp.ClientSession()
        self._platform = HttpPlatform(self._platform_session, settings.platform_url)
        self._pools = TargetPools()
        self._prober = Prober()
        self._detached_tasks = DetachedTasks()
        self._metrics = Metrics(
            daemon=settings.daemon_name,
            max_workspace_series=settings.max_workspace_series,
            max_service_series=settings.max_service_series,
        )
        self._fleet = self._make_fleet(clock)
        self._metrics.watch_peer_bytes(lambda: self._fleet.hub.sent_bytes)
        self._control = Control(self._fleet)
        forwarder = Forwarder(self._pools, self._fleet.quarantine, clock)
        self._callers = CallerHandler(
            self._fleet.registry,
            KeyedForwarder(forwarder, self._fleet.claims, self._detached_tasks),
            self._metrics,
            clock,
            max_in_flight=settings.max_in_flight,
        )
        self._caller_listener = self._listener(
            self._callers.handle, settings.caller_port
        )
        reporter = Reporter(
            self._fleet, self._callers, data_centre=settings.data_centre
        )
        self._admin_listener = self._listener(
            AdminHandler(reporter, self._metrics).handle, settings.admin_port
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain, close and return."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await self._start()
        await stop.wait()
        await self._drain()
        await self._close()
        log(DAEMON_STOPPED)

    async def _start(self) -> None:
        await self._admin_listener.start()
        await self._fleet.hub.start()
        await self._caller_listener.start()
        self._control.start()
        log(
            DAEMON_STARTED,
            daemon=self._settings.daemon_name,
            data_centre=self._settings.data_centre,
            caller_port=self._settings.caller_port,
            pid=os.getpid(),
        )

    async def _drain(self) -> None:
        self._fleet.readiness.drain()
        await asyncio.sleep(self._settings.unready_delay_s)
        self._callers.drain()
        await self._caller_listener.stop_accepting()
        with suppress(TimeoutError):
            async with asyncio.timeout(self._settings.drain_timeout_s):
                await self._callers.wait_idle()
                await self._detached_tasks.wait()

    async def _close(self) -> None:
        await self._control.stop()
        await self._caller_listener.close()
        await self._fleet.hub.close()
        await self._admin_listener.close()
        await self._pools.close()
        await self._prober.close()
        await self._platform_session.close()

    def _make_fleet(self, clock: Clock) -> Fleet:
        settings = self._settings
        name = settings.daemon_name
        hub = PeerHub(
            self._receive,
            daemon=name,
            secret=settings.fleet_secret,
            host=settings.listen_host,
            port=settings.peer_port,
        )
        ejection_manager = EjectionManager(self._platform, clock, daemon=name)
        membership = Membership(daemon=name)
        registry = ServiceRegistry(
            clock, data_centre=settings.data_centre, rng=Random(secrets.randbits(64))
        )
        exclusions = Exclusions(ejection_manager, membership, clock)
        registry.exclusions = exclusions.names
        return Fleet(
            daemon=name,
            clock=clock,
            platform=self._platform,
            store=ConfigurationStore(
                self._platform, clock, daemon=name, codec=JsonSnapshotCodec()
            ),
            ejection_manager=ejection_manager,
            exclusions=exclusions,
            ejections=EjectionControl(
                ejection_manager, membership, registry, exclusions, clock
            ),
            membership=membership,
            claims=ClaimManager(self._platform, clock, daemon=name),
            quarantine=QuarantineManager(
                self._platform, clock, Quarantine(), broadcast=hub.broadcast
            ),
            registry=registry,
            hub=hub,
            pools=self._pools,
            prober=self._prober,
            readiness=Readiness(),
        )

    async def _receive(self, peer: str, message: Message) -> None:
        await self._control.receive(peer, message)

    def _listener(self, handler: Handler, port: int) -> HttpListener:
        return HttpListener(handler, host=self._settings.listen_host, port=port)


async def _serve(settings: DaemonSettings) -> None:
    await Daemon(settings, SystemClock()).run()


def main() -> None:
    """Run ``dogwoodhookd``."""
    try:
        settings, _ = read_settings(DaemonSettings, sys.argv, os.environ)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    with make_handler(settings.log_level).applicationbound():
        run = uvloop.run if settings.use_uvloop else asyncio.run
        run(_serve(settings))


if __name__ == "__main__":
    main()
