"""Requests that were sent to a target and have got no answer from it.

The end of a target often becomes known later than the end of an attempt there: the
attempt was cancelled since its caller left, the target's port was open again, or
nothing came from the target at all. So these attempts are kept for a while, and when a
target is known to have ended, they tell which requests it may have ended under.
"""

from collections import deque
from dataclasses import dataclass

from dogwoodhook.state.attempted_request import AttemptedRequest, TargetProcess

KEPT_S = 15.0
"""Time for which a run is kept: more than it takes until the entry of a target that
ended expires, or its next process registers."""

MAX_RUNS = 1024
"""Runs kept; the oldest one is discarded first."""


@dataclass(frozen=True, slots=True)
class UnansweredRun:
    """A request at a process of a target, without an answer since ``at_s``.

    ``has_lost_connection`` tells that its connection broke then, as opposed to an
    attempt that was given up.
    """

    request: AttemptedRequest
    process: TargetProcess
    at_s: float
    has_lost_connection: bool


class UnansweredRuns:
    """The latest runs without an answer of one daemon."""

    def __init__(self) -> None:
        self._runs: deque[UnansweredRun] = deque(maxlen=MAX_RUNS)

    def add(self, run: UnansweredRun) -> None:
        """Keep a run, and discard those that are too old."""
        while self._runs and run.at_s - self._runs[0].at_s > KEPT_S:
            self._runs.popleft()
        self._runs.append(run)

    def has_any_at(self, target: str, *, now_s: float) -> bool:
        """Return whether a run at a target is kept."""
        return any(
            run.process.target == target and now_s - run.at_s <= KEPT_S
            for run in self._runs
        )

    def lost_targets(self, *, since_s: float) -> frozenset[str]:
        """Return the targets to which connections broke since then."""
        return frozenset(
            run.process.target
            for run in self._runs
            if run.has_lost_connection and run.at_s >= since_s
        )

    def take(
        self, process: TargetProcess, *, now_s: float
    ) -> tuple[UnansweredRun, ...]:
        """Return the runs at a process, and keep them no longer."""
        taken = tuple(run for run in self._runs if run.process == process)
        if taken:
            self._runs = deque(
                (run for run in self._runs if run not in taken), maxlen=MAX_RUNS
            )
        return tuple(run for run in taken if now_s - run.at_s <= KEPT_S)
