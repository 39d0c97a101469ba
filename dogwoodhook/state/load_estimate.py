"""How many requests are in flight at each target, by reports that are old.

Designed for: data centres of 32 to 100 daemons whose reports reach each other after 20
to 500 ms, while requests take 0.3 to 0.7 s and fill half to four fifths of the slots.
Part of the requests of a report have ended when it arrives, and others have started
that no report shows yet. If such counts are compared as they stand, all daemons choose
the targets that were the least busy, until the next reports show that they no longer
are.

A count of age ``a`` is corrected by the share of its requests that are still in flight,
``exp(-a / work)``. The rest have ended, and about as many have started at any of the
targets: each target gets an equal part of these. The older the counts, the less they
differ; the daemon's own requests, which it knows exactly, weigh in full. Placement then
also compares fewer targets for each request.

The age is measured, without further messages, by the own reports that come back from
the collector of a large data centre. Where there is none, reports go to each neighbour
directly and count as they stand.
"""

import math
import statistics
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from dogwoodhook.state.fleet_load import FleetLoad
from dogwoodhook.state.target_directory import TargetEntry

MIN_OLD_SHARE = 0.1
"""Age of the news, as a share of the usual time of the work without queueing, from
which counts are corrected: a tenth of the reported requests have ended. Below it
daemons find free slots at least as often by comparing more targets."""

CALM_WORK_DOUBLING_S = 60.0
"""Time in which the usual time of unhindered work may double: bursts last seconds, and
a service whose work has become longer is followed within minutes."""

MAX_DOUBLINGS = 64.0
"""Doublings after which a service counts as unknown; more exceed a number's range."""

RECENT_ECHOES = 9
"""Echoes over which the median age is taken; one that was lost does not change it."""

MIN_ECHOES = 3
"""Echoes needed before the age is used."""

ECHO_RETENTION_S = 10.0
"""Time for which an echo counts, and for which one is awaited."""

MAX_AWAITED = 64
"""Reports whose echo is awaited."""


class NewsAge:
    """How long a report takes to neighbours, by the own reports that come back.

    A collector merges the reports of an interval, and datagrams are lost: an echo that
    equals a report sent shows that earlier ones no longer come back.

    >>> age = NewsAge()
    >>> for now_s in (1.0, 2.0, 3.0):
    ...     age.record_sent({"t1": 1}, now_s=now_s)
    ...     age.record_echo({"t1": 1}, now_s=now_s + 0.0625)
    >>> age.median_s(now_s=4.0), age.median_s(now_s=60.0)
    (0.0625, None)
    """

    def __init__(self) -> None:
        self._awaited: deque[tuple[float, Mapping[str, int]]] = deque(
            maxlen=MAX_AWAITED
        )
        self._ages: deque[tuple[float, float]] = deque(maxlen=RECENT_ECHOES)

    def record_sent(self, in_flight: Mapping[str, int], *, now_s: float) -> None:
        """Record a report sent to the collector."""
        self._awaited.append((now_s, in_flight))

    def record_echo(self, in_flight: Mapping[str, int], *, now_s: float) -> None:
        """Record an own report that has come back."""
        while self._awaited:
            sent_s, sent = self._awaited.popleft()
            if sent == in_flight and now_s - sent_s < ECHO_RETENTION_S:
                self._ages.append((now_s, now_s - sent_s))
                return

    def median_s(self, *, now_s: float) -> float | None:
        """Return the usual age of news, ``None`` without enough recent echoes."""
        recent = [
            age_s for at_s, age_s in self._ages if now_s - at_s < ECHO_RETENTION_S
        ]
        return statistics.median(recent) if len(recent) >= MIN_ECHOES else None


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Requests in flight at each of some targets, corrected if the news are old."""

    in_flight: Mapping[str, float]
    is_old: bool = False


class ReadAge(Protocol):
    """Returns the usual age of neighbours' reports in seconds, ``None`` if unknown."""

    def __call__(self, *, now_s: float) -> float | None:
        """Return the age at a moment."""


class LoadEstimator:
    """Estimates the requests in flight at targets.

    ``work_s`` returns the usual time of a service's requests in seconds, ``None`` while
    it is not known.
    """

    def __init__(
        self,
        load: FleetLoad,
        *,
        news_age_s: ReadAge = lambda *, now_s: None,
        work_s: Callable[[str], float | None] = lambda service: None,
    ) -> None:
        self._load = load
        self._news_age_s = news_age_s
        self._work_s = work_s
        # For each service, the time of unhindered work and when it was determined.
        self._calm_work: dict[str, tuple[float, float]] = {}

    def estimate(self, targets: Sequence[TargetEntry], *, now_s: float) -> LoadEstimate:
        """Return the requests in flight at targets of one service."""
        share = self._share_in_flight(targets, now_s)
        if share is None:
            return LoadEstimate(self._load.by_target(now_s=now_s))
        reported = self._load.reported(now_s=now_s)
        own = self._load.own()
        ended = _ended_by_data_centre(targets, reported, share)
        return LoadEstimate(
            {
                each.name: own.get(each.name, 0)
                + share * reported[each.name]
                + ended[each.data_centre] * each.slots
                for each in targets
            },
            is_old=True,
        )

    def _share_in_flight(
        self, targets: Sequence[TargetEntry], now_s: float
    ) -> float | None:
        """Return the share of reported requests that have not ended.

        ``None`` stands for counts that are compared as they are.
        """
        if not targets:
            return None
        age_s = self._news_age_s(now_s=now_s)
        work_s = self._work_s(targets[0].service)
        if age_s is None or work_s is None:
            return None
        calm_work_s = self._calm_work_s(targets[0].service, work_s, now_s)
        if age_s < MIN_OLD_SHARE * calm_work_s:
            return None
        return math.exp(-age_s / work_s)

    def _calm_work_s(self, service: str, work_s: float, now_s: float) -> float:
        """Return the usual time of a service's requests while none of them queue.

        Requests that queue at busy targets take longer, but no fewer are started.
        """
        known_s, at_s = self._calm_work.get(service, (work_s, now_s))
        doublings = min(MAX_DOUBLINGS, (now_s - at_s) / CALM_WORK_DOUBLING_S)
        grown_s = known_s * 2**doublings
        calm_work_s = min(work_s, grown_s)
        self._calm_work[service] = calm_work_s, now_s
        return calm_work_s


def _ended_by_data_centre(
    targets: Sequence[TargetEntry], reported: Counter[str], share: float
) -> dict[str, float]:
    """Return the requests for each slot that replace the ended ones."""
    in_flight: Counter[str] = Counter()
    slots: Counter[str] = Counter()
    for each in targets:
        in_flight[each.data_centre] += reported[each.name]
        slots[each.data_centre] += each.slots
    return {name: (1 - share) * in_flight[name] / max(1, slots[name]) for name in slots}
