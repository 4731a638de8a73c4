"""View of an entry on the other nodes, their targets and reachability."""

from collections.abc import Iterable
from typing import NamedTuple

from heatherspur.dispatch.conf import (
    ISOLATED_AFTER_S,
    ISOLATED_UNREACHABLE_SHARE,
    SLOW_NODE_S,
    UNREACHABLE_MEMORY_S,
)

__all__ = ["FleetView", "Member"]

# A restarted host is available after one to three seconds.
MIN_DOWN_S = 0.25
MAX_DOWN_S = 2.0


class Member(NamedTuple):
    """One node and its local target, as recorded in the store.

    :param node: Node id: its link address.
    :param zone: Availability zone.
    :param service: Service of the target.
    :param target: Id of the target.
    :param started_at_ms: Start of the target, in milliseconds since 1970.
    :param slots: Number of requests that the target runs concurrently.
    :param ready: Whether the target accepts new requests.
    """

    node: str
    zone: str
    service: str
    target: str
    started_at_ms: int
    slots: int
    ready: bool


class FleetView:
    """Members of the fleet, and which nodes are unreachable or slow at present.

    :param node_id: Id of this node.
    :param zone: Availability zone of this node.
    :ivar was_member: Whether this node was a member before its process started.
    """

    def __init__(self, node_id: str, zone: str) -> None:
        self.was_member = False
        self.node_id = node_id
        self.zone = zone
        self.members_by_host: dict[str, Member] = {}
        self._down_until_s_by_node: dict[str, float] = {}
        self._down_s_by_node: dict[str, float] = {}
        self._slow_until_s_by_node: dict[str, float] = {}
        self._unanswered_at_s_by_node: dict[str, float] = {}
        self._received_at_s = 0.0

    def put(self, host: str, member: Member) -> None:
        """Store the newest record of a host.

        :param host: Name of the host.
        :param member: The record.
        """
        self.members_by_host[host] = member

    def remove(self, host: str) -> None:
        """Remove a host.

        :param host: Name of the host.
        """
        self.members_by_host.pop(host, None)

    def nodes(self, now: float) -> list[str]:
        """Return the reachable nodes, including this one.

        :param now: Clock reading in seconds.
        """
        known = {member.node for member in self.members_by_host.values()}
        return sorted(n for n in known | {self.node_id} if not self.is_down(n, now))

    def nodes_by_zone(self, now: float) -> dict[str, list[str]]:
        """Return the reachable nodes, including this one, by availability zone.

        :param now: Clock reading in seconds.
        """
        members = self.members_by_host.values()
        return self._by_zone(m for m in members if not self.is_down(m.node, now))

    def known_nodes_by_zone(self) -> dict[str, list[str]]:
        """Return all known nodes, reachable or not, by availability zone."""
        return self._by_zone(self.members_by_host.values())

    def _by_zone(self, members: Iterable[Member]) -> dict[str, list[str]]:
        """Return the nodes of members and this node, in order, by zone."""
        zones_by_node = {member.node: member.zone for member in members}
        zones_by_node[self.node_id] = self.zone
        nodes_by_zone: dict[str, list[str]] = {}
        for node, zone in sorted(zones_by_node.items()):
            nodes_by_zone.setdefault(zone, []).append(node)
        return nodes_by_zone

    @property
    def n_nodes(self) -> int:
        """Number of known nodes."""
        return max(1, len(self.members_by_host))

    def unreachable_share(self, now: float) -> float:
        """Return the share of known nodes that recently failed to answer, from 0 to 1.

        :param now: Clock reading in seconds.
        """
        known = {m.node for m in self.members_by_host.values()} - {self.node_id}
        missing = (
            node
            for node, at_s in self._unanswered_at_s_by_node.items()
            if node in known and now - at_s < UNREACHABLE_MEMORY_S
        )
        return sum(1 for _ in missing) / max(1, len(known))

    def record_message(self, node: str, now: float) -> None:
        """Record that a message of a node was received.

        :param node: Node id; messages of this node itself are ignored.
        :param now: Clock reading in seconds.
        """
        if node != self.node_id:
            self._received_at_s = now
            self._unanswered_at_s_by_node.pop(node, None)

    def is_isolated(self, now: float) -> bool:
        """Return whether this node appears to be isolated from all others.

        :param now: Clock reading in seconds.
        """
        is_silent = now - self._received_at_s >= ISOLATED_AFTER_S
        return is_silent and self.unreachable_share(now) >= ISOLATED_UNREACHABLE_SHARE

    @property
    def n_ready(self) -> int:
        """Number of targets that accept new requests."""
        return sum(member.ready for member in self.members_by_host.values())

    def candidates(self, service: str, now: float) -> Iterable[Member]:
        """Yield the ready and reachable members of a service.

        :param service: Name of the service.
        :param now: Clock reading in seconds.
        """
        for member in self.members_by_host.values():
            is_ready = member.service == service and member.ready
            if is_ready and not self.is_down(member.node, now):
                yield member

    def n_targets(self, service: str) -> int:
        """Return the number of known targets of a service, ready or not.

        :param service: Name of the service.
        """
        return sum(m.service == service for m in self.members_by_host.values())

    def is_down(self, node: str, now: float) -> bool:
        """Return whether a node is excluded because it recently failed to answer.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        return now < self._down_until_s_by_node.get(node, 0.0)

    def mark_down(self, node: str, now: float) -> None:
        """Exclude a node for a period that doubles with each failure.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        self._unanswered_at_s_by_node[node] = now
        down_s = self._down_s_by_node.get(node, MIN_DOWN_S / 2) * 2
        self._down_s_by_node[node] = min(MAX_DOWN_S, down_s)
        self._down_until_s_by_node[node] = now + self._down_s_by_node[node]

    def mark_slow(self, node: str, now: float) -> None:
        """Mark a node as slow: for some time, grants don't wait for its reply.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        self._slow_until_s_by_node[node] = now + SLOW_NODE_S

    def is_slow(self, node: str, now: float) -> bool:
        """Return whether a node was recently marked as slow.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        return now < self._slow_until_s_by_node.get(node, 0.0)

    def mark_up(self, node: str) -> None:
        """Record that a node answered.

        :param node: Node id.
        """
        self._down_until_s_by_node.pop(node, None)
        self._down_s_by_node.pop(node, None)
        self._unanswered_at_s_by_node.pop(node, None)
