"""Arguments and results of the ejection manager."""

from dataclasses import dataclass
from enum import StrEnum

from dogwoodhook.state.model import PlannedStop, Service


@dataclass(frozen=True, slots=True)
class EjectionProposal:
    """A daemon's proposal to eject a target, with what it knows of the others.

    ``leaving`` are the targets that leave. ``suspected_targets`` are the other
    targets that the daemon suspects: they serve little even if they are not ejected,
    so the floor counts them as out too. ``relapses`` is the minimum of the entry's
    relapses.
    """

    service: Service
    target: str
    reason: str
    stops: tuple[PlannedStop, ...]
    leaving: frozenset[str]
    suspected_targets: frozenset[str]
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
    """A change of the ejection row that was refused, or whose outcome is unknown.

    ``target`` is empty where the change concerned the row as a whole.
    """

    service: str
    target: str
    rule: RefusalRule
    detail: str


@dataclass(frozen=True, slots=True)
class MaintenancePlan:
    """The entries of a row that a daemon's maintenance releases and drops."""

    released: tuple[str, ...] = ()
    dropped: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to change."""
        return not self.released and not self.dropped


class Standing(StrEnum):
    """State of a target's ejection, as shown to operators."""

    EJECTED = "ejected"
    RELEASING = "releasing"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Explanation:
    """One line shown to an operator: an entry, or an ejection that was refused.

    ``is_confirmed`` is true where this daemon may act on the entry now; ``rule`` is
    the rule by which an ejection was refused.

    >>> print(Explanation("t1", Standing.EJECTED, "crash", is_confirmed=True))
    t1: ejected for crash
    """

    target: str
    standing: Standing
    reason: str
    is_confirmed: bool = False
    rule: RefusalRule | None = None

    def __str__(self) -> str:
        if self.standing is Standing.REFUSED:
            return f"{self.target}: ejection refused by rule {self.rule}: {self.reason}"
        line = f"{self.target}: {self.standing} for {self.reason}"
        return line if self.is_confirmed else f"{line}; unconfirmed, not acted on"
