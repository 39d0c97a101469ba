"""The answer to a request for the daemon's metrics."""

from aiohttp import web

from dogwoodhook.metrics import Metrics

_PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def metrics_answer(metrics: Metrics) -> web.Response:
    """Return the metrics in the Prometheus text format."""
    return web.Response(
        body=metrics.exposition(), headers={"Content-Type": _PROMETHEUS_CONTENT_TYPE}
    )
