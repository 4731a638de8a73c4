"""Records of nodes and of the assignment of limit shares to nodes."""

from typing import NamedTuple

__all__ = ["LimitTable", "NodeRecord", "Share"]


class NodeRecord(NamedTuple):
    """Registration of a node in the catalogue.

    :param node: Node id: the link address, which no two processes can bind at once.
    :param incarnation: Random id that the process generates at its start.
    :param zone: Availability zone of the node.
    :param ops: Address of the node's operations listener.
    """

    node: str
    incarnation: str
    zone: str
    ops: str


class Share(NamedTuple):
    """Holder of one share, an equal part of every customer's rate and burst.

    :param node: Node id of the holder.
    :param incarnation: Incarnation of the holder.
    :param zone: Zone of the holder.
    """

    node: str
    incarnation: str
    zone: str


class LimitTable(NamedTuple):
    """Assignment of all limit shares to nodes.

    :param epoch: Number of the table; each table increments it by one.
    :param shares: Holders, by share index.
    """

    epoch: int
    shares: tuple[Share, ...]

    def shares_of(self, node: str, incarnation: str) -> tuple[int, ...]:
        """Return the indexes of the shares that an incarnation of a node holds.

        :param node: Node id.
        :param incarnation: Incarnation of the node.
        """
        owner = (node, incarnation)
        pairs = enumerate(self.shares)
        return tuple(i for i, s in pairs if (s.node, s.incarnation) == owner)

    @property
    def members(self) -> frozenset[str]:
        """Node ids of the holders."""
        return frozenset(share.node for share in self.shares)
