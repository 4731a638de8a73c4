"""Exit side of a node: runs requests at the targets beside it; owns their sockets."""

import logging
from collections.abc import Iterable

import h11
from circuits import handler

from heatherspur.catalogue import OPEN_CUSTOMER_PREFIX, CatalogueReplica
from heatherspur.core import now_s
from heatherspur.exchange import Arrival, ExchangeKey, ExitGate, Refuse, Start
from heatherspur.http import (
    SHED_FIELD,
    BodyChunk,
    Fault,
    MessageEnd,
    ResponseHead,
    end_to_end_response_fields,
)
from heatherspur.link import messages as m
from heatherspur.membership import Announcement
from heatherspur.net import Stream, StreamHub
from heatherspur.node import events
from heatherspur.node.target_connections import (
    ExitExchange,
    IdleConnections,
    TargetConnection,
    request_fields,
)

__all__ = ["ExitTask"]

CONNECT_TIMEOUT_S = 1.0
WRITE_STEP_BYTES = 65536
CREDIT_STEP_BYTES = 32768
DEFAULT_RETRY_AFTER_MS = 200
DEFAULT_MAX_QUEUE = 64
# Body of a response that only states that the request was shed.
MAX_SHED_BYTES = 65536
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503
# A cancellation this close to the deadline counts as a failure of the target.
LATE_CANCEL_MARGIN_S = 0.1

logger = logging.getLogger("heatherspur.exit")


class ExitTask(StreamHub):
    """Task that sends the requests admitted by the gate to the targets.

    :param gate: Admission control and queues of the targets beside this node.
    :param replica: The catalogue in force; read only.
    """

    def __init__(self, gate: ExitGate, replica: CatalogueReplica) -> None:
        super().__init__(channel="exit")
        self._gate = gate
        self._replica = replica
        self._exchanges_by_key: dict[ExchangeKey, ExitExchange] = {}
        self._announcements_by_target: dict[str, Announcement] = {}
        self._idle_connections = IdleConnections()

    @property
    def n_exchanges(self) -> int:
        """Number of requests that are queued or running here."""
        return len(self._exchanges_by_key)

    @handler("target_changed")
    def _on_target_changed(self, change):
        announced = change.announcement
        target = announced.target
        if change.state == "ready":
            self._announcements_by_target[target] = announced
            self._open_gate(announced)
            return
        self._announcements_by_target.pop(target, None)
        self._perform(self._gate.close_target(target))
        self._idle_connections.close_target(target)

    def _open_gate(self, announced: Announcement) -> None:
        service = self._replica.state.services_by_id.get(announced.service)
        max_queue = service.max_queue if service else DEFAULT_MAX_QUEUE
        self._gate.set_target(announced.target, announced.slots, max_queue)

    @handler("catalogue_changed", channel="*")
    def _on_catalogue_changed(self, _results):
        for announced in self._announcements_by_target.values():
            self._open_gate(announced)

    @handler("received")
    def _on_received(self, link, messages):
        for message in messages:
            self._receive(link, message)

    def _receive(self, link, message: m.Message) -> None:
        key = ExchangeKey(link.incarnation, message.number)
        if isinstance(message, m.RequestHead):
            self._on_request(key, link, message)
            return
        exchange = self._exchanges_by_key.get(key)
        if exchange is None or exchange.link is not link:
            return
        if isinstance(message, m.RequestBody):
            exchange.body.append(message.data)
            self._send_body(exchange)
        elif isinstance(message, m.RequestEnd):
            exchange.body_ended = True
            self._send_body(exchange)
        elif isinstance(message, m.Cancel):
            self._cancel(exchange, "cancelled")
        elif isinstance(message, m.Credit):
            exchange.window_bytes += message.n_bytes
            if exchange.window_bytes > 0 and exchange.connection is not None:
                exchange.connection.stream.resume()

    def _on_request(self, key: ExchangeKey, link, head: m.RequestHead) -> None:
        now = now_s()
        reason = self._check_key(head)
        customer = head.customer or OPEN_CUSTOMER_PREFIX + head.service
        arrival = Arrival(
            key=key,
            incarnation=head.incarnation,
            echo_clock_s=head.echo_clock_s,
            target=head.target,
            customer=customer,
            deadline_ms=head.deadline_ms,
            idempotent=head.idempotent,
        )
        if key in self._exchanges_by_key:
            return
        exchange = ExitExchange(key, link, head, now)
        self._exchanges_by_key[key] = exchange
        messages = list(self._gate.arrive(arrival, reason, now))
        if not messages and not self._gate.contains(key):
            del self._exchanges_by_key[key]
        self._perform(messages)

    def _check_key(self, head: m.RequestHead) -> str | None:
        """Check the key of a request again, as this node may be ahead of the entry.

        The withdrawal of a key may be applied here before it is applied at the entry.

        :param head: Head of the request.
        :returns: The reason for a refusal, or ``None``.
        """
        if not head.key_digest:
            return None
        state = self._replica.state
        owner = state.owners_by_digest.get(head.key_digest)
        if owner is None:
            return "key-not-in-force" if state.offset >= head.offset else None
        return None if owner.customer == head.customer else "key-of-other-customer"

    def _perform(self, messages: Iterable[Start | Refuse]) -> None:
        """Perform the actions returned by the gate."""
        for message in messages:
            if isinstance(message, Start):
                self._start(message)
            else:
                self._refuse(message)

    def _refuse(self, refusal: Refuse) -> None:
        exchange = self._exchanges_by_key.pop(refusal.key, None)
        if exchange is None:
            return
        number = refusal.key.number
        message = m.Refusal(number, refusal.reason, refusal.retry_after_ms)
        exchange.link.send(message)
        self._log("refused", exchange, refusal.reason)

    def _start(self, start: Start) -> None:
        exchange = self._exchanges_by_key.get(start.key)
        if exchange is None:
            self._perform(self._gate.finish(start.key, None, now_s()))
            return
        exchange.queue_ms = start.queue_ms
        announced = self._announcements_by_target[exchange.head.target]
        connection = self._idle_connections.take(announced, now_s())
        if connection is None:
            connection = TargetConnection(announced.target, announced.address)
            connection.exchange = exchange
            exchange.connection = connection
            connection.stream = self.connect(
                announced.address, CONNECT_TIMEOUT_S, connection
            )
            return
        connection.exchange = exchange
        exchange.connection = connection
        self._send_request(exchange)

    def on_connected(self, stream: Stream) -> None:
        """Send the request that the connection was opened for, or close it."""
        connection: TargetConnection = stream.context
        if connection.exchange is None:
            stream.close()
        else:
            self._send_request(connection.exchange)

    def _send_request(self, exchange: ExitExchange) -> None:
        """Send the request to the target, unless its deadline has passed."""
        now = now_s()
        if now >= exchange.deadline_s:
            self._refuse_unsent(exchange, "deadline")
            return
        head, protocol = exchange.head, exchange.connection.protocol
        left_ms = max(1, int((exchange.deadline_s - now) * 1000))
        fields = tuple(request_fields(head, left_ms))
        try:
            data = protocol.send_request(head.method, head.path, fields)
        except h11.LocalProtocolError as error:
            logger.warning("exit: invalid request head", extra={"reason": str(error)})
            self._refuse_unsent(exchange, "request-invalid")
            return
        exchange.sent_at_s = now
        self._log("handed to target", exchange, f"queued-{exchange.queue_ms:.1f}-ms")
        self._send_body(exchange, data)

    def _refuse_unsent(self, exchange: ExitExchange, reason: str) -> None:
        """Refuse a request that was not sent to its target."""
        connection, exchange.connection = exchange.connection, None
        if connection is not None:
            connection.exchange = None
            connection.stream.close()
        self._perform(self._gate.finish(exchange.key, None, now_s()))
        self._refuse(Refuse(exchange.key, reason, DEFAULT_RETRY_AFTER_MS))

    def _send_body(self, exchange: ExitExchange, head: bytes = b"") -> None:
        """Send the request's body until the send buffer of the connection is full.

        :param exchange: The exchange.
        :param head: Bytes to send before the body.
        """
        connection = exchange.connection
        if connection is None or exchange.sent_at_s is None:
            return
        stream, protocol = connection.stream, connection.protocol
        try:
            while exchange.body and not stream.congested and not stream.closed:
                data = exchange.body.popleft()
                head += protocol.send_body(data)
                self._credit(exchange, len(data))
                if len(head) >= WRITE_STEP_BYTES:
                    stream.write(head)
                    head = b""
            if exchange.body_ended and not exchange.body:
                exchange.body_ended = False
                head += protocol.send_end()
            stream.write(head)
        except h11.LocalProtocolError as error:
            logger.warning("exit: invalid request body", extra={"reason": str(error)})
            self._fail(exchange, "request-invalid")

    def _credit(self, exchange: ExitExchange, n_bytes: int) -> None:
        """Credit the entry with bytes passed on, once they make up a whole step."""
        exchange.n_uncredited += n_bytes
        if exchange.n_uncredited >= CREDIT_STEP_BYTES:
            n_credit, exchange.n_uncredited = exchange.n_uncredited, 0
            exchange.link.send(m.Credit(exchange.key.number, n_credit))

    def on_drained(self, stream: Stream) -> None:
        """Resume sending a request body after the send buffer was drained."""
        connection: TargetConnection = stream.context
        if connection.exchange is not None:
            self._send_body(connection.exchange)

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Parse bytes received from a target."""
        connection: TargetConnection = stream.context
        if connection.exchange is None:
            stream.abort()
            return
        self._process_bytes(connection, data)

    def _process_bytes(self, connection: TargetConnection, data: bytes) -> None:
        for event in connection.protocol.receive(data):
            exchange = connection.exchange
            if exchange is None:
                return
            if isinstance(event, ResponseHead):
                self._on_head(exchange, event)
            elif isinstance(event, BodyChunk):
                self._on_body(exchange, event.data)
            elif isinstance(event, MessageEnd):
                self._on_end(exchange)
            elif isinstance(event, Fault):
                reason = "truncated" if exchange.head_at_s else "target-protocol"
                self._fail(exchange, reason)

    def _on_head(self, exchange: ExitExchange, head: ResponseHead) -> None:
        names = {name for name, _ in head.fields}
        if head.status == STATUS_UNAVAILABLE and SHED_FIELD in names:
            exchange.is_shed = True
            exchange.connection.has_refused = True
            return
        exchange.head_at_s = now_s()
        exchange.status = head.status
        gate = self._gate.gates_by_target[exchange.head.target]
        service_ms = (exchange.head_at_s - exchange.sent_at_s) * 1000
        exchange.link.send(
            m.ResponseHead(
                number=exchange.key.number,
                status=head.status,
                fields=end_to_end_response_fields(head.fields),
                queue_ms=exchange.queue_ms,
                service_ms=service_ms,
                n_load=len(gate.running) + gate.n_waiting - 1,
            )
        )

    def _on_body(self, exchange: ExitExchange, data: bytes) -> None:
        if exchange.is_shed:
            exchange.n_shed_bytes += len(data)
            if exchange.n_shed_bytes > MAX_SHED_BYTES:
                self._fail(exchange, "target-protocol")
            return
        exchange.link.send(m.ResponseBody(exchange.key.number, data))
        exchange.window_bytes -= len(data)
        if exchange.window_bytes <= 0:
            exchange.connection.stream.pause()

    def _on_end(self, exchange: ExitExchange) -> None:
        """Finish an exchange whose answer is whole."""
        connection = exchange.connection
        connection.exchange = None
        del self._exchanges_by_key[exchange.key]
        now = now_s()
        if exchange.is_shed:
            message = m.Refusal(exchange.key.number, "shed", DEFAULT_RETRY_AFTER_MS)
            exchange.link.send(message)
            self._log("refused", exchange, "shed")
            self._perform(self._gate.finish(exchange.key, None, now))
        else:
            exchange.link.send(m.ResponseEnd(exchange.key.number))
            service_ms = (exchange.head_at_s - exchange.sent_at_s) * 1000
            total_ms = (now - exchange.sent_at_s) * 1000
            is_error = exchange.status >= STATUS_SERVER_ERROR
            self._fire_sample(exchange, service_ms, is_error)
            self._perform(self._gate.finish(exchange.key, total_ms, now))
        self._idle_connections.put_back(connection, now)

    def _fail(self, exchange: ExitExchange, reason: str) -> None:
        """End an exchange that was sent to its target but got no whole answer."""
        connection, exchange.connection = exchange.connection, None
        connection.exchange = None
        connection.stream.abort()
        self._exchanges_by_key.pop(exchange.key, None)
        now = now_s()
        exchange.link.send(m.Failure(exchange.key.number, reason))
        self._log("failed at target", exchange, reason)
        service_ms = (now - exchange.sent_at_s) * 1000
        self._fire_sample(exchange, service_ms, True)
        self._perform(self._gate.finish(exchange.key, service_ms, now))

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handle the end of a connection to a target."""
        connection: TargetConnection = stream.context
        self._idle_connections.discard(connection)
        exchange = connection.exchange
        if exchange is None:
            return
        if exchange.sent_at_s is None:
            self._fire_sample(exchange, CONNECT_TIMEOUT_S * 1000, True)
            self._refuse_unsent(exchange, "connect-failed")
            return
        if reason == "closed by peer":
            # A reset does not end an answer without a length.
            self._process_bytes(connection, b"")
        if connection.exchange is not None:
            self._fail(exchange, "truncated" if exchange.head_at_s else "target-lost")

    def _cancel(self, exchange: ExitExchange, reason: str) -> None:
        """Cancel an exchange whose answer is no longer wanted."""
        self._exchanges_by_key.pop(exchange.key, None)
        self._log("cancelled", exchange, reason)
        if self._gate.cancel(exchange.key):
            return
        connection, exchange.connection = exchange.connection, None
        now = now_s()
        if exchange.sent_at_s is not None and exchange.head_at_s is None:
            age_ms = (now - exchange.sent_at_s) * 1000
            is_late = now >= exchange.deadline_s - LATE_CANCEL_MARGIN_S
            if is_late:
                self._fire_sample(exchange, age_ms, True)
        if connection is not None:
            connection.exchange = None
            connection.stream.abort()
        self._perform(self._gate.finish(exchange.key, None, now))

    @handler("link_down", channel="*")
    def _on_link_down(self, link, reason):
        if link.is_entry:
            return
        for exchange in list(self._exchanges_by_key.values()):
            if exchange.link is link:
                self._cancel(exchange, "link-lost")

    @handler("stop_node", channel="*")
    def _on_stop_node(self):
        self._gate.stopping = True

    @handler("tick", channel="*")
    def _on_tick(self, now):
        self.expire_connects(now)
        self._perform(list(self._gate.tick(now)))
        self._idle_connections.close_expired(now)

    def _fire_sample(
        self, exchange: ExitExchange, service_ms: float, failed: bool
    ) -> None:
        target = exchange.head.target
        sample = events.target_sample(exchange.head.service, target, service_ms, failed)
        self.fire(sample, "ejection")

    def _log(self, action: str, exchange: ExitExchange, reason: str) -> None:
        head = exchange.head
        extra = {
            "entry": exchange.link.node,
            "number": head.number,
            "service": head.service,
            "customer": head.customer,
            "target": head.target,
            "reason": reason,
        }
        logger.info("exit: %s", action, extra=extra)
