"""Entry side of a node: admits callers' requests, dispatches them and answers them."""

import logging
import math
import random
from collections.abc import Iterable
from typing import NamedTuple

from circuits import BaseComponent, handler
from result import Err, Ok, Result

from heatherspur.core import now_s
from heatherspur.dispatch import Customer, FleetSettings, Request, RoutingTable
from heatherspur.dispatch.body_budget import BodyBudget, body_limit_bytes
from heatherspur.dispatch.conf import OWNER_HANDOVER_S
from heatherspur.dispatch.dispatcher import Dispatcher
from heatherspur.dispatch.fleet import FleetView
from heatherspur.dispatch.nested_calls import NestedCalls
from heatherspur.dispatch.pending import Decision, FinalAnswer
from heatherspur.dispatch.quota import Admitted, OverLimit, QuotaClient, QuotaOwner
from heatherspur.dispatch.quota_owners import QuotaOwners
from heatherspur.dispatch.split import WeightedSplit
from heatherspur.exchange import ReplyBody, ReplyEnd, ReplyHead, SendTo
from heatherspur.link import messages as m
from heatherspur.node import events as node_events
from heatherspur.platform.headers import parse_request_metadata, retry_after_field
from heatherspur.sidecar.conf import STOP_ADMITTING_AFTER_S
from heatherspur.sidecar.incoming import IncomingRequest, Refusal, request_id_of
from heatherspur.sidecar.links import SidecarLinks
from heatherspur.sidecar.metrics import SidecarMetrics

__all__ = ["SidecarEntry"]

# Bodies are buffered whole; a node with 200 MB of memory can hold a few of this size.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Shortest time left with which a request is dispatched; with less, its deadline expires
# before it reaches the target.
MIN_DEADLINE_MS = 5
DEFAULT_RETRY_AFTER_S = 0.5
# A large body takes about this long to be passed on.
BODY_RETRY_AFTER_S = 1.0
STATUS_SUCCESS_END = 300
# Interval at which the parts of rate limits follow lost and recovered nodes.
REACHABILITY_CHECK_INTERVAL_S = 0.25

logger = logging.getLogger("heatherspur.entry")


class SidecarEntry(BaseComponent):
    """Task that takes requests from the caller server to their final answers.

    :param settings: Settings of the node.
    :param fleet: Members and their reachability.
    :param links: Links to exits.
    :param metrics: Metrics of the node.
    :param nested_calls: Calls of the target beside this node; written here.
    :ivar grants_from_s: Clock reading from which on this node grants its parts of
        limits. While the whole fleet starts for the first time, limited customers are
        refused until then.
    """

    channel = "entry"

    def __init__(
        self,
        settings: FleetSettings,
        fleet: FleetView,
        links: SidecarLinks,
        metrics: SidecarMetrics,
        nested_calls: NestedCalls,
    ) -> None:
        super().__init__()
        rng = random.Random()
        self._fleet = fleet
        self._links = links
        self._metrics = metrics
        self._nested_calls = nested_calls
        self._table: RoutingTable | None = None
        self._traffic_split = WeightedSplit(rng)
        self._dispatcher = Dispatcher(fleet, settings, rng)
        self._quota_owners = QuotaOwners(
            fleet.node_id, fleet.zone, settings.quota_window_s
        )
        self._quota_owner = QuotaOwner(self._quota_owners)
        self._quota_client = QuotaClient(
            fleet.node_id, self._quota_owners, self._quota_owner
        )
        self.grants_from_s = math.inf
        self._next_reachability_check_s = 0.0
        self._stop_admitting_at_s = float("inf")
        self._body_budget = BodyBudget(body_limit_bytes(settings.memory_bytes))
        self._incoming_by_exchange: dict[int, IncomingRequest] = {}
        self._pending_by_exchange: dict[int, Request] = {}

    @property
    def n_body_bytes(self) -> int:
        """Size of the bodies that are held, in bytes."""
        return self._body_budget.n_held

    @property
    def n_open(self) -> int:
        """Number of whole requests without a final answer."""
        return self._dispatcher.n_pending + len(self._pending_by_exchange)

    def _customers(self) -> set[Customer]:
        by_key = self._table.customers_by_key if self._table else None
        return set((by_key or {}).values())

    @handler("table_changed", channel="*")
    def _on_table_changed(self, table):
        self._table = table
        self._quota_owner.set_customers(self._customers(), now_s())

    @handler("fleet_changed", channel="*")
    def _on_fleet_changed(self):
        now = now_s()
        is_first = not self._quota_owners.has_nodes
        is_restart = is_first and self._fleet.was_member
        if is_first:
            self.grants_from_s = now if is_restart else now + OWNER_HANDOVER_S
        self._quota_client.n_nodes = self._fleet.n_nodes
        if self._quota_owners.set_nodes(self._fleet.known_nodes_by_zone()):
            self._quota_owner.update_ownership(now, not is_restart)

    def _reserve_unreachable_shares(self, now: float) -> None:
        """Reserve the parts of the rate limits that unreachable nodes admit from.

        A node that is cut off treats all other nodes as missing.
        """
        is_isolated = self._fleet.is_isolated(now)
        missing = 1.0 if is_isolated else self._fleet.unreachable_share(now)
        self._quota_client.is_isolated = is_isolated
        self._quota_owner.set_unreachable_share(missing, now)

    @handler("caller_request")
    def _on_caller_request(self, exchange, head):
        incoming = IncomingRequest(head, now_s())
        self._incoming_by_exchange[exchange] = incoming
        if not head.has_body:
            self._request_token(exchange)

    @handler("caller_body")
    def _on_caller_body(self, exchange, data):
        incoming = self._incoming_by_exchange.get(exchange)
        if incoming is None:
            return
        incoming.chunks.append(data)
        incoming.n_bytes += len(data)
        table = self._table
        limit = min(table.max_body_bytes if table else MAX_BODY_BYTES, MAX_BODY_BYTES)
        refusal = None
        if incoming.n_bytes > limit:
            refusal = Refusal(413, "body-too-long")
        elif not self._body_budget.hold(exchange, len(data)):
            refusal = Refusal(503, "no-memory", BODY_RETRY_AFTER_S)
        if refusal is not None:
            del self._incoming_by_exchange[exchange]
            self._refuse(exchange, incoming, refusal)

    @handler("caller_end")
    def _on_caller_end(self, exchange):
        self._request_token(exchange)

    def _request_token(self, exchange: int) -> None:
        """Check a whole request and request a token for its customer."""
        incoming = self._incoming_by_exchange.pop(exchange, None)
        if incoming is None:
            return
        now = now_s()
        checked = self._check(exchange, incoming, now)
        if checked.is_err():
            self._refuse(exchange, incoming, checked.err_value)
            return
        request, customer = checked.ok_value
        self._pending_by_exchange[exchange] = request
        self._perform(self._quota_client.acquire(exchange, customer, now))

    def _check(
        self, exchange: int, incoming: IncomingRequest, now: float
    ) -> Result[tuple[Request, Customer | None], Refusal]:
        """Check a request against the configuration and its deadline.

        :param exchange: Id of the exchange.
        :param incoming: The whole request.
        :param now: Clock reading in seconds.
        :returns: The request and its customer, or the reason for a refusal.
        """
        table, head = self._table, incoming.head
        if table is None:
            return Err(Refusal(503, "no-configuration", DEFAULT_RETRY_AFTER_S))
        if now > self._stop_admitting_at_s:
            return Err(Refusal(503, "stopping", DEFAULT_RETRY_AFTER_S))
        parsed_head = parse_request_metadata(head.fields)
        if parsed_head.is_err():
            error = parsed_head.err_value
            return Err(Refusal(error.status, error.reason))
        fields = parsed_head.ok_value
        path = head.target.partition("?")[0]
        route = table.find(fields.host, path)
        if route is None:
            return Err(Refusal(404, "no-route"))
        if route.open:
            self._nested_calls.start(exchange)
        customer = None
        if table.customers_by_key is not None and not route.open:
            customer = table.customers_by_key.get(fields.key)
            if customer is None:
                return Err(Refusal(401, "key-not-in-force"))
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        request = Request(
            exchange=exchange,
            attempt_id=fields.attempt_id,
            method=head.method,
            target=head.target,
            fields=fields.fields,
            body=b"".join(incoming.chunks),
            route=route,
            service=self._traffic_split.choose(route),
            customer=customer.name if customer else "",
            priority=priority,
            opened_at_s=incoming.opened_at_s,
            deadline_s=incoming.opened_at_s + fields.deadline_ms / 1000,
        )
        if request.timeout_at_s - now < MIN_DEADLINE_MS / 1000:
            return Err(Refusal(503, "deadline"))
        return Ok((request, customer))

    def _refuse(
        self, exchange: int, incoming: IncomingRequest, refusal: Refusal
    ) -> None:
        head = incoming.head
        extra = {
            "exchange": exchange,
            "request_id": request_id_of(head),
            "method": head.method,
            "status": refusal.status,
            "reason": refusal.reason,
            "table": self._table.version if self._table else 0,
        }
        logger.info("entry: request refused", extra=extra)
        self._metrics.count("not-run", refusal.reason)
        body = f"not run: {refusal.reason}\n".encode()
        self._answer(
            FinalAnswer(exchange, refusal.status, (), body, refusal.retry_after_s, True)
        )

    def _perform(self, messages: Iterable[NamedTuple]) -> None:
        """Perform the actions returned by the dispatcher or the quota client.

        An error at one of them is logged and doesn't prevent the others.
        """
        remaining = iter(messages)
        while True:
            try:
                message = next(remaining, None)
                if message is None:
                    return
                self._perform_one(message)
            except Exception as error:
                extra = {"reason": f"{type(error).__name__}: {error}"}
                logger.exception("entry: internal error", extra=extra)

    def _perform_one(self, message: NamedTuple) -> None:
        if isinstance(message, SendTo):
            self._links.send(message.node, message.message)
        elif isinstance(message, FinalAnswer):
            self._answer(message)
        elif isinstance(message, Decision):
            self._log(message)
        elif isinstance(message, Admitted):
            self._admit(message.exchange)
        elif isinstance(message, OverLimit):
            self._reject_over_limit(message)

    def _admit(self, exchange: int) -> None:
        request = self._pending_by_exchange.pop(exchange, None)
        if request is not None:
            self._perform(self._dispatcher.open(request, now_s()))

    def _reject_over_limit(self, over: OverLimit) -> None:
        request = self._pending_by_exchange.pop(over.exchange, None)
        if request is None:
            return
        inputs = {"retry_after_s": round(over.retry_after_s, 3)}
        self._log(Decision(request, "not run", "over-limit", "", inputs))
        retry_after_s = over.retry_after_s or DEFAULT_RETRY_AFTER_S
        body = b"not run: over limit\n"
        self._answer(FinalAnswer(over.exchange, 429, (), body, retry_after_s, True))

    def _answer(self, finished: FinalAnswer) -> None:
        self._body_budget.release(finished.exchange)
        is_success = finished.status < STATUS_SUCCESS_END
        self._nested_calls.finish(finished.exchange, is_success, now_s())
        fields = finished.fields
        if finished.is_local:
            fields = ((b"content-type", b"text/plain; charset=utf-8"),)
            if finished.retry_after_s > 0:
                fields = (*fields, retry_after_field(finished.retry_after_s))
        length = str(len(finished.body)).encode()
        head = ReplyHead(
            finished.exchange, finished.status, (*fields, (b"content-length", length))
        )
        body = ReplyBody(finished.exchange, finished.body)
        messages = [head, body, ReplyEnd(finished.exchange)]
        self.fire(node_events.reply(messages), "callers")

    def _log(self, decided: Decision) -> None:
        request = decided.request
        extra = {
            "request_id": request.attempt_id.decode("latin-1"),
            "exchange": request.exchange,
            "route": request.route.name,
            "service": request.service,
            "customer": request.customer,
            "reason": decided.reason,
            "node": decided.node,
            "table": self._table.version if self._table else 0,
            **decided.inputs,
        }
        logger.info("entry: %s", decided.action, extra=extra)
        self._metrics.note_decision(decided)

    @handler("stop_node", channel="*")
    def _on_stop_node(self):
        self._stop_admitting_at_s = now_s() + STOP_ADMITTING_AFTER_S
        self._dispatcher.stop_waiting(self._stop_admitting_at_s)

    @handler("end_requests")
    def _on_end_requests(self):
        """Answer every request: as not run, or as of unknown outcome."""
        refusal = Refusal(503, "stopping", DEFAULT_RETRY_AFTER_S)
        for exchange, incoming in list(self._incoming_by_exchange.items()):
            del self._incoming_by_exchange[exchange]
            self._refuse(exchange, incoming, refusal)
        for exchange, request in list(self._pending_by_exchange.items()):
            del self._pending_by_exchange[exchange]
            self._log(Decision(request, "not run", "stopping", "", {}))
            body = b"not run: stopping\n"
            final = FinalAnswer(exchange, 503, (), body, DEFAULT_RETRY_AFTER_S, True)
            self._answer(final)
        self._perform(self._dispatcher.end_all("stopping", now_s()))

    @handler("caller_gone")
    def _on_caller_gone(self, exchange):
        self._body_budget.release(exchange)
        self._incoming_by_exchange.pop(exchange, None)
        self._pending_by_exchange.pop(exchange, None)
        self._nested_calls.cancel(exchange)
        self._perform(self._dispatcher.cancel(exchange, now_s()))

    @handler("received")
    def _on_received(self, link, messages):
        now = now_s()
        for message in messages:
            self._perform(self._dispatcher.receive(message, link.node, now))

    @handler("received", channel="limits")
    def _on_limits_received(self, link, messages):
        now = now_s()
        for message in messages:
            if isinstance(message, m.TokenRequest):
                link.send(self._quota_owner.grant_tokens(message, now))
            elif isinstance(message, m.TokenGrant):
                self._perform(self._quota_client.receive(message, now))

    @handler("node_lost")
    def _on_node_lost(self, node):
        self._perform(self._quota_client.handle_node_loss(node, now_s()))
        self._perform(self._dispatcher.handle_link_loss(node, now_s()))

    @handler("tick", channel="*")
    def _on_tick(self, now):
        if now >= self._next_reachability_check_s:
            self._next_reachability_check_s = now + REACHABILITY_CHECK_INTERVAL_S
            self._reserve_unreachable_shares(now)
        self._perform(self._quota_client.tick(now))
        self._perform(self._dispatcher.tick(now))
