"""Sends a request to one target once, and checks the answer.

A small answer is read to its end before any of it goes to the caller, so that an
answer that breaks off can still be replaced. An answer is accepted only if it carries
the request's id: any other may belong to another request of the connection. On a new
connection a refusal is accepted without an id, since no other request was sent there.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy

from dogwoodhook.protocol.http_conventions import HttpConventions
from dogwoodhook.protocol.request_uri import RequestUri
from dogwoodhook.protocol.target_announcements import (
    PauseAnnouncement,
    TargetAnnouncement,
    read_announcements,
)
from dogwoodhook.state.connection_history import NEW_CONNECTION, ConnectionUse
from dogwoodhook.state.suspicion import Symptom
from dogwoodhook.state.target_directory import TargetEntry
from dogwoodhook.transport.bodies import CallerBodyError
from dogwoodhook.transport.request_uris import target_url
from dogwoodhook.transport.resend_guard import AttemptTrace, NotWantedError

BUFFERED_ANSWER_BYTES = 256 * 1024
"""Answers up to this size are read to their end before the caller gets any of them."""

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """A request as it is sent to a target.

    ``on_announcement`` is called with what the target says of itself in its answer.
    """

    method: str
    uri: RequestUri
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes]
    request_id: str
    timeout_s: float
    connect_timeout_s: float
    on_announcement: Callable[[TargetAnnouncement], None] = lambda announcement: None


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """A target's answer with its complete body."""

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
class NotRunAtTarget:
    """The target did not run the request.

    Either there was no connection, or the target answered that it did not run it.
    ``has_arrived`` is set in the second case. ``has_timed_out`` is set where there was
    no connection in time, ``is_port_closed`` where nothing listens at the port.
    ``connection`` is what the connection had carried before.
    """

    detail: str
    symptom: Symptom | None
    has_arrived: bool
    has_timed_out: bool = False
    is_port_closed: bool = False
    connection: ConnectionUse = NEW_CONNECTION


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request was sent, and no valid answer to it was received.

    ``has_lost_connection`` is set where the connection broke, as opposed to an answer
    that was invalid or did not arrive in time. ``has_refusal`` is set where the target
    declared that the request was not run, and this is not certain. ``connection`` is
    what the connection had carried before.
    """

    detail: str
    symptom: Symptom | None
    has_lost_connection: bool = False
    has_refusal: bool = False
    connection: ConnectionUse = NEW_CONNECTION


AttemptResult = CompleteAnswer | OpenAnswer | NotRunAtTarget | MayHaveRun


async def send_attempt(
    session: aiohttp.ClientSession,
    target: TargetEntry,
    attempt: Attempt,
    conventions: HttpConventions,
    trace: AttemptTrace,
) -> AttemptResult:
    """Send a request to a target, and return the answer or why there is none."""
    headers = attempt.headers.copy()
    headers[conventions.expected_target_header] = target.name
    trace.request_id = attempt.request_id
    trace.request_id_header = conventions.request_id_header
    response: aiohttp.ClientResponse | None = None
    result: AttemptResult | None = None
    try:
        async with asyncio.timeout(attempt.timeout_s):
            response = await session.request(
                attempt.method,
                target_url(target.address, attempt.uri),
                headers=headers,
                data=attempt.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=attempt.connect_timeout_s
                ),
                trace_request_ctx=trace,
                middlewares=(trace.block_resend,),
            )
            result = await _read_answer(response, attempt, conventions, trace)
    except TimeoutError:
        result = _after_timeout(trace)
    except CallerBodyError:
        result = MayHaveRun("the caller's upload broke off", None)
    except NotWantedError as error:
        result = NotRunAtTarget(str(error), None, has_arrived=False)
    except (aiohttp.ClientError, OSError, ValueError) as error:
        # A value error is that of an address that cannot be encoded.
        result = _after_error(trace, error)
    finally:
        # Closes the connection unless the complete answer has been read.
        if response is not None and not isinstance(result, OpenAnswer):
            response.close()
    if isinstance(result, NotRunAtTarget | MayHaveRun):
        result = replace(result, connection=trace.use)
    return result


async def _read_answer(
    response: aiohttp.ClientResponse,
    attempt: Attempt,
    conventions: HttpConventions,
    trace: AttemptTrace,
) -> AttemptResult:
    headers = response.headers
    has_paused = _report_announcements(response, attempt, conventions, trace)
    problem = _answer_problem(response, attempt, conventions, trace)
    is_refusal = conventions.declares_not_run(response.status, headers)
    if problem is not None:
        symptom = None if has_paused else Symptom.RESET
        return MayHaveRun(problem, symptom, has_refusal=is_refusal)
    body = bytearray()
    is_complete = await _read_up_to(response, body, BUFFERED_ANSWER_BYTES)
    if is_refusal:
        trace.record_refusal()
        is_busy = response.status not in conventions.not_run_statuses
        symptom = Symptom.BUSY if is_busy and not has_paused else None
        detail = f"status {response.status}"
        if conventions.request_id_header not in headers:
            detail += " without a request id"
        return NotRunAtTarget(detail, symptom, has_arrived=True)
    reason = response.reason or ""
    if is_complete:
        return CompleteAnswer(response.status, reason, headers, bytes(body))
    return OpenAnswer(response.status, reason, headers, bytes(body), response)


async def read_rest(
    opened: OpenAnswer, *, may_hold: Callable[[int], bool]
) -> AttemptResult:
    """Read a large answer to its end, or until no more of it may be held.

    ``may_hold`` is asked for the number of each further bytes.
    """
    body = bytearray(opened.body)
    result: AttemptResult | None = None
    try:
        is_complete = True
        async for chunk in opened.response.content.iter_any():
            body += chunk
            if not may_hold(len(chunk)):
                is_complete = False
                break
        if not is_complete:
            result = replace(opened, body=bytes(body))
        else:
            result = CompleteAnswer(
                opened.status, opened.reason, opened.headers, bytes(body)
            )
    except (aiohttp.ClientError, OSError) as error:
        detail = f"the answer broke off: {error!r}"
        result = MayHaveRun(detail, Symptom.RESET, has_lost_connection=True)
    finally:
        if not isinstance(result, OpenAnswer):
            opened.response.close()
    return result


async def _read_up_to(
    response: aiohttp.ClientResponse, body: bytearray, limit_bytes: int
) -> bool:
    """Append an answer's body to ``body``; return whether it is complete.

    Reading ends once the body is larger than the limit.
    """
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limit_bytes:
            break
    return response.content.at_eof()


def _report_announcements(
    response: aiohttp.ClientResponse,
    attempt: Attempt,
    conventions: HttpConventions,
    trace: AttemptTrace,
) -> bool:
    """Report what the target says of itself; return whether it asks for a pause."""
    if not _is_own_answer(response, attempt, conventions, trace):
        return False
    announcements = list(
        read_announcements(response.status, response.headers, conventions)
    )
    for announcement in announcements:
        attempt.on_announcement(announcement)
    return any(
        isinstance(announcement, PauseAnnouncement) for announcement in announcements
    )


def _is_own_answer(
    response: aiohttp.ClientResponse,
    attempt: Attempt,
    conventions: HttpConventions,
    trace: AttemptTrace,
) -> bool:
    """Return whether an answer is the target's own to this request.

    Another target at the address answers with one of the ``not_run_statuses``.
    """
    if response.status in conventions.not_run_statuses:
        return False
    echoed = set(response.headers.getall(conventions.request_id_header, []))
    if echoed:
        return echoed == {attempt.request_id}
    declares_not_run = conventions.declares_not_run(response.status, response.headers)
    return declares_not_run and not trace.is_reused


def _answer_problem(
    response: aiohttp.ClientResponse,
    attempt: Attempt,
    conventions: HttpConventions,
    trace: AttemptTrace,
) -> str | None:
    headers = response.headers
    declares_not_run = conventions.declares_not_run(response.status, headers)
    is_success = 200 <= response.status < 300
    echoed = set(headers.getall(conventions.request_id_header, []))
    if echoed - {attempt.request_id}:
        return f"an answer to request {', '.join(sorted(echoed))}"
    # On a new connection no other request was sent that a refusal could belong to.
    is_refusal_of_this = declares_not_run and not trace.is_reused
    if not echoed and not is_refusal_of_this:
        return "an answer without a request id"
    if is_success and declares_not_run:
        return "a success that says it was not run"
    if is_success and conventions.signature_header not in headers:
        return "a success without a signature"
    if "Content-Encoding" in headers:
        return "an answer with a content coding"
    if response.status in _NOT_RUN_STATUSES and not declares_not_run:
        return f"status {response.status} without a word on running"
    return None


def _after_timeout(trace: AttemptTrace) -> AttemptResult:
    if not trace.is_connected:
        return NotRunAtTarget(
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
        return NotRunAtTarget(
            detail,
            Symptom.UNREACHABLE,
            has_arrived=False,
            is_port_closed=isinstance(error.__cause__, ConnectionRefusedError),
        )
    has_answered = isinstance(
        error, (aiohttp.ClientPayloadError, aiohttp.ClientResponseError)
    )
    return MayHaveRun(
        detail,
        _symptom_of_loss(trace, error, has_answered=has_answered),
        has_lost_connection=True,
    )


def _symptom_of_loss(
    trace: AttemptTrace, error: Exception, *, has_answered: bool
) -> Symptom | None:
    if has_answered or not trace.is_reused:
        return Symptom.RESET
    if isinstance(error, aiohttp.ServerDisconnectedError):
        # The target may have closed the idle connection before it got the request.
        return None
    return Symptom.IDLE_RESET


def connection_fields(result: NotRunAtTarget | MayHaveRun) -> dict[str, object]:
    """Return the log fields that tell whether a refusal was believed, and why."""
    fields = result.connection.log_fields()
    match result:
        case NotRunAtTarget(has_arrived=True):
            return {"refusal": "believed", **fields}
        case MayHaveRun(has_refusal=True):
            return {"refusal": "doubted", **fields}
        case _:
            return fields


def discard_attempt(task: asyncio.Task[AttemptResult]) -> None:
    """Cancel an attempt whose answer is no longer needed, or close its answer."""
    if not task.cancel() and not task.cancelled() and task.exception() is None:
        result = task.result()
        if isinstance(result, OpenAnswer):
            result.response.close()
