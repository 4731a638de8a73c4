"""Application that assembles and runs the tasks of one node."""

import logging
import random
import secrets
import signal as signals
from typing import Any

from circuits import handler
from circuits.core.pollers import EPoll

from heatherspur.catalogue import (
    CatalogueReplica,
    NodeRecord,
    new_change_id,
    node_leave,
)
from heatherspur.core import now_s
from heatherspur.exchange import EntryCore, ExitGate
from heatherspur.link import LinkHub
from heatherspur.membership import PeerTable
from heatherspur.net import Ticker
from heatherspur.node import events
from heatherspur.node.callers import CallerServer
from heatherspur.node.catalogue import CatalogueTask
from heatherspur.node.conf import NodeSettings
from heatherspur.node.directory import LinkDirectory
from heatherspur.node.ejection import EjectionTask
from heatherspur.node.entry import EntryTask
from heatherspur.node.exit import ExitTask
from heatherspur.node.limits import LimitsTask
from heatherspur.node.members import MembersTask
from heatherspur.ops import NodeLoop, NodeMetrics, OpsServer
from heatherspur.platform import LogHub, append
from heatherspur.replay import TraceWriter, record_calls
from heatherspur.routing import RetryBudget, TargetSelector

__all__ = ["NodeApp"]

TICK_S = 0.1
INCARNATION_BYTES = 8
MIN_STOP_S = 2.5
MAX_LEAVE_WAIT_S = 1.0
STOP_SIGNALS = (signals.SIGTERM, signals.SIGINT)

logger = logging.getLogger("heatherspur.node")


class NodeApp(NodeLoop):
    """Root component of a node; it owns all tasks and the shutdown.

    :param settings: Settings of the node.
    """

    channel = "node"

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__()
        self._settings = settings
        self._stopping_since_s: float | None = None
        self._has_sent_leave = False
        self._leave_at_s = 0.0
        now = now_s()
        poller = EPoll().register(self)
        Ticker(TICK_S).register(self)
        self._own_record = NodeRecord(
            settings.advertise or str(settings.link),
            secrets.token_hex(INCARNATION_BYTES),
            settings.zone,
            str(settings.ops),
        )
        self.metrics = NodeMetrics()
        self._replica = CatalogueReplica(now, settings.membership.isolation_s)
        self._links = LinkDirectory()
        self._build_routing(now)
        self._build_tasks()
        for hub in (self._caller_server, self._exit, self._hub, self._log):
            hub.attach(poller)

    def _build_routing(self, now: float) -> None:
        settings = self._settings
        rng = random.Random(settings.seed or None)
        routing = settings.routing
        self._target_selector = TargetSelector(settings.zone, rng)
        budget = RetryBudget(routing.retry_percent, now)
        self._entry_core = EntryCore(
            self._target_selector,
            budget,
            routing.max_attempts,
            lambda: self._replica.state.offset,
        )
        max_age_s = settings.exchange.max_request_age_s
        arguments = (self._own_record.incarnation, max_age_s)
        self._trace = TraceWriter(settings.trace) if settings.trace else None
        name = f"gate:{self._own_record.node}"
        self._gate = record_calls(ExitGate(*arguments), name, arguments, self._trace)
        self._peers = PeerTable(self._own_record.node, settings.membership)

    def _build_tasks(self) -> None:
        settings, replica, links = self._settings, self._replica, self._links
        me = self._own_record
        identity = (me.node, me.incarnation, me.zone)
        self._log = LogHub(settings.platform).register(self)
        self._hub = LinkHub(settings.links, lambda: identity).register(self)
        self._caller_server = CallerServer(settings.http).register(self)
        self._entry = EntryTask(
            self._entry_core, replica, links, self.metrics
        ).register(self)
        self._exit = ExitTask(self._gate, replica).register(self)
        interval_s = settings.platform.snapshot_interval_s
        CatalogueTask(replica, links, me.node, interval_s).register(self)
        self._limits = LimitsTask(me, replica, links, self._peers, settings.limits)
        self._limits.register(self)
        self._ejection = EjectionTask(
            replica,
            self._target_selector,
            self._gate,
            self._limits.holder_lease,
            links,
            settings.routing,
            self.metrics,
            self._trace,
        ).register(self)
        self._members = MembersTask(
            me,
            self._peers,
            replica,
            self._hub,
            links,
            self._target_selector,
            self._entry_core,
            self._ejection.reports,
            settings.membership.heartbeat_s,
        ).register(self)

    @handler("started", channel="*")
    def _on_started(self, *_):
        settings = self._settings
        try:
            self._hub.listen(settings.link)
            self._caller_server.listen(settings.callers)
        except OSError as error:
            extra = {"step": "listen", "reason": str(error)}
            logger.error("node: failed to bind an address", extra=extra)
            raise SystemExit(1) from error
        self._members.open_local()
        OpsServer(settings.ops, self.status, self._render_metrics).register(self)
        extra = {
            "zone": settings.zone,
            "callers": str(settings.callers),
            "link": str(settings.link),
            "ops": str(settings.ops),
            "incarnation": self._own_record.incarnation,
        }
        logger.info("node: started", extra=extra)

    @handler("signal", channel="*")
    def _on_signal(self, signo, _stack):
        if signo not in STOP_SIGNALS or self._stopping_since_s is not None:
            return
        self._stopping_since_s = now_s()
        logger.info("node: stopping", extra={"work_in_hand": self._n_open_requests})
        self.fire(events.stop_node(), "*")

    @property
    def _n_open_requests(self) -> int:
        return self._caller_server.n_exchanges + self._exit.n_exchanges

    @handler("tick", channel="*")
    def _on_tick(self, now):
        if self._stopping_since_s is None:
            return
        age_s = now - self._stopping_since_s
        is_done = self._n_open_requests == 0 and age_s > MIN_STOP_S
        if not is_done and age_s <= self._settings.exchange.drain_s:
            return
        if not self._has_sent_leave:
            self._has_sent_leave = True
            record = node_leave(
                new_change_id(), self._own_record.node, self._own_record.incarnation
            )
            self.fire(append(record), "log")
            self._leave_at_s = now
        elif now - self._leave_at_s > MAX_LEAVE_WAIT_S or self._log.idle:
            logger.info("node: stopped", extra={"work_in_hand": self._n_open_requests})
            raise SystemExit(0)

    def status(self) -> dict[str, Any]:
        """Return the state of this node that operators can query."""
        now = now_s()
        replica, holder_lease = self._replica, self._limits.holder_lease
        return {
            "node": self._own_record.node,
            "incarnation": self._own_record.incarnation,
            "zone": self._own_record.zone,
            "stopping": self._stopping_since_s is not None,
            "catalogue": {
                "offset": replica.state.offset,
                "head_age_s": round(replica.head_age_s(now), 3),
                "log_reachable": self._log.reachable,
                "admits_keys": replica.can_admit_keyed_requests(now),
                "n_keys": len(replica.state.owners_by_digest),
            },
            "limits": {
                "epoch": holder_lease.epoch,
                "shares": [list(tenure) for tenure in holder_lease.tenures],
                "lending": [
                    tenure.share
                    for tenure in holder_lease.tenures
                    if holder_lease.can_grant_tokens(tenure, now)
                ],
            },
            "nodes": [peer.node for peer in self._peers.alive_peers(now)],
            "targets": [
                {
                    "node": view.node,
                    "reachable": view.reachable,
                    **view.report._asdict(),
                }
                for view in self._target_selector.all_views()
            ],
            "work_in_hand": self._n_open_requests,
            "link_bytes_sent": self._hub.n_sent_bytes,
        }

    def _render_metrics(self) -> tuple[bytes, str]:
        now = now_s()
        counts = {
            "callers": self._caller_server.n_callers,
            "exchanges_entry": self._caller_server.n_exchanges,
            "exchanges_exit": self._exit.n_exchanges,
            "nodes_alive": sum(1 for _ in self._peers.alive_peers(now)),
            "catalogue_offset": self._replica.state.offset,
            "log_appends": self._log.n_appends,
            "limit_accounts": self._limits.token_client.n_accounts,
        }
        return self.metrics.render(counts)
