"""Listeners for callers' requests, and for readiness checks and metrics."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from dogwoodhook.clock import Clock
from dogwoodhook.events import REQUEST_FAILED, log
from dogwoodhook.metrics import Metrics
from dogwoodhook.state.daemon_stop import BALANCER_NOTICE_S, DaemonStop
from dogwoodhook.transport.accounted_connections import exceeds_body_limit
from dogwoodhook.transport.body_intake import BODY_TOO_LARGE_STATUS
from dogwoodhook.transport.bounded_requests import GetLimits
from dogwoodhook.transport.caller_pressure import CallerPressure
from dogwoodhook.transport.detached_tasks import DetachedTasks
from dogwoodhook.transport.listening import HttpListener
from dogwoodhook.transport.metrics_answer import metrics_answer
from dogwoodhook.transport.pipelining import (
    Forward,
    MayBeLarge,
    MayStart,
    OnUnanswered,
    PipelinedServer,
)
from dogwoodhook.transport.stop_timeouts import StopTimeouts
from dogwoodhook.vm_settings import Address

FAILURE_STATUS = 502

DRAIN_INTERVAL_S = 0.02
"""Time between checks whether a stopping daemon has answered all requests."""

IDLE_CHECKS = 3
"""Consecutive checks that must find no work after the last connection was accepted: a
connection takes several passes of the event loop until its first request is read."""

LATE_CLOSING_S = 0.04
"""Time for the last answers where the time to close has already passed, because the VM
was suspended or the event loop was blocked."""

CLOSE_TIMEOUT_S = 0.01
"""Time for each of the two steps in which the library closes connections that remain
after the drain. Together they take less than half of the time reserved for closing in
any grace period of a second or more."""


class CallerListener:
    """Accepts callers' requests until the daemon has stopped.

    ``on_unanswered`` is called for each request whose connection was closed before its
    answer had been written. ``get_limits`` returns the limits for callers' requests
    now in force, ``detached_tasks`` holds requests that continue without a caller, and
    ``pressure`` has the account of what is held for callers.
    """

    def __init__(
        self,
        forward: Forward,
        address: Address,
        *,
        stop: DaemonStop,
        stop_timeouts: StopTimeouts,
        clock: Clock,
        may_start: MayStart,
        may_be_large: MayBeLarge,
        on_unanswered: OnUnanswered,
        get_limits: GetLimits,
        detached_tasks: DetachedTasks,
        pressure: CallerPressure,
    ) -> None:
        self._forward = forward
        self._stop = stop
        self._stop_timeouts = stop_timeouts
        self._clock = clock
        self._may_start = may_start
        self._may_be_large = may_be_large
        self._on_unanswered = on_unanswered
        self._get_limits = get_limits
        self._detached_tasks = detached_tasks
        self._pressure = pressure
        self._server: PipelinedServer | None = None
        self._listener = HttpListener(
            self._handle,
            host=address.host,
            port=address.port,
            make_server=self._make_server,
            close_timeout_s=CLOSE_TIMEOUT_S,
        )

    async def start(self) -> None:
        """Open the listener."""
        await self._listener.start()

    async def drain(self) -> None:
        """Listen until the balancer sends callers elsewhere and no request is left.

        Connections that were accepted before the listening socket closes are still
        served or refused.
        """
        listen_until_s = self._clock.now_s() + BALANCER_NOTICE_S
        while (now_s := self._clock.now_s()) < self._stop.answers_end_s:
            if now_s >= listen_until_s and not self._has_work:
                break
            await self._wait(until_s=self._stop.answers_end_s)
        await self._listener.stop_accepting()
        idle_checks = 0
        closes_s, now_s = self._stop.closes_s, self._clock.now_s()
        if now_s >= closes_s:
            closes_s = now_s + LATE_CLOSING_S
        while idle_checks < IDLE_CHECKS and self._clock.now_s() < closes_s:
            await self._wait(until_s=closes_s)
            idle_checks = 0 if self._has_work else idle_checks + 1

    async def close(self) -> None:
        """Close every connection."""
        await self._listener.close()

    async def _wait(self, *, until_s: float) -> None:
        """Wait until the next check, at most until ``until_s``."""
        left_s = max(0.0, until_s - self._clock.now_s())
        await asyncio.sleep(min(DRAIN_INTERVAL_S, left_s))
        self._stop_timeouts.check_for_suspension()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            answer = await self._forward(request)
        except Exception as error:
            log(REQUEST_FAILED, error=repr(error))
            return web.Response(status=FAILURE_STATUS)
        if exceeds_body_limit(request) and not answer.prepared:
            if answer.status == FAILURE_STATUS:
                return body_too_large(answer)
            # A target answered before the end of the body, which is no longer read.
            answer.force_close()
        return answer

    def count_unanswered(self) -> int:
        """Return the number of requests without a complete answer."""
        return 0 if self._server is None else self._server.count_unanswered()

    @property
    def _has_work(self) -> bool:
        if self._detached_tasks:
            return True
        return self._server is not None and self._server.has_unanswered

    def _make_server(self, forward: Forward, **options: Any) -> PipelinedServer:
        self._server = PipelinedServer(
            forward,
            may_start=self._may_start,
            may_be_large=self._may_be_large,
            is_stopping=lambda: self._stop.has_begun,
            on_unanswered=self._on_unanswered,
            get_limits=self._get_limits,
            pressure=self._pressure,
            **options,
        )
        return self._server


def body_too_large(failure: web.StreamResponse) -> web.Response:
    """Return the answer to a request whose body was cut at a target.

    It says, as the failure does, nothing about whether the request ran.
    """
    headers = failure.headers.copy()
    for name in ("Content-Length", "Content-Type"):
        headers.popall(name, None)
    answer = web.Response(
        status=BODY_TOO_LARGE_STATUS, text="the body is too large\n", headers=headers
    )
    answer.force_close()
    return answer


class OperatorListener:
    """Answers the balancer's readiness checks, and serves the metrics."""

    def __init__(
        self, is_ready: Callable[[], bool], metrics: Metrics, address: Address
    ) -> None:
        self._is_ready = is_ready
        self._metrics = metrics
        self._listener = HttpListener(
            self._handle,
            host=address.host,
            port=address.port,
            close_timeout_s=CLOSE_TIMEOUT_S,
        )

    async def start(self) -> None:
        """Open the listener."""
        await self._listener.start()

    async def close(self) -> None:
        """Close every connection."""
        await self._listener.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        match request.path:
            case "/readyz":
                return web.Response(status=200 if self._is_ready() else 503)
            case "/metrics":
                return metrics_answer(self._metrics)
            case _:
                return web.Response(status=404, text="allowed: /readyz /metrics\n")
