"""Decides which of a target's reports counts.

Load pattern: reports are delayed by partitions and arrive after newer ones, after
the target's last word, or after a new start at the same address.
"""

from heatherspur.dispatch.types import TargetBeat

__all__ = ["TargetReports"]


class TargetReports:
    """The newest report of the target beside this node."""

    def __init__(self) -> None:
        self.last: TargetBeat | None = None

    def take(self, beat: TargetBeat) -> bool:
        """Take a report.

        :param beat: The report.
        :returns: Whether it is newer than all before; an older one changes nothing.
        """
        last = self.last
        if beat.gone and last is not None and beat.target == last.target:
            # A last word may leave out when its sender was started.
            beat = beat._replace(born_ms=beat.born_ms or last.born_ms)
        if last is not None and not _is_newer(beat, last):
            return False
        self.last = beat
        return True


def _is_newer(beat: TargetBeat, last: TargetBeat) -> bool:
    if beat.born_ms != last.born_ms:
        return beat.born_ms > last.born_ms
    if beat.gone:
        return beat.target == last.target
    if beat.target != last.target:
        return True
    return beat.sequence > last.sequence and not last.gone
