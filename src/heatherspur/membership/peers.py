"""Which nodes to keep links to, and which of them answer. Pure."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from heatherspur.catalogue import NodeRecord
from heatherspur.core import stable_hash
from heatherspur.membership.conf import MembershipSettings

__all__ = ["Dial", "RemoveNode", "Peer", "PeerTable"]

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class Dial(NamedTuple):
    """Open a link.

    :param node: Node id, which is its link address.
    """

    node: str


class RemoveNode(NamedTuple):
    """Strike a node off the list, for all.

    :param node: Node id.
    :param incarnation: Its incarnation.
    """

    node: str
    incarnation: str


class Peer:
    """What this node knows of another one.

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
    """The other nodes.

    :param me: Own node id.
    :param settings: Membership settings.
    """

    def __init__(self, me: str, settings: MembershipSettings) -> None:
        self._me = me
        self._settings = settings
        self.peers_by_id: dict[str, Peer] = {}
        self._records_by_id: Mapping[str, NodeRecord] = {}
        self._grace_until_s = 0.0

    def record_pause(self, now: float) -> None:
        """Note that this process itself stood still; links get time to be heard.

        :param now: Clock reading in seconds.
        """
        self._grace_until_s = now + 2 * self._settings.silence_s

    def update(self, records_by_id: Mapping[str, NodeRecord], now: float) -> None:
        """Take the nodes that the catalogue names.

        :param records_by_id: Their records.
        :param now: Clock reading in seconds.
        """
        self._records_by_id = records_by_id
        seeds = {str(address) for address in self._settings.peers}
        wanted = self._nearest((set(records_by_id) | seeds) - {self._me})
        for node in wanted:
            if node not in self.peers_by_id:
                self.peers_by_id[node] = Peer(node, now)
        for node, peer in list(self.peers_by_id.items()):
            if node not in wanted and not peer.is_linked and not peer.is_dialling:
                del self.peers_by_id[node]

    def _nearest(self, nodes: set[str]) -> set[str]:
        """Return the nodes to link to: all, or a fixed random part of many."""
        if len(nodes) <= self._settings.max_links:
            return nodes
        ranked = sorted(nodes, key=lambda n: stable_hash(self._me, n))
        return set(ranked[: self._settings.max_links])

    def link_up(self, node: str, incarnation: str, zone: str, now: float) -> None:
        """Note that a link this node dialled is open.

        :param node: Node id.
        :param incarnation: Its incarnation.
        :param zone: Its zone.
        :param now: Clock reading in seconds.
        """
        peer = self.peers_by_id.setdefault(node, Peer(node, now))
        peer.is_linked, peer.is_dialling = True, False
        peer.incarnation, peer.zone = incarnation, zone
        peer.last_heartbeat_at_s = peer.linked_at_s = peer.echo_s = now
        peer.clock_s = 0.0
        peer.backoff_s = MIN_BACKOFF_S

    def link_down(self, node: str, now: float) -> None:
        """Note that a link this node dialled is closed, or could not be opened.

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
        """Note a heartbeat.

        :param node: Node id.
        :param clock_s: Clock reading of the sender.
        :param echo_s: Own clock reading that the sender has heard last.
        :param now: Clock reading in seconds.
        """
        peer = self.peers_by_id.get(node)
        if peer is not None:
            peer.last_heartbeat_at_s = now
            peer.clock_s = max(peer.clock_s, clock_s)
            peer.echo_s = max(peer.echo_s, echo_s)

    def is_alive(self, node: str, now: float) -> bool:
        """Tell whether an exit was heard lately, and heard this node lately.

        A cut may be one-way: an exit whose heartbeats arrive may hear nothing.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        peer = self.peers_by_id.get(node)
        if peer is None or not peer.is_linked or not peer.clock_s:
            return False
        return self._silent_s(peer, now) <= self._settings.silence_s

    def _silent_s(self, peer: Peer, now: float) -> float:
        """Return for how long one of the two ways has brought nothing."""
        return now - min(peer.last_heartbeat_at_s, peer.echo_s)

    def alive_peers(self, now: float) -> Iterator[Peer]:
        """Yield the peers that were heard lately.

        :param now: Clock reading in seconds.
        """
        for node, peer in self.peers_by_id.items():
            if self.is_alive(node, now):
                yield peer

    def silent_peers(self, now: float) -> Iterator[Peer]:
        """Yield peers whose link was silent one way for twice the silence time.

        :param now: Clock reading in seconds.
        """
        if now < self._grace_until_s:
            return
        for peer in self.peers_by_id.values():
            limit_s = 2 * self._settings.silence_s
            if peer.is_linked and self._silent_s(peer, now) > limit_s:
                yield peer

    def tick(self, now: float) -> Iterator[Dial | RemoveNode]:
        """Let time pass.

        :param now: Clock reading in seconds.
        :returns: Messages.
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
