"""What a daemon that starts gets from a neighbour instead of from the store.

Reading the complete tables takes a call for each page of rows, so the calls of a start
grow with the fleet and with the targets. A neighbour knows all of it already.
"""

from dataclasses import dataclass, replace

from dogwoodhook.coordination.fleet_messages import (
    ConfigurationNotice,
    DaemonHello,
    SuspectStates,
)
from dogwoodhook.coordination.store import StoreRow
from dogwoodhook.state.target_directory import TargetChange


@dataclass(frozen=True, slots=True)
class TargetTable:
    """All targets that a daemon knows; one that is not among them was removed.

    ``version`` is the store version that they reflect, known to be the newest ``age_s``
    before the sending. ``store_version`` orders the table among the updates of all
    daemons. ``removal_hold_s`` is the longest time for which the sender still delays
    removals after an outage of the store.
    """

    daemon: str
    version: int
    store_version: int
    age_s: float
    removal_hold_s: float
    targets: tuple[TargetChange, ...]


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """What one daemon knows of its fleet.

    ``configuration`` tells how long ago ``configuration_row`` was known to be the
    newest; there is no row if the operator has not written any yet.
    """

    daemons: tuple[DaemonHello, ...]
    targets: TargetTable
    configuration: ConfigurationNotice
    configuration_row: StoreRow | None
    suspects: SuspectStates

    def aged(self, by_s: float) -> "FleetSnapshot":
        """Return the snapshot with its ages increased."""
        return replace(
            self,
            targets=replace(self.targets, age_s=self.targets.age_s + by_s),
            configuration=replace(
                self.configuration, age_s=self.configuration.age_s + by_s
            ),
        )
