"""One attempt of a request at one target, its answer checked whole.

A small answer is read to its end before any of it goes to the caller, so that an
answer that breaks off can still be replaced. An answer counts as the target's only
if it carries the request's id; whatever else came on the connection belongs to
another request. So does a refusal without an id, unless the connection is new.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from dogwoodhook.protocol.http_dialect import HttpDialect
from dogwoodhook.state.suspicion import Symptom
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.transport.bodies import CallerBodyError
from dogwoodhook.transport.resend_guard import AttemptTrace, NotWantedError

BUFFERED_ANSWER_BYTES = 256 * 1024
"""Answers up to this size are read whole before the caller gets any of them."""

_PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """What is sent to a target."""

    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes]
    request_id: str
    timeout_s: float
    connect_timeout_s: float


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A target's whole answer."""

    status: int
    reason: str
    headers: CIMultiDictProxy[str]
    body: bytes


@dataclass(frozen=True, slots=True)
class OpenAnswer:
    """The start of a large answer; ``response`` yields the rest."""

    status: int
    reason: str
    headers: CIMultiDictProxy[str]
    body: bytes
    response: aiohttp.ClientResponse


@dataclass(frozen=True, slots=True)
class NotRunThere:
    """The target did not run the request: no connection, or its own word.

    ``has_timed_out`` tells that the connection was not refused but too slow.
    """

    detail: str
    symptom: Symptom | None
    has_arrived: bool
    has_timed_out: bool = False


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request was sent and no answer to it came."""

    detail: str
    symptom: Symptom | None


AttemptResult = WholeAnswer | OpenAnswer | NotRunThere | MayHaveRun


async def attempt(
    session: aiohttp.ClientSession,
    target: TargetEntry,
    sending: Attempt,
    dialect: HttpDialect,
    trace: AttemptTrace,
) -> AttemptResult:
    """Send a request to a target and return what is known of it."""
    url = URL(f"http://{target.address}{sending.path}", encoded=True)
    headers = sending.headers.copy()
    headers[dialect.expected_target_header] = target.name
    response: aiohttp.ClientResponse | None = None
    result: AttemptResult | None = None
    try:
        async with asyncio.timeout(sending.timeout_s):
            response = await session.request(
                sending.method,
                url,
                headers=headers,
                data=sending.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=sending.connect_timeout_s
                ),
                trace_request_ctx=trace,
                middlewares=(trace.block_resend,),
            )
            result = await _read_answer(response, sending, dialect, trace)
    except TimeoutError:
        result = _after_timeout(trace)
    except CallerBodyError:
        result = MayHaveRun("the caller's upload broke off", None)
    except NotWantedError:
        result = NotRunThere("the target leaves", None, has_arrived=False)
    except (aiohttp.ClientError, OSError) as error:
        result = _after_error(trace, error)
    finally:
        # Closes the connection unless the whole answer has been read.
        if response is not None and not isinstance(result, OpenAnswer):
            response.close()
    return result


async def _read_answer(
    response: aiohttp.ClientResponse,
    sending: Attempt,
    dialect: HttpDialect,
    trace: AttemptTrace,
) -> AttemptResult:
    headers = response.headers
    problem = _problem(response, sending, dialect, trace)
    if problem is not None:
        return MayHaveRun(problem, Symptom.RESET)
    body = bytearray()
    is_whole = await _read_up_to(response, body, BUFFERED_ANSWER_BYTES)
    if dialect.declares_not_run(response.status, headers):
        is_busy = response.status not in dialect.not_run_statuses
        symptom = Symptom.BUSY if is_busy else None
        detail = f"status {response.status}"
        if dialect.request_id_header not in headers:
            detail += " without a request id"
        return NotRunThere(detail, symptom, has_arrived=True)
    reason = response.reason or ""
    if is_whole:
        return WholeAnswer(response.status, reason, headers, bytes(body))
    return OpenAnswer(response.status, reason, headers, bytes(body), response)


async def read_on(opened: OpenAnswer, *, limit_bytes: int) -> AttemptResult:
    """Read a large answer to its end, or as far as it may be kept."""
    body = bytearray(opened.body)
    result: AttemptResult | None = None
    try:
        is_whole = await _read_up_to(opened.response, body, limit_bytes)
        if not is_whole:
            result = replace(opened, body=bytes(body))
        else:
            result = WholeAnswer(
                opened.status, opened.reason, opened.headers, bytes(body)
            )
    except (aiohttp.ClientError, OSError) as error:
        result = MayHaveRun(f"the answer broke off: {error!r}", Symptom.RESET)
    finally:
        if not isinstance(result, OpenAnswer):
            opened.response.close()
    return result


async def _read_up_to(
    response: aiohttp.ClientResponse, body: bytearray, limit_bytes: int
) -> bool:
    """Read an answer's body until there is too much; tell whether it is whole."""
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limit_bytes:
            break
    return response.content.at_eof()


def _problem(
    response: aiohttp.ClientResponse,
    sending: Attempt,
    dialect: HttpDialect,
    trace: AttemptTrace,
) -> str | None:
    headers = response.headers
    declares_not_run = dialect.declares_not_run(response.status, headers)
    is_success = 200 <= response.status < 300
    echoed = set(headers.getall(dialect.request_id_header, []))
    if echoed - {sending.request_id}:
        return f"an answer to request {', '.join(sorted(echoed))}"
    # On a new connection there was no other request that a refusal could be for.
    is_refusal_of_this = declares_not_run and not trace.is_reused
    if not echoed and not is_refusal_of_this:
        return "an answer without a request id"
    if is_success and declares_not_run:
        return "a success that says it was not run"
    if is_success and dialect.signature_header not in headers:
        return "a success without a signature"
    if "Content-Encoding" in headers:
        return "an answer with a content coding"
    if response.status in _PROMISES and not declares_not_run:
        return f"status {response.status} without a word on running"
    return None


def _after_timeout(trace: AttemptTrace) -> AttemptResult:
    if not trace.is_connected:
        return NotRunThere(
            "no connection in time",
            Symptom.UNREACHABLE,
            has_arrived=False,
            has_timed_out=True,
        )
    return MayHaveRun("no answer in time", Symptom.SILENT)


def _after_error(trace: AttemptTrace, error: Exception) -> AttemptResult:
    if isinstance(error.__cause__, CallerBodyError):
        return MayHaveRun("the caller's upload broke off", None)
    connection = "used" if trace.is_reused else "new"
    detail = f"{type(error).__name__} on a {connection} connection: {error}"
    if not trace.is_connected:
        return NotRunThere(detail, Symptom.UNREACHABLE, has_arrived=False)
    has_answered = isinstance(
        error, (aiohttp.ClientPayloadError, aiohttp.ClientResponseError)
    )
    if has_answered or not trace.is_reused:
        return MayHaveRun(detail, Symptom.RESET)
    if isinstance(error, aiohttp.ServerDisconnectedError):
        # An idle connection's closing may have crossed the request.
        return MayHaveRun(detail, None)
    return MayHaveRun(detail, Symptom.IDLE_RESET)
