"""Data that the platform gives and that the dispatch decisions use."""

from typing import NamedTuple

from heatherspur.core import Address, stable_hash
from heatherspur.http import Field

__all__ = [
    "Customer",
    "FleetSettings",
    "WeightedService",
    "Request",
    "Route",
    "RoutingTable",
    "StoreSettings",
    "TargetReport",
]

# Three bytes on the wire; two routes or customers that share a tag are judged together.
N_TAGS = 65536


class WeightedService(NamedTuple):
    """One service that a route's requests may go to.

    :param service: Name of the service.
    :param weight: Share of the route's requests, relative to the other services.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests for a host and a path go, and how they are treated.

    :param name: Name of the route.
    :param host: Host in lower case.
    :param prefix: Start of the paths that it serves; ends in a slash.
    :param weighted_services: Services that run its requests.
    :param idempotent: Whether a request may run more than once.
    :param timeout_s: Longest time until the final answer, in seconds.
    :param objective_s: Time within which an answer has its full value, in seconds.
    :param max_targets: Most targets that one request may be handed to.
    :param priority: Rank of its requests; 0 goes first.
    :param open: Whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    idempotent: bool
    timeout_s: float
    objective_s: float
    max_targets: int
    priority: int
    open: bool

    @property
    def tag(self) -> int:
        """Short number that stands for the route in messages between nodes."""
        return stable_hash(self.name) % N_TAGS


class Customer(NamedTuple):
    """Whom a request runs for.

    :param name: Name of the customer.
    :param priority: Rank that goes before the route's, or ``None``.
    :param rate: Requests a second over all nodes; 0 for no limit.
    :param burst: Requests at once over all nodes.
    """

    name: str
    priority: int | None
    rate: float
    burst: float


class RoutingTable(NamedTuple):
    """One version of the operators' configuration.

    :param version: Number of the version; rises.
    :param routes_by_host: Routes, longest prefix first.
    :param customers_by_key: Customers, ``None`` where the configuration has none and
        no route asks for a key.
    :param max_head_bytes: Longest request head, in bytes.
    :param max_body_bytes: Longest request body, in bytes.
    :param head_timeout_s: Time that a caller has for a whole head, in seconds.
    :param idle_timeout_s: Time until an idle connection is closed, in seconds.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    customers_by_key: dict[str, Customer] | None
    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        :param host: Host as sent.
        :param path: Path without query.
        """
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


class TargetReport(NamedTuple):
    """What a target says of itself.

    :param target: Id of the target; a restarted one may keep it.
    :param started_at_ms: Time of its start, in milliseconds since 1970; 0 if not told.
    :param sequence: Rises with each report of one start.
    :param address: Address at which it serves, or ``None`` if not told.
    :param service: Its service; empty if not told.
    :param slots: Requests that it runs at a time; 0 if not told.
    :param ready: Whether it takes new requests.
    :param cold_s: Time for which it stays slow after its start, in seconds.
    :param gone: Whether it leaves the fleet for good.
    """

    target: str
    started_at_ms: int
    sequence: int
    address: Address | None
    service: str
    slots: int
    ready: bool
    cold_s: float
    gone: bool


class StoreSettings(NamedTuple):
    """Where the platform's store is and what it allows.

    :param address: Its address.
    """

    address: Address


class FleetSettings(NamedTuple):
    """Settings that the platform gives to a node.

    :param node: Name of the host.
    :param zone: Availability zone.
    :param callers: Where callers of this host and the target beside it connect.
    :param links: Where other nodes connect.
    :param control: Where the target beside this node reports.
    :param readiness: Where the platform asks whether the node is ready.
    :param target: Address of the target beside this node.
    :param service: Service of the target beside this node.
    :param store: The platform's store.
    :param report_gap_s: Time between two reports of the target, in seconds.
    :param grace_s: Time from the stop signal to the kill, in seconds.
    :param retry_ratio: Repeats that a service may get, relative to its requests.
    :param retry_window_s: Window over which repeats are counted, in seconds.
    :param retry_slack: Repeats allowed in a window besides the ratio.
    """

    node: str
    zone: str
    callers: Address
    links: Address
    control: Address
    readiness: Address
    target: Address
    service: str
    store: StoreSettings
    report_gap_s: float
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float


class Request(NamedTuple):
    """One caller's request, whole and admitted.

    :param exchange: Id of the exchange at this node.
    :param attempt_id: Caller's id of the request.
    :param method: Method in capitals.
    :param target: Request target as sent.
    :param fields: Fields that pass to the target.
    :param body: The body.
    :param route: Its route.
    :param service: Service chosen among those of the route.
    :param customer: Name of the customer; empty for a request without a key.
    :param priority: Rank; 0 goes first.
    :param opened_at_s: Clock reading when its head came.
    :param deadline_s: Clock reading at which the caller stops waiting.
    """

    exchange: int
    attempt_id: bytes
    method: str
    target: str
    fields: tuple[Field, ...]
    body: bytes
    route: Route
    service: str
    customer: str
    priority: int
    opened_at_s: float
    deadline_s: float

    @property
    def customer_tag(self) -> int:
        """Short number that stands for the customer in messages; 0 for none."""
        return stable_hash(self.customer) % (N_TAGS - 1) + 1 if self.customer else 0

    @property
    def timeout_at_s(self) -> float:
        """Clock reading at which the final answer is due."""
        return min(self.deadline_s, self.opened_at_s + self.route.timeout_s)

    @property
    def objective_at_s(self) -> float:
        """Clock reading until which an answer has its full value."""
        return self.opened_at_s + self.route.objective_s
