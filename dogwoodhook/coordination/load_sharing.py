"""Tells the neighbours of this daemon's requests in flight, as they change.

What a daemon does not know yet of the others' requests sends its own to slots that are
taken, so a request that begins is told sooner than one that has ended: the latter only
leaves a slot free for a while.
"""

import asyncio
import math

from dogwoodhook.coordination.fleet_links import FleetLinks
from dogwoodhook.coordination.fleet_messages import LoadReport
from dogwoodhook.state.fleet_load import FleetLoad

START_INTERVAL_S_PER_NEIGHBOUR = 0.001
"""Least time between two reports for each neighbour that hears them, so that all
reports of a large data centre cost each of its daemons a bounded part of a core: 1,000
datagrams a second, read in batches."""

END_INTERVAL_S_PER_NEIGHBOUR = 0.002
"""The same before a report of ended requests alone."""


class LoadSharing:
    """Sends reports at changes; each tells of all changes before it."""

    def __init__(self, load: FleetLoad, links: FleetLinks, *, daemon: str) -> None:
        self._load = load
        self._links = links
        self._daemon = daemon
        self._sent_s = -math.inf
        self._due: asyncio.TimerHandle | None = None

    def report_start(self) -> None:
        """Tell of a request that has been sent to a target."""
        self._send_within(START_INTERVAL_S_PER_NEIGHBOUR)

    def report_end(self) -> None:
        """Tell of the end of one."""
        self._send_within(END_INTERVAL_S_PER_NEIGHBOUR)

    def _send_within(self, interval_s_per_neighbour: float) -> None:
        """Send a report once an interval has passed since the last one."""
        neighbours = len(self._links.neighbours())
        if not neighbours:
            return
        loop = asyncio.get_running_loop()
        due_s = self._sent_s + interval_s_per_neighbour * neighbours
        if self._due is not None:
            if self._due.when() <= due_s:
                return
            self._due.cancel()
            self._due = None
        if due_s <= loop.time():
            self._send()
        else:
            self._due = loop.call_at(due_s, self._send)

    def _send(self) -> None:
        self._due = None
        self._sent_s = asyncio.get_running_loop().time()
        self._links.notify_neighbours(LoadReport(self._daemon, self._load.own()))
