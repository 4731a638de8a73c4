"""Target reports that arrive stale, out of order or after the final one."""

import pytest

from heatherspur.dispatch.reports import TargetReports
from heatherspur.dispatch.tests.builders import make_target_report


def _reports_after(*received) -> TargetReports:
    reports = TargetReports()
    for report in received:
        assert reports.accept(report)
    return reports


@pytest.mark.parametrize(
    "stale",
    [
        make_target_report(1),
        make_target_report(2),
        make_target_report(9, started_at_ms=900),
        make_target_report(9, started_at_ms=900, target="t0"),
        make_target_report(0, started_at_ms=900, gone=True, ready=False),
    ],
    ids=["older", "same", "earlier start", "earlier target", "earlier final report"],
)
def test_stale_report_is_ignored(stale):
    reports = _reports_after(make_target_report(2))
    assert not reports.accept(stale)
    assert reports.latest == make_target_report(2)


@pytest.mark.parametrize("started_at_ms", [0, 1000])
def test_late_report_does_not_revert_the_final_report(started_at_ms):
    gone = make_target_report(0, started_at_ms=started_at_ms, gone=True, ready=False)
    reports = _reports_after(make_target_report(2), gone)
    assert not reports.accept(make_target_report(3))
    assert reports.latest.gone


def test_restart_with_same_id_resets_the_sequence():
    reports = _reports_after(
        make_target_report(7), make_target_report(0, gone=True, ready=False)
    )
    assert reports.accept(make_target_report(1, started_at_ms=2000))


def test_late_report_does_not_revert_draining():
    reports = _reports_after(make_target_report(3), make_target_report(4, ready=False))
    assert not reports.accept(make_target_report(3))
    assert not reports.latest.ready
