"""Results of the detection benchmark, as they are written to JSON."""

import statistics
from dataclasses import dataclass

DAY_S = 86_400.0
DETECTION_LIMIT_S = 120.0


@dataclass(frozen=True, slots=True)
class Detection:
    """Detection times, in seconds, of several runs; ``None`` if past the limit."""

    deployment: str
    targets: int
    fault: str
    detector: str
    interval_s: float
    detection_s: tuple[float | None, ...]

    @property
    def median_s(self) -> float:
        """Return the median, with runs past the limit counted at the limit."""
        times = [
            DETECTION_LIMIT_S if each is None else each for each in self.detection_s
        ]
        return statistics.median(times)

    @property
    def largest_s(self) -> float:
        """Return the largest time, with runs past the limit counted at the limit."""
        return max(
            DETECTION_LIMIT_S if each is None else each for each in self.detection_s
        )


@dataclass(frozen=True, slots=True)
class Suspicions:
    """False suspicions in one run with no target at fault.

    ``ejectable`` counts the suspicions with two failure reporters or more,
    ``targets_suspected`` the different targets that were suspected.
    """

    deployment: str
    targets: int
    fault: str
    detector: str
    interval_s: float
    simulated_s: float
    suspicions: int
    ejectable: int
    targets_suspected: int

    @property
    def per_day(self) -> float:
        """Return false suspicions per simulated day."""
        return self.suspicions * DAY_S / self.simulated_s


@dataclass(frozen=True, slots=True)
class BadWork:
    """Requests that the bad target received while it was bad."""

    deployment: str
    fault: str
    detector: str
    received: int
    received_without_avoidance: float


@dataclass(frozen=True, slots=True)
class Bound:
    """A ratio that must not exceed its bound."""

    name: str
    ratio: float
    bound: float

    @property
    def is_met(self) -> bool:
        """Return whether the ratio is within the bound."""
        return self.ratio <= self.bound


@dataclass(frozen=True, slots=True)
class Report:
    """Everything measured in one run."""

    seed: int
    curve: tuple[Detection, ...]
    faults: tuple[Detection, ...]
    bad_work: tuple[BadWork, ...]
    false_suspicions: tuple[Suspicions, ...]
    bounds: tuple[Bound, ...]
    bad_work_s: float
