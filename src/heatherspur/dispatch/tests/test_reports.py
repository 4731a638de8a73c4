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


REPORT_GAP_S = 1.5


def _follow(reports, gap_s: float, n_reports: int, **changes) -> list[bool]:
    return [
        reports.follow(
            make_target_report(i + 1, started_at_ms=900, **changes), i * gap_s
        )
        for i in range(n_reports)
    ]


def test_start_with_an_earlier_clock_is_followed_once_it_is_sustained():
    """Its reports were acknowledged and ignored, its departure among them."""
    reports = TargetReports(REPORT_GAP_S)
    assert reports.accept(make_target_report(5))
    assert _follow(reports, REPORT_GAP_S, 4) == [False, False, True, False]
    assert reports.latest.started_at_ms == 900
    leaving = make_target_report(9, started_at_ms=900, ready=False)
    assert reports.accept(leaving)


def test_late_reports_of_an_earlier_start_are_not_followed():
    reports = TargetReports(REPORT_GAP_S)
    assert reports.accept(make_target_report(5))
    assert not any(_follow(reports, 0.05, 10))
    assert reports.latest.started_at_ms == 1000


def test_running_start_is_not_replaced_by_late_reports_between_its_own():
    reports = TargetReports(REPORT_GAP_S)
    for i in range(6):
        assert reports.accept(make_target_report(5 + i))
        late = make_target_report(i + 1, started_at_ms=900)
        assert not reports.follow(late, i * REPORT_GAP_S)


def test_departure_of_an_unknown_start_is_not_reverted_by_one_report():
    reports = TargetReports(REPORT_GAP_S)
    gone = make_target_report(0, started_at_ms=0, gone=True, ready=False)
    assert reports.accept(gone)
    assert not reports.accept(make_target_report(3))
    assert reports.is_of_other_start(make_target_report(3))
