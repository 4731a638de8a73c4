"""Records about nodes and about who holds which share of the limits."""

from typing import NamedTuple

__all__ = ["LimitTable", "NodeRecord", "Share"]


class NodeRecord(NamedTuple):
    """A node that announced itself.

    :param node: Node id: its link address, which no two processes can hold at once.
    :param incarnation: Random word that the process drew at its start.
    :param zone: Its zone.
    :param ops: Its operators' address.
    """

    node: str
    incarnation: str
    zone: str
    ops: str


class Share(NamedTuple):
    """One equal part of every customer's rate and burst.

    :param node: Node id of the holder.
    :param incarnation: Incarnation of the holder.
    :param zone: Zone of the holder.
    """

    node: str
    incarnation: str
    zone: str


class LimitTable(NamedTuple):
    """Who holds the shares.

    :param epoch: Number of the table, rising by one.
    :param shares: The holders, by share index.
    """

    epoch: int
    shares: tuple[Share, ...]

    def shares_of(self, node: str, incarnation: str) -> tuple[int, ...]:
        """Return the indexes of the shares that an incarnation of a node holds."""
        owner = (node, incarnation)
        pairs = enumerate(self.shares)
        return tuple(i for i, s in pairs if (s.node, s.incarnation) == owner)

    @property
    def members(self) -> frozenset[str]:
        """Node ids of the holders."""
        return frozenset(share.node for share in self.shares)
