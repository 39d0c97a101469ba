"""``--wait``: polls every live daemon until a version is in force on it."""

import asyncio
from dataclasses import dataclass, field

from expression import Result

from dogwoodhook.cli.admin_client import AdminClient
from dogwoodhook.clock import Clock
from dogwoodhook.coordination.membership import ADMIN_ROLE
from dogwoodhook.coordination.platform import Platform, Vm, VmPhase

POLL_INTERVAL_S = 0.2

CONCURRENT_POLLS = 64
"""Largest number of daemons that are queried at the same time."""


@dataclass(frozen=True, slots=True)
class WaitResult:
    """Result of a wait for a version.

    ``missing`` has one line for each daemon where the version is not in force: its
    name and its last answer.
    """

    version: int
    in_force: tuple[str, ...]
    missing: tuple[str, ...]
    elapsed_s: float


@dataclass(slots=True)
class VersionWait:
    """Waits for one version on all daemons that the VM list shows as live.

    Each round reads the list anew, because the list lags and daemons start and stop.
    A daemon on which the version is in force is not queried again, because a daemon
    never returns to an earlier version.
    """

    platform: Platform
    admin: AdminClient
    clock: Clock
    _in_force: set[str] = field(default_factory=set)
    _daemons: tuple[Vm, ...] = ()
    _answers: dict[str, str] = field(default_factory=dict)

    async def wait(self, version: int, *, timeout_s: float) -> WaitResult:
        """Return once the version is in force on all daemons, or after the time-out."""
        started_s = self.clock.now_s()
        while True:
            is_listed = await self._list_daemons()
            await self._query_all(version)
            elapsed_s = self.clock.now_s() - started_s
            missing = self._missing(is_listed=is_listed)
            if not missing or elapsed_s >= timeout_s:
                in_force = tuple(sorted(self._in_force))
                return WaitResult(version, in_force, missing, elapsed_s)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _list_daemons(self) -> bool:
        match await self.platform.list_vms():
            case Result(tag="ok", ok=vms):
                self._daemons = tuple(
                    vm
                    for vm in vms
                    if vm.role == ADMIN_ROLE and vm.phase is VmPhase.LIVE
                )
                return True
            case _:
                return False

    async def _query_all(self, version: int) -> None:
        slots = asyncio.Semaphore(CONCURRENT_POLLS)
        async with asyncio.TaskGroup() as group:
            for daemon in self._daemons:
                if daemon.name not in self._in_force:
                    group.create_task(self._query(daemon, version, slots))

    async def _query(self, daemon: Vm, version: int, slots: asyncio.Semaphore) -> None:
        async with slots:
            answer = await self.admin.status(f"http://{daemon.address}")
        match answer:
            case Result(tag="ok", ok=report):
                if report.configuration_version >= version:
                    self._in_force.add(daemon.name)
                text = f"has version {report.configuration_version}"
                self._answers[daemon.name] = text
            case Result(error=detail):
                self._answers[daemon.name] = detail

    def _missing(self, *, is_listed: bool) -> tuple[str, ...]:
        missing = tuple(
            f"{daemon.name}: {self._answers.get(daemon.name, 'not queried')}"
            for daemon in self._daemons
            if daemon.name not in self._in_force
        )
        if not is_listed and not self._daemons:
            return ("the VM list is unavailable",)
        return missing
