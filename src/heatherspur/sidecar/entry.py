"""Admits callers' requests and answers them."""

import logging
import random
from collections.abc import Iterable
from typing import NamedTuple

from circuits import BaseComponent, handler
from result import Err, Ok, Result

from heatherspur.core import now_s
from heatherspur.dispatch import Customer, FleetSettings, Request, RoutingTable
from heatherspur.dispatch.dispatcher import Dispatcher
from heatherspur.dispatch.fleet import FleetView
from heatherspur.dispatch.pending import Decision, FinalAnswer
from heatherspur.dispatch.quota import Admitted, OverLimit, QuotaClient, QuotaOwner
from heatherspur.dispatch.split import WeightedSplit
from heatherspur.exchange import ReplyBody, ReplyEnd, ReplyHead, SendTo
from heatherspur.http import RequestHead
from heatherspur.link import messages as m
from heatherspur.node import events as node_events
from heatherspur.platform.headers import parse_request_metadata, retry_after_field
from heatherspur.sidecar.conf import STOP_ADMITTING_AFTER_S
from heatherspur.sidecar.links import SidecarLinks
from heatherspur.sidecar.metrics import SidecarMetrics

__all__ = ["SidecarEntry"]

# Bodies are held whole; a node of 200 MB has room for some of this size.
MAX_BODY_BYTES = 16 * 1024 * 1024
# The target's shortest useful time; less is over before the request arrives.
MIN_DEADLINE_MS = 5
RETRY_SOON_S = 0.5
# How soon a node that was lost or came back changes the owners of limits.
OWNERS_INTERVAL_S = 0.25

logger = logging.getLogger("heatherspur.entry")


class Refusal(NamedTuple):
    """A request that is answered here; it has not run.

    :param status: HTTP status code.
    :param reason: Short name of the reason.
    :param retry_after_s: When to come back, in seconds; 0 for no advice.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0


class _Incoming:
    """A request whose body is not whole yet, or that waits for a token."""

    def __init__(self, head: RequestHead, now: float) -> None:
        self.head = head
        self.opened_at_s = now
        self.chunks: list[bytes] = []
        self.n_bytes = 0


class SidecarEntry(BaseComponent):
    """The entry side of a node.

    :param settings: Settings of the platform.
    :param fleet: Members and their reachability.
    :param links: Links to exits.
    :param metrics: Metrics of the node.
    """

    channel = "entry"

    def __init__(
        self,
        settings: FleetSettings,
        fleet: FleetView,
        links: SidecarLinks,
        metrics: SidecarMetrics,
    ) -> None:
        super().__init__()
        rng = random.Random()
        self._fleet = fleet
        self._links = links
        self._metrics = metrics
        self._table: RoutingTable | None = None
        self._split = WeightedSplit(rng)
        self._dispatcher = Dispatcher(fleet, settings, rng)
        self._owner = QuotaOwner()
        self._quota = QuotaClient(fleet.node_id, self._owner)
        self._next_owners_s = 0.0
        self._stop_admitting_at_s = float("inf")
        self._incoming_by_exchange: dict[int, _Incoming] = {}
        self._admitting_by_exchange: dict[int, Request] = {}

    @property
    def n_open(self) -> int:
        """Number of requests without a final answer."""
        return self._dispatcher.n_pending + len(self._admitting_by_exchange)

    def _customers(self) -> set[Customer]:
        by_key = self._table.customers_by_key if self._table else None
        return set((by_key or {}).values())

    @handler("table_changed", channel="*")
    def _on_table_changed(self, table):
        self._table = table
        self._owner.set_customers(self._customers(), now_s())
        self._choose_owners()

    def _choose_owners(self) -> None:
        now = now_s()
        is_isolated = self._fleet.is_isolated(now)
        missing = 1.0 if is_isolated else self._fleet.unreachable_share(now)
        self._quota.is_isolated = is_isolated
        self._owner.set_unreachable_share(missing, now)
        nodes = self._fleet.nodes(now)
        self._quota.set_nodes(nodes, self._fleet.n_nodes, self._customers(), now)

    @handler("caller_request")
    def _on_caller_request(self, exchange, head):
        incoming = _Incoming(head, now_s())
        self._incoming_by_exchange[exchange] = incoming
        if not head.has_body:
            self._take(exchange)

    @handler("caller_body")
    def _on_caller_body(self, exchange, data):
        incoming = self._incoming_by_exchange.get(exchange)
        if incoming is None:
            return
        incoming.chunks.append(data)
        incoming.n_bytes += len(data)
        table = self._table
        limit = min(table.max_body_bytes if table else MAX_BODY_BYTES, MAX_BODY_BYTES)
        if incoming.n_bytes > limit:
            del self._incoming_by_exchange[exchange]
            self._refuse(exchange, incoming, Refusal(413, "body-too-long"))

    @handler("caller_end")
    def _on_caller_end(self, exchange):
        self._take(exchange)

    def _take(self, exchange: int) -> None:
        """Check a whole request and ask for its token."""
        incoming = self._incoming_by_exchange.pop(exchange, None)
        if incoming is None:
            return
        now = now_s()
        checked = self._check(exchange, incoming, now)
        if checked.is_err():
            self._refuse(exchange, incoming, checked.err_value)
            return
        request, customer = checked.ok_value
        self._admitting_by_exchange[exchange] = request
        self._run(self._quota.acquire(exchange, customer, now))

    def _check(
        self, exchange: int, incoming: _Incoming, now: float
    ) -> Result[tuple[Request, Customer | None], Refusal]:
        table, head = self._table, incoming.head
        if table is None:
            return Err(Refusal(503, "no-configuration", RETRY_SOON_S))
        if now > self._stop_admitting_at_s:
            return Err(Refusal(503, "stopping", RETRY_SOON_S))
        sorted_head = parse_request_metadata(head.fields)
        if sorted_head.is_err():
            error = sorted_head.err_value
            return Err(Refusal(error.status, error.reason))
        fields = sorted_head.ok_value
        path = head.target.partition("?")[0]
        route = table.find(fields.host, path)
        if route is None:
            return Err(Refusal(404, "no-route"))
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
            service=self._split.choose(route),
            customer=customer.name if customer else "",
            priority=priority,
            opened_at_s=incoming.opened_at_s,
            deadline_s=incoming.opened_at_s + fields.deadline_ms / 1000,
        )
        if request.timeout_at_s - now < MIN_DEADLINE_MS / 1000:
            return Err(Refusal(503, "deadline"))
        return Ok((request, customer))

    def _refuse(self, exchange: int, incoming: _Incoming, refusal: Refusal) -> None:
        head = incoming.head
        extra = {
            "exchange": exchange,
            "request_id": _request_id(head),
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

    def _run(self, messages: Iterable[NamedTuple]) -> None:
        """Carry out what a decision core says."""
        for message in messages:
            if isinstance(message, SendTo):
                self._links.send(message.node, message.message)
            elif isinstance(message, FinalAnswer):
                self._answer(message)
            elif isinstance(message, Decision):
                self._log(message)
            elif isinstance(message, Admitted):
                self._admit(message.exchange)
            elif isinstance(message, OverLimit):
                self._limit(message)

    def _admit(self, exchange: int) -> None:
        request = self._admitting_by_exchange.pop(exchange, None)
        if request is not None:
            self._run(self._dispatcher.open(request, now_s()))

    def _limit(self, over: OverLimit) -> None:
        request = self._admitting_by_exchange.pop(over.exchange, None)
        if request is None:
            return
        inputs = {"retry_after_s": round(over.retry_after_s, 3)}
        self._log(Decision(request, "not run", "over-limit", "", inputs))
        retry_after_s = over.retry_after_s or RETRY_SOON_S
        body = b"not run: over limit\n"
        self._answer(FinalAnswer(over.exchange, 429, (), body, retry_after_s, True))

    def _answer(self, finished: FinalAnswer) -> None:
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

    @handler("caller_gone")
    def _on_caller_gone(self, exchange):
        self._incoming_by_exchange.pop(exchange, None)
        self._admitting_by_exchange.pop(exchange, None)
        self._run(self._dispatcher.cancel(exchange, now_s()))

    @handler("received")
    def _on_received(self, link, messages):
        now = now_s()
        for message in messages:
            self._run(self._dispatcher.receive(message, link.node, now))

    @handler("received", channel="limits")
    def _on_limits_received(self, link, messages):
        now = now_s()
        for message in messages:
            if isinstance(message, m.TokenRequest):
                link.send(self._owner.grant_tokens(message, now))
            elif isinstance(message, m.TokenGrant):
                self._run(self._quota.receive(message, now))

    @handler("node_lost")
    def _on_node_lost(self, node):
        self._run(self._dispatcher.handle_link_loss(node, now_s()))

    @handler("tick", channel="*")
    def _on_tick(self, now):
        if now >= self._next_owners_s:
            self._next_owners_s = now + OWNERS_INTERVAL_S
            self._choose_owners()
        self._run(self._quota.tick(now))
        self._run(self._dispatcher.tick(now))


def _request_id(head: RequestHead) -> str:
    sorted_head = parse_request_metadata(head.fields)
    return (
        sorted_head.ok_value.attempt_id.decode("latin-1") if sorted_head.is_ok() else ""
    )
