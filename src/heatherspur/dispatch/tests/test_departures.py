"""Departures of a target, reports that arrive late, and restarts of the node."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherspur.dispatch.departures import Departure, DepartureTracker, StartupGate
from heatherspur.dispatch.reports import TargetReports
from heatherspur.dispatch.tests.builders import make_target_report

REPORT_GAP_S = 1.5
DRAINING = Departure("t1", 1000, 4, False)
GONE = Departure("t1", 1000, 6, True)


def _report_of(departure: Departure):
    return make_target_report(
        departure.sequence, ready=False, gone=departure.gone, slots=0
    )


def test_departure_is_recorded_once():
    tracker = DepartureTracker()
    assert tracker.apply(_report_of(DRAINING)) == DRAINING
    assert tracker.apply(make_target_report(5, ready=False)) is None
    assert tracker.apply(_report_of(GONE)) == GONE
    assert tracker.apply(make_target_report(7, ready=False, gone=True)) is None


def test_confirmed_draining_does_not_confirm_the_deregistration():
    tracker = DepartureTracker()
    tracker.apply(_report_of(DRAINING))
    assert tracker.confirm(DRAINING)
    assert tracker.is_recorded
    tracker.apply(_report_of(GONE))
    assert not tracker.is_recorded
    assert not tracker.confirm(DRAINING)
    assert tracker.confirm(GONE)
    assert tracker.is_recorded


def test_target_that_returned_to_service_departs_anew():
    """The record of the first departure does not show the second one."""
    tracker = DepartureTracker()
    tracker.apply(_report_of(DRAINING))
    tracker.confirm(DRAINING)
    assert tracker.apply(make_target_report(8)) is None
    again = DRAINING._replace(sequence=9)
    assert tracker.apply(_report_of(again)) == again
    assert not tracker.is_recorded


def test_gate_holds_the_newest_report_until_the_store_was_read():
    gate = StartupGate(REPORT_GAP_S)
    for report in (make_target_report(3), make_target_report(2)):
        assert not gate.admit(report, 0.0)
    assert not gate.admit(make_target_report(1, started_at_ms=2000), 0.1)
    assert not gate.admit(make_target_report(9), 0.2)
    assert gate.open() == make_target_report(1, started_at_ms=2000)
    assert gate.admit(make_target_report(2, started_at_ms=2000), 0.3)


@pytest.mark.parametrize(
    "gap_s, is_admitted", [(REPORT_GAP_S, True), (0.1, False)], ids=["usual", "burst"]
)
def test_gate_opens_for_reports_at_their_usual_interval(gap_s, is_admitted):
    """While the store is away, delayed reports arrive together and prove nothing."""
    gate = StartupGate(REPORT_GAP_S)
    results = [gate.admit(make_target_report(5 + i), i * gap_s) for i in range(4)]
    assert results[:2] == [False, False]
    assert any(results) == is_admitted
    assert gate.open() is None or not is_admitted


class _Node:
    """A node's processes one after the other, and the store that they share."""

    def __init__(self) -> None:
        self.stored: Departure | None = None
        self.restart()

    def restart(self) -> None:
        self.reports, self.tracker = TargetReports(), DepartureTracker()
        if self.stored is not None:
            self._take(self.stored.to_report())
            self.tracker.confirm(self.stored)

    def receive(self, report) -> bool:
        """Return whether the report is acknowledged, once the store has confirmed."""
        departure = self._take(report)
        if departure is not None:
            self.stored = departure
            self.tracker.confirm(departure)
        return report.ready or self.tracker.current is None or self.tracker.is_recorded

    def _take(self, report) -> Departure | None:
        if not self.reports.accept(report):
            return None
        return self.tracker.apply(self.reports.latest)


@given(
    st.lists(st.sampled_from(["ready", "draining", "gone", "start"]), max_size=8),
    st.lists(st.integers(0, 30), max_size=20),
)
def test_no_late_report_reverts_an_acknowledged_departure(life, deliveries):
    """Any report may arrive again later, and the node restarts between any two."""
    sent, born, sequence, is_gone = [], 1000, 0, False
    for kind in life:
        if kind == "start":
            born, sequence, is_gone = born + 1000, 0, False
        if is_gone:
            continue
        sequence += 1
        is_gone = kind == "gone"
        sent.append(
            make_target_report(
                sequence,
                started_at_ms=born,
                ready=kind in ("ready", "start"),
                gone=is_gone,
            )
        )
    node = _Node()
    newest = None
    for number in [*range(len(sent)), *deliveries]:
        if not sent or number >= 2 * len(sent):
            node.restart()
            continue
        report = sent[number % len(sent)]
        order = (report.started_at_ms, report.sequence)
        if number < len(sent) and (newest is None or order > newest[0]):
            newest = (order, report)
        assert node.receive(report)
        if number % 2:
            node.restart()
        latest = node.reports.latest
        if newest is not None and not newest[1].ready:
            assert latest is None or not latest.ready, (sent, number)
