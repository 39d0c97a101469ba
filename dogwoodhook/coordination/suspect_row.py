"""The row of requests under which targets ended, for daemons that start later."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from dogwoodhook.clock import Clock
from dogwoodhook.state.quarantine import Crash, SuspectState


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """A request under which targets ended, with their ages at its row's time."""

    fingerprint: str
    service: str
    crashes: tuple[Crash, ...]
    is_of_any_caller: bool = False
    callers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SuspectRow:
    """Suspects as they were known at ``written_at_s`` of the wall clock."""

    written_at_s: float
    suspects: tuple[SuspectRecord, ...] = ()


def to_row(suspects: Iterable[SuspectState], clock: Clock) -> SuspectRow:
    """Return the row of suspects, of which there may be none."""
    return SuspectRow(
        clock.wall_s(),
        tuple(
            SuspectRecord(
                fingerprint=each.fingerprint,
                service=each.service,
                crashes=each.crashes,
                is_of_any_caller=each.is_of_any_caller,
                callers=each.callers,
            )
            for each in suspects
        ),
    )


def to_suspects(row: SuspectRow, clock: Clock) -> tuple[SuspectState, ...]:
    """Return the suspects of a row; a wrong clock makes no crash younger than it was.

    >>> from dogwoodhook.clock import ManualClock
    >>> crash = Crash("t1", "vm-1", 0.5)
    >>> row = SuspectRow(90.0, (SuspectRecord("f", "payouts", (crash,)),))
    >>> to_suspects(row, ManualClock(epoch_s=100.0))[0].crashes[0].age_s
    10.5
    """
    passed_s = max(0.0, clock.wall_s() - row.written_at_s)
    if not math.isfinite(passed_s):
        passed_s = 0.0
    return tuple(
        SuspectState(
            service=each.service,
            fingerprint=each.fingerprint,
            crashes=tuple(
                replace(crash, age_s=crash.age_s + passed_s) for crash in each.crashes
            ),
            is_of_any_caller=each.is_of_any_caller,
            callers=each.callers,
        )
        for each in row.suspects
    )
