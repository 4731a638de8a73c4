"""The lending side of a node: its shares, and the right to lend from them. Pure."""

from heatherspur.catalogue import LimitTable
from heatherspur.limits.conf import LimitSettings
from heatherspur.limits.fence import Fence, Run, SendVouchAsk
from heatherspur.limits.holder import LimitOf, ShareHolder
from heatherspur.link.messages import (
    TableConfirmation,
    TableQuery,
    TokenGrant,
    TokenRequest,
    TokenSettlement,
)

__all__ = ["Lender"]


class Lender:
    """Holds shares and lends from them while the fence allows it.

    :param fence: The right to lend.
    :param settings: Limit settings.
    :param limit_of: Returns rate and burst of a customer over all nodes.
    """

    def __init__(
        self, fence: Fence, settings: LimitSettings, limit_of: LimitOf
    ) -> None:
        self.fence = fence
        self._settings = settings
        self._limit_of = limit_of
        self._holders_by_run: dict[Run, ShareHolder] = {}

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
        known_epoch = self.fence.epoch
        self.fence.apply_tables(tables, settled_by_share, now)
        return self.fence.epoch != known_epoch

    def tick(self, now: float) -> tuple[list[Run], list[SendVouchAsk]]:
        """Let time pass.

        :param now: Clock reading in seconds.
        :returns: Shares that began to lend, and questions to send.
        """
        runs = self.fence.runs
        for run in list(self._holders_by_run):
            if run not in runs:
                del self._holders_by_run[run]
        fresh = self.fence.newly_settled(now)
        for run in fresh:
            self._holders_by_run[run] = ShareHolder(
                run.share,
                len(self.fence.table.shares),
                self.fence.started_at_s(run, now),
                self._settings,
                self._limit_of,
            )
        return fresh, self.fence.ask(now)

    def lend(self, borrower: str, ask: TokenRequest, now: float) -> TokenGrant:
        """Lend tokens, if this node may at this moment.

        :param borrower: Incarnation of the borrower.
        :param ask: The question.
        :param now: Clock reading in seconds.
        """
        for run, holder in self._holders_by_run.items():
            if run.share == ask.share and self.fence.may_lend(run, now):
                return holder.ask(borrower, ask, now)
        return TokenGrant(ask.loan, ask.share, ask.customer, 0, 0)

    def settle(self, borrower: str, message: TokenSettlement, now: float) -> None:
        """Take a report of spent and returned tokens.

        :param borrower: Incarnation of the borrower.
        :param message: The report.
        :param now: Clock reading in seconds.
        """
        for run, holder in self._holders_by_run.items():
            if run.share == message.share:
                holder.settle(borrower, message, now)

    def vouch(self, ask: TableQuery) -> TableConfirmation:
        """Answer whether this node knows a newer table.

        :param ask: The question.
        """
        return TableConfirmation(ask.round, self.fence.vouched_epoch)

    def forget_idle(self, now: float) -> None:
        """Drop full buckets.

        :param now: Clock reading in seconds.
        """
        for holder in self._holders_by_run.values():
            holder.forget_idle(now)
