"""The transfer of the configuration's row between daemons, over real sockets."""

from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp

from dogwoodhook.coordination.store import StoreRow
from dogwoodhook.testing.fleet import free_port
from dogwoodhook.transport.configuration_exchange import PATH, ConfigurationExchange
from dogwoodhook.vm_settings import Address

ROW = StoreRow("config", b"{}" * 100_000, 7)


class KnownPeers:
    """Addresses of daemons, and the fleet's key."""

    def __init__(self, address, *, key=b"k" * 16):
        self.key = key
        self._address = address

    def address_of(self, daemon):
        return self._address if daemon == "vm-1" else None


@asynccontextmanager
async def open_pair(*, served_row=ROW, other_key=b"k" * 16):
    """Yield an exchange that may fetch a row from vm-1, and the address of vm-1."""
    async with AsyncExitStack() as stack:
        addresses = [Address("127.0.0.1", free_port()) for _ in range(2)]
        server = ConfigurationExchange(KnownPeers(addresses[0]), addresses[0])
        client = ConfigurationExchange(
            KnownPeers(addresses[0], key=other_key), addresses[1]
        )
        for each in (server, client):
            await each.start()
            stack.push_async_callback(each.close)
        server.current_row = served_row
        yield client, addresses[0]


async def test_a_row_is_transferred_completely():
    async with open_pair() as (client, _):
        assert (await client.fetch("vm-1", min_version=7)).ok == ROW


async def test_an_older_row_or_a_missing_row_is_not_transferred():
    async with open_pair() as (client, _):
        assert (await client.fetch("vm-1", min_version=8)).error.detail
    async with open_pair(served_row=None) as (client, _):
        assert (await client.fetch("vm-1", min_version=0)).error.detail


async def test_a_row_under_another_key_is_refused():
    async with open_pair(other_key=b"x" * 16) as (client, _):
        problem = (await client.fetch("vm-1", min_version=7)).error
        assert problem.detail == "vm-1: the digest does not match"


async def test_no_row_is_fetched_from_an_unknown_daemon():
    async with open_pair() as (client, _):
        problem = (await client.fetch("vm-2", min_version=7)).error
        assert problem.detail == "vm-2 is not known"


async def test_malformed_requests_are_refused():
    async with open_pair() as (_, address), aiohttp.ClientSession() as session:
        for query in (f"{PATH}?min-version=x", "/other"):
            async with session.get(f"http://{address}{query}") as response:
                assert response.status == 404
