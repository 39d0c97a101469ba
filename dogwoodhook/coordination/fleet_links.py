"""The links to the other daemons of a data centre."""

from typing import Protocol

from dogwoodhook.coordination.fleet_messages import FleetMessage


class FleetLinks(Protocol):
    """The other daemons of the data centre."""

    def neighbours(self) -> list[str]:
        """Return their names."""
        ...

    def tell_neighbours(self, message: FleetMessage) -> None:
        """Send them a message."""
        ...
