"""Quarantine of requests across a fleet whose daemons exchange datagrams.

A crash, a success of a suspect, a decision and the run of a suspect are sent to all
daemons at once, and those that matter several times, since datagrams are lost. Daemons
restart, too, so every second each daemon also sends a few of the states that it knows
to a few others, as long as there are any.

All daemons may be restarted at once, so quarantines are also written to the store as
soon as they are decided, each to one of a fixed number of rows, and read when a daemon
joins the fleet. The first quarantine of a request is short, but a fleet that starts
after its end still has to know that the request's next run is a trial. The ends of
targets before a quarantine are stored as well (see ``SuspectStoring``).

A suspect runs at one daemon at a time, which claims the run in the store. While the
store is away, the daemons tell each other.

A request has two fingerprints, with its caller and without. The first distinguishes it
from the same request of another caller, the second recognises it if its caller's
address changes.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from zlib import crc32

from expression import Result

from dogwoodhook.clock import Clock
from dogwoodhook.coordination.fleet_links import FleetLinks
from dogwoodhook.coordination.fleet_messages import SuspectStates
from dogwoodhook.coordination.quarantine_row import (
    QuarantineRow,
    to_quarantined,
    to_row,
)
from dogwoodhook.coordination.run_claims import (
    MAX_CLAIM_S,
    Claim,
    ClaimHeld,
    RunClaims,
    claim_key,
)
from dogwoodhook.coordination.store import Store, StoreRow, StoreUnavailable, Table
from dogwoodhook.coordination.suspect_storing import SuspectStoring
from dogwoodhook.events import (
    DAEMON_ROW_REFUSED,
    QUARANTINES_RESTORED,
    REQUEST_CLEARED,
    REQUEST_HELD,
    REQUEST_QUARANTINED,
    REQUEST_RUNS_ALONE,
    log,
)
from dogwoodhook.state.quarantine import (
    DECISION_DELAY_S,
    RUNNING_RETRY_S,
    Admission,
    Admit,
    Quarantine,
    Quarantined,
    Refuse,
    RequestIdentity,
    RunAlone,
)
from dogwoodhook.state.row_restoring import may_be_missing

EXCHANGE_INTERVAL_S = 1.0
"""Interval at which a daemon sends some of the states that it knows."""

REPEAT_INTERVAL_S = 0.1
"""Interval at which a state that matters is sent again."""

REPEATS = 3
"""Number of times that it is sent again."""

EXCHANGE_PEERS = 2
"""Daemons to which they are sent: everyone knows after some seconds."""

EXCHANGED_STATES = 3
"""States sent at a time, so that a datagram fits into one packet."""

QUARANTINE_ROW_PREFIX = "quarantine/"

MAX_ROWS = 64
"""Rows in the store; a later quarantine may replace another one's row."""

SETTLE_S = 0.25
"""Time that a run of a suspect waits for those of other daemons if the store does not
decide: enough for two repeats of a state."""

PROBLEM_LENGTH = 200
"""Characters of a row's problem that are logged."""

RECENT_S = 10.0
"""Time for which a first crash and a success are sent again."""


@dataclass(slots=True)
class AloneRun:
    """The run of a suspect at this daemon; ``claims`` are those of its ``suspects``."""

    suspects: tuple[str, ...]
    claims: list[Claim] = field(default_factory=list)
    is_claimed: bool = False


class FleetQuarantine:
    """Shares one daemon's quarantine with the other daemons.

    ``on_stopped`` is called with the fingerprint of a request that is refused from now
    on, maybe several times.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        links: FleetLinks,
        clock: Clock,
        *,
        daemon: str,
        rng: random.Random,
        store: Store,
        encode_row: Callable[[QuarantineRow], bytes],
        decode_row: Callable[[bytes], Result[QuarantineRow, str]],
        claims: RunClaims,
        suspect_storing: SuspectStoring,
    ) -> None:
        self.on_stopped: Callable[[str], None] = lambda fingerprint: None
        self._claims = claims
        self._suspect_storing = suspect_storing
        self._releases: set[asyncio.Task[None]] = set()
        self._decode_row = decode_row
        self._store = store
        self._encode_row = encode_row
        # The rows that the store lacks, with the requests that they are of.
        self._unstored: dict[str, str] = {}
        self._quarantine = quarantine
        self._links = links
        self._clock = clock
        self._daemon = daemon
        self._rng = rng
        self._repeats: dict[str, int] = {}
        self._has_repeats = asyncio.Event()
        self._has_stopped = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of fingerprints that are watched, suspected or refused."""
        return len(self._quarantine)

    def check(self, identity: RequestIdentity) -> Admission:
        """Decide how a request may run; called before each attempt."""
        now_s = self._clock.now_s()
        admissions = [self._quarantine.check(each, now_s) for each in identity]
        self._share_decisions(self._quarantine.take_decided())
        refusals = [each.until_s for each in admissions if isinstance(each, Refuse)]
        if refusals:
            return Refuse(max(refusals))
        alone = [each.avoid for each in admissions if isinstance(each, RunAlone)]
        return RunAlone(frozenset().union(*alone)) if alone else Admit()

    async def begin_alone(
        self, identity: RequestIdentity, *, for_s: float
    ) -> AloneRun | Refuse:
        """Start the run of a suspect, unless another daemon runs it.

        The others do not run it for ``for_s``, or until they hear of its end.
        """
        now_s = self._clock.now_s()
        admission = self.check(identity)
        if isinstance(admission, Refuse):
            return admission
        suspects = [
            each
            for each in identity
            if isinstance(self._quarantine.check(each, now_s), RunAlone)
        ]
        for fingerprint in suspects:
            self._quarantine.begin_alone(
                fingerprint, self._daemon, until_s=now_s + for_s
            )
        self._share(suspects)
        run = AloneRun(tuple(suspects))
        holder = ""
        try:
            holder = await self._claim(run, for_s=for_s)
        finally:
            # Also if the caller leaves meanwhile.
            if holder or not run.is_claimed:
                self.end_alone(run, has_arrived=False)
        if holder:
            log(REQUEST_HELD, **identity.log_fields(), holder=holder)
            return Refuse(self._clock.now_s() + RUNNING_RETRY_S)
        log(REQUEST_RUNS_ALONE, **identity.log_fields(), for_s=round(for_s, 1))
        return run

    def end_alone(self, run: AloneRun, *, has_arrived: bool) -> None:
        """Record that the suspect's run ended, and whether it reached a target."""
        now_s = self._clock.now_s()
        for fingerprint in run.suspects:
            self._quarantine.end_alone(
                fingerprint, now_s=now_s, has_arrived=has_arrived
            )
        self._share_decisions(self._quarantine.take_decided())
        if not run.claims:
            self._share(run.suspects)
            return
        # A daemon that hears of the end may claim the next run at once.
        task = asyncio.create_task(self._release(run))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def _release(self, run: AloneRun) -> None:
        for claim in run.claims:
            known = self._quarantine.state(claim.fingerprint, self._clock.now_s())
            await self._claims.release(
                claim,
                refused_for_s=min(known.refused_for_s, MAX_CLAIM_S) if known else 0.0,
                quarantines=known.quarantines if known else 0,
            )
        self._share(run.suspects)

    async def _claim(self, run: AloneRun, *, for_s: float) -> str:
        """Claim a run; return the daemon that keeps it from running, if there is one.

        That is this one if it has heard meanwhile that the request is refused.
        """
        # Fingerprints of one request may share a row.
        rows = {claim_key(each): each for each in run.suspects}
        for fingerprint in rows.values():
            known = self._quarantine.state(fingerprint, self._clock.now_s())
            claimed = await self._claims.claim(
                fingerprint, for_s=for_s, quarantines=known.quarantines if known else 0
            )
            match claimed:
                case Claim() as claim:
                    run.claims.append(claim)
                case ClaimHeld(holder):
                    return holder or "another daemon"
                case StoreUnavailable():
                    holder = await self._settle(fingerprint)
                    if holder:
                        return holder
        now_s = self._clock.now_s()
        if any(self._quarantine.is_stopped(each, now_s) for each in run.suspects):
            return self._daemon
        run.is_claimed = True
        return ""

    async def _settle(self, fingerprint: str) -> str:
        """Return the daemon that runs a suspect, as far as the daemons know.

        Several that began at the same time have told each other then; the run of the
        first one by name goes on.
        """
        await asyncio.sleep(SETTLE_S)
        others = self._quarantine.holders(fingerprint, self._clock.now_s())
        return min((each for each in others if each < self._daemon), default="")

    def watch(self, identity: RequestIdentity) -> None:
        """Watch the runs of a request, at all daemons."""
        for fingerprint in identity:
            self._quarantine.watch(fingerprint, self._clock.now_s())
        self._links.broadcast(self._message(identity))

    def is_watched(self, identity: RequestIdentity) -> bool:
        """Return whether the runs of a request are watched."""
        now_s = self._clock.now_s()
        return any(self._quarantine.is_watched(each, now_s) for each in identity)

    def record_crash(
        self,
        service: str,
        identity: RequestIdentity,
        target: str,
        *,
        crashed_s: float | None = None,
    ) -> None:
        """Record that a target ended with the request in flight, now or earlier."""
        now_s = self._clock.now_s()
        own, any_caller = identity
        for fingerprint, caller in ((own, None), (any_caller, own)):
            self._quarantine.record_crash(
                service,
                fingerprint,
                target,
                now_s,
                daemon=self._daemon,
                caller=caller,
                crashed_s=crashed_s,
            )
        self._share(identity)
        self._share_decisions(self._quarantine.take_decided())
        self._report_stopped(identity)
        self._suspect_storing.record_end(identity)

    def has_counted(self, identity: RequestIdentity, target: str) -> bool:
        """Return whether the end of a target counts already for a request."""
        known = self._quarantine.state(identity.fingerprint, self._clock.now_s())
        crashes = () if known is None else known.crashes
        return any(crash.target.partition("#")[0] == target for crash in crashes)

    def record_success(
        self, identity: RequestIdentity, *, target: str = "", status: int = 0
    ) -> None:
        """Clear a suspect that a target answered; target and status are logged."""
        now_s = self._clock.now_s()
        before = [self._quarantine.state(each, now_s) for each in identity]
        cleared = [
            each for each in identity if self._quarantine.record_success(each, now_s)
        ]
        for state in before:
            if state is None or state.fingerprint not in cleared:
                continue
            log(
                REQUEST_CLEARED,
                fingerprint=state.fingerprint,
                target=target,
                status=status,
            )
            self._suspect_storing.record_success(state)
            if state.quarantines:
                self._unstored[_row_key(state.fingerprint)] = state.fingerprint
        if cleared:
            self._share(cleared)

    def snapshot(self) -> SuspectStates:
        """Return all states that another daemon needs to know."""
        known = self._quarantine.changed_fingerprints(
            self._clock.now_s(), within_s=RECENT_S
        )
        return self._message(known)

    def receive(self, message: SuspectStates) -> None:
        """Add what another daemon knows, and store its decisions on ends seen here."""
        decided = [
            each.fingerprint
            for each in message.states
            if each.quarantines and self._has_seen_end(each.fingerprint)
        ]
        self._quarantine.merge(
            message.states, self._clock.now_s(), daemon=message.daemon
        )
        for fingerprint in decided:
            known = self._quarantine.state(fingerprint, self._clock.now_s())
            if known is not None and known.quarantines:
                self._unstored[_row_key(fingerprint)] = fingerprint
        self._report_stopped(each.fingerprint for each in message.states)

    def _has_seen_end(self, fingerprint: str) -> bool:
        """Return whether this daemon saw a target end that no decision counts yet."""
        known = self._quarantine.state(fingerprint, self._clock.now_s())
        crashes = () if known is None else known.crashes
        return any(crash.daemon == self._daemon for crash in crashes)

    def adopt_row(self, row: StoreRow) -> None:
        """Adopt a quarantine or suspects from the store, unless they have ended."""
        self._suspect_storing.restore(row)
        if not row.key.startswith(QUARANTINE_ROW_PREFIX) or row.value is None:
            return
        match self._decode_row(row.value):
            case Result(tag="ok", ok=decoded):
                quarantined = to_quarantined(decoded, self._clock)
                self._quarantine.restore(quarantined, self._clock.now_s())
            case Result(error=problem):
                log(DAEMON_ROW_REFUSED, row=row.key, problem=problem[:PROBLEM_LENGTH])

    async def run(self) -> None:
        """Send states again, and some of them to some daemons, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._repeat_forever())
            group.create_task(self._exchange_forever())
            group.create_task(self._decide_forever())
            group.create_task(self._suspect_storing.run())

    async def _exchange_forever(self) -> None:
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            self.exchange()
            await self.store_decisions()

    async def _decide_forever(self) -> None:
        """Decide on requests as soon as enough targets ended, and store that."""
        while True:
            await self._has_stopped.wait()
            self._has_stopped.clear()
            await asyncio.sleep(DECISION_DELAY_S + REPEAT_INTERVAL_S)
            now_s = self._clock.now_s()
            self._share_decisions(self._quarantine.take_unpublished(now_s))
            await self.store_decisions()

    async def _repeat_forever(self) -> None:
        while True:
            await self._has_repeats.wait()
            await asyncio.sleep(REPEAT_INTERVAL_S)
            self.repeat()

    async def store_decisions(self) -> None:
        """Write quarantines that the store lacks; those it refuses wait.

        What is written is known now: another daemon may have decided again meanwhile.
        """
        for key, fingerprint in tuple(self._unstored.items()):
            del self._unstored[key]
            value = self._encode_row(self._row_of(fingerprint))
            written = await self._store.put_row(Table.DAEMONS, key, value)
            if written.is_error():
                self._unstored.setdefault(key, fingerprint)
                return

    def _row_of(self, fingerprint: str) -> QuarantineRow:
        """Return the row of a quarantine, or of one that a success has ended."""
        now_s = self._clock.now_s()
        known = self._quarantine.state(fingerprint, now_s)
        if known is None or not known.quarantines:
            return QuarantineRow(fingerprint, "", 0.0, 0)
        until_s = now_s + known.refused_for_s
        return to_row(
            Quarantined(known.service, fingerprint, until_s, known.quarantines),
            self._clock,
        )

    def store_again(self) -> None:
        """Store what a copy of the store may lack."""
        self._suspect_storing.store_again()
        now_s = self._clock.now_s()
        known = [
            self._quarantine.state(each, now_s)
            for each in self._quarantine.changed_fingerprints(now_s, within_s=RECENT_S)
        ]
        rows = {
            _row_key(each.fingerprint): each.fingerprint
            for each in known
            if each is not None
            and each.quarantines
            and may_be_missing(each.decided_age_s)
        }
        self._unstored = {**rows, **self._unstored}
        if rows:
            log(QUARANTINES_RESTORED, rows=len(rows))

    def repeat(self) -> None:
        """Send the states again that changed a short time ago."""
        due = list(self._repeats)
        for start in range(0, len(due), EXCHANGED_STATES):
            chosen = due[start : start + EXCHANGED_STATES]
            self._links.broadcast(self._message(chosen))
        self._repeats = {
            fingerprint: left - 1
            for fingerprint, left in self._repeats.items()
            if left > 1
        }
        if not self._repeats:
            self._has_repeats.clear()

    def exchange(self) -> None:
        """Decide on suspects, and send some of the known states to some daemons.

        Those that run here are sent to all: another daemon may have missed that.
        """
        now_s = self._clock.now_s()
        self._quarantine.discard_expired(now_s)
        self._share_decisions(self._quarantine.take_unpublished(now_s))
        running = self._quarantine.running_fingerprints()
        if running:
            self._links.broadcast(self._message(running[:EXCHANGED_STATES]))
        changed = self._quarantine.changed_fingerprints(now_s, within_s=RECENT_S)
        if not changed:
            return
        chosen = self._rng.sample(changed, min(EXCHANGED_STATES, len(changed)))
        self._links.notify_some(self._message(chosen), EXCHANGE_PEERS)

    def _share_decisions(self, decided: tuple[Quarantined, ...]) -> None:
        now_s = self._clock.now_s()
        for each in decided:
            log(
                REQUEST_QUARANTINED,
                service=each.service,
                fingerprint=each.fingerprint,
                targets=",".join(crash.target for crash in each.evidence),
                daemons=",".join(sorted({crash.daemon for crash in each.evidence})),
                quarantines=each.crashes,
                for_s=round(each.until_s - now_s, 1),
            )
            if self._is_to_store(each):
                self._unstored[_row_key(each.fingerprint)] = each.fingerprint
        if decided:
            self._share(each.fingerprint for each in decided)

    def _is_to_store(self, quarantined: Quarantined) -> bool:
        """Return whether this daemon stores a quarantine.

        Every daemon decides on the first one by itself, or hears of it, so only those
        that saw one of the targets end store it. The others follow a run, at the daemon
        that decides.
        """
        if quarantined.crashes > 1:
            return True
        return any(crash.daemon == self._daemon for crash in quarantined.evidence)

    def _share(self, fingerprints: Iterable[str]) -> None:
        """Send states to all daemons, and again later if they can refuse a request."""
        shared = tuple(fingerprints)
        self._links.broadcast(self._message(shared))
        for fingerprint in shared:
            if self._quarantine.is_critical(fingerprint):
                self._repeats[fingerprint] = REPEATS
                self._has_repeats.set()

    def _report_stopped(self, fingerprints: Iterable[str]) -> None:
        now_s = self._clock.now_s()
        for fingerprint in fingerprints:
            if self._quarantine.is_stopped(fingerprint, now_s):
                self._has_stopped.set()
                self.on_stopped(fingerprint)

    def _message(self, fingerprints: Iterable[str]) -> SuspectStates:
        now_s = self._clock.now_s()
        states = (self._quarantine.state(each, now_s) for each in fingerprints)
        return SuspectStates(
            self._daemon, tuple(each for each in states if each is not None)
        )


def _row_key(fingerprint: str) -> str:
    return f"{QUARANTINE_ROW_PREFIX}{crc32(fingerprint.encode()) % MAX_ROWS}"
