"""Failure detection of the feeder: decides whether a node has to read the store itself.

Load pattern: while a configuration is written, the feeder freezes, loses the store
without noticing, or waits for an answer that was lost. A node that has read the
configuration announces the end offset of the topic to the feeders of all zones. The
store may also reject some nodes, the feeder among them, while it serves others; the
records are then available from the others.
"""

from heatherspur.feed.conf import (
    CATCH_UP_TIMEOUT_S,
    FEEDER_EXCLUSION_S,
    FEEDER_TIMEOUT_S,
    MAX_REFRESH_INTERVAL_S,
    REQUEST_INTERVAL_S,
)

__all__ = ["FeedMonitor"]


class FeedMonitor:
    """State of the feed at one node.

    :ivar known_end: Greatest known end offset of the configuration's topic.
    """

    def __init__(self) -> None:
        self._fed_until_s = 0.0
        self._fed_by = ""
        self._feeder: str | None = None
        self._feeder_silent_since_s = 0.0
        self._excluded_until_by_node: dict[str, float] = {}
        self._without_store_since_by_node: dict[str, float] = {}
        self._behind_since_s: float | None = None
        self._next_refresh_s = 0.0
        self._refresh_interval_s = CATCH_UP_TIMEOUT_S
        self._next_request_s = 0.0
        self.known_end = 0

    def expect(self, feeder: str | None, now: float) -> None:
        """Set the feeder of this node, and exclude a feeder that stays silent.

        :param feeder: The feeder, or ``None`` if this node reads the store itself.
        :param now: Clock reading in seconds.
        """
        if feeder != self._feeder:
            self._feeder = feeder
            self._feeder_silent_since_s = now
        elif feeder and now - self._feeder_silent_since_s > 2 * FEEDER_TIMEOUT_S:
            self._exclude(feeder, now)

    def excluded_nodes(self, now: float) -> frozenset[str]:
        """Return the nodes that are temporarily excluded from feeding others.

        :param now: Clock reading in seconds.
        """
        until_by_node = self._excluded_until_by_node
        return frozenset(n for n, until_s in until_by_node.items() if now < until_s)

    def record_heartbeat(self, node: str, reads_store: bool, now: float) -> None:
        """Record a heartbeat of a feeder.

        :param node: The feeder.
        :param reads_store: Whether the feeder receives answers from the store.
        :param now: Clock reading in seconds.
        """
        if node == self._feeder:
            self._feeder_silent_since_s = now
        if reads_store:
            self._fed_by = node
            self._fed_until_s = now + FEEDER_TIMEOUT_S
        elif node == self._fed_by:
            self._fed_until_s = 0.0
        self.record_store_access(node, reads_store, now)

    def record_store_access(self, node: str, reads_store: bool, now: float) -> None:
        """Exclude a feeder that receives no answers from the store for a while.

        The delay covers a node that has just started or become the feeder and has
        received no answer yet.

        :param node: The feeder; it may be this node.
        :param reads_store: Whether the feeder receives answers from the store.
        :param now: Clock reading in seconds.
        """
        if reads_store:
            self._without_store_since_by_node.pop(node, None)
            self._excluded_until_by_node.pop(node, None)
            return
        since_s = self._without_store_since_by_node.setdefault(node, now)
        if now - since_s >= FEEDER_TIMEOUT_S:
            del self._without_store_since_by_node[node]
            self._exclude(node, now)

    def _exclude(self, node: str, now: float) -> None:
        self._excluded_until_by_node[node] = now + FEEDER_EXCLUSION_S

    def record_end_offset(self, next_offset: int) -> None:
        """Record the end of the configuration's topic, as read by any node.

        :param next_offset: Offset after the last record.
        """
        self.known_end = max(self.known_end, next_offset)

    def update_offset(self, next_offset: int, now: float) -> None:
        """Record up to which offset this node has the configuration's topic.

        :param next_offset: Offset after the last record.
        :param now: Clock reading in seconds.
        """
        if next_offset >= self.known_end:
            self._behind_since_s = None
            self._refresh_interval_s = CATCH_UP_TIMEOUT_S
        elif self._behind_since_s is None:
            self._behind_since_s = now
            self._next_refresh_s = now + CATCH_UP_TIMEOUT_S

    def is_fed(self, now: float) -> bool:
        """Return whether a feeder supplies this node with records.

        While it does, this node does not read the store.

        :param now: Clock reading in seconds.
        """
        behind_since_s = self._behind_since_s
        is_behind = (
            behind_since_s is not None and now - behind_since_s >= CATCH_UP_TIMEOUT_S
        )
        return now < self._fed_until_s and not is_behind

    def try_start_refresh(self, now: float) -> bool:
        """Return whether to repeat the read of the store because it appears stuck.

        Answers may be delayed by seconds, so the interval doubles after each refresh.

        :param now: Clock reading in seconds.
        :returns: Whether a refresh is due; if so, the next one is scheduled.
        """
        if self._behind_since_s is None or now < self._next_refresh_s:
            return False
        self._refresh_interval_s = min(
            MAX_REFRESH_INTERVAL_S, self._refresh_interval_s * 2
        )
        self._next_refresh_s = now + self._refresh_interval_s
        return True

    def try_start_request(self, reads_store: bool, now: float) -> bool:
        """Return whether to request records from a neighbour.

        :param reads_store: Whether this node receives answers from the store.
        :param now: Clock reading in seconds.
        :returns: Whether a request is due; if so, the next one is scheduled.
        """
        if reads_store or self.is_fed(now) or now < self._next_request_s:
            return False
        self._next_request_s = now + REQUEST_INTERVAL_S
        return True
