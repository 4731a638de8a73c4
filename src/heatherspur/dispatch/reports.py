"""Decides which of a target's reports counts.

Load pattern: reports are delayed by partitions and arrive after newer ones, after
the target's last word, or after a new start at the same address.
"""

from heatherspur.dispatch.types import TargetReport

__all__ = ["TargetReports"]


class TargetReports:
    """The newest report of the target beside this node."""

    def __init__(self) -> None:
        self.latest: TargetReport | None = None

    def accept(self, report: TargetReport) -> bool:
        """Take a report.

        :param report: The report.
        :returns: Whether it is newer than all before; an older one changes nothing.
        """
        last = self.latest
        if report.gone and last is not None and report.target == last.target:
            # A last word may leave out when its sender was started.
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
