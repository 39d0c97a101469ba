"""Client of the daemons' admin listeners."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Protocol, TypeVar
from urllib.parse import quote

import aiohttp
from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

from dogwoodhook.transport.status import ExplanationReport, StatusReport

ANSWER_TIMEOUT_S = 2.0

HTTP_OK = 200

_Report = TypeVar("_Report", bound=BaseModel)


class AdminClient(Protocol):
    """Queries one daemon per call; an error says why there is no report."""

    async def status(self, url: str) -> Result[StatusReport, str]:
        """Return a daemon's report on its own state and its targets."""
        ...

    async def explain(self, url: str, service: str) -> Result[ExplanationReport, str]:
        """Return a daemon's actions on a service's targets, with reasons."""
        ...


class HttpAdminClient:
    """``AdminClient`` over a client session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def status(self, url: str) -> Result[StatusReport, str]:
        """Return a daemon's report on its own state and its targets."""
        return await self._get(f"{url}/status", StatusReport)

    async def explain(self, url: str, service: str) -> Result[ExplanationReport, str]:
        """Return a daemon's actions on a service's targets, with reasons."""
        path = f"/explain/{quote(service, safe='')}"
        return await self._get(url + path, ExplanationReport)

    async def _get(self, url: str, model: type[_Report]) -> Result[_Report, str]:
        try:
            async with self._session.get(url) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Error(f"{url}: {error or type(error).__name__}")
        if response.status != HTTP_OK:
            return Error(f"{url}: {text.strip()}")
        try:
            return Ok(model.model_validate_json(text))
        except ValidationError as error:
            return Error(f"{url}: not a report: {error}")


@asynccontextmanager
async def open_admin_client() -> AsyncIterator[AdminClient]:
    """Open a client whose session is closed when the context ends."""
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield HttpAdminClient(session)
