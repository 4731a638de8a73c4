"""Counters and latency histograms of a node on the users' platform."""

from collections import Counter

from aioprometheus import Counter as CounterMetric
from aioprometheus import Gauge, Histogram, Registry, render

from heatherspur.dispatch.pending import Decision

__all__ = ["SidecarMetrics"]

SECONDS_BUCKETS = (0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
# Registering takes longer than counting; it waits until somebody asks, or for this
# many answers.
MAX_UNREGISTERED = 4096


class SidecarMetrics:
    """All metrics of one node; what a request counts is registered when asked for."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._outcomes: Counter[tuple[str, str]] = Counter()
        self._seconds: list[tuple[str, float]] = []
        self._requests = CounterMetric(
            "heatherspur_requests_total",
            "Requests by outcome and reason.",
            registry=self._registry,
        )
        self._request_seconds = Histogram(
            "heatherspur_request_seconds",
            "Time from a request's head to its answer, by service.",
            registry=self._registry,
            buckets=SECONDS_BUCKETS,
        )
        self._gauges = Gauge(
            "heatherspur_node_state",
            "Counts of this node, by kind.",
            registry=self._registry,
        )

    def count(self, outcome: str, reason: str) -> None:
        """Count an event.

        :param outcome: What happened.
        :param reason: Short name of the reason.
        """
        self._outcomes[outcome, reason] += 1

    def note_decision(self, decided: Decision) -> None:
        """Count a decision of the entry.

        :param decided: The decision.
        """
        self.count(decided.action.replace(" ", "-"), decided.reason)
        if decided.action == "answered":
            seconds = decided.inputs["total_ms"] / 1000
            self._seconds.append((decided.request.service, seconds))
        if len(self._seconds) >= MAX_UNREGISTERED:
            self._register()

    def render(self, counts: dict[str, float]) -> tuple[bytes, str]:
        """Return all metrics as text and their content type.

        :param counts: Counts of the node, by kind.
        """
        self._register()
        for kind, value in counts.items():
            self._gauges.set({"kind": kind}, value)
        body, fields = render(self._registry, [])
        return body, fields["Content-Type"]

    def _register(self) -> None:
        for (outcome, reason), number in self._outcomes.items():
            self._requests.add({"outcome": outcome, "reason": reason}, number)
        self._outcomes.clear()
        for service, seconds in self._seconds:
            self._request_seconds.observe({"service": service}, seconds)
        self._seconds.clear()
