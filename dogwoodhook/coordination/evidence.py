"""Which evidence reports of peers are new."""

from collections import OrderedDict
from dataclasses import dataclass

from dogwoodhook.coordination.messages import EvidenceReport


@dataclass(frozen=True, slots=True)
class _Heard:
    incarnation: str
    sequence: int


MAX_DAEMONS = 10_000
"""Daemons remembered; the one longest unheard goes first."""


class ReportFilter:
    """Tells a report from a late or second copy of one.

    A daemon numbers its reports from 1 and starts again when it is restarted or
    replaced under the same name, with another incarnation.
    """

    def __init__(self) -> None:
        self._heard: OrderedDict[str, _Heard] = OrderedDict()

    def accept(self, report: EvidenceReport) -> bool:
        """Tell whether a report is new, and remember it."""
        heard = self._heard.get(report.daemon)
        is_same_run = heard is not None and heard.incarnation == report.incarnation
        if heard is not None and is_same_run and report.sequence <= heard.sequence:
            return False
        self._heard[report.daemon] = _Heard(report.incarnation, report.sequence)
        self._heard.move_to_end(report.daemon)
        if len(self._heard) > MAX_DAEMONS:
            self._heard.popitem(last=False)
        return True
