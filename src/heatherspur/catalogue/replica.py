"""Keeps the state in force up to date from the log and from peers.

The replica has no clock and no socket: it takes answers of the log, records and
states from peers and the offsets that peers announce, and says what to do next.
"""

from collections import deque
from typing import NamedTuple

from heatherspur.catalogue.state import CatalogueState, ChangeResult, rebuild

__all__ = ["AskPeer", "CatalogueReplica", "Seek"]

MAX_RECENT_RECORDS = 512
ASK_INTERVAL_S = 0.5


class AskPeer(NamedTuple):
    """Ask a peer for records.

    :param node: Node id of the peer.
    :param offset: First offset wanted.
    """

    node: str
    offset: int


class Seek(NamedTuple):
    """Read the log on from another offset.

    :param offset: The offset.
    """

    offset: int


class CatalogueReplica:
    """The catalogue of one node and how fresh it is.

    :param now: Clock reading in seconds.
    :param isolation_s: Seconds without a word from the log or a peer after which
        the node takes no keyed request.
    """

    def __init__(self, now: float, isolation_s: float) -> None:
        self.state = CatalogueState()
        self._isolation_s = isolation_s
        self._recent: deque[tuple[int, str]] = deque(maxlen=MAX_RECENT_RECORDS)
        self._rebuilding: list[tuple[int, str]] | None = None
        self._heard_at_s = now
        self._behind_since_s: float | None = None
        self._asked_at_s = 0.0
        self.head_seen_at_s: float | None = None
        self.log_head_seen_at_s: float | None = None
        self.has_state = False

    def apply_log_answer(
        self, records: tuple[tuple[int, str], ...], head: int, asked_at_s: float
    ) -> list[ChangeResult]:
        """Take an answer of the log.

        :param records: Offsets and texts, without gaps.
        :param head: Offset that the next record will get.
        :param asked_at_s: Clock reading when the question was sent.
        :returns: What became of the records' changes.
        """
        self._heard_at_s = max(self._heard_at_s, asked_at_s)
        results = self._take_log_records(records, head)
        if self._rebuilding is None and self.state.offset >= head:
            self.has_state = True
            self.log_head_seen_at_s = asked_at_s
            self.head_seen_at_s = max(self.head_seen_at_s or 0.0, asked_at_s)
            self._behind_since_s = None
        return results

    def _take_log_records(
        self, records: tuple[tuple[int, str], ...], head: int
    ) -> list[ChangeResult]:
        if self._rebuilding is None:
            return self._apply(records)
        self._rebuilding.extend(records)
        next_offset = self._rebuilding[-1][0] + 1 if self._rebuilding else head
        if next_offset < head:
            return []
        rebuilt = rebuild(self._rebuilding)
        if rebuilt is not None and rebuilt.offset > self.state.offset:
            self.state.restore(rebuilt.offset, rebuilt.dump())
        if rebuilt is not None or not self._rebuilding:
            self._rebuilding = None
        return []

    def _apply(self, records: tuple[tuple[int, str], ...]) -> list[ChangeResult]:
        results = []
        for offset, value in records:
            if offset > self.state.offset:
                break
            if offset == self.state.offset:
                self._recent.append((offset, value))
            result = self.state.apply(offset, value)
            if result is not None:
                results.append(result)
        return results

    def start_rebuild(self, oldest: int) -> Seek:
        """Start to rebuild, since the next record has expired.

        The old state stays in force until the new one is whole.

        :param oldest: Offset of the oldest record kept.
        """
        self._rebuilding = []
        return Seek(oldest)

    def apply_peer_records(
        self, records: tuple[tuple[int, str], ...]
    ) -> list[ChangeResult]:
        """Take records that a peer passed on."""
        return self._apply(records)

    def restore_peer_state(self, offset: int, state: str) -> bool:
        """Take a whole state that a peer offered.

        :returns: Whether it was newer than the own one.
        """
        restored = self.state.restore(offset, state)
        self.has_state = self.has_state or restored
        if restored and self._rebuilding and self._rebuilding[0][0] <= offset:
            kept, self._rebuilding = self._rebuilding, None
            self._apply(tuple(record for record in kept if record[0] >= offset))
        return restored

    def apply_peer_offset(
        self, node: str, offset: int, head_age_s: float, now: float
    ) -> AskPeer | None:
        """Take the offset that a peer announced.

        :param node: Node id of the peer.
        :param offset: Offset that it reached.
        :param head_age_s: Age of its newest word from the log, in seconds.
        :param now: Clock reading in seconds.
        :returns: What to ask the peer for, if anything.
        """
        self._heard_at_s = now
        if offset > self.state.offset:
            if self._behind_since_s is None:
                self._behind_since_s = now
            if now - self._asked_at_s < ASK_INTERVAL_S:
                return None
            self._asked_at_s = now
            return AskPeer(node, self.state.offset)
        if offset == self.state.offset:
            self.has_state = self.has_state or offset > 0
            seen_at_s = now - head_age_s
            self.head_seen_at_s = max(self.head_seen_at_s or 0.0, seen_at_s)
            self._behind_since_s = None
        return None

    def records_from(self, offset: int) -> tuple[tuple[int, str], ...] | None:
        """Return the records from an offset on, or ``None`` if some are not kept."""
        if self._recent and self._recent[0][0] <= offset:
            return tuple(r for r in self._recent if r[0] >= offset)
        return None

    def head_age_s(self, now: float) -> float:
        """Return the age of the newest word from the log, in seconds."""
        return now - (self.head_seen_at_s or 0.0)

    def can_admit_keyed_requests(self, now: float) -> bool:
        """Tell whether keyed requests may be taken.

        :param now: Clock reading in seconds.
        :returns: ``False`` while the node holds no state, is cut off from the log
            and all peers, or lags behind a peer for too long.
        """
        if not self.has_state or now - self._heard_at_s > self._isolation_s:
            return False
        behind_since_s = self._behind_since_s
        return behind_since_s is None or now - behind_since_s <= self._isolation_s
