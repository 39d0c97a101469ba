"""One attempt of a request at one target.

``open_answer`` sends the request and waits for the answer's head. An attempt without
an answer has the outcome ``NotRun`` only if it never held a connection, so that no
byte was sent, or if the target declares that it did not run the request. In every
other case the outcome is ``Unknown``. On a reused connection, a declaration may
concern an earlier request, so it is not conclusive.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
from expression import Error, Ok, Result
from multidict import CIMultiDict

from dogwoodhook.protocol.headers import (
    TARGET_DRAINING,
    TARGET_HEADER,
    TARGET_SHED,
)
from dogwoodhook.protocol.request_uri import RequestUri
from dogwoodhook.state.model import Target
from dogwoodhook.state.outcomes import (
    FailureKind,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from dogwoodhook.transport.bodies import CallerBodyError
from dogwoodhook.transport.request_uris import target_url
from dogwoodhook.transport.resend_guard import AttemptTrace

SHED_STATUS = 503


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """A request to a target; it can be resent if its ``body`` is bytes."""

    method: str
    uri: RequestUri
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes]
    timeout_s: float


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """An answer whose head has been received and whose body is still to be read."""

    response: aiohttp.ClientResponse
    trace: AttemptTrace


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt that got no usable answer.

    ``failure`` is ``None`` if the target is not at fault. ``is_conclusive`` is false
    if the target's declaration may concern an earlier request on the connection.
    ``is_draining`` is set if the target declared that it accepts no new requests.
    """

    outcome: NotRun | Unknown
    failure: FailureKind | None
    is_reused: bool = False
    is_draining: bool = False
    is_conclusive: bool = True


async def open_answer(
    session: aiohttp.ClientSession, target: Target, request: AttemptRequest
) -> Result[TargetAnswer, AttemptFailure]:
    """Send a request and wait for the head of its answer."""
    trace = AttemptTrace()
    try:
        async with asyncio.timeout(request.timeout_s):
            response = await session.request(
                request.method,
                target_url(target.address, request.uri),
                headers=request.headers,
                data=request.body or None,
                allow_redirects=False,
                trace_request_ctx=trace,
                middlewares=(trace.block_resend,),
            )
    except TimeoutError:
        return Error(_timeout_failure(trace))
    except CallerBodyError:
        return Error(_caller_failure(trace))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        # A value error is that of an address that cannot be encoded.
        if isinstance(error.__cause__, CallerBodyError):
            return Error(_caller_failure(trace))
        return Error(_connection_failure(trace))
    declared = _declared_not_run(response, trace)
    if declared is not None:
        response.close()
        return Error(declared)
    return Ok(TargetAnswer(response, trace))


def _declared_not_run(
    response: aiohttp.ClientResponse, trace: AttemptTrace
) -> AttemptFailure | None:
    if response.status != SHED_STATUS:
        return None
    state = response.headers.get(TARGET_HEADER)
    if state not in (TARGET_SHED, TARGET_DRAINING):
        return None
    return AttemptFailure(
        NotRun(NotRunReason.TARGET_SHED),
        None,
        is_draining=state == TARGET_DRAINING,
        is_conclusive=not trace.is_reused,
    )


def _timeout_failure(trace: AttemptTrace) -> AttemptFailure:
    if not trace.is_connected:
        return AttemptFailure(NotRun(NotRunReason.CONNECT_FAILED), FailureKind.CONNECT)
    return AttemptFailure(
        Unknown(UnknownReason.DEADLINE), FailureKind.DEADLINE, trace.is_reused
    )


def _caller_failure(trace: AttemptTrace) -> AttemptFailure:
    return AttemptFailure(Unknown(UnknownReason.CALLER_BODY_BROKEN), None)


def _connection_failure(trace: AttemptTrace) -> AttemptFailure:
    if not trace.is_connected:
        return AttemptFailure(NotRun(NotRunReason.CONNECT_FAILED), FailureKind.CONNECT)
    return AttemptFailure(
        Unknown(UnknownReason.CONNECTION_LOST), FailureKind.CRASH, trace.is_reused
    )
