"""The admin listener: health, readiness, metrics, status."""

from typing import Protocol

from aiohttp import web

from dogwoodhook.metrics import Metrics
from dogwoodhook.transport.metrics_answer import metrics_answer
from dogwoodhook.transport.status import ExplanationReport, StatusReport


class StatusSource(Protocol):
    """Source of the reports of the admin listener."""

    def readiness(self) -> tuple[bool, str]:
        """Return whether the daemon is ready, and why not."""
        ...

    def status(self) -> StatusReport:
        """Return the daemon's state."""
        ...

    def explain(self, service: str) -> ExplanationReport | None:
        """Return what was done to a service's targets, if the service exists."""
        ...


class AdminHandler:
    """Answers requests of operators and of the load balancer."""

    def __init__(self, source: StatusSource, metrics: Metrics) -> None:
        self._source = source
        self._metrics = metrics

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        match request.path.strip("/").split("/"):
            case ["healthz"]:
                return web.Response(text="ok\n")
            case ["readyz"]:
                is_ready, reason = self._source.readiness()
                text = "ready\n" if is_ready else f"{reason}\n"
                return web.Response(status=200 if is_ready else 503, text=text)
            case ["metrics"]:
                return metrics_answer(self._metrics)
            case ["status"]:
                return _json(self._source.status().model_dump_json())
            case ["explain", service]:
                report = self._source.explain(service)
                if report is None:
                    return web.Response(status=404, text=f"no service {service!r}\n")
                return _json(report.model_dump_json())
            case _:
                return web.Response(
                    status=404,
                    text="allowed: /healthz /readyz /metrics /status"
                    " /explain/<service>\n",
                )


def _json(text: str) -> web.Response:
    return web.Response(text=text, content_type="application/json")
