"""OpenTelemetry metrics, exposed in the Prometheus format.

The number of series is bounded. The first ``max_service_series`` services and
``max_workspace_series`` workspaces have series of their own; later ones share
``other``. A histogram has ``len(LATENCY_BUCKETS_MS) + 3`` series for each set of
attributes; ``max_series`` gives the bound.
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Histogram, Meter, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from dogwoodhook.state.outcomes import NotRunReason, UnknownReason

LATENCY_BUCKETS_MS = (1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 1000.0, 5000.0)
OTHER_LABEL = "other"
REQUEST_CLASSES = 2
"""Classes of requests: idempotent and non-idempotent."""


CLOSING_REASONS = 5
"""Reasons for which a caller's connection is closed."""

CALLER_REFUSAL_REASONS = 4
"""Reasons for which a limit for all callers refuses a request."""

DAEMON_SERIES = (
    2 * (len(LATENCY_BUCKETS_MS) + 3) + 7 + CLOSING_REASONS + CALLER_REFUSAL_REASONS
)
"""Series of the daemon: two histograms, four gauges and five counters.

One of the counters has one series for each closing reason, and one for each reason of
a refusal.
"""

MIN_QUEUEING_MS = 0.5
"""Time up to which choosing a target does not count as waiting for one."""


class _RetrySeries(NamedTuple):
    service: str
    request_class: str

    def attributes(self) -> dict[str, str]:
        return {"service": self.service, "class": self.request_class}


class _ClosingSeries(NamedTuple):
    closed_by: str

    def attributes(self) -> dict[str, str]:
        return {"closed_by": self.closed_by}


class _RefusalSeries(NamedTuple):
    reason: str

    def attributes(self) -> dict[str, str]:
        return {"reason": self.reason}


class _AnnouncementSeries(NamedTuple):
    kind: str

    def attributes(self) -> dict[str, str]:
        return {"kind": self.kind}


class _RequestSeries(NamedTuple):
    service: str
    request_class: str
    outcome: str

    def attributes(self) -> dict[str, str]:
        return {
            "service": self.service,
            "class": self.request_class,
            "outcome": self.outcome,
        }


def max_series(*, services: int, workspaces: int) -> int:
    """Return the largest number of series for these limits.

    >>> max_series(services=100, workspaces=200)
    14977
    """
    histogram = len(LATENCY_BUCKETS_MS) + 3
    outcomes = 1 + len(NotRunReason) + len(UnknownReason)
    per_class = 3 * histogram + outcomes + 1
    by_service = (services + 1) * REQUEST_CLASSES * per_class
    return by_service + (workspaces + 1) * histogram + DAEMON_SERIES


class BoundedLabels:
    """Labels of one kind, bounded in number; later ones share ``other``.

    >>> labels = BoundedLabels(limit=1)
    >>> labels.label("physics"), labels.label("history"), labels.label("physics")
    ('physics', 'other', 'physics')
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._known: set[str] = set()

    def label(self, name: str) -> str:
        """Return the name itself, or the shared label."""
        if name in self._known:
            return name
        if len(self._known) >= self._limit:
            return OTHER_LABEL
        self._known.add(name)
        return name


class Metrics:
    """The daemon's instruments."""

    def __init__(
        self, *, daemon: str, max_workspace_series: int, max_service_series: int = 100
    ) -> None:
        self._registry = CollectorRegistry()
        self._workspaces = BoundedLabels(limit=max_workspace_series)
        self._services = BoundedLabels(limit=max_service_series)
        reader = PrometheusMetricReader(registry=self._registry)
        provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource({"service.name": daemon}),
            exemplar_filter=AlwaysOffExemplarFilter(),
        )
        meter = self._meter = provider.get_meter("dogwoodhook")
        self._duration = _latency_histogram(
            meter,
            "dogwoodhook_request_duration",
            "time from a request's head to the end of its answer",
        )
        self._added = _latency_histogram(
            meter,
            "dogwoodhook_added_latency",
            "request duration less the time targets took",
        )
        self._workspace_duration = _latency_histogram(
            meter,
            "dogwoodhook_workspace_request_duration",
            "request duration by workspace",
        )
        self._queueing = _latency_histogram(
            meter,
            "dogwoodhook_queueing",
            "time that requests waited which got no target at once",
        )
        self._adoption = _latency_histogram(
            meter,
            "dogwoodhook_configuration_adoption",
            "time from another daemon's word of a version to its use",
        )
        self._loop_delay = _latency_histogram(
            meter, "dogwoodhook_event_loop_delay", "delay of the event loop's timers"
        )
        self._requests: Counter[_RequestSeries] = Counter()
        self._retries: Counter[_RetrySeries] = Counter()
        self._unanswered: Counter[_ClosingSeries] = Counter()
        self._caller_refusals: Counter[_RefusalSeries] = Counter()
        self._target_crashes = 0
        self._quarantine_refusals = 0
        self._target_announcements: Counter[_AnnouncementSeries] = Counter()
        meter.create_observable_counter(
            "dogwoodhook_requests",
            callbacks=[lambda options: _observations(self._requests)],
            description="requests by outcome",
        )
        meter.create_observable_counter(
            "dogwoodhook_retries",
            callbacks=[lambda options: _observations(self._retries)],
            description="attempts after the first",
        )
        meter.create_observable_counter(
            "dogwoodhook_requests_unanswered",
            callbacks=[lambda options: _observations(self._unanswered)],
            description="requests whose connection was closed before a whole answer",
        )

        meter.create_observable_counter(
            "dogwoodhook_caller_refusals",
            callbacks=[lambda options: _observations(self._caller_refusals)],
            description="requests and connections refused by a limit for all callers",
        )
        meter.create_observable_counter(
            "dogwoodhook_target_crashes",
            callbacks=[lambda options: [Observation(self._target_crashes)]],
            description="requests in flight at targets whose processes ended",
        )
        meter.create_observable_counter(
            "dogwoodhook_quarantine_refusals",
            callbacks=[lambda options: [Observation(self._quarantine_refusals)]],
            description="requests refused because targets ended under them before",
        )
        meter.create_observable_counter(
            "dogwoodhook_target_announcements",
            callbacks=[lambda options: _observations(self._target_announcements)],
            description="changes that targets announced in their answers, by kind",
        )

    def watch_peer_bytes(self, read_total: Callable[[], int]) -> None:
        """Expose the bytes sent to peers; the total is read at each exposition."""
        self._meter.create_observable_counter(
            "dogwoodhook_peer_sent",
            callbacks=[lambda options: [Observation(read_total())]],
            unit="By",
            description="bytes of messages sent to peers",
        )

    def watch_configuration(
        self, *, version: Callable[[], float], age_s: Callable[[], float]
    ) -> None:
        """Expose the version in force and the time since it was known to be newest."""
        self._meter.create_observable_gauge(
            "dogwoodhook_configuration_version",
            callbacks=[lambda options: [Observation(version())]],
            description="version of the configuration in force, 0 for none",
        )
        self._meter.create_observable_gauge(
            "dogwoodhook_configuration_age",
            callbacks=[lambda options: [Observation(age_s())]],
            unit="s",
            description="time since the configuration was certainly the newest",
        )

    def watch_targets(self, *, age_s: Callable[[], float]) -> None:
        """Expose the time since the list of targets was known to be the newest."""
        self._meter.create_observable_gauge(
            "dogwoodhook_targets_age",
            callbacks=[lambda options: [Observation(age_s())]],
            unit="s",
            description="time since the list of targets was certainly the newest",
        )

    def watch_caller_memory(self, read_bytes: Callable[[], int]) -> None:
        """Expose the bytes that are held for callers."""
        self._meter.create_observable_gauge(
            "dogwoodhook_caller_memory",
            callbacks=[lambda options: [Observation(read_bytes())]],
            unit="By",
            description="memory held for heads, bodies and answers of callers",
        )

    def record_caller_refusal(self, reason: str) -> None:
        """Record a request or connection that a limit for all callers refused."""
        self._caller_refusals[_RefusalSeries(reason)] += 1

    def record_adoption(self, duration_ms: float) -> None:
        """Record the time from another daemon's notice of a version to its use here."""
        self._adoption.record(duration_ms)

    def record_loop_delay(self, delay_ms: float) -> None:
        """Record how late the event loop ran a timer."""
        self._loop_delay.record(delay_ms)

    def record_target_crash(self) -> None:
        """Record a request that was in flight at a target when its process ended."""
        self._target_crashes += 1

    def record_quarantine_refusal(self) -> None:
        """Record a request that was refused because of its quarantine."""
        self._quarantine_refusals += 1

    def record_target_announcement(self, kind: str) -> None:
        """Record that a target announced something in an answer."""
        self._target_announcements[_AnnouncementSeries(kind)] += 1

    def record_unanswered(self, closed_by: str) -> None:
        """Record a request whose connection closed before its answer was complete."""
        self._unanswered[_ClosingSeries(closed_by)] += 1

    def record_request(
        self,
        *,
        service: str,
        workspace: str,
        request_class: str,
        outcome: str,
        duration_ms: float,
        target_ms: float,
        queueing_ms: float,
        retries: int,
    ) -> None:
        """Record one finished request."""
        service = self._services.label(service)
        attributes = {"service": service, "class": request_class}
        self._duration.record(duration_ms, attributes)
        self._added.record(max(0.0, duration_ms - target_ms), attributes)
        if queueing_ms > MIN_QUEUEING_MS:
            self._queueing.record(queueing_ms, attributes)
        self._workspace_duration.record(
            duration_ms, {"workspace": self._workspaces.label(workspace)}
        )
        self._requests[_RequestSeries(service, request_class, outcome)] += 1
        if retries:
            self._retries[_RetrySeries(service, request_class)] += retries

    def exposition(self) -> bytes:
        """Return all series in the Prometheus text format."""
        return generate_latest(self._registry)


def _latency_histogram(meter: Meter, name: str, description: str) -> Histogram:
    return meter.create_histogram(
        name,
        unit="ms",
        description=description,
        explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_MS,
    )


def _observations(
    counts: Counter[_RequestSeries]
    | Counter[_RetrySeries]
    | Counter[_ClosingSeries]
    | Counter[_RefusalSeries]
    | Counter[_AnnouncementSeries],
) -> list[Observation]:
    return [Observation(count, series.attributes()) for series, count in counts.items()]
