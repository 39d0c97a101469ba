"""The evidence that one daemon holds about one target.

Sums are kept separately over two sets of outcomes: the daemon's own, which detect
a target that only this daemon cannot reach, and those of all daemons together
("pooled"), which detect a failing target much sooner than a single daemon could.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from dogwoodhook.state.baseline import LinkHistory
from dogwoodhook.state.cusum import Cusum, Likelihoods
from dogwoodhook.state.outcomes import Failure, FailureKind, TargetEvidence

ERROR_KINDS = (
    FailureKind.CONNECT,
    FailureKind.CRASH,
    FailureKind.SERVER_ERROR,
    FailureKind.DEADLINE,
)
"""Kinds that count as an error; ``SLOW`` has a separate sum."""

RECENT_FAILURE_S = 60.0

SELF = ""
"""Name of this daemon among the failure reporters."""


class Symptom(StrEnum):
    """What is wrong with the answers of a suspected target."""

    ERRORS = "errors"
    SLOWNESS = "slowness"


@dataclass(slots=True)
class OutcomeCounts:
    """Outcomes of one interval; the error sum counts a slow answer as a success."""

    successes: int = 0
    slow: int = 0
    errors: int = 0

    @property
    def answers(self) -> int:
        """Return the number of answers, slow or not."""
        return self.successes + self.slow


@dataclass(frozen=True, slots=True)
class ServiceLikelihoods:
    """Likelihood ratios for errors and for slow answers."""

    errors: Likelihoods
    slowness: Likelihoods

    def score(self, symptom: Symptom, counts: OutcomeCounts) -> float:
        """Return the score that outcomes add to the sum of one symptom."""
        match symptom:
            case Symptom.ERRORS:
                failures, successes = counts.errors, counts.answers
                ratios = self.errors
            case Symptom.SLOWNESS:
                failures, successes = counts.slow, counts.successes
                ratios = self.slowness
        return failures * ratios.failure + successes * ratios.success


@dataclass(slots=True)
class SymptomSums:
    """The sums of both symptoms over one set of outcomes."""

    errors: Cusum = field(default_factory=Cusum)
    slowness: Cusum = field(default_factory=Cusum)

    def add(self, counts: OutcomeCounts, likelihoods: ServiceLikelihoods) -> None:
        """Add outcomes to both sums."""
        self.errors.add(
            failures=counts.errors,
            successes=counts.answers,
            likelihoods=likelihoods.errors,
        )
        self.slowness.add(
            failures=counts.slow,
            successes=counts.successes,
            likelihoods=likelihoods.slowness,
        )

    def score(self, likelihoods: ServiceLikelihoods) -> float:
        """Return the larger of the two sums."""
        return max(
            self.errors.score(likelihoods.errors),
            self.slowness.score(likelihoods.slowness),
        )

    def symptom(self, likelihoods: ServiceLikelihoods) -> Symptom:
        """Return the symptom with the larger sum."""
        errors = self.errors.score(likelihoods.errors)
        slowness = self.slowness.score(likelihoods.slowness)
        return Symptom.ERRORS if errors >= slowness else Symptom.SLOWNESS

    def cusum(self, symptom: Symptom) -> Cusum:
        """Return the sum of one symptom."""
        match symptom:
            case Symptom.ERRORS:
                return self.errors
            case Symptom.SLOWNESS:
                return self.slowness

    @property
    def is_zero(self) -> bool:
        """Return whether neither sum contains a failure."""
        return self.errors.is_zero and self.slowness.is_zero

    def reset(self) -> None:
        """Reset both sums to zero."""
        self.errors.reset()
        self.slowness.reset()


@dataclass(slots=True)
class UnreportedOutcomes:
    """Own outcomes that have not been reported to peers yet."""

    successes: int = 0
    failures: Counter[FailureKind] = field(default_factory=Counter)
    requests: list[tuple[FailureKind, int]] = field(default_factory=list)
    is_suspected: bool = False

    def add_error(self, failure: Failure, *, max_requests: int) -> None:
        """Count an error; keep its fingerprint unless ``max_requests`` are kept."""
        self.failures[failure.kind] += 1
        if failure.fingerprint and len(self.requests) < max_requests:
            self.requests.append((failure.kind, failure.fingerprint))

    def take(self, service: str, target: str) -> TargetEvidence | None:
        """Return and clear the outcomes as a report; ``None`` if there are none."""
        if not self.successes and not self.failures and not self.is_suspected:
            return None
        evidence = TargetEvidence(
            service=service,
            target=target,
            successes=self.successes,
            failures=tuple(sorted(self.failures.items())),
            requests=tuple(self.requests),
            is_suspected=self.is_suspected,
        )
        self.successes = 0
        self.failures = Counter()
        self.requests = []
        self.is_suspected = False
        return evidence


class OwnFailureShare:
    """The share of failures among a daemon's last few outcomes with a target."""

    STEP = 0.2

    def __init__(self) -> None:
        self._share = 0.0
        self._failed_at_s: float | None = None

    def record(self, *, is_failure: bool, now_s: float) -> None:
        """Count one outcome."""
        self._share += self.STEP * (is_failure - self._share)
        if is_failure:
            self._failed_at_s = now_s

    def is_failing(self, *, now_s: float) -> bool:
        """Return whether most of the last outcomes failed, at least one recently."""
        if self._failed_at_s is None:
            return False
        is_recent = now_s - self._failed_at_s < RECENT_FAILURE_S
        return is_recent and self._share > 0.5


@dataclass(slots=True)
class TargetRecord:
    """All evidence about one target."""

    own: SymptomSums = field(default_factory=SymptomSums)
    pooled: SymptomSums = field(default_factory=SymptomSums)
    own_failure_share: OwnFailureShare = field(default_factory=OwnFailureShare)
    link_history: LinkHistory = field(default_factory=LinkHistory)
    unreported: UnreportedOutcomes = field(default_factory=UnreportedOutcomes)
    failure_reporters: set[str] = field(default_factory=set)
    suspecting_peers: set[str] = field(default_factory=set)
    endpoint_score: float = 0.0

    def clear_if_zero(self) -> None:
        """Clear the reporters and the endpoint score if no failure is counted."""
        if self.own.is_zero and self.pooled.is_zero:
            self.failure_reporters.clear()
            self.suspecting_peers.clear()
            self.endpoint_score = 0.0

    def reset(self) -> None:
        """Clear the sums and the reporters, but not the unreported outcomes."""
        self.own.reset()
        self.pooled.reset()
        self.clear_if_zero()
