"""The links to the other daemons."""

from dataclasses import dataclass
from typing import Protocol

from expression import Result

from dogwoodhook.coordination.fleet_messages import BroadcastMessage, FleetMessage
from dogwoodhook.coordination.store import StoreRow


class FleetLinks(Protocol):
    """The other daemons; neighbours are those of the same data centre."""

    def neighbours(self) -> list[str]:
        """Return the neighbours' names."""
        ...

    def notify_neighbours(self, message: FleetMessage) -> None:
        """Send the neighbours a message."""
        ...

    def broadcast(self, message: BroadcastMessage) -> None:
        """Send a message to the daemons of all data centres."""
        ...


@dataclass(frozen=True, slots=True)
class RowUnavailable:
    """Another daemon did not hand over a row."""

    detail: str


class RowExchange(Protocol):
    """The rows of the configuration that the other daemons hold."""

    current_row: StoreRow | None

    async def fetch(
        self, daemon: str, *, min_version: int
    ) -> Result[StoreRow, RowUnavailable]:
        """Return another daemon's row, if it is of a version or newer."""
        ...
