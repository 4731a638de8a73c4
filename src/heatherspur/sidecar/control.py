"""Answers the target beside this node, the platform and operators over HTTP."""

import logging
from collections.abc import Callable
from typing import NamedTuple

from circuits import handler

from heatherspur.core import now_s
from heatherspur.dispatch import TargetReport
from heatherspur.dispatch.reports import TargetReports
from heatherspur.http import (
    BodyChunk,
    CallerProtocol,
    Fault,
    MessageEnd,
    RequestHead,
)
from heatherspur.net import Stream, StreamHub
from heatherspur.platform.wire import HEARTBEAT_PATH, LEAVE_PATH, decode_target_report
from heatherspur.sidecar.events import target_heard

__all__ = ["ControlServer"]

MAX_HEAD_BYTES = 16384
MAX_BODY_BYTES = 65536
# The platform asks once a second, targets report each second or two.
IDLE_TIMEOUT_S = 30.0
JSON = b"application/json"

logger = logging.getLogger("heatherspur.control")


class Page(NamedTuple):
    """One whole response.

    :param status: HTTP status code.
    :param content_type: Media type.
    :param body: The body.
    """

    status: int
    content_type: bytes
    body: bytes


class _Connection:
    """State of one connection.

    :param now: Clock reading in seconds.
    """

    def __init__(self, now: float) -> None:
        self.protocol = CallerProtocol(MAX_HEAD_BYTES)
        self.head: RequestHead | None = None
        self.body = b""
        self.active_at_s = now


class ControlServer(StreamHub):
    """Takes reports of the target; tells whether the node is ready.

    :param service: Service of the target beside this node.
    :param is_ready: Tells whether callers may send requests.
    :param metrics: Returns the metrics as text and their content type.
    """

    def __init__(
        self,
        service: str,
        is_ready: Callable[[], bool],
        metrics: Callable[[], tuple[bytes, str]],
    ) -> None:
        super().__init__(channel="control")
        self._service = service
        self._is_ready = is_ready
        self._metrics = metrics
        self._reports = TargetReports()

    def on_accepted(self, stream: Stream) -> None:
        """Take a connection."""
        stream.context = _Connection(now_s())

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Take bytes of a request."""
        connection: _Connection = stream.context
        connection.active_at_s = now_s()
        self._take(stream, connection.protocol.receive(data))

    def _take(self, stream: Stream, events) -> None:
        connection: _Connection = stream.context
        for event in events:
            if isinstance(event, RequestHead):
                connection.head, connection.body = event, b""
            elif isinstance(event, BodyChunk):
                connection.body += event.data
                if len(connection.body) > MAX_BODY_BYTES:
                    self._answer(stream, Page(413, JSON, b"{}"))
                    stream.close()
                    return
            elif isinstance(event, MessageEnd):
                self._answer(stream, self._page(stream, connection))
                if not connection.protocol.reusable:
                    stream.close()
                    return
                self._take(stream, connection.protocol.next_request())
                return
            elif isinstance(event, Fault):
                self._answer(stream, Page(event.status, JSON, b"{}"))
                stream.close()
                return

    def _answer(self, stream: Stream, page: Page) -> None:
        fields = (
            (b"content-type", page.content_type),
            (b"content-length", str(len(page.body)).encode()),
        )
        protocol = stream.context.protocol
        head = protocol.send_head(page.status, fields)
        stream.write(head + protocol.send_body(page.body) + protocol.send_end())

    def _page(self, stream: Stream, connection: _Connection) -> Page:
        head = connection.head
        path = head.target.partition("?")[0]
        if path == "/ready":
            ready = self._is_ready()
            return Page(200 if ready else 503, JSON, b'{"ready":%s}' % _json(ready))
        if path == "/metrics":
            body, content_type = self._metrics()
            return Page(200, content_type.encode(), body)
        for pattern, gone in ((HEARTBEAT_PATH, False), (LEAVE_PATH, True)):
            match = pattern.match(path)
            if match and head.method == "POST":
                peer = str(stream.peer)
                return self._hear(match.group(1), connection.body, gone, peer)
        return Page(404, JSON, b"{}")

    def _hear(self, target: str, body: bytes, gone: bool, peer: str) -> Page:
        """Take a report unless it is older than what is known."""
        decoded = decode_target_report(target, body, gone, peer)
        if decoded.is_err():
            error = decoded.err_value
            extra = {"target": target, "peer": peer, "reason": error.reason}
            logger.warning("control: report skipped", extra=extra)
            return Page(400, JSON, b"{}")
        beat: TargetReport = decoded.ok_value
        if not beat.gone and beat.service != self._service:
            # A target of another service must not get this service's requests.
            extra = {"target": target, "peer": peer, "service": beat.service}
            logger.warning("control: report of another service skipped", extra=extra)
            return Page(400, JSON, b"{}")
        last = self._reports.latest
        if self._reports.accept(beat):
            self._use(self._reports.latest, last)
        else:
            extra = {
                "target": target,
                "sequence": beat.sequence,
                "born": beat.started_at_ms,
            }
            logger.info("control: old report skipped", extra=extra)
        return Page(200, JSON, b"{}")

    def _use(self, beat: TargetReport, last: TargetReport | None) -> None:
        if last is None or (last.target, last.started_at_ms, last.ready, last.gone) != (
            beat.target,
            beat.started_at_ms,
            beat.ready,
            beat.gone,
        ):
            extra = {
                "target": beat.target,
                "service": beat.service,
                "born": beat.started_at_ms,
                "ready": beat.ready,
                "gone": beat.gone,
                "slots": beat.slots,
                "cold_s": beat.cold_s,
            }
            logger.info("control: target changed", extra=extra)
        self.fire(target_heard(beat), "*")

    @handler("tick", channel="*")
    def _on_tick(self, now):
        for stream in list(self.streams_by_socket.values()):
            if now - stream.context.active_at_s > IDLE_TIMEOUT_S:
                stream.close()


def _json(value: bool) -> bytes:
    return b"true" if value else b"false"
