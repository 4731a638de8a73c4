"""Proposes limit tables: the first one, and ones that replace failed share holders.

Any node may propose a table; the order of records in the log decides which proposal
takes effect. Each node delays its proposal by its rank, only to avoid many equal
proposals at the same time.
"""

from collections.abc import Iterable
from typing import NamedTuple

from heatherspur.catalogue import LimitTable, Share
from heatherspur.core import stable_hash
from heatherspur.limits.conf import LimitSettings

__all__ = ["LiveNode", "TablePlanner"]

DELAY_PER_RANK_S = 0.3
FIRST_TABLE_DELAY_S = 1.0
SMALL_FLEET_DELAY_S = 3.0  # a one-node table has no majority if that node fails
MIN_PROPOSAL_INTERVAL_S = 4.0


class LiveNode(NamedTuple):
    """A node that this node can reach.

    :param node: Node id.
    :param incarnation: Incarnation of the node.
    :param zone: Availability zone of the node.
    """

    node: str
    incarnation: str
    zone: str


def _rank_hash(node: str, epoch: int) -> int:
    return stable_hash(epoch, node)


class TablePlanner:
    """Decides when this node proposes a limit table, and which one.

    :param own_node: This node.
    :param settings: Limit settings.
    :param now: Clock reading in seconds.
    """

    def __init__(self, own_node: LiveNode, settings: LimitSettings, now: float) -> None:
        self._own_node = own_node
        self._settings = settings
        self._epoch = 0
        self._last_change_at_s = now
        self._faulty_since_s = now
        self._faulty_shares: frozenset[int] = frozenset()

    def plan(
        self,
        table: LimitTable | None,
        live: Iterable[LiveNode],
        now: float,
    ) -> LimitTable | None:
        """Return the table to propose now, if any.

        :param table: Table in force, or ``None`` before the first one.
        :param live: Reachable nodes, this one included.
        :param now: Clock reading in seconds.
        """
        nodes_by_id = {node.node: node for node in live}
        epoch = table.epoch if table else 0
        if epoch != self._epoch:
            self._epoch = epoch
            self._last_change_at_s = now
            self._faulty_shares, self._faulty_since_s = frozenset(), now
        if table is None:
            is_small_fleet = len(nodes_by_id) < self._settings.limit_shares
            delay_s = SMALL_FLEET_DELAY_S if is_small_fleet else FIRST_TABLE_DELAY_S
            delay_s += self._rank(nodes_by_id, 0) * DELAY_PER_RANK_S
            if now - self._last_change_at_s < delay_s:
                return None
            self._last_change_at_s = now
            return self._first_table(nodes_by_id)
        return self._plan_replacement(table, nodes_by_id, now)

    def _rank(self, nodes_by_id: dict[str, LiveNode], epoch: int) -> int:
        """Return the position of this node in the order of proposers."""
        order = sorted(nodes_by_id, key=lambda node: _rank_hash(node, epoch))
        return (
            order.index(self._own_node.node)
            if self._own_node.node in order
            else len(order)
        )

    def _first_table(self, nodes_by_id: dict[str, LiveNode]) -> LimitTable:
        shares: list[Share] = []
        for _ in range(self._settings.limit_shares):
            shares.append(self._select_holder(shares, nodes_by_id, None, 1))
        return LimitTable(1, tuple(shares))

    def _select_holder(
        self,
        shares: list[Share],
        nodes_by_id: dict[str, LiveNode],
        zone: str | None,
        epoch: int,
    ) -> Share:
        """Select the holder of one more share.

        The shares are spread over nodes first. The given zone is then preferred, and
        after that the zone with the fewest shares.

        :param shares: Shares that have a holder.
        :param nodes_by_id: Candidates.
        :param zone: Preferred zone, if any.
        :param epoch: Epoch of the new table; it varies the order of equal candidates.
        """

        def cost(node: LiveNode) -> tuple[int, int, int, int]:
            n_on_node = sum(share.node == node.node for share in shares)
            n_in_zone = sum(share.zone == node.zone for share in shares)
            return (
                n_on_node,
                int(node.zone != zone),
                n_in_zone,
                _rank_hash(node.node, epoch),
            )

        return Share(*min(nodes_by_id.values(), key=cost))

    def _find_faulty_shares(
        self, table: LimitTable, nodes_by_id: dict[str, LiveNode]
    ) -> frozenset[int]:
        """Return the indexes of the shares that need another holder.

        Their holder has left or restarted, or also holds an earlier share although a
        node without a share is available.
        """
        faulty_shares = set()
        seen_nodes = set()
        n_spare = len(set(nodes_by_id) - table.members)
        for index, share in enumerate(table.shares):
            node = nodes_by_id.get(share.node)
            if (
                node is None
                or node.incarnation != share.incarnation
                or share.node in seen_nodes
                and n_spare > 0
            ):
                faulty_shares.add(index)
            seen_nodes.add(share.node)
        return frozenset(faulty_shares)

    def _plan_replacement(
        self, table: LimitTable, nodes_by_id: dict[str, LiveNode], now: float
    ) -> LimitTable | None:
        """Return a table without the faulty shares, once the proposal is due.

        The faults must be the same in two calls in a row. Members of the table rank
        before other nodes.
        """
        faulty_shares = self._find_faulty_shares(table, nodes_by_id)
        if not faulty_shares or faulty_shares != self._faulty_shares:
            self._faulty_shares = faulty_shares
            self._faulty_since_s = now
            return None
        holders = {n: nodes_by_id[n] for n in table.members if n in nodes_by_id}
        candidates = holders if self._own_node.node in holders else nodes_by_id
        first_rank = 0 if self._own_node.node in holders else len(holders)
        rank = first_rank + self._rank(candidates, table.epoch)
        if now - self._faulty_since_s < rank * DELAY_PER_RANK_S:
            return None
        if (
            now - self._last_change_at_s < MIN_PROPOSAL_INTERVAL_S
            and self._last_change_at_s > 0
        ):
            return None
        self._last_change_at_s = now
        return self._replace(table, faulty_shares, nodes_by_id)

    def _replace(
        self,
        table: LimitTable,
        faulty_shares: frozenset[int],
        nodes_by_id: dict[str, LiveNode],
    ) -> LimitTable | None:
        kept = [s for i, s in enumerate(table.shares) if i not in faulty_shares]
        shares = list(table.shares)
        for index in sorted(faulty_shares):
            zone = table.shares[index].zone
            shares[index] = self._select_holder(
                kept, nodes_by_id, zone, table.epoch + 1
            )
            kept.append(shares[index])
        if tuple(shares) == table.shares:
            return None
        return LimitTable(table.epoch + 1, tuple(shares))
