"""Interfaces through which a daemon communicates with the others of its fleet."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from expression import Result

from dogwoodhook.coordination.fleet_messages import BroadcastMessage, FleetMessage
from dogwoodhook.coordination.store import StoreRow


class FleetLinks(Protocol):
    """Sends messages to other daemons; neighbours are those of the same data centre."""

    @property
    def data_centre(self) -> str:
        """Return the own data centre."""
        ...

    def neighbours(self) -> list[str]:
        """Return the neighbours' names."""
        ...

    def live_daemons(self) -> Mapping[str, list[str]]:
        """Return the names of the other live daemons by data centre."""
        ...

    def count_known_daemons(self) -> int:
        """Return the number of daemons, this one included, that ran lately.

        It includes those that this daemon has not heard from for minutes.
        """
        ...

    def notify(self, message: FleetMessage, daemons: Iterable[str]) -> None:
        """Send a message to daemons by name; those that are not known get nothing."""
        ...

    def receive_pending(self) -> None:
        """Process messages that have arrived and have not been read yet."""
        ...

    def notify_neighbours(self, message: FleetMessage) -> None:
        """Send a message to the neighbours."""
        ...

    def notify_some(self, message: FleetMessage, count: int) -> None:
        """Send a message to ``count`` daemons chosen at random, of any data centre."""
        ...

    def broadcast(self, message: BroadcastMessage) -> None:
        """Send a message to the daemons of all data centres."""
        ...


@dataclass(frozen=True, slots=True)
class RowUnavailable:
    """Another daemon did not return what was asked for; ``detail`` says why.

    ``is_answered`` tells that it answered.
    """

    detail: str
    is_answered: bool = False


class RowExchange(Protocol):
    """Exchanges the configuration row with the other daemons.

    ``current_row`` is the row that this daemon serves to them.
    """

    current_row: StoreRow | None

    async def fetch(
        self, daemon: str, *, min_version: int
    ) -> Result[StoreRow, RowUnavailable]:
        """Return another daemon's row if its version is at least ``min_version``."""
        ...
