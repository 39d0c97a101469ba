"""The links to the other daemons."""

from typing import Protocol

from dogwoodhook.coordination.fleet_messages import BroadcastMessage, FleetMessage


class FleetLinks(Protocol):
    """The other daemons; neighbours are those of the same data centre."""

    def neighbours(self) -> list[str]:
        """Return the neighbours' names."""
        ...

    def tell_neighbours(self, message: FleetMessage) -> None:
        """Send the neighbours a message."""
        ...

    def broadcast(self, message: BroadcastMessage) -> None:
        """Send a message to the daemons of all data centres."""
        ...
