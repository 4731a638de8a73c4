"""Assembles the tasks of a node on the users' platform and runs them."""

import logging
import os
import secrets
import signal as signals
from pathlib import Path

import cbor2
from circuits import handler
from circuits.core.events import signal as signal_event
from circuits.core.pollers import EPoll

from heatherspur.core import Address, now_s
from heatherspur.dispatch import FleetSettings, RoutingTable, TargetReport
from heatherspur.dispatch.fleet import FleetView, Member
from heatherspur.http import HttpSettings
from heatherspur.link import LinkSettings
from heatherspur.net import Ticker
from heatherspur.node import events as node_events
from heatherspur.node.callers import CallerServer
from heatherspur.ops import NodeLoop
from heatherspur.platform import KeyedHub, KeyedRecord, put_record
from heatherspur.platform.wire import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    decode_settings,
    decode_table,
)
from heatherspur.sidecar.conf import MIN_STOP_S, STOP_SHARE
from heatherspur.sidecar.control import ControlServer
from heatherspur.sidecar.entry import SidecarEntry
from heatherspur.sidecar.events import (
    fleet_changed,
    settings_changed,
    table_changed,
)
from heatherspur.sidecar.exit import SidecarExit
from heatherspur.sidecar.feed import SidecarFeed
from heatherspur.sidecar.links import SidecarLinkHub, SidecarLinks
from heatherspur.sidecar.metrics import SidecarMetrics

__all__ = ["SidecarApp"]

# Finest time at which waiting requests are looked after; a fifth of the shortest
# objective.
TICK_S = 0.05
MEMBERS_TOPIC = "keyed.members"
# Until the configuration tells the limits on callers.
FIRST_HTTP = HttpSettings(16384, 3.0, 15.0, 3000)
LINK_CONNECT_TIMEOUT_S = 1.0
SETTINGS_CHECK_S = 1.0
# Callers try to connect for a second; the first reads of the store take a few
# hundredths of one.
FIRST_LISTEN_S = 1.0
METRICS_PORT = 9464
# The others name addresses and the node itself; a node that moves is started anew.
LIVE_SETTINGS = ("grace_s", "retry_ratio", "retry_window_s", "retry_slack")

logger = logging.getLogger("heatherspur.node")


class SidecarApp(NodeLoop):
    """One node.

    :param settings: Settings of the platform.
    :param path: Path of the settings file, read again when it changes.
    """

    channel = "node"

    def __init__(self, settings: FleetSettings, path: Path) -> None:
        super().__init__()
        self._settings = settings
        self._path = path
        self._data = path.read_bytes()
        self._file_state = _file_state(path)
        self._next_check_s = now_s() + SETTINGS_CHECK_S
        self._stopping_since_s: float | None = None
        self._listens = False
        self._listen_at_s = now_s() + FIRST_LISTEN_S
        self._table: RoutingTable | None = None
        self._members_known = False
        self._beat: TargetReport | None = None
        poller = EPoll().register(self)
        Ticker(TICK_S).register(self)
        self._metrics = SidecarMetrics()
        me = str(settings.links)
        self._fleet = FleetView(me, settings.zone)
        identity = (me, secrets.token_hex(4), settings.zone)
        link_settings = LinkSettings("", LINK_CONNECT_TIMEOUT_S)
        self._hub = SidecarLinkHub(link_settings, lambda: identity).register(self)
        self._links = SidecarLinks(self._hub, self._fleet).register(self)
        self._front = CallerServer(FIRST_HTTP, listens_to_end=True).register(self)
        self._entry = SidecarEntry(
            settings, self._fleet, self._links, self._metrics
        ).register(self)
        self._exit = SidecarExit(settings, self._fleet, self._metrics).register(self)
        self._control = ControlServer(
            settings.service, self._is_ready, self._render
        ).register(self)
        topics = (CONFIG_TOPIC, MEMBERS_TOPIC)
        self._store = KeyedHub(settings.store.address, topics).register(self)
        SidecarFeed(self._fleet, self._links, self._store, topics).register(self)
        for hub in (self._hub, self._front, self._exit, self._control, self._store):
            hub.attach(poller)

    @handler("started", channel="*")
    def _on_started(self, *_):
        # circuits itself takes only the signals that end a process.
        signals.signal(signals.SIGHUP, lambda *args: self.fire(signal_event(*args)))
        settings = self._settings
        try:
            self._hub.listen(settings.links)
            self._control.listen(settings.control)
            self._control.listen(settings.readiness)
            self._control.listen(Address(settings.links.host, METRICS_PORT))
        except OSError as error:
            self._end_unbound(error)
        self._links.open_local()
        extra = {"zone": settings.zone, "service": settings.service}
        logger.info("node: started", extra=extra)

    def _end_unbound(self, error: OSError) -> None:
        extra = {"step": "listen", "reason": str(error)}
        logger.error("node: address can't be bound", extra=extra)
        raise SystemExit(1) from error

    def _listen_for_callers(self) -> None:
        """Let callers connect, as soon as their requests can be served.

        A caller whose connection is refused tries again at once, one that is told 503
        mostly does not; only a start that takes long is worth a word.
        """
        if self._listens:
            return
        self._listens = True
        try:
            self._front.listen(self._settings.callers)
        except OSError as error:
            self._end_unbound(error)

    def _is_ready(self) -> bool:
        is_stopping = self._stopping_since_s is not None
        return self._table is not None and self._members_known and not is_stopping

    @handler("keys_changed", channel="*")
    def _on_keys_changed(self, topic, values_by_key):
        if topic == CONFIG_TOPIC:
            value = values_by_key.get(CONFIG_KEY)
            if value:
                self._take_table(value)
        elif topic == MEMBERS_TOPIC:
            self._take_members(values_by_key)

    def _take_table(self, value: bytes) -> None:
        """Put a configuration in force, unless it is older than the one in force."""
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
        self._front.apply_settings(
            FIRST_HTTP._replace(
                max_head_bytes=table.max_head_bytes,
                head_timeout_s=table.head_timeout_s,
                idle_timeout_s=table.idle_timeout_s,
            )
        )
        self.fire(table_changed(table), "*")

    def _take_members(self, values_by_host: dict[str, bytes]) -> None:
        for host, value in values_by_host.items():
            member = _decode_member(host, value)
            if member is None:
                self._fleet.remove(host)
            else:
                self._fleet.put(host, member)
        self._members_known = True
        self.fire(fleet_changed(), "*")
        self._announce()

    @handler("target_heard", channel="*")
    def _on_target_heard(self, beat):
        self._beat = beat
        self._announce()

    def _announce(self) -> None:
        """Record the target beside this node, unless the record says so already."""
        beat, settings = self._beat, self._settings
        if beat is None or not self._members_known:
            return
        known = self._fleet.members_by_host.get(settings.node)
        member = None
        if not beat.gone:
            member = Member(
                node=str(settings.links),
                zone=settings.zone,
                service=settings.service,
                target=beat.target,
                started_at_ms=beat.started_at_ms,
                slots=beat.slots,
                ready=beat.ready,
            )
        if member == known:
            return
        value = b"" if member is None else cbor2.dumps(list(member))
        if member is None:
            self._fleet.remove(settings.node)
        else:
            self._fleet.put(settings.node, member)
        self.fire(put_record(MEMBERS_TOPIC, KeyedRecord(settings.node, value)), "store")

    @handler("signal", channel="*")
    def _on_signal(self, signo, _stack):
        if signo == signals.SIGHUP:
            self._reload("signal")
        elif signo in (signals.SIGTERM, signals.SIGINT):
            self._stop()

    def _stop(self) -> None:
        if self._stopping_since_s is not None:
            return
        self._stopping_since_s = now_s()
        logger.info("node: stopping", extra={"work_in_hand": self._n_open})
        self.fire(node_events.stop_node(), "*")

    def _reload(self, cause: str) -> None:
        """Read the settings file again; a broken one changes nothing."""
        try:
            data = self._path.read_bytes()
        except OSError as error:
            logger.warning("node: settings not read", extra={"reason": str(error)})
            return
        if data == self._data:
            logger.info("node: reloaded", extra={"cause": cause, "changed": []})
            return
        self._data = data
        decoded = decode_settings(data, str(self._path))
        if decoded.is_err():
            extra = {"reason": decoded.err_value.reason}
            logger.warning("node: settings not usable", extra=extra)
            return
        self._use(decoded.ok_value, cause)

    def _use(self, settings: FleetSettings, cause: str) -> None:
        """Put the settings in force that can change while the node runs."""
        changed = [
            name
            for name, old, new in zip(
                FleetSettings._fields, self._settings, settings, strict=True
            )
            if old != new
        ]
        live = {name: getattr(settings, name) for name in LIVE_SETTINGS}
        self._settings = self._settings._replace(**live)
        waiting = sorted(set(changed) - set(LIVE_SETTINGS))
        extra = {"cause": cause, "changed": changed, "after_restart": waiting}
        logger.info("node: reloaded", extra=extra)
        if len(waiting) < len(changed):
            self.fire(settings_changed(self._settings), "*")

    @property
    def _n_open(self) -> int:
        return self._front.n_exchanges + self._exit.n_open

    @handler("tick", channel="*")
    def _on_tick(self, now):
        is_known = self._table is not None and self._members_known
        if is_known or now >= self._listen_at_s:
            self._listen_for_callers()
        if now >= self._next_check_s:
            self._next_check_s = now + SETTINGS_CHECK_S
            self._check_settings_file()
        if self._stopping_since_s is None:
            return
        age_s = now - self._stopping_since_s
        is_idle = self._n_open == 0 and self._store.idle
        is_over = age_s > self._settings.grace_s * STOP_SHARE
        if is_over or (is_idle and age_s > MIN_STOP_S):
            logger.info("node: stopped", extra={"work_in_hand": self._n_open})
            raise SystemExit(0)

    def _check_settings_file(self) -> None:
        """Notice a settings file that changed without a signal."""
        state = _file_state(self._path)
        if state is not None and state != self._file_state:
            self._file_state = state
            self._reload("file")

    def _render(self) -> tuple[bytes, str]:
        now = now_s()
        counts = {
            "callers": self._front.n_callers,
            "exchanges_entry": self._front.n_exchanges,
            "exchanges_exit": self._exit.n_open,
            "reservations_waiting": self._exit.n_waiting,
            "nodes_answering": len(self._fleet.nodes(now)),
            "targets_ready": self._fleet.n_ready,
            "configuration": self._table.version if self._table else 0,
            "store_calls": self._store.n_calls,
            "store_reachable": int(self._store.reachable),
            "link_bytes_sent": self._hub.n_sent_bytes,
        }
        return self._metrics.render(counts)


def _file_state(path: Path) -> tuple[int, int] | None:
    """Return what changes with a file's content, or ``None`` if it can't be told."""
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return stat.st_size, stat.st_mtime_ns


def _decode_member(host: str, value: bytes) -> Member | None:
    """Decode a record of another node; one that can't be used counts as none."""
    if not value:
        return None
    try:
        node, zone, service, target, started_at_ms, slots, ready = cbor2.loads(value)
        return Member(
            str(node),
            str(zone),
            str(service),
            str(target),
            int(started_at_ms),
            int(slots),
            bool(ready),
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        extra = {"host": host, "reason": str(error)}
        logger.warning("node: member skipped", extra=extra)
        return None
