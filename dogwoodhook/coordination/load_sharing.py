"""Tells the neighbours of this daemon's requests in flight, as they change."""

import asyncio

from dogwoodhook.coordination.fleet_links import FleetLinks
from dogwoodhook.coordination.fleet_messages import LoadReport
from dogwoodhook.state.fleet_load import FleetLoad

INTERVAL_S_PER_NEIGHBOUR = 0.004
"""Least time between two reports for each neighbour that hears them, so that all
reports of a large data centre cost each of its daemons a bounded part of a core: 250
datagrams a second."""


class LoadSharing:
    """Sends a report at a change, and one for all changes soon after another."""

    def __init__(self, load: FleetLoad, links: FleetLinks, *, daemon: str) -> None:
        self._load = load
        self._links = links
        self._daemon = daemon
        self._waiting: asyncio.TimerHandle | None = None
        self._has_changed = False

    def note_change(self) -> None:
        """Send a report, or remember to."""
        if self._waiting is not None:
            self._has_changed = True
            return
        neighbours = self._links.neighbours()
        if not neighbours:
            return
        self._links.tell_neighbours(LoadReport(self._daemon, self._load.own()))
        self._waiting = asyncio.get_running_loop().call_later(
            INTERVAL_S_PER_NEIGHBOUR * len(neighbours), self._send_waiting
        )

    def _send_waiting(self) -> None:
        self._waiting = None
        if self._has_changed:
            self._has_changed = False
            self.note_change()
