"""Chooses which nodes read the store, and for whom.

Load pattern: each change wakes every reader of the store, and calls are dear. All
nodes compute the same choice from the members that they know, so nothing has to be
agreed; where their views differ, a node is fed twice or reads the store itself.
"""

from collections.abc import Collection, Mapping, Sequence

from heatherspur.core import stable_hash
from heatherspur.feed.conf import MAX_FED_NODES

__all__ = ["FeedPlan"]


class FeedPlan:
    """Who feeds whom, for the members known at present.

    :param me: Own node id.
    :param zone: Own availability zone.
    """

    def __init__(self, me: str, zone: str) -> None:
        self._me = me
        self._zone = zone
        self._chosen_for: tuple = ()
        self.is_feeder = False
        self.own_feeder: str | None = None
        self.fed_nodes: tuple[str, ...] = ()
        self.feeders: tuple[str, ...] = ()

    def update(
        self,
        nodes_by_zone: Mapping[str, Sequence[str]],
        excluded_nodes: Collection[str] = (),
    ) -> None:
        """Choose anew if the members changed.

        :param nodes_by_zone: Nodes that answer, this one included.
        :param excluded_nodes: Nodes that are fed, but feed nobody.
        """
        if (nodes_by_zone, excluded_nodes) == self._chosen_for:
            return
        self._chosen_for = (nodes_by_zone, excluded_nodes)
        # A second reader tells the first that its reads are stuck; usually that of
        # another zone does.
        n_least = 1 if len(nodes_by_zone) > 1 else 2
        feeders_by_zone = {
            zone: _feeders(
                [node for node in nodes if node not in excluded_nodes] or nodes, n_least
            )
            for zone, nodes in nodes_by_zone.items()
        }
        own = feeders_by_zone.get(self._zone, [])
        self.is_feeder = self._me in own
        self.own_feeder = None
        if not self.is_feeder:
            self.own_feeder = _feeder_of(self._me, own)
        self.fed_nodes = tuple(
            node
            for node in nodes_by_zone.get(self._zone, ())
            if node not in own and _feeder_of(node, own) == self._me
        )
        self.feeders = tuple(
            node
            for feeders in feeders_by_zone.values()
            for node in feeders
            if node != self._me
        )


def _feeders(nodes: Sequence[str], n_least: int) -> list[str]:
    n_feeders = max(n_least, -(-len(nodes) // MAX_FED_NODES))
    ranked = sorted(nodes, key=lambda node: stable_hash("feeder", node))
    return ranked[:n_feeders]


def _feeder_of(node: str, feeders: Sequence[str]) -> str:
    return max(feeders, key=lambda feeder: stable_hash(node, feeder))
