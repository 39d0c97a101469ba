"""Normal behaviour of one service, and the threshold to suspect its targets."""

from collections.abc import Sequence

from dogwoodhook.state.baseline import (
    PRIOR_ERROR_SHARE,
    PRIOR_SLOW_SHARE,
    LatencyBaseline,
    LinkHistory,
    ShareBaseline,
)
from dogwoodhook.state.cusum import Likelihoods, alarm_threshold
from dogwoodhook.state.outcome_rate import OutcomeRate
from dogwoodhook.state.target_evidence import OutcomeCounts, ServiceLikelihoods

EXCESS_ERROR_SHARE = 0.2
EXCESS_SLOW_SHARE = 0.5
"""Shares of otherwise good outcomes that a failing target is assumed to spoil."""

RECORDS_PER_BASELINE = 8
"""Records after which the shares are computed again."""


class ServiceBaseline:
    """Shares of errors and slow answers, median latency, and rate of outcomes."""

    def __init__(
        self, targets: Sequence[str], *, false_ejection_interval_s: float
    ) -> None:
        self._interval_s = false_ejection_interval_s
        self._errors = ShareBaseline(targets, prior_share=PRIOR_ERROR_SHARE)
        self._slowness = ShareBaseline(targets, prior_share=PRIOR_SLOW_SHARE)
        self._latency = LatencyBaseline()
        self._rate = OutcomeRate()
        self._records = 0
        self._refresh()

    def reconfigure(
        self, targets: Sequence[str], *, false_ejection_interval_s: float
    ) -> None:
        """Apply a new list of targets; those that stay keep their counts."""
        self._interval_s = false_ejection_interval_s
        self._errors.set_targets(targets)
        self._slowness.set_targets(targets)
        self._refresh()

    def classify(self, latency_ms: float) -> bool:
        """Record an answer's latency; return whether it was slow."""
        is_slow = self._latency.is_slow(latency_ms)
        self._latency.record(latency_ms)
        return is_slow

    def count_own(self, now_s: float) -> None:
        """Count one of this daemon's outcomes towards the rate."""
        self._rate.record(now_s)

    def record(self, target: str, counts: OutcomeCounts, *, daemon_count: int) -> None:
        """Count outcomes; each represents one at each of ``daemon_count`` daemons.

        Peers do not report successes with a target that has no failures, so each own
        success is assumed to have a counterpart at every peer.
        """
        outcomes = counts.answers + counts.errors
        self._errors.record(
            target,
            failures=counts.errors * daemon_count,
            outcomes=outcomes * daemon_count,
        )
        self._slowness.record(
            target,
            failures=counts.slow * daemon_count,
            outcomes=counts.answers * daemon_count,
        )
        self._records += 1

    @property
    def error_share(self) -> float:
        """Return the share of errors expected of any target."""
        self._refresh_if_due()
        return self._error_share

    @property
    def slow_share(self) -> float:
        """Return the share of slow answers expected of any target."""
        self._refresh_if_due()
        return self._slow_share

    def pooled_likelihoods(self) -> ServiceLikelihoods:
        """Return the likelihood ratios for outcomes of all daemons."""
        self._refresh_if_due()
        return self._likelihoods

    def own_likelihoods(self, history: LinkHistory) -> ServiceLikelihoods:
        """Return the likelihood ratios for this daemon's outcomes over one link."""
        share = max(self.slow_share, history.share())
        slowness = Likelihoods.against(share, excess_share=EXCESS_SLOW_SHARE)
        return ServiceLikelihoods(
            errors=self.pooled_likelihoods().errors, slowness=slowness
        )

    def threshold(self, *, daemon_count: int) -> float:
        """Return the sum at which a target is suspected."""
        return alarm_threshold(
            outcomes_per_s=self._rate.outcomes_per_s() * daemon_count,
            false_alarm_interval_s=self._interval_s,
            excess_shares=(EXCESS_ERROR_SHARE, EXCESS_SLOW_SHARE),
        )

    def _refresh_if_due(self) -> None:
        if self._records >= RECORDS_PER_BASELINE:
            self._refresh()

    def _refresh(self) -> None:
        self._records = 0
        self._error_share = self._errors.share()
        self._slow_share = self._slowness.share()
        self._likelihoods = ServiceLikelihoods(
            errors=Likelihoods.against(
                self._error_share, excess_share=EXCESS_ERROR_SHARE
            ),
            slowness=Likelihoods.against(
                self._slow_share, excess_share=EXCESS_SLOW_SHARE
            ),
        )
