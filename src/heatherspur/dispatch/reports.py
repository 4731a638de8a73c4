"""Filters out stale reports of a target.

Network partitions delay reports, so that they may arrive after newer ones, after the
target has left, or after another target has started at the same address.
"""

import math

from heatherspur.dispatch.types import TargetReport

__all__ = ["SustainedStart", "TargetReports"]

# Delayed reports mostly arrive together, so those of a running target also have to
# extend over most of the intervals between them.
MIN_SUSTAINED_REPORTS = 3
MIN_SUSTAINED_GAPS = 1.5


class SustainedStart:
    """Detects a start of the target that reports at its usual interval.

    :param report_gap_s: Interval between reports of the target, in seconds.
    :ivar newest: Newest report of the start that is observed, ``None`` before the
        first.
    """

    def __init__(self, report_gap_s: float) -> None:
        self._report_gap_s = report_gap_s
        self.reset()

    def reset(self) -> None:
        """Forget all reports."""
        self.newest: TargetReport | None = None
        self._n_reports = 0
        self._first_at_s = 0.0

    def record(self, report: TargetReport, now: float) -> bool:
        """Record a report, unless it is older than the newest one.

        :param report: The report.
        :param now: Clock reading in seconds.
        :returns: Whether the target evidently sends its reports now.
        """
        newest = self.newest
        if newest is None or _start_of(newest) < _start_of(report):
            self.newest, self._n_reports, self._first_at_s = report, 1, now
            return False
        if _start_of(newest) != _start_of(report) or report.sequence <= newest.sequence:
            return False
        self.newest = report
        self._n_reports += 1
        duration_s = now - self._first_at_s
        return (
            self._n_reports >= MIN_SUSTAINED_REPORTS
            and duration_s >= MIN_SUSTAINED_GAPS * self._report_gap_s
        )


def _start_of(report: TargetReport) -> tuple[int, str]:
    return report.started_at_ms, report.target


class TargetReports:
    """The newest report of the local target.

    The clock of a host may have been set back between two starts of the target, so that
    the second one appears to be the earlier. It is followed once it is sustained.

    :param report_gap_s: Interval between reports of the target, in seconds.
    :ivar latest: The newest accepted report, ``None`` before the first.
    """

    def __init__(self, report_gap_s: float = math.inf) -> None:
        self.latest: TargetReport | None = None
        self._other_start = SustainedStart(report_gap_s)

    def accept(self, report: TargetReport) -> bool:
        """Store a report unless it is stale.

        :param report: The report.
        :returns: Whether it is newer than all previous reports and was stored.
        """
        last = self.latest
        if report.gone and last is not None and report.target == last.target:
            # The final report may omit the start time of the target.
            report = report._replace(
                started_at_ms=report.started_at_ms or last.started_at_ms
            )
        if last is not None and not _is_newer(report, last):
            return False
        self.latest = report
        self._other_start.reset()
        return True

    def is_of_other_start(self, report: TargetReport) -> bool:
        """Return whether a report is of another start of the target than the latest.

        :param report: A report that was not accepted.
        """
        latest = self.latest
        return latest is not None and _start_of(report) != _start_of(latest)

    def follow(self, report: TargetReport, now: float) -> bool:
        """Switch to another start of the target if that is sustained.

        :param report: A report of another start.
        :param now: Clock reading in seconds.
        :returns: Whether the report was stored.
        """
        if not self._other_start.record(report, now):
            return False
        self._other_start.reset()
        self.latest = report
        return True


def _is_newer(report: TargetReport, last: TargetReport) -> bool:
    if last.gone and not last.started_at_ms and report.target == last.target:
        # The target left before the node knew its start.
        return False
    if report.started_at_ms != last.started_at_ms:
        return report.started_at_ms > last.started_at_ms
    if report.gone:
        return report.target == last.target
    if report.target != last.target:
        return True
    return report.sequence > last.sequence and not last.gone
