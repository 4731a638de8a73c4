"""Filters out stale reports of a target.

Network partitions delay reports, so that they may arrive after newer ones, after the
target has left, or after another target has started at the same address.
"""

from heatherspur.dispatch.types import TargetReport

__all__ = ["TargetReports"]


class TargetReports:
    """The newest report of the local target.

    :ivar latest: The newest accepted report, ``None`` before the first.
    """

    def __init__(self) -> None:
        self.latest: TargetReport | None = None

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
        return True


def _is_newer(report: TargetReport, last: TargetReport) -> bool:
    if report.started_at_ms != last.started_at_ms:
        return report.started_at_ms > last.started_at_ms
    if report.gone:
        return report.target == last.target
    if report.target != last.target:
        return True
    return report.sequence > last.sequence and not last.gone
