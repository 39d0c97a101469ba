"""Tells other daemons of requests under which targets may end.

Two other daemons, of the own data centre if there are as many, are told which targets
have a copy of the request and have not answered it. If this daemon is killed before a
target ends, they attribute the end to the request.
"""

import asyncio
import random
from collections.abc import Callable

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_links import FleetLinks
from dogwoodhook.coordination.fleet_messages import AttemptReport
from dogwoodhook.state.attempted_request import AttemptedRequest, TargetProcess
from dogwoodhook.state.open_attempts import OpenAttempts
from dogwoodhook.state.quarantine import RequestIdentity
from dogwoodhook.state.reported_attempts import ReportedAttempts, UnattributedEnd

REPORT_INTERVAL_S = 0.25
"""Time from a change to its report; most requests have been answered by then."""

RECEIVERS = 2
"""Daemons that are told."""

REQUESTS_PER_MESSAGE = 3
"""Requests in a message, so that it fits into one packet."""

MAX_MESSAGES = 2
"""Messages that a daemon sends at a time."""

RUN_NUMBER_BITS = 32


class AttemptSharing:
    """The attempts of one daemon, and what it was told of those of others.

    ``is_suspect`` tells whether targets may end under a request. ``on_unattributed`` is
    called with each end that is to be attributed for another daemon.
    """

    def __init__(
        self,
        links: FleetLinks,
        clock: Clock,
        *,
        daemon: str,
        rng: random.Random,
        is_suspect: Callable[[RequestIdentity], bool],
    ) -> None:
        self.on_unattributed: Callable[[UnattributedEnd], None] = lambda end: None
        self._links = links
        self._clock = clock
        self._daemon = daemon
        self._run = rng.getrandbits(RUN_NUMBER_BITS)
        self._number = 0
        self._is_suspect = is_suspect
        self._open = OpenAttempts()
        self._reported = ReportedAttempts()
        self._has_any = asyncio.Event()

    def begin(self, request: AttemptedRequest, process: TargetProcess) -> int:
        """Record an attempt, and return its number."""
        number = self._open.begin(
            request,
            process,
            now_s=self._clock.now_s(),
            is_suspect=self._is_suspect(request.identity),
        )
        self._wake()
        return number

    def end(
        self, request: AttemptedRequest, number: int, *, is_unanswered: bool
    ) -> None:
        """Record that an attempt was answered, or given up without an answer."""
        self._open.end(
            request.identity,
            number,
            now_s=self._clock.now_s(),
            is_unanswered=is_unanswered,
        )

    def has_any_at(self, target: str) -> bool:
        """Return whether another daemon may have a request at a target."""
        return self._reported.has_any_at(target, now_s=self._clock.now_s())

    def record_end(self, process: TargetProcess, *, at_s: float) -> None:
        """Record that a process ended."""
        self._open.record_end(process)
        self._reported.record_end(process, at_s=at_s, now_s=self._clock.now_s())

    def receive(self, report: AttemptReport) -> None:
        """Record what another daemon tells of its attempts."""
        self._reported.record_report(
            report.requests,
            daemon=report.daemon,
            run=report.run,
            number=report.number,
            now_s=self._clock.now_s(),
        )
        self._wake()

    async def run(self) -> None:
        """Report and attribute as long as there is anything, until cancelled."""
        while True:
            await self._has_any.wait()
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()
            self.attribute()
            if not self._open.has_shared and not len(self._reported):
                self._has_any.clear()

    def report(self) -> None:
        """Tell other daemons what has changed."""
        now_s = self._clock.now_s()
        self._open.discard_old(now_s)
        receivers = choose_receivers(
            self._daemon, self._links.neighbours(), self._others()
        )
        for _ in range(MAX_MESSAGES):
            requests = self._open.take_due(now_s=now_s, limit=REQUESTS_PER_MESSAGE)
            if not requests:
                return
            self._number += 1
            report = AttemptReport(self._daemon, self._run, self._number, requests)
            self._links.notify(report, receivers)

    def attribute(self) -> None:
        """Attribute the ends that daemons did not attribute before they were killed."""
        for end in self._reported.take_unattributed(self._clock.now_s()):
            self.on_unattributed(end)

    def _others(self) -> list[str]:
        daemons = self._links.live_daemons().values()
        return [name for names in daemons for name in names]

    def _wake(self) -> None:
        if self._open.has_shared or len(self._reported):
            self._has_any.set()


def choose_receivers(
    daemon: str, neighbours: list[str], others: list[str]
) -> tuple[str, ...]:
    """Return the daemons that a daemon reports to: those that follow it by name.

    Neighbours go first.

    >>> choose_receivers("vm-2", ["vm-1", "vm-3"], ["vm-1", "vm-3", "vm-4"])
    ('vm-3', 'vm-1')
    >>> choose_receivers("vm-2", [], ["vm-1"])
    ('vm-1',)
    """
    ranked = [
        name
        for names in (neighbours, others)
        for name in sorted(names, key=lambda each: (each <= daemon, each))
    ]
    return tuple(dict.fromkeys(ranked))[:RECEIVERS]
