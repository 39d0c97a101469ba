"""Calculation of how many targets the capacity floor allows to be out.

A service may be without some of its targets, but at least as many as its floor must
remain. A target can be out for several reasons: an ejection, a planned stop, or its
own leaving. ``Allowance`` counts all of them together.

Ejections are kept in the order in which they were made, and each is counted
together with all earlier ones. So all daemons that evaluate the same ejections with
the same allowance keep the same ones, the oldest first. An evaluation of a later
list never keeps an ejection that an earlier evaluation dropped in favour of others.
"""

import datetime
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from zoneinfo import ZoneInfo

from dogwoodhook.clock import CLOCK_RATE_ERROR, WALL_CLOCK_ERROR_S
from dogwoodhook.state.model import Parameters, QuietHours, Service

CONFIRMATION_LEASE_S = 4.0
"""Time for which the result of a read of the ejections and the head may be used."""

RELEASE_WAIT_S = CONFIRMATION_LEASE_S * (1 + 2 * CLOCK_RATE_ERROR)
"""Time after which no daemon uses an earlier read, allowing for clock rate errors."""

LOOKAHEAD_S = CONFIRMATION_LEASE_S + WALL_CLOCK_ERROR_S
"""Time before a known change from which the count takes it into account."""

_OFFSET_CHANGE_STEP_S = 900
"""Offsets of time zones change only at multiples of this time."""


@dataclass(frozen=True, slots=True)
class Allowance:
    """How many targets a service may be without, and which are out already.

    ``allowed`` is the number of listed targets above the floor. ``already_out`` names
    the targets that are out because of a planned stop or because they leave.

    >>> allowance = Allowance(allowed=2, already_out=frozenset({"t1"}))
    >>> allowance.keep(["t4", "t5"])
    ('t4',)
    """

    allowed: int
    already_out: frozenset[str] = frozenset()

    def keep(self, targets: Sequence[str]) -> tuple[str, ...]:
        """Return the longest prefix of the ejected targets that the floor allows."""
        out = set(self.already_out)
        for position, target in enumerate(targets):
            out.add(target)
            if len(out) > self.allowed:
                return tuple(targets[:position])
        return tuple(targets)

    def admits(self, targets: Iterable[str]) -> bool:
        """Return whether these targets may be out in addition to ``already_out``."""
        return len(self.already_out.union(targets)) <= self.allowed


def allowance_at(
    service: Service, already_out: Iterable[str], *, wall_s: float
) -> Allowance:
    """Return a service's allowance at a moment, under the highest floor near it.

    The floors considered are those from one wall-clock error before the moment
    until ``LOOKAHEAD_S`` after it. So a daemon with a slow clock does not apply a
    rise of the floor too late, and one with a fast clock does not apply a fall too
    early.
    """
    listed = frozenset(target.name for target in service.targets)
    floor = highest_floor(
        service.parameters,
        from_s=wall_s - WALL_CLOCK_ERROR_S,
        until_s=wall_s + LOOKAHEAD_S,
    )
    return Allowance(
        allowed=len(listed) - floor, already_out=listed.intersection(already_out)
    )


def highest_floor(parameters: Parameters, *, from_s: float, until_s: float) -> int:
    """Return the highest floor in force at any moment of a span, ends included."""
    return max(
        parameters.capacity_floor_at(moment_s)
        for moment_s in floor_moments(parameters, from_s=from_s, until_s=until_s)
    )


def floor_moments(
    parameters: Parameters, *, from_s: float, until_s: float
) -> Iterator[float]:
    """Return moments of a span, among them each one at which the floor changes."""
    yield from_s
    yield until_s
    if not parameters.quiet_hours:
        return
    step = int(from_s // _OFFSET_CHANGE_STEP_S + 1) * _OFFSET_CHANGE_STEP_S
    yield from range(step, int(until_s) + 1, _OFFSET_CHANGE_STEP_S)
    for period in parameters.quiet_hours:
        for moment_s in _boundaries(period, from_s=from_s, until_s=until_s):
            if from_s <= moment_s <= until_s:
                yield moment_s


def _boundaries(
    period: QuietHours, *, from_s: float, until_s: float
) -> Iterator[float]:
    zone = ZoneInfo(period.time_zone)
    day = datetime.datetime.fromtimestamp(from_s, zone).date()
    last_day = datetime.datetime.fromtimestamp(until_s, zone).date()
    while day <= last_day:
        for clock_time in (period.start, period.end):
            for fold in (0, 1):
                moment = datetime.datetime.combine(day, clock_time, zone)
                yield moment.replace(fold=fold).timestamp()
        day += datetime.timedelta(days=1)
