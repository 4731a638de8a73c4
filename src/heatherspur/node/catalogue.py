"""Replication of the catalogue: applies log records and serves them to other nodes."""

import logging

from circuits import BaseComponent, handler

from heatherspur.catalogue import AskPeer, CatalogueReplica, new_change_id, snapshot
from heatherspur.core import now_s, stable_hash
from heatherspur.link import messages as m
from heatherspur.node import events
from heatherspur.node.directory import LinkDirectory
from heatherspur.platform import append

__all__ = ["CatalogueTask"]

MAX_SNAPSHOT_STAGGER_S = 20.0

logger = logging.getLogger("heatherspur.catalogue")


class CatalogueTask(BaseComponent):
    """Task that owns the catalogue of one node.

    :param replica: The catalogue in force.
    :param links: Links to other nodes.
    :param node: Id of this node.
    :param snapshot_interval_s: Seconds between snapshots of the catalogue in the log.
    """

    channel = "catalogue"

    def __init__(
        self,
        replica: CatalogueReplica,
        links: LinkDirectory,
        node: str,
        snapshot_interval_s: float,
    ) -> None:
        super().__init__()
        self._replica = replica
        self._links = links
        self._node = node
        self._snapshot_interval_s = snapshot_interval_s
        self._snapshot_offset = 0
        self._last_snapshot_s = now_s()

    @handler("log_answered")
    def _on_log_answered(self, answer, asked_at_s):
        results = self._replica.apply_log_answer(
            answer.records, answer.head, asked_at_s
        )
        self._publish_changes(results, bool(answer.records))

    @handler("log_expired")
    def _on_log_expired(self, oldest):
        logger.warning("catalogue: log records expired", extra={"oldest": oldest})
        message = self._replica.start_rebuild(oldest)
        self.fire(events.seek(message.offset), "log")

    @handler("ask_peer")
    def _on_ask_peer(self, ask: AskPeer):
        """Request records from a peer that were not read from the log yet."""
        link = self._links.entry_links_by_node.get(ask.node)
        if link is not None:
            link.send(m.RecordsRequest(ask.offset))

    @handler("received")
    def _on_received(self, link, messages):
        for message in messages:
            self._receive(link, message)

    def _receive(self, link, message: m.Message) -> None:
        if isinstance(message, m.RecordsRequest):
            link.send(self._records_for(message.offset))
        elif isinstance(message, m.Records):
            results = self._replica.apply_peer_records(message.items)
            self._publish_changes(results, bool(message.items))
        elif isinstance(message, m.StateSnapshot):
            restored = self._replica.restore_peer_state(message.offset, message.state)
            extra = {"node": link.node, "offset": message.offset, "taken": restored}
            logger.info("catalogue: received state from peer", extra=extra)
            self._publish_changes([], restored)

    def _records_for(self, offset: int) -> m.Records | m.StateSnapshot:
        """Return the records from an offset on, or the whole state if they are gone."""
        records = self._replica.records_from(offset)
        if records is None:
            state = self._replica.state
            return m.StateSnapshot(state.offset, state.dump())
        return m.Records(tuple(m.RecordItem(*record) for record in records))

    def _publish_changes(self, results, changed: bool) -> None:
        """Log applied changes, and notify the other tasks of a new state."""
        for result in results:
            extra = {**result._asdict(), "accepted": result.accepted}
            logger.info("catalogue: change applied", extra=extra)
        if changed:
            self.fire(events.catalogue_changed(results), "*")

    @handler("tick", channel="*")
    def _on_tick(self, now):
        self._write_snapshot(now)

    def _write_snapshot(self, now: float) -> None:
        """Write a snapshot to the log if one is due.

        A hash of the node id and of the last snapshot's offset staggers the nodes, so
        that usually only one of them writes the next snapshot.
        """
        replica = self._replica
        if replica.state.snapshot_offset != self._snapshot_offset:
            self._snapshot_offset = replica.state.snapshot_offset
            self._last_snapshot_s = now
        share = stable_hash(self._node, self._snapshot_offset) / 2**64
        stagger_s = min(MAX_SNAPSHOT_STAGGER_S, self._snapshot_interval_s)
        due_s = self._last_snapshot_s + self._snapshot_interval_s + share * stagger_s
        is_new = replica.state.offset > self._snapshot_offset
        is_current = replica.log_head_seen_at_s is not None
        if now < due_s or not is_new or not is_current:
            return
        self._last_snapshot_s = now
        offset = replica.state.offset
        record = snapshot(new_change_id(), offset, replica.state.dump())
        self.fire(append(record), "log")
        logger.info("catalogue: snapshot written", extra={"offset": offset})
