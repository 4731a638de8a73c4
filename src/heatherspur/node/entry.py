"""Entry side of a node: admits callers' requests and runs their exchanges."""

import itertools
import logging
from collections.abc import Iterable
from typing import NamedTuple

from circuits import BaseComponent, handler
from result import Err, Ok, Result

from heatherspur.catalogue import (
    OPEN_CUSTOMER_PREFIX,
    CatalogueReplica,
    ServiceEntry,
    key_digest,
)
from heatherspur.core import now_s
from heatherspur.exchange import (
    Decision,
    EntryCore,
    EntryExchange,
    Refused,
    ReplyAbort,
    ReplyBody,
    ReplyEnd,
    ReplyHead,
    SendTo,
    refusal_reply,
)
from heatherspur.http import FieldError, RequestHead, parse_caller_fields
from heatherspur.node import events
from heatherspur.node.directory import LinkDirectory
from heatherspur.ops import NodeMetrics

__all__ = ["EntryTask"]

ISOLATED_RETRY_AFTER_S = 3.0

logger = logging.getLogger("heatherspur.entry")


class Admission(NamedTuple):
    """A request that passed all checks but the rate limit.

    :param exchange: The exchange.
    :param limit_name: Name of the rate limit from which it takes a token.
    """

    exchange: EntryExchange
    limit_name: str


class EntryTask(BaseComponent):
    """Task that admits requests and connects the exchanges to links and callers.

    :param core: Decides the steps of all exchanges.
    :param replica: The catalogue in force; read only.
    :param links: Links to exits.
    :param metrics: Metrics of the node.
    """

    channel = "entry"

    def __init__(
        self,
        core: EntryCore,
        replica: CatalogueReplica,
        links: LinkDirectory,
        metrics: NodeMetrics,
    ) -> None:
        super().__init__()
        self._entry_core = core
        self._replica = replica
        self._links = links
        self._metrics = metrics
        self._limits_by_exchange: dict[int, int] = {}
        self._paused_exchanges: set[int] = set()

    @handler("caller_request")
    def _on_caller_request(self, exchange, head):
        now = now_s()
        admission = self._admit(exchange, head, now)
        if admission.is_err():
            outcome = admission.err_value
            self._log_refusal(exchange, head, outcome)
            self.fire(events.reply(list(refusal_reply(exchange, outcome))), "callers")
            return
        accepted: Admission = admission.ok_value
        self._entry_core.open(accepted.exchange)
        self._metrics.record_start(exchange, now)
        self.fire(events.acquire(accepted.limit_name, exchange), "limits")

    def _log_refusal(self, exchange: int, head: RequestHead, outcome: Refused) -> None:
        self._metrics.count_outcome("", "", "not-run", outcome.reason)
        extra = {"exchange": exchange, "method": head.method, "reason": outcome.reason}
        logger.info("entry: not run", extra=extra)

    def _admit(
        self, exchange: int, head: RequestHead, now: float
    ) -> Result[Admission, Refused]:
        """Check the key, route and length of a request.

        :param exchange: Id of the exchange.
        :param head: Head of the request.
        :param now: Clock reading in seconds.
        :returns: The admission, or the refusal with its status and reason.
        """
        parsed_fields = parse_caller_fields(head.target, head.fields)
        if parsed_fields.is_err():
            error: FieldError = parsed_fields.err_value
            return Err(Refused(error.status, error.reason))
        fields = parsed_fields.ok_value
        state = self._replica.state
        match = state.routes.find(fields.path)
        if match is None:
            is_ready = self._replica.has_state
            return Err(Refused(404 if is_ready else 503, "no-route"))
        service = state.services_by_id[match.service]
        digest = key_digest(fields.key) if fields.key is not None else b""
        customer = self._find_customer(digest, match.route.open, now)
        if customer.is_err():
            return customer
        length = _content_length(head)
        if length is not None and length > service.max_body_bytes:
            return Err(Refused(413, "body-too-long"))
        timeout_ms = min(service.timeout_ms, fields.deadline_ms or service.timeout_ms)
        new = EntryExchange(
            exchange=exchange,
            service=service,
            customer=customer.ok_value,
            key_digest=digest,
            method=head.method,
            path=fields.path,
            fields=fields.fields,
            idempotent=head.method in match.route.idempotent_methods,
            has_body=head.has_body,
            deadline_s=now + timeout_ms / 1000,
            started_at_s=now,
        )
        return Ok(
            Admission(new, customer.ok_value or OPEN_CUSTOMER_PREFIX + service.id)
        )

    def _find_customer(
        self, digest: bytes, is_open: bool, now: float
    ) -> Result[str, Refused]:
        """Return the customer of a request; empty for a caller without a key."""
        if not digest:
            return Ok("") if is_open else Err(Refused(401, "key-missing"))
        if not self._replica.can_admit_keyed_requests(now):
            return Err(Refused(503, "catalogue-not-current", ISOLATED_RETRY_AFTER_S))
        owner = self._replica.state.owners_by_digest.get(digest)
        if owner is None:
            return Err(Refused(401, "key-not-in-force"))
        if owner.customer not in self._replica.state.customers_by_id:
            return Err(Refused(403, "customer-not-in-force"))
        return Ok(owner.customer)

    @handler("admitted")
    def _on_admitted(self, exchange):
        self._perform(self._entry_core.admit(exchange, now_s()))

    @handler("limited")
    def _on_limited(self, exchange, retry_after_s, over_limit):
        status, reason = (429, "over-limit") if over_limit else (503, "no-limit-holder")
        self._perform(
            self._entry_core.refuse(exchange, Refused(status, reason, retry_after_s))
        )

    @handler("caller_body")
    def _on_caller_body(self, exchange, data):
        known = self._entry_core.exchanges_by_id.get(exchange)
        if known is None:
            return
        service: ServiceEntry = known.service
        if known.n_body_bytes + len(data) > service.max_body_bytes:
            self._perform(self._entry_core.reject_body(exchange))
            return
        self._perform(self._entry_core.receive_body(exchange, data))
        if not self._entry_core.can_accept_body(exchange):
            self._paused_exchanges.add(exchange)
            self.fire(events.pause_body(exchange, True), "callers")

    @handler("caller_end")
    def _on_caller_end(self, exchange):
        self._perform(self._entry_core.receive_body_end(exchange))

    @handler("caller_gone")
    def _on_caller_gone(self, exchange):
        self._perform(self._entry_core.cancel(exchange))

    @handler("caller_took")
    def _on_caller_took(self, exchange, n_bytes):
        self._perform(self._entry_core.forward_credit(exchange, n_bytes))

    @handler("received")
    def _on_received(self, link, messages):
        now = now_s()
        streams = (
            self._entry_core.receive(message, link.node, now) for message in messages
        )
        self._perform(itertools.chain.from_iterable(streams))
        if self._paused_exchanges:
            self._resume_bodies()

    def _resume_bodies(self) -> None:
        for exchange in list(self._paused_exchanges):
            if self._entry_core.can_accept_body(exchange):
                self._paused_exchanges.discard(exchange)
                self.fire(events.pause_body(exchange, False), "callers")

    @handler("node_lost")
    def _on_node_lost(self, node):
        self._perform(self._entry_core.handle_link_loss(node, now_s()))

    @handler("tick", channel="*")
    def _on_tick(self, now):
        self._perform(self._entry_core.tick(now))

    def _perform(self, messages: Iterable[NamedTuple]) -> None:
        """Perform the actions returned by the exchange core."""
        replies, decisions = [], []
        for message in messages:
            if isinstance(message, SendTo):
                link = self._links.entry_links_by_node.get(message.node)
                if link is not None:
                    link.send(message.message)
            elif isinstance(message, Decision):
                decisions.append(message)
            elif isinstance(message, ReplyHead | ReplyBody | ReplyEnd | ReplyAbort):
                replies.append(message)
        if replies:
            self.fire(events.reply(replies), "callers")
        if decisions:
            self.fire(events.decided(decisions), "entry")

    @handler("decided")
    def _on_decided(self, decisions):
        for decision in decisions:
            self._log(decision)

    def _log(self, decision: Decision) -> None:
        self._metrics.count_decision(decision, now_s())
        level = logging.DEBUG if decision.action == "answered" else logging.INFO
        if logger.isEnabledFor(level):
            logger.log(level, "entry: %s", decision.action, extra=decision._asdict())


def _content_length(head: RequestHead) -> int | None:
    for name, value in head.fields:
        if name == b"content-length":
            return int(value)
    return None
