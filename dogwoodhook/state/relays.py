"""Relays of messages between data centres.

Designed for: a fleet of a hundred daemons or more that reports hundreds of failures a
second on days when targets shed. Links between data centres are expensive, so a message
is sent to a few daemons of each other data centre, which relay it to their neighbours.
"""

import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence

RELAYS = 2
"""Daemons of another data centre that get a message, as one may be gone or frozen."""

BEST_EFFORT_RELAYS = 1
"""The same for a frequent message, of which some may be lost."""

MAX_SEEN = 4096
"""Message numbers remembered; at hundreds a second, those of some ten seconds."""


def choose_relays(
    daemons: Mapping[str, Sequence[str]],
    *,
    own: str,
    rng: random.Random,
    relays: int = RELAYS,
) -> list[str]:
    """Return the daemons that relay a message, chosen from those of each data centre.

    >>> daemons = {"oulu-1": ["vm-1"], "oulu-2": ["vm-2", "vm-3", "vm-4"]}
    >>> len(choose_relays(daemons, own="oulu-1", rng=random.Random(7)))
    2
    """
    return [
        relay
        for data_centre, names in daemons.items()
        if data_centre != own
        for relay in rng.sample(names, min(relays, len(names)))
    ]


class SeenMessages:
    """The numbers of the messages received last, to detect duplicates.

    >>> seen = SeenMessages()
    >>> seen.add("vm-1", 7), seen.add("vm-1", 7), seen.add("vm-2", 7)
    (True, False, True)
    """

    def __init__(self) -> None:
        self._messages: OrderedDict[tuple[str, int], None] = OrderedDict()

    def add(self, daemon: str, number: int) -> bool:
        """Record a daemon's message; return whether it is new."""
        if (daemon, number) in self._messages:
            return False
        self._messages[daemon, number] = None
        if len(self._messages) > MAX_SEEN:
            self._messages.popitem(last=False)
        return True
