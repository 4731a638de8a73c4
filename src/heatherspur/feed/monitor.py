"""Decides whether a node may rely on a neighbour for the store's records.

Load pattern: the neighbour freezes, loses the store without noticing, or waits for
an answer that was lost, just as a configuration is written. Whoever has read it
tells the readers of all zones how far the topic goes. The store may also shut out some
nodes, the neighbour among them, while it serves others: these then have the records.
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
    """What is known of the feed at one node."""

    def __init__(self) -> None:
        self._fed_until_s = 0.0
        self._fed_by = ""
        self._feeder: str | None = None
        self._feeder_silent_since_s = 0.0
        self._passed_over_until_by_node: dict[str, float] = {}
        self._without_store_since_by_node: dict[str, float] = {}
        self._behind_since_s: float | None = None
        self._refresh_at_s = 0.0
        self._refresh_gap_s = CATCH_UP_TIMEOUT_S
        self._next_ask_s = 0.0
        self.known_end = 0

    def expect(self, feeder: str | None, now: float) -> None:
        """Note which node is to feed this one, and pass it over if it stays silent.

        :param feeder: The node, or ``None`` if this one reads the store itself.
        :param now: Clock reading in seconds.
        """
        if feeder != self._feeder:
            self._feeder = feeder
            self._feeder_silent_since_s = now
        elif feeder and now - self._feeder_silent_since_s > 2 * FEEDER_TIMEOUT_S:
            self._pass_over(feeder, now)

    def excluded_nodes(self, now: float) -> frozenset[str]:
        """Return the nodes that are no feeders at present.

        :param now: Clock reading in seconds.
        """
        until_by_node = self._passed_over_until_by_node
        return frozenset(n for n, until_s in until_by_node.items() if now < until_s)

    def record_heartbeat(self, node: str, reads_store: bool, now: float) -> None:
        """Take a sign of life of a neighbour that feeds this node.

        :param node: The neighbour.
        :param reads_store: Whether it gets answers from the store.
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
        """Pass a feeder over that has had no answers of the store for a while.

        A node that has just started or become the feeder has none yet.

        :param node: The feeder; it may be this node.
        :param reads_store: Whether it gets answers from the store.
        :param now: Clock reading in seconds.
        """
        if reads_store:
            self._without_store_since_by_node.pop(node, None)
            self._passed_over_until_by_node.pop(node, None)
            return
        since_s = self._without_store_since_by_node.setdefault(node, now)
        if now - since_s >= FEEDER_TIMEOUT_S:
            del self._without_store_since_by_node[node]
            self._pass_over(node, now)

    def _pass_over(self, node: str, now: float) -> None:
        self._passed_over_until_by_node[node] = now + FEEDER_EXCLUSION_S

    def record_end_offset(self, next_offset: int) -> None:
        """Note how far somebody has read the configuration's topic.

        :param next_offset: Offset after the last record.
        """
        self.known_end = max(self.known_end, next_offset)

    def update_offset(self, next_offset: int, now: float) -> None:
        """Note how far the configuration's topic is known here.

        :param next_offset: Offset after the last record.
        :param now: Clock reading in seconds.
        """
        if next_offset >= self.known_end:
            self._behind_since_s = None
            self._refresh_gap_s = CATCH_UP_TIMEOUT_S
        elif self._behind_since_s is None:
            self._behind_since_s = now
            self._refresh_at_s = now + CATCH_UP_TIMEOUT_S

    def is_fed(self, now: float) -> bool:
        """Tell whether the store need not be read.

        :param now: Clock reading in seconds.
        """
        behind_since_s = self._behind_since_s
        is_behind = (
            behind_since_s is not None and now - behind_since_s >= CATCH_UP_TIMEOUT_S
        )
        return now < self._fed_until_s and not is_behind

    def try_start_refresh(self, now: float) -> bool:
        """Tell whether to read anew, since the read under way is stuck.

        Reads may lag for seconds, so each further one waits longer.

        :param now: Clock reading in seconds.
        """
        if self._behind_since_s is None or now < self._refresh_at_s:
            return False
        self._refresh_gap_s = min(MAX_REFRESH_INTERVAL_S, self._refresh_gap_s * 2)
        self._refresh_at_s = now + self._refresh_gap_s
        return True

    def try_start_request(self, reads_store: bool, now: float) -> bool:
        """Tell whether to ask a neighbour for records.

        :param reads_store: Whether this node gets answers from the store.
        :param now: Clock reading in seconds.
        """
        if reads_store or self.is_fed(now) or now < self._next_ask_s:
            return False
        self._next_ask_s = now + REQUEST_INTERVAL_S
        return True
