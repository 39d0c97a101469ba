"""Claims of idempotency keys.

A request with an ``Idempotency-Key`` (the IETF HTTP API working group's draft)
is claimed in the platform's table before it is sent and settled after. A retry
through any daemon finds the row and gets the stored outcome, and the request is
not run a second time.

The conditional write that creates the claim decides which daemon may send the
request. No other daemon takes over a claim in progress, however old it is: its
claimant may be paused, or its request may still be in flight. Three rules keep a
key usable nevertheless:

- A claimant may send only until ``Claimed.send_by_s``, the end of a lease that
  starts before the claim is written and is checked at the moment of sending. An
  observer that has watched the same claim for longer than the lease by its own
  clock marks it unknown: by then the request has been sent or never will be.
- A claim whose request was certainly not sent is withdrawn by its claimant, and
  a withdrawn key may be claimed again. The withdrawal is a row of its own and
  not a deletion, so that a commit of the claim which the network delayed fails on
  its condition.
- A claim whose commit got no answer is abandoned: the request is refused as not
  run, and the claimant withdraws the claim later, whether or not it took effect.
"""

import asyncio
import hashlib
from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TypeVar

from expression import Error, Ok, Result

from dogwoodhook.clock import CLOCK_RATE_ERROR, Clock
from dogwoodhook.coordination.group_commit import ConditionalWrite, GroupCommitter
from dogwoodhook.coordination.platform import (
    ABSENT_VERSION,
    Committed,
    Conflict,
    OutcomeUnknown,
    Platform,
    StoredRow,
    Unavailable,
    new_token,
)
from dogwoodhook.coordination.rows import (
    CLAIM_PREFIX,
    ClaimPhase,
    ClaimRow,
    StoredAnswer,
    claim_key,
)
from dogwoodhook.events import CLAIM_FAILED, CLAIM_UNSETTLED, log
from dogwoodhook.state.model import KeyedRequestPolicy

SEND_LEASE_S = 30.0
"""Time after the start of a claim in which its claimant may send the request."""

UNKNOWN_AFTER_S = 60.0
"""Time for which an observer watches a claim before marking it unknown."""

CLAIM_LIFETIME_S = 24 * 3600.0
"""Time for which a key is kept."""

CLAIM_LIFETIME_MARGIN_S = 3600.0
"""Added to the lifetime, because ages compare the wall clocks of two VMs."""

MAX_STORED_BODY_BYTES = 16 * 1024
"""Largest body of an answer stored in full; of others only the status is stored."""

MAX_WITHDRAWALS = 4096
"""Most claims whose withdrawal is outstanding; the oldest is dropped first."""

MAX_UNSETTLED = 256
"""Most outcomes that could not be stored yet; the oldest is dropped first."""

MAX_WATCHED = 4096
"""Most claims of other daemons that are watched; the oldest is dropped first."""

Value = TypeVar("Value")

_MAX_WRITE_ATTEMPTS = 4
_EXPIRY_SCAN_ROWS = 1000


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A request with an idempotency key.

    ``fingerprint`` is the digest of the request; it reveals the reuse of a key for
    another request.
    """

    service: str
    workspace: str
    key: str
    fingerprint: str
    policy: KeyedRequestPolicy = KeyedRequestPolicy.REFUSE


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claimant may send the request until ``send_by_s`` on the elapsed clock.

    ``version`` is ``None`` where the table was unreachable and the service's
    policy is to forward regardless: the request may then be run twice.
    """

    request: KeyedRequest
    claimant: str
    version: int | None
    send_by_s: float

    def may_send(self, now_s: float) -> bool:
        """Return whether the lease holds; call right before the first byte is sent."""
        return now_s < self.send_by_s


@dataclass(frozen=True, slots=True)
class AlreadySettled:
    """The request ran; ``answer`` is ``None`` where it was too large to store."""

    answer: StoredAnswer | None
    status: int


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt of the same request is under way."""


@dataclass(frozen=True, slots=True)
class SettledUnknown:
    """An earlier attempt of the request may have run."""


@dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """The key belongs to a different request."""


@dataclass(frozen=True, slots=True)
class TableUnreachable:
    """The key could not be claimed; the request must not be sent."""


ClaimOutcome = (
    Claimed
    | AlreadySettled
    | InProgress
    | SettledUnknown
    | FingerprintMismatch
    | TableUnreachable
)


@dataclass(frozen=True, slots=True)
class Superseded:
    """The row was settled or belongs to another claim; nothing was stored."""


SettleError = Superseded | Unavailable | OutcomeUnknown
SettleResult = Result[None, SettleError]


@dataclass(frozen=True, slots=True)
class _WatchedClaim:
    version: int
    seen_at_s: float


class ClaimManager:
    """Claims, settles and withdraws idempotency keys for one daemon::

        match await manager.claim(request):
            case Claimed() as claim if claim.may_send(clock.now_s()):
                answer = await send(request)
                await manager.settle(claim, answer)
            case Claimed() as claim:
                await manager.withdraw(claim)

    Call ``maintain`` every few seconds.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        *,
        daemon: str,
        commits_per_s: float | None = None,
        send_lease_s: float = SEND_LEASE_S,
        unknown_after_s: float = UNKNOWN_AFTER_S,
    ) -> None:
        lower_bound_s = send_lease_s * (1 + 2 * CLOCK_RATE_ERROR)
        if unknown_after_s <= lower_bound_s:
            raise ValueError(
                f"unknown_after_s is {unknown_after_s}, "
                f"allowed are values above {lower_bound_s}"
            )
        self._platform = platform
        self._clock = clock
        self._daemon = daemon
        self._send_lease_s = send_lease_s
        self._unknown_after_s = unknown_after_s
        self._committer = GroupCommitter(platform, clock, commits_per_s=commits_per_s)
        self._withdrawals: OrderedDict[str, Claimed] = OrderedDict()
        self._unsettled: OrderedDict[str, tuple[Claimed, ClaimRow]] = OrderedDict()
        self._watched: OrderedDict[str, _WatchedClaim] = OrderedDict()
        self._expiry_cursor = ""

    async def claim(self, request: KeyedRequest) -> ClaimOutcome:
        """Claim a key, or return the state of an earlier attempt."""
        claim = Claimed(
            request=request,
            claimant=f"{self._daemon}/{new_token()}",
            version=None,
            send_by_s=self._clock.now_s() + self._send_lease_s,
        )
        try:
            outcome = await self._claim(claim)
        except asyncio.CancelledError:
            self._queue_withdrawal(claim)
            raise
        if not isinstance(outcome, TableUnreachable):
            return outcome
        log(CLAIM_FAILED, service=request.service, workspace=request.workspace)
        if request.policy is KeyedRequestPolicy.FORWARD:
            return claim
        self._queue_withdrawal(claim)
        return outcome

    async def settle(self, claim: Claimed, answer: StoredAnswer) -> SettleResult:
        """Store the answer, or only its status if the body is over the limit."""
        is_stored_in_full = len(answer.body) <= MAX_STORED_BODY_BYTES
        row = self._row(claim, ClaimPhase.SETTLED)
        row = replace(
            row, status=answer.status, answer=answer if is_stored_in_full else None
        )
        return await self._store_outcome(claim, row)

    async def settle_status(self, claim: Claimed, status: int) -> SettleResult:
        """Store the status of the answer, without the answer itself."""
        row = self._row(claim, ClaimPhase.SETTLED)
        return await self._store_outcome(claim, replace(row, status=status))

    async def settle_unknown(self, claim: Claimed) -> SettleResult:
        """Store that the request was sent and its outcome is not known."""
        return await self._store_outcome(claim, self._row(claim, ClaimPhase.UNKNOWN))

    async def withdraw(self, claim: Claimed) -> SettleResult:
        """Free the key of a request that was certainly not run and will not be sent."""
        self._queue_withdrawal(claim)
        return await self._store_withdrawal(claim)

    async def maintain(self) -> None:
        """Retry writes that the table did not accept; mark watched claims unknown."""
        for claim in tuple(self._withdrawals.values()):
            await self._store_withdrawal(claim)
        for claim, row in tuple(self._unsettled.values()):
            await self._store_outcome(claim, row)
        for key, watched in tuple(self._watched.items()):
            if self._clock.now_s() - watched.seen_at_s > self._unknown_after_s:
                await self._recheck_watched(key)

    async def expire(self) -> int:
        """Delete the expired claims of the next scan; return how many rows it read."""
        scanned = await self._platform.scan(
            CLAIM_PREFIX, after=self._expiry_cursor, limit=_EXPIRY_SCAN_ROWS
        )
        match scanned:
            case Result(tag="ok", ok=rows):
                pass
            case _:
                return 0
        self._expiry_cursor = rows[-1].key if len(rows) == _EXPIRY_SCAN_ROWS else ""
        deletions = [self._deletion_if_expired(stored) for stored in rows]
        await asyncio.gather(*(self._write(each) for each in deletions if each))
        return len(rows)

    async def _claim(self, claim: Claimed) -> ClaimOutcome:
        key = _row_key(claim.request)
        row = self._row(claim, ClaimPhase.IN_PROGRESS)
        version = ABSENT_VERSION
        for _ in range(_MAX_WRITE_ATTEMPTS):
            result = await self._write(ConditionalWrite(key, version, row))
            match result:
                case Result(tag="ok", ok=committed):
                    return replace(claim, version=committed.version)
                case Result(tag="error", error=Conflict()):
                    pass
                case _:
                    return TableUnreachable()
            match await self._platform.read([key]):
                case Result(tag="ok", ok=rows):
                    stored = rows.get(key)
                case _:
                    return TableUnreachable()
            outcome = await self._outcome_of_row(claim, stored)
            if outcome is not None:
                return outcome
            version = stored.version if stored else ABSENT_VERSION
        return InProgress()

    async def _outcome_of_row(
        self, claim: Claimed, stored: StoredRow | None
    ) -> ClaimOutcome | None:
        """Return the outcome that a row gives; ``None`` where the key is free."""
        if stored is None or not isinstance(stored.value, ClaimRow):
            return None
        row = stored.value
        if row.phase is ClaimPhase.WITHDRAWN:
            return None
        if row.phase is not ClaimPhase.SETTLED and row.claimant in self._withdrawals:
            return None
        if row.fingerprint != claim.request.fingerprint:
            return FingerprintMismatch()
        match row.phase:
            case ClaimPhase.SETTLED:
                return AlreadySettled(row.answer, row.status or 0)
            case ClaimPhase.UNKNOWN:
                return SettledUnknown()
            case _:
                return await self._observe(stored)

    async def _observe(self, stored: StoredRow) -> InProgress | SettledUnknown:
        """Watch a claim in progress; mark it unknown once its lease must have ended."""
        watched = self._watched.get(stored.key)
        if watched is None or watched.version != stored.version:
            self._watched[stored.key] = _WatchedClaim(
                stored.version, self._clock.now_s()
            )
            self._watched.move_to_end(stored.key)
            _trim(self._watched, MAX_WATCHED)
            return InProgress()
        if self._clock.now_s() - watched.seen_at_s <= self._unknown_after_s:
            return InProgress()
        assert isinstance(stored.value, ClaimRow)
        row = replace(stored.value, phase=ClaimPhase.UNKNOWN)
        result = await self._write(ConditionalWrite(stored.key, stored.version, row))
        if result.is_ok():
            self._watched.pop(stored.key, None)
            return SettledUnknown()
        return InProgress()

    async def _recheck_watched(self, key: str) -> None:
        match await self._platform.read([key]):
            case Result(tag="ok", ok=rows):
                stored = rows.get(key)
            case _:
                return
        if stored is None or not _is_in_progress(stored):
            self._watched.pop(key, None)
            return
        await self._observe(stored)

    async def _store_outcome(self, claim: Claimed, row: ClaimRow) -> SettleResult:
        result = await self._overwrite_own_row(claim, row)
        match result:
            case Result(tag="ok") | Result(tag="error", error=Superseded()):
                self._unsettled.pop(claim.claimant, None)
            case _:
                self._unsettled[claim.claimant] = (claim, row)
                _trim(self._unsettled, MAX_UNSETTLED)
        if result.is_error():
            log(CLAIM_UNSETTLED, service=claim.request.service, error=result.error)
        return result

    async def _overwrite_own_row(self, claim: Claimed, row: ClaimRow) -> SettleResult:
        """Overwrite the claim's own row, whatever its current version."""
        key = _row_key(claim.request)
        version = claim.version
        for _ in range(_MAX_WRITE_ATTEMPTS):
            if version is None:
                match await self._find_own(claim, key):
                    case Result(tag="ok", ok=found):
                        version = found
                    case Result(error=reason):
                        return Error(reason)
            match await self._write(ConditionalWrite(key, version, row)):
                case Result(tag="ok"):
                    return Ok(None)
                case Result(
                    tag="error", error=(Unavailable() | OutcomeUnknown()) as failure
                ):
                    return Error(failure)
                case _:
                    version = None
        return Error(Unavailable("the row changed too often"))

    async def _find_own(
        self, claim: Claimed, key: str
    ) -> Result[int, Superseded | Unavailable]:
        """Return the version of the claim's row, ``ABSENT_VERSION`` if it is absent."""
        match await self._platform.read([key]):
            case Result(tag="ok", ok=rows):
                stored = rows.get(key)
            case Result(error=error):
                return Error(error)
        if stored is None:
            return Ok(ABSENT_VERSION)
        if not isinstance(stored.value, ClaimRow):
            return Error(Superseded())
        if stored.value.phase is ClaimPhase.SETTLED:
            return Error(Superseded())
        if stored.value.claimant != claim.claimant:
            return Error(Superseded())
        return Ok(stored.version)

    async def _store_withdrawal(self, claim: Claimed) -> SettleResult:
        result = await self._overwrite_own_row(
            claim, self._row(claim, ClaimPhase.WITHDRAWN)
        )
        match result:
            case Result(tag="ok") | Result(tag="error", error=Superseded()):
                self._withdrawals.pop(claim.claimant, None)
        return result

    def _queue_withdrawal(self, claim: Claimed) -> None:
        self._withdrawals[claim.claimant] = claim
        _trim(self._withdrawals, MAX_WITHDRAWALS)

    def _row(self, claim: Claimed, phase: ClaimPhase) -> ClaimRow:
        return ClaimRow(
            claimant=claim.claimant,
            fingerprint=claim.request.fingerprint,
            phase=phase,
            claimed_at_s=self._clock.wall_s(),
        )

    async def _write(
        self, write: ConditionalWrite
    ) -> Result[Committed, Conflict | Unavailable | OutcomeUnknown]:
        return await self._committer.write(write)

    def _deletion_if_expired(self, stored: StoredRow) -> ConditionalWrite | None:
        if not isinstance(stored.value, ClaimRow):
            return None
        age_s = self._clock.wall_s() - stored.value.claimed_at_s
        if age_s <= CLAIM_LIFETIME_S + CLAIM_LIFETIME_MARGIN_S:
            return None
        if _is_in_progress(stored):
            watched = _WatchedClaim(stored.version, self._clock.now_s())
            self._watched.setdefault(stored.key, watched)
            _trim(self._watched, MAX_WATCHED)
            return None
        return ConditionalWrite(stored.key, stored.version, None)


def _row_key(request: KeyedRequest) -> str:
    digest = hashlib.blake2b(request.key.encode(), digest_size=16).hexdigest()
    return claim_key(request.service, request.workspace, digest)


def _is_in_progress(stored: StoredRow) -> bool:
    row = stored.value
    return isinstance(row, ClaimRow) and row.phase is ClaimPhase.IN_PROGRESS


def _trim(entries: OrderedDict[str, Value], max_entries: int) -> None:
    while len(entries) > max_entries:
        entries.popitem(last=False)
