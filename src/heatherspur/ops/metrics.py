"""Metrics of a node, exposed by the operations listener."""

from collections import Counter, defaultdict

from aioprometheus import Counter as CounterMetric
from aioprometheus import Gauge, Histogram, Registry, render

__all__ = ["NodeMetrics"]

SECONDS_BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
MAX_START_TIMES = 100_000
MAX_PENDING = 10_000


class NodeMetrics:
    """All metrics of one node.

    Observations are buffered and added to the registry in batches, because an update of
    the registry takes too long to be made for each request.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self._started_by_exchange: dict[int, float] = {}
        self._outcomes: Counter[tuple[str, str, str, str]] = Counter()
        self._request_seconds: dict[tuple[str, str], list[float]] = defaultdict(list)
        self._service_seconds: dict[str, list[float]] = defaultdict(list)
        self._n_pending = 0
        self.requests = self._counter(
            "heatherspur_requests_total",
            "Requests by service, customer, outcome and reason.",
        )
        self.retries = self._counter(
            "heatherspur_retries_total", "Attempts after the first, by service."
        )
        self.transitions = self._counter(
            "heatherspur_target_transitions_total",
            "Changes of a target's state, by target and new state.",
        )
        self.failures = self._counter(
            "heatherspur_target_failures_total",
            "Requests handed to a target without a whole answer, by service.",
        )
        self.request_seconds = self._histogram(
            "heatherspur_request_seconds",
            "Time from a request's head to the end of its answer, by customer.",
        )
        self.service_seconds = self._histogram(
            "heatherspur_target_service_seconds",
            "Time from hand-over to the head of the answer, by service.",
        )
        self.gauges = Gauge(
            "heatherspur_node_state",
            "Counts of this node, by kind.",
            registry=self.registry,
        )

    def _counter(self, name: str, doc: str) -> CounterMetric:
        return CounterMetric(name, doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(name, doc, registry=self.registry, buckets=SECONDS_BUCKETS)

    def record_start(self, exchange: int, now: float) -> None:
        """Record the start time of an exchange.

        :param exchange: Id of the exchange.
        :param now: Clock reading in seconds.
        """
        if len(self._started_by_exchange) < MAX_START_TIMES:
            self._started_by_exchange[exchange] = now

    def count_outcome(
        self, service: str, customer: str, outcome: str, reason: str
    ) -> None:
        """Count a request by its outcome.

        :param service: Service id.
        :param customer: Customer id.
        :param outcome: Outcome of the request.
        :param reason: Reason of the outcome.
        """
        self._outcomes[service, customer, outcome, reason] += 1

    def count_decision(self, decision, now: float) -> None:
        """Count a decision of the entry, and the duration of a finished request.

        :param decision: A :class:`~heatherspur.exchange.Decision`.
        :param now: Clock reading in seconds.
        """
        if decision.action == "sent to target":
            if decision.reason != "attempt-1":
                self.retries.inc({"service": decision.service})
            return
        if decision.action not in ("answered", "not run", "outcome unknown"):
            if decision.action == "cancelled":
                self._started_by_exchange.pop(decision.exchange, None)
            return
        outcome = decision.action.replace("outcome ", "").replace(" ", "-")
        customer = decision.customer
        self.count_outcome(decision.service, customer, outcome, decision.reason)
        started_s = self._started_by_exchange.pop(decision.exchange, None)
        if started_s is not None:
            self._request_seconds[decision.service, customer].append(now - started_s)
            self._flush_if_full()

    def count_transition(self, change) -> None:
        """Count a change of a target's state.

        :param change: A :class:`~heatherspur.routing.StateChanged`.
        """
        self.transitions.inc({"target": change.target, "state": change.new})

    def record_service_time(
        self, service: str, service_ms: float, failed: bool
    ) -> None:
        """Record a request that a target has finished.

        :param service: Service id.
        :param service_ms: Time from hand-over to the head of the answer, in ms.
        :param failed: Whether the target gave no complete answer.
        """
        self._service_seconds[service].append(service_ms / 1000)
        if failed:
            self.failures.inc({"service": service})

    def _flush_if_full(self) -> None:
        self._n_pending += 1
        if self._n_pending >= MAX_PENDING:
            self._flush_pending()

    def _flush_pending(self) -> None:
        """Add the buffered observations to the registry."""
        self._n_pending = 0
        names = ("service", "customer", "outcome", "reason")
        for values, number in self._outcomes.items():
            self.requests.add(dict(zip(names, values, strict=True)), number)
        self._outcomes.clear()
        for (service, customer), seconds in self._request_seconds.items():
            for value in seconds:
                labels = {"service": service, "customer": customer}
                self.request_seconds.observe(labels, value)
        self._request_seconds.clear()
        for service, seconds in self._service_seconds.items():
            for value in seconds:
                self.service_seconds.observe({"service": service}, value)
        self._service_seconds.clear()

    def render(self, counts: dict[str, float]) -> tuple[bytes, str]:
        """Return all metrics as text and their content type.

        :param counts: Current counts of the node, by kind.
        """
        self._flush_pending()
        for kind, value in counts.items():
            self.gauges.set({"kind": kind}, value)
        body, fields = render(self.registry, [])
        return body, fields["Content-Type"]
