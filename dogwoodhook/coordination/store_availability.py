"""Whether the store answers a daemon, and the pauses between calls if it does not."""

from dataclasses import dataclass

from dogwoodhook.coordination.store import Table
from dogwoodhook.events import STORE_AVAILABLE, STORE_UNAVAILABLE, log
from dogwoodhook.state.target_directory import EXPIRY_HOLD_S

MIN_RETRY_S = 0.4
MAX_RETRY_S = 0.8
"""Pauses between calls while the store does not answer. The longest pause plus the
deadline of a call is shorter than the time after which the platform counts the store as
stable again."""

RETRY_FACTOR = 1.5
"""Factor by which the pause grows with each call that is not answered."""


@dataclass(slots=True)
class StoreAvailability:
    """Whether the store answers calls for a table, and since when after an outage."""

    table: Table
    failed_since_s: float | None = None
    returned_s: float = float("-inf")
    retry_s: float = MIN_RETRY_S

    @property
    def is_answering(self) -> bool:
        """Return whether the last call was answered."""
        return self.failed_since_s is None

    def record_failure(self, detail: str, *, now_s: float) -> None:
        """Record an unanswered call; ``retry_s`` becomes the pause before the next."""
        if self.failed_since_s is None:
            self.failed_since_s = now_s
            self.retry_s = MIN_RETRY_S
            log(STORE_UNAVAILABLE, table=self.table, detail=detail)
        self.retry_s = min(MAX_RETRY_S, self.retry_s * RETRY_FACTOR)

    def record_answer(self, *, peer_as_of_s: float, now_s: float) -> None:
        """Record an answer.

        ``peer_as_of_s`` is the latest time at which another daemon is known to have
        read the table.
        """
        if self.failed_since_s is None:
            return
        away_s = round(now_s - self.failed_since_s, 2)
        log(STORE_AVAILABLE, table=self.table, away_s=away_s)
        # If another daemon could read meanwhile, only this daemon's path had failed.
        if peer_as_of_s < self.failed_since_s:
            self.returned_s = now_s
        self.failed_since_s = None

    def removal_hold_s(self, *, now_s: float) -> float:
        """Return how long removals are delayed for expired entries to be renewed."""
        if self.failed_since_s is not None:
            return EXPIRY_HOLD_S
        return max(0.0, self.returned_s + EXPIRY_HOLD_S - now_s)
