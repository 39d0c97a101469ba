"""Attempts of other daemons, for the ends that those daemons do not attribute.

A daemon that lives attributes ends to its requests itself, and reports before that
settles here which of them are no longer open. What is still open some time after an end
belongs to a daemon that was killed.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from dogwoodhook.state.attempted_request import AttemptedRequest, TargetProcess
from dogwoodhook.state.open_attempts import OpenRequest
from dogwoodhook.state.unanswered_runs import KEPT_S

GRACE_S = 1.0
"""Time for the reports of a daemon that lives: more than it takes to send a change as
often as it is sent."""

MAX_REPORTED = 1024
"""Requests kept; the oldest one is discarded first."""

MAX_ENDS = 1024
"""Ends kept; the oldest one is discarded first."""


@dataclass(frozen=True, slots=True)
class UnattributedEnd:
    """A process that ended ``at_s`` with a request of a daemon that was killed."""

    daemon: str
    request: AttemptedRequest
    process: TargetProcess
    at_s: float


@dataclass(slots=True)
class _Reported:
    number: int
    request: OpenRequest
    received_s: float
    attributed: frozenset[TargetProcess] = frozenset()


@dataclass(frozen=True, slots=True)
class _End:
    at_s: float
    known_s: float


class ReportedAttempts:
    """What one daemon was told of the attempts of others."""

    def __init__(self) -> None:
        self._reported: OrderedDict[tuple[str, int, str], _Reported] = OrderedDict()
        self._ends: OrderedDict[TargetProcess, _End] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._reported)

    def has_any_at(self, target: str, *, now_s: float) -> bool:
        """Return whether a target has a request of another daemon."""
        return any(
            process.target == target
            for reported in self._reported.values()
            if now_s - reported.received_s <= KEPT_S
            for process in reported.request.processes
        )

    def record_report(
        self,
        requests: Iterable[OpenRequest],
        *,
        daemon: str,
        run: int,
        number: int,
        now_s: float,
    ) -> None:
        """Replace what is known of requests of a daemon's run.

        The report with the highest number counts. A request without processes has been
        answered everywhere.
        """
        for request in requests:
            key = daemon, run, request.latest_copy.identity.fingerprint
            known = self._reported.get(key)
            if known is None:
                self._reported[key] = _Reported(number, request, now_s)
            elif known.number < number:
                known.number, known.request = number, request
                known.received_s = now_s
        while len(self._reported) > MAX_REPORTED:
            self._reported.popitem(last=False)

    def record_end(self, process: TargetProcess, *, at_s: float, now_s: float) -> None:
        """Record that a process ended at a time, as is known now."""
        if process in self._ends:
            return
        self._ends[process] = _End(at_s, now_s)
        while len(self._ends) > MAX_ENDS:
            self._ends.popitem(last=False)

    def take_unattributed(self, now_s: float) -> tuple[UnattributedEnd, ...]:
        """Return the ends that no other daemon attributes any more, each one once."""
        self._discard_old(now_s)
        if not self._ends:
            return ()
        taken = []
        for (daemon, _, _), reported in self._reported.items():
            for process in reported.request.processes:
                end = self._ends.get(process)
                if end is None or process in reported.attributed:
                    continue
                if now_s < max(end.known_s, reported.received_s) + GRACE_S:
                    continue
                reported.attributed |= {process}
                request = reported.request.latest_copy
                taken.append(UnattributedEnd(daemon, request, process, end.at_s))
        return tuple(taken)

    def _discard_old(self, now_s: float) -> None:
        for key, reported in tuple(self._reported.items()):
            if now_s - reported.received_s > KEPT_S:
                del self._reported[key]
        for process, end in tuple(self._ends.items()):
            if now_s - end.known_s > KEPT_S:
                del self._ends[process]
