"""Answers the token requests for the shares that this node holds.

The module does no I/O: it receives clock readings and messages, and returns messages.
"""

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
    """Grants tokens from the shares of this node while its holder lease allows it.

    :param holder_lease: Lease under which this node may grant tokens.
    :param settings: Limit settings.
    :param limit_of: Returns rate and burst of a customer over all nodes, or ``None``
        for a customer that is not in force.
    """

    def __init__(
        self, holder_lease: HolderLease, settings: LimitSettings, limit_of: LimitOf
    ) -> None:
        self.holder_lease = holder_lease
        self._settings = settings
        self._limit_of = limit_of
        self._holders_by_tenure: dict[ShareTenure, ShareHolder] = {}

    def apply_tables(
        self,
        tables: tuple[LimitTable, ...],
        settled_by_share: dict[int, int],
        now: float,
    ) -> bool:
        """Apply the tables in force.

        :param tables: Tables that the log still holds, oldest first.
        :param settled_by_share: For each share, the first epoch of the newest holder
            that has begun to grant tokens.
        :param now: Clock reading in seconds.
        :returns: Whether a newer table came into force.
        """
        previous_epoch = self.holder_lease.epoch
        self.holder_lease.apply_tables(tables, settled_by_share, now)
        return self.holder_lease.epoch != previous_epoch

    def tick(self, now: float) -> tuple[list[ShareTenure], list[SendTableQuery]]:
        """Add and remove share holders, and start table queries that are due.

        :param now: Clock reading in seconds.
        :returns: Tenures under which granting has begun, and queries to send.
        """
        tenures = self.holder_lease.tenures
        for tenure in list(self._holders_by_tenure):
            if tenure not in tenures:
                del self._holders_by_tenure[tenure]
        newly_settled = self.holder_lease.newly_settled(now)
        for tenure in newly_settled:
            self._holders_by_tenure[tenure] = ShareHolder(
                tenure.share,
                len(self.holder_lease.table.shares),
                self.holder_lease.granting_since_s(tenure, now),
                self._settings,
                self._limit_of,
            )
        return newly_settled, self.holder_lease.due_queries(now)

    def grant(self, client: str, request: TokenRequest, now: float) -> TokenGrant:
        """Answer a token request.

        :param client: Incarnation of the client.
        :param request: The token request.
        :param now: Clock reading in seconds.
        :returns: The grant; amount and wait are 0 if this node may not grant now.
        """
        for tenure, holder in self._holders_by_tenure.items():
            if tenure.share == request.share and self.holder_lease.can_grant_tokens(
                tenure, now
            ):
                return holder.grant(client, request, now)
        return TokenGrant(request.loan, request.share, request.customer, 0, 0)

    def settle(self, client: str, message: TokenSettlement, now: float) -> None:
        """Pass a settlement to the holder of its share.

        :param client: Incarnation of the client.
        :param message: The settlement.
        :param now: Clock reading in seconds.
        """
        for tenure, holder in self._holders_by_tenure.items():
            if tenure.share == message.share:
                holder.settle(client, message, now)

    def answer_table_query(self, request: TableQuery) -> TableConfirmation:
        """Answer a table query with the epoch that this node may report.

        :param request: The query.
        """
        return TableConfirmation(request.round, self.holder_lease.reported_epoch)

    def drop_idle_buckets(self, now: float) -> None:
        """Drop full buckets of all shares.

        :param now: Clock reading in seconds.
        """
        for holder in self._holders_by_tenure.values():
            holder.drop_idle_buckets(now)
