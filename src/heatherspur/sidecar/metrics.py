"""Counters and latency histograms of a node on the users' platform."""

from collections import Counter
from collections.abc import Mapping

from aioprometheus import Counter as CounterMetric
from aioprometheus import Gauge, Histogram, Registry, render

from heatherspur.dispatch.pending import Decision

__all__ = ["SidecarMetrics"]

SECONDS_BUCKETS = (0.005, 0.025, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
# Updating the registry is slower than counting, so updates are batched until the
# metrics are rendered or this many latencies are pending.
MAX_PENDING_SAMPLES = 4096


class SidecarMetrics:
    """All metrics of one node; updates are batched until they are rendered."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._pending_outcomes: Counter[tuple[str, str]] = Counter()
        self._pending_seconds: list[tuple[str, float]] = []
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
        self._dropped_lines = Gauge(
            "heatherspur_log_lines_dropped",
            "Log lines dropped since the start because nobody read them, by message.",
            registry=self._registry,
        )

    def count(self, outcome: str, reason: str) -> None:
        """Count one event.

        :param outcome: Outcome, in lower case with hyphens.
        :param reason: Short name of the reason.
        """
        self._pending_outcomes[outcome, reason] += 1

    def note_decision(self, decided: Decision) -> None:
        """Count a decision of the entry, and the latency of an answered request.

        :param decided: The decision.
        """
        self.count(decided.action.replace(" ", "-"), decided.reason)
        if decided.action == "answered":
            seconds = decided.inputs["total_ms"] / 1000
            self._pending_seconds.append((decided.request.service, seconds))
        if len(self._pending_seconds) >= MAX_PENDING_SAMPLES:
            self._export_pending()

    def render(
        self, counts: dict[str, float], n_dropped_by_message: Mapping[str, int]
    ) -> tuple[bytes, str]:
        """Render all metrics.

        :param counts: Current state of the node, by kind.
        :param n_dropped_by_message: Number of dropped log lines by their message.
        :returns: The metrics as text, and their content type.
        """
        self._export_pending()
        for kind, value in counts.items():
            self._gauges.set({"kind": kind}, value)
        for message, number in n_dropped_by_message.items():
            self._dropped_lines.set({"message": message}, number)
        body, fields = render(self._registry, [])
        return body, fields["Content-Type"]

    def _export_pending(self) -> None:
        for (outcome, reason), number in self._pending_outcomes.items():
            self._requests.add({"outcome": outcome, "reason": reason}, number)
        self._pending_outcomes.clear()
        for service, seconds in self._pending_seconds:
            self._request_seconds.observe({"service": service}, seconds)
        self._pending_seconds.clear()
