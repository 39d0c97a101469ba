"""Health of a service's targets, derived from the outcomes of requests.

``ServiceHealth`` combines a daemon's own outcomes with those that peers report,
and gives each target a phase and a weight. It does no I/O and reads no clock.

    health = ServiceHealth("payouts", ["a", "b"], false_ejection_interval_s=86400)
    health.observe("a", Failure(FailureKind.CRASH, fingerprint=7), now_s=1.0)
    health.status("a", now_s=1.0).score
"""

import random
from collections.abc import Iterable, Sequence

from dogwoodhook.state.failed_requests import FailedRequests
from dogwoodhook.state.outcomes import (
    Failure,
    FailureKind,
    Observation,
    Success,
    TargetEvidence,
)
from dogwoodhook.state.recent_errors import RecentErrors
from dogwoodhook.state.recovery import TargetPhase
from dogwoodhook.state.reporters import Reporters
from dogwoodhook.state.service_baseline import ServiceBaseline
from dogwoodhook.state.target_evidence import (
    ERROR_KINDS,
    SELF,
    OutcomeCounts,
    Symptom,
    SymptomSums,
)
from dogwoodhook.state.target_state import TargetState, TargetStatus

__all__ = [
    "ServiceHealth",
    "TargetPhase",
    "TargetStatus",
    "is_self_doubting",
]

SLOW_START_THRESHOLD_FACTOR = 0.5

HEALTH_ENDPOINT_SCORE = 1.0
MAX_HEALTH_ENDPOINT_FACTOR = 0.3
"""Largest part of the threshold that a failing health endpoint may add."""

MIN_SUSPECTING_PEERS = 2
CONFIRMED_THRESHOLD_FACTOR = 0.5
"""Part of the threshold that suffices once several peers reached all of it."""

SELF_DOUBT_SERVICES = 2
SELF_DOUBT_TARGET_SHARE = 0.5

MAX_REPORTED_REQUESTS = 16


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
        self._random = random_source or random.Random(service)
        self._states = {each: TargetState(each) for each in targets}
        self._baseline = ServiceBaseline(
            targets, false_ejection_interval_s=false_ejection_interval_s
        )
        self._requests = FailedRequests()
        self._recent_errors = RecentErrors()
        self._reporters = Reporters()
        self._transitions: list[TargetStatus] = []

    def reconfigure(
        self, targets: Sequence[str], *, false_ejection_interval_s: float
    ) -> None:
        """Apply a new list of targets; those that stay keep their state."""
        self._states = {
            each: self._states.get(each) or TargetState(each) for each in targets
        }
        self._baseline.reconfigure(
            targets, false_ejection_interval_s=false_ejection_interval_s
        )

    def observe(self, target: str, observation: Observation, *, now_s: float) -> None:
        """Record the outcome of one of this daemon's own attempts."""
        state = self._states.get(target)
        if state is None:
            return
        match observation:
            case Failure(kind=FailureKind.HEALTH_ENDPOINT):
                self._observe_bad_endpoint(state)
            case Failure(kind=FailureKind.SLOW):
                self._observe_slow_answer(state, now_s)
            case Failure():
                self._observe_error(state, observation, now_s)
            case Success():
                self._observe_answer(state, observation, now_s)

    def merge_evidence(
        self, evidence: TargetEvidence, *, reporter: str, now_s: float
    ) -> None:
        """Merge the outcomes that a peer reported."""
        state = self._states.get(evidence.target)
        if state is None:
            return
        for name in self._reporters.record_report(reporter, now_s=now_s):
            self._recent_errors.remove(name)
        counts = self._count_outcomes(evidence, now_s)
        self._recent_errors.record_peer(reporter, counts.errors, now_s=now_s)
        if counts.errors or counts.slow:
            state.record.failure_reporters.add(reporter)
        if evidence.is_suspected:
            state.record.suspecting_peers.add(reporter)
        self._baseline.record(evidence.target, counts, daemon_count=1)
        self._apply_outcomes(state, counts, now_s, is_own=False)

    def take_evidence(self) -> tuple[TargetEvidence, ...]:
        """Return and clear the own outcomes that are to be reported to peers."""
        taken = (
            state.record.unreported.take(self.service, target)
            for target, state in self._states.items()
        )
        return tuple(each for each in taken if each is not None)

    def status(self, target: str, *, now_s: float) -> TargetStatus:
        """Return a target's status."""
        state = self._states.get(target)
        if state is None:
            raise KeyError(
                f"no target {target!r} in service {self.service!r};"
                f" its targets are {', '.join(self._states)}"
            )
        self._advance(state, now_s)
        return state.status(threshold=self._threshold(), now_s=now_s)

    def statuses(self, *, now_s: float) -> tuple[TargetStatus, ...]:
        """Return the status of every target, in the order configured."""
        return tuple(self.status(each, now_s=now_s) for each in self._states)

    def take_transitions(self) -> tuple[TargetStatus, ...]:
        """Return the changes of phase since the last call, oldest first."""
        transitions = tuple(self._transitions)
        self._transitions.clear()
        return transitions

    def is_probe_due(self, target: str, *, now_s: float) -> bool:
        """Return whether a suspect's holding time is over."""
        state = self._states.get(target)
        if state is None or state.recovery is None:
            return False
        return state.recovery.is_probe_due(now_s)

    def observe_probe(self, target: str, *, is_successful: bool, now_s: float) -> None:
        """Record a probe's result; a good one admits a little trial work."""
        state = self._states.get(target)
        if state is None or state.recovery is None:
            return
        if state.recovery.observe_probe(is_successful=is_successful, now_s=now_s):
            state.reason = "a probe was answered"
            self._record_transition(state, now_s)

    def is_failing_only_here(self, *, now_s: float) -> bool:
        """Return whether most targets fail for this daemon but not for its peers."""
        failing = sum(
            state.record.own_failure_share.is_failing(now_s=now_s)
            for state in self._states.values()
        )
        if failing <= SELF_DOUBT_TARGET_SHARE * len(self._states):
            return False
        return self._recent_errors.is_only_local(now_s=now_s)

    def _observe_bad_endpoint(self, state: TargetState) -> None:
        record = state.record
        most = MAX_HEALTH_ENDPOINT_FACTOR * self._threshold()
        record.endpoint_score = min(most, record.endpoint_score + HEALTH_ENDPOINT_SCORE)

    def _observe_error(
        self, state: TargetState, failure: Failure, now_s: float
    ) -> None:
        record = state.record
        self._baseline.count_own(now_s)
        record.unreported.add_error(failure, max_requests=MAX_REPORTED_REQUESTS)
        if not self._counts_against(failure, state.target, now_s):
            return
        record.failure_reporters.add(SELF)
        record.own_failure_share.record(is_failure=True, now_s=now_s)
        self._recent_errors.record_own(1, now_s=now_s)
        counts = OutcomeCounts(errors=1)
        self._baseline.record(state.target, counts, daemon_count=1)
        self._apply_outcomes(state, counts, now_s, is_own=True)

    def _observe_answer(
        self, state: TargetState, success: Success, now_s: float
    ) -> None:
        if success.fingerprint:
            self._requests.observe_success(success.fingerprint)
        if self._baseline.classify(success.latency_ms):
            self._observe_slow_answer(state, now_s)
        else:
            self._observe_quick_answer(state, now_s)

    def _observe_slow_answer(self, state: TargetState, now_s: float) -> None:
        record = state.record
        self._baseline.count_own(now_s)
        record.link_history.record(is_slow=True)
        record.own_failure_share.record(is_failure=False, now_s=now_s)
        record.unreported.failures[FailureKind.SLOW] += 1
        record.failure_reporters.add(SELF)
        counts = OutcomeCounts(slow=1)
        self._baseline.record(state.target, counts, daemon_count=1)
        self._apply_outcomes(state, counts, now_s, is_own=True)

    def _observe_quick_answer(self, state: TargetState, now_s: float) -> None:
        record = state.record
        self._baseline.count_own(now_s)
        record.link_history.record(is_slow=False)
        record.own_failure_share.record(is_failure=False, now_s=now_s)
        is_reported = not record.pooled.is_zero or state.phase in (
            TargetPhase.SUSPECT,
            TargetPhase.PROBING,
        )
        daemon_count = 1 if is_reported else self._daemon_count()
        counts = OutcomeCounts(successes=1)
        self._baseline.record(state.target, counts, daemon_count=daemon_count)
        if is_reported:
            record.unreported.successes += 1
        if is_reported or not record.own.is_zero:
            self._apply_outcomes(state, counts, now_s, is_own=True)

    def _count_outcomes(self, evidence: TargetEvidence, now_s: float) -> OutcomeCounts:
        failures = dict(evidence.failures)
        errors = sum(failures.get(kind, 0) for kind in ERROR_KINDS)
        discounted = sum(
            not self._counts_against(Failure(kind, fingerprint), evidence.target, now_s)
            for kind, fingerprint in evidence.requests
        )
        return OutcomeCounts(
            successes=evidence.successes,
            slow=failures.get(FailureKind.SLOW, 0),
            errors=max(0, errors - discounted),
        )

    def _counts_against(self, failure: Failure, target: str, now_s: float) -> bool:
        # A request that never reached the target cannot have made it fail.
        if not failure.fingerprint or failure.kind is FailureKind.CONNECT:
            return True
        return self._requests.counts_against(failure.fingerprint, target, now_s=now_s)

    def _apply_outcomes(
        self, state: TargetState, counts: OutcomeCounts, now_s: float, *, is_own: bool
    ) -> None:
        self._advance(state, now_s)
        match state.phase:
            case TargetPhase.SUSPECT:
                return
            case TargetPhase.PROBING:
                self._apply_trial_outcomes(state, counts, now_s)
            case TargetPhase.HEALTHY | TargetPhase.SLOW_START:
                self._apply_work_outcomes(state, counts, now_s, is_own=is_own)

    def _apply_trial_outcomes(
        self, state: TargetState, counts: OutcomeCounts, now_s: float
    ) -> None:
        recovery = state.recovery
        score = self._baseline.pooled_likelihoods().score(state.symptom, counts)
        if recovery is None or not recovery.observe_work(-score, now_s=now_s):
            return
        if state.phase is TargetPhase.SLOW_START:
            state.clear()
            state.reason = "work succeeds again"
        else:
            state.reason = "failed again while it was tried"
        self._record_transition(state, now_s)

    def _apply_work_outcomes(
        self, state: TargetState, counts: OutcomeCounts, now_s: float, *, is_own: bool
    ) -> None:
        record = state.record
        pooled_ratios = self._baseline.pooled_likelihoods()
        own_ratios = pooled_ratios
        if is_own or not record.own.is_zero:
            own_ratios = self._baseline.own_likelihoods(record.link_history)
        if is_own:
            record.own.add(counts, own_ratios)
        record.pooled.add(counts, pooled_ratios)
        record.clear_if_zero()
        own_score = record.own.score(own_ratios) + record.endpoint_score
        pooled_score = record.pooled.score(pooled_ratios) + record.endpoint_score
        state.score = max(own_score, pooled_score)
        threshold = self._threshold_for(state, pooled_score)
        if state.score < threshold:
            return
        state.is_pooled_suspicion = pooled_score >= threshold
        sums = record.pooled if pooled_score >= own_score else record.own
        ratios = pooled_ratios if pooled_score >= own_score else own_ratios
        state.symptom = sums.symptom(ratios)
        state.reason = self._describe(sums, state.symptom)
        state.suspect(now_s=now_s, random_source=self._random)
        self._record_transition(state, now_s)

    def _threshold_for(self, state: TargetState, pooled_score: float) -> float:
        threshold = self._threshold()
        if state.phase is TargetPhase.SLOW_START:
            threshold *= SLOW_START_THRESHOLD_FACTOR
        if pooled_score >= threshold:
            # Only a suspicion at the whole threshold is reported, so that suspicions
            # at half of it cannot reinforce each other between daemons.
            state.record.unreported.is_suspected = True
            return threshold
        if len(state.record.suspecting_peers) >= MIN_SUSPECTING_PEERS:
            return threshold * CONFIRMED_THRESHOLD_FACTOR
        return threshold

    def _describe(self, sums: SymptomSums, symptom: Symptom) -> str:
        cusum = sums.cusum(symptom)
        outcomes = cusum.failures + cusum.successes
        match symptom:
            case Symptom.ERRORS:
                word, share = "failed", self._baseline.error_share
            case Symptom.SLOWNESS:
                word, share = "were slow", self._baseline.slow_share
        return (
            f"{cusum.failures:.0f} of {outcomes:.0f} outcomes {word},"
            f" {share:.1%} expected"
        )

    def _advance(self, state: TargetState, now_s: float) -> None:
        if state.recovery is None or not state.recovery.advance(now_s):
            return
        if state.phase is TargetPhase.SLOW_START:
            state.clear()
            state.reason = "no trial failed"
        else:
            state.reason = ""
        self._record_transition(state, now_s)

    def _record_transition(self, state: TargetState, now_s: float) -> None:
        self._transitions.append(state.status(threshold=self._threshold(), now_s=now_s))

    def _daemon_count(self) -> int:
        return 1 + len(self._reporters)

    def _threshold(self) -> float:
        return self._baseline.threshold(daemon_count=self._daemon_count())


def is_self_doubting(healths: Iterable[ServiceHealth], *, now_s: float) -> bool:
    """Return whether the fault is more likely on this daemon's own side.

    This is assumed if most targets of several services fail for this daemon but not
    for its peers.
    """
    failing = sum(health.is_failing_only_here(now_s=now_s) for health in healths)
    return failing >= SELF_DOUBT_SERVICES
