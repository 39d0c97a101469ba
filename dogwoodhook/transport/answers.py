"""Answers to callers: streamed from targets, or made by the daemon itself."""

import asyncio

import aiohttp
from aiohttp import web

from dogwoodhook.coordination.claims import MAX_STORED_BODY_BYTES
from dogwoodhook.coordination.rows import StoredAnswer
from dogwoodhook.protocol.headers import (
    OUTCOME_HEADER,
    TARGET_HEADER,
    end_to_end_headers,
    outcome_value,
)
from dogwoodhook.state.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from dogwoodhook.transport.pipelining import abort_caller_connection

_STATUS_BY_NOT_RUN_REASON = {
    NotRunReason.NO_ROUTE: 404,
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.DEADLINE: 504,
    NotRunReason.KEY_REUSED: 422,
}
_DEFAULT_NOT_RUN_STATUS = 503
_STATUS_BY_UNKNOWN_REASON = {
    UnknownReason.DEADLINE: 504,
    UnknownReason.KEY_IN_PROGRESS: 409,
}
_DEFAULT_UNKNOWN_STATUS = 502
_UNSTORED_HEADERS = frozenset(
    {"content-length", "transfer-encoding", "connection", "date", "server"}
)


def own_answer(outcome: NotRun | Unknown) -> web.Response:
    """Return the daemon's own answer to a request that got none from a target."""
    match outcome:
        case NotRun(reason=reason):
            status = _STATUS_BY_NOT_RUN_REASON.get(reason, _DEFAULT_NOT_RUN_STATUS)
        case Unknown(reason=unknown_reason):
            status = _STATUS_BY_UNKNOWN_REASON.get(
                unknown_reason, _DEFAULT_UNKNOWN_STATUS
            )
    value = outcome_value(outcome)
    return web.Response(
        status=status, text=f"{value}\n", headers={OUTCOME_HEADER: value}
    )


class AnswerCapture:
    """Copies the body of a small answer while it is streamed."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._size = 0

    def add(self, chunk: bytes) -> None:
        """Record a chunk, as long as the body is small enough to store."""
        self._size += len(chunk)
        if self._size <= MAX_STORED_BODY_BYTES:
            self._chunks.append(chunk)
        else:
            self._chunks.clear()

    def stored_answer(self, answer: web.StreamResponse) -> StoredAnswer | None:
        """Return the complete answer, or ``None`` if it was too large."""
        if self._size > MAX_STORED_BODY_BYTES:
            return None
        headers = tuple(
            (name, value)
            for name, value in answer.headers.items()
            if name.lower() not in _UNSTORED_HEADERS
        )
        return StoredAnswer(answer.status, headers, b"".join(self._chunks))


async def stream_answer(
    request: web.BaseRequest,
    source: aiohttp.ClientResponse,
    *,
    timeout_s: float,
    capture: AnswerCapture | None = None,
) -> tuple[web.StreamResponse, Answered | Unknown]:
    """Stream a target's answer to the caller.

    If the target's answer breaks off, the caller's connection is closed too. If the
    caller closes its connection, the answer is still read, so that the target's work
    runs to its end; where that is not wanted, the task is cancelled.
    """
    headers = end_to_end_headers(source.headers)
    headers.popall(TARGET_HEADER, None)
    headers[OUTCOME_HEADER] = outcome_value(Answered(source.status))
    answer = web.StreamResponse(
        status=source.status, reason=source.reason, headers=headers
    )
    try:
        async with asyncio.timeout(timeout_s):
            await _copy_answer(request, source, answer, capture)
    except TimeoutError:
        abort_caller_connection(request)
        return answer, Unknown(UnknownReason.DEADLINE)
    except (aiohttp.ClientError, OSError):
        abort_caller_connection(request)
        return answer, Unknown(UnknownReason.BROKEN_ANSWER)
    except Exception:
        abort_caller_connection(request)
        raise
    finally:
        # Closes the connection unless the complete answer has been read.
        source.close()
    return answer, Answered(source.status)


async def _copy_answer(
    request: web.BaseRequest,
    source: aiohttp.ClientResponse,
    answer: web.StreamResponse,
    capture: AnswerCapture | None,
) -> None:
    is_caller_present = await _prepare(request, answer)
    async for chunk in source.content.iter_any():
        if capture is not None:
            capture.add(chunk)
        if is_caller_present:
            is_caller_present = await _write(answer, chunk)


async def _prepare(request: web.BaseRequest, answer: web.StreamResponse) -> bool:
    try:
        await answer.prepare(request)
    except ConnectionError:
        return False
    return True


async def _write(answer: web.StreamResponse, chunk: bytes) -> bool:
    try:
        await answer.write(chunk)
    except ConnectionError:
        return False
    return True
