"""Decides whether a holder may lend at this moment.

A holder lends only while, within the last few seconds, it read the log's head
itself or a majority of the table's members answered that they know no newer table.
A new holder waits until a majority of the members of each earlier table that may
still be in use has applied its own table, and then until every proof and every
loan of the earlier holder has run out. Times count from when the question was
sent, since an answer may be late. Compare Gray and Cheriton, "Leases", SOSP 1989.
"""

from typing import NamedTuple

from heatherspur.catalogue import LimitTable
from heatherspur.limits.conf import LimitSettings

__all__ = ["HolderLease", "ShareTenure", "SendTableQuery"]

ASK_INTERVAL_S = 0.25
MAX_OPEN_ROUNDS = 16
LONG_AGO_S = -1e9  # the first holders of a fleet follow nobody


class SendTableQuery(NamedTuple):
    """Ask a node which table it knows.

    :param node: Node id.
    :param round: Number of the question.
    :param epoch: Epoch of the own table.
    """

    node: str
    round: int
    epoch: int


class Answer(NamedTuple):
    """Newest answer of a node.

    :param epoch: Epoch that it answered.
    :param asked_at_s: When that question was sent.
    """

    epoch: int
    asked_at_s: float


class ShareTenure(NamedTuple):
    """A share that one incarnation holds without a break.

    :param share: Index of the share.
    :param first_epoch: First epoch of the run.
    """

    share: int
    first_epoch: int


class HolderLease:
    """The right of one incarnation of a node to lend.

    :param node: Own node id.
    :param incarnation: Own incarnation.
    :param settings: Limit settings.
    """

    def __init__(self, node: str, incarnation: str, settings: LimitSettings) -> None:
        self._node = node
        self._incarnation = incarnation
        self._settings = settings
        self._tables: tuple[LimitTable, ...] = ()
        self._settled_by_share: dict[int, int] = {}
        self._learned_at_by_epoch: dict[int, float] = {}
        self._head_seen_at_s: float | None = None
        self._sent_at_by_round: dict[int, float] = {}
        self._answers_by_node: dict[str, Answer] = {}
        self._fenced_at_by_run: dict[ShareTenure, float] = {}
        self._settled_runs: set[ShareTenure] = set()
        self._next_round = 1
        self._asked_at_s = 0.0

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
        """Epoch to answer to members: 0 until the log's head was read once."""
        return self.epoch if self._head_seen_at_s is not None else 0

    def apply_tables(
        self,
        tables: tuple[LimitTable, ...],
        settled_by_share: dict[int, int],
        now: float,
    ) -> None:
        """Take the tables in force.

        :param tables: Tables that the log still knows, newest last.
        :param settled_by_share: First epoch of the newest holder that began to lend.
        :param now: Clock reading in seconds.
        """
        self._settled_by_share = dict(settled_by_share)
        if not tables or tables[-1].epoch <= self.epoch:
            return
        self._tables = tables
        for table in tables:
            self._learned_at_by_epoch.setdefault(table.epoch, now)

    def record_head_read(self, asked_at_s: float) -> None:
        """Note that the log's head was read and everything up to it applied.

        :param asked_at_s: When the question was sent.
        """
        self._head_seen_at_s = max(asked_at_s, self._head_seen_at_s or 0.0)

    def due_queries(self, now: float) -> list[SendTableQuery]:
        """Return the questions to send now.

        :param now: Clock reading in seconds.
        """
        table = self.table
        if table is None or now - self._asked_at_s < ASK_INTERVAL_S:
            return []
        if not table.shares_of(self._node, self._incarnation):
            return []
        self._asked_at_s = now
        number, self._next_round = self._next_round, self._next_round + 1
        self._sent_at_by_round[number] = now
        self._sent_at_by_round.pop(number - MAX_OPEN_ROUNDS, None)
        nodes = {node for t in self._relevant_tables() for node in t.members}
        others = sorted((nodes | table.members) - {self._node})
        return [SendTableQuery(node, number, table.epoch) for node in others]

    def record_answer(self, node: str, number: int, epoch: int, now: float) -> None:
        """Take the answer of a node.

        :param node: Node id.
        :param number: Number of the question.
        :param epoch: Epoch that it answered; 0 if it may not vouch.
        :param now: Clock reading in seconds; no lease counts from it.
        """
        asked_at_s = self._sent_at_by_round.get(number)
        if asked_at_s is None or epoch == 0:
            return
        known = self._answers_by_node.get(node)
        if known is None or known.asked_at_s < asked_at_s:
            self._answers_by_node[node] = Answer(epoch, asked_at_s)

    @property
    def tenures(self) -> tuple[ShareTenure, ...]:
        """Shares that this node holds, each with its unbroken run of epochs."""
        table = self.table
        if table is None:
            return ()
        shares = table.shares_of(self._node, self._incarnation)
        return tuple(ShareTenure(share, self._first_epoch(share)) for share in shares)

    def can_grant_tokens(self, run: ShareTenure, now: float) -> bool:
        """Tell whether this node may lend from a share at this moment.

        :param run: One of :attr:`runs`.
        :param now: Clock reading in seconds.
        """
        return self.granting_since_s(run, now) is not None and self._proved(now)

    def can_grant_permits(self, run: ShareTenure, lease_s: float, now: float) -> bool:
        """Tell whether this node may grant leases of another kind for a share.

        An earlier holder may have granted some just before it stopped lending, so a
        new one waits until the longest of them has lapsed.

        :param run: One of :attr:`runs`.
        :param lease_s: Longest lease of that kind, in seconds.
        :param now: Clock reading in seconds.
        """
        granting_since_s = self.granting_since_s(run, now)
        if granting_since_s is None or now - granting_since_s < lease_s:
            return False
        return self._proved(now)

    def granting_since_s(self, run: ShareTenure, now: float) -> float | None:
        """Return since when this node may mint for a share.

        :param run: One of :attr:`runs`.
        :param now: Clock reading in seconds.
        :returns: A clock reading, or ``None`` while an earlier holder may still lend.
        """
        if run.first_epoch == 1:
            return LONG_AGO_S
        if run not in self._fenced_at_by_run:
            if not self._earlier_holders_stopped(run, now):
                return None
            self._fenced_at_by_run[run] = now
        start_at_s = self._fenced_at_by_run[run] + self._settings.takeover_wait_s
        return start_at_s if now >= start_at_s else None

    def newly_settled(self, now: float) -> list[ShareTenure]:
        """Return shares that began to lend, each once.

        :param now: Clock reading in seconds.
        """
        waiting = [run for run in self.tenures if run not in self._settled_runs]
        fresh = [run for run in waiting if self.granting_since_s(run, now) is not None]
        self._settled_runs.update(fresh)
        return fresh

    def _proved(self, now: float) -> bool:
        """Tell whether a fresh proof shows that the table is in force."""
        if self._head_seen_at_s is None:
            return False
        age_s = now - self._head_seen_at_s
        if age_s <= self._settings.limit_proof_s:
            return True
        if age_s > self._settings.limit_max_vouched_s:
            return False
        oldest_s = now - self._settings.limit_proof_s
        members = self.table.members
        n_vouching = sum(self._vouches(node, oldest_s) for node in members)
        return 2 * n_vouching > len(members)

    def _vouches(self, node: str, oldest_s: float) -> bool:
        if node == self._node:
            return True
        answer = self._answers_by_node.get(node)
        if answer is None or answer.asked_at_s < oldest_s:
            return False
        return answer.epoch == self.epoch

    def _first_epoch(self, share: int) -> int:
        """Return the first epoch of the unbroken run in which the share is held."""
        first = self.epoch
        for table in reversed(self._tables):
            if share not in table.shares_of(self._node, self._incarnation):
                break
            first = table.epoch
        return first

    def _earlier_tables(self, run: ShareTenure) -> list[LimitTable]:
        """Return earlier tables under which another holder may still lend."""
        settled = self._settled_by_share.get(run.share, 0)
        return [t for t in self._tables if settled <= t.epoch < run.first_epoch]

    def _relevant_tables(self) -> list[LimitTable]:
        waiting = [run for run in self.tenures if run not in self._fenced_at_by_run]
        return [t for run in waiting for t in self._earlier_tables(run)]

    def _earlier_holders_stopped(self, run: ShareTenure, now: float) -> bool:
        tables = self._earlier_tables(run)
        return all(self._is_closed(table, run.first_epoch, now) for table in tables)

    def _is_closed(self, table: LimitTable, first: int, now: float) -> bool:
        """Tell whether no holder can find a majority for an earlier table."""
        learned_at_s = self._learned_at_by_epoch.get(table.epoch + 1, now)
        if now - learned_at_s > self._settings.limit_max_vouched_s:
            return True
        n_moved = sum(self._moved_on(node, first) for node in table.members)
        return 2 * n_moved > len(table.members)

    def _moved_on(self, node: str, first: int) -> bool:
        if node == self._node:
            return self._head_seen_at_s is not None
        answer = self._answers_by_node.get(node)
        return answer is not None and answer.epoch >= first
