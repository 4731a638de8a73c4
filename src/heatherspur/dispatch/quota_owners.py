"""Which nodes own the parts of a customer's rate limit.

Each availability zone has one owner per customer, which holds a fixed part of the
limit. All nodes derive the owners from the list of known nodes, whether or not they
reach them: nodes that reach different ones would otherwise see different owners, which
together grant more than the limit. A part whose owner is unreachable remains unused.
"""

from collections.abc import Iterator
from typing import NamedTuple

from heatherspur.core import stable_hash
from heatherspur.dispatch.types import Customer

__all__ = ["QuotaOwners", "QuotaPart"]

# Bursts below the first number of requests are raised to the second and one for each
# part, so that requests that arrive at the same time are not refused. The window still
# bounds them, and the few requests that a change of owner can add are less than the
# platform tolerates.
SMALL_BURST = 5
RAISED_BURST = 8
# Requests per window below which a limit is not divided further: most requests would
# have to ask several owners.
MIN_PART_LIMIT = 3


class QuotaPart(NamedTuple):
    """Part of a customer's limit that one node grants.

    :param node: Node id of the owner.
    :param rate: Requests per second.
    :param capacity: Most requests at the same time.
    :param limit: Most requests per window.
    :param first_level: Fraction of a token that a new bucket holds. It differs between
        the parts, so that their first tokens are due one after the other.
    """

    node: str
    rate: float
    capacity: float
    limit: int
    first_level: float


class QuotaOwners:
    """Owners of all parts of all limits, in the view of one node.

    Until the known nodes are set, no part has an owner.

    :param node_id: Id of this node.
    :param zone: Availability zone of this node.
    :param window_s: Window for which the limits are defined, in seconds.
    """

    def __init__(self, node_id: str, zone: str, window_s: float) -> None:
        self._node_id = node_id
        self._zone = zone
        self.window_s = window_s
        self._nodes_by_zone: dict[str, list[str]] = {}
        self._owners_by_zone: dict[str, dict[str, str]] = {}
        self._parts_by_customer: dict[Customer, tuple[QuotaPart, ...]] = {}

    @property
    def has_nodes(self) -> bool:
        """Whether the known nodes were set."""
        return bool(self._nodes_by_zone)

    def set_nodes(self, nodes_by_zone: dict[str, list[str]]) -> bool:
        """Set the known nodes.

        :param nodes_by_zone: Ids of all known nodes, including this one.
        :returns: Whether they have changed.
        """
        if nodes_by_zone == self._nodes_by_zone:
            return False
        for zone in self._nodes_by_zone.keys() | nodes_by_zone.keys():
            if self._nodes_by_zone.get(zone) != nodes_by_zone.get(zone):
                self._owners_by_zone.pop(zone, None)
        self._nodes_by_zone = nodes_by_zone
        self._parts_by_customer.clear()
        return True

    def clear(self) -> None:
        """Forget the owners of customers that are no longer configured."""
        self._owners_by_zone.clear()
        self._parts_by_customer.clear()

    def parts(self, customer: Customer) -> tuple[QuotaPart, ...]:
        """Return the parts of a limit in the order in which this node asks the owners.

        :param customer: A customer with a limit.
        """
        parts = self._parts_by_customer.get(customer)
        if parts is None:
            parts_by_zone = {
                zone: part._replace(node=self._owner(customer, zone))
                for zone, part in self._divide(customer)
            }
            # Messages within a zone are free of charge and fast.
            local = parts_by_zone.pop(self._zone, None)
            others = tuple(parts_by_zone.values())
            parts = others if local is None else (local, *others)
            self._parts_by_customer[customer] = parts
        return parts

    def own_part(self, customer: Customer) -> QuotaPart | None:
        """Return the part that this node owns, or ``None``.

        A node asks this for all customers whenever the nodes change, so owners in
        other zones are not computed.

        :param customer: A customer with a limit.
        """
        for zone, part in self._divide(customer):
            if zone == self._zone:
                is_owner = self._owner(customer, zone) == self._node_id
                return part._replace(node=self._node_id) if is_owner else None
        return None

    def _owner(self, customer: Customer, zone: str) -> str:
        """Return the node of a zone that owns its part of a limit."""
        owners_by_name = self._owners_by_zone.setdefault(zone, {})
        owner = owners_by_name.get(customer.name)
        if owner is None:
            name = customer.name
            nodes = self._nodes_by_zone[zone]
            owner = max(nodes, key=lambda node: (stable_hash(name, node), node))
            owners_by_name[name] = owner
        return owner

    def _divide(self, customer: Customer) -> Iterator[tuple[str, QuotaPart]]:
        """Yield the zones that have a part of a limit, and the parts without owner."""
        if not self._nodes_by_zone:
            return
        name = customer.name
        limit = max(1, int(customer.rate * self.window_s + customer.burst))
        zones = sorted(
            self._nodes_by_zone, key=lambda zone: (stable_hash(name, zone), zone)
        )
        zones = zones[: max(1, limit // MIN_PART_LIMIT)]
        burst = customer.burst
        # Each part may have a fraction of a token left over.
        spare = 1 - 1 / len(zones)
        if burst < SMALL_BURST:
            burst, spare = min(limit, RAISED_BURST), 1.0
        base, remainder = divmod(limit, len(zones))
        for i, zone in enumerate(zones):
            part_limit = base + (i < remainder)
            share = part_limit / limit
            yield (
                zone,
                QuotaPart(
                    node="",
                    rate=customer.rate * share,
                    capacity=burst * share + spare,
                    limit=part_limit,
                    first_level=i / len(zones),
                ),
            )
