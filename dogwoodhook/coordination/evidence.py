"""Which evidence reports of peers are new."""

from dataclasses import dataclass

from dogwoodhook.coordination.messages import EvidenceReport


@dataclass(frozen=True, slots=True)
class _Heard:
    incarnation: str
    sequence: int


class ReportFilter:
    """Tells a report from a late or second copy of one.

    A daemon numbers its reports from 1 and starts again when it is restarted or
    replaced under the same name, with another incarnation.
    """

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def accept(self, report: EvidenceReport) -> bool:
        """Tell whether a report is new, and remember it."""
        heard = self._heard.get(report.daemon)
        is_same_run = heard is not None and heard.incarnation == report.incarnation
        if heard is not None and is_same_run and report.sequence <= heard.sequence:
            return False
        self._heard[report.daemon] = _Heard(report.incarnation, report.sequence)
        return True
