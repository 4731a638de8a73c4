"""Chooses a target: two at random, the better one, own zone first.

Two random choices keep many independent choosers from running to the same target
(Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
"""

import math
import random
from collections.abc import Collection, Iterable, Iterator
from statistics import median

from heatherspur.link.messages import TargetReport
from heatherspur.routing.permits import max_ejected

__all__ = ["TargetSelector", "NoTarget", "TargetView"]

USABLE_STATES = frozenset(("active", "suspected", "starting"))
PROBE_INTERVAL_S = 0.2
STARTING_PENALTY = 2.0
DEFAULT_SERVICE_MS = 20.0
NOTABLE_FACTOR = 4.0  # at 2.0 a slow target lost its requests before its verdict
WAY_WEIGHT = 0.1
OTHER_ZONE_MS = 4.0


class NoTarget(Exception):  # noqa: N818 - an outcome, not an error of the program
    """No target of the service can take the request."""


class TargetView:
    """What this entry knows of one target.

    :param node: Node id of its exit.
    :param zone: Zone of its exit.
    :param report: Newest report.
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
        """Take a newer report.

        :param report: The report.
        """
        self.report = report
        self.n_load = report.n_busy + report.n_queued

    def record_transit_ms(self, transit_ms: float) -> None:
        """Take the time that one exchange spent outside the exit.

        :param way_ms: Milliseconds.
        """
        self.transit_ms += WAY_WEIGHT * (max(0.0, transit_ms) - self.transit_ms)

    def cost_ms(self, own_zone: str, usual_ms: float) -> float:
        """Return the expected time of one more request, in milliseconds.

        Small differences in service time count for nothing: they would send all
        requests to the target that happened to be fastest of late, and leave the
        others without the requests by which they are judged.

        :param own_zone: Zone of this entry.
        :param usual_ms: Service time that is usual in the service.
        """
        report = self.report
        service_ms = math.exp(report.log_ms_mean) if report.n_total else usual_ms
        if service_ms < usual_ms * NOTABLE_FACTOR:
            service_ms = usual_ms
        n_ahead = max(self.n_load, self.n_open)
        rounds = (n_ahead + 1) / max(1, report.slots)
        cost_ms = service_ms * max(1.0, rounds) + service_ms * rounds * 0.1
        if report.state == "starting":
            cost_ms *= STARTING_PENALTY
        away_ms = OTHER_ZONE_MS if self.zone != own_zone else 0.0
        return cost_ms + max(self.transit_ms, away_ms)


class TargetSelector:
    """The targets of all services as this entry sees them.

    :param zone: Zone of this entry.
    :param rng: Source of random choices.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._views_by_service: dict[str, dict[str, TargetView]] = {}
        self._usual_ms_by_service: dict[str, float] = {}

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
        """Take all reports of one exit; targets that it no longer names are gone.

        :param node: Node id of the exit.
        :param zone: Its zone.
        :param reports: Its reports.
        """
        named = set()
        for report in reports:
            named.add((report.service, report.target))
            views = self._views_by_service.setdefault(report.service, {})
            view = views.get(report.target)
            if view is None or view.node != node:
                view = views[report.target] = TargetView(node, zone, report)
            view.update(report)
            view.reachable = True
        for service, views in self._views_by_service.items():
            for target, view in list(views.items()):
                if view.node == node and (service, target) not in named:
                    del views[target]
        for service in {service for service, _ in named}:
            self._update_usual(service)

    def _update_usual(self, service: str) -> None:
        """Note what service time is usual among a service's targets."""
        reports = [v.report for v in self._views_by_service[service].values()]
        logs = [r.log_ms_mean for r in reports if r.n_total]
        if logs:
            self._usual_ms_by_service[service] = math.exp(median(logs))

    def remove_node(self, node: str) -> None:
        """Forget the targets of an exit that left.

        :param node: Node id of the exit.
        """
        self.update_node(node, "", ())

    def mark_reachable(self, nodes: Collection[str]) -> None:
        """Note which exits can be reached from here.

        This is this entry's own view; it ejects no target for others.

        :param nodes: Node ids of the exits that were heard lately.
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
        """Choose a target.

        :param service: Service id.
        :param floor: Floor of the service.
        :param idempotent: Whether the request may probe a returning target.
        :param excluded: Target ids that refused it already.
        :param now: Clock reading in seconds.
        :returns: The view of the target.
        :raises NoTarget: If there is none.
        """
        views = self.views(service)
        live = [v for v in views.values() if v.report.state != "draining"]
        if idempotent:
            probed = self._due_probe(live, excluded, now)
            if probed is not None:
                return probed
        usable = [
            v
            for v in self._in_use(live, floor)
            if v.reachable and v.target not in excluded
        ]
        if not usable:
            raise NoTarget(service)
        usual_ms = self._usual_ms_by_service.get(service, DEFAULT_SERVICE_MS)
        sample = self._sample(usable)
        return min(sample, key=lambda v: v.cost_ms(self._zone, usual_ms))

    def _in_use(self, live: list[TargetView], floor: float) -> list[TargetView]:
        """Return the targets that are not ejected; never less than the floor."""
        usable = [v for v in live if v.report.state in USABLE_STATES]
        n_out = len(live) - len(usable)
        n_back = n_out - max_ejected(len(live), floor)
        if n_back <= 0:
            return usable
        out = [v for v in live if v.report.state not in USABLE_STATES]
        out.sort(key=lambda v: v.report.log_ms_mean)
        return usable + out[:n_back]

    def _due_probe(
        self, live: list[TargetView], excluded: frozenset[str], now: float
    ) -> TargetView | None:
        for view in live:
            if view.report.state != "probing" or not view.reachable:
                continue
            is_due = now - view.probed_at_s >= PROBE_INTERVAL_S
            if is_due and view.n_open == 0 and view.target not in excluded:
                view.probed_at_s = now
                return view
        return None

    def _sample(self, usable: list[TargetView]) -> Iterator[TargetView]:
        """Yield two targets of the own zone and one of another, at random."""
        near = [v for v in usable if v.zone == self._zone]
        far = [v for v in usable if v.zone != self._zone]
        yield from self._rng.sample(near, min(2, len(near)))
        yield from self._rng.sample(far, min(1 if near else 2, len(far)))
