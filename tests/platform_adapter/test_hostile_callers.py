"""Crowds of callers that send costly requests to a daemon that runs as a process."""

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path

import psutil
import pytest

from tests.platform_adapter.conftest import make_configuration, make_route
from tests.platform_adapter.hostile_callers import (
    CHUNKED,
    ONE_SHORT,
    chunks,
    crowd,
    filled_head,
    head,
    running_chunked_target,
)
from tests.platform_adapter.raw_caller import raw_caller
from tests.platform_adapter.test_stop_processes import daemon_process

pytestmark = pytest.mark.xdist_group("timed")

MEMORY_MB = 128
MAX_DESCRIPTORS = 600
"""Limits of the process in the daemon's settings; they are also the tests' bounds."""

CROWD = 200
HEAD_BYTES = 16 * 1024
"""The configuration's limit for a head."""

BODY_BYTES = 1024 * 1024
"""The configuration's limit for a body."""

IDLE_CROWD = 700
"""Callers that each send a few bytes; more than the descriptors of the process."""

HANG_S = 60.0


def heads(line_of):
    return filled_head(line_of, ONE_SHORT, head_bytes=HEAD_BYTES) + b"x"


PLAYS = {
    "short-lines": heads(lambda number: f"{'abcd'[number % 4]}:1"),
    "empty-values": heads(lambda number: f"{'abcd'[number % 4]}:"),
    "different-names": heads(lambda number: f"n{number:x}:"),
    "repeated-name": heads(lambda number: "Accept: */*"),
    "incomplete-head": heads(lambda number: f"{'abcd'[number % 4]}:1")[:-5],
    "large-chunks": head(CHUNKED) + chunks(512_000, chunk_bytes=64_000),
    "chunks-of-1-byte": head(CHUNKED) + chunks(150_000, chunk_bytes=1),
    "chunks-of-2-bytes": head(CHUNKED) + chunks(300_000, chunk_bytes=2),
    "announced-length": head("Content-Length: 512000") + b"x" * 511_999,
    "announced-over-the-limit": head("Content-Length: 900000000") + b"x" * 2_000_000,
    "sent-over-the-limit": head(CHUNKED) + chunks(4_000_000, chunk_bytes=64_000),
}


@asynccontextmanager
async def watched_daemon(platform, folder):
    """Run a daemon with lowered limits; yield it and a list of descriptor counts."""
    configuration = make_configuration(
        read=make_route("/read/", kind="safe", timeout="60s"),
        post=make_route("/post/", timeout="60s"),
    )
    configuration["limits"] |= {
        "maxHeaderBytes": HEAD_BYTES,
        "maxBodyBytes": BODY_BYTES,
    }
    await platform.store.put("op", "config", configuration)
    target = await platform.stack.enter_async_context(running_chunked_target("t1"))
    await platform.store.put("servers", "t1", target.entry())
    limits = f"limits.memoryMb={MEMORY_MB}\nlimits.maxFds={MAX_DESCRIPTORS}\n"
    async with daemon_process(
        platform, folder, grace_s=2.0, more_settings=limits
    ) as daemon:
        counts = []
        watch = asyncio.ensure_future(count_descriptors(daemon.process.pid, counts))
        try:
            yield daemon, counts
        finally:
            watch.cancel()


async def count_descriptors(pid, counts):
    process = psutil.Process(pid)
    while True:
        counts.append(process.num_fds())
        await asyncio.sleep(0.05)


def peak_memory_mb(pid):
    """Return the largest resident memory that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the kernel does not tell")


async def play_crowd(platform, folder, text, *, size):
    """Let a crowd send, then check the process and an ordinary request."""
    async with watched_daemon(platform, folder) as (daemon, descriptors):
        pid = daemon.process.pid
        before_mb = peak_memory_mb(pid)
        async with crowd(daemon, text, size=size) as callers:
            await callers.settle()
            answer = await ordinary_answer(daemon)
            assert daemon.is_running
            peak_mb = peak_memory_mb(pid)
        print(f"{before_mb:.0f} to {peak_mb:.0f} MB, {max(descriptors)} descriptors")
        assert daemon.is_running
        assert peak_mb < MEMORY_MB
        assert max(descriptors) <= MAX_DESCRIPTORS
        assert answer is not None
        assert answer.status == 200


async def ordinary_answer(daemon):
    async with raw_caller(daemon) as caller, asyncio.timeout(HANG_S):
        caller.send("/read/ordinary")
        return await caller.answer()


@pytest.mark.parametrize("play", PLAYS)
async def test_a_crowd_of_costly_requests_leaves_a_daemon_in_service(
    platform, tmp_path, play
):
    await play_crowd(platform, tmp_path, PLAYS[play], size=CROWD)


async def test_a_crowd_of_idle_callers_leaves_descriptors_for_others(
    platform, tmp_path
):
    await play_crowd(platform, tmp_path, b"POST /post/1 HT", size=IDLE_CROWD)


SINGLE_REQUESTS = {
    "short-lines": (heads(lambda number: f"{'abcd'[number % 4]}:1") + b"x", 200),
    "different-names": (heads(lambda number: f"n{number:x}:") + b"x", 200),
    "chunks-of-1-byte": (
        head(CHUNKED) + chunks(400_000, chunk_bytes=1) + b"0\r\n\r\n",
        200,
    ),
    "large-chunks": (
        head(CHUNKED) + chunks(1_000_000, chunk_bytes=50_000) + b"0\r\n\r\n",
        200,
    ),
    "sent-over-the-limit": (
        head(CHUNKED) + chunks(4_000_000, chunk_bytes=50_000) + b"0\r\n\r\n",
        413,
    ),
    "announced-over-the-limit": (head("Content-Length: 4000000"), 413),
}


@pytest.mark.parametrize("play", SINGLE_REQUESTS)
async def test_a_single_costly_request_is_answered(platform, tmp_path, play):
    text, status = SINGLE_REQUESTS[play]
    async with (
        watched_daemon(platform, tmp_path) as (daemon, _),
        raw_caller(daemon) as caller,
        asyncio.timeout(HANG_S),
    ):
        caller.writer.write(text)
        answer = await caller.answer()
    assert answer is not None
    assert answer.status == status
