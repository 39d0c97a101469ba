"""Callers that send requests in a closed loop, each with a unique nonce."""

import asyncio
import hashlib
import uuid
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import aiohttp

from dogwoodhook.clock import SystemClock
from dogwoodhook.protocol.headers import (
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    WORKSPACE_HEADER,
)
from dogwoodhook.testing.target_server import NONCE_HEADER

BROKEN = "broken"
"""Outcome of a request with an incomplete answer or none."""

CALLER_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request and its share of a service's load."""

    method: str
    path: str
    is_idempotent: bool
    weight: float = 1.0
    body_bytes: int = 0
    has_key: bool = False


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The requests of one service; at most ``callers`` of them are in flight."""

    service: str
    kinds: tuple[RequestKind, ...]
    workspaces: tuple[str, ...]
    callers: int = 4
    think_time_s: float = 0.05


@dataclass(frozen=True, slots=True)
class CallRecord:
    """What a caller received for one request; times are elapsed seconds.

    ``is_own_answer`` is false for an answer that belongs to another request.
    """

    nonce: str
    service: str
    kind: RequestKind
    outcome: str
    status: int
    started_s: float
    ended_s: float
    is_own_answer: bool


@dataclass(slots=True)
class Callers:
    """Sends each request to a random daemon, as the platform's load balancer would."""

    urls: Sequence[str]
    rng: Random
    records: list[CallRecord] = field(default_factory=list)
    clock: SystemClock = field(default_factory=SystemClock)

    async def run(self, plans: Sequence[LoadPlan], *, seconds: float) -> None:
        """Send requests for a number of seconds, and wait for the last answers."""
        end_s = self.clock.now_s() + seconds
        timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            await asyncio.gather(
                *(
                    self._call_until(session, plan, end_s)
                    for plan in plans
                    for _ in range(plan.callers)
                )
            )

    async def _call_until(
        self, session: aiohttp.ClientSession, plan: LoadPlan, end_s: float
    ) -> None:
        weights = [kind.weight for kind in plan.kinds]
        while self.clock.now_s() < end_s:
            kind = self.rng.choices(plan.kinds, weights)[0]
            workspace = self.rng.choice(plan.workspaces)
            self.records.append(await self.call(session, plan.service, kind, workspace))
            await asyncio.sleep(self.rng.uniform(0, 2 * plan.think_time_s))

    async def call(
        self,
        session: aiohttp.ClientSession,
        service: str,
        kind: RequestKind,
        workspace: str,
    ) -> CallRecord:
        """Send one request, and return what its caller received."""
        nonce = uuid.UUID(int=self.rng.getrandbits(128)).hex
        headers = {NONCE_HEADER: nonce, WORKSPACE_HEADER: workspace}
        if kind.has_key:
            headers[IDEMPOTENCY_KEY_HEADER] = nonce
        body = self.rng.randbytes(kind.body_bytes)
        started_s = self.clock.now_s()
        outcome, status, is_own = BROKEN, 0, True
        try:
            async with session.request(
                kind.method,
                self.rng.choice(self.urls) + kind.path,
                headers=headers,
                data=body or None,
            ) as response:
                answer = await response.read()
                status = response.status
                outcome = response.headers.get(OUTCOME_HEADER, BROKEN)
                is_own = _is_own(response, answer, nonce, body)
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        ended_s = self.clock.now_s()
        return CallRecord(
            nonce, service, kind, outcome, status, started_s, ended_s, is_own
        )


def _is_own(
    response: aiohttp.ClientResponse, answer: bytes, nonce: str, body: bytes
) -> bool:
    if response.status != 200:
        return True
    if response.headers.get(NONCE_HEADER) != nonce:
        return False
    return not body or hashlib.sha256(body).hexdigest().encode() in answer
