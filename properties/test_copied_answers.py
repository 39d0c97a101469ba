"""Checks that no attempt takes a copy of an earlier answer for its own answer.

One target serves several names at one address, and request ids repeat. It states the
truth in each answer, and writes earlier answers of the connection again, around later
ones.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field, replace

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict

from dogwoodhook.platform.headers import PLATFORM_CONVENTIONS
from dogwoodhook.protocol.request_uri import RequestUri
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.transport.attempts import (
    Attempt,
    CompleteAnswer,
    NotRunAtTarget,
    send_attempt,
)
from dogwoodhook.transport.clean_reuse_connector import CleanReuseConnector
from dogwoodhook.transport.resend_guard import AttemptTrace
from dogwoodhook.transport.target_sessions import make_session
from properties.faulty_targets import (
    HEAD_END,
    HOST,
    REFUSALS,
    SEGMENT_LOOP_PASSES,
    PlatformWire,
)

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]
TIMEOUT_S = 5.0
ENTRY = TargetEntry("t1", "s", HOST, 0, "oulu-1", 3, False, 0.0, 1)
INTERIM = b"HTTP/1.1 100 Continue" + HEAD_END
WIRE = PlatformWire()


@dataclass(frozen=True, slots=True)
class Copy:
    """An earlier answer of the connection; 1 is the last one before the request.

    ``split_share`` is the share of it that is written first, if not all at once.
    """

    steps_back: int
    split_share: float | None
    is_behind_interim: bool
    pause_ms: int


@dataclass(frozen=True, slots=True)
class Sending:
    """A request to a name, and what the target writes.

    ``refusal`` is ``None`` if the target runs the request. ``behind`` holds copies that
    are written after the answer, of answers up to this one.
    """

    name: str
    request_id: str
    method: str
    is_concurrent: bool
    gap_ms: int
    refusal: str | None
    has_id: bool
    before: tuple[Copy, ...]
    behind: tuple[Copy, ...]


COPIES = st.builds(
    Copy,
    steps_back=st.integers(1, 3),
    split_share=st.sampled_from([None, None, 0.0, 0.1, 0.5, 0.9]),
    is_behind_interim=st.sampled_from([False, False, True]),
    pause_ms=st.sampled_from([0, 0, 2]),
)
SENDINGS = st.builds(
    Sending,
    name=st.sampled_from(["t1", "t2", "t3"]),
    request_id=st.sampled_from(["a", "a", "b", "c"]),
    method=st.sampled_from(["GET", "POST"]),
    is_concurrent=st.sampled_from([False, False, False, True]),
    gap_ms=st.sampled_from([0, 0, 4]),
    refusal=st.sampled_from([None, None, *REFUSALS]),
    has_id=st.sampled_from([True, True, True, False]),
    before=st.lists(COPIES, max_size=2).map(tuple),
    behind=st.one_of(st.just(()), st.just(()), st.tuples(COPIES)),
)


@dataclass(slots=True)
class Arrival:
    """A sending that the target received.

    ``is_clean`` states that the target had written only true answers on the connection,
    up to and including the answer to this sending.
    """

    number: int
    name: str
    request_id: str
    connection: int
    is_first: bool
    is_clean: bool


@dataclass
class CopyingTarget:
    """Answers each sending as planned, and records what it received."""

    sendings: list
    arrivals: list = field(default_factory=list)
    tasks: set = field(default_factory=set)
    connections: int = 0
    port: int = 0

    async def start(self):
        self._server = await asyncio.start_server(self._accept, HOST)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening, and wait until every connection has ended."""
        self._server.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.connections += 1
        try:
            with contextlib.suppress(OSError, EOFError):
                await self._serve(reader, writer, self.connections)
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _serve(self, reader, writer, connection):
        answers = []
        is_clean = True
        while True:
            number, name, request_id = await receive(reader)
            sending = self.sendings[number]
            own = answer_of(number, sending)
            copies = bool(answers and sending.before)
            is_clean = is_clean and not copies and not sending.behind
            self.arrivals.append(
                Arrival(number, name, request_id, connection, not answers, is_clean)
            )
            for copy in sending.before if answers else ():
                await write_copy(writer, copy, answers)
            writer.write(own)
            answers.append(own)
            for copy in sending.behind:
                await write_copy(writer, copy, answers)
            await writer.drain()


async def receive(reader):
    """Return the number, the name and the id of a sending."""
    lines = (await reader.readuntil(HEAD_END)).decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", 0)))
    number = int(lines[0].split(" ")[1].removeprefix("/"))
    expected = PLATFORM_CONVENTIONS.expected_target_header.lower()
    return number, headers[expected], headers["request-id"]


def answer_of(number, sending):
    """Return the bytes of the true answer to a sending."""
    request_id = sending.request_id
    if sending.refusal is not None:
        return WIRE.refusal(sending.refusal, request_id if sending.has_id else None)
    return WIRE.answer("200 OK", request_id, b"%d" % number)


async def write_copy(writer, copy, answers):
    await asyncio.sleep(copy.pause_ms / 1000)
    text = answers[-min(copy.steps_back, len(answers))]
    if copy.is_behind_interim:
        text = INTERIM + text
    split_at = len(text)
    if copy.split_share is not None:
        split_at = int(copy.split_share * len(text))
    for piece in (text[:split_at], text[split_at:]):
        if writer.is_closing():
            raise ConnectionResetError
        writer.write(piece)
        if split_at < len(text):
            for _ in range(SEGMENT_LOOP_PASSES):
                await asyncio.sleep(0)


async def send(session, port, number, sending):
    attempt = Attempt(
        method=sending.method,
        uri=RequestUri(f"/{number}"),
        headers=CIMultiDict({"Request-Id": sending.request_id}),
        body=b"body" if sending.method == "POST" else b"",
        request_id=sending.request_id,
        timeout_s=TIMEOUT_S,
        connect_timeout_s=TIMEOUT_S,
    )
    entry = replace(ENTRY, name=sending.name, port=port)
    return await send_attempt(
        session, entry, attempt, PLATFORM_CONVENTIONS, AttemptTrace()
    )


async def run_sendings(sendings):
    """Return the result of each sending, and the target."""
    target = CopyingTarget(sendings)
    await target.start()
    session = make_session(CleanReuseConnector(limit=0))
    tasks = []
    for number, sending in enumerate(sendings):
        if tasks and not sending.is_concurrent:
            await asyncio.wait(tasks)
            await asyncio.sleep(sending.gap_ms / 1000)
        tasks.append(asyncio.create_task(send(session, target.port, number, sending)))
    try:
        async with asyncio.timeout(4 * TIMEOUT_S):
            results = await asyncio.gather(*tasks)
    finally:
        await session.close()
        await target.close()
    return results, target.arrivals


def check(sendings, results, arrivals):
    by_number = {each.number: each for each in arrivals}
    assert len(by_number) == len(arrivals), "a sending was received twice"
    carried = [(each.connection, each.request_id) for each in arrivals]
    assert len(set(carried)) == len(carried), "a connection carried an id twice"
    for number, (sending, result) in enumerate(zip(sendings, results, strict=True)):
        arrival = by_number.get(number)
        if arrival is not None:
            received = arrival.name, arrival.request_id
            assert received == (sending.name, sending.request_id)
        match result:
            case NotRunAtTarget(has_arrived=True):
                assert arrival is not None, result
                assert sending.refusal is not None, f"{number} has run: {result}"
            case NotRunAtTarget():
                assert arrival is None, f"{number} has arrived: {result}"
            case CompleteAnswer():
                assert arrival is not None, result
                assert sending.refusal is None, f"{number} was refused: {result}"
                assert (result.status, result.body) == (200, b"%d" % number)
        if arrival is not None and arrival.is_clean:
            check_clean(sending, arrival, result)


def check_clean(sending, arrival, result):
    """Check that a true answer on a connection without copies is believed."""
    if sending.refusal is None:
        assert isinstance(result, CompleteAnswer), result
    elif sending.has_id or arrival.is_first:
        assert isinstance(result, NotRunAtTarget), result
        assert result.has_arrived


@pytest.mark.parametrize("new_loop", LOOPS)
def test_no_attempt_accepts_a_copy_of_an_earlier_answer(new_loop):
    with asyncio.Runner(loop_factory=new_loop) as runner:

        @settings(settings.get_profile("ci"), max_examples=150)
        @given(st.lists(SENDINGS, min_size=2, max_size=8))
        def run(sendings):
            check(sendings, *runner.run(run_sendings(sendings)))

        run()
