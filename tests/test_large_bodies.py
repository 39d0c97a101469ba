"""Large bodies are forwarded unchanged, in memory that does not grow with them."""

import asyncio
import hashlib

import aiohttp
import psutil

from dogwoodhook.state.model import (
    Parameters,
    Route,
    ServiceDefinition,
    Target,
    Template,
)
from dogwoodhook.testing.fleet import HOST, LocalFleet, free_port_range
from dogwoodhook.testing.target_server import pattern_bytes

BODY_BYTES = 64 * 1024 * 1024
MAX_GROWTH_BYTES = 16 * 1024 * 1024
"""Bound on the memory that a daemon adds for one upload and one download at once."""

CHUNK_BYTES = 256 * 1024


async def chunks(body):
    for start in range(0, len(body), CHUNK_BYTES):
        yield body[start : start + CHUNK_BYTES]


async def upload(session, url, body):
    async with session.put(url, data=chunks(body)) as response:
        return (await response.json())["sha256"]


async def download(session, url):
    digest = hashlib.sha256()
    async with session.get(f"{url}?size={BODY_BYTES}") as response:
        async for chunk in response.content.iter_any():
            digest.update(chunk)
            await asyncio.sleep(0)
    return digest.hexdigest()


async def watch_memory(process, samples):
    while True:
        samples.append(process.memory_info().rss)
        await asyncio.sleep(0.02)


async def test_64_mib_are_forwarded_both_ways_in_bounded_memory():
    ports = free_port_range(1)
    body = pattern_bytes(BODY_BYTES)
    async with LocalFleet(daemons=1, target_ports=[ports]) as fleet:
        target = Target("ledgers-1", "kigali-1", HOST, ports[0])
        await fleet.wait_version(
            await fleet.apply(
                Template("tills", Parameters(deadline_ms=300_000)),
                ServiceDefinition(
                    "ledgers", "tills", "oulu", (target,), (Route("/ledgers"),)
                ),
            )
        )
        url = f"{fleet.daemons[0].caller_url}/ledgers/2026"
        process = psutil.Process(fleet.daemons[0].process.pid)
        async with aiohttp.ClientSession() as session:
            await upload(session, url, body[:CHUNK_BYTES])
            before_bytes = process.memory_info().rss
            samples = []
            watcher = asyncio.create_task(watch_memory(process, samples))
            uploaded, downloaded = await asyncio.gather(
                upload(session, url, body), download(session, url)
            )
            watcher.cancel()
    expected = hashlib.sha256(body).hexdigest()
    assert (uploaded, downloaded) == (expected, expected)
    assert max(samples) - before_bytes < MAX_GROWTH_BYTES, (
        max(samples) - before_bytes
    ) / 2**20
