"""CUSUM change detection over outcomes that either fail or do not.

A CUSUM adds up log-likelihood ratios of "this target fails more than the rest
of its service" against "it fails as often as they do" and starts again whenever
the sum falls to zero. Among detectors with the same rate of false alarms it
needs the fewest outcomes to notice a change (Page 1954).
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

MIN_THRESHOLD = 6.0


@dataclass(frozen=True, slots=True)
class Likelihoods:
    """Log-likelihood ratios of one failing and one good outcome.

    >>> ratios = Likelihoods.against(0.01, excess_share=0.2)
    >>> round(ratios.failure, 2), round(ratios.success, 2)
    (3.03, -0.22)
    """

    failure: float
    success: float

    @classmethod
    def against(cls, baseline_share: float, *, excess_share: float) -> "Likelihoods":
        """Return the ratios for a service whose outcomes fail at a given share.

        ``excess_share`` is the share of otherwise good outcomes that a target
        spoils under the alternative hypothesis.
        """
        failing_share = baseline_share + (1 - baseline_share) * excess_share
        return cls(
            failure=math.log(failing_share / baseline_share),
            success=math.log((1 - failing_share) / (1 - baseline_share)),
        )


@dataclass(slots=True)
class Cusum:
    """Counts of outcomes since the sum was last zero.

    The counts are kept rather than the sum, so that a baseline that changes
    meanwhile applies to all of the outcomes.
    """

    failures: float = 0.0
    successes: float = 0.0

    def add(
        self, *, failures: float, successes: float, likelihoods: Likelihoods
    ) -> None:
        """Add outcomes; the counts are cleared when the sum falls to zero."""
        self.failures += failures
        self.successes += successes
        if self.score(likelihoods) <= 0:
            self.reset()

    def score(self, likelihoods: Likelihoods) -> float:
        """Return the sum under the given likelihood ratios."""
        score = (
            self.failures * likelihoods.failure + self.successes * likelihoods.success
        )
        return max(0.0, score)

    def reset(self) -> None:
        """Reset the sum to zero."""
        self.failures = 0.0
        self.successes = 0.0

    @property
    def is_zero(self) -> bool:
        """Return whether the sum contains no failure."""
        return self.failures == 0


def alarm_threshold(
    *,
    outcomes_per_s: float,
    false_alarm_interval_s: float,
    excess_shares: Sequence[float],
) -> float:
    """Return the threshold that keeps false alarms to one in the given interval.

    A sum leaves zero on a failure only, and then reaches the threshold ``h``
    with a probability of at most ``exp(first step - h)``. For each outcome, the
    probability of both is at most ``exp(-h)`` times the failing share of the
    alternative hypothesis. ``excess_shares`` holds one share for each sum that is
    kept.

    >>> round(alarm_threshold(
    ...     outcomes_per_s=60, false_alarm_interval_s=604800,
    ...     excess_shares=(0.2, 0.5)), 1)
    17.1
    """
    outcomes = outcomes_per_s * false_alarm_interval_s * sum(excess_shares)
    return max(MIN_THRESHOLD, math.log(max(1.0, outcomes)))
