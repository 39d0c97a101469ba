"""Dependencies of the commands, which tests replace."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass

from dogwoodhook.cli.admin_client import AdminClient, open_admin_client
from dogwoodhook.clock import Clock, SystemClock
from dogwoodhook.coordination.platform import Platform
from dogwoodhook.transport.platform_client import open_platform


@dataclass(frozen=True, slots=True)
class Dependencies:
    """The clock, the platform at an address, and the daemons' admin listeners."""

    clock: Clock
    open_platform: Callable[[str, float], AbstractAsyncContextManager[Platform]]
    open_admin_client: Callable[[], AbstractAsyncContextManager[AdminClient]]


def system_dependencies() -> Dependencies:
    """Return the dependencies that the program uses outside of tests."""
    return Dependencies(SystemClock(), _open_http_platform, open_admin_client)


@asynccontextmanager
async def _open_http_platform(url: str, timeout_s: float) -> AsyncIterator[Platform]:
    async with open_platform(url, deadline_ms=int(timeout_s * 1000)) as platform:
        yield platform
