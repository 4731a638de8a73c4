"""Reports of a target that come late, crossed or after its last word."""

import pytest

from heatherspur.dispatch.reports import TargetReports
from heatherspur.dispatch.tests.builders import make_target_report


def _after(*received) -> TargetReports:
    reports = TargetReports()
    for report in received:
        assert reports.accept(report)
    return reports


@pytest.mark.parametrize(
    "late",
    [
        make_target_report(1),
        make_target_report(2),
        make_target_report(9, started_at_ms=900),
        make_target_report(9, started_at_ms=900, target="t0"),
        make_target_report(0, started_at_ms=900, gone=True, ready=False),
    ],
    ids=["older", "same", "earlier start", "earlier target", "earlier last word"],
)
def test_late_report_changes_nothing(late):
    reports = _after(make_target_report(2))
    assert not reports.accept(late)
    assert reports.latest == make_target_report(2)


@pytest.mark.parametrize("started_at_ms", [0, 1000])
def test_target_that_has_left_is_not_taken_back_by_a_late_report(started_at_ms):
    gone = make_target_report(0, started_at_ms=started_at_ms, gone=True, ready=False)
    reports = _after(make_target_report(2), gone)
    assert not reports.accept(make_target_report(3))
    assert reports.latest.gone


def test_new_start_under_the_same_id_counts_from_one():
    reports = _after(
        make_target_report(7), make_target_report(0, gone=True, ready=False)
    )
    assert reports.accept(make_target_report(1, started_at_ms=2000))


def test_draining_target_stays_so():
    reports = _after(make_target_report(3), make_target_report(4, ready=False))
    assert not reports.accept(make_target_report(3))
    assert not reports.latest.ready
