"""Whether a target ended, after a connection to it broke; with real connections."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from dogwoodhook.coordination.target_ends import EndEvidence
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.testing.fleet import free_port
from dogwoodhook.transport.crash_checks import (
    CHECK_TIMEOUT_S,
    CrashChecks,
    LossCheck,
    PortState,
    SecondConnection,
)
from tests.exchanges import until
from tests.platform_adapter.target_server import HOST, reset_connection


class RecordedEnds:
    """Records ends; ``other_losses`` tells whether other targets were lost too."""

    def __init__(self):
        self.ends = []
        self.other_losses = False
        self.unanswered = set()

    def is_only_loss(self, target):
        return not self.other_losses

    def has_unanswered_at(self, target):
        return target in self.unanswered

    def record_end(self, target, incarnation, evidence):
        self.ends.append((target, incarnation, evidence))


class Listener:
    """A port with the connections that were opened to it."""

    def __init__(self):
        port = free_port()
        self.entry = TargetEntry("t1", "payouts", HOST, port, "dc", 3, False, 0.0, 7)
        self.writers = []

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            await reader.read()
        except ConnectionError:
            return


@asynccontextmanager
async def running_listener():
    listener = Listener()
    server = await asyncio.start_server(listener.serve, HOST, listener.entry.port)
    try:
        yield listener
    finally:
        server.close()
        for writer in listener.writers:
            writer.close()


@asynccontextmanager
async def open_second(listener):
    second = SecondConnection(listener.entry, may_connect=lambda target: True)
    await second.open()
    await until(lambda: len(listener.writers) == 1)
    try:
        yield second
    finally:
        second.close()


@pytest.fixture
def ends():
    return RecordedEnds()


async def test_a_target_that_is_not_to_be_probed_gets_a_connection():
    ends = RecordedEnds()
    async with running_listener() as listener:
        checks = CrashChecks(ends, may_connect=lambda target: False)
        second = checks.second_connection(listener.entry)
        await second.open()
        assert not await checks.accepts_connections(listener.entry)
        found = await checks.check_lost_connection(listener.entry, second)
        second.close()
    assert found == LossCheck(None, PortState.UNCHECKED)
    assert (listener.writers, ends.ends) == ([], [])


async def test_a_closed_port_shows_no_end(ends):
    found = await CrashChecks(ends).check_lost_connection(Listener().entry)
    assert found == LossCheck(EndEvidence.CLOSED_PORT, PortState.CLOSED)
    assert ends.ends == [("t1", 7, EndEvidence.CLOSED_PORT)]


async def test_an_open_port_shows_an_end(ends):
    async with running_listener() as listener:
        found = await CrashChecks(ends).check_lost_connection(listener.entry)
    assert found == LossCheck(None, PortState.OPEN)
    assert ends.ends == []


@pytest.mark.parametrize("is_reset", [True, False])
async def test_a_process_that_another_one_replaces_at_once_shows_no_end(ends, is_reset):
    async with running_listener() as listener, open_second(listener) as second:
        writer = listener.writers[0]
        reset_connection(writer) if is_reset else writer.close()
        found = await CrashChecks(ends).check_lost_connection(listener.entry, second)
    assert found == LossCheck(EndEvidence.BROKEN_TOGETHER, PortState.OPEN)
    assert ends.ends == [("t1", 7, EndEvidence.BROKEN_TOGETHER)]


async def test_a_target_that_resets_one_connection_shows_an_end(ends):
    async with running_listener() as listener, open_second(listener) as second:
        found = await CrashChecks(ends).check_lost_connection(listener.entry, second)
    assert found == LossCheck(None, PortState.OPEN)


async def test_a_reset_of_all_connections_of_a_vm_shows_an_end(ends):
    ends.other_losses = True
    async with running_listener() as listener, open_second(listener) as second:
        reset_connection(listener.writers[0])
        found = await CrashChecks(ends).check_lost_connection(listener.entry, second)
    assert found == LossCheck(None, PortState.OPEN)


async def test_a_second_connection_that_the_target_closed_when_idle_shows_an_end(ends):
    async with running_listener() as listener, open_second(listener) as second:
        listener.writers[0].close()
        await asyncio.sleep(CHECK_TIMEOUT_S)
        await until(lambda: len(listener.writers) == 2)
        found = await CrashChecks(ends).check_lost_connection(listener.entry, second)
    assert found == LossCheck(None, PortState.OPEN)


async def test_an_entry_that_goes_while_its_target_serves_shows_an_end(ends):
    checks = CrashChecks(ends)
    async with running_listener() as listener:
        checks.check_removed_entry(listener.entry)
        assert not listener.writers
        ends.unanswered = {"t1"}
        checks.check_removed_entry(listener.entry)
        await until(lambda: len(listener.writers) == 1)
    await asyncio.sleep(0)
    assert ends.ends == []


async def test_an_entry_that_goes_with_its_target_shows_no_end(ends):
    ends.unanswered = {"t1"}
    CrashChecks(ends).check_removed_entry(Listener().entry)
    await until(lambda: ends.ends)
