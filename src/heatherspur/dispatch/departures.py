"""Departures of the target beside a node, across restarts of the node.

Load pattern: a target announces that it leaves, the node acknowledges this and is
killed. The new process receives reports that the target sent before the announcement
and that were delayed by seconds. Therefore, a departure is recorded in the store before
it is acknowledged, and a new process reads the record before reports take effect.
"""

from typing import NamedTuple

from heatherspur.dispatch.reports import SustainedStart
from heatherspur.dispatch.types import TargetReport

__all__ = ["Departure", "DepartureTracker", "StartupGate"]


class Departure(NamedTuple):
    """Announcement of a target that it leaves.

    :param target: Id of the target.
    :param started_at_ms: Start of the target, in milliseconds since 1970.
    :param sequence: Sequence number of the first report that announced it; a target
        that returned to service announces its next departure with a higher one.
    :param gone: Whether the target has deregistered, after which it never returns to
        service; otherwise it is draining.
    """

    target: str
    started_at_ms: int
    sequence: int
    gone: bool

    def covers(self, other: "Departure") -> bool:
        """Return whether a record of this departure also shows the other one.

        :param other: Departure of any target.
        """
        return self == other or (self.gone and self.is_of_same_start(other))

    def continues_with(self, other: "Departure") -> bool:
        """Return whether a later announcement repeats this one.

        :param other: Departure of any target.
        """
        return self.is_of_same_start(other) and (self.gone or not other.gone)

    def is_of_same_start(self, other: "Departure") -> bool:
        """Return whether both are departures of the same start of a target.

        :param other: Departure of any target.
        """
        start = (self.target, self.started_at_ms)
        return start == (other.target, other.started_at_ms)

    def to_report(self) -> TargetReport:
        """Return a report that announces the departure, without address and slots."""
        return TargetReport(
            target=self.target,
            started_at_ms=self.started_at_ms,
            sequence=self.sequence,
            address=None,
            service="",
            slots=0,
            ready=False,
            cold_s=0.0,
            gone=self.gone,
        )


class DepartureTracker:
    """Departure of the target that is in force, and whether the store holds it.

    :ivar current: The departure, ``None`` while the target accepts requests.
    :ivar is_recorded: Whether the store holds it, so that it may be acknowledged.
    """

    def __init__(self) -> None:
        self.current: Departure | None = None
        self.is_recorded = False

    def apply(self, report: TargetReport) -> Departure | None:
        """Apply a report that takes effect.

        :param report: The report, newer than all previous ones.
        :returns: The departure to record in the store, ``None`` if there is no new one.
        """
        if report.ready:
            self.current = None
            return None
        departure = Departure(
            report.target, report.started_at_ms, report.sequence, report.gone
        )
        if self.current is not None and self.current.continues_with(departure):
            return None
        self.current, self.is_recorded = departure, False
        return departure

    def confirm(self, departure: Departure) -> bool:
        """Take note that the store holds a departure.

        :param departure: The departure.
        :returns: Whether it is the current one.
        """
        is_current = self.current is not None and departure.covers(self.current)
        self.is_recorded = self.is_recorded or is_current
        return is_current


class StartupGate:
    """Holds back reports until the departure recorded in the store is known.

    While the store can't be read, reports that continue at their usual interval open
    the gate: the target sends them now.

    :param report_gap_s: Interval between reports of the target, in seconds.
    :ivar is_open: Whether reports take effect at once.
    """

    def __init__(self, report_gap_s: float) -> None:
        self.is_open = False
        self._held = SustainedStart(report_gap_s)

    def admit(self, report: TargetReport, now: float) -> bool:
        """Return whether a report takes effect now; otherwise keep it if it is newer.

        :param report: A report of a target that accepts requests.
        :param now: Clock reading in seconds.
        """
        if not self.is_open and self._held.record(report, now):
            self.open()
        return self.is_open

    def open(self) -> TargetReport | None:
        """Let reports take effect and return the newest one that was held back.

        :returns: The report, ``None`` if there is none that has not taken effect.
        """
        self.is_open = True
        report = self._held.newest
        self._held.reset()
        return report
