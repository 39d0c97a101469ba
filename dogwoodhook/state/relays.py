"""Passing messages on to other data centres.

Load that this answers: a fleet of a hundred daemons or more in which hundreds of
failures a second are told, on days when targets shed. Links between data centres
are dear, so a message crosses them to a few daemons of each, which hand it on to
their neighbours.
"""

import random
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence

RELAYS = 2
"""Daemons of another data centre that get a message: one may be gone or frozen."""

MAX_SEEN = 4096
"""Numbers of messages remembered; at hundreds a second, those of some ten seconds."""


def choose_relays(
    daemons: Mapping[str, Sequence[str]], *, own: str, rng: random.Random
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
        for relay in _sample(names, rng)
    ]


def _sample(names: Sequence[str], rng: random.Random) -> Iterable[str]:
    return rng.sample(names, min(RELAYS, len(names)))


class SeenMessages:
    """Numbers of the messages that were received, the latest ones.

    >>> seen = SeenMessages()
    >>> seen.add(7), seen.add(7)
    (True, False)
    """

    def __init__(self) -> None:
        self._numbers: OrderedDict[int, None] = OrderedDict()

    def add(self, number: int) -> bool:
        """Note a message; tell whether it is new."""
        if number in self._numbers:
            return False
        self._numbers[number] = None
        if len(self._numbers) > MAX_SEEN:
            self._numbers.popitem(last=False)
        return True
