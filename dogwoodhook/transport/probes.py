"""Health probes of suspect targets."""

import aiohttp

from dogwoodhook.protocol.headers import SERVER_ERROR_STATUS
from dogwoodhook.state.model import Target
from dogwoodhook.transport.bounded_answers import BoundedConnector

HEALTH_PATH = "/healthz"
PROBE_TIMEOUT_S = 1.0


class Prober:
    """Probes targets over connections of their own."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def probe(self, target: Target) -> bool:
        """Return whether the health endpoint answers, without a server error."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=BoundedConnector(force_close=True, limit=0),
                timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            )
        url = f"http://{target.address}{HEALTH_PATH}"
        try:
            async with self._session.get(url) as response:
                return response.status < SERVER_ERROR_STATUS
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
