"""Compares the outcomes that callers received with the requests that targets ran."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from dogwoodhook.testing.load import CallRecord
from dogwoodhook.testing.target_record import Run, RunPhase


@dataclass(frozen=True, slots=True)
class TargetRun:
    """A run with the port of its target."""

    port: int
    run: Run


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that did not hold, with the nonce of the request concerned."""

    invariant: str
    nonce: str


def find_violations(
    calls: Sequence[CallRecord], runs: Sequence[TargetRun]
) -> tuple[Violation, ...]:
    """Return all violations found in the records of callers and targets."""
    counts = Counter(each.run.nonce for each in runs)
    violations = []
    for call in calls:
        if not call.is_own_answer:
            violations.append(Violation("the answer is the request's own", call.nonce))
        if call.outcome.startswith("not-run") and counts[call.nonce]:
            violations.append(
                Violation("a request reported as not run has not run", call.nonce)
            )
        if not call.kind.is_idempotent and counts[call.nonce] > 1:
            violations.append(
                Violation(
                    "a request that is not idempotent runs at most once", call.nonce
                )
            )
    return tuple(violations)


def cut_runs(runs: Sequence[TargetRun], port: int) -> tuple[Run, ...]:
    """Return the runs of a target that were cut."""
    return tuple(
        each.run
        for each in runs
        if each.port == port and each.run.phase is RunPhase.CUT
    )


def last_start_s(runs: Sequence[TargetRun], port: int) -> float | None:
    """Return when a target last received work."""
    return max((each.run.started_s for each in runs if each.port == port), default=None)
