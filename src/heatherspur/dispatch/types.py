"""Configuration, target reports and requests that the dispatch decisions use."""

from typing import NamedTuple

from heatherspur.core import Address, stable_hash
from heatherspur.http import Field

__all__ = [
    "MAX_SEQUENCE",
    "MAX_SLOTS",
    "MAX_START_MS",
    "Customer",
    "FleetSettings",
    "WeightedService",
    "Request",
    "Route",
    "RoutingTable",
    "StoreSettings",
    "TargetReport",
]

# A tag takes three bytes on the wire. Routes or customers whose tags collide share
# their statistics.
N_TAGS = 65536
# Limits on what a target or a record in the store may state about a target. Numbers
# above them come from another writer, and would never be superseded by true ones.
MAX_SLOTS = 1024
MAX_SEQUENCE = 2**53
# End of the year 9999, in milliseconds since 1970.
MAX_START_MS = 253_402_300_799_999


class WeightedService(NamedTuple):
    """A service of a route and its share of the traffic.

    :param service: Name of the service.
    :param weight: Share of the route's requests, relative to the other services.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """The services for a host and a path prefix, and how their requests are handled.

    :param name: Name of the route.
    :param host: Value of the ``Host`` field in lower case.
    :param prefix: Path prefix that the route matches; ends in a slash.
    :param weighted_services: Services that run the requests, with their weights.
    :param idempotent: Whether a request may run more than once.
    :param timeout_s: Maximum time until the final answer, in seconds.
    :param objective_s: Latency objective, in seconds.
    :param max_targets: Maximum number of targets that a request is sent to.
    :param priority: Priority of the requests; 0 is the highest.
    :param open: Whether requests are accepted without an API key.
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
        """Hash that identifies the route in messages between nodes."""
        return stable_hash(self.name) % N_TAGS


class Customer(NamedTuple):
    """A tenant with its priority and rate limit.

    :param name: Name of the customer.
    :param priority: Priority that overrides that of the route, or ``None``.
    :param rate: Allowed requests per second over all nodes; 0 for no limit.
    :param burst: Allowed burst of requests over all nodes.
    """

    name: str
    priority: int | None
    rate: float
    burst: float


class RoutingTable(NamedTuple):
    """One version of the routing configuration.

    :param version: Version number; increases with each change.
    :param routes_by_host: Routes of each host, longest prefix first.
    :param customers_by_key: Customers by API key; ``None`` if the configuration has
        none and no route requires a key.
    :param max_head_bytes: Maximum size of a request head, in bytes.
    :param max_body_bytes: Maximum size of a request body, in bytes.
    :param head_timeout_s: Maximum time to receive a whole head, in seconds.
    :param idle_timeout_s: Time after which an idle connection is closed, in seconds.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    customers_by_key: dict[str, Customer] | None
    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, ``None`` if none matches.

        :param host: Value of the ``Host`` field as received.
        :param path: Path without the query.
        """
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


class TargetReport(NamedTuple):
    """A status report that a target sends about itself.

    :param target: Id of the target; a restarted target may keep it.
    :param started_at_ms: Start time, in milliseconds since 1970; 0 if not reported.
    :param sequence: Sequence number of the report, increasing since the start.
    :param address: Address at which it serves, or ``None`` if not reported.
    :param service: Its service; empty if not reported.
    :param slots: Number of requests that it runs concurrently; 0 if not reported.
    :param ready: Whether it accepts new requests.
    :param cold_s: Duration of its warm-up after the start, in seconds.
    :param gone: Whether it leaves the fleet permanently.
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
    """Settings of the platform's store.

    :param address: Address of the store.
    """

    address: Address


class FleetSettings(NamedTuple):
    """Settings of a node that the platform provides.

    :param node: Name of the host.
    :param zone: Availability zone.
    :param callers: Listening address for callers on this host and its local target.
    :param links: Listening address for links of other nodes.
    :param control: Listening address for reports of the local target.
    :param readiness: Listening address for readiness checks of the platform.
    :param target: Address of the local target.
    :param service: Service of the local target.
    :param store: Settings of the platform's store.
    :param report_gap_s: Interval between reports of the target, in seconds.
    :param memory_bytes: Memory that the process may use, in bytes.
    :param grace_s: Grace period between the stop signal and the kill, in seconds.
    :param retry_ratio: Allowed retries of a service, relative to its requests.
    :param retry_window_s: Window over which retries are counted, in seconds.
    :param retry_slack: Retries allowed per window in addition to the ratio.
    :param quota_window_s: Window for which limits of customers are defined, in seconds.
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
    memory_bytes: int
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    quota_window_s: float


class Request(NamedTuple):
    """A complete and admitted request of a caller.

    :param exchange: Id of the HTTP exchange at this node.
    :param attempt_id: Request id that the caller assigned.
    :param method: HTTP method in upper case.
    :param target: HTTP request target as received.
    :param fields: Header fields that are forwarded.
    :param body: Body of the request.
    :param route: Route that matches the request.
    :param service: Service selected from those of the route.
    :param customer: Name of the customer; empty for a request without a key.
    :param priority: Priority; 0 is the highest.
    :param opened_at_s: Clock reading when its head was received.
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
        """Hash that identifies the customer in messages between nodes; 0 for none."""
        return stable_hash(self.customer) % (N_TAGS - 1) + 1 if self.customer else 0

    @property
    def timeout_at_s(self) -> float:
        """Clock reading at which the final answer is due."""
        return min(self.deadline_s, self.opened_at_s + self.route.timeout_s)

    @property
    def objective_at_s(self) -> float:
        """Clock reading at which the latency objective expires."""
        return self.opened_at_s + self.route.objective_s
