"""What an entry knows of the exits and their targets."""

from collections.abc import Iterable
from typing import NamedTuple

from heatherspur.dispatch.conf import (
    ISOLATED_AFTER_S,
    ISOLATED_UNREACHABLE_SHARE,
    SLOW_NODE_S,
    UNREACHABLE_MEMORY_S,
)

__all__ = ["FleetView", "Member"]

# A host that restarts is back after one to three seconds.
MIN_DOWN_S = 0.25
MAX_DOWN_S = 2.0


class Member(NamedTuple):
    """One node and the target beside it, as recorded in the store.

    :param node: Node id: its link address.
    :param zone: Availability zone.
    :param service: Service of the target.
    :param target: Id of the target.
    :param started_at_ms: Start of the target, in milliseconds since 1970.
    :param slots: Requests that the target runs at a time.
    :param ready: Whether the target takes new requests.
    """

    node: str
    zone: str
    service: str
    target: str
    started_at_ms: int
    slots: int
    ready: bool


class FleetView:
    """Members by service, and which nodes do not answer at present.

    :param node_id: Own node id.
    :param zone: Own availability zone.
    """

    def __init__(self, node_id: str, zone: str) -> None:
        self.node_id = node_id
        self.zone = zone
        self.members_by_host: dict[str, Member] = {}
        self._down_until_by_node: dict[str, float] = {}
        self._down_s_by_node: dict[str, float] = {}
        self._slow_until_by_node: dict[str, float] = {}
        self._missed_at_by_node: dict[str, float] = {}
        self._heard_at_s = 0.0

    def put(self, host: str, member: Member) -> None:
        """Take a host's newest record.

        :param host: Name of the host.
        :param member: The record.
        """
        self.members_by_host[host] = member

    def remove(self, host: str) -> None:
        """Forget a host.

        :param host: Name of the host.
        """
        self.members_by_host.pop(host, None)

    def nodes(self, now: float) -> list[str]:
        """Return the nodes that answer, this one included.

        :param now: Clock reading in seconds.
        """
        known = {member.node for member in self.members_by_host.values()}
        return sorted(n for n in known | {self.node_id} if not self.is_down(n, now))

    def nodes_by_zone(self, now: float) -> dict[str, list[str]]:
        """Return the nodes that answer, this one included, by availability zone.

        :param now: Clock reading in seconds.
        """
        zones_by_node = {
            member.node: member.zone
            for member in self.members_by_host.values()
            if not self.is_down(member.node, now)
        }
        zones_by_node[self.node_id] = self.zone
        nodes_by_zone: dict[str, list[str]] = {}
        for node, zone in sorted(zones_by_node.items()):
            nodes_by_zone.setdefault(zone, []).append(node)
        return nodes_by_zone

    @property
    def n_nodes(self) -> int:
        """Number of nodes known."""
        return max(1, len(self.members_by_host))

    def unreachable_share(self, now: float) -> float:
        """Return the part of the known nodes that did not answer lately, from 0 to 1.

        :param now: Clock reading in seconds.
        """
        known = {m.node for m in self.members_by_host.values()} - {self.node_id}
        missing = (
            node
            for node, at_s in self._missed_at_by_node.items()
            if node in known and now - at_s < UNREACHABLE_MEMORY_S
        )
        return sum(1 for _ in missing) / max(1, len(known))

    def record_message(self, node: str, now: float) -> None:
        """Note that a message of a node came.

        :param node: Node id; this node's own messages do not count.
        :param now: Clock reading in seconds.
        """
        if node != self.node_id:
            self._heard_at_s = now
            self._missed_at_by_node.pop(node, None)

    def is_isolated(self, now: float) -> bool:
        """Tell whether this node seems to reach none of the others.

        :param now: Clock reading in seconds.
        """
        is_deaf = now - self._heard_at_s >= ISOLATED_AFTER_S
        return is_deaf and self.unreachable_share(now) >= ISOLATED_UNREACHABLE_SHARE

    @property
    def n_ready(self) -> int:
        """Number of targets that take new requests."""
        return sum(member.ready for member in self.members_by_host.values())

    def candidates(self, service: str, now: float) -> Iterable[Member]:
        """Yield the members of a service that may take a request.

        :param service: Name of the service.
        :param now: Clock reading in seconds.
        """
        for member in self.members_by_host.values():
            is_due = member.service == service and member.ready
            if is_due and not self.is_down(member.node, now):
                yield member

    def n_targets(self, service: str) -> int:
        """Return the number of known targets of a service, ready or not.

        :param service: Name of the service.
        """
        return sum(m.service == service for m in self.members_by_host.values())

    def is_down(self, node: str, now: float) -> bool:
        """Tell whether a node did not answer a moment ago.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        return now < self._down_until_by_node.get(node, 0.0)

    def mark_down(self, node: str, now: float) -> None:
        """Leave a node out for a while, longer each time.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        self._missed_at_by_node[node] = now
        down_s = self._down_s_by_node.get(node, MIN_DOWN_S / 2) * 2
        self._down_s_by_node[node] = min(MAX_DOWN_S, down_s)
        self._down_until_by_node[node] = now + self._down_s_by_node[node]

    def mark_slow(self, node: str, now: float) -> None:
        """Do not wait for a node's word for a while.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        self._slow_until_by_node[node] = now + SLOW_NODE_S

    def is_slow(self, node: str, now: float) -> bool:
        """Tell whether a node let others wait for its word a moment ago.

        :param node: Node id.
        :param now: Clock reading in seconds.
        """
        return now < self._slow_until_by_node.get(node, 0.0)

    def mark_up(self, node: str) -> None:
        """Note that a node answered.

        :param node: Node id.
        """
        self._down_until_by_node.pop(node, None)
        self._down_s_by_node.pop(node, None)
        self._missed_at_by_node.pop(node, None)
