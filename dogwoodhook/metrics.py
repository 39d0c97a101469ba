"""OpenTelemetry metrics, exposed in the Prometheus format.

The number of series is bounded. The first ``max_service_series`` services and
``max_workspace_series`` workspaces have series of their own; later ones share
``other``. A histogram has ``len(LATENCY_BUCKETS_MS) + 3`` series for each set of
attributes; ``max_series`` gives the bound.
"""

import math
from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Histogram, Meter, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from dogwoodhook.state.load_spread import LoadSpread
from dogwoodhook.state.outcomes import NotRunReason, UnknownReason

LATENCY_BUCKETS_MS = (1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 1000.0, 5000.0)
OTHER_LABEL = "other"
REQUEST_CLASSES = 2
"""Classes of requests: idempotent and non-idempotent."""


CLOSING_REASONS = 5
"""Reasons for which a caller's connection is closed."""

KEY_PROBLEMS = 5
"""Problems with the key of a request whose workspace is not known."""

HOLDER_PROBLEMS = 2
"""Problems with a key that a workspace held, or holds for all that is known."""

ROOM_OUTCOMES = 5
"""Outcomes of a request that asks for room at its service."""

QUOTA_OUTCOMES = 2
"""Whether a refusal over a quota was decided by the quota's coordinator or not."""

CALLER_REFUSAL_REASONS = 4
"""Reasons for which a limit for all callers refuses a request."""

DAEMON_SERIES = (
    2 * (len(LATENCY_BUCKETS_MS) + 3)
    + 12
    + CLOSING_REASONS
    + KEY_PROBLEMS
    + ROOM_OUTCOMES
    + CALLER_REFUSAL_REASONS
)
"""Series of the daemon: two histograms, seven gauges and eight counters.

One of the gauges has a series for each of two places of an open request.
Four of the counters have one series for each closing reason, for each problem of a
key, for each outcome and for each reason of a refusal.
"""

LOAD_BOUNDS = 2
"""Gauges of the targets' load for each service: the largest and the smallest."""

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


class _KeyRefusalSeries(NamedTuple):
    problem: str
    workspace: str

    def attributes(self) -> dict[str, str]:
        return {"problem": self.problem, "workspace": self.workspace}


class _QuotaSeries(NamedTuple):
    workspace: str
    is_reached: bool

    def attributes(self) -> dict[str, str]:
        reached = "yes" if self.is_reached else "no"
        return {"workspace": self.workspace, "coordinator_reached": reached}


class _RefusalSeries(NamedTuple):
    reason: str

    def attributes(self) -> dict[str, str]:
        return {"reason": self.reason}


class _AnnouncementSeries(NamedTuple):
    kind: str

    def attributes(self) -> dict[str, str]:
        return {"kind": self.kind}


class _RoomSeries(NamedTuple):
    outcome: str

    def attributes(self) -> dict[str, str]:
        return {"outcome": self.outcome}


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
    15998
    """
    histogram = len(LATENCY_BUCKETS_MS) + 3
    outcomes = 1 + len(NotRunReason) + len(UnknownReason)
    per_class = 3 * histogram + outcomes + 1
    by_service = (services + 1) * (REQUEST_CLASSES * per_class + LOAD_BOUNDS)
    per_workspace = histogram + HOLDER_PROBLEMS + QUOTA_OUTCOMES
    return by_service + (workspaces + 1) * per_workspace + DAEMON_SERIES


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
        self._key_refusals: Counter[_KeyRefusalSeries] = Counter()
        self._quota_refusals: Counter[_QuotaSeries] = Counter()
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

        self._room_waits: Counter[_RoomSeries] = Counter()
        self._room_wait_s = 0.0
        meter.create_observable_counter(
            "dogwoodhook_room",
            callbacks=[lambda options: _observations(self._room_waits)],
            description="requests by whether their service had room for them",
        )
        meter.create_observable_counter(
            "dogwoodhook_room_wait",
            callbacks=[lambda options: [Observation(self._room_wait_s)]],
            unit="s",
            description="time that requests were held back for want of room",
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
        meter.create_observable_counter(
            "dogwoodhook_key_refusals",
            callbacks=[lambda options: _observations(self._key_refusals)],
            description="requests refused because of their key, by problem",
        )
        meter.create_observable_counter(
            "dogwoodhook_quota_refusals",
            callbacks=[lambda options: _observations(self._quota_refusals)],
            description="requests refused because their workspace is over its quota",
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

    def watch_load(
        self,
        *,
        spread: Callable[[], Mapping[str, LoadSpread]],
        news_age_s: Callable[[], float | None],
    ) -> None:
        """Expose the spread of the targets' load, and the age of neighbours' reports.

        The load is in requests in flight for each slot, by service.
        """

        def observe_spread() -> list[Observation]:
            smallest: dict[str, float] = {}
            largest: dict[str, float] = {}
            for name, each in spread().items():
                service = self._services.label(name)
                smallest[service] = min(each.smallest, smallest.get(service, math.inf))
                largest[service] = max(each.largest, largest.get(service, 0.0))
            return [
                Observation(load, {"service": service, "bound": bound})
                for bound, loads in (("smallest", smallest), ("largest", largest))
                for service, load in loads.items()
            ]

        self._meter.create_observable_gauge(
            "dogwoodhook_target_load",
            callbacks=[lambda options: observe_spread()],
            description="largest and smallest load of a target of the own data centre",
        )
        self._meter.create_observable_gauge(
            "dogwoodhook_load_report_age",
            callbacks=[
                lambda options: [
                    Observation(age_s) for age_s in (news_age_s(),) if age_s is not None
                ]
            ],
            unit="s",
            description="usual age of neighbours' reports of load, if it is measured",
        )

    def watch_caller_memory(
        self, *, held_bytes: Callable[[], int], body_bytes: Callable[[], int]
    ) -> None:
        """Expose the bytes that are held for callers, and those of bodies among them.

        Bytes of bodies without an open request are held for nobody.
        """
        self._meter.create_observable_gauge(
            "dogwoodhook_caller_memory",
            callbacks=[lambda options: [Observation(held_bytes())]],
            unit="By",
            description="memory held for heads, bodies and answers of callers",
        )
        self._meter.create_observable_gauge(
            "dogwoodhook_caller_body_memory",
            callbacks=[lambda options: [Observation(body_bytes())]],
            unit="By",
            description="memory held for bodies that were read, of open requests",
        )

    def watch_open_requests(
        self, *, at_connections: Callable[[], int], at_daemon: Callable[[], int]
    ) -> None:
        """Expose the requests that have not ended.

        Those at connections have no complete answer yet. Those at the daemon may run
        only once, so they go on if their connections close; they count in both.
        """
        self._meter.create_observable_gauge(
            "dogwoodhook_open_requests",
            callbacks=[
                lambda options: [
                    Observation(at_connections(), {"at": "connections"}),
                    Observation(at_daemon(), {"at": "daemon"}),
                ]
            ],
            description="requests that have not ended",
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

    def record_room_wait(self, outcome: str, waited_s: float) -> None:
        """Record whether a request got room at its service.

        ``outcome`` is ``at-once``, ``waited``, ``elsewhere`` (in another data centre),
        ``too-late`` or ``no-room``.
        """
        self._room_waits[_RoomSeries(outcome)] += 1
        self._room_wait_s += waited_s

    def record_target_announcement(self, kind: str) -> None:
        """Record that a target announced something in an answer."""
        self._target_announcements[_AnnouncementSeries(kind)] += 1

    def record_key_refusal(self, problem: str, *, workspace: str = "") -> None:
        """Record a request that was refused because of its key.

        ``workspace`` is the holder of the key, if one is known.
        """
        label = self._workspaces.label(workspace) if workspace else ""
        self._key_refusals[_KeyRefusalSeries(problem, label)] += 1

    def record_quota_refusal(self, workspace: str, *, is_reached: bool) -> None:
        """Record a request that was refused because of its workspace's quota.

        ``is_reached`` tells whether a coordinator of the quota decided.
        """
        label = self._workspaces.label(workspace)
        self._quota_refusals[_QuotaSeries(label, is_reached)] += 1

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
    | Counter[_AnnouncementSeries]
    | Counter[_RoomSeries]
    | Counter[_KeyRefusalSeries]
    | Counter[_QuotaSeries],
) -> list[Observation]:
    return [Observation(count, series.attributes()) for series, count in counts.items()]
