"""Whether the store answers a daemon, and how long it pauses between its calls."""

from dataclasses import dataclass

from dogwoodhook.coordination.store import Table
from dogwoodhook.events import STORE_AVAILABLE, STORE_UNAVAILABLE, log
from dogwoodhook.state.target_directory import EXPIRY_HOLD_S

MIN_RETRY_S = 0.4
MAX_RETRY_S = 0.8
"""Pauses between calls while the store does not answer. The longest one and the
deadline of a call end before the platform counts the store as stable again."""

RETRY_FACTOR = 1.5
"""Growth of the pause with each call that gets no answer."""


@dataclass(slots=True)
class StoreAvailability:
    """Whether the store answers for a table, and since when it does again."""

    table: Table
    failed_since_s: float | None = None
    returned_s: float = float("-inf")
    retry_s: float = MIN_RETRY_S

    @property
    def is_answering(self) -> bool:
        """Tell whether the last call got an answer."""
        return self.failed_since_s is None

    def record_failure(self, detail: str, *, now_s: float) -> None:
        """Note a call without an answer; ``retry_s`` is the pause before the next."""
        if self.failed_since_s is None:
            self.failed_since_s = now_s
            self.retry_s = MIN_RETRY_S
            log(STORE_UNAVAILABLE, table=self.table, detail=detail)
        self.retry_s = min(MAX_RETRY_S, self.retry_s * RETRY_FACTOR)

    def record_answer(self, *, heard_s: float, now_s: float) -> None:
        """Note an answer; another daemon's reading tells of ``heard_s`` at last."""
        if self.failed_since_s is None:
            return
        away_s = round(now_s - self.failed_since_s, 2)
        log(STORE_AVAILABLE, table=self.table, away_s=away_s)
        # Another daemon that could read meanwhile shows that only the path failed.
        if heard_s < self.failed_since_s:
            self.returned_s = now_s
        self.failed_since_s = None

    def removal_hold_s(self, *, now_s: float) -> float:
        """Return how long removals wait for lapsed entries to come back."""
        if self.failed_since_s is not None:
            return EXPIRY_HOLD_S
        return max(0.0, self.returned_s + EXPIRY_HOLD_S - now_s)
