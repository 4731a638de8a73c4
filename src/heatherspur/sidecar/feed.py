"""Replication of the store's records.

A node obtains the records from the store or from a neighbour, and forwards them to the
nodes that it feeds.
"""

import logging
import random

from circuits import BaseComponent, handler

from heatherspur.core import now_s
from heatherspur.dispatch.fleet import FleetView
from heatherspur.feed import FeedMonitor, FeedPlan, TopicRecords
from heatherspur.feed.conf import HEARTBEAT_INTERVAL_S
from heatherspur.link import messages as m
from heatherspur.platform import KeyedHub, KeyedRecord
from heatherspur.sidecar.events import keys_changed
from heatherspur.sidecar.links import SidecarLinks

__all__ = ["SidecarFeed"]

logger = logging.getLogger("heatherspur.feed")


class SidecarFeed(BaseComponent):
    """Task that owns the node's copy of the topics and feeds other nodes.

    :param fleet: Members and their reachability.
    :param links: Links to other nodes.
    :param store: Client of the store.
    :param topics: Names of the topics, that of the configuration first.
    """

    channel = "feed"

    def __init__(
        self,
        fleet: FleetView,
        links: SidecarLinks,
        store: KeyedHub,
        topics: tuple[str, ...],
    ) -> None:
        super().__init__()
        self._fleet = fleet
        self._links = links
        self._store = store
        self._config_topic = topics[0]
        self._records_by_topic = {topic: TopicRecords() for topic in topics}
        self._plan = FeedPlan(fleet.node_id, fleet.zone)
        self._monitor = FeedMonitor()
        self._rng = random.Random()
        # Candidate for record requests besides the nodes of the zone: after a start,
        # the fleet view contains no other node yet.
        self._last_heartbeat_sender = fleet.node_id
        self._next_heartbeat_s = 0.0
        self._is_fed = False
        # Offsets by topic up to which records were sent over a node's current link.
        self._sent_by_node: dict[str, dict[str, int]] = {}

    @property
    def _config_end(self) -> int:
        return self._records_by_topic[self._config_topic].next_offset

    @handler("records_read", channel="*")
    def _on_records_read(self, topic, records, next_offset, is_whole):
        before = self._config_end
        self._merge(topic, records, next_offset, is_whole)
        if topic == self._config_topic and before < self._config_end:
            for node in self._plan.feeders:
                self._links.send(node, m.FeedEndOffset(self._config_end))

    def _merge(self, topic: str, records, next_offset: int, is_whole: bool) -> None:
        known = self._records_by_topic[topic]
        was_known = known.is_known
        changed = known.merge(records, next_offset, is_whole)
        if topic == self._config_topic:
            self._monitor.record_end_offset(next_offset)
        if changed or known.is_known != was_known:
            self.fire(keys_changed(topic, changed), "*")
        for node in self._plan.fed_nodes:
            self._send_new_records(node)

    def _send_new_records(self, node: str) -> None:
        """Send a node the records that were not sent to it yet.

        A node that can't read the store sends no unsolicited records: while the store
        is unavailable to all nodes, each of them becomes the feeder for a short time.
        """
        if not self._store.reads_store_directly:
            return
        sent_by_topic = self._sent_by_node.setdefault(node, {})
        for topic, known in self._records_by_topic.items():
            since = sent_by_topic.get(topic, 0)
            if not known.is_known or (
                topic in sent_by_topic and known.next_offset <= since
            ):
                continue
            sent_by_topic[topic] = known.next_offset
            records = tuple(m.FeedRecord(*record) for record in known.since(since))
            update = m.FeedRecords(topic, since, known.next_offset, records)
            self._links.send(node, update)

    @handler("received")
    def _on_received(self, link, messages):
        for message in messages:
            if isinstance(message, m.FeedRecords):
                self._receive_records(message)
            elif isinstance(message, m.FeedHeartbeat):
                self._last_heartbeat_sender = link.node
                self._monitor.record_end_offset(message.known_end)
                self._monitor.record_heartbeat(link.node, message.reads_store, now_s())
            elif isinstance(message, m.FeedEndOffset):
                self._monitor.record_end_offset(message.next_offset)
            elif isinstance(message, m.FeedRequest):
                self._send_requested_records(link, message)

    def _receive_records(self, update: m.FeedRecords) -> None:
        """Merge records of a neighbour, unless there is a gap before them."""
        known = self._records_by_topic.get(update.topic)
        if known is None or update.since > known.next_offset:
            return
        records = [KeyedRecord(*record) for record in update.records]
        self._merge(update.topic, records, update.next_offset, update.since == 0)
        self._store.advance(update.topic, known.next_offset)

    @handler("store_changed", channel="*")
    def _on_store_changed(self, reachable):
        """Tell the fed nodes at once that this feeder lost or regained the store."""
        self._next_heartbeat_s = 0.0

    @handler("link_down", channel="*")
    def _on_link_down(self, link, reason):
        if link.is_entry:
            self._sent_by_node.pop(link.node, None)

    @handler("tick", channel="*")
    def _on_tick(self, now):
        self._monitor.update_offset(self._config_end, now)
        if self._monitor.try_start_refresh(now):
            extra = {"known": self._config_end, "end": self._monitor.known_end}
            logger.warning(
                "feed: records missing, reading the store again", extra=extra
            )
            self._store.refresh(self._config_topic)
        is_heartbeat_due = now >= self._next_heartbeat_s
        if is_heartbeat_due:
            self._next_heartbeat_s = now + HEARTBEAT_INTERVAL_S
            self._update_plan(now)
        is_fed = self._monitor.is_fed(now) and not self._plan.is_feeder
        if is_fed != self._is_fed:
            self._is_fed = is_fed
            logger.info("feed: source changed", extra={"neighbour": is_fed})
        # A node that became the feeder resumes reading before its first heartbeat
        # announces that it reads the store. A node that has just started reads the
        # store first: its neighbours may lack its own newest records.
        self._store.pause(is_fed and self._store.has_read_topics)
        if is_heartbeat_due:
            self._send_heartbeats(now)

    def _update_plan(self, now: float) -> None:
        nodes_by_zone = self._fleet.nodes_by_zone(now)
        self._plan.update(nodes_by_zone, self._monitor.excluded_nodes(now))
        self._store.max_wait_s = self._plan.read_wait_s
        self._monitor.expect(self._plan.own_feeder, now)
        for node in self._sent_by_node.keys() - set(self._plan.fed_nodes):
            del self._sent_by_node[node]

    def _send_heartbeats(self, now: float) -> None:
        reads_store = self._store.reads_store_directly
        for node in self._plan.fed_nodes:
            self._send_new_records(node)
            self._links.send(
                node, m.FeedHeartbeat(reads_store, self._monitor.known_end)
            )
        if self._plan.is_feeder:
            self._monitor.record_store_access(self._fleet.node_id, reads_store, now)
        if self._monitor.try_start_request(reads_store, now):
            neighbours = {*self._fleet.nodes_by_zone(now)[self._fleet.zone]}
            neighbours.add(self._last_heartbeat_sender)
            others = sorted(neighbours - {self._fleet.node_id})
            if others:
                self._request_records(self._rng.choice(others))

    def _request_records(self, node: str) -> None:
        """Request from a neighbour the records that the store does not provide."""
        for topic, known in self._records_by_topic.items():
            since = known.next_offset if known.is_known else 0
            self._links.send(node, m.FeedRequest(topic, since))

    def _send_requested_records(self, link, request: m.FeedRequest) -> None:
        """Send a neighbour the records that it requested, if there are any."""
        known = self._records_by_topic.get(request.topic)
        if known is None or not known.is_known or known.next_offset <= request.since:
            return
        records = tuple(m.FeedRecord(*record) for record in known.since(request.since))
        link.send(
            m.FeedRecords(request.topic, request.since, known.next_offset, records)
        )
