"""Fleet-wide ejection of targets under a capacity floor.

An ejection exists as an entry in the service's ejection row. Every write of the
row is conditional on the row and on the configuration head, both read at one
moment, so that it rests on the configuration in force. A daemon acts on an entry
only while it has confirmed row and head within ``CONFIRMATION_LEASE_S``, and
keeps only as many entries, the oldest first, as its allowance permits.

A release leaves the entry in the row as releasing. Other daemons may act on the
ejection for one more lease, so the entry goes on taking its place in the count
until a daemon that has itself known it as releasing for ``RELEASE_WAIT_S`` drops
it. ``docs/design/ejection.md`` gives the argument that the union over all
daemons of what they eject stays within the floor.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

import xxhash
from expression import Error, Ok, Result

from dogwoodhook import events
from dogwoodhook.clock import Clock
from dogwoodhook.coordination import ejection_edits
from dogwoodhook.coordination.confirmation import HeadConfirmations, RowView
from dogwoodhook.coordination.platform import (
    ABSENT_VERSION,
    CommitError,
    Condition,
    Conflict,
    OutcomeUnknown,
    Platform,
    StoredRow,
    Transaction,
    Unavailable,
    Write,
    commit_resolved,
    new_token,
)
from dogwoodhook.coordination.rows import (
    HEAD_KEY,
    EjectionEntry,
    EjectionPhase,
    EjectionRow,
    Head,
    ejection_key,
)
from dogwoodhook.state.floors import Allowance, allowance_at
from dogwoodhook.state.model import PlannedStop, Service
from dogwoodhook.state.stops import counted_stops

MAINTENANCE_SPREAD_S = 5.0
"""Time over which the daemons spread the upkeep of a row, so that one does it."""

REFUSAL_MEMORY_S = 600.0
"""Time for which a refusal is shown to operators."""


@dataclass(frozen=True, slots=True)
class EjectionProposal:
    """A daemon's wish to eject a target, with what it knows of the others.

    ``leaving`` are the targets that leave; ``unserving`` are targets that the
    daemon suspects and that are not ejected: they serve little, so the floor
    counts them too. ``relapses`` is the least number the entry is to carry.
    """

    service: Service
    target: str
    reason: str
    stops: tuple[PlannedStop, ...]
    leaving: frozenset[str]
    unserving: frozenset[str]
    configuration_version: int
    relapses: int = 0


class RefusalRule(StrEnum):
    """The rule that forbade a change of the ejection row."""

    FLOOR = "floor"
    NOT_LISTED = "not-listed"
    NOT_EJECTED = "not-ejected"
    STALE_CONFIGURATION = "stale-configuration"
    CONFLICT = "conflict"
    TABLE_UNAVAILABLE = "table-unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A change of the ejection row that was not made, or not known to be made."""

    service: str
    target: str
    rule: RefusalRule
    detail: str


@dataclass(frozen=True, slots=True)
class Upkeep:
    """What a daemon's upkeep changes in a row: entries released, entries dropped."""

    released: tuple[str, ...] = ()
    dropped: tuple[str, ...] = ()

    @property
    def is_idle(self) -> bool:
        """Tell whether there is nothing to change."""
        return not self.released and not self.dropped


class Standing(StrEnum):
    """How a target stands in what an operator reads."""

    EJECTED = "ejected"
    RELEASING = "releasing"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Explanation:
    """One line for an operator: an entry, or an ejection that was refused.

    ``is_confirmed`` tells whether this daemon may act on the entry now; ``rule``
    names what forbade a refused ejection.
    """

    target: str
    standing: Standing
    reason: str
    is_confirmed: bool = False
    rule: RefusalRule | None = None


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Row and head as read at one moment; versions are the table's."""

    row: EjectionRow
    row_version: int
    head_row_version: int
    head_version: int


@dataclass(frozen=True, slots=True)
class _TimedRefusal:
    refusal: Refusal
    at_s: float


class EjectionBoard:
    """One daemon's view of the ejections, and its changes to them."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        *,
        daemon: str,
        maintenance_spread_s: float = MAINTENANCE_SPREAD_S,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._daemon = daemon
        self._maintenance_spread_s = maintenance_spread_s
        self._heads = HeadConfirmations()
        self._views: dict[str, RowView] = {}
        self._refusals: defaultdict[str, dict[str, _TimedRefusal]] = defaultdict(dict)

    async def refresh(self, services: Sequence[str]) -> None:
        """Read the head and the rows of these services at one moment.

        A read that fails changes nothing; what was confirmed before runs out.
        """
        await self._read(services)

    def entries(self, service: str) -> tuple[EjectionEntry, ...]:
        """Return a service's entries as last read, confirmed or not."""
        view = self._views.get(service)
        return view.row.entries if view else ()

    def excluded(
        self,
        service: Service,
        stops: Sequence[PlannedStop],
        *,
        leaving: frozenset[str],
        configuration_version: int,
    ) -> frozenset[str]:
        """Return the ejected targets that this daemon must give no work now.

        ``service`` and ``stops`` are those of ``configuration_version``. The
        answer holds for this moment only: ask again for each choice of a target.
        """
        view = self._views.get(service.name)
        if view is None or not view.row.entries:
            return frozenset()
        if not self._may_act_on(view, configuration_version):
            return frozenset()
        allowance = self._allowance(service, stops, leaving)
        kept = set(_kept_targets(view.row, allowance))
        return frozenset(
            entry.target
            for entry in view.row.entries
            if entry.phase is EjectionPhase.EJECTED and entry.target in kept
        )

    async def propose(
        self, proposal: EjectionProposal
    ) -> Result[EjectionEntry, Refusal]:
        """Eject a target, if the floor allows it; one ejected already is returned."""
        result = await self._propose(proposal)
        match result:
            case Result(tag="error", error=refusal):
                self._remember(refusal)
            case Result(tag="ok", ok=entry):
                self._refusals[proposal.service.name].pop(entry.target, None)
        return result

    async def release(
        self, service: Service, target: str, *, configuration_version: int
    ) -> Result[None, Refusal]:
        """End a target's ejection; one that is releasing already is left so."""
        match await self._snapshot(service.name, target, configuration_version):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=snapshot):
                pass
        entry = ejection_edits.find_entry(snapshot.row, target)
        if entry is None:
            return Error(
                Refusal(
                    service.name,
                    target,
                    RefusalRule.NOT_EJECTED,
                    f"received {target}, allowed {_names(snapshot.row)}",
                )
            )
        if entry.phase is EjectionPhase.RELEASING:
            return Ok(None)
        row = ejection_edits.tidy(snapshot.row, released=(target,))
        result = await self._commit(snapshot, row, target)
        if result.is_ok():
            events.log(events.TARGET_RELEASED, service=service.name, target=target)
        return result

    async def maintain(
        self,
        service: Service,
        stops: Sequence[PlannedStop],
        *,
        leaving: frozenset[str],
        configuration_version: int,
    ) -> Result[Upkeep, Refusal]:
        """Release entries that the floor no longer allows; drop those released.

        Every daemon may call this often: the daemons take turns, and nothing is
        read or written where nothing is due.
        """
        view = self._views.get(service.name)
        if view is None or not view.row.entries:
            return Ok(Upkeep())
        upkeep = self._plan_upkeep(service, view.row, stops, leaving)
        if upkeep.is_idle:
            view.due_since_s = None
            return Ok(upkeep)
        if not self._is_own_turn(view):
            return Ok(Upkeep())
        match await self._snapshot(service.name, "", configuration_version):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=snapshot):
                pass
        upkeep = self._plan_upkeep(service, snapshot.row, stops, leaving)
        if upkeep.is_idle:
            return Ok(upkeep)
        row = ejection_edits.tidy(
            snapshot.row, released=upkeep.released, dropped=upkeep.dropped
        )
        result = await self._commit(snapshot, row, ",".join(upkeep.released))
        if result.is_ok():
            _log_upkeep(service.name, upkeep)
        return result.map(lambda _: upkeep)

    def explain(self, service: str) -> tuple[Explanation, ...]:
        """Return what an operator reads of a service's ejections."""
        now_s = self._clock.now_s()
        view = self._views.get(service)
        is_confirmed = view is not None and view.is_confirmed(now_s)
        entries = (
            Explanation(entry.target, Standing(entry.phase), entry.reason, is_confirmed)
            for entry in self.entries(service)
        )
        refusals = (
            Explanation(
                timed.refusal.target,
                Standing.REFUSED,
                timed.refusal.detail,
                rule=timed.refusal.rule,
            )
            for timed in self._refusals.get(service, {}).values()
            if now_s - timed.at_s < REFUSAL_MEMORY_S
        )
        return (*entries, *refusals)

    def _may_act_on(self, view: RowView, configuration_version: int) -> bool:
        now_s = self._clock.now_s()
        return view.is_confirmed(now_s) and self._heads.is_current(
            configuration_version, now_s=now_s
        )

    def _allowance(
        self,
        service: Service,
        stops: Sequence[PlannedStop],
        leaving: frozenset[str],
    ) -> Allowance:
        wall_s = self._clock.wall_s()
        held = counted_stops(service, stops, wall_s=wall_s) | leaving
        return allowance_at(service, held, wall_s=wall_s)

    async def _propose(
        self, proposal: EjectionProposal
    ) -> Result[EjectionEntry, Refusal]:
        service, target = proposal.service, proposal.target
        if service.target(target) is None:
            names = ", ".join(each.name for each in service.targets)
            detail = f"received {target}, allowed {names}"
            return Error(Refusal(service.name, target, RefusalRule.NOT_LISTED, detail))
        version = proposal.configuration_version
        match await self._snapshot(service.name, target, version):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=snapshot):
                pass
        known = ejection_edits.find_entry(snapshot.row, target)
        if known is not None and known.phase is EjectionPhase.EJECTED:
            return Ok(known)
        allowance = self._allowance(service, proposal.stops, proposal.leaving)
        out = _out(snapshot.row, proposal)
        if not allowance.admits(out):
            detail = (
                f"{len(allowance.held | out)} of {len(service.targets)} targets "
                f"would be out, allowed {max(allowance.allowed, 0)}: "
                f"{', '.join(sorted(allowance.held | out))}"
            )
            return Error(Refusal(service.name, target, RefusalRule.FLOOR, detail))
        row = ejection_edits.eject(
            snapshot.row, target, reason=proposal.reason, relapses=proposal.relapses
        )
        result = await self._commit(snapshot, row, target)
        if result.is_ok():
            events.log(
                events.TARGET_EJECTED,
                service=service.name,
                target=target,
                reason=proposal.reason,
            )
        entry = next(each for each in row.entries if each.target == target)
        return result.map(lambda _: entry)

    def _plan_upkeep(
        self,
        service: Service,
        row: EjectionRow,
        stops: Sequence[PlannedStop],
        leaving: frozenset[str],
    ) -> Upkeep:
        now_s = self._clock.now_s()
        kept = _kept_targets(row, self._allowance(service, stops, leaving))
        released = tuple(
            entry.target
            for entry in row.entries
            if entry.phase is EjectionPhase.EJECTED
            and (entry.target not in kept or service.target(entry.target) is None)
        )
        view = self._views[service.name]
        dropped = tuple(
            entry.target for entry in row.entries if view.is_released(entry, now_s)
        )
        return Upkeep(released, dropped)

    def _is_own_turn(self, view: RowView) -> bool:
        """Tell whether this daemon's share of the spread has passed."""
        now_s = self._clock.now_s()
        if view.due_since_s is None:
            view.due_since_s = now_s
        seed = f"{self._daemon}/{view.row.service}/{view.row.sequence}"
        fraction = xxhash.xxh32_intdigest(seed.encode()) / 2**32
        return now_s - view.due_since_s >= fraction * self._maintenance_spread_s

    async def _read(
        self, services: Sequence[str]
    ) -> Result[Mapping[str, StoredRow], Unavailable]:
        sent_at_s = self._clock.now_s()
        keys = [HEAD_KEY, *(ejection_key(service) for service in services)]
        result = await self._platform.read(keys)
        match result:
            case Result(tag="ok", ok=rows):
                self._heads.confirm(_head_version(rows), sent_at_s=sent_at_s)
                for service in services:
                    row, version = _ejection_row(rows, service)
                    self._absorb(row, version, sent_at_s=sent_at_s)
        return result

    def _absorb(self, row: EjectionRow, version: int, *, sent_at_s: float) -> None:
        view = self._views.get(row.service)
        if view is None:
            view = RowView(EjectionRow(row.service))
            self._views[row.service] = view
        view.absorb(row, version, sent_at_s=sent_at_s, now_s=self._clock.now_s())

    async def _snapshot(
        self, service: str, target: str, configuration_version: int
    ) -> Result[_Snapshot, Refusal]:
        """Read row and head at one moment; the head must be the daemon's own."""
        match await self._read([service]):
            case Result(tag="error", error=unavailable):
                return Error(
                    Refusal(
                        service,
                        target,
                        RefusalRule.TABLE_UNAVAILABLE,
                        unavailable.detail,
                    )
                )
            case Result(ok=rows):
                pass
        head_version = _head_version(rows)
        if head_version != configuration_version:
            detail = f"received {configuration_version}, allowed {head_version}"
            return Error(
                Refusal(service, target, RefusalRule.STALE_CONFIGURATION, detail)
            )
        row, row_version = _ejection_row(rows, service)
        head = rows.get(HEAD_KEY)
        return Ok(
            _Snapshot(
                row=row,
                row_version=row_version,
                head_row_version=head.version if head else ABSENT_VERSION,
                head_version=head_version,
            )
        )

    async def _commit(
        self, snapshot: _Snapshot, row: EjectionRow, target: str
    ) -> Result[None, Refusal]:
        """Write the row, if neither it nor the head has changed since the snapshot.

        A commit that took effect confirms row and head like a read.
        """
        sent_at_s = self._clock.now_s()
        key = ejection_key(row.service)
        transaction = Transaction(
            conditions=(
                Condition(HEAD_KEY, snapshot.head_row_version),
                Condition(key, snapshot.row_version),
            ),
            writes=(Write(key, row),),
            token=new_token(),
        )
        match await commit_resolved(self._platform, transaction):
            case Result(tag="ok", ok=committed):
                self._heads.confirm(snapshot.head_version, sent_at_s=sent_at_s)
                self._absorb(row, committed.version, sent_at_s=sent_at_s)
                return Ok(None)
            case Result(error=error):
                return Error(_refuse(row.service, target, error))

    def _remember(self, refusal: Refusal) -> None:
        remembered = self._refusals[refusal.service]
        known = remembered.get(refusal.target)
        if known is None or known.refusal.rule is not refusal.rule:
            events.log(
                events.EJECTION_REFUSED,
                service=refusal.service,
                target=refusal.target,
                reason=refusal.rule,
                detail=refusal.detail,
            )
        now_s = self._clock.now_s()
        remembered[refusal.target] = _TimedRefusal(refusal, now_s)
        self._refusals[refusal.service] = {
            target: timed
            for target, timed in remembered.items()
            if now_s - timed.at_s < REFUSAL_MEMORY_S
        }


def _kept_targets(row: EjectionRow, allowance: Allowance) -> tuple[str, ...]:
    """Return the entries' targets, releasing ones included, that the floor allows."""
    return allowance.keep([entry.target for entry in row.entries])


def _out(row: EjectionRow, proposal: EjectionProposal) -> frozenset[str]:
    """Return the targets that would be out, or serve little, beside those held."""
    listed = frozenset(target.name for target in proposal.service.targets)
    entries = frozenset(entry.target for entry in row.entries)
    return entries | (proposal.unserving & listed) | {proposal.target}


def _head_version(rows: Mapping[str, StoredRow]) -> int:
    stored = rows.get(HEAD_KEY)
    return stored.value.version if stored and isinstance(stored.value, Head) else 0


def _ejection_row(
    rows: Mapping[str, StoredRow], service: str
) -> tuple[EjectionRow, int]:
    stored = rows.get(ejection_key(service))
    if stored and isinstance(stored.value, EjectionRow):
        return stored.value, stored.version
    return EjectionRow(service), ABSENT_VERSION


def _refuse(service: str, target: str, error: CommitError) -> Refusal:
    match error:
        case Conflict(key=key):
            return Refusal(
                service, target, RefusalRule.CONFLICT, f"{key} changed meanwhile"
            )
        case Unavailable(detail=detail):
            return Refusal(service, target, RefusalRule.TABLE_UNAVAILABLE, detail)
        case OutcomeUnknown(detail=detail):
            return Refusal(service, target, RefusalRule.OUTCOME_UNKNOWN, detail)


def _names(row: EjectionRow) -> str:
    return ", ".join(entry.target for entry in row.entries) or "none"


def _log_upkeep(service: str, upkeep: Upkeep) -> None:
    for target in upkeep.released:
        events.log(events.TARGET_RELEASED, service=service, target=target)
    for target in upkeep.dropped:
        events.log(events.EJECTION_DROPPED, service=service, target=target)
