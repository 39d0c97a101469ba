from dogwoodhook.coordination.evidence import ReportFilter
from dogwoodhook.coordination.messages import EvidenceReport


def make_report(sequence, incarnation="first"):
    return EvidenceReport("vm-1", incarnation, sequence, ())


def test_duplicate_and_late_reports_are_dropped():
    reports = ReportFilter()
    assert [reports.accept(make_report(number)) for number in (1, 3, 3, 2, 4)] == [
        True,
        True,
        False,
        False,
        True,
    ]


def test_reports_of_a_replacement_with_the_same_name_are_accepted_at_once():
    reports = ReportFilter()
    reports.accept(make_report(1_000))
    assert reports.accept(make_report(1, incarnation="second"))
    assert not reports.accept(make_report(1, incarnation="second"))
