"""Which targets of a service to trust, decided from the outcomes of real work.

``ServiceHealth`` takes a daemon's own outcomes and those that peers tell, and
gives each target a phase and a weight. It does no I/O and reads no clock.

    health = ServiceHealth("payouts", ["a", "b"], false_ejection_interval_s=86400)
    health.observe("a", Failure(FailureKind.CRASH, fingerprint=7), now_s=1.0)
    health.status("a", now_s=1.0).score
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from dogwoodhook.state.baseline import LatencyBaseline, ShareBaseline
from dogwoodhook.state.cusum import Likelihoods, alarm_threshold
from dogwoodhook.state.failed_requests import FailedRequests
from dogwoodhook.state.outcome_rate import OutcomeRate
from dogwoodhook.state.outcomes import (
    Failure,
    FailureKind,
    Observation,
    Success,
    TargetEvidence,
)
from dogwoodhook.state.recovery import Recovery, TargetPhase
from dogwoodhook.state.target_evidence import (
    ERROR_KINDS,
    SELF,
    OutcomeCounts,
    ServiceLikelihoods,
    Symptom,
    TargetRecord,
    View,
)

__all__ = [
    "ServiceHealth",
    "TargetPhase",
    "TargetStatus",
    "is_self_doubting",
]

SLOW_START_THRESHOLD_FACTOR = 0.5
HEALTH_ENDPOINT_SCORE = 1.0
MAX_HEALTH_ENDPOINT_FACTOR = 0.3
"""Largest part of the threshold that a bad health endpoint may add."""

MIN_SUSPECTING_PEERS = 2
CONFIRMED_THRESHOLD_FACTOR = 0.5
"""Part of the threshold that is enough where several peers passed all of it."""

EXCESS_ERROR_SHARE = 0.2
EXCESS_SLOW_SHARE = 0.5
"""Shares of otherwise good outcomes that a failing target is taken to spoil."""

OUTCOMES_PER_BASELINE = 8
"""Records after which the baseline is taken anew."""

SELF_DOUBT_SERVICES = 2
SELF_DOUBT_TARGET_SHARE = 0.5
MAX_TOLD_REQUESTS = 16


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """What a daemon holds of a target.

    ``weight`` is 1.0 for a healthy target, between 0 and 1 while it recovers,
    and 0.0 for a suspect, which gets work only when the others have no free
    slot. ``accusers`` counts the daemons, this one included, whose failures
    stand behind the present suspicion.
    """

    target: str
    phase: TargetPhase
    score: float
    threshold: float
    reason: str
    since_s: float
    weight: float
    accusers: int


@dataclass(slots=True)
class _TargetState:
    record: TargetRecord
    recovery: Recovery | None = None
    reason: str = ""
    symptom: Symptom = Symptom.ERRORS
    score: float = 0.0
    accusers: int = 0

    @property
    def phase(self) -> TargetPhase:
        return TargetPhase.HEALTHY if self.recovery is None else self.recovery.phase


class ServiceHealth:
    """The health of one service's targets, as one daemon sees it."""

    def __init__(
        self,
        service: str,
        targets: Sequence[str],
        *,
        false_ejection_interval_s: float,
        random_source: random.Random | None = None,
    ) -> None:
        self.service = service
        self._interval_s = false_ejection_interval_s
        self._random = random_source or random.Random(service)
        self._states = {each: _TargetState(TargetRecord()) for each in targets}
        self._errors = ShareBaseline(targets)
        self._slowness = ShareBaseline(targets)
        self._latency = LatencyBaseline()
        self._requests = FailedRequests()
        self._rate = OutcomeRate()
        self._reporters: dict[str, float] = {}
        self._transitions: list[TargetStatus] = []
        self._recorded = 0
        self._cached_likelihoods = self._compute_likelihoods()

    def reconfigure(
        self, targets: Sequence[str], *, false_ejection_interval_s: float
    ) -> None:
        """Take a new list of targets; those that stay keep their state."""
        self._interval_s = false_ejection_interval_s
        self._states = {
            each: self._states.get(each, _TargetState(TargetRecord()))
            for each in targets
        }
        self._errors.set_targets(targets)
        self._slowness.set_targets(targets)

    def observe(self, target: str, observation: Observation, *, now_s: float) -> None:
        """Take the outcome of one of this daemon's own attempts."""
        state = self._states.get(target)
        if state is None:
            return
        match observation:
            case Failure(kind=FailureKind.HEALTH_ENDPOINT):
                self._observe_bad_endpoint(state.record)
            case Failure():
                self._observe_failure(target, state, observation, now_s)
            case Success():
                self._observe_success(target, state, observation, now_s)

    def absorb(self, evidence: TargetEvidence, *, reporter: str, now_s: float) -> None:
        """Take the outcomes that a peer tells."""
        state = self._states.get(evidence.target)
        if state is None:
            return
        self._reporters[reporter] = now_s
        counts = self._count(evidence, now_s)
        if counts.errors or counts.slow:
            state.record.accusers.add(reporter)
        if evidence.is_suspected:
            state.record.suspecting_peers.add(reporter)
        self._record_baseline(evidence.target, counts, peers=1)
        self._add(evidence.target, counts, now_s, is_own=False)

    def take_evidence(self) -> tuple[TargetEvidence, ...]:
        """Return the own outcomes that peers must be told since the last call."""
        taken = (
            state.record.untold.take(self.service, target)
            for target, state in self._states.items()
        )
        return tuple(each for each in taken if each is not None)

    def status(self, target: str, *, now_s: float) -> TargetStatus:
        """Return a target's status."""
        if target not in self._states:
            raise KeyError(
                f"no target {target!r} in service {self.service!r};"
                f" its targets are {', '.join(self._states)}"
            )
        self._advance(target, now_s)
        return self._make_status(target, now_s)

    def statuses(self, *, now_s: float) -> tuple[TargetStatus, ...]:
        """Return the status of every target, in the order configured."""
        return tuple(self.status(each, now_s=now_s) for each in self._states)

    def take_transitions(self) -> tuple[TargetStatus, ...]:
        """Return the changes of phase since the last call, oldest first."""
        transitions = tuple(self._transitions)
        self._transitions.clear()
        return transitions

    def wants_probe(self, target: str, *, now_s: float) -> bool:
        """Tell whether a suspect's holding time is over."""
        state = self._states.get(target)
        if state is None or state.recovery is None:
            return False
        return state.recovery.wants_probe(now_s)

    def observe_probe(self, target: str, *, is_successful: bool, now_s: float) -> None:
        """Take a probe's result; a good one lets a little work through."""
        state = self._states.get(target)
        if state is None or state.recovery is None:
            return
        if state.recovery.observe_probe(is_successful=is_successful, now_s=now_s):
            state.reason = "a probe was answered"
            self._note_transition(target, now_s)

    def sees_failures(self) -> bool:
        """Tell whether most targets fail from here while peers reach them."""
        likelihoods = self._likelihoods()
        failing = sum(
            1
            for state in self._states.values()
            if state.phase is not TargetPhase.HEALTHY
            and state.record.own.errors.score(likelihoods.errors) > 0
        )
        return failing > SELF_DOUBT_TARGET_SHARE * len(self._states)

    def _observe_bad_endpoint(self, record: TargetRecord) -> None:
        most = MAX_HEALTH_ENDPOINT_FACTOR * self._threshold()
        record.endpoint_score = min(most, record.endpoint_score + HEALTH_ENDPOINT_SCORE)

    def _observe_failure(
        self, target: str, state: _TargetState, failure: Failure, now_s: float
    ) -> None:
        self._rate.record(now_s)
        untold = state.record.untold
        untold.failures[failure.kind] += 1
        if failure.fingerprint and len(untold.requests) < MAX_TOLD_REQUESTS:
            untold.requests.append((failure.kind, failure.fingerprint))
        if not self._accuses(failure.kind, failure.fingerprint, target, now_s):
            return
        state.record.accusers.add(SELF)
        counts = OutcomeCounts(errors=1)
        self._record_baseline(target, counts, peers=0)
        self._add(target, counts, now_s, is_own=True)

    def _observe_success(
        self, target: str, state: _TargetState, success: Success, now_s: float
    ) -> None:
        self._rate.record(now_s)
        if success.fingerprint:
            self._requests.observe_success(success.fingerprint)
        is_slow = self._latency.is_slow(success.latency_ms)
        self._latency.record(success.latency_ms)
        counts = OutcomeCounts(slow=1) if is_slow else OutcomeCounts(successes=1)
        record = state.record
        is_told = (
            is_slow
            or not record.pooled.is_zero
            or state.phase in (TargetPhase.SUSPECT, TargetPhase.PROBING)
        )
        self._record_baseline(
            target, counts, peers=0 if is_told else len(self._reporters)
        )
        if is_slow:
            record.untold.failures[FailureKind.SLOW] += 1
            record.accusers.add(SELF)
        elif is_told:
            record.untold.successes += 1
        if is_told or not record.own.is_zero:
            self._add(target, counts, now_s, is_own=True)

    def _accuses(
        self, kind: FailureKind, fingerprint: int, target: str, now_s: float
    ) -> bool:
        if not fingerprint or kind is FailureKind.CONNECT:
            return True
        return self._requests.accuses(fingerprint, target, now_s=now_s)

    def _count(self, evidence: TargetEvidence, now_s: float) -> OutcomeCounts:
        failures = dict(evidence.failures)
        errors = sum(failures.get(kind, 0) for kind in ERROR_KINDS)
        excused = sum(
            not self._accuses(kind, fingerprint, evidence.target, now_s)
            for kind, fingerprint in evidence.requests
        )
        return OutcomeCounts(
            successes=evidence.successes,
            slow=failures.get(FailureKind.SLOW, 0),
            errors=max(0, errors - excused),
        )

    def _record_baseline(
        self, target: str, counts: OutcomeCounts, *, peers: int
    ) -> None:
        outcomes = counts.answers + counts.errors
        scale = 1 + peers
        self._recorded += 1
        self._errors.record(
            target, failures=counts.errors * scale, outcomes=outcomes * scale
        )
        self._slowness.record(
            target, failures=counts.slow * scale, outcomes=counts.answers * scale
        )

    def _add(
        self, target: str, counts: OutcomeCounts, now_s: float, *, is_own: bool
    ) -> None:
        state = self._states[target]
        likelihoods = self._likelihoods()
        self._advance(target, now_s)
        match state.phase:
            case TargetPhase.SUSPECT:
                return
            case TargetPhase.PROBING:
                self._add_trial(target, counts, likelihoods, now_s)
                return
            case TargetPhase.HEALTHY | TargetPhase.SLOW_START:
                pass
        if is_own:
            state.record.own.add(counts, likelihoods)
        state.record.pooled.add(counts, likelihoods)
        if all(view.is_zero for view in state.record.views()):
            state.record.accusers.clear()
            state.record.suspecting_peers.clear()
        self._judge(target, likelihoods, now_s)

    def _add_trial(
        self,
        target: str,
        counts: OutcomeCounts,
        likelihoods: ServiceLikelihoods,
        now_s: float,
    ) -> None:
        state = self._states[target]
        score = likelihoods.score(state.symptom, counts)
        if state.recovery is None:
            return
        if not state.recovery.observe_work(-score, now_s=now_s):
            return
        if state.phase is TargetPhase.SLOW_START:
            state.record.reset()
            state.score = 0.0
            state.reason = "work succeeds again"
        else:
            state.reason = "failed again while it was tried"
        self._note_transition(target, now_s)

    def _judge(
        self, target: str, likelihoods: ServiceLikelihoods, now_s: float
    ) -> None:
        state = self._states[target]
        record = state.record
        own_score = record.own.score(likelihoods) + record.endpoint_score
        pooled_score = record.pooled.score(likelihoods) + record.endpoint_score
        state.score = max(own_score, pooled_score)
        threshold = self._threshold()
        if state.phase is TargetPhase.SLOW_START:
            threshold *= SLOW_START_THRESHOLD_FACTOR
        if pooled_score >= threshold:
            record.untold.is_suspected = True
        elif len(record.suspecting_peers) >= MIN_SUSPECTING_PEERS:
            threshold *= CONFIRMED_THRESHOLD_FACTOR
        if state.score < threshold:
            return
        if state.recovery is None:
            state.recovery = Recovery(self._random)
        state.accusers = 1 if pooled_score < threshold else len(record.accusers)
        view = max(record.views(), key=lambda each: each.score(likelihoods))
        state.symptom = view.symptom(likelihoods)
        state.reason = self._describe(view, state.symptom)
        state.recovery.suspect(now_s)
        self._note_transition(target, now_s)

    def _describe(self, view: View, symptom: Symptom) -> str:
        cusum = view.cusum(symptom)
        outcomes = cusum.failures + cusum.successes
        match symptom:
            case Symptom.ERRORS:
                word, share = "failed", self._errors.share()
            case Symptom.SLOWNESS:
                word, share = "were slow", self._slowness.share()
        return (
            f"{cusum.failures:.0f} of {outcomes:.0f} outcomes {word},"
            f" {share:.1%} expected"
        )

    def _advance(self, target: str, now_s: float) -> None:
        recovery = self._states[target].recovery
        if recovery is not None and recovery.advance(now_s):
            self._states[target].reason = ""
            self._note_transition(target, now_s)

    def _note_transition(self, target: str, now_s: float) -> None:
        self._transitions.append(self._make_status(target, now_s))

    def _make_status(self, target: str, now_s: float) -> TargetStatus:
        state = self._states[target]
        recovery = state.recovery
        accusers = state.accusers
        if state.phase is TargetPhase.SUSPECT and accusers > 1:
            accusers = max(accusers, len(state.record.accusers))
        return TargetStatus(
            target=target,
            phase=state.phase,
            score=state.score,
            threshold=self._threshold(),
            reason=state.reason,
            since_s=0.0 if recovery is None else recovery.since_s,
            weight=1.0 if recovery is None else recovery.weight(now_s),
            accusers=0 if state.phase is TargetPhase.HEALTHY else accusers,
        )

    def _likelihoods(self) -> ServiceLikelihoods:
        if self._recorded >= OUTCOMES_PER_BASELINE:
            self._cached_likelihoods = self._compute_likelihoods()
            self._recorded = 0
        return self._cached_likelihoods

    def _compute_likelihoods(self) -> ServiceLikelihoods:
        return ServiceLikelihoods(
            errors=Likelihoods.against(
                self._errors.share(), excess_share=EXCESS_ERROR_SHARE
            ),
            slowness=Likelihoods.against(
                self._slowness.share(), excess_share=EXCESS_SLOW_SHARE
            ),
        )

    def _threshold(self) -> float:
        return alarm_threshold(
            outcomes_per_s=self._rate.outcomes_per_s() * (1 + len(self._reporters)),
            false_alarm_interval_s=self._interval_s,
            excess_shares=(EXCESS_ERROR_SHARE, EXCESS_SLOW_SHARE),
        )


def is_self_doubting(healths: Iterable[ServiceHealth], *, now_s: float) -> bool:
    """Tell whether the trouble is more likely on this daemon's side.

    That is so where most targets of several services fail from here.
    """
    failing = sum(health.sees_failures() for health in healths)
    return failing >= SELF_DOUBT_SERVICES
