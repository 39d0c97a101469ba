"""A caller's request while the daemon handles it."""

from dataclasses import dataclass, field

from aiohttp import web
from expression import Error, Ok, Result
from multidict import CIMultiDict

from dogwoodhook.coordination.claims import Claimed
from dogwoodhook.protocol.headers import (
    IDEMPOTENCY_KEY_HEADER,
    TIMEOUT_HEADER,
    WORKSPACE_HEADER,
)
from dogwoodhook.protocol.request_uri import RequestUri
from dogwoodhook.state.outcomes import NotRun, NotRunReason, Unknown
from dogwoodhook.state.quarantine import body_digest, fingerprint
from dogwoodhook.transport.answers import AnswerCapture
from dogwoodhook.transport.bodies import RequestBody, read_prelude
from dogwoodhook.transport.request_uris import headers_to_target, host_of, uri_of
from dogwoodhook.transport.services import ServiceRegistry, ServiceRuntime

MAX_TIMEOUT_DIGITS = 12
"""Most digits of a timeout that are parsed; a longer one exceeds any deadline."""


@dataclass(slots=True)
class Timing:
    """Time that a request waited and spent at targets, and its number of retries."""

    queueing_ms: float = 0.0
    target_ms: float = 0.0
    retries: int = 0


@dataclass(slots=True)
class Call:
    """A request with its service, body and deadline.

    ``deadline_s`` is on the elapsed clock. ``earlier_unknown`` is the unknown outcome
    of an earlier attempt: once it is set, the request can no longer be reported as not
    run. ``sheds`` counts the times that targets shed the request.
    """

    request: web.BaseRequest
    uri: RequestUri
    runtime: ServiceRuntime
    workspace: str
    headers: CIMultiDict[str]
    body: RequestBody
    is_idempotent: bool
    fingerprint: str
    idempotency_key: str | None
    deadline_s: float
    earlier_unknown: Unknown | None = None
    claim: Claimed | None = None
    capture: AnswerCapture | None = None
    sheds: int = 0
    timing: Timing = field(default_factory=Timing)

    @property
    def failure_identity(self) -> int:
        """The start of the fingerprint, as the number that target health expects."""
        return int(self.fingerprint[:16], 16)

    def may_send(self, now_s: float) -> bool:
        """Return whether the claim on the idempotency key, if any, allows sending."""
        return self.claim is None or self.claim.may_send(now_s)

    def final_outcome(self, outcome: NotRun | Unknown) -> NotRun | Unknown:
        """Return the outcome of the call, given the outcome of its last attempt."""
        if isinstance(outcome, NotRun) and self.earlier_unknown is not None:
            return self.earlier_unknown
        return outcome


async def read_call(
    request: web.BaseRequest, registry: ServiceRegistry, *, now_s: float
) -> Result[Call, NotRun]:
    """Match a request to its service and read the first part of its body."""
    uri = uri_of(request)
    if uri is None:
        return Error(NotRun(NotRunReason.BAD_REQUEST))
    match = registry.routes.match(host_of(request, uri), uri.path)
    runtime = registry.get(match.service) if match else None
    if match is None or runtime is None:
        return Error(NotRun(NotRunReason.NO_ROUTE))
    parameters = runtime.service.parameters
    timeout_ms = _timeout_ms(request, default_ms=parameters.deadline_ms)
    if timeout_ms is None:
        return Error(NotRun(NotRunReason.BAD_REQUEST))
    body = await read_prelude(request, buffer_bytes=parameters.replay_buffer_bytes)
    workspace = request.headers.get(WORKSPACE_HEADER) or match.workspace
    headers = headers_to_target(request, uri)
    headers[WORKSPACE_HEADER] = workspace
    return Ok(
        Call(
            request=request,
            uri=uri,
            runtime=runtime,
            workspace=workspace,
            headers=headers,
            body=body,
            is_idempotent=parameters.is_idempotent(request.method, uri.path),
            fingerprint=fingerprint(
                scope=runtime.service.name,
                workspace=workspace,
                method=request.method,
                path=uri.text,
                digest=body_digest(body.identifying_bytes),
            ),
            idempotency_key=request.headers.get(IDEMPOTENCY_KEY_HEADER),
            deadline_s=now_s + timeout_ms / 1000,
        )
    )


def _timeout_ms(request: web.BaseRequest, *, default_ms: int) -> int | None:
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return default_ms
    if not text.isascii() or not text.isdigit():
        return None
    if len(text) > MAX_TIMEOUT_DIGITS:
        return default_ms
    return min(int(text), default_ms)
