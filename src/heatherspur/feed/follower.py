"""Decides whether a node may rely on a neighbour for the store's records.

Load pattern: the neighbour freezes, loses the store without noticing, or waits for
an answer that was lost, just as a configuration is written. Whoever has read it
tells the readers of all zones how far the topic goes.
"""

from heatherspur.feed.conf import CATCH_UP_S, SILENT_S

__all__ = ["Follower"]


class Follower:
    """What is known of the feed at one node."""

    def __init__(self) -> None:
        self._fed_until_s = 0.0
        self._behind_since_s: float | None = None
        self.known_end = 0

    def hear_beat(self, reads_store: bool, now: float) -> None:
        """Take a sign of life of a neighbour that feeds this node.

        :param reads_store: Whether it gets answers from the store.
        :param now: Clock reading in seconds.
        """
        self._fed_until_s = now + SILENT_S if reads_store else 0.0

    def hear_end(self, next_offset: int) -> None:
        """Note how far somebody has read the configuration's topic.

        :param next_offset: Offset after the last record.
        """
        self.known_end = max(self.known_end, next_offset)

    def is_fed(self, now: float) -> bool:
        """Tell whether the store need not be read.

        :param now: Clock reading in seconds.
        """
        return now < self._fed_until_s

    def is_stuck(self, next_offset: int, now: float) -> bool:
        """Tell whether records that exist have failed to come; at most once a while.

        :param next_offset: Offset up to which the topic is known here.
        :param now: Clock reading in seconds.
        """
        if next_offset >= self.known_end:
            self._behind_since_s = None
            return False
        if self._behind_since_s is None:
            self._behind_since_s = now
        if now - self._behind_since_s < CATCH_UP_S:
            return False
        self._behind_since_s = now
        self._fed_until_s = 0.0
        return True
