"""Membership of a node: links to other nodes, heartbeats and leases of targets."""

import logging
from collections.abc import Callable

from circuits import BaseComponent, handler

from heatherspur.catalogue import CatalogueReplica, NodeRecord, new_change_id, node_join
from heatherspur.catalogue import node_leave as node_leave_record
from heatherspur.core import now_s, parse_address
from heatherspur.exchange import EntryCore
from heatherspur.link import LinkHub
from heatherspur.link import messages as m
from heatherspur.membership import Dial, PeerTable, TargetRegistry
from heatherspur.node import events
from heatherspur.node.directory import LinkDirectory
from heatherspur.platform import append
from heatherspur.routing import TargetSelector

__all__ = ["MembersTask"]

REJOIN_INTERVAL_S = 5.0
# A longer gap between ticks means that the process was suspended.
MIN_PAUSE_S = 1.0
# Shortest gap between heartbeats, as a fraction of their regular interval.
MIN_HEARTBEAT_GAP_FRACTION = 0.5
# Finished requests after which a heartbeat is sent early.
MIN_NEW_SAMPLES = 4

logger = logging.getLogger("heatherspur.members")


class MembersTask(BaseComponent):
    """Task that keeps the links to other nodes and detects failed nodes and targets.

    :param me: Record of this node.
    :param peers: The other nodes.
    :param replica: The catalogue in force; read only.
    :param hub: Hub that opens the links.
    :param links: Directory of open links, which this task updates.
    :param target_selector: Receives the target reports of exits.
    :param core: Receives the clocks and incarnations of exits.
    :param reports: Returns the reports of the targets beside this node.
    :param heartbeat_s: Seconds between heartbeats.
    """

    channel = "members"

    def __init__(
        self,
        me: NodeRecord,
        peers: PeerTable,
        replica: CatalogueReplica,
        hub: LinkHub,
        links: LinkDirectory,
        target_selector: TargetSelector,
        core: EntryCore,
        reports: Callable[[], tuple[m.TargetReport, ...]],
        heartbeat_s: float,
    ) -> None:
        super().__init__()
        self._me = me
        self._peers = peers
        self._replica = replica
        self._hub = hub
        self._links = links
        self._target_selector = target_selector
        self._core = core
        self._reports = reports
        self._heartbeat_s = heartbeat_s
        self.registry = TargetRegistry()
        self._outbound_links_by_node: dict[str, object] = {}
        self._next_heartbeat_s = 0.0
        self._next_ping_s = 0.0
        self._last_heartbeat_s = 0.0
        self._last_tick_s = now_s()
        self._n_reported_requests = 0
        self._next_join_s = 0.0
        self._is_leaving = False

    def open_local(self) -> None:
        """Open the link from this node to itself."""
        link = self._hub.open_local()
        self._links.entry_links_by_node[self._me.node] = link
        self._links.exit_links.add(link.peer_end)
        self._core.incarnations_by_node[self._me.node] = self._me.incarnation

    @handler("announced")
    def _on_announced(self, announcement):
        for change in self.registry.announce(announcement, now_s()):
            self._publish_target_change(change)

    def _publish_target_change(self, change) -> None:
        announcement = change.announcement
        extra = {
            "target": announcement.target,
            "service": announcement.service,
            "address": str(announcement.address),
            "state": change.state,
        }
        logger.info("members: target %s", change.state, extra=extra)
        self.fire(events.target_changed(change), "exit", "ejection")

    @handler("link_up", channel="*")
    def _on_link_up(self, link):
        if not link.is_entry:
            self._links.exit_links.add(link)
            self._send_heartbeats([link], now_s())
            return
        node = link.node
        if self._outbound_links_by_node.get(node) is not link:
            self._hub.close_stream(link.stream, f"answers as {node}")
            return
        self._links.entry_links_by_node[node] = link
        self._core.incarnations_by_node[node] = link.incarnation
        self._core.clocks_by_node.pop(node, None)
        self._peers.link_up(node, link.incarnation, link.zone, now_s())
        extra = {"node": node, "zone": link.zone, "incarnation": link.incarnation}
        logger.info("members: link to node established", extra=extra)

    @handler("link_down", channel="*")
    def _on_link_down(self, link, reason):
        self._links.exit_links.discard(link)
        if not link.is_entry:
            return
        for node, outbound in list(self._outbound_links_by_node.items()):
            if outbound is link:
                del self._outbound_links_by_node[node]
                self._handle_link_loss(node, link, reason)

    def _handle_link_loss(self, node: str, link, reason: str) -> None:
        self._peers.link_down(node, now_s())
        if self._links.entry_links_by_node.get(node) is not link:
            return
        del self._links.entry_links_by_node[node]
        self._target_selector.remove_node(node)
        extra = {"node": node, "reason": reason}
        logger.warning("members: link to node lost", extra=extra)
        self.fire(events.node_lost(node), "entry", "limits")

    @handler("received")
    def _on_received(self, link, messages):
        for message in messages:
            self._receive(link, message)

    def _receive(self, link, message: m.Heartbeat | m.Ping) -> None:
        if isinstance(message, m.Ping):
            link.ping_s = message.clock_s
            return
        now = now_s()
        node = link.node
        self._core.clocks_by_node[node] = message.clock_s
        if node != self._me.node:
            self._peers.record_heartbeat(node, message.clock_s, message.echo_s, now)
            ask = self._replica.apply_peer_offset(
                node, message.offset, message.head_age_s, now
            )
            if ask is not None:
                self.fire(events.ask_peer(ask), "catalogue")
        self._target_selector.update_node(node, link.zone, message.targets)

    @handler("report_now")
    def _on_report_now(self):
        self._send_heartbeats(list(self._links.exit_links), now_s())

    @handler("stop_node", channel="*")
    def _on_stop_node(self):
        self._is_leaving = True

    @handler("tick", channel="*")
    def _on_tick(self, now):
        if now - self._last_tick_s > MIN_PAUSE_S:
            self._peers.record_pause(now)
        self._last_tick_s = now
        for change in self.registry.expire(now):
            self._publish_target_change(change)
        if now >= self._next_heartbeat_s or self._has_new_samples(now):
            self._send_heartbeats(list(self._links.exit_links), now)
        if now >= self._next_ping_s:
            self._next_ping_s = now + self._heartbeat_s
            self._send_pings(now)
        self._peers.update(self._replica.state.nodes_by_id, now)
        for message in list(self._peers.tick(now)):
            if isinstance(message, Dial):
                link = self._hub.dial(parse_address(message.node))
                self._outbound_links_by_node[message.node] = link
            else:
                self._remove_node(message.node, message.incarnation)
        self._check_links(now)
        self._check_own_record(now)

    def _has_new_samples(self, now: float) -> bool:
        """Return whether new samples of the targets justify an early heartbeat.

        Other nodes compare the samples with those of their own targets.
        """
        if (
            now - self._last_heartbeat_s
            < self._heartbeat_s * MIN_HEARTBEAT_GAP_FRACTION
        ):
            return False
        n_total = sum(report.n_total for report in self._reports())
        return n_total - self._n_reported_requests >= MIN_NEW_SAMPLES

    def _send_heartbeats(self, links: list, now: float) -> None:
        """Send a heartbeat over each link.

        :param links: Exit ends of the links.
        :param now: Clock reading in seconds.
        """
        reports = self._reports()
        self._last_heartbeat_s = now
        self._next_heartbeat_s = now + self._heartbeat_s
        self._n_reported_requests = sum(report.n_total for report in reports)
        for link in links:
            heartbeat = m.Heartbeat(
                clock_s=now,
                echo_s=link.ping_s,
                offset=self._replica.state.offset,
                head_age_s=self._replica.head_age_s(now),
                targets=reports,
            )
            link.send(heartbeat)

    def _send_pings(self, now: float) -> None:
        """Send pings, which exits echo in their heartbeats.

        An echo shows that an exit receives the messages of this node.
        """
        for link in self._links.entry_links_by_node.values():
            link.send(m.Ping(now))

    def _check_links(self, now: float) -> None:
        """Update which nodes are reachable, and close links to silent ones."""
        alive = {peer.node for peer in self._peers.alive_peers(now)}
        self._target_selector.mark_reachable(alive | {self._me.node})
        for peer in list(self._peers.silent_peers(now)):
            link = self._outbound_links_by_node.get(peer.node)
            if link is not None:
                self._hub.close_stream(link.stream, "silent")

    def _check_own_record(self, now: float) -> None:
        """Append the record of this node to the log, if the catalogue lacks it.

        A running node joins again if other nodes removed it.
        """
        if self._is_leaving or now < self._next_join_s or not self._replica.has_state:
            return
        known = self._replica.state.nodes_by_id.get(self._me.node)
        if known != self._me:
            self._next_join_s = now + REJOIN_INTERVAL_S
            self.fire(append(node_join(new_change_id(), self._me)), "log")

    def _remove_node(self, node: str, incarnation: str) -> None:
        extra = {"node": node, "incarnation": incarnation}
        logger.warning("members: node removed from the catalogue", extra=extra)
        record = node_leave_record(new_change_id(), node, incarnation)
        self.fire(append(record), "log")
