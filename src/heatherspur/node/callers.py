"""Owns the connections of callers."""

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
STOP_GRACE_S = 2.0
BODYLESS_STATUSES = (204, 304)

logger = logging.getLogger("heatherspur.callers")


class CallerContext:
    """What is known of one caller's connection.

    :param stream: The connection.
    :param protocol: Its HTTP state.
    :param now: Clock reading in seconds.
    """

    def __init__(self, stream: Stream, protocol: CallerProtocol, now: float) -> None:
        self.stream = stream
        self.protocol = protocol
        self.exchange: int | None = None
        self.method = ""
        self.has_body = False
        self.active_at_s = now
        self.head_since_s: float | None = now
        self.responding = False
        self.bodyless = False
        self.n_taken_bytes = 0
        self._out: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Collect bytes for the caller.

        :param data: The bytes.
        """
        self._out.append(data)

    def flush(self) -> None:
        """Send the bytes collected."""
        if self._out:
            data, self._out = b"".join(self._out), []
            self.stream.write(data)


class CallerServer(StreamHub):
    """Takes requests from callers and writes the answers.

    :param settings: HTTP settings.
    :param listens_to_end: Whether new connections are taken until the process ends;
        callers that can't choose another node need that.
    """

    def __init__(self, settings: HttpSettings, listens_to_end: bool = False) -> None:
        super().__init__(channel="callers")
        self._settings = settings
        self._listens_to_end = listens_to_end
        self._numbers = itertools.count(1)
        self._contexts_by_exchange: dict[int, CallerContext] = {}
        self._stopping_since_s: float | None = None

    def apply_settings(self, settings: HttpSettings) -> None:
        """Apply other limits from now on.

        :param settings: HTTP settings.
        """
        self._settings = settings

    @property
    def n_callers(self) -> int:
        """Number of open caller connections."""
        return len(self.streams_by_socket)

    @property
    def n_exchanges(self) -> int:
        """Number of requests that have no whole answer yet."""
        return len(self._contexts_by_exchange)

    def on_accepted(self, stream: Stream) -> None:
        """Take a caller's connection."""
        if len(self.streams_by_socket) > self._settings.max_callers:
            logger.warning("callers: too many connections, one closed")
            stream.abort()
            return
        protocol = CallerProtocol(self._settings.max_head_bytes)
        stream.context = CallerContext(stream, protocol, now_s())

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Take bytes from a caller."""
        context: CallerContext = stream.context
        context.active_at_s = now_s()
        if context.protocol.awaits_head and context.head_since_s is None:
            context.head_since_s = context.active_at_s
        self._take(context, context.protocol.receive(data))

    def _take(self, context: CallerContext, http_events) -> None:
        for event in http_events:
            self._on_event(context, event)
            if context.stream.closed:
                return

    def _on_event(self, context: CallerContext, event: HttpEvent) -> None:
        if isinstance(event, RequestHead):
            self._on_head(context, event)
        elif isinstance(event, BodyChunk):
            if context.exchange is not None:
                message = events.caller_body(context.exchange, event.data)
                self.fire(message, "entry")
        elif isinstance(event, MessageEnd):
            if context.exchange is not None and context.has_body:
                self.fire(events.caller_end(context.exchange), "entry")
        elif isinstance(event, Fault):
            self._on_fault(context, event)

    def _on_head(self, context: CallerContext, head: RequestHead) -> None:
        context.exchange = next(self._numbers)
        context.method = head.method
        context.has_body = head.has_body
        context.head_since_s = None
        context.responding = False
        context.n_taken_bytes = 0
        self._contexts_by_exchange[context.exchange] = context
        self.fire(events.caller_request(context.exchange, head), "entry")
        if head.expects_continue:
            context.stream.write(context.protocol.send_continue())

    def _on_fault(self, context: CallerContext, fault: Fault) -> None:
        peer = str(context.stream.peer)
        extra = {"peer": peer, "reason": fault.reason, "status": fault.status}
        logger.info("callers: bad request", extra=extra)
        if context.exchange is not None:
            self.fire(events.caller_gone(context.exchange), "entry")
            self._contexts_by_exchange.pop(context.exchange, None)
            context.exchange = None
            if context.responding:
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
            logger.warning("callers: answer broken off", extra=extra)
            self._drop(context)

    def _write_message(self, context: CallerContext, message) -> None:
        protocol = context.protocol
        if isinstance(message, ReplyHead):
            context.responding = True
            is_bodyless = message.status in BODYLESS_STATUSES
            context.bodyless = context.method == "HEAD" or is_bodyless
            fields = message.fields
            if self._stopping_since_s is not None:
                fields = (*fields, (b"connection", b"close"))
            context.write(protocol.send_head(message.status, fields))
        elif isinstance(message, ReplyBody):
            if not context.bodyless:
                context.write(protocol.send_body(message.data))
            self._note_taken(context, len(message.data))
        elif isinstance(message, ReplyEnd):
            context.write(protocol.send_end())
            context.flush()
            self._finish(context)
        elif isinstance(message, ReplyAbort):
            self._drop(context)

    def _note_taken(self, context: CallerContext, n_bytes: int) -> None:
        """Let the exit send more once the caller has taken enough."""
        context.n_taken_bytes += n_bytes
        if context.stream.congested or context.n_taken_bytes < CREDIT_STEP_BYTES:
            return
        n_taken, context.n_taken_bytes = context.n_taken_bytes, 0
        if context.exchange is not None:
            self.fire(events.caller_took(context.exchange, n_taken), "entry")

    def on_drained(self, stream: Stream) -> None:
        """Go on after a slow caller took what was buffered."""
        self._note_taken(stream.context, 0)

    def _finish(self, context: CallerContext) -> None:
        """Make the connection ready for the next request, or close it."""
        self._contexts_by_exchange.pop(context.exchange, None)
        context.exchange = None
        context.active_at_s = now_s()
        if not context.protocol.reusable or self._stopping_since_s is not None:
            context.stream.close()
            return
        context.stream.resume()
        self._take(context, context.protocol.next_request())

    def _drop(self, context: CallerContext) -> None:
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
        if context.exchange is not None:
            return
        since_s = context.head_since_s
        if since_s is not None and not context.protocol.idle:
            if now - since_s > self._settings.head_timeout_s:
                self._on_fault(context, Fault(408, "request head took too long"))
            return
        stopping_s = self._stopping_since_s
        is_over = stopping_s is not None and now - stopping_s > STOP_GRACE_S
        if is_over or now - context.active_at_s > self._settings.idle_timeout_s:
            context.stream.close()
