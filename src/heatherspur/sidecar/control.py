"""HTTP server for target reports, readiness probes and metrics.

Its clients are the target beside this node, the platform and operators. A departure is
acknowledged when the store holds it, so that it stays in force after a restart.
"""

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

from circuits import handler

from heatherspur.core import now_s
from heatherspur.dispatch import TargetReport
from heatherspur.dispatch.departures import DepartureTracker, StartupGate
from heatherspur.dispatch.reports import TargetReports
from heatherspur.http import (
    BodyChunk,
    CallerProtocol,
    Fault,
    HttpEvent,
    MessageEnd,
    RequestHead,
)
from heatherspur.net import Stream, StreamHub
from heatherspur.platform.wire import HEARTBEAT_PATH, LEAVE_PATH, decode_target_report
from heatherspur.sidecar.events import target_heard

__all__ = ["ControlServer"]

MAX_HEAD_BYTES = 16384
MAX_BODY_BYTES = 65536
# The platform probes once a second; targets report every second or two.
IDLE_TIMEOUT_S = 30.0
# Targets wait one second for an acknowledgement.
ACKNOWLEDGEMENT_TIMEOUT_S = 0.9
JSON_TYPE = b"application/json"

logger = logging.getLogger("heatherspur.control")


class Response(NamedTuple):
    """One HTTP response.

    :param status: HTTP status code.
    :param content_type: Media type.
    :param body: The body.
    """

    status: int
    content_type: bytes
    body: bytes


class _Unacknowledged(NamedTuple):
    """A report that is answered when the store holds the departure.

    :param stream: Connection of the target.
    :param deadline_s: Clock reading at which the report is answered as failed.
    """

    stream: Stream
    deadline_s: float


class _Connection:
    """HTTP state of one client connection; kept as its stream's context.

    :param now: Clock reading in seconds.
    """

    def __init__(self, now: float) -> None:
        self.protocol = CallerProtocol(MAX_HEAD_BYTES)
        self.head: RequestHead | None = None
        self.body = b""
        self.active_at_s = now


class ControlServer(StreamHub):
    """Server that accepts reports of the target and serves readiness and metrics.

    :param service: Service of the target beside this node.
    :param is_ready: Returns whether callers may send requests.
    :param metrics: Returns the metrics as text and their content type.
    :param report_gap_s: Interval between reports of the target, in seconds.
    """

    def __init__(
        self,
        service: str,
        is_ready: Callable[[], bool],
        metrics: Callable[[], tuple[bytes, str]],
        report_gap_s: float,
    ) -> None:
        super().__init__(channel="control")
        self._service = service
        self._is_ready = is_ready
        self._metrics = metrics
        self._reports = TargetReports(report_gap_s)
        self._startup_gate = StartupGate(report_gap_s)
        self._departures = DepartureTracker()
        self._unacknowledged: list[_Unacknowledged] = []

    def on_accepted(self, stream: Stream) -> None:
        """Attach the HTTP state to a new connection."""
        stream.context = _Connection(now_s())

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Parse received bytes and answer the requests that they complete."""
        connection: _Connection = stream.context
        connection.active_at_s = now_s()
        self._process_events(stream, connection.protocol.receive(data))

    def _process_events(self, stream: Stream, events: Iterable[HttpEvent]) -> None:
        """Process parsed parts of requests, pipelined requests one after the other."""
        while self._completes_request(stream, events):
            events = stream.context.protocol.next_request()

    def _completes_request(self, stream: Stream, events: Iterable[HttpEvent]) -> bool:
        """Process the parts of one request.

        :returns: Whether the request was answered and another one may follow.
        """
        connection: _Connection = stream.context
        for event in events:
            if isinstance(event, RequestHead):
                connection.head, connection.body = event, b""
            elif isinstance(event, BodyChunk):
                connection.body += event.data
                if len(connection.body) > MAX_BODY_BYTES:
                    self._send_response(stream, Response(413, JSON_TYPE, b"{}"))
                    stream.close()
                    return False
            elif isinstance(event, MessageEnd):
                response = self._respond(stream, connection)
                return response is not None and self._finish_request(stream, response)
            elif isinstance(event, Fault):
                self._send_response(stream, Response(event.status, JSON_TYPE, b"{}"))
                stream.close()
                return False
        return False

    def _finish_request(self, stream: Stream, response: Response) -> bool:
        """Answer a whole request.

        :returns: Whether another request may follow on the connection.
        """
        self._send_response(stream, response)
        if stream.context.protocol.reusable:
            return not stream.closed
        stream.close()
        return False

    def _send_response(self, stream: Stream, page: Response) -> None:
        fields = (
            (b"content-type", page.content_type),
            (b"content-length", str(len(page.body)).encode()),
        )
        protocol = stream.context.protocol
        head = protocol.send_head(page.status, fields)
        stream.write(head + protocol.send_body(page.body) + protocol.send_end())

    def _respond(self, stream: Stream, connection: _Connection) -> Response | None:
        """Return the response to a request, ``None`` if it is sent later."""
        head = connection.head
        path = head.target.partition("?")[0]
        if path == "/ready":
            ready = self._is_ready()
            return Response(
                200 if ready else 503, JSON_TYPE, b'{"ready":%s}' % _json(ready)
            )
        if path == "/metrics":
            body, content_type = self._metrics()
            return Response(200, content_type.encode(), body)
        for pattern, gone in ((HEARTBEAT_PATH, False), (LEAVE_PATH, True)):
            match = pattern.match(path)
            if match and head.method == "POST":
                return self._receive_report(
                    match.group(1), connection.body, gone, stream
                )
        return Response(404, JSON_TYPE, b"{}")

    def _receive_report(
        self, target: str, body: bytes, gone: bool, stream: Stream
    ) -> Response | None:
        """Apply a report of the target, unless it is invalid or out of date.

        :param target: Id of the target, from the path.
        :param body: Body of the report.
        :param gone: Whether the target leaves.
        :param stream: Connection of the sender.
        :returns: Status 200 also for a report that is out of date; 400 for one that is
            invalid or of another service; 503 for one of a start of the target that is
            not followed; ``None`` for a departure that the store has to confirm first.
        """
        peer = str(stream.peer)
        decoded = decode_target_report(target, body, gone, peer)
        if decoded.is_err():
            error = decoded.err_value
            extra = {"target": target, "peer": peer, "reason": error.reason}
            logger.warning("control: invalid report rejected", extra=extra)
            return Response(400, JSON_TYPE, b"{}")
        report: TargetReport = decoded.ok_value
        if not report.gone and report.service != self._service:
            # A target of another service must not receive requests of this service.
            extra = {"target": target, "peer": peer, "service": report.service}
            logger.warning("control: report of another service rejected", extra=extra)
            return Response(400, JSON_TYPE, b"{}")
        now = now_s()
        is_due = not report.ready or self._startup_gate.admit(report, now)
        if is_due and not self._take_report(report):
            return Response(503, JSON_TYPE, b"{}")
        departures = self._departures
        if report.ready or departures.current is None or departures.is_recorded:
            return Response(200, JSON_TYPE, b"{}")
        waiting = _Unacknowledged(stream, now + ACKNOWLEDGEMENT_TIMEOUT_S)
        self._unacknowledged.append(waiting)
        return None

    def _take_report(self, report: TargetReport) -> bool:
        """Apply a report, unless it is out of date.

        :returns: Whether it was applied, or is known to be older than one that was.
        """
        reports, last = self._reports, self._reports.latest
        is_accepted = reports.accept(report)
        is_of_other_start = not is_accepted and reports.is_of_other_start(report)
        if is_accepted or (is_of_other_start and reports.follow(report, now_s())):
            self._apply_report(reports.latest, last)
            return True
        extra = {
            "target": report.target,
            "sequence": report.sequence,
            "born": report.started_at_ms,
        }
        logger.info("control: out-of-date report ignored", extra=extra)
        return not is_of_other_start

    def _apply_report(self, report: TargetReport, last: TargetReport | None) -> None:
        if last is None or (last.target, last.started_at_ms, last.ready, last.gone) != (
            report.target,
            report.started_at_ms,
            report.ready,
            report.gone,
        ):
            extra = {
                "target": report.target,
                "service": report.service,
                "born": report.started_at_ms,
                "ready": report.ready,
                "gone": report.gone,
                "slots": report.slots,
                "cold_s": report.cold_s,
            }
            logger.info("control: target state changed", extra=extra)
        departure = self._departures.apply(report)
        self.fire(target_heard(report, departure), "*")

    @handler("departure_recorded")
    def _on_departure_recorded(self, departure):
        """Acknowledge a departure; a new process learns of it from the store."""
        if not self._departures.confirm(departure):
            self._take_report(departure.to_report())
            self._departures.confirm(departure)
        if self._departures.is_recorded:
            self._end_waits(self._unacknowledged, Response(200, JSON_TYPE, b"{}"))

    @handler("members_read")
    def _on_members_read(self):
        report = self._startup_gate.open()
        if report is not None:
            self._take_report(report)

    def _end_waits(self, waits: list[_Unacknowledged], response: Response) -> None:
        """Answer reports, and process the requests that follow on their connections."""
        self._unacknowledged = [w for w in self._unacknowledged if w not in waits]
        for stream in (wait.stream for wait in waits if not wait.stream.closed):
            if self._finish_request(stream, response):
                self._process_events(stream, stream.context.protocol.next_request())

    @handler("tick", channel="*")
    def _on_tick(self, now):
        overdue = [w for w in self._unacknowledged if now >= w.deadline_s]
        if overdue:
            logger.warning(
                "control: departure not recorded in time",
                extra={"reports": len(overdue)},
            )
            self._end_waits(overdue, Response(503, JSON_TYPE, b"{}"))
        for stream in list(self.streams_by_socket.values()):
            if now - stream.context.active_at_s > IDLE_TIMEOUT_S:
                stream.close()


def _json(value: bool) -> bytes:
    return b"true" if value else b"false"
