"""Reports this daemon's requests in flight to the neighbours as they change.

A daemon that does not know the others' latest requests sends its own to slots that are
occupied. The start of a request is therefore reported sooner than an end, which while
unreported only leaves a slot unused for a short time.
"""

import asyncio
import math

from dogwoodhook.coordination.fleet_links import FleetLinks
from dogwoodhook.coordination.fleet_messages import LoadReport
from dogwoodhook.state.fleet_load import FleetLoad
from dogwoodhook.state.report_tree import MAX_DIRECT_NEIGHBOURS

START_INTERVAL_S_PER_NEIGHBOUR = 0.001
"""Minimum time between two reports, for each neighbour that receives them directly. It
limits the share of a core that all reports of a data centre cost each daemon: 1,000
datagrams per second, read in batches."""

END_INTERVAL_S_PER_NEIGHBOUR = 0.002
"""Minimum time before a report that contains only ended requests, per neighbour."""


class LoadSharing:
    """Sends a report after a change; each report includes all earlier changes."""

    def __init__(self, load: FleetLoad, links: FleetLinks, *, daemon: str) -> None:
        self._load = load
        self._links = links
        self._daemon = daemon
        self._sent_s = -math.inf
        self._due: asyncio.TimerHandle | None = None

    def report_start(self) -> None:
        """Report a request that has been sent to a target."""
        self._send_within(START_INTERVAL_S_PER_NEIGHBOUR)

    def report_end(self) -> None:
        """Report the end of a request."""
        self._send_within(END_INTERVAL_S_PER_NEIGHBOUR)

    def _send_within(self, interval_s_per_neighbour: float) -> None:
        """Send a report when the interval since the last one has passed."""
        neighbours = len(self._links.neighbours())
        if not neighbours:
            return
        loop = asyncio.get_running_loop()
        # More neighbours receive the reports through a collector.
        counted = min(neighbours, MAX_DIRECT_NEIGHBOURS)
        due_s = self._sent_s + interval_s_per_neighbour * counted
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
