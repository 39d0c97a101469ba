"""Recovery of a suspected target.

A suspect gets no work for a holding time. Then it must answer a probe and succeed
with a small share of idempotent requests (trial work), and it takes full work again
after a slow start. The holding time doubles with each relapse up to a maximum, so
that a target that flaps costs little. A good probe alone does not clear a suspect.
"""

import logging
import math
import random
from enum import StrEnum

from transitions import Machine

FIRST_HOLDING_TIME_S = 5.0
MAX_HOLDING_TIME_S = 600.0
MAX_PROBE_INTERVAL_S = 30.0
HOLDING_TIME_JITTER = 0.2
RELAPSE_RESET_S = 1800.0
"""Time a target must stay healthy before its holding time is reset."""

SLOW_START_S = 30.0
PROBING_FIRST_WEIGHT = 0.05
PROBING_LAST_WEIGHT = 0.5
PROBING_DOUBLING_S = 60.0
"""Time in which the share of trial work doubles, so that services with little work
get enough trials."""

MAX_PROBING_S = 600.0
"""Time after which a target without failing trials leaves probing, even if its trials
were too few to clear it."""

SLOW_START_FIRST_WEIGHT = 0.1

CLEARING_SCORE = 4.0
RELAPSE_SCORE = -4.0


class TargetPhase(StrEnum):
    """Phase of a target, as one daemon sees it."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    PROBING = "probing"
    SLOW_START = "slow-start"


class Recovery:
    """The phases of one target, starting with its first suspicion."""

    phase: TargetPhase

    def __init__(self, random_source: random.Random) -> None:
        self.since_s = 0.0
        self.relapses = 0
        self.probe_failures = 0
        self.work_score = 0.0
        self.held_until_s = 0.0
        self._healthy_since_s: float | None = None
        self._random = random_source
        _MACHINE.add_model(self, initial=TargetPhase.HEALTHY)

    def suspect(self, now_s: float) -> None:
        """Move to the suspect phase; a relapse doubles the holding time."""
        self._count_relapse(now_s)
        self._transition("fail", now_s)
        self.probe_failures = 0
        self.held_until_s = now_s + self.holding_time_s() * self._jitter()

    def observe_probe(self, *, is_successful: bool, now_s: float) -> bool:
        """Record a probe's result; return whether the phase changed."""
        if self.phase is not TargetPhase.SUSPECT:
            return False
        if is_successful and now_s >= self.held_until_s:
            self._transition("admit", now_s)
            self.work_score = 0.0
            return True
        if not is_successful:
            self.held_until_s = now_s + self._probe_interval_s() * self._jitter()
            self.probe_failures += 1
        return False

    def observe_work(self, score: float, *, now_s: float) -> bool:
        """Add a trial's score, above 0 if good; return whether the phase changed."""
        if self.phase is not TargetPhase.PROBING:
            return False
        self.work_score += score
        if self.work_score <= RELAPSE_SCORE:
            self.suspect(now_s)
            return True
        if self.work_score < CLEARING_SCORE:
            return False
        self._transition("clear", now_s)
        return True

    def advance(self, now_s: float) -> bool:
        """End a phase whose time is over; return whether one ended."""
        elapsed_s = now_s - self.since_s
        match self.phase:
            case TargetPhase.PROBING if elapsed_s >= MAX_PROBING_S:
                if self.work_score < 0:
                    return False
                self._transition("clear", now_s)
                return True
            case TargetPhase.SLOW_START if elapsed_s >= SLOW_START_S:
                self._transition("finish", now_s)
                self._healthy_since_s = now_s
                return True
            case _:
                return False

    def holding_time_s(self) -> float:
        """Return the holding time for the number of relapses so far."""
        doublings = min(self.relapses, 32)
        return min(MAX_HOLDING_TIME_S, FIRST_HOLDING_TIME_S * 2.0**doublings)

    def is_probe_due(self, now_s: float) -> bool:
        """Return whether the holding time is over and no probe has succeeded yet."""
        return self.phase is TargetPhase.SUSPECT and now_s >= self.held_until_s

    def weight(self, now_s: float) -> float:
        """Return the target's work as a share of a healthy target's work."""
        match self.phase:
            case TargetPhase.HEALTHY:
                return 1.0
            case TargetPhase.SUSPECT:
                return 0.0
            case TargetPhase.PROBING:
                doublings = (now_s - self.since_s) / PROBING_DOUBLING_S
                weight = PROBING_FIRST_WEIGHT * math.exp2(min(doublings, 32))
                return min(PROBING_LAST_WEIGHT, weight)
            case TargetPhase.SLOW_START:
                elapsed_share = min(1.0, (now_s - self.since_s) / SLOW_START_S)
                return max(SLOW_START_FIRST_WEIGHT, elapsed_share)

    def _count_relapse(self, now_s: float) -> None:
        match self.phase:
            case TargetPhase.PROBING | TargetPhase.SLOW_START:
                self.relapses += 1
            case TargetPhase.HEALTHY if self._is_relapse(now_s):
                self.relapses += 1
            case TargetPhase.HEALTHY:
                self.relapses = 0

    def _is_relapse(self, now_s: float) -> bool:
        if self._healthy_since_s is None:
            return False
        reset_s = max(RELAPSE_RESET_S, 2 * self.holding_time_s())
        return now_s - self._healthy_since_s < reset_s

    def _probe_interval_s(self) -> float:
        doublings = min(self.probe_failures, 32)
        return min(MAX_PROBE_INTERVAL_S, FIRST_HOLDING_TIME_S * 2.0**doublings)

    def _transition(self, trigger: str, now_s: float) -> None:
        _MACHINE.events[trigger].trigger(self)
        self.since_s = now_s

    def _jitter(self) -> float:
        return 1 + self._random.uniform(0, HOLDING_TIME_JITTER)


# The library logs the callbacks of every transition, even where there are none.
logging.getLogger("transitions").setLevel(logging.WARNING)

_MACHINE = Machine(
    model=None,
    states=TargetPhase,
    initial=TargetPhase.HEALTHY,
    model_attribute="phase",
    auto_transitions=False,
    transitions=[
        {"trigger": "fail", "source": "*", "dest": TargetPhase.SUSPECT},
        {
            "trigger": "admit",
            "source": TargetPhase.SUSPECT,
            "dest": TargetPhase.PROBING,
        },
        {
            "trigger": "clear",
            "source": TargetPhase.PROBING,
            "dest": TargetPhase.SLOW_START,
        },
        {
            "trigger": "finish",
            "source": TargetPhase.SLOW_START,
            "dest": TargetPhase.HEALTHY,
        },
    ],
)
