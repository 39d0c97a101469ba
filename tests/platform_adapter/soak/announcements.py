"""Targets that say in their answers that they leave or want a pause, and the checks."""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Iterable, Sequence

from tests.platform_adapter.soak.harmful import HarmfulCall
from tests.platform_adapter.soak.records import (
    RECOVERY_S,
    Announcement,
    CallRecord,
    Disturbance,
    PromiseChecks,
)
from tests.platform_adapter.soak.world import SoakTarget, World

MAX_INTERVAL_S = 1.5
PAUSES_S = (0.3, 3.0)
"""Shortest and longest pause that a target asks for."""

LISTED_S = (1.0, 6.0)
"""Shortest and longest time for which a target that leaves stays listed."""

IN_FLIGHT_S = 0.5
"""Time after an answer in which requests sent before it may reach its target."""

MAX_ARRIVALS = 2
"""Requests that a daemon may send to a target in a pause; rule BUDGET."""


class Announcer:
    """Lets targets ask for pauses, and additional ones leave, until cancelled."""

    def __init__(self, world: World, *, seed: int) -> None:
        self._world = world
        # A generator of its own leaves the faults of known seeds as they are.
        self._rng = random.Random(f"announcements {seed}")

    async def run(self) -> None:
        """Let all targets pause at once, then let some pause and leave, overlapping."""
        for target in self._world.targets.values():
            self._pause(target)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._add_and_leave())
            while True:
                await asyncio.sleep(self._rng.uniform(0.2, MAX_INTERVAL_S))
                if self._rng.random() < 0.6:
                    self._pause(self._rng.choice(list(self._world.targets.values())))
                else:
                    group.create_task(self._add_and_leave())

    def _pause(self, target: SoakTarget) -> None:
        until_s = time.monotonic() + self._rng.uniform(*PAUSES_S)
        target.paused_until_s = max(target.paused_until_s, until_s)

    async def _add_and_leave(self) -> None:
        world, rng = self._world, self._rng
        reports, listed_s = rng.random() < 0.5, rng.uniform(*LISTED_S)
        target = await world.add_target(rng.choice(["dc-1", "dc-2"]), is_extra=True)
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        target.is_leaving = True
        if reports:
            await world.register(target, state="draining")
        await asyncio.sleep(listed_s)
        await world.remove_row(target.name)


def find_ignored_announcements(
    targets: Iterable[SoakTarget],
    calls: Iterable[CallRecord | HarmfulCall],
    disturbances: Sequence[Disturbance],
) -> PromiseChecks:
    """Check that daemons send nothing to targets that leave or want a pause."""
    by_id = {call.request_id: call for call in calls}
    checks = PromiseChecks()
    for target in targets:
        arrived_s = defaultdict(list)
        for request_id, at_s in target.arrivals:
            if request_id in by_id:
                arrived_s[by_id[request_id].daemon].append(at_s)
        for announcement in target.announcements:
            call = by_id.get(announcement.request_id)
            if call is None or not announcement.is_sound:
                continue
            from_s = announcement.answered_s
            late = [
                at_s
                for at_s in arrived_s[call.daemon]
                if from_s + IN_FLIGHT_S < at_s < announcement.until_s
                and not _is_disturbed(call.daemon, disturbances, from_s, at_s)
            ]
            _check(checks, announcement, call, late)
    return checks


def _check(
    checks: PromiseChecks,
    announcement: Announcement,
    call: CallRecord | HarmfulCall,
    late_s: Sequence[float],
) -> None:
    detail = (announcement, call.daemon, late_s)
    if announcement.is_leaving:
        is_passed_on = isinstance(call, CallRecord) and bool(call.signature)
        is_kept = not is_passed_on or not late_s
        checks.expect(is_kept, "sent to a leaving target", detail)
    else:
        checks.expect(len(late_s) <= MAX_ARRIVALS, "sent in a pause", detail)


def _is_disturbed(
    daemon: str, disturbances: Sequence[Disturbance], from_s: float, until_s: float
) -> bool:
    """Return whether a daemon was restarted, paused or cut off meanwhile."""
    return any(
        fault.daemon == daemon
        and not fault.is_of_store
        and fault.from_s <= until_s
        and fault.until_s + RECOVERY_S >= from_s
        for fault in disturbances
    )
