"""Application that assembles and runs the tasks of a node on the users' platform."""

import logging
import os
import secrets
import signal as signals
from collections.abc import Iterator, Mapping
from pathlib import Path

from circuits import handler
from circuits.core.events import signal as signal_event
from circuits.core.pollers import EPoll

from heatherspur.core import Address, now_s
from heatherspur.dispatch import FleetSettings, RoutingTable, TargetReport
from heatherspur.dispatch.departures import Departure
from heatherspur.dispatch.fleet import FleetView, Member
from heatherspur.dispatch.nested_calls import NestedCalls
from heatherspur.http import HttpSettings
from heatherspur.link import LinkSettings
from heatherspur.net import Ticker, is_refused
from heatherspur.node import events as node_events
from heatherspur.node.callers import CallerServer
from heatherspur.ops import NodeLoop, count_dropped_lines
from heatherspur.platform import KeyedHub, KeyedRecord, put_records
from heatherspur.platform.wire import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    decode_settings,
    decode_table,
)
from heatherspur.sidecar.conf import (
    MIN_STOP_S,
    SEND_GRACE_FRACTION,
    STOP_GRACE_FRACTION,
)
from heatherspur.sidecar.control import ControlServer
from heatherspur.sidecar.entry import SidecarEntry
from heatherspur.sidecar.events import (
    departure_recorded,
    end_requests,
    fleet_changed,
    members_read,
    settings_changed,
    table_changed,
)
from heatherspur.sidecar.exit import SidecarExit
from heatherspur.sidecar.feed import SidecarFeed
from heatherspur.sidecar.links import SidecarLinkHub, SidecarLinks
from heatherspur.sidecar.metrics import SidecarMetrics
from heatherspur.sidecar.records import (
    MEMBERS_TOPIC,
    decode_departure,
    decode_member,
    departure_key,
    encode_departure,
    encode_member,
    is_departure_key,
)

__all__ = ["SidecarApp"]

# Interval at which tasks check timeouts; a fifth of the shortest latency objective.
TICK_S = 0.05
# In force until a configuration with limits on callers is applied.
INITIAL_HTTP_SETTINGS = HttpSettings(16384, 3.0, 15.0, 3000)
LINK_CONNECT_TIMEOUT_S = 1.0
SETTINGS_CHECK_INTERVAL_S = 1.0
# Callers retry a refused connection for one second; the first reads of the store take a
# few hundredths of a second.
MAX_LISTEN_DELAY_S = 1.0
METRICS_PORT = 9464
# The target is on the same host, which accepts or refuses connections at once.
TARGET_CHECK_TIMEOUT_S = 0.05
# The other settings are addresses and the identity of the node, which change only with
# a restart.
RELOADABLE_SETTINGS = ("grace_s", "retry_ratio", "retry_window_s", "retry_slack")

logger = logging.getLogger("heatherspur.node")


class SidecarApp(NodeLoop):
    """Root component of a node; it owns all tasks and the reload and shutdown.

    :param settings: Settings of the node, as written by the platform.
    :param path: Path of the settings file, which is reloaded when it changes.
    """

    channel = "node"

    def __init__(self, settings: FleetSettings, path: Path) -> None:
        super().__init__()
        self._settings = settings
        self._path = path
        self._settings_data = path.read_bytes()
        self._file_state = _file_state(path)
        self._next_settings_check_s = now_s() + SETTINGS_CHECK_INTERVAL_S
        self._stopping_since_s: float | None = None
        self._has_ended_requests = False
        self._is_listening = False
        self._listen_by_s = now_s() + MAX_LISTEN_DELAY_S
        self._table: RoutingTable | None = None
        self._has_members = False
        self._target_report: TargetReport | None = None
        self._departure: Departure | None = None
        self._departure_key = departure_key(settings.node)
        poller = EPoll().register(self)
        Ticker(TICK_S).register(self)
        self._metrics = SidecarMetrics()
        me = str(settings.links)
        self._fleet = FleetView(me, settings.zone)
        identity = (me, secrets.token_hex(4), settings.zone)
        link_settings = LinkSettings("", LINK_CONNECT_TIMEOUT_S)
        self._hub = SidecarLinkHub(link_settings, lambda: identity).register(self)
        self._links = SidecarLinks(self._hub, self._fleet).register(self)
        self._caller_server = CallerServer(
            INITIAL_HTTP_SETTINGS, listens_to_end=True
        ).register(self)
        nested_calls = NestedCalls()
        self._entry = SidecarEntry(
            settings, self._fleet, self._links, self._metrics, nested_calls
        ).register(self)
        self._exit = SidecarExit(
            settings, self._fleet, self._metrics, nested_calls
        ).register(self)
        self._control = ControlServer(
            settings.service,
            self._is_ready,
            self._render_metrics,
            settings.report_gap_s,
        ).register(self)
        topics = (CONFIG_TOPIC, MEMBERS_TOPIC)
        self._store = KeyedHub(settings.store.address, topics).register(self)
        SidecarFeed(self._fleet, self._links, self._store, topics).register(self)
        for hub in (
            self._hub,
            self._caller_server,
            self._exit,
            self._control,
            self._store,
        ):
            hub.attach(poller)

    @handler("started", channel="*")
    def _on_started(self, *_):
        # circuits itself handles only the signals that end a process.
        signals.signal(signals.SIGHUP, lambda *args: self.fire(signal_event(*args)))
        settings = self._settings
        try:
            self._hub.listen(settings.links)
            self._control.listen(settings.control)
            self._control.listen(settings.readiness)
            self._control.listen(Address(settings.links.host, METRICS_PORT))
        except OSError as error:
            self._exit_on_bind_error(error)
        self._links.open_local()
        extra = {"zone": settings.zone, "service": settings.service}
        logger.info("node: started", extra=extra)

    def _exit_on_bind_error(self, error: OSError) -> None:
        extra = {"step": "listen", "reason": str(error)}
        logger.error("node: failed to bind an address", extra=extra)
        raise SystemExit(1) from error

    def _listen_for_callers(self) -> None:
        """Open the listener for callers, once.

        The listener opens only when requests can be served, since callers retry a
        refused connection at once but mostly give up after a 503. After a slow start
        the node listens all the same and answers 503.
        """
        if self._is_listening:
            return
        self._is_listening = True
        try:
            self._caller_server.listen(self._settings.callers)
        except OSError as error:
            self._exit_on_bind_error(error)

    def _is_ready(self) -> bool:
        if self._stopping_since_s is not None or self._table is None:
            return False
        return now_s() >= self._entry.grants_from_s

    @handler("keys_changed", channel="*")
    def _on_keys_changed(self, topic, values_by_key):
        if topic == CONFIG_TOPIC:
            value = values_by_key.get(CONFIG_KEY)
            if value:
                self._apply_table(value)
        elif topic == MEMBERS_TOPIC:
            self._apply_members(values_by_key)

    def _apply_table(self, value: bytes) -> None:
        """Apply a configuration, unless it is invalid or not newer than the current."""
        decoded = decode_table(value, CONFIG_TOPIC)
        if decoded.is_err():
            extra = {"reason": decoded.err_value.reason}
            logger.warning("node: configuration skipped", extra=extra)
            return
        table: RoutingTable = decoded.ok_value
        if self._table is not None and table.version <= self._table.version:
            return
        old = self._table.version if self._table else 0
        self._table = table
        extra = {"version": table.version, "old": old}
        logger.info("node: configuration in force", extra=extra)
        self._caller_server.apply_settings(
            INITIAL_HTTP_SETTINGS._replace(
                max_head_bytes=table.max_head_bytes,
                head_timeout_s=table.head_timeout_s,
                idle_timeout_s=table.idle_timeout_s,
            )
        )
        self.fire(table_changed(table), "*")

    def _apply_members(self, values_by_host: dict[str, bytes]) -> None:
        for host, value in values_by_host.items():
            if is_departure_key(host):
                continue
            member = decode_member(host, value)
            if member is None:
                self._fleet.remove(host)
            else:
                self._fleet.put(host, member)
        if not self._has_members:
            known = self._fleet.members_by_host.get(self._settings.node)
            is_same = known is not None and known.node == self._fleet.node_id
            self._fleet.was_member = is_same
        self._has_members = True
        self._restore_departure(values_by_host)
        self.fire(fleet_changed(), "*")
        self._publish_target()

    @handler("records_read", channel="*")
    def _on_records_read(self, topic, records, next_offset, is_whole):
        """Restore a departure from the store before any report takes effect."""
        if topic != MEMBERS_TOPIC or not is_whole:
            return
        self._restore_departure({record.key: record.value for record in records})
        self.fire(members_read(), "control")

    def _restore_departure(self, values_by_key: Mapping[str, bytes]) -> None:
        """Take over a departure that a former process of this node recorded.

        It is obsolete if another start of the target has registered since.
        """
        key, host = self._departure_key, self._settings.node
        departure = decode_departure(key, values_by_key.get(key, b""))
        own = self._departure
        if departure is None or (own is not None and own.covers(departure)):
            return
        self._departure = departure
        member = decode_member(host, values_by_key.get(host, b""))
        member = member or self._fleet.members_by_host.get(host)
        if member is not None and member.started_at_ms > departure.started_at_ms:
            return
        extra = {"target": departure.target, "gone": departure.gone}
        logger.info("node: departure of the target restored", extra=extra)
        self.fire(departure_recorded(departure), "control")

    @handler("records_written", channel="*")
    def _on_records_written(self, topic, records):
        for record in records:
            if record.key == self._departure_key and record.value:
                departure = decode_departure(record.key, record.value)
                self.fire(departure_recorded(departure), "control")

    @handler("target_heard", channel="*")
    def _on_target_heard(self, report, departure):
        self._target_report = report
        self._publish_target(departure)

    def _publish_target(self, departure: Departure | None = None) -> None:
        """Write the records of this node's target that changed, in one call.

        :param departure: Departure to record, if there is a new one.
        """
        records = list(self._changed_member())
        if departure is not None and departure != self._departure:
            self._departure = departure
            value = encode_departure(departure)
            records.append(KeyedRecord(self._departure_key, value))
        if records:
            self.fire(put_records(MEMBERS_TOPIC, tuple(records)), "store")

    def _changed_member(self) -> Iterator[KeyedRecord]:
        """Yield the record of the target as a member, if it differs from the known."""
        report, settings = self._target_report, self._settings
        if report is None or not self._has_members:
            return
        # A departure that was read from the store doesn't state the slots.
        if not report.gone and not report.slots:
            return
        known = self._fleet.members_by_host.get(settings.node)
        member = None
        if not report.gone:
            member = Member(
                node=str(settings.links),
                zone=settings.zone,
                service=settings.service,
                target=report.target,
                started_at_ms=report.started_at_ms,
                slots=report.slots,
                ready=report.ready,
            )
        if member == known:
            return
        if member is None:
            self._fleet.remove(settings.node)
            yield KeyedRecord(settings.node, b"")
            return
        self._fleet.put(settings.node, member)
        yield KeyedRecord(settings.node, encode_member(member))

    @handler("signal", channel="*")
    def _on_signal(self, signo, _stack):
        if signo == signals.SIGHUP:
            self._reload("signal")
        elif signo in (signals.SIGTERM, signals.SIGINT):
            self._begin_stop()

    def _begin_stop(self) -> None:
        if self._stopping_since_s is not None:
            return
        self._stopping_since_s = now_s()
        logger.info("node: stopping", extra={"work_in_hand": self._n_open_requests})
        self._remove_departure()
        self.fire(node_events.stop_node(), "*")

    def _remove_departure(self) -> None:
        """Delete the record of a departure, unless the target still runs.

        Until it has ended, this node may be started again and needs the record.
        """
        if self._departure is None:
            return
        if is_refused(self._settings.target, TARGET_CHECK_TIMEOUT_S):
            record = KeyedRecord(self._departure_key, b"")
            self.fire(put_records(MEMBERS_TOPIC, (record,)), "store")

    def _reload(self, cause: str) -> None:
        """Reload the settings file; one that is unreadable or invalid changes nothing.

        :param cause: What triggered the reload, for the log.
        """
        try:
            data = self._path.read_bytes()
        except OSError as error:
            logger.warning("node: settings unreadable", extra={"reason": str(error)})
            return
        if data == self._settings_data:
            logger.info("node: reloaded", extra={"cause": cause, "changed": []})
            return
        self._settings_data = data
        decoded = decode_settings(data, str(self._path))
        if decoded.is_err():
            extra = {"reason": decoded.err_value.reason}
            logger.warning("node: settings not usable", extra=extra)
            return
        self._apply_settings(decoded.ok_value, cause)

    def _apply_settings(self, settings: FleetSettings, cause: str) -> None:
        """Apply the settings that can be reloaded; log those that need a restart."""
        changed = [
            name
            for name, old, new in zip(
                FleetSettings._fields, self._settings, settings, strict=True
            )
            if old != new
        ]
        reloadable = {name: getattr(settings, name) for name in RELOADABLE_SETTINGS}
        self._settings = self._settings._replace(**reloadable)
        pending_restart = sorted(set(changed) - set(RELOADABLE_SETTINGS))
        extra = {"cause": cause, "changed": changed, "after_restart": pending_restart}
        logger.info("node: reloaded", extra=extra)
        if len(pending_restart) < len(changed):
            self.fire(settings_changed(self._settings), "*")

    @property
    def _n_open_requests(self) -> int:
        return self._caller_server.n_exchanges + self._exit.n_open

    @property
    def _n_unsent(self) -> int:
        """Number of connections to callers and nodes with bytes to send."""
        return self._caller_server.n_unsent + self._hub.n_unsent

    @handler("tick", channel="*")
    def _on_tick(self, now):
        is_known = self._table is not None and self._has_members
        if is_known or now >= self._listen_by_s:
            self._listen_for_callers()
        if now >= self._next_settings_check_s:
            self._next_settings_check_s = now + SETTINGS_CHECK_INTERVAL_S
            self._check_settings_file()
        if self._stopping_since_s is not None:
            self._continue_stop(now - self._stopping_since_s)

    def _continue_stop(self, age_s: float) -> None:
        """End the process when all answers were sent, or before it is killed.

        :param age_s: Time since the stop signal, in seconds.
        """
        grace_s = self._settings.grace_s
        is_done = self._n_open_requests == 0 and self._n_unsent == 0
        is_idle = is_done and self._store.idle
        if (is_idle and age_s > MIN_STOP_S) or age_s > grace_s * SEND_GRACE_FRACTION:
            extra = {"work_in_hand": self._n_open_requests, "unsent": self._n_unsent}
            logger.info("node: stopped", extra=extra)
            raise SystemExit(0)
        if age_s > grace_s * STOP_GRACE_FRACTION and not self._has_ended_requests:
            self._has_ended_requests = True
            self.fire(end_requests(), "entry")

    def _check_settings_file(self) -> None:
        """Reload the settings file if it changed without a signal."""
        state = _file_state(self._path)
        if state is not None and state != self._file_state:
            self._file_state = state
            self._reload("file")

    def _render_metrics(self) -> tuple[bytes, str]:
        now = now_s()
        counts = {
            "callers": self._caller_server.n_callers,
            "exchanges_entry": self._caller_server.n_exchanges,
            "exchanges_exit": self._exit.n_open,
            "reservations_waiting": self._exit.n_waiting,
            "body_bytes": self._entry.n_body_bytes,
            "nodes_answering": len(self._fleet.nodes(now)),
            "targets_ready": self._fleet.n_ready,
            "configuration": self._table.version if self._table else 0,
            "store_calls": self._store.n_calls,
            "store_reachable": int(self._store.reachable),
            "link_bytes_sent": self._hub.n_sent_bytes,
        }
        return self._metrics.render(counts, count_dropped_lines())


def _file_state(path: Path) -> tuple[int, int] | None:
    """Return the size and modification time of a file.

    :returns: Size in bytes and modification time in nanoseconds, or ``None`` if the
        file can't be accessed.
    """
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return stat.st_size, stat.st_mtime_ns
