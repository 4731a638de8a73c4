"""Assignment of feeders: which nodes read the store, and which nodes each one feeds.

Load pattern: each change is delivered to every reader of the store, and calls to the
store are expensive. All nodes compute the same assignment from the members that they
know, so no agreement protocol is needed. Where their views differ, a node is fed twice
or reads the store itself.
"""

from collections.abc import Collection, Mapping, Sequence

from heatherspur.core import stable_hash
from heatherspur.feed.conf import (
    IDLE_READS_PER_S,
    MAX_FED_NODES,
    MAX_READ_WAIT_S,
    MIN_READ_WAIT_S,
)

__all__ = ["FeedPlan"]


class FeedPlan:
    """Assignment of feeders for the current members, as one node computes it.

    :ivar is_feeder: Whether this node reads the store for others.
    :ivar own_feeder: Feeder of this node, or ``None`` if it is a feeder itself.
    :ivar fed_nodes: Nodes that this node feeds.
    :ivar feeders: Feeders of all zones, except this node.

    :param me: Own node id.
    :param zone: Own availability zone.
    """

    def __init__(self, me: str, zone: str) -> None:
        self._own_id = me
        self._zone = zone
        self._last_inputs: tuple = ()
        self.is_feeder = False
        self.own_feeder: str | None = None
        self.fed_nodes: tuple[str, ...] = ()
        self.feeders: tuple[str, ...] = ()

    @property
    def read_wait_s(self) -> float:
        """Wait of a long poll for the configuration, in seconds."""
        n_readers = len(self.feeders) + self.is_feeder
        wait_s = n_readers / IDLE_READS_PER_S
        return min(MAX_READ_WAIT_S, max(MIN_READ_WAIT_S, wait_s))

    def update(
        self,
        nodes_by_zone: Mapping[str, Sequence[str]],
        excluded_nodes: Collection[str] = (),
    ) -> None:
        """Recompute the assignment if the members changed.

        :param nodes_by_zone: Reachable nodes, including this one.
        :param excluded_nodes: Nodes that are fed but do not feed others, unless
            all nodes of their zone are excluded.
        """
        if (nodes_by_zone, excluded_nodes) == self._last_inputs:
            return
        self._last_inputs = (nodes_by_zone, excluded_nodes)
        # A second reader is needed to detect that the reads of the first are stuck;
        # usually the feeder of another zone is that reader.
        min_feeders = 1 if len(nodes_by_zone) > 1 else 2
        feeders_by_zone = {
            zone: _select_feeders(
                [node for node in nodes if node not in excluded_nodes] or nodes,
                min_feeders,
            )
            for zone, nodes in nodes_by_zone.items()
        }
        own_zone_feeders = feeders_by_zone.get(self._zone, [])
        self.is_feeder = self._own_id in own_zone_feeders
        self.own_feeder = None
        if not self.is_feeder:
            self.own_feeder = _assigned_feeder(self._own_id, own_zone_feeders)
        self.fed_nodes = tuple(
            node
            for node in nodes_by_zone.get(self._zone, ())
            if node not in own_zone_feeders
            and _assigned_feeder(node, own_zone_feeders) == self._own_id
        )
        self.feeders = tuple(
            node
            for feeders in feeders_by_zone.values()
            for node in feeders
            if node != self._own_id
        )


def _select_feeders(nodes: Sequence[str], min_feeders: int) -> list[str]:
    n_feeders = max(min_feeders, -(-len(nodes) // MAX_FED_NODES))
    ranked = sorted(nodes, key=lambda node: stable_hash("feeder", node))
    return ranked[:n_feeders]


def _assigned_feeder(node: str, feeders: Sequence[str]) -> str:
    return max(feeders, key=lambda feeder: stable_hash(node, feeder))
