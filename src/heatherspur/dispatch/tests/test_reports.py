"""Reports of a target that come late, crossed or after its last word."""

import pytest

from heatherspur.dispatch.reports import TargetReports
from heatherspur.dispatch.tests.builders import make_beat


def _after(*beats) -> TargetReports:
    reports = TargetReports()
    for beat in beats:
        assert reports.take(beat)
    return reports


@pytest.mark.parametrize(
    "late",
    [
        make_beat(1),
        make_beat(2),
        make_beat(9, born_ms=900),
        make_beat(9, born_ms=900, target="t0"),
        make_beat(0, born_ms=900, gone=True, ready=False),
    ],
    ids=["older", "same", "earlier start", "earlier target", "earlier last word"],
)
def test_late_report_changes_nothing(late):
    reports = _after(make_beat(2))
    assert not reports.take(late)
    assert reports.last == make_beat(2)


@pytest.mark.parametrize("born_ms", [0, 1000])
def test_target_that_has_left_is_not_taken_back_by_a_late_report(born_ms):
    gone = make_beat(0, born_ms=born_ms, gone=True, ready=False)
    reports = _after(make_beat(2), gone)
    assert not reports.take(make_beat(3))
    assert reports.last.gone


def test_new_start_under_the_same_id_counts_from_one():
    reports = _after(make_beat(7), make_beat(0, gone=True, ready=False))
    assert reports.take(make_beat(1, born_ms=2000))


def test_draining_target_stays_so():
    reports = _after(make_beat(3), make_beat(4, ready=False))
    assert not reports.take(make_beat(3))
    assert not reports.last.ready
