"""Replica of the catalogue, updated from the log and from peers.

The replica performs no I/O and reads no clock: its inputs are answers from the log,
records and states from peers and the offsets that peers announce; its outputs are the
next reads and requests. It decides whether the node may admit keyed requests while
the log or the peers are unreachable.
"""

from collections import deque
from typing import NamedTuple

from heatherspur.catalogue.state import CatalogueState, ChangeResult, rebuild

__all__ = ["AskPeer", "CatalogueReplica", "Seek"]

MAX_RECENT_RECORDS = 512
REQUEST_INTERVAL_S = 0.5


class AskPeer(NamedTuple):
    """Request records from a peer.

    :param node: Node id of the peer.
    :param offset: First offset to send.
    """

    node: str
    offset: int


class Seek(NamedTuple):
    """Continue reading the log at another offset.

    :param offset: The offset.
    """

    offset: int


class CatalogueReplica:
    """Catalogue state of one node and its freshness.

    :ivar state: The state in force.
    :ivar head_seen_at_s: Clock reading at which the state was known to be current,
        from the log or from a peer; ``None`` if never.
    :ivar log_head_seen_at_s: The same, from the log only.
    :ivar has_state: Whether the node has obtained a complete state.

    :param now: Clock reading in seconds.
    :param isolation_s: Seconds without contact to the log or a peer, or behind a
        peer, after which the node admits no keyed requests.
    """

    def __init__(self, now: float, isolation_s: float) -> None:
        self.state = CatalogueState()
        self._isolation_s = isolation_s
        self._recent_records: deque[tuple[int, str]] = deque(maxlen=MAX_RECENT_RECORDS)
        self._rebuild_records: list[tuple[int, str]] | None = None
        self._last_contact_at_s = now
        self._behind_since_s: float | None = None
        self._last_request_at_s = 0.0
        self.head_seen_at_s: float | None = None
        self.log_head_seen_at_s: float | None = None
        self.has_state = False

    def apply_log_answer(
        self, records: tuple[tuple[int, str], ...], head: int, asked_at_s: float
    ) -> list[ChangeResult]:
        """Apply an answer from the log.

        :param records: Offsets and texts, without gaps.
        :param head: Offset that the next record will get.
        :param asked_at_s: Clock reading when the request was sent, in seconds.
        :returns: Outcomes of the changes in the records.
        """
        self._last_contact_at_s = max(self._last_contact_at_s, asked_at_s)
        results = self._process_log_records(records, head)
        if self._rebuild_records is None and self.state.offset >= head:
            self.has_state = True
            self.log_head_seen_at_s = asked_at_s
            self.head_seen_at_s = max(self.head_seen_at_s or 0.0, asked_at_s)
            self._behind_since_s = None
        return results

    def _process_log_records(
        self, records: tuple[tuple[int, str], ...], head: int
    ) -> list[ChangeResult]:
        if self._rebuild_records is None:
            return self._apply(records)
        self._rebuild_records.extend(records)
        next_offset = (
            self._rebuild_records[-1][0] + 1 if self._rebuild_records else head
        )
        if next_offset < head:
            return []
        rebuilt = rebuild(self._rebuild_records)
        if rebuilt is not None and rebuilt.offset > self.state.offset:
            self.state.restore(rebuilt.offset, rebuilt.dump())
        if rebuilt is not None or not self._rebuild_records:
            self._rebuild_records = None
        return []

    def _apply(self, records: tuple[tuple[int, str], ...]) -> list[ChangeResult]:
        results = []
        for offset, value in records:
            if offset > self.state.offset:
                break
            if offset == self.state.offset:
                self._recent_records.append((offset, value))
            result = self.state.apply(offset, value)
            if result is not None:
                results.append(result)
        return results

    def start_rebuild(self, oldest: int) -> Seek:
        """Start to rebuild the state because the next record has expired in the log.

        The old state stays in force until the new one is complete.

        :param oldest: Offset of the oldest record that the log retains.
        :returns: Where to continue reading the log.
        """
        self._rebuild_records = []
        return Seek(oldest)

    def apply_peer_records(
        self, records: tuple[tuple[int, str], ...]
    ) -> list[ChangeResult]:
        """Apply records received from a peer.

        :param records: Offsets and texts.
        :returns: Outcomes of the changes in the records.
        """
        return self._apply(records)

    def restore_peer_state(self, offset: int, state: str) -> bool:
        """Restore a complete state received from a peer if it is newer.

        :param offset: Offset after the last record that the state includes.
        :param state: The state, as returned by :meth:`CatalogueState.dump`.
        :returns: Whether the state was restored.
        """
        restored = self.state.restore(offset, state)
        self.has_state = self.has_state or restored
        if restored and self._rebuild_records and self._rebuild_records[0][0] <= offset:
            rebuild_records, self._rebuild_records = self._rebuild_records, None
            self._apply(
                tuple(record for record in rebuild_records if record[0] >= offset)
            )
        return restored

    def apply_peer_offset(
        self, node: str, offset: int, head_age_s: float, now: float
    ) -> AskPeer | None:
        """Compare the own offset with the one that a peer announced.

        :param node: Node id of the peer.
        :param offset: Offset that the peer has reached.
        :param head_age_s: Age of the peer's view of the log's head, in seconds.
        :param now: Clock reading in seconds.
        :returns: Request for the missing records, or ``None``.
        """
        self._last_contact_at_s = now
        if offset > self.state.offset:
            if self._behind_since_s is None:
                self._behind_since_s = now
            if now - self._last_request_at_s < REQUEST_INTERVAL_S:
                return None
            self._last_request_at_s = now
            return AskPeer(node, self.state.offset)
        if offset == self.state.offset:
            self.has_state = self.has_state or offset > 0
            seen_at_s = now - head_age_s
            self.head_seen_at_s = max(self.head_seen_at_s or 0.0, seen_at_s)
            self._behind_since_s = None
        return None

    def records_from(self, offset: int) -> tuple[tuple[int, str], ...] | None:
        """Return the records from an offset on, or ``None`` if some are not cached."""
        if self._recent_records and self._recent_records[0][0] <= offset:
            return tuple(r for r in self._recent_records if r[0] >= offset)
        return None

    def head_age_s(self, now: float) -> float:
        """Return the age of the view of the log's head, in seconds.

        :param now: Clock reading in seconds.
        """
        return now - (self.head_seen_at_s or 0.0)

    def can_admit_keyed_requests(self, now: float) -> bool:
        """Return whether keyed requests may be admitted.

        :param now: Clock reading in seconds.
        :returns: ``False`` while the node has no state, is cut off from the log
            and all peers, or has been behind a peer for longer than ``isolation_s``.
        """
        if not self.has_state or now - self._last_contact_at_s > self._isolation_s:
            return False
        behind_since_s = self._behind_since_s
        return behind_since_s is None or now - behind_since_s <= self._isolation_s
