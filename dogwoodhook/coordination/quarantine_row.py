"""The row of a request in quarantine, for daemons that start later."""

import math
from dataclasses import dataclass

from dogwoodhook.clock import Clock
from dogwoodhook.state.quarantine import MAX_QUARANTINE_S, Quarantined


@dataclass(frozen=True, slots=True)
class QuarantineRow:
    """Fingerprint of a request that crashed targets, with its expiry in wall time."""

    fingerprint: str
    service: str
    expires_at_s: float
    crashes: int


def to_row(quarantined: Quarantined, clock: Clock) -> QuarantineRow:
    """Return the row of a quarantine."""
    remaining_s = quarantined.until_s - clock.now_s()
    return QuarantineRow(
        fingerprint=quarantined.fingerprint,
        service=quarantined.service,
        expires_at_s=clock.wall_s() + remaining_s,
        crashes=quarantined.crashes,
    )


def to_quarantined(row: QuarantineRow, clock: Clock) -> Quarantined:
    """Return the quarantine of a row; a wrong clock makes it no longer than allowed."""
    remaining_s = row.expires_at_s - clock.wall_s()
    if not math.isfinite(remaining_s):
        remaining_s = 0.0
    return Quarantined(
        service=row.service,
        fingerprint=row.fingerprint,
        until_s=clock.now_s() + min(remaining_s, MAX_QUARANTINE_S),
        crashes=row.crashes,
    )
