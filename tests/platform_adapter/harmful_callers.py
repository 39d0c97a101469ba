"""Callers of requests under which targets end, and what their targets saw."""

import asyncio
import itertools

import aiohttp
from yarl import URL

CONTACT_S = 3.0
MAX_LATER_ARRIVALS = 3
"""Arrivals allowed later than ``CONTACT_S`` after the third target ended."""


class Caller:
    """Sends requests from an address of its own, each to the next daemon."""

    def __init__(self, platform, host):
        self._platform = platform
        self._host = host
        self._numbers = itertools.count()
        self.replies = []

    async def send(self, path, *, body=None, gateway=None, **headers):
        """Send one request on a new connection, and return its status and headers."""
        number = next(self._numbers)
        gateways = self._platform.gateways
        gateway = gateway or gateways[number % len(gateways)]
        connector = aiohttp.TCPConnector(local_addr=(self._host, 0), force_close=True)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            session.request(
                "GET" if body is None else "POST",
                URL(gateway.url + path, encoded=True),
                data=body,
                headers={
                    "Request-Id": f"{self._host}-{number}",
                    "Deadline-Ms": "5000",
                    **headers,
                },
            ) as response,
        ):
            await response.read()
            reply = (response.status, dict(response.headers))
            now_s = asyncio.get_running_loop().time()
            self.replies.append((now_s, *reply))
            return reply

    async def repeat(self, make_path, *, seconds, interval_s, body=None):
        """Send a request at regular intervals."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        while loop.time() < until_s:
            await self.send(make_path(), body=body)
            await asyncio.sleep(interval_s)


def end_times_s(targets):
    return sorted(ended_s for target in targets for ended_s in target.ended_s)


def arrivals_s(targets):
    """Return when harmful requests arrived at targets."""
    return sorted(
        at_s
        for target in targets
        for at_s, received in target.arrived_s
        if "bad" in received.path
    )


def count_later_arrivals(targets):
    """Return the arrivals beyond ``CONTACT_S`` after the third end."""
    ended_s = end_times_s(targets)
    if len(ended_s) < MAX_LATER_ARRIVALS:
        return 0
    from_s = ended_s[2] + CONTACT_S
    return sum(at_s > from_s for at_s in arrivals_s(targets))


def served_share(replies, *, since_s):
    statuses = [status for at_s, status, _ in replies if at_s > since_s]
    return statuses.count(200) / len(statuses)
