"""The lending side of a node: its shares, and the right to lend from them. Pure."""

from heatherspur.catalogue import LimitTable
from heatherspur.limits.conf import LimitSettings
from heatherspur.limits.holder_lease import HolderLease, SendTableQuery, ShareTenure
from heatherspur.limits.share_holder import LimitOf, ShareHolder
from heatherspur.link.messages import (
    TableConfirmation,
    TableQuery,
    TokenGrant,
    TokenRequest,
    TokenSettlement,
)

__all__ = ["TokenServer"]


class TokenServer:
    """Holds shares and lends from them while the fence allows it.

    :param fence: The right to lend.
    :param settings: Limit settings.
    :param limit_of: Returns rate and burst of a customer over all nodes.
    """

    def __init__(
        self, holder_lease: HolderLease, settings: LimitSettings, limit_of: LimitOf
    ) -> None:
        self.holder_lease = holder_lease
        self._settings = settings
        self._limit_of = limit_of
        self._holders_by_run: dict[ShareTenure, ShareHolder] = {}

    def apply_tables(
        self,
        tables: tuple[LimitTable, ...],
        settled_by_share: dict[int, int],
        now: float,
    ) -> bool:
        """Take the tables in force.

        :param tables: Tables that the log still knows, newest last.
        :param settled_by_share: First epoch of the newest holder that began to lend.
        :param now: Clock reading in seconds.
        :returns: Whether a newer table came into force.
        """
        known_epoch = self.holder_lease.epoch
        self.holder_lease.apply_tables(tables, settled_by_share, now)
        return self.holder_lease.epoch != known_epoch

    def tick(self, now: float) -> tuple[list[ShareTenure], list[SendTableQuery]]:
        """Let time pass.

        :param now: Clock reading in seconds.
        :returns: Shares that began to lend, and questions to send.
        """
        tenures = self.holder_lease.tenures
        for run in list(self._holders_by_run):
            if run not in tenures:
                del self._holders_by_run[run]
        fresh = self.holder_lease.newly_settled(now)
        for run in fresh:
            self._holders_by_run[run] = ShareHolder(
                run.share,
                len(self.holder_lease.table.shares),
                self.holder_lease.granting_since_s(run, now),
                self._settings,
                self._limit_of,
            )
        return fresh, self.holder_lease.due_queries(now)

    def grant(self, client: str, ask: TokenRequest, now: float) -> TokenGrant:
        """Lend tokens, if this node may at this moment.

        :param client: Incarnation of the client.
        :param ask: The question.
        :param now: Clock reading in seconds.
        """
        for run, holder in self._holders_by_run.items():
            if run.share == ask.share and self.holder_lease.can_grant_tokens(run, now):
                return holder.grant(client, ask, now)
        return TokenGrant(ask.loan, ask.share, ask.customer, 0, 0)

    def settle(self, client: str, message: TokenSettlement, now: float) -> None:
        """Take a report of spent and returned tokens.

        :param client: Incarnation of the client.
        :param message: The report.
        :param now: Clock reading in seconds.
        """
        for run, holder in self._holders_by_run.items():
            if run.share == message.share:
                holder.settle(client, message, now)

    def answer_table_query(self, ask: TableQuery) -> TableConfirmation:
        """Answer whether this node knows a newer table.

        :param ask: The question.
        """
        return TableConfirmation(ask.round, self.holder_lease.reported_epoch)

    def drop_idle_buckets(self, now: float) -> None:
        """Drop full buckets.

        :param now: Clock reading in seconds.
        """
        for holder in self._holders_by_run.values():
            holder.drop_idle_buckets(now)
