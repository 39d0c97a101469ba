"""Fleet-wide ejection of targets under a capacity floor.

An ejection is an entry in the service's ejection row. Every write of the row is
conditional on the row and on the configuration head, both read at one moment, so
that it is based on the configuration in force. A daemon acts on an entry only if
it has confirmed row and head within the last ``CONFIRMATION_LEASE_S``, and keeps
only as many entries, the oldest first, as its allowance permits.

A release leaves the entry in the row and sets its phase to releasing. Other
daemons may act on the ejection for one more lease, so the entry still counts
against the allowance until a daemon that has itself seen it as releasing for
``RELEASE_WAIT_S`` drops it. ``docs/design/ejection.md`` argues why all targets
that the daemons eject, taken together, stay within the floor.
"""

from collections.abc import Iterable, Sequence

import xxhash
from expression import Error, Ok, Result

from dogwoodhook import events
from dogwoodhook.clock import Clock
from dogwoodhook.coordination import ejection_edits
from dogwoodhook.coordination.confirmation import HeadConfirmations, RowView
from dogwoodhook.coordination.ejection_table import (
    EjectionRead,
    EjectionTable,
    RowRead,
)
from dogwoodhook.coordination.ejection_types import (
    EjectionProposal,
    Explanation,
    MaintenancePlan,
    Refusal,
    RefusalRule,
    Standing,
)
from dogwoodhook.coordination.platform import (
    CommitError,
    Conflict,
    OutcomeUnknown,
    Platform,
    Unavailable,
)
from dogwoodhook.coordination.refusals import RefusalHistory
from dogwoodhook.coordination.rows import EjectionEntry, EjectionPhase, EjectionRow
from dogwoodhook.state.floors import Allowance, allowance_at
from dogwoodhook.state.model import PlannedStop, Service
from dogwoodhook.state.stops import counted_stops

__all__ = [
    "EjectionManager",
    "EjectionProposal",
    "Explanation",
    "MaintenancePlan",
    "Refusal",
    "RefusalRule",
    "Standing",
]

MAINTENANCE_SPREAD_S = 5.0
"""Largest delay of a daemon before it maintains a row. The delays differ between
daemons, so that one of them does it for all."""


class EjectionManager:
    """One daemon's view of the ejections, and its changes to them."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        *,
        daemon: str,
        maintenance_spread_s: float = MAINTENANCE_SPREAD_S,
    ) -> None:
        self._table = EjectionTable(platform)
        self._clock = clock
        self._daemon = daemon
        self._maintenance_spread_s = maintenance_spread_s
        self._heads = HeadConfirmations()
        self._views: dict[str, RowView] = {}
        self._refusals = RefusalHistory(clock)

    async def refresh(self, services: Sequence[str]) -> None:
        """Read the head and the rows of these services at one moment.

        A read that fails changes nothing; earlier confirmations last until they expire.
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
        result holds for this moment only: call again for each choice of a target.
        """
        view = self._views.get(service.name)
        if view is None or not view.row.entries:
            return frozenset()
        if not self._may_act_on(view, configuration_version):
            return frozenset()
        kept = _kept_targets(view.row, self._allowance(service, stops, leaving))
        return frozenset(
            entry.target
            for entry in view.row.entries
            if entry.phase is EjectionPhase.EJECTED and entry.target in kept
        )

    async def propose(
        self, proposal: EjectionProposal
    ) -> Result[EjectionEntry, Refusal]:
        """Eject a target if the floor allows it; return its new or existing entry."""
        result = await self._propose(proposal)
        match result:
            case Result(tag="error", error=refusal):
                self._refusals.add(refusal)
            case Result(tag="ok", ok=entry):
                self._refusals.discard(proposal.service.name, entry.target)
        return result

    async def release(
        self, service: Service, target: str, *, configuration_version: int
    ) -> Result[None, Refusal]:
        """Release an ejected target; do nothing if it is releasing already."""
        view = self._confirmed_view(service.name)
        known = ejection_edits.find_entry(view.row, target) if view else None
        if known is not None and known.phase is EjectionPhase.RELEASING:
            return Ok(None)
        match await self._snapshot(service.name, target, configuration_version):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=snapshot):
                (row_read,) = snapshot.rows
        entry = ejection_edits.find_entry(row_read.row, target)
        if entry is None:
            names = [each.target for each in row_read.row.entries]
            return Error(
                _not_allowed_refusal(service, target, RefusalRule.NOT_EJECTED, names)
            )
        if entry.phase is EjectionPhase.RELEASING:
            return Ok(None)
        row = ejection_edits.release_and_drop(row_read.row, released=(target,))
        result = await self._write(row, snapshot, target)
        if result.is_ok():
            _log_maintenance(service.name, MaintenancePlan(released=(target,)))
        return result

    async def maintain(
        self,
        service: Service,
        stops: Sequence[PlannedStop],
        *,
        leaving: frozenset[str],
        configuration_version: int,
    ) -> Result[MaintenancePlan, Refusal]:
        """Release entries that the floor no longer allows; drop those released.

        Every daemon may call this often: each waits for its own delay within the
        spread, and nothing is read or written where nothing is due.
        """
        view = self._views.get(service.name)
        if view is None or not view.row.entries:
            return Ok(MaintenancePlan())
        plan = self._plan_maintenance(service, view.row, stops, leaving)
        if plan.is_empty:
            view.due_since_s = None
            return Ok(plan)
        if not self._is_own_turn(view):
            return Ok(MaintenancePlan())
        match await self._snapshot(service.name, "", configuration_version):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=snapshot):
                (row_read,) = snapshot.rows
        plan = self._plan_maintenance(service, row_read.row, stops, leaving)
        if plan.is_empty:
            return Ok(plan)
        row = ejection_edits.release_and_drop(
            row_read.row, released=plan.released, dropped=plan.dropped
        )
        result = await self._write(row, snapshot, "")
        if result.is_ok():
            _log_maintenance(service.name, plan)
        return result.map(lambda _: plan)

    def explain(self, service: str) -> tuple[Explanation, ...]:
        """Return a service's entries and recent refusals, as shown to operators."""
        view = self._views.get(service)
        is_confirmed = view is not None and view.is_confirmed(self._clock.now_s())
        entries = (
            Explanation(entry.target, Standing(entry.phase), entry.reason, is_confirmed)
            for entry in self.entries(service)
        )
        refusals = (
            Explanation(each.target, Standing.REFUSED, each.detail, rule=each.rule)
            for each in self._refusals.recent(service)
        )
        return (*entries, *refusals)

    async def _propose(
        self, proposal: EjectionProposal
    ) -> Result[EjectionEntry, Refusal]:
        service, target = proposal.service, proposal.target
        if service.target(target) is None:
            names = [each.name for each in service.targets]
            return Error(
                _not_allowed_refusal(service, target, RefusalRule.NOT_LISTED, names)
            )
        view = self._confirmed_view(service.name)
        if view is not None:
            decided = self._decide_without_write(proposal, view.row)
            if decided is not None:
                return decided
        version = proposal.configuration_version
        match await self._snapshot(service.name, target, version):
            case Result(tag="error", error=refusal):
                return Error(refusal)
            case Result(ok=snapshot):
                (row_read,) = snapshot.rows
        decided = self._decide_without_write(proposal, row_read.row)
        if decided is not None:
            return decided
        row = ejection_edits.eject(
            row_read.row, target, reason=proposal.reason, relapses=proposal.relapses
        )
        result = await self._write(row, snapshot, target)
        if result.is_ok():
            events.log(
                events.TARGET_EJECTED,
                service=service.name,
                target=target,
                reason=proposal.reason,
            )
        entry = next(each for each in row.entries if each.target == target)
        return result.map(lambda _: entry)

    def _decide_without_write(
        self, proposal: EjectionProposal, row: EjectionRow
    ) -> Result[EjectionEntry, Refusal] | None:
        """Return the outcome if the row alone decides it, without a write."""
        known = ejection_edits.find_entry(row, proposal.target)
        if known is not None and known.phase is EjectionPhase.EJECTED:
            return Ok(known)
        refusal = self._floor_refusal(proposal, row)
        return Error(refusal) if refusal else None

    def _floor_refusal(
        self, proposal: EjectionProposal, row: EjectionRow
    ) -> Refusal | None:
        service = proposal.service
        allowance = self._allowance(service, proposal.stops, proposal.leaving)
        out = _targets_out(row, proposal)
        if allowance.admits(out):
            return None
        out |= allowance.already_out
        detail = (
            f"{len(out)} of {len(service.targets)} targets would be out, "
            f"allowed {max(allowance.allowed, 0)}: {', '.join(sorted(out))}"
        )
        return Refusal(service.name, proposal.target, RefusalRule.FLOOR, detail)

    def _allowance(
        self,
        service: Service,
        stops: Sequence[PlannedStop],
        leaving: frozenset[str],
    ) -> Allowance:
        wall_s = self._clock.wall_s()
        already_out = counted_stops(service, stops, wall_s=wall_s) | leaving
        return allowance_at(service, already_out, wall_s=wall_s)

    def _may_act_on(self, view: RowView, configuration_version: int) -> bool:
        now_s = self._clock.now_s()
        return view.is_confirmed(now_s) and self._heads.is_current(
            configuration_version, now_s=now_s
        )

    def _confirmed_view(self, service: str) -> RowView | None:
        view = self._views.get(service)
        if view is None or not view.is_confirmed(self._clock.now_s()):
            return None
        return view

    def _plan_maintenance(
        self,
        service: Service,
        row: EjectionRow,
        stops: Sequence[PlannedStop],
        leaving: frozenset[str],
    ) -> MaintenancePlan:
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
        return MaintenancePlan(released, dropped)

    def _is_own_turn(self, view: RowView) -> bool:
        """Return whether this daemon's delay within the spread has passed."""
        now_s = self._clock.now_s()
        if view.due_since_s is None:
            view.due_since_s = now_s
        seed = f"{self._daemon}/{view.row.service}/{view.row.sequence}"
        fraction = xxhash.xxh32_intdigest(seed.encode()) / 2**32
        return now_s - view.due_since_s >= fraction * self._maintenance_spread_s

    async def _read(self, services: Sequence[str]) -> Result[EjectionRead, Unavailable]:
        """Read head and rows; both are confirmed as of the time the read was sent."""
        sent_at_s = self._clock.now_s()
        result = await self._table.read(services)
        match result:
            case Result(tag="ok", ok=read):
                version = read.head.configuration_version
                if self._heads.confirm(version, sent_at_s=sent_at_s):
                    for each in read.rows:
                        self._record_row(each, sent_at_s=sent_at_s)
        return result

    async def _snapshot(
        self, service: str, target: str, configuration_version: int
    ) -> Result[EjectionRead, Refusal]:
        """Read row and head at one moment; refuse if the head has another version."""
        match await self._read([service]):
            case Result(tag="error", error=unavailable):
                return Error(_refusal_for(service, target, unavailable))
            case Result(ok=read):
                pass
        head_version = read.head.configuration_version
        if head_version == configuration_version:
            return Ok(read)
        detail = f"received {configuration_version}, allowed {head_version}"
        return Error(Refusal(service, target, RefusalRule.STALE_CONFIGURATION, detail))

    async def _write(
        self, row: EjectionRow, snapshot: EjectionRead, target: str
    ) -> Result[None, Refusal]:
        """Write a row; a successful write confirms row and head like a read."""
        sent_at_s = self._clock.now_s()
        (row_read,) = snapshot.rows
        match await self._table.write(row, row_read=row_read, head=snapshot.head):
            case Result(tag="ok", ok=committed):
                version = snapshot.head.configuration_version
                self._heads.confirm(version, sent_at_s=sent_at_s)
                self._record_row(RowRead(row, committed.version), sent_at_s=sent_at_s)
                return Ok(None)
            case Result(error=error):
                return Error(_refusal_for(row.service, target, error))

    def _record_row(self, read: RowRead, *, sent_at_s: float) -> None:
        service = read.row.service
        view = self._views.get(service)
        if view is None:
            view = RowView(EjectionRow(service))
            self._views[service] = view
        now_s = self._clock.now_s()
        view.record(read.row, read.version, sent_at_s=sent_at_s, now_s=now_s)


def _kept_targets(row: EjectionRow, allowance: Allowance) -> tuple[str, ...]:
    """Return the targets of the entries, releasing ones too, that the floor allows."""
    return allowance.keep([entry.target for entry in row.entries])


def _targets_out(row: EjectionRow, proposal: EjectionProposal) -> frozenset[str]:
    """Return the targets that count as out in addition to ``Allowance.already_out``.

    These are the row's targets, the proposed one, and the listed targets that the
    daemon suspects.
    """
    listed = frozenset(target.name for target in proposal.service.targets)
    entries = frozenset(entry.target for entry in row.entries)
    return entries | (proposal.suspected_targets & listed) | {proposal.target}


def _refusal_for(service: str, target: str, error: CommitError) -> Refusal:
    match error:
        case Conflict(key=key):
            detail = f"{key} changed meanwhile"
            return Refusal(service, target, RefusalRule.CONFLICT, detail)
        case Unavailable(detail=detail):
            return Refusal(service, target, RefusalRule.TABLE_UNAVAILABLE, detail)
        case OutcomeUnknown(detail=detail):
            return Refusal(service, target, RefusalRule.OUTCOME_UNKNOWN, detail)


def _not_allowed_refusal(
    service: Service, target: str, rule: RefusalRule, names: Iterable[str]
) -> Refusal:
    detail = f"received {target}, allowed {', '.join(names) or 'none'}"
    return Refusal(service.name, target, rule, detail)


def _log_maintenance(service: str, plan: MaintenancePlan) -> None:
    for target in plan.released:
        events.log(events.TARGET_RELEASED, service=service, target=target)
    for target in plan.dropped:
        events.log(events.EJECTION_DROPPED, service=service, target=target)
