"""Owns a node's connections to the platform's log.

One connection reads, one appends. An append whose answer is lost is sent again:
readers ignore a record whose change id they have seen.
"""

import logging
from collections import deque
from typing import NamedTuple

from circuits import Event, handler

from heatherspur.core import now_s
from heatherspur.http import (
    BodyChunk,
    Fault,
    MessageEnd,
    ResponseHead,
    TargetProtocol,
)
from heatherspur.net import Stream, StreamHub
from heatherspur.platform.conf import PlatformSettings
from heatherspur.platform.protocol import (
    STATUS_GONE,
    STATUS_OK,
    append_path,
    parse_append,
    parse_oldest,
    parse_read,
    read_path,
)

__all__ = ["LogHub", "append", "log_answered", "log_expired"]

RETRY_DELAY_S = 0.3
MAX_QUEUED_APPENDS = 64
READ_TIMEOUT_MARGIN_S = 1.0

logger = logging.getLogger("heatherspur.log")


class log_answered(Event):  # noqa: N801 - circuits names events in lower case
    """The log answered a read.

    :param answer: A :class:`~heatherspur.platform.LogAnswer`.
    :param asked_at_s: Clock reading when the question was sent.
    """


class log_expired(Event):  # noqa: N801
    """The record asked for has expired.

    :param oldest: Offset of the oldest record kept.
    """


class append(Event):  # noqa: N801
    """Append a record; sent again until the log confirms it.

    :param value: Text of the record.
    """


class Exchange(NamedTuple):
    """One request to the log.

    :param kind: ``"read"`` or ``"append"``.
    :param path: Request target.
    :param body: Request body.
    :param sent_at_s: Clock reading when it was sent.
    :param timeout_s: Seconds until it has failed.
    """

    kind: str
    path: str
    body: bytes
    sent_at_s: float
    timeout_s: float


class Channel:
    """One connection with at most one request under way."""

    def __init__(self) -> None:
        self.stream: Stream | None = None
        self.protocol: TargetProtocol | None = None
        self.exchange: Exchange | None = None
        self.status = 0
        self.body = b""
        self.next_try_at_s = 0.0


class LogHub(StreamHub):
    """Reads the stream to its end and goes on waiting; appends on request.

    :param settings: Platform settings.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        super().__init__(channel="log")
        self._settings = settings
        self._reader = Channel()
        self._writer = Channel()
        self._appends: deque[str] = deque()
        self.next_offset = 0
        self.reachable = False
        self.n_appends = 0

    @property
    def idle(self) -> bool:
        """Whether every append is confirmed."""
        return not self._appends

    @handler("append")
    def _on_append(self, value):
        if len(self._appends) >= MAX_QUEUED_APPENDS:
            logger.error("log: append queue is full, record dropped")
            return
        self._appends.append(value)

    @handler("seek", channel="log")
    def _on_seek(self, offset):
        """Read on from another offset."""
        self.next_offset = offset

    @handler("tick", channel="*")
    def _on_tick(self, now):
        self.expire_connects(now)
        for channel in (self._reader, self._writer):
            exchange = channel.exchange
            if exchange and now - exchange.sent_at_s > exchange.timeout_s:
                self._drop(channel, "timed out")
        self._start_read(now)
        self._start_append(now)

    def _start_read(self, now: float) -> None:
        if self._reader.exchange is not None or now < self._reader.next_try_at_s:
            return
        wait_s = self._settings.log_wait_s
        path = read_path(self._settings.log_stream, self.next_offset, wait_s)
        timeout_s = wait_s + READ_TIMEOUT_MARGIN_S
        self._send(self._reader, Exchange("read", path, b"", now, timeout_s))

    def _start_append(self, now: float) -> None:
        if self._writer.exchange is not None or now < self._writer.next_try_at_s:
            return
        if not self._appends:
            return
        path = append_path(self._settings.log_stream)
        body = self._appends[0].encode()
        timeout_s = self._settings.log_timeout_s
        self._send(self._writer, Exchange("append", path, body, now, timeout_s))

    def _send(self, channel: Channel, exchange: Exchange) -> None:
        channel.exchange = exchange
        channel.status = 0
        channel.body = b""
        if channel.stream is None or channel.stream.closed:
            timeout_s = self._settings.log_timeout_s
            channel.stream = self.connect(self._settings.log, timeout_s, channel)
            channel.protocol = TargetProtocol()
        fields = [
            (b"host", str(self._settings.log).encode()),
            (b"content-length", str(len(exchange.body)).encode()),
        ]
        method = "GET" if exchange.kind == "read" else "POST"
        protocol = channel.protocol
        channel.stream.write(protocol.send_request(method, exchange.path, fields))
        if exchange.body:
            channel.stream.write(protocol.send_body(exchange.body))
        channel.stream.write(protocol.send_end())

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Take bytes from the log."""
        channel: Channel = stream.context
        if channel.stream is not stream:
            return
        for event in channel.protocol.receive(data):
            if isinstance(event, ResponseHead):
                channel.status = event.status
            elif isinstance(event, BodyChunk):
                channel.body += event.data
            elif isinstance(event, MessageEnd):
                self._finish(channel)
            elif isinstance(event, Fault):
                self._drop(channel, event.reason)

    def on_lost(self, stream: Stream, reason: str) -> None:
        """Handle the loss of a connection to the log."""
        channel: Channel = stream.context
        if channel.stream is stream and channel.exchange is not None:
            self._fail(channel, reason)

    def _drop(self, channel: Channel, reason: str) -> None:
        stream = channel.stream
        self._fail(channel, reason)
        if stream is not None and not stream.closed:
            stream.abort()

    def _fail(self, channel: Channel, reason: str) -> None:
        channel.exchange = None
        channel.stream = None
        channel.next_try_at_s = now_s() + RETRY_DELAY_S
        if channel is self._reader and self.reachable:
            self.reachable = False
            logger.warning("log: not reachable", extra={"reason": reason})

    def _finish(self, channel: Channel) -> None:
        exchange, channel.exchange = channel.exchange, None
        if channel.protocol.reusable:
            channel.protocol.next_request()
        else:
            channel.stream.close()
            channel.stream = None
        if exchange.kind == "read":
            self._finish_read(channel, exchange)
        else:
            self._finish_append(channel)

    def _finish_read(self, channel: Channel, exchange: Exchange) -> None:
        peer = str(self._settings.log)
        if channel.status == STATUS_GONE:
            oldest = parse_oldest(channel.body, peer)
            if oldest.is_ok():
                self.fire(log_expired(oldest.ok_value), "catalogue")
                channel.next_try_at_s = now_s() + RETRY_DELAY_S
            return
        answer = parse_read(channel.body, peer)
        if channel.status != STATUS_OK or answer.is_err():
            self._fail(channel, f"status {channel.status}")
            return
        if not self.reachable:
            self.reachable = True
            logger.info("log: reachable", extra={"head": answer.ok_value.head})
        records = answer.ok_value.records
        if records:
            self.next_offset = records[-1].offset + 1
        self.fire(log_answered(answer.ok_value, exchange.sent_at_s), "catalogue")
        self._start_read(now_s())

    def _finish_append(self, channel: Channel) -> None:
        if channel.status != STATUS_OK:
            self._fail(channel, f"status {channel.status}")
            return
        if parse_append(channel.body, str(self._settings.log)).is_ok():
            self._appends.popleft()
            self.n_appends += 1
