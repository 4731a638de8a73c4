"""Selects the target of a request: the cheapest of a few random candidates.

Candidates come mainly from the entry's own zone. With two random candidates, many
independent entries do not all select the same target at the same time (Mitzenmacher,
"The power of two choices in randomized load balancing", 2001).
"""

import math
import random
from collections.abc import Collection, Iterable, Iterator
from statistics import median

from heatherspur.link.messages import TargetReport
from heatherspur.routing.permits import max_ejected

__all__ = ["TargetSelector", "NoTarget", "TargetView"]

SELECTABLE_STATES = frozenset(("active", "suspected", "starting"))
PROBE_INTERVAL_S = 0.2
STARTING_COST_FACTOR = 2.0
DEFAULT_SERVICE_MS = 20.0
# At 2.0, a slow target lost its requests before the outlier detector could evaluate it.
MIN_SLOWDOWN_FACTOR = 4.0
TRANSIT_SMOOTHING = 0.1
CROSS_ZONE_TRANSIT_MS = 4.0


class NoTarget(Exception):  # noqa: N818 - an outcome, not an error of the program
    """No target of the service can receive the request."""


class TargetView:
    """State of one target as seen by this entry.

    :param node: Node id of the target's exit.
    :param zone: Zone of the exit.
    :param report: Newest report of the exit on the target.
    """

    __slots__ = (
        "n_load",
        "n_open",
        "node",
        "probed_at_s",
        "reachable",
        "report",
        "transit_ms",
        "zone",
    )

    def __init__(self, node: str, zone: str, report: TargetReport) -> None:
        self.node = node
        self.zone = zone
        self.report = report
        self.reachable = True
        self.n_open = 0
        self.n_load = 0
        self.transit_ms = 0.0
        self.probed_at_s = 0.0

    @property
    def target(self) -> str:
        """Target id."""
        return self.report.target

    def update(self, report: TargetReport) -> None:
        """Store a newer report.

        :param report: The report.
        """
        self.report = report
        self.n_load = report.n_busy + report.n_queued

    def record_transit_ms(self, transit_ms: float) -> None:
        """Update the moving average of the time that exchanges spend outside the exit.

        :param transit_ms: Time of one exchange, in milliseconds.
        """
        self.transit_ms += TRANSIT_SMOOTHING * (max(0.0, transit_ms) - self.transit_ms)

    def cost_ms(self, own_zone: str, typical_ms: float) -> float:
        """Return the expected time of one more request, in milliseconds.

        Small differences in service time are ignored. Otherwise all requests would go
        to the target that was fastest recently, and the others would not get the
        requests that the outlier detector needs to evaluate them.

        :param own_zone: Zone of this entry.
        :param typical_ms: Typical service time in the service, in milliseconds.
        """
        report = self.report
        service_ms = math.exp(report.log_ms_mean) if report.n_total else typical_ms
        if service_ms < typical_ms * MIN_SLOWDOWN_FACTOR:
            service_ms = typical_ms
        n_outstanding = max(self.n_load, self.n_open)
        rounds = (n_outstanding + 1) / max(1, report.slots)
        cost_ms = service_ms * max(1.0, rounds) + service_ms * rounds * 0.1
        if report.state == "starting":
            cost_ms *= STARTING_COST_FACTOR
        zone_transit_ms = CROSS_ZONE_TRANSIT_MS if self.zone != own_zone else 0.0
        return cost_ms + max(self.transit_ms, zone_transit_ms)


class TargetSelector:
    """Selects among the targets of all services, as seen by this entry.

    :param zone: Zone of this entry.
    :param rng: Random number generator.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._views_by_service: dict[str, dict[str, TargetView]] = {}
        self._typical_ms_by_service: dict[str, float] = {}

    def views(self, service: str) -> dict[str, TargetView]:
        """Return the views of a service's targets, by target id."""
        return self._views_by_service.get(service, {})

    def all_views(self) -> Iterator[TargetView]:
        """Yield the views of all targets."""
        for views in self._views_by_service.values():
            yield from views.values()

    def update_node(
        self, node: str, zone: str, reports: Iterable[TargetReport]
    ) -> None:
        """Store the reports of one exit, and remove targets that it no longer reports.

        :param node: Node id of the exit.
        :param zone: Zone of the exit.
        :param reports: Reports on all targets of the exit.
        """
        reported = set()
        for report in reports:
            reported.add((report.service, report.target))
            views = self._views_by_service.setdefault(report.service, {})
            view = views.get(report.target)
            if view is None or view.node != node:
                view = views[report.target] = TargetView(node, zone, report)
            view.update(report)
            view.reachable = True
        for service, views in self._views_by_service.items():
            for target, view in list(views.items()):
                if view.node == node and (service, target) not in reported:
                    del views[target]
        for service in {service for service, _ in reported}:
            self._update_typical_ms(service)

    def _update_typical_ms(self, service: str) -> None:
        """Update the typical service time of a service: the median of its targets."""
        reports = [v.report for v in self._views_by_service[service].values()]
        logs = [r.log_ms_mean for r in reports if r.n_total]
        if logs:
            self._typical_ms_by_service[service] = math.exp(median(logs))

    def remove_node(self, node: str) -> None:
        """Remove the targets of an exit that left.

        :param node: Node id of the exit.
        """
        self.update_node(node, "", ())

    def mark_reachable(self, nodes: Collection[str]) -> None:
        """Record which exits this entry can reach.

        Reachability is this entry's own view; it does not eject targets for other
        entries.

        :param nodes: Node ids of the exits that sent a message recently.
        """
        for view in self.all_views():
            view.reachable = view.node in nodes

    def select(
        self,
        service: str,
        floor: float,
        idempotent: bool,
        excluded: frozenset[str],
        now: float,
    ) -> TargetView:
        """Select the target of a request.

        :param service: Service id.
        :param floor: Least share of the service's targets that stays in use, 0 to 1.
        :param idempotent: Whether the request may be used to probe an ejected target.
        :param excluded: Ids of targets that have already refused the request.
        :param now: Clock reading in seconds.
        :returns: The view of the target.
        :raises NoTarget: If no target can receive the request.
        """
        views = self.views(service)
        live = [v for v in views.values() if v.report.state != "draining"]
        if idempotent:
            probe = self._due_probe(live, excluded, now)
            if probe is not None:
                return probe
        usable = [
            v
            for v in self._in_use(live, floor)
            if v.reachable and v.target not in excluded
        ]
        if not usable:
            raise NoTarget(service)
        typical_ms = self._typical_ms_by_service.get(service, DEFAULT_SERVICE_MS)
        sample = self._sample(usable)
        return min(sample, key=lambda v: v.cost_ms(self._zone, typical_ms))

    def _in_use(self, live: list[TargetView], floor: float) -> list[TargetView]:
        """Return the targets that are not ejected.

        If more targets are ejected than the floor allows, the fastest of them are
        included.
        """
        usable = [v for v in live if v.report.state in SELECTABLE_STATES]
        n_ejected = len(live) - len(usable)
        n_excess = n_ejected - max_ejected(len(live), floor)
        if n_excess <= 0:
            return usable
        out = [v for v in live if v.report.state not in SELECTABLE_STATES]
        out.sort(key=lambda v: v.report.log_ms_mean)
        return usable + out[:n_excess]

    def _due_probe(
        self, live: list[TargetView], excluded: frozenset[str], now: float
    ) -> TargetView | None:
        """Return a target that is due for a probe and has no open request, if any."""
        for view in live:
            if view.report.state != "probing" or not view.reachable:
                continue
            is_due = now - view.probed_at_s >= PROBE_INTERVAL_S
            if is_due and view.n_open == 0 and view.target not in excluded:
                view.probed_at_s = now
                return view
        return None

    def _sample(self, usable: list[TargetView]) -> Iterator[TargetView]:
        """Yield random candidates: two of the own zone and one of another zone.

        If the own zone has none, two of other zones.
        """
        local = [v for v in usable if v.zone == self._zone]
        remote = [v for v in usable if v.zone != self._zone]
        yield from self._rng.sample(local, min(2, len(local)))
        yield from self._rng.sample(remote, min(1 if local else 2, len(remote)))
