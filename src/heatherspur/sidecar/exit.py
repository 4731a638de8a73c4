"""Exit side of a node: every request to the target beside it passes through here."""

import logging
import secrets
from collections.abc import Iterable

from circuits import handler

from heatherspur.core import Address, now_s
from heatherspur.dispatch import FleetSettings, TargetReport
from heatherspur.dispatch.budget import RetryBudget
from heatherspur.dispatch.fleet import FleetView
from heatherspur.dispatch.history import RequestHistory, RequestKey
from heatherspur.dispatch.nested_calls import NestedCalls
from heatherspur.dispatch.queue import SlotReply, TargetQueue
from heatherspur.dispatch.scheduling import ReservationKey, to_reservation
from heatherspur.http import HttpEvent
from heatherspur.link import messages as m
from heatherspur.net import Keepalive, Stream, StreamHub
from heatherspur.platform.headers import (
    ResponseMetadata,
    forwarded_response_fields,
    target_request_fields,
)
from heatherspur.sidecar.conf import STOP_ADMITTING_AFTER_S
from heatherspur.sidecar.metrics import SidecarMetrics
from heatherspur.sidecar.responses import (
    BadResponse,
    ForeignResponse,
    read_responses,
)
from heatherspur.sidecar.target import (
    IdleTargetConnections,
    TargetConnection,
    TargetRequest,
)

__all__ = ["SidecarExit"]

# The target is on the same host; a healthy one accepts well within this time.
CONNECT_TIMEOUT_S = 0.5
# A read of this size in chunks of one byte takes 50 ms of processor time.
READ_SIZE_BYTES = 16384
TARGET_KEEPALIVE = Keepalive(idle_s=2, interval_s=1, n_probes=2, unacked_ms=1500)
# Wide enough to distinguish the processes of a host, and short on the wire.
PROCESS_ID_BITS = 31
STATUS_SERVER_ERROR = 500
STATUS_SUCCESS_END = 300
STATUS_MISDIRECTED = 421
STATUS_TIMEOUT = 504
# The target receives its deadline in whole milliseconds and gives up then, so its own
# timeout answer may arrive slightly before the deadline here.
LATE_TIMEOUT_MARGIN_S = 0.05

logger = logging.getLogger("heatherspur.exit")


class SidecarExit(StreamHub):
    """Task that owns the target's slots and the connections to it.

    :param settings: Settings of the node.
    :param fleet: Members of all services.
    :param metrics: Metrics of the node.
    :param nested_calls: Calls of the target; read only.
    """

    keepalive = TARGET_KEEPALIVE
    read_size_bytes = READ_SIZE_BYTES

    def __init__(
        self,
        settings: FleetSettings,
        fleet: FleetView,
        metrics: SidecarMetrics,
        nested_calls: NestedCalls,
    ) -> None:
        super().__init__(channel="exit")
        self._settings = settings
        self._metrics = metrics
        self._fleet = fleet
        self._nested_calls = nested_calls
        self._retry_budget = RetryBudget(
            settings.retry_ratio,
            settings.retry_window_s,
            settings.retry_slack,
            now_s(),
        )
        self._target_queue = TargetQueue(
            secrets.randbits(PROCESS_ID_BITS), self._retry_budget
        )
        self._target_queue.startup_deadline_s = now_s() + settings.report_gap_s
        self._target = ""
        self._address: Address = settings.target
        self._stop_accepting_at_s = float("inf")
        self._links_by_id: dict[int, object] = {}
        self._connections_by_key: dict[ReservationKey, TargetConnection] = {}
        self._idle_connections = IdleTargetConnections()
        self._history = RequestHistory()
        self._keys_by_name: dict[RequestKey, ReservationKey] = {}
        self._verdict_state = self._target_queue.verdict.state

    @property
    def n_open(self) -> int:
        """Number of requests at the target."""
        return self._target_queue.n_running

    @property
    def n_waiting(self) -> int:
        """Number of reservations without a slot."""
        return self._target_queue.n_waiting

    @handler("target_heard", channel="*")
    def _on_target_heard(self, report: TargetReport, *_):
        """Apply a report of the target; only a report opens it to requests."""
        if report.target != self._target:
            self._idle_connections.close_all()
        self._target = report.target
        self._address = report.address or self._settings.target
        self._target_queue.slots = report.slots
        self._set_accepting(report.ready and now_s() < self._stop_accepting_at_s)

    def _set_accepting(self, accepting: bool) -> None:
        self._target_queue.startup_deadline_s = 0.0
        self._target_queue.accepting = accepting
        if accepting:
            self._send(self._target_queue.grant_free_slots(now_s()))
        else:
            self._send(self._target_queue.decline_all("not-ready"))

    @handler("received")
    def _on_received(self, link, messages):
        for message in messages:
            self._receive(link, message, now_s())

    def _receive(self, link, message: m.Message, now: float) -> None:
        key = ReservationKey(link.serial, message.number)
        self._links_by_id[key.link] = link
        if isinstance(message, m.Reserve):
            self._reserve(key, message, now)
        elif isinstance(message, m.Execute):
            self._execute(key, message, now)
        elif isinstance(message, m.Resume):
            self._resume(key, message.process, now)
        elif isinstance(message, m.Withdraw):
            self._withdraw(key, now)

    def _reserve(self, key: ReservationKey, message: m.Reserve, now: float) -> None:
        if message.service != self._settings.service:
            self._send([SlotReply(key, m.Decline(key.number, "other-service"))])
            return
        self._send(self._target_queue.reserve(to_reservation(key, message, now), now))

    def _reply(self, request: TargetRequest, message: m.Message) -> None:
        """Send the outcome of a request; keep it if the request is not idempotent."""
        if not request.message.idempotent:
            self._history.finish(request.name, message, now_s())
        self._send([SlotReply(request.reply_key, message)])

    def _send(self, replies: Iterable[SlotReply]) -> None:
        for key, message in replies:
            link = self._links_by_id.get(key.link)
            if link is not None:
                link.send(message)

    def _request_name(self, key: ReservationKey) -> RequestKey:
        link = self._links_by_id[key.link]
        return RequestKey(link.node, link.incarnation, key.number)

    def _resume(self, key: ReservationKey, process: int, now: float) -> None:
        """Reply over a new link to a request that was sent over a lost link.

        :param key: Key of the reservation on the new link.
        :param process: Random number of the process that granted the slot.
        :param now: Clock reading in seconds.
        """
        if process != self._target_queue.process:
            self._send([SlotReply(key, m.Failed(key.number, "exit-restarted"))])
            return
        name = self._request_name(key)
        running = self._keys_by_name.get(name)
        if running is not None:
            self._connections_by_key[running].request.reply_key = key
            return
        message = self._history.resolve(name, now)
        if message is not None:
            self._send([SlotReply(key, message)])

    def _execute(self, key: ReservationKey, message: m.Execute, now: float) -> None:
        """Run a request in its granted slot, at most once if it is not idempotent."""
        name = self._request_name(key)
        if not message.idempotent and not self._history.start(name, now):
            self._send(self._target_queue.withdraw(key, now))
            return
        if not self._target_queue.start(key, now):
            not_run = m.NotRun(key.number, "grant-expired", False)
            if not message.idempotent:
                self._history.finish(name, not_run, now)
            self._send([SlotReply(key, not_run)])
            return
        request = TargetRequest(key, name, message, now)
        self._keys_by_name[name] = key
        connection = self._idle_connections.take(self._address, message, now)
        is_new = connection is None
        if is_new:
            connection = TargetConnection(self._address)
        connection.request = request
        connection.history.start(message.attempt_id)
        self._connections_by_key[key] = connection
        if is_new:
            connection.stream = self.connect(
                self._address, CONNECT_TIMEOUT_S, connection
            )
        else:
            self._send_request(connection, now)

    def on_connected(self, stream: Stream) -> None:
        """Send the request that the connection was opened for."""
        connection: TargetConnection = stream.context
        if connection.request is not None:
            self._send_request(connection, now_s())

    def _send_request(self, connection: TargetConnection, now: float) -> None:
        request = connection.request
        message = request.message
        left_ms = int((request.deadline_s - now) * 1000)
        if left_ms <= 0:
            self._fail_unsent(connection, "deadline", now)
            return
        request.is_sent = True
        fields = target_request_fields(message, left_ms, self._target)
        protocol = connection.protocol
        data = protocol.send_request(message.method, message.target, fields)
        if message.body:
            data += protocol.send_body(message.body)
        self._log("handed over", request, "slot-granted", {"left_ms": left_ms})
        connection.stream.write(data + protocol.send_end())

    def _fail_unsent(
        self, connection: TargetConnection, reason: str, now: float
    ) -> None:
        """End a request of which nothing was sent to the target."""
        request = self._release(connection, now, ran=False)
        connection.stream.close()
        self._log("not run", request, reason, {})
        self._reply(request, m.NotRun(request.key.number, reason, False))

    def _release(
        self, connection: TargetConnection, now: float, ran: bool
    ) -> TargetRequest:
        """Detach the request from its connection and free its slot.

        :param connection: The connection.
        :param now: Clock reading in seconds.
        :param ran: Whether the time of the request shows how fast the target is.
        :returns: The request.
        """
        request, connection.request = connection.request, None
        self._connections_by_key.pop(request.key, None)
        self._keys_by_name.pop(request.name, None)
        self._send(self._target_queue.finish(request.key, ran, now))
        return request

    def on_bytes(self, stream: Stream, data: bytes) -> None:
        """Parse bytes received from the target."""
        connection: TargetConnection = stream.context
        if connection.request is None:
            # Unsolicited bytes belong to no request.
            stream.close()
            return
        self._process_events(connection, connection.protocol.receive(data))

    def _process_events(
        self, connection: TargetConnection, events: Iterable[HttpEvent]
    ) -> None:
        """Process parsed parts of responses, until the request has an outcome."""
        request = connection.request
        n_other_bytes = sum(
            other.request.n_bytes
            for other in self._connections_by_key.values()
            if other is not connection
        )
        for response in read_responses(connection, events, n_other_bytes):
            if isinstance(response, BadResponse):
                self._fail(connection, response.reason)
            elif isinstance(response, ForeignResponse):
                self._log("foreign answer dropped", request, "other-request", {})
            elif response.metadata.not_run:
                self._handle_not_run(connection, response.metadata)
            else:
                self._deliver_answer(connection, response.metadata)

    def _handle_not_run(
        self, connection: TargetConnection, marks: ResponseMetadata
    ) -> None:
        """Handle an answer which states that the target did not run the request."""
        now = now_s()
        request = self._release(connection, now, ran=False)
        self._idle_connections.put_back(connection, marks.idle_timeout_s, now)
        if request.status == STATUS_MISDIRECTED:
            # Another target has this address; its first report opens it to requests.
            self._set_accepting(False)
        else:
            self._target_queue.verdict.record_shed()
        reason = f"target-status-{request.status}"
        self._log("not run", request, reason, {})
        self._reply(request, m.NotRun(request.key.number, reason, True))
        self._log_verdict_change()

    def _deliver_answer(
        self, connection: TargetConnection, marks: ResponseMetadata
    ) -> None:
        now = now_s()
        request = connection.request
        if request.status < STATUS_SERVER_ERROR:
            self._target_queue.verdict.record_success(request.started_at_s)
        elif not self._nested_calls.explain_error(request.started_at_s):
            self._target_queue.verdict.record_error(now)
        is_late = now >= request.deadline_s - LATE_TIMEOUT_MARGIN_S
        if request.status == STATUS_TIMEOUT and is_late:
            self._target_queue.record_outcome(request.key, False, now)
        elif request.status < STATUS_SUCCESS_END:
            self._target_queue.record_outcome(request.key, True, now)
        self._release(connection, now, ran=True)
        self._idle_connections.put_back(connection, marks.idle_timeout_s, now)
        inputs = {
            "status": request.status,
            "run_ms": round((now - request.started_at_s) * 1000),
        }
        self._log("answered", request, "whole", inputs)
        answer = m.Answer(
            request.key.number,
            request.status,
            forwarded_response_fields(request.fields),
            b"".join(request.chunks),
        )
        self._reply(request, answer)
        self._log_verdict_change()

    def _fail(self, connection: TargetConnection, reason: str) -> None:
        """End a request that may have run but got no usable answer."""
        now = now_s()
        self._target_queue.verdict.record_failure(now)
        request = self._release(connection, now, ran=False)
        if not connection.stream.closed:
            connection.stream.abort()
        run_ms = round((now - request.started_at_s) * 1000)
        self._log("failed", request, reason, {"run_ms": run_ms})
        self._reply(request, m.Failed(request.key.number, reason))
        self._log_verdict_change()

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handle the end of a connection to the target."""
        connection: TargetConnection = stream.context
        self._idle_connections.discard(connection)
        request = connection.request
        if request is None:
            return
        if not request.is_sent:
            self._target_queue.verdict.record_failure(now_s())
            self._fail_unsent(connection, "connect-failed", now_s())
            self._log_verdict_change()
            return
        if reason == "closed by peer":
            # An answer without a length ends when its connection is closed.
            self._process_events(connection, connection.protocol.receive(b""))
        if connection.request is not None:
            self._fail(connection, "cut-short" if request.status else "target-lost")

    def _withdraw(self, key: ReservationKey, now: float) -> None:
        """Withdraw a reservation, or cancel its request, which nothing waits for."""
        connection = self._connections_by_key.get(key)
        if connection is None:
            matching = (
                connection
                for connection in self._connections_by_key.values()
                if connection.request.reply_key == key
            )
            connection = next(matching, None)
        if connection is None:
            self._send(self._target_queue.withdraw(key, now))
            return
        self._cancel(connection, "withdrawn", now)

    def _cancel(self, connection: TargetConnection, reason: str, now: float) -> None:
        request = self._release(connection, now, ran=False)
        if not request.message.idempotent:
            outcome = m.Failed(request.key.number, reason)
            self._history.finish(request.name, outcome, now)
        connection.stream.abort()
        run_ms = round((now - request.started_at_s) * 1000)
        self._log("cancelled", request, reason, {"run_ms": run_ms})

    @handler("link_down", channel="*")
    def _on_link_down(self, link, reason):
        if link.is_entry or self._links_by_id.pop(link.serial, None) is None:
            return
        now = now_s()
        self._send(self._target_queue.drop_link(link.serial, now))
        for connection in list(self._connections_by_key.values()):
            request = connection.request
            if request.reply_key.link == link.serial and request.message.idempotent:
                self._cancel(connection, "link-lost", now)

    @handler("fleet_changed", channel="*")
    def _on_fleet_changed(self):
        self._target_queue.n_targets = self._fleet.n_targets(self._settings.service)

    @handler("settings_changed", channel="*")
    def _on_settings_changed(self, settings: FleetSettings):
        self._retry_budget.resize(
            settings.retry_ratio, settings.retry_window_s, settings.retry_slack
        )

    @handler("stop_node", channel="*")
    def _on_stop_node(self):
        """Schedule the end of admission; requests at the target run to their end.

        Until then other nodes may still send requests to this node's target.
        """
        self._stop_accepting_at_s = now_s() + STOP_ADMITTING_AFTER_S

    @handler("tick", channel="*")
    def _on_tick(self, now):
        self.expire_connects(now)
        for connection in list(self._connections_by_key.values()):
            if connection.request.is_sent and now >= connection.request.deadline_s:
                self._target_queue.record_outcome(connection.request.key, False, now)
                self._fail(connection, "timeout")
        if now >= self._stop_accepting_at_s and self._target_queue.accepting:
            self._set_accepting(False)
        self._send(self._target_queue.tick(now))
        self._history.expire(now)

    def _log_verdict_change(self) -> None:
        """Log and count a change of the health verdict on the target."""
        state = self._target_queue.verdict.state
        if state == self._verdict_state:
            return
        extra = {"target": self._target, "old": self._verdict_state, "new": state}
        logger.info("exit: target judged", extra=extra)
        self._metrics.count("target-judged", state)
        self._verdict_state = state

    def _log(
        self, action: str, request: TargetRequest, reason: str, inputs: dict
    ) -> None:
        message = request.message
        extra = {
            "request_id": message.attempt_id.decode("latin-1"),
            "customer": message.customer,
            "target": self._target,
            "verdict": self._target_queue.verdict.state,
            "reason": reason,
            **inputs,
        }
        logger.info("exit: %s", action, extra=extra)
