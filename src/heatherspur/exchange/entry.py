"""Sends requests to targets and decides their outcomes, at the entry.

An exchange ends with exactly one outcome: the complete response, a refusal that states
that the request did not run, or the statement that this is unknown. A request is sent
to a second target only if the first one refused it for good, or if it is idempotent.

The module does no I/O: it receives clock readings and messages, and returns messages.
"""

import heapq
from collections.abc import Callable, Iterator
from functools import singledispatchmethod
from typing import NamedTuple

from heatherspur.exchange.entry_exchange import BODY_WINDOW_BYTES, EntryExchange
from heatherspur.exchange.outcomes import (
    Answered,
    Outcome,
    Refused,
    Unknown,
    reply_fields,
)
from heatherspur.exchange.replies import (
    Decision,
    ReplyAbort,
    ReplyBody,
    ReplyEnd,
    ReplyHead,
    SendTo,
    refusal_reply,
)
from heatherspur.link import messages as m
from heatherspur.routing import NoTarget, RetryBudget, TargetSelector, TargetView

__all__ = ["EntryCore"]

REFUSAL_MARGIN_MS = 50
MIN_DEADLINE_WITH_MARGIN_MS = 200
MIN_ATTEMPT_MS = 5.0
DEFAULT_RETRY_AFTER_S = 1.0


class EntryCore:
    """All open exchanges of one entry.

    :param target_selector: Selects targets, as seen by this entry.
    :param budget: Retry budget.
    :param max_attempts: Most attempts for one request.
    :param current_offset: Returns the log offset up to which this node has applied
        records.
    """

    def __init__(
        self,
        target_selector: TargetSelector,
        budget: RetryBudget,
        max_attempts: int,
        current_offset: Callable[[], int],
    ) -> None:
        self._target_selector = target_selector
        self._budget = budget
        self._max_attempts = max_attempts
        self._next_number = 1
        self.exchanges_by_id: dict[int, EntryExchange] = {}
        self._exchanges_by_number: dict[int, EntryExchange] = {}
        self._deadlines: list[tuple[float, int]] = []
        self.incarnations_by_node: dict[str, str] = {}
        self.clocks_by_node: dict[str, float] = {}
        self._current_offset = current_offset

    def open(self, exchange: EntryExchange) -> None:
        """Add an exchange whose request is not admitted yet; its deadline applies.

        :param exchange: The exchange.
        """
        self.exchanges_by_id[exchange.exchange] = exchange
        heapq.heappush(self._deadlines, (exchange.deadline_s, exchange.exchange))

    def admit(self, exchange_id: int, now: float) -> Iterator[NamedTuple]:
        """Start the first attempt of a request that was admitted.

        :param exchange_id: Id of the exchange.
        :param now: Clock reading in seconds.
        :returns: Messages.
        """
        exchange = self.exchanges_by_id.get(exchange_id)
        if exchange is not None:
            self._budget.record_request()
            yield from self._start_attempt(exchange, now)

    def refuse(self, exchange_id: int, outcome: Refused) -> Iterator[NamedTuple]:
        """Refuse a request that was not sent to an exit.

        :param exchange_id: Id of the exchange.
        :param outcome: The refusal.
        :returns: Messages.
        """
        exchange = self.exchanges_by_id.get(exchange_id)
        if exchange is not None:
            yield from refusal_reply(exchange_id, outcome)
            yield self._make_decision(exchange, "not run", outcome.reason)
            self._close(exchange)

    def reject_body(self, exchange_id: int) -> Iterator[NamedTuple]:
        """Close an exchange whose request body is longer than allowed.

        :param exchange_id: Id of the exchange.
        :returns: Messages.
        """
        exchange = self.exchanges_by_id.get(exchange_id)
        if exchange is None:
            return
        was_sent = exchange.view is not None or exchange.may_have_run
        if exchange.view is not None:
            yield SendTo(exchange.view.node, m.Cancel(exchange.number))
        outcome = Unknown(413, "body-too-long")
        if not was_sent:
            outcome = Refused(413, "body-too-long")
        if exchange.response_started:
            yield ReplyAbort(exchange_id)
        else:
            yield from refusal_reply(exchange_id, outcome)
        yield self._make_decision(exchange, "cancelled", outcome.reason)
        self._close(exchange)

    def _start_attempt(
        self, exchange: EntryExchange, now: float
    ) -> Iterator[NamedTuple]:
        left_ms = (exchange.deadline_s - now) * 1000
        if left_ms < MIN_ATTEMPT_MS:
            yield from self._end_unanswered(exchange, 504, "deadline")
            return
        service = exchange.service
        try:
            view = self._target_selector.select(
                service.id,
                service.floor,
                exchange.idempotent,
                exchange.refused_by,
                now,
            )
        except NoTarget:
            yield from self._end_unanswered(exchange, 503, "no-target")
            return
        self._assign_target(exchange, view, now)
        yield self._make_decision(
            exchange, "sent to target", f"attempt-{exchange.n_attempts}"
        )
        yield SendTo(view.node, self._request_head(exchange, int(left_ms)))
        yield from self._send_body(exchange)

    def _assign_target(
        self, exchange: EntryExchange, view: TargetView, now: float
    ) -> None:
        exchange.number, self._next_number = self._next_number, self._next_number + 1
        exchange.view = view
        exchange.sent_at_s = now
        exchange.n_attempts += 1
        exchange.n_sent_chunks = 0
        exchange.end_sent = False
        exchange.credit = BODY_WINDOW_BYTES
        self._exchanges_by_number[exchange.number] = exchange
        view.n_open += 1

    def _request_head(self, exchange: EntryExchange, left_ms: int) -> m.RequestHead:
        """Build the request; its deadline leaves time for a refusal by the exit."""
        node = exchange.view.node
        if left_ms > MIN_DEADLINE_WITH_MARGIN_MS:
            left_ms -= REFUSAL_MARGIN_MS
        return m.RequestHead(
            number=exchange.number,
            incarnation=self.incarnations_by_node.get(node, ""),
            echo_clock_s=self.clocks_by_node.get(node, 0.0),
            target=exchange.view.target,
            service=exchange.service.id,
            offset=self._current_offset(),
            customer=exchange.customer,
            key_digest=exchange.key_digest,
            method=exchange.method,
            path=exchange.path,
            fields=exchange.fields,
            deadline_ms=left_ms,
            idempotent=exchange.idempotent,
            has_body=exchange.has_body,
        )

    def receive_body(self, exchange_id: int, data: bytes) -> Iterator[NamedTuple]:
        """Process a chunk of the request body from the caller.

        :param exchange_id: Id of the exchange.
        :param data: The chunk.
        :returns: Messages.
        """
        exchange = self.exchanges_by_id.get(exchange_id)
        if exchange is not None:
            exchange.body.append(data)
            exchange.n_body_bytes += len(data)
            yield from self._send_body(exchange)

    def receive_body_end(self, exchange_id: int) -> Iterator[NamedTuple]:
        """Record that the request body is complete.

        :param exchange_id: Id of the exchange.
        :returns: Messages.
        """
        exchange = self.exchanges_by_id.get(exchange_id)
        if exchange is not None:
            exchange.body_ended = True
            yield from self._send_body(exchange)

    def can_accept_body(self, exchange_id: int) -> bool:
        """Return whether the caller may send more of the request body.

        :param exchange_id: Id of the exchange.
        :returns: Whether less than a window of the body is unsent; also true if the
            exchange is closed.
        """
        exchange = self.exchanges_by_id.get(exchange_id)
        if exchange is None:
            return True
        n_unsent = sum(map(len, exchange.body[exchange.n_sent_chunks :]))
        return n_unsent < BODY_WINDOW_BYTES

    def _send_body(self, exchange: EntryExchange) -> Iterator[SendTo]:
        """Send as much of the request body as the exit's flow control allows."""
        if exchange.view is None or not exchange.has_body:
            return
        node, number = exchange.view.node, exchange.number
        while exchange.credit > 0 and exchange.n_sent_chunks < len(exchange.body):
            data = exchange.body[exchange.n_sent_chunks]
            exchange.credit -= len(data)
            exchange.n_sent_chunks += 1
            yield SendTo(node, m.RequestBody(number, data))
        is_all_sent = exchange.n_sent_chunks == len(exchange.body)
        if exchange.body_ended and is_all_sent and not exchange.end_sent:
            exchange.end_sent = True
            yield SendTo(node, m.RequestEnd(number))

    @singledispatchmethod
    def receive(
        self, message: m.Message, node: str, now: float
    ) -> Iterator[NamedTuple]:
        """Process a message of an exit; messages for closed exchanges are dropped.

        :param message: The message.
        :param node: Node id of the exit.
        :param now: Clock reading in seconds.
        :returns: Messages.
        :raises TypeError: If an exit does not send messages of this type.
        """
        raise TypeError(f"message {message!r} is not one that an exit sends")

    def _find_exchange(self, number: int, node: str) -> EntryExchange | None:
        exchange = self._exchanges_by_number.get(number)
        if exchange is None or exchange.view is None or exchange.view.node != node:
            return None
        return exchange

    @receive.register
    def _on_credit(self, message: m.Credit, node: str, now: float):
        exchange = self._find_exchange(message.number, node)
        if exchange is None:
            return
        exchange.credit += message.n_bytes
        if exchange.n_body_bytes > BODY_WINDOW_BYTES:
            del exchange.body[: exchange.n_sent_chunks]
            exchange.n_sent_chunks = 0
            exchange.body_dropped = True
        yield from self._send_body(exchange)

    @receive.register
    def _on_refusal(self, message: m.Refusal, node: str, now: float):
        exchange = self._find_exchange(message.number, node)
        if exchange is None:
            return
        target = exchange.view.target
        exchange.refused_by |= {target}
        self._release_target(exchange)
        yield self._make_decision(exchange, "refused by exit", message.reason, target)
        if self._may_retry(exchange, now):
            yield from self._start_attempt(exchange, now)
        else:
            retry_after_s = message.retry_after_ms / 1000
            yield from self._end_unanswered(
                exchange, 503, message.reason, retry_after_s
            )

    @receive.register
    def _on_failure(self, message: m.Failure, node: str, now: float):
        exchange = self._find_exchange(message.number, node)
        if exchange is not None:
            yield from self._handle_lost_attempt(exchange, 502, message.reason, now)

    @receive.register
    def _on_head(self, message: m.ResponseHead, node: str, now: float):
        exchange = self._find_exchange(message.number, node)
        if exchange is None or exchange.response_started:
            return
        exchange.response_started = True
        total_ms = (now - exchange.sent_at_s) * 1000
        exchange.view.record_transit_ms(
            total_ms - message.queue_ms - message.service_ms
        )
        exchange.view.n_load = message.n_load
        fields = (*message.fields, *reply_fields(Answered()))
        yield ReplyHead(exchange.exchange, message.status, fields)

    @receive.register
    def _on_body(self, message: m.ResponseBody, node: str, now: float):
        exchange = self._find_exchange(message.number, node)
        if exchange is not None and exchange.response_started:
            yield ReplyBody(exchange.exchange, message.data)

    @receive.register
    def _on_end(self, message: m.ResponseEnd, node: str, now: float):
        exchange = self._find_exchange(message.number, node)
        if exchange is None or not exchange.response_started:
            return
        yield ReplyEnd(exchange.exchange)
        yield self._make_decision(exchange, "answered", "whole", exchange.view.target)
        self._close(exchange)

    def forward_credit(self, exchange_id: int, n_bytes: int) -> Iterator[SendTo]:
        """Grant the exit flow-control credit for bytes that the caller has received.

        :param exchange_id: Id of the exchange.
        :param n_bytes: Number of bytes.
        :returns: Messages.
        """
        exchange = self.exchanges_by_id.get(exchange_id)
        if exchange is not None and exchange.view is not None:
            yield SendTo(exchange.view.node, m.Credit(exchange.number, n_bytes))

    def cancel(self, exchange_id: int) -> Iterator[NamedTuple]:
        """Close an exchange whose caller has disconnected.

        :param exchange_id: Id of the exchange.
        :returns: Messages.
        """
        exchange = self.exchanges_by_id.get(exchange_id)
        if exchange is None:
            return
        if exchange.view is not None:
            yield SendTo(exchange.view.node, m.Cancel(exchange.number))
        yield self._make_decision(exchange, "cancelled", "caller-gone")
        self._close(exchange)

    def handle_link_loss(self, node: str, now: float) -> Iterator[NamedTuple]:
        """Handle the loss of the link to an exit, for all its exchanges.

        :param node: Node id of the exit.
        :param now: Clock reading in seconds.
        :returns: Messages.
        """
        for exchange in list(self._exchanges_by_number.values()):
            if exchange.view is not None and exchange.view.node == node:
                yield from self._handle_lost_attempt(exchange, 502, "link-lost", now)

    def tick(self, now: float) -> Iterator[NamedTuple]:
        """Close exchanges whose deadline has passed.

        :param now: Clock reading in seconds.
        :returns: Messages.
        """
        while self._deadlines and self._deadlines[0][0] <= now:
            _, exchange_id = heapq.heappop(self._deadlines)
            exchange = self.exchanges_by_id.get(exchange_id)
            if exchange is None:
                continue
            if exchange.view is not None:
                yield SendTo(exchange.view.node, m.Cancel(exchange.number))
                exchange.may_have_run = True
            yield from self._end_unanswered(exchange, 504, "response-timeout")

    def _handle_lost_attempt(
        self, exchange: EntryExchange, status: int, reason: str, now: float
    ) -> Iterator[NamedTuple]:
        """Handle an attempt that may have run but has no complete response.

        An idempotent request is sent again, unless its response has started.
        """
        target = exchange.view.target
        exchange.may_have_run = True
        exchange.refused_by |= {target}
        self._release_target(exchange)
        yield self._make_decision(exchange, "lost", reason, target)
        can_run_again = exchange.idempotent and not exchange.response_started
        if can_run_again and self._may_retry(exchange, now):
            yield from self._start_attempt(exchange, now)
        else:
            yield from self._end_unanswered(exchange, status, reason)

    def _may_retry(self, exchange: EntryExchange, now: float) -> bool:
        if exchange.n_attempts >= self._max_attempts or exchange.body_dropped:
            return False
        return now < exchange.deadline_s and self._budget.try_spend(now)

    def _end_unanswered(
        self,
        exchange: EntryExchange,
        status: int,
        reason: str,
        retry_after_s: float = DEFAULT_RETRY_AFTER_S,
    ) -> Iterator[NamedTuple]:
        """Close an exchange without a complete response.

        The caller receives a refusal if no attempt may have run, and otherwise an
        unknown outcome. If its response has started, the connection is broken instead.
        """
        outcome: Outcome = Refused(503, reason, max(retry_after_s, 0.2))
        if exchange.may_have_run:
            outcome = Unknown(504 if status == 504 else 502, reason)
        if exchange.response_started:
            yield ReplyAbort(exchange.exchange)
        else:
            yield from refusal_reply(exchange.exchange, outcome)
        action = "not run" if isinstance(outcome, Refused) else "outcome unknown"
        yield self._make_decision(exchange, action, reason)
        self._close(exchange)

    def _release_target(self, exchange: EntryExchange) -> None:
        """Detach an exchange from its target, after an attempt ended."""
        self._exchanges_by_number.pop(exchange.number, None)
        if exchange.view is not None:
            exchange.view.n_open -= 1
            exchange.view = None

    def _close(self, exchange: EntryExchange) -> None:
        self._release_target(exchange)
        self.exchanges_by_id.pop(exchange.exchange, None)

    def _make_decision(
        self, exchange: EntryExchange, action: str, reason: str, target: str = ""
    ) -> Decision:
        if not target and exchange.view is not None:
            target = exchange.view.target
        service = exchange.service.id
        return Decision(
            exchange.exchange, action, service, exchange.customer, target, reason
        )
