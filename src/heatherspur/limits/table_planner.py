"""Proposes tables: the first one, and replacements for holders that are gone.

Any node may propose; the log decides. Ranks only keep many nodes from writing the
same proposal.
"""

from collections.abc import Iterable
from typing import NamedTuple

from heatherspur.catalogue import LimitTable, Share
from heatherspur.core import stable_hash
from heatherspur.limits.conf import LimitSettings

__all__ = ["LiveNode", "TablePlanner"]

RANK_DELAY_S = 0.3
FIRST_TABLE_DELAY_S = 1.0
FEW_NODES_DELAY_S = 3.0  # a table of one node has no majority without it
COOL_DOWN_S = 4.0


class LiveNode(NamedTuple):
    """A node that can be reached.

    :param node: Node id.
    :param incarnation: Its incarnation.
    :param zone: Its zone.
    """

    node: str
    incarnation: str
    zone: str


def _rank_key(node: str, epoch: int) -> int:
    return stable_hash(epoch, node)


class TablePlanner:
    """Decides when this node proposes a table, and which.

    :param me: This node.
    :param settings: Limit settings.
    :param now: Clock reading in seconds.
    """

    def __init__(self, me: LiveNode, settings: LimitSettings, now: float) -> None:
        self._me = me
        self._settings = settings
        self._epoch = 0
        self._changed_at_s = now
        self._fault_since_s = now
        self._fault: frozenset[int] = frozenset()

    def plan(
        self,
        table: LimitTable | None,
        live: Iterable[LiveNode],
        now: float,
    ) -> LimitTable | None:
        """Return a table to propose now, if any.

        :param table: Table in force.
        :param live: Nodes that can be reached, this one included.
        :param now: Clock reading in seconds.
        """
        nodes_by_id = {node.node: node for node in live}
        epoch = table.epoch if table else 0
        if epoch != self._epoch:
            self._epoch = epoch
            self._changed_at_s = now
            self._fault, self._fault_since_s = frozenset(), now
        if table is None:
            is_small = len(nodes_by_id) < self._settings.limit_shares
            delay_s = FEW_NODES_DELAY_S if is_small else FIRST_TABLE_DELAY_S
            delay_s += self._rank(nodes_by_id, 0) * RANK_DELAY_S
            if now - self._changed_at_s < delay_s:
                return None
            self._changed_at_s = now
            return self._first_table(nodes_by_id)
        return self._repair(table, nodes_by_id, now)

    def _rank(self, nodes_by_id: dict[str, LiveNode], epoch: int) -> int:
        order = sorted(nodes_by_id, key=lambda node: _rank_key(node, epoch))
        return order.index(self._me.node) if self._me.node in order else len(order)

    def _first_table(self, nodes_by_id: dict[str, LiveNode]) -> LimitTable:
        shares: list[Share] = []
        for _ in range(self._settings.limit_shares):
            shares.append(self._pick(shares, nodes_by_id, None, 1))
        return LimitTable(1, tuple(shares))

    def _pick(
        self,
        shares: list[Share],
        nodes_by_id: dict[str, LiveNode],
        zone: str | None,
        epoch: int,
    ) -> Share:
        """Choose the node for one more share: spread over nodes, then zones."""

        def cost(node: LiveNode) -> tuple[int, int, int, int]:
            n_here = sum(share.node == node.node for share in shares)
            n_zone = sum(share.zone == node.zone for share in shares)
            return n_here, int(node.zone != zone), n_zone, _rank_key(node.node, epoch)

        return Share(*min(nodes_by_id.values(), key=cost))

    def _faults(
        self, table: LimitTable, nodes_by_id: dict[str, LiveNode]
    ) -> frozenset[int]:
        """Return the shares whose holder is gone or holds another one too."""
        faults = set()
        seen = set()
        n_spare = len(set(nodes_by_id) - table.members)
        for index, share in enumerate(table.shares):
            node = nodes_by_id.get(share.node)
            if (
                node is None
                or node.incarnation != share.incarnation
                or share.node in seen
                and n_spare > 0
            ):
                faults.add(index)
            seen.add(share.node)
        return frozenset(faults)

    def _repair(
        self, table: LimitTable, nodes_by_id: dict[str, LiveNode], now: float
    ) -> LimitTable | None:
        faults = self._faults(table, nodes_by_id)
        if not faults or faults != self._fault:
            self._fault = faults
            self._fault_since_s = now
            return None
        holders = {n: nodes_by_id[n] for n in table.members if n in nodes_by_id}
        ranked = holders if self._me.node in holders else nodes_by_id
        first_rank = 0 if self._me.node in holders else len(holders)
        rank = first_rank + self._rank(ranked, table.epoch)
        if now - self._fault_since_s < rank * RANK_DELAY_S:
            return None
        if now - self._changed_at_s < COOL_DOWN_S and self._changed_at_s > 0:
            return None
        self._changed_at_s = now
        return self._replace(table, faults, nodes_by_id)

    def _replace(
        self,
        table: LimitTable,
        faults: frozenset[int],
        nodes_by_id: dict[str, LiveNode],
    ) -> LimitTable | None:
        kept = [s for i, s in enumerate(table.shares) if i not in faults]
        shares = list(table.shares)
        for index in sorted(faults):
            zone = table.shares[index].zone
            shares[index] = self._pick(kept, nodes_by_id, zone, table.epoch + 1)
            kept.append(shares[index])
        if tuple(shares) == table.shares:
            return None
        return LimitTable(table.epoch + 1, tuple(shares))
