"""Application that assembles and runs the tasks of a node on the users' platform."""

import logging
import os
import secrets
import signal as signals
from pathlib import Path

from circuits import handler
from circuits.core.events import signal as signal_event
from circuits.core.pollers import EPoll

from heatherspur.core import Address, now_s
from heatherspur.dispatch import FleetSettings, RoutingTable
from heatherspur.dispatch.fleet import FleetView
from heatherspur.dispatch.nested_calls import NestedCalls
from heatherspur.http import HttpSettings
from heatherspur.link import LinkSettings
from heatherspur.net import Ticker
from heatherspur.node import events as node_events
from heatherspur.node.callers import CallerServer
from heatherspur.ops import NodeLoop, count_dropped_lines
from heatherspur.platform import KeyedHub
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
    end_requests,
    settings_changed,
    table_changed,
)
from heatherspur.sidecar.exit import SidecarExit
from heatherspur.sidecar.feed import SidecarFeed
from heatherspur.sidecar.links import SidecarLinkHub, SidecarLinks
from heatherspur.sidecar.members import SidecarMembers
from heatherspur.sidecar.metrics import SidecarMetrics
from heatherspur.sidecar.records import MEMBERS_TOPIC

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
        poller = EPoll().register(self)
        Ticker(TICK_S).register(self)
        self._metrics = SidecarMetrics()
        me = str(settings.links)
        self._fleet = FleetView(me, settings.zone)
        identity = (me, secrets.token_hex(4), settings.zone)
        link_settings = LinkSettings("", LINK_CONNECT_TIMEOUT_S)
        self._members = SidecarMembers(settings, self._fleet).register(self)
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
        value = values_by_key.get(CONFIG_KEY) if topic == CONFIG_TOPIC else None
        if value:
            self._apply_table(value)

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
        self.fire(node_events.stop_node(), "*")

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
        is_known = self._table is not None and self._members.is_known
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
