from dogwoodhook.coordination.evidence import ReportFilter
from dogwoodhook.coordination.messages import EvidenceReport


def report(sequence, incarnation="first"):
    return EvidenceReport("vm-1", incarnation, sequence, ())


def test_a_second_or_late_copy_is_dropped():
    reports = ReportFilter()
    assert [reports.accept(report(number)) for number in (1, 3, 3, 2, 4)] == [
        True,
        True,
        False,
        False,
        True,
    ]


def test_a_daemon_replaced_under_its_name_is_heard_at_once():
    reports = ReportFilter()
    reports.accept(report(1_000))
    assert reports.accept(report(1, incarnation="second"))
    assert not reports.accept(report(1, incarnation="second"))
