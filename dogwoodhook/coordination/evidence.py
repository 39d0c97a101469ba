"""Detection of duplicate and late evidence reports from peers."""

from collections import OrderedDict
from dataclasses import dataclass

from dogwoodhook.coordination.messages import EvidenceReport


@dataclass(frozen=True, slots=True)
class _LastReport:
    incarnation: str
    sequence: int


MAX_DAEMONS = 10_000
"""Daemons kept in the filter; the one without a report for longest is removed first."""


class ReportFilter:
    """Rejects duplicate reports and reports that arrive out of order.

    A daemon numbers its reports from 1. When it is restarted or replaced under the
    same name, it has another incarnation and numbers from 1 again.
    """

    def __init__(self) -> None:
        self._last_reports: OrderedDict[str, _LastReport] = OrderedDict()

    def accept(self, report: EvidenceReport) -> bool:
        """Return whether a report is new, and record it if so."""
        known = self._last_reports.get(report.daemon)
        is_same_run = known is not None and known.incarnation == report.incarnation
        if known is not None and is_same_run and report.sequence <= known.sequence:
            return False
        self._last_reports[report.daemon] = _LastReport(
            report.incarnation, report.sequence
        )
        self._last_reports.move_to_end(report.daemon)
        if len(self._last_reports) > MAX_DAEMONS:
            self._last_reports.popitem(last=False)
        return True
