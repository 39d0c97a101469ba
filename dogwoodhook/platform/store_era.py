"""Follows the era that the store states in its answers."""

from dogwoodhook.events import STORE_ERA_BEGAN, STORE_ERA_IGNORED, log

MAX_ERA = 2**15 - 1
"""Highest era, so that a position fits a signed integer of 64 bits."""


class StoreEra:
    """The era of the store's answers, 0 until an answer states one.

    ``doubts`` counts how often answers began to state no usable era, or an older one.
    What was read before may then be of another era.
    """

    def __init__(self) -> None:
        self.current = 0
        self.doubts = 0
        self._is_stated = False
        self._has_logged = False

    def observe(self, stated: str | None) -> bool:
        """Record the era of an answer; return whether the answer is of that era.

        An answer of an older era was delayed, or the store is at fault. One without a
        usable era counts as one of the last era known.
        """
        era = _parse(stated)
        if era is not None and era >= self.current:
            if era > self.current and self._is_stated:
                log(STORE_ERA_BEGAN, era=era, before=self.current)
            self.current = era
            self._is_stated = True
            self._has_logged = False
            return True
        if not self._is_stated and stated is None:
            return True
        if not self._has_logged:
            log(STORE_ERA_IGNORED, stated=stated, known=self.current)
            self._has_logged = True
            self.doubts += 1
        return era is None


def _parse(stated: str | None) -> int | None:
    if stated is None or not (stated.isascii() and stated.isdigit()):
        return None
    # Longer numbers are out of range, and not worth converting.
    era = int(stated) if len(stated) < 9 else MAX_ERA + 1
    return era if era <= MAX_ERA else None
