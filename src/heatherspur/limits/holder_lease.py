"""Decides whether a share holder may grant tokens at a given moment.

A holder may grant only while its lease is proven: within ``limit_proof_s`` it read the
log's head itself, or a majority of the table's members confirmed that they have applied
no newer table. A new holder first waits until a majority of the members of each earlier
table that may still be in use has applied the new holder's table, and then until every
proof and every token lease of the earlier holder has expired. All times count from when
a query was sent, since its answer may be delayed. Compare Gray and Cheriton, "Leases",
SOSP 1989.
"""

from typing import NamedTuple

from heatherspur.catalogue import LimitTable
from heatherspur.limits.conf import LimitSettings

__all__ = ["HolderLease", "SendTableQuery", "ShareTenure"]

QUERY_INTERVAL_S = 0.25
MAX_OPEN_ROUNDS = 16
LONG_AGO_S = -1e9  # the first holders of a fleet have no predecessors to wait for


class SendTableQuery(NamedTuple):
    """Action: ask a node which table it has applied.

    :param node: Node id.
    :param round: Number of the round of queries.
    :param epoch: Epoch of this node's table.
    """

    node: str
    round: int
    epoch: int


class TableAnswer(NamedTuple):
    """Newest answer of a node to a table query.

    :param epoch: Epoch of the newest table that the node has applied.
    :param sent_at_s: Clock reading at which the query was sent.
    """

    epoch: int
    sent_at_s: float


class ShareTenure(NamedTuple):
    """A range of consecutive epochs in which one incarnation holds a share.

    :param share: Index of the share.
    :param first_epoch: First epoch of the range.
    """

    share: int
    first_epoch: int


class HolderLease:
    """Lease under which one incarnation of a node may grant tokens and permits.

    :param node: Id of this node.
    :param incarnation: Incarnation of this node.
    :param settings: Limit settings.
    """

    def __init__(self, node: str, incarnation: str, settings: LimitSettings) -> None:
        self._node = node
        self._incarnation = incarnation
        self._settings = settings
        self._tables: tuple[LimitTable, ...] = ()
        self._settled_by_share: dict[int, int] = {}
        self._learned_at_by_epoch: dict[int, float] = {}
        self._head_read_at_s: float | None = None
        self._sent_at_by_round: dict[int, float] = {}
        self._answers_by_node: dict[str, TableAnswer] = {}
        self._superseded_at_by_tenure: dict[ShareTenure, float] = {}
        self._settled_tenures: set[ShareTenure] = set()
        self._next_round = 1
        self._queried_at_s = 0.0

    @property
    def table(self) -> LimitTable | None:
        """Newest table applied."""
        return self._tables[-1] if self._tables else None

    @property
    def epoch(self) -> int:
        """Epoch of the newest table applied; 0 if there is none."""
        return self._tables[-1].epoch if self._tables else 0

    @property
    def reported_epoch(self) -> int:
        """Epoch that this node reports to members.

        It is 0 until the log's head has been read once: a restarted node has lost
        the tables that it confirmed before.
        """
        return self.epoch if self._head_read_at_s is not None else 0

    def apply_tables(
        self,
        tables: tuple[LimitTable, ...],
        settled_by_share: dict[int, int],
        now: float,
    ) -> None:
        """Apply the tables in force.

        :param tables: Tables that the log still holds, oldest first.
        :param settled_by_share: For each share, the first epoch of the newest holder
            that has begun to grant tokens.
        :param now: Clock reading in seconds.
        """
        self._settled_by_share = dict(settled_by_share)
        if not tables or tables[-1].epoch <= self.epoch:
            return
        self._tables = tables
        for table in tables:
            self._learned_at_by_epoch.setdefault(table.epoch, now)

    def record_head_read(self, sent_at_s: float) -> None:
        """Record that the log's head was read and every record up to it applied.

        :param sent_at_s: Clock reading at which the read was sent.
        """
        self._head_read_at_s = max(sent_at_s, self._head_read_at_s or 0.0)

    def due_queries(self, now: float) -> list[SendTableQuery]:
        """Start a round of table queries, if one is due.

        :param now: Clock reading in seconds.
        :returns: Queries to send.
        """
        table = self.table
        if table is None or now - self._queried_at_s < QUERY_INTERVAL_S:
            return []
        if not table.shares_of(self._node, self._incarnation):
            return []
        self._queried_at_s = now
        number, self._next_round = self._next_round, self._next_round + 1
        self._sent_at_by_round[number] = now
        self._sent_at_by_round.pop(number - MAX_OPEN_ROUNDS, None)
        nodes = {node for t in self._unsettled_earlier_tables() for node in t.members}
        others = sorted((nodes | table.members) - {self._node})
        return [SendTableQuery(node, number, table.epoch) for node in others]

    def record_answer(self, node: str, number: int, epoch: int, now: float) -> None:
        """Record a node's answer to a table query.

        :param node: Node id.
        :param number: Number of the round.
        :param epoch: Epoch that the node reported; 0 if it may not confirm any table.
        :param now: Clock reading in seconds; no lease counts from it.
        """
        sent_at_s = self._sent_at_by_round.get(number)
        if sent_at_s is None or epoch == 0:
            return
        known = self._answers_by_node.get(node)
        if known is None or known.sent_at_s < sent_at_s:
            self._answers_by_node[node] = TableAnswer(epoch, sent_at_s)

    @property
    def tenures(self) -> tuple[ShareTenure, ...]:
        """Current tenures of this node, one for each share that it holds."""
        table = self.table
        if table is None:
            return ()
        shares = table.shares_of(self._node, self._incarnation)
        return tuple(ShareTenure(share, self._first_epoch(share)) for share in shares)

    def can_grant_tokens(self, tenure: ShareTenure, now: float) -> bool:
        """Return whether this node may grant tokens of a share now.

        :param tenure: One of :attr:`tenures`.
        :param now: Clock reading in seconds.
        """
        return self.granting_since_s(tenure, now) is not None and self._is_proven(now)

    def can_grant_permits(
        self, tenure: ShareTenure, lease_s: float, now: float
    ) -> bool:
        """Return whether this node may grant permits for a share now.

        An earlier holder may have granted a permit just before it stopped granting
        tokens, so a new holder also waits until the longest permit has expired.

        :param tenure: One of :attr:`tenures`.
        :param lease_s: Longest lease of a permit, in seconds.
        :param now: Clock reading in seconds.
        """
        granting_since_s = self.granting_since_s(tenure, now)
        if granting_since_s is None or now - granting_since_s < lease_s:
            return False
        return self._is_proven(now)

    def granting_since_s(self, tenure: ShareTenure, now: float) -> float | None:
        """Return since when tokens of a share may accrue at this node.

        :param tenure: One of :attr:`tenures`.
        :param now: Clock reading in seconds.
        :returns: A clock reading, or ``None`` while an earlier holder may still grant.
        """
        if tenure.first_epoch == 1:
            return LONG_AGO_S
        if tenure not in self._superseded_at_by_tenure:
            if not self._are_earlier_tables_superseded(tenure, now):
                return None
            self._superseded_at_by_tenure[tenure] = now
        start_at_s = (
            self._superseded_at_by_tenure[tenure] + self._settings.takeover_wait_s
        )
        return start_at_s if now >= start_at_s else None

    def newly_settled(self, now: float) -> list[ShareTenure]:
        """Return the tenures under which granting has begun, each of them once.

        :param now: Clock reading in seconds.
        """
        unsettled = [
            tenure for tenure in self.tenures if tenure not in self._settled_tenures
        ]
        settled = [
            tenure
            for tenure in unsettled
            if self.granting_since_s(tenure, now) is not None
        ]
        self._settled_tenures.update(settled)
        return settled

    def _is_proven(self, now: float) -> bool:
        """Return whether a recent proof shows that the newest table is in force."""
        if self._head_read_at_s is None:
            return False
        age_s = now - self._head_read_at_s
        if age_s <= self._settings.limit_proof_s:
            return True
        if age_s > self._settings.limit_max_vouched_s:
            return False
        sent_after_s = now - self._settings.limit_proof_s
        members = self.table.members
        n_confirming = sum(self._is_confirmed(node, sent_after_s) for node in members)
        return 2 * n_confirming > len(members)

    def _is_confirmed(self, node: str, sent_after_s: float) -> bool:
        """Return whether a member has recently confirmed the newest table."""
        if node == self._node:
            return True
        answer = self._answers_by_node.get(node)
        if answer is None or answer.sent_at_s < sent_after_s:
            return False
        return answer.epoch == self.epoch

    def _first_epoch(self, share: int) -> int:
        """Return the first epoch of this node's current tenure of a share."""
        first = self.epoch
        for table in reversed(self._tables):
            if share not in table.shares_of(self._node, self._incarnation):
                break
            first = table.epoch
        return first

    def _earlier_tables(self, tenure: ShareTenure) -> list[LimitTable]:
        """Return the earlier tables under which another holder may still grant."""
        settled = self._settled_by_share.get(tenure.share, 0)
        return [t for t in self._tables if settled <= t.epoch < tenure.first_epoch]

    def _unsettled_earlier_tables(self) -> list[LimitTable]:
        unsettled = [
            tenure
            for tenure in self.tenures
            if tenure not in self._superseded_at_by_tenure
        ]
        return [t for tenure in unsettled for t in self._earlier_tables(tenure)]

    def _are_earlier_tables_superseded(self, tenure: ShareTenure, now: float) -> bool:
        tables = self._earlier_tables(tenure)
        return all(
            self._is_superseded(table, tenure.first_epoch, now) for table in tables
        )

    def _is_superseded(self, table: LimitTable, first: int, now: float) -> bool:
        """Return whether no holder can get a majority for an earlier table any more.

        :param table: The earlier table.
        :param first: First epoch of the new holder's tenure.
        :param now: Clock reading in seconds.
        """
        learned_at_s = self._learned_at_by_epoch.get(table.epoch + 1, now)
        if now - learned_at_s > self._settings.limit_max_vouched_s:
            return True
        n_moved = sum(self._has_applied(node, first) for node in table.members)
        return 2 * n_moved > len(table.members)

    def _has_applied(self, node: str, first: int) -> bool:
        """Return whether a node has applied a table of epoch ``first`` or later."""
        if node == self._node:
            return self._head_read_at_s is not None
        answer = self._answers_by_node.get(node)
        return answer is not None and answer.epoch >= first
