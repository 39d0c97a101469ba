"""Runs one ``dogwoodhookd`` in front of one target, for benchmarks."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

from dogwoodhook.clock import SystemClock
from dogwoodhook.coordination.editing import apply_documents
from dogwoodhook.testing.fleet import LocalFleet, wait_for_answer
from dogwoodhook.testing.local_proxy import GET_IS_IDEMPOTENT, local_documents
from dogwoodhook.transport.platform_client import open_platform

PARAMETERS_WITHOUT_QUEUEING = replace(
    GET_IS_IDEMPOTENT, slots_per_target=64, workspace_in_flight_limit=1_000
)
"""Parameters under which no request waits for a slot."""


@dataclass(frozen=True, slots=True)
class RunningDaemon:
    """A daemon's URL for callers and its process id."""

    url: str
    pid: int


@asynccontextmanager
async def run_daemon(
    target_port: int, *, flags: Sequence[str] = ()
) -> AsyncIterator[RunningDaemon]:
    """Run a daemon with its platform stand-in until the context ends."""
    fleet = LocalFleet(daemons=1, target_ports=[], daemon_flags=flags)
    async with fleet, open_platform(fleet.platform_url) as platform:
        documents = local_documents([target_port], PARAMETERS_WITHOUT_QUEUEING)
        applied = await apply_documents(
            platform, documents, author="benchmark", clock=SystemClock()
        )
        if applied.is_error():
            raise RuntimeError(f"the service could not be applied: {applied.error}")
        (daemon,) = fleet.daemons
        await wait_for_answer(f"{daemon.caller_url}/healthz")
        if daemon.process is None:
            raise RuntimeError("the daemon has no process")
        yield RunningDaemon(daemon.caller_url, daemon.process.pid)
