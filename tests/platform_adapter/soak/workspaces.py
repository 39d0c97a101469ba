"""Workspaces of a soak, whose keys are added, moved and withdrawn, and their checks."""

import random
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from tests.platform_adapter.soak.records import (
    CONFIGURATION_BOUND_S,
    UNAUTHORIZED_STATUS,
    CallRecord,
    Disturbance,
    PromiseChecks,
    RunRecord,
)

USED_SHARE = 0.5
"""Share of the seeds whose configurations name workspaces."""

KEY_MARK = "soak-key-"
FORGED = "forged"
STEADY_KEY = f"{KEY_MARK}steady"
"""A key that the same workspace holds in each version."""

UNKNOWN_KEY = f"{KEY_MARK}unknown"
CHANGING_KEYS = [f"{KEY_MARK}{number}" for number in range(6)]
NAMES = ["lab", "ward", "depot"]

CHANGED_SHARE = 0.5
"""Share of the changing keys that a version moves, adds or withdraws."""

STEADY_SHARE = 0.7
UNKNOWN_SHARE = 0.03

REVOKE_S = 5.0
"""Time after its withdrawal was acknowledged from which no request may run by a key;
the daemons' default."""


@dataclass(slots=True)
class KeyVersion:
    """The holders of the keys in a version, from the beginning of its writing."""

    holders: dict[str, str]
    written_s: float
    acknowledged_s: float = float("inf")


class WorkspaceKeys:
    """Draws the workspaces of each version and the keys of requests."""

    def __init__(self, *, seed: int) -> None:
        # A generator of its own leaves the faults of known seeds as they are.
        self._rng = random.Random(f"workspaces {seed}")
        self.is_used = self._rng.random() < USED_SHARE
        self.versions: list[KeyVersion] = []

    def begin_version(self) -> KeyVersion:
        """Return the next version, and change the holders of some keys in it."""
        rng = self._rng
        holders = dict(self.versions[-1].holders) if self.versions else {}
        holders[STEADY_KEY] = NAMES[0]
        for key in CHANGING_KEYS:
            if rng.random() < CHANGED_SHARE:
                holders.pop(key, None)
                if (name := rng.choice([*NAMES, ""])) != "":
                    holders[key] = name
        version = KeyVersion(holders, time.monotonic())
        self.versions.append(version)
        return version

    def table(self) -> dict:
        """Return the newest version as a configuration has it."""
        holders = self.versions[-1].holders
        return {
            name: {
                "apiKeys": [key for key, holder in holders.items() if holder == name]
            }
            for name in NAMES
        }

    def draw_key(self, *, is_steady: bool = False) -> str:
        """Return the key of a request, empty if the soak has no workspaces."""
        if not self.is_used:
            return ""
        point = self._rng.random()
        if is_steady or point < STEADY_SHARE:
            return STEADY_KEY
        if point < STEADY_SHARE + UNKNOWN_SHARE:
            return UNKNOWN_KEY
        return self._rng.choice(CHANGING_KEYS)


def key_headers(key: str) -> dict:
    """Return the headers of a request with a key; a caller also forges its name."""
    if not key:
        return {}
    return {"Api-Key": key, "Tenant-Id": FORGED, "Tenant_Id": FORGED}


def find_wrong_workspaces(
    calls: Iterable[CallRecord],
    runs: Iterable[RunRecord],
    versions: Sequence[KeyVersion],
    disturbances: Sequence[Disturbance],
) -> PromiseChecks:
    """Check for which workspaces requests ran, and which keys were denied."""
    by_id = {call.request_id: call for call in calls if call.key}
    checks = PromiseChecks()
    for run in runs:
        checks.expect(not run.has_foreign_header, "a caller's header at a target", run)
        call = by_id.get(run.request_id)
        if call is None:
            continue
        possible = _holders(
            versions,
            call,
            bound_s=REVOKE_S,
            until_s=run.started_s,
            is_bound=not _is_disturbed(call, run.started_s, disturbances),
            from_s=run.started_s,
        )
        is_holder = run.workspace in possible - {""}
        checks.expect(is_holder, "ran for another workspace", call, run, possible)
    for call in by_id.values():
        if call.status != UNAUTHORIZED_STATUS:
            continue
        possible = _holders(
            versions,
            call,
            bound_s=CONFIGURATION_BOUND_S,
            until_s=call.ended_s,
            is_bound=not _is_disturbed(call, call.ended_s, disturbances),
            from_s=call.sent_s,
        )
        checks.expect("" in possible, "denied a valid key", call, possible)
    return checks


def _holders(
    versions: Sequence[KeyVersion],
    call: CallRecord,
    *,
    bound_s: float,
    from_s: float,
    until_s: float,
    is_bound: bool,
) -> set[str]:
    """Return who may hold a call's key in the versions that may be in force.

    The empty name stands for none. A version may be in force until ``bound_s`` after
    the acknowledgement of a later one, always at a daemon that is not ``is_bound``.
    """
    found = set()
    for number, version in enumerate(versions):
        replaced_s = min(
            (later.acknowledged_s for later in versions[number + 1 :]),
            default=float("inf"),
        )
        is_over = is_bound and replaced_s + bound_s < from_s
        if version.written_s <= until_s and not is_over:
            found.add(version.holders.get(call.key, ""))
    return found


def _is_disturbed(
    call: CallRecord, until_s: float, disturbances: Sequence[Disturbance]
) -> bool:
    return any(
        each.overlaps(call)
        or (
            each.daemon in (None, call.daemon) and call.sent_s <= each.from_s <= until_s
        )
        for each in disturbances
    )
