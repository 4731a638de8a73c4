"""HTTP server for callers; owns their connections."""

import itertools
import logging

import h11
from circuits import handler

from heatherspur.core import now_s
from heatherspur.exchange import (
    Refused,
    ReplyAbort,
    ReplyBody,
    ReplyEnd,
    ReplyHead,
    refusal_reply,
)
from heatherspur.http import (
    BodyChunk,
    CallerProtocol,
    Fault,
    HttpEvent,
    HttpSettings,
    MessageEnd,
    RequestHead,
)
from heatherspur.net import Stream, StreamHub
from heatherspur.node import events

__all__ = ["CallerServer"]

CREDIT_STEP_BYTES = 65536
# From this time after the stop signal, connections are closed that have been idle for
# longer than the first request of a new connection may be under way.
STOP_GRACE_S = 2.0
STOP_IDLE_TIMEOUT_S = 0.3
BODYLESS_STATUSES = (204, 304)
# Rest of a body that is read after its request was refused. Closing the connection
# instead would reset it, and the caller could lose the answer.
MAX_DISCARDED_BYTES = 64 * 1024 * 1024

logger = logging.getLogger("heatherspur.callers")


class CallerContext:
    """State of one caller's connection and of the request that it carries.

    :param stream: The connection.
    :param protocol: HTTP state of the connection.
    :param now: Clock reading in seconds.
    :ivar exchange: Id of the exchange in progress, or ``None``.
    :ivar head_since_s: Clock reading at which the wait for the current request head
        began, or ``None``.
    :ivar omits_body: Whether the answer is sent without its body.
    :ivar n_discardable_bytes: Number of bytes that may follow of the body of a request
        that was answered; 0 if there is none.
    :ivar n_uncredited_bytes: Bytes of the answer that were sent but not yet credited
        to the exit.
    """

    def __init__(self, stream: Stream, protocol: CallerProtocol, now: float) -> None:
        self.stream = stream
        self.protocol = protocol
        self.exchange: int | None = None
        self.method = ""
        self.has_body = False
        self.active_at_s = now
        self.head_since_s: float | None = now
        self.is_responding = False
        self.omits_body = False
        self.n_discardable_bytes = 0
        self.n_uncredited_bytes = 0
        self._outgoing: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Buffer bytes for the caller until the next flush.

        :param data: Bytes to send.
        """
        self._outgoing.append(data)

    def flush(self) -> None:
        """Send the buffered bytes."""
        if self._outgoing:
            data, self._outgoing = b"".join(self._outgoing), []
            self.stream.write(data)


class CallerServer(StreamHub):
    """Server that receives requests from callers and writes the answers.

    :param settings: HTTP settings.
    :param listens_to_end: Whether new connections are accepted until the process ends,
        for callers that can't choose another node.
    """

    def __init__(self, settings: HttpSettings, listens_to_end: bool = False) -> None:
        super().__init__(channel="callers")
        self._settings = settings
        self._listens_to_end = listens_to_end
        self._exchange_ids = itertools.count(1)
        self._contexts_by_exchange: dict[int, CallerContext] = {}
        self._stopping_since_s: float | None = None

    def apply_settings(self, settings: HttpSettings) -> None:
        """Replace the HTTP settings.

        The size limit of request heads applies only to connections accepted later.

        :param settings: HTTP settings.
        """
        self._settings = settings

    @property
    def n_callers(self) -> int:
        """Number of open caller connections."""
        return len(self.streams_by_socket)

    @property
    def n_exchanges(self) -> int:
        """Number of requests without a whole answer."""
        return len(self._contexts_by_exchange)

    def on_accepted(self, stream: Stream) -> None:
        """Accept a caller's connection, or close it if there are too many."""
        if len(self.streams_by_socket) > self._settings.max_callers:
            logger.warning("callers: too many connections, new one closed")
            stream.abort()
            return
        protocol = CallerProtocol(self._settings.max_head_bytes)
        stream.context = CallerContext(stream, protocol, now_s())

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Parse bytes received from a caller."""
        context: CallerContext = stream.context
        context.active_at_s = now_s()
        if context.protocol.awaits_head and context.head_since_s is None:
            context.head_since_s = context.active_at_s
        self._process_events(context, context.protocol.receive(data))

    def _process_events(self, context: CallerContext, http_events) -> None:
        for event in http_events:
            self._on_event(context, event)
            if context.stream.closed:
                return
        if context.n_discardable_bytes and context.protocol.reusable:
            context.n_discardable_bytes = 0
            self._process_events(context, context.protocol.next_request())

    def _on_event(self, context: CallerContext, event: HttpEvent) -> None:
        if isinstance(event, RequestHead):
            self._on_head(context, event)
        elif isinstance(event, BodyChunk):
            if context.exchange is not None:
                message = events.caller_body(context.exchange, event.data)
                self.fire(message, "entry")
            else:
                self._discard(context, len(event.data))
        elif isinstance(event, MessageEnd):
            if context.exchange is not None and context.has_body:
                self.fire(events.caller_end(context.exchange), "entry")
        elif isinstance(event, Fault):
            self._on_fault(context, event)

    def _discard(self, context: CallerContext, n_bytes: int) -> None:
        """Count bytes of a refused request; close the connection if they go on."""
        context.n_discardable_bytes -= n_bytes
        if context.n_discardable_bytes <= 0:
            context.stream.close()

    def _on_head(self, context: CallerContext, head: RequestHead) -> None:
        context.exchange = next(self._exchange_ids)
        context.method = head.method
        context.has_body = head.has_body
        context.head_since_s = None
        context.is_responding = False
        context.n_uncredited_bytes = 0
        self._contexts_by_exchange[context.exchange] = context
        self.fire(events.caller_request(context.exchange, head), "entry")
        if head.expects_continue:
            context.stream.write(context.protocol.send_continue())

    def _on_fault(self, context: CallerContext, fault: Fault) -> None:
        """Cancel the exchange in progress, answer with an error and close."""
        peer = str(context.stream.peer)
        extra = {"peer": peer, "reason": fault.reason, "status": fault.status}
        logger.info("callers: bad request", extra=extra)
        if context.exchange is not None:
            self.fire(events.caller_gone(context.exchange), "entry")
            self._contexts_by_exchange.pop(context.exchange, None)
            context.exchange = None
            if context.is_responding:
                context.stream.abort()
                return
        outcome = Refused(fault.status, fault.reason.replace('"', "'"))
        context.method = ""
        for message in refusal_reply(0, outcome):
            self._write(context, message)
            if context.stream.closed:
                return
        context.flush()
        context.stream.close()

    @handler("reply")
    def _on_reply(self, messages):
        for message in messages:
            context = self._contexts_by_exchange.get(message.exchange)
            if context is not None:
                self._write(context, message)
        for message in messages:
            context = self._contexts_by_exchange.get(message.exchange)
            if context is not None:
                context.flush()

    def _write(self, context: CallerContext, message) -> None:
        try:
            self._write_message(context, message)
        except h11.LocalProtocolError as error:
            peer = str(context.stream.peer)
            extra = {"peer": peer, "reason": str(error)}
            logger.warning("callers: answer aborted", extra=extra)
            self._abort(context)

    def _write_message(self, context: CallerContext, message) -> None:
        protocol = context.protocol
        if isinstance(message, ReplyHead):
            context.is_responding = True
            is_bodyless = message.status in BODYLESS_STATUSES
            context.omits_body = context.method == "HEAD" or is_bodyless
            fields = message.fields
            if self._stopping_since_s is not None:
                fields = (*fields, (b"connection", b"close"))
            context.write(protocol.send_head(message.status, fields))
        elif isinstance(message, ReplyBody):
            if not context.omits_body:
                context.write(protocol.send_body(message.data))
            self._grant_credit(context, len(message.data))
        elif isinstance(message, ReplyEnd):
            context.write(protocol.send_end())
            context.flush()
            self._finish(context)
        elif isinstance(message, ReplyAbort):
            self._abort(context)

    def _grant_credit(self, context: CallerContext, n_bytes: int) -> None:
        """Credit bytes to the exit, once the caller has received enough of them."""
        context.n_uncredited_bytes += n_bytes
        if context.stream.congested or context.n_uncredited_bytes < CREDIT_STEP_BYTES:
            return
        n_credit, context.n_uncredited_bytes = context.n_uncredited_bytes, 0
        if context.exchange is not None:
            self.fire(events.caller_took(context.exchange, n_credit), "entry")

    def on_drained(self, stream: Stream) -> None:
        """Grant the credit that was withheld while the caller was slow to read."""
        self._grant_credit(stream.context, 0)

    def _finish(self, context: CallerContext) -> None:
        """Prepare the connection for the next request, or close it."""
        self._contexts_by_exchange.pop(context.exchange, None)
        context.exchange = None
        context.active_at_s = now_s()
        if context.protocol.is_body_pending:
            context.n_discardable_bytes = MAX_DISCARDED_BYTES
            context.stream.resume()
            return
        if not context.protocol.reusable or self._stopping_since_s is not None:
            context.stream.close()
            return
        context.stream.resume()
        self._process_events(context, context.protocol.next_request())

    def _abort(self, context: CallerContext) -> None:
        self._contexts_by_exchange.pop(context.exchange, None)
        if context.exchange is not None:
            self.fire(events.caller_gone(context.exchange), "entry")
            context.exchange = None
        context.stream.abort()

    @handler("pause_body")
    def _on_pause_body(self, exchange, paused):
        context = self._contexts_by_exchange.get(exchange)
        if context is None:
            return
        if paused:
            context.stream.pause()
        else:
            context.stream.resume()

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handle the end of a caller's connection."""
        context: CallerContext | None = stream.context
        if context is not None and context.exchange is not None:
            self._contexts_by_exchange.pop(context.exchange, None)
            self.fire(events.caller_gone(context.exchange), "entry")
            context.exchange = None

    @handler("stop_node", channel="*")
    def _on_stop_node(self):
        self._stopping_since_s = now_s()
        if not self._listens_to_end:
            self.stop_listening()

    @handler("tick", channel="*")
    def _on_tick(self, now):
        for stream in list(self.streams_by_socket.values()):
            self._check_idle(stream.context, now)

    def _check_idle(self, context: CallerContext, now: float) -> None:
        """Close a connection that is idle or receives its request head too slowly."""
        if context.exchange is not None:
            return
        since_s = context.head_since_s
        if since_s is not None and not context.protocol.idle:
            if now - since_s > self._settings.head_timeout_s:
                self._on_fault(context, Fault(408, "request head took too long"))
            return
        stopping_s = self._stopping_since_s
        is_over = stopping_s is not None and now - stopping_s > STOP_GRACE_S
        timeout_s = STOP_IDLE_TIMEOUT_S if is_over else self._settings.idle_timeout_s
        if now - context.active_at_s > timeout_s:
            context.stream.close()
