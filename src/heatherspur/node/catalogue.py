"""Applies log records and passes them on to nodes that lack them."""

import logging

from circuits import BaseComponent, handler

from heatherspur.catalogue import AskPeer, CatalogueReplica, new_change_id, snapshot
from heatherspur.core import now_s, stable_hash
from heatherspur.link import messages as m
from heatherspur.node import events
from heatherspur.node.directory import LinkDirectory
from heatherspur.platform import append

__all__ = ["CatalogueTask"]

SNAPSHOT_SPREAD_S = 20.0

logger = logging.getLogger("heatherspur.catalogue")


class CatalogueTask(BaseComponent):
    """The catalogue of one node.

    :param replica: The catalogue in force.
    :param links: Links to other nodes.
    :param node: Own node id.
    :param snapshot_interval_s: Seconds after which the state is written again.
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
        self._snapshot_at_s = now_s()

    @handler("log_answered")
    def _on_log_answered(self, answer, asked_at_s):
        results = self._replica.apply_log_answer(
            answer.records, answer.head, asked_at_s
        )
        self._changed(results, bool(answer.records))

    @handler("log_expired")
    def _on_log_expired(self, oldest):
        logger.warning("catalogue: records expired", extra={"oldest": oldest})
        message = self._replica.start_rebuild(oldest)
        self.fire(events.seek(message.offset), "log")

    @handler("ask_peer")
    def _on_ask_peer(self, ask: AskPeer):
        """Ask a peer for records that the log did not give yet."""
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
            self._changed(results, bool(message.items))
        elif isinstance(message, m.StateSnapshot):
            restored = self._replica.restore_peer_state(message.offset, message.state)
            extra = {"node": link.node, "offset": message.offset, "taken": restored}
            logger.info("catalogue: state from peer", extra=extra)
            self._changed([], restored)

    def _records_for(self, offset: int) -> m.Records | m.StateSnapshot:
        records = self._replica.records_from(offset)
        if records is None:
            state = self._replica.state
            return m.StateSnapshot(state.offset, state.dump())
        return m.Records(tuple(m.RecordItem(*record) for record in records))

    def _changed(self, results, changed: bool) -> None:
        for result in results:
            extra = {**result._asdict(), "accepted": result.accepted}
            logger.info("catalogue: change applied", extra=extra)
        if changed:
            self.fire(events.catalogue_changed(results), "*")

    @handler("tick", channel="*")
    def _on_tick(self, now):
        self._write_snapshot(now)

    def _write_snapshot(self, now: float) -> None:
        """Write the state again when it is due, later than nodes of a lower rank."""
        replica = self._replica
        if replica.state.snapshot_offset != self._snapshot_offset:
            self._snapshot_offset = replica.state.snapshot_offset
            self._snapshot_at_s = now
        share = stable_hash(self._node, self._snapshot_offset) / 2**64
        spread_s = min(SNAPSHOT_SPREAD_S, self._snapshot_interval_s)
        due_s = self._snapshot_at_s + self._snapshot_interval_s + share * spread_s
        is_new = replica.state.offset > self._snapshot_offset
        is_current = replica.log_head_seen_at_s is not None
        if now < due_s or not is_new or not is_current:
            return
        self._snapshot_at_s = now
        offset = replica.state.offset
        record = snapshot(new_change_id(), offset, replica.state.dump())
        self.fire(append(record), "log")
        logger.info("catalogue: snapshot written", extra={"offset": offset})
