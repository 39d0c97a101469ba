"""Passing messages on to other data centres.

Load that this answers: a fleet of a hundred daemons or more in which hundreds of
failures a second are told, on days when targets shed. Links between data centres
are dear, so a message crosses them to a few daemons of each, which hand it on to
their neighbours.
"""

import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence

RELAYS = 2
"""Daemons of another data centre that get a message: one may be gone or frozen."""

BEST_EFFORT_RELAYS = 1
"""The same for a message that is one of many and may be missed now and then."""

MAX_SEEN = 4096
"""Numbers of messages remembered; at hundreds a second, those of some ten seconds."""


def choose_relays(
    daemons: Mapping[str, Sequence[str]],
    *,
    own: str,
    rng: random.Random,
    relays: int = RELAYS,
) -> list[str]:
    """Return the daemons that hand a message on, given those of each data centre.

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
    """The messages that were received, the latest ones.

    >>> seen = SeenMessages()
    >>> seen.add("vm-1", 7), seen.add("vm-1", 7), seen.add("vm-2", 7)
    (True, False, True)
    """

    def __init__(self) -> None:
        self._messages: OrderedDict[tuple[str, int], None] = OrderedDict()

    def add(self, daemon: str, number: int) -> bool:
        """Note a daemon's message; tell whether it is new."""
        if (daemon, number) in self._messages:
            return False
        self._messages[daemon, number] = None
        if len(self._messages) > MAX_SEEN:
            self._messages.popitem(last=False)
        return True
