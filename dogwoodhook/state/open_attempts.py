"""Attempts without an answer that other daemons are told of.

A target that ends under a request is attributed to it by the daemon that sent the
request there. If that daemon is killed first, only those can do so that it has told.
It tells of requests under which a target may well end: those that are suspects already,
and those that a caller has sent again while the first copy is at a target.

Designed for: a caller that repeats a request at once, several times, at one daemon, so
that all copies run before the first target has ended. Of most requests there is one
copy, which is answered soon, and nothing is sent.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count, islice

from dogwoodhook.state.attempted_request import AttemptedRequest, TargetProcess
from dogwoodhook.state.quarantine import RequestIdentity
from dogwoodhook.state.unanswered_runs import KEPT_S

MIN_COPIES = 2
"""Copies of a request at targets from which other daemons are told."""

SENDS = 3
"""Number of times that a change is sent, since messages are lost."""

RENEWAL_S = 5.0
"""Time after which attempts that are still open are sent again."""

MAX_REQUESTS = 1024
"""Requests kept; the oldest one is discarded first."""

MAX_PROCESSES = 16
"""Processes of a request that are sent, the latest ones."""


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """The processes that have a request of one daemon and have not answered it."""

    latest_copy: AttemptedRequest
    processes: tuple[TargetProcess, ...] = ()


@dataclass(frozen=True, slots=True)
class _Attempt:
    request_id: str
    process: TargetProcess


@dataclass(slots=True)
class _Attempts:
    """The attempts of all copies of a request, and when some of them were given up."""

    latest_copy: AttemptedRequest
    open: dict[int, _Attempt] = field(default_factory=dict)
    given_up_s: dict[int, float] = field(default_factory=dict)
    is_shared: bool = False
    sends_left: int = 0
    sent_s: float = 0.0

    @property
    def fingerprint(self) -> str:
        return self.latest_copy.identity.fingerprint

    @property
    def copies(self) -> int:
        return len({attempt.request_id for attempt in self.open.values()})

    def remove(self, number: int) -> None:
        self.given_up_s.pop(number, None)
        del self.open[number]

    def remove_old(self, now_s: float) -> bool:
        """Remove attempts that were given up too long ago; return whether any were."""
        old = [
            number
            for number, given_up_s in self.given_up_s.items()
            if now_s - given_up_s > KEPT_S
        ]
        for number in old:
            self.remove(number)
        return bool(old)

    def to_open_request(self) -> OpenRequest:
        processes = dict.fromkeys(
            attempt.process for attempt in reversed(self.open.values())
        )
        return OpenRequest(self.latest_copy, tuple(processes)[:MAX_PROCESSES])


class OpenAttempts:
    """The attempts of one daemon that have got no answer.

    >>> attempts, identity = OpenAttempts(), RequestIdentity("f", "g")
    >>> for number, target in enumerate(["t1", "t2"]):
    ...     request = AttemptedRequest("payouts", identity, f"{number}", "10.0.0.9")
    ...     _ = attempts.begin(request, TargetProcess(target, 1), now_s=0.0)
    ...     len(attempts.take_due(now_s=0.0, limit=3))
    0
    1
    """

    def __init__(self) -> None:
        self._attempts: OrderedDict[str, _Attempts] = OrderedDict()
        self._numbers = count(1)
        # The requests that other daemons are told of, those sent longest ago first.
        self._shared: OrderedDict[str, None] = OrderedDict()

    @property
    def has_shared(self) -> bool:
        """Return whether other daemons are told of any request."""
        return bool(self._shared)

    def begin(
        self,
        request: AttemptedRequest,
        process: TargetProcess,
        *,
        now_s: float,
        is_suspect: bool = False,
    ) -> int:
        """Add an attempt, and return its number."""
        attempts = self._get_or_add(request)
        attempts.remove_old(now_s)
        attempts.latest_copy = request
        number = next(self._numbers)
        attempts.open[number] = _Attempt(request.request_id, process)
        if is_suspect or attempts.copies >= MIN_COPIES:
            attempts.is_shared = True
        self._record_change(attempts)
        return number

    def end(
        self,
        identity: RequestIdentity,
        number: int,
        *,
        now_s: float,
        is_unanswered: bool,
    ) -> None:
        """Record that an attempt was answered, or given up without an answer."""
        attempts = self._attempts.get(identity.fingerprint)
        if attempts is None or number not in attempts.open:
            return
        if is_unanswered:
            attempts.given_up_s[number] = now_s
            return
        attempts.remove(number)
        self._record_removal(attempts)

    def record_end(self, process: TargetProcess) -> None:
        """Record that a process ended, which this daemon attributes itself."""
        for attempts in tuple(self._attempts.values()):
            ended = [
                number
                for number, attempt in attempts.open.items()
                if attempt.process == process
            ]
            for number in ended:
                attempts.remove(number)
            if ended:
                self._record_removal(attempts)

    def discard_old(self, now_s: float) -> None:
        """Discard the attempts that were given up too long ago."""
        for attempts in tuple(self._attempts.values()):
            if attempts.remove_old(now_s):
                self._record_removal(attempts)

    def take_due(self, *, now_s: float, limit: int) -> tuple[OpenRequest, ...]:
        """Return the requests to send now, at most ``limit``; the others wait."""
        due = tuple(islice(self._due(now_s), limit))
        for attempts in due:
            attempts.sends_left = max(0, attempts.sends_left - 1)
            attempts.sent_s = now_s
            self._shared.move_to_end(attempts.fingerprint)
            if not attempts.open and not attempts.sends_left:
                self._discard(attempts.fingerprint)
        return tuple(attempts.to_open_request() for attempts in due)

    def _due(self, now_s: float) -> Iterator[_Attempts]:
        for fingerprint in tuple(self._shared):
            attempts = self._attempts[fingerprint]
            if attempts.sends_left or now_s - attempts.sent_s >= RENEWAL_S:
                yield attempts

    def _get_or_add(self, request: AttemptedRequest) -> _Attempts:
        attempts = self._attempts.get(request.identity.fingerprint)
        if attempts is None:
            attempts = _Attempts(request)
            self._attempts[attempts.fingerprint] = attempts
        while len(self._attempts) > MAX_REQUESTS:
            self._discard(next(iter(self._attempts)))
        return attempts

    def _record_change(self, attempts: _Attempts) -> None:
        if attempts.is_shared:
            attempts.sends_left = SENDS
            self._shared[attempts.fingerprint] = None

    def _record_removal(self, attempts: _Attempts) -> None:
        self._record_change(attempts)
        if not attempts.open and not attempts.is_shared:
            self._discard(attempts.fingerprint)

    def _discard(self, fingerprint: str) -> None:
        del self._attempts[fingerprint]
        self._shared.pop(fingerprint, None)
