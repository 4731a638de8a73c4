"""Selection of the nodes to link to, and failure detection of their links.

This module performs no I/O and reads no clock. Nodes fail, restart or are cut off in
one direction only; a node removes peers that stay unreachable from the catalogue.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from heatherspur.catalogue import NodeRecord
from heatherspur.core import stable_hash
from heatherspur.membership.conf import MembershipSettings

__all__ = ["Dial", "Peer", "PeerTable", "RemoveNode"]

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class Dial(NamedTuple):
    """Open a link to a node.

    :param node: Node id, which is the node's link address.
    """

    node: str


class RemoveNode(NamedTuple):
    """Remove a node from the catalogue, for all nodes.

    :param node: Node id.
    :param incarnation: Incarnation of the node.
    """

    node: str
    incarnation: str


class Peer:
    """State of the link to another node, owned by a :class:`PeerTable`.

    :ivar last_heartbeat_at_s: Own clock reading at the newest heartbeat.
    :ivar echo_s: Newest own clock reading that the peer has echoed.
    :ivar clock_s: Newest clock reading of the peer; 0 before the first heartbeat.

    :param node: Node id.
    :param now: Clock reading in seconds.
    """

    def __init__(self, node: str, now: float) -> None:
        self.node = node
        self.incarnation = ""
        self.zone = ""
        self.is_linked = False
        self.is_dialling = False
        self.last_heartbeat_at_s = now
        self.echo_s = now
        self.linked_at_s = now
        self.next_dial_at_s = 0.0
        self.backoff_s = MIN_BACKOFF_S
        self.clock_s = 0.0


class PeerTable:
    """State of the other nodes that this node links to.

    :param me: Own node id.
    :param settings: Membership settings.
    """

    def __init__(self, me: str, settings: MembershipSettings) -> None:
        self._own_id = me
        self._settings = settings
        self.peers_by_id: dict[str, Peer] = {}
        self._records_by_id: Mapping[str, NodeRecord] = {}
        self._grace_until_s = 0.0

    def record_pause(self, now: float) -> None:
        """Record that this process was paused, and extend the timeout of all links.

        Heartbeats that arrived during the pause may not have been processed yet.

        :param now: Clock reading in seconds.
        """
        self._grace_until_s = now + 2 * self._settings.silence_s

    def update(self, records_by_id: Mapping[str, NodeRecord], now: float) -> None:
        """Update the table to the nodes in the catalogue and the seed nodes.

        :param records_by_id: Records of the nodes in the catalogue.
        :param now: Clock reading in seconds.
        """
        self._records_by_id = records_by_id
        seeds = {str(address) for address in self._settings.peers}
        selected = self._nearest((set(records_by_id) | seeds) - {self._own_id})
        for node in selected:
            if node not in self.peers_by_id:
                self.peers_by_id[node] = Peer(node, now)
        for node, peer in list(self.peers_by_id.items()):
            if node not in selected and not peer.is_linked and not peer.is_dialling:
                del self.peers_by_id[node]

    def _nearest(self, nodes: set[str]) -> set[str]:
        """Return the nodes to link to.

        :returns: All nodes, or a stable pseudo-random subset if there are more than
            ``max_links``.
        """
        if len(nodes) <= self._settings.max_links:
            return nodes
        ranked = sorted(nodes, key=lambda n: stable_hash(self._own_id, n))
        return set(ranked[: self._settings.max_links])

    def link_up(self, node: str, incarnation: str, zone: str, now: float) -> None:
        """Record that a link that this node dialled is open.

        :param node: Node id.
        :param incarnation: Incarnation of the node.
        :param zone: Availability zone of the node.
        :param now: Clock reading in seconds.
        """
        peer = self.peers_by_id.setdefault(node, Peer(node, now))
        peer.is_linked, peer.is_dialling = True, False
        peer.incarnation, peer.zone = incarnation, zone
        peer.last_heartbeat_at_s = peer.linked_at_s = peer.echo_s = now
        peer.clock_s = 0.0
        peer.backoff_s = MIN_BACKOFF_S

    def link_down(self, node: str, now: float) -> None:
        """Record that a link that this node dialled was closed or failed to open.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        peer = self.peers_by_id.get(node)
        if peer is None:
            return
        peer.is_linked = peer.is_dialling = False
        peer.next_dial_at_s = now + peer.backoff_s
        peer.backoff_s = min(MAX_BACKOFF_S, 2 * peer.backoff_s)

    def record_heartbeat(
        self, node: str, clock_s: float, echo_s: float, now: float
    ) -> None:
        """Record a heartbeat.

        :param node: Node id.
        :param clock_s: Clock reading of the sender, in seconds.
        :param echo_s: Newest own clock reading that the sender has received.
        :param now: Clock reading in seconds.
        """
        peer = self.peers_by_id.get(node)
        if peer is not None:
            peer.last_heartbeat_at_s = now
            peer.clock_s = max(peer.clock_s, clock_s)
            peer.echo_s = max(peer.echo_s, echo_s)

    def is_alive(self, node: str, now: float) -> bool:
        """Return whether an exit and this node receive messages from each other.

        A network partition may be one-way: an exit whose heartbeats arrive may receive
        nothing from this node.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        peer = self.peers_by_id.get(node)
        if peer is None or not peer.is_linked or not peer.clock_s:
            return False
        return self._silence_s(peer, now) <= self._settings.silence_s

    def _silence_s(self, peer: Peer, now: float) -> float:
        """Return for how many seconds one of the two directions has been silent."""
        return now - min(peer.last_heartbeat_at_s, peer.echo_s)

    def alive_peers(self, now: float) -> Iterator[Peer]:
        """Yield the peers that are alive according to :meth:`is_alive`.

        :param now: Clock reading in seconds.
        """
        for node, peer in self.peers_by_id.items():
            if self.is_alive(node, now):
                yield peer

    def silent_peers(self, now: float) -> Iterator[Peer]:
        """Yield the peers whose link was silent in one direction for ``2 * silence_s``.

        Yield none during the grace period after a pause of this process.

        :param now: Clock reading in seconds.
        """
        if now < self._grace_until_s:
            return
        for peer in self.peers_by_id.values():
            timeout_s = 2 * self._settings.silence_s
            if peer.is_linked and self._silence_s(peer, now) > timeout_s:
                yield peer

    def tick(self, now: float) -> Iterator[Dial | RemoveNode]:
        """Advance the time: dial due peers and remove unreachable ones.

        A peer is removed from the catalogue after ``forget_s`` without a heartbeat.

        :param now: Clock reading in seconds.
        :returns: The actions to take.
        """
        for node, peer in self.peers_by_id.items():
            if peer.is_linked or peer.is_dialling:
                continue
            if now >= peer.next_dial_at_s:
                peer.is_dialling = True
                yield Dial(node)
            record = self._records_by_id.get(node)
            if record and now - peer.last_heartbeat_at_s > self._settings.forget_s:
                peer.last_heartbeat_at_s = now
                yield RemoveNode(node, record.incarnation)
