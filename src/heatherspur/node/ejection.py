"""Ejection of the targets beside this node, and the permits that limit it.

An ejector evaluates each target by its latencies and errors. A target is ejected only
with a permit of the node that holds the permits of its service.
"""

import logging

from circuits import BaseComponent, handler

from heatherspur.catalogue import CatalogueReplica
from heatherspur.core import now_s, stable_hash
from heatherspur.exchange import ExitGate
from heatherspur.limits import HolderLease
from heatherspur.link import messages as m
from heatherspur.membership import Announcement
from heatherspur.node import events
from heatherspur.node.directory import LinkDirectory
from heatherspur.ops import NodeMetrics
from heatherspur.replay import TraceWriter, record_calls
from heatherspur.routing import (
    AskPermit,
    PeerSample,
    PermitLedger,
    RoutingSettings,
    StateChanged,
    TargetEjector,
    TargetSelector,
)

__all__ = ["EjectionTask"]

DEFAULT_CLASS = "steady"

logger = logging.getLogger("heatherspur.ejection")


class EjectionTask(BaseComponent):
    """Task that owns the ejectors of the targets beside this node.

    :param replica: The catalogue in force; read only.
    :param target_selector: Reports of all targets; read only.
    :param gate: Slots of the targets beside this node; updated when probing starts or
        ends.
    :param holder_lease: Leases on shares, which include the right to grant permits.
    :param links: Links to other nodes.
    :param settings: Routing settings.
    :param metrics: Metrics of the node.
    :param trace: Records the inputs and outputs of the ejectors, or ``None``.
    """

    channel = "ejection"

    def __init__(
        self,
        replica: CatalogueReplica,
        target_selector: TargetSelector,
        gate: ExitGate,
        holder_lease: HolderLease,
        links: LinkDirectory,
        settings: RoutingSettings,
        metrics: NodeMetrics,
        trace: TraceWriter | None,
    ) -> None:
        super().__init__()
        self._replica = replica
        self._target_selector = target_selector
        self._gate = gate
        self._holder_lease = holder_lease
        self._links = links
        self._settings = settings
        self._metrics = metrics
        self._trace = trace
        self._permits = PermitLedger(settings.permit_lapse_s)
        self._announcements_by_target: dict[str, Announcement] = {}
        self.ejectors_by_target: dict[str, TargetEjector] = {}
        self._is_stopping = False

    def reports(self) -> tuple[m.TargetReport, ...]:
        """Return one report for each target beside this node."""
        pairs = self._announcements_by_target.items()
        return tuple(self._report(target, announced) for target, announced in pairs)

    def _report(self, target: str, announced: Announcement) -> m.TargetReport:
        ejector = self.ejectors_by_target[target]
        gate = self._gate.gates_by_target.get(target)
        mean, spread, bad_ratio = ejector.detector.own_sample
        return m.TargetReport(
            target=target,
            service=announced.service,
            slots=announced.slots,
            n_busy=len(gate.running) if gate else 0,
            n_queued=gate.n_waiting if gate else 0,
            state="draining" if self._is_stopping else ejector.state,
            log_ms_mean=mean,
            log_ms_spread=spread,
            bad_ratio=bad_ratio,
            n_total=ejector.detector.n_total,
        )

    @handler("target_changed")
    def _on_target_changed(self, change):
        announced = change.announcement
        target = announced.target
        if change.state == "gone":
            self._announcements_by_target.pop(target, None)
            self.ejectors_by_target.pop(target, None)
            self.fire(events.report_now(), "members")
            return
        self._announcements_by_target[target] = announced
        ejector = self.ejectors_by_target.get(target)
        if ejector is None:
            ejector = self._new_ejector(announced)
            self.ejectors_by_target[target] = ejector
        now = now_s()
        if change.state == "draining":
            self._perform(ejector.drain_target())
        else:
            self._perform(ejector.restart_target(now))
        self.fire(events.report_now(), "members")

    def _new_ejector(self, announced: Announcement) -> TargetEjector:
        arguments = (
            announced.service,
            announced.target,
            self._service_class(announced.service),
            self._settings,
            now_s(),
        )
        name = f"ejector:{announced.target}"
        return record_calls(TargetEjector(*arguments), name, arguments, self._trace)

    @handler("catalogue_changed", channel="*")
    def _on_catalogue_changed(self, _results):
        for target, announced in self._announcements_by_target.items():
            service_class = self._service_class(announced.service)
            self.ejectors_by_target[target].set_class(service_class)

    def _service_class(self, service_id: str) -> str:
        service = self._replica.state.services_by_id.get(service_id)
        return service.service_class if service else DEFAULT_CLASS

    @handler("target_sample")
    def _on_target_sample(self, service, target, service_ms, failed):
        self._metrics.record_service_time(service, service_ms, failed)
        ejector = self.ejectors_by_target.get(target)
        if ejector is not None:
            self._perform(ejector.note(service_ms, failed, now_s()))

    @handler("received")
    def _on_received(self, link, messages):
        for message in messages:
            self._receive(link, message)

    def _receive(self, link, message: m.Message) -> None:
        if isinstance(message, m.PermitRequest):
            link.send(self._decide_permit(message, now_s()))
        elif isinstance(message, m.PermitResponse):
            ejector = self.ejectors_by_target.get(message.target)
            if ejector is not None:
                self._perform(ejector.answer(message.round, message.granted, now_s()))

    def _decide_permit(self, request: m.PermitRequest, now: float) -> m.PermitResponse:
        """Grant or refuse the ejection of a target of a service."""
        service = self._replica.state.services_by_id.get(request.service)
        granted = False
        if service is not None and self._may_grant_permits(request.service, now):
            views = self._target_selector.views(request.service).values()
            n_live = sum(v.reachable and v.report.state != "draining" for v in views)
            granted = self._permits.try_grant(
                request.service, request.target, n_live, service.floor, now
            )
        extra = {
            "service": request.service,
            "target": request.target,
            "granted": granted,
        }
        logger.info("ejection: permit requested", extra=extra)
        return m.PermitResponse(request.service, request.target, request.round, granted)

    def _permit_share(self, service: str) -> int:
        """Return the index of the share whose holder keeps the permits of a service."""
        return stable_hash(service) % len(self._holder_lease.table.shares)

    def _may_grant_permits(self, service: str, now: float) -> bool:
        """Return whether this node safely holds the share that keeps the permits."""
        if self._holder_lease.table is None:
            return False
        share = self._permit_share(service)
        tenures = [
            tenure for tenure in self._holder_lease.tenures if tenure.share == share
        ]
        lease_s = self._permits.lease_s
        return any(
            self._holder_lease.can_grant_permits(tenure, lease_s, now)
            for tenure in tenures
        )

    @handler("stop_node", channel="*")
    def _on_stop_node(self):
        self._is_stopping = True
        self.fire(events.report_now(), "members")

    @handler("tick", channel="*")
    def _on_tick(self, now):
        for target, ejector in self.ejectors_by_target.items():
            announced = self._announcements_by_target[target]
            ejector.update_peers(tuple(self._peer_samples(announced)))
            gate = self._gate.gates_by_target.get(target)
            running = gate.running.values() if gate else ()
            ages_ms = tuple((now - started_s) * 1000 for _, started_s in running)
            self._perform(ejector.tick(ages_ms, now))

    def _peer_samples(self, announced: Announcement):
        for view in self._target_selector.views(announced.service).values():
            report = view.report
            if report.target == announced.target or not view.reachable:
                continue
            if report.state in ("active", "suspected", "starting"):
                yield PeerSample(
                    report.target,
                    report.log_ms_mean,
                    report.log_ms_spread,
                    report.bad_ratio,
                    report.n_total,
                )

    def _perform(self, messages) -> None:
        """Perform the actions returned by an ejector."""
        for message in messages:
            if isinstance(message, AskPermit):
                self._request_permit(message)
            elif isinstance(message, StateChanged):
                self._apply_state_change(message)

    def _request_permit(self, message: AskPermit) -> None:
        table = self._holder_lease.table
        if table is None:
            return
        holder = table.shares[self._permit_share(message.service)].node
        link = self._links.entry_links_by_node.get(holder)
        if link is not None:
            link.send(m.PermitRequest(*message))

    def _apply_state_change(self, message: StateChanged) -> None:
        self._gate.set_probing(message.target, message.new == "probing")
        self._metrics.count_transition(message)
        logger.info("ejection: target %s", message.new, extra=message._asdict())
        self.fire(events.report_now(), "members")
