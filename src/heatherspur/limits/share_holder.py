"""Lends the tokens of one share. Pure: time and messages in, messages out."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from heatherspur.limits.conf import LimitSettings
from heatherspur.limits.token_bucket import TokenBucket, split_limit
from heatherspur.link.messages import TokenGrant, TokenRequest, TokenSettlement

__all__ = ["ShareHolder"]

MAX_WAIT_MS = 60_000
MAX_BORROWERS = 4096

LimitOf = Callable[[str], tuple[float, int] | None]


class Loan:
    """Tokens lent to one borrower.

    :param customer: Customer id.
    :param amount: Tokens not settled yet.
    """

    __slots__ = ("amount", "customer")

    def __init__(self, customer: str, amount: int) -> None:
        self.customer = customer
        self.amount = amount


class LoanKey(NamedTuple):
    """Names a loan.

    :param client: Incarnation of the client.
    :param loan: The borrower's number of the loan.
    """

    client: str
    loan: int


class ShareHolder:
    """Buckets and loans of one share.

    :param share: Index of the share.
    :param n_shares: Number of shares in the table.
    :param since_s: Clock reading from which this holder may mint; its buckets count
        as empty then.
    :param settings: Limit settings.
    :param limit_of: Returns rate and burst of a customer over all nodes, or ``None``
        for one that is not in force.
    """

    def __init__(
        self,
        share: int,
        n_shares: int,
        since_s: float,
        settings: LimitSettings,
        limit_of: LimitOf,
    ) -> None:
        self.share = share
        self._n_shares = n_shares
        self._since_s = since_s
        self._settings = settings
        self._limit_of = limit_of
        self._buckets_by_customer: dict[str, TokenBucket] = {}
        self._loans_by_key: dict[LoanKey, Loan] = {}
        self._lapses: deque[tuple[float, LoanKey]] = deque()
        self._last_loan_by_borrower: dict[str, int] = {}

    @property
    def n_buckets(self) -> int:
        """Number of customers with a bucket."""
        return len(self._buckets_by_customer)

    def grant(self, client: str, message: TokenRequest, now: float) -> TokenGrant:
        """Lend tokens; the caller has checked that this holder may.

        :param client: Incarnation of the client.
        :param message: The question.
        :param now: Clock reading in seconds.
        :returns: The grant; a repeated question gets nothing.
        """
        self.expire(now)
        bucket = self._bucket(message.customer, now)
        repeated = message.loan <= self._last_loan_by_borrower.get(client, -1)
        if bucket is None or repeated:
            return TokenGrant(
                message.loan, self.share, message.customer, 0, MAX_WAIT_MS
            )
        self._last_loan_by_borrower[client] = message.loan
        amount = bucket.lease(message.amount, now)
        if amount:
            key = LoanKey(client, message.loan)
            self._loans_by_key[key] = Loan(message.customer, amount)
            self._lapses.append((now + self._settings.holder_lapse_s, key))
        wait_ms = min(MAX_WAIT_MS, int(bucket.wait_s(1) * 1000) + 1)
        return TokenGrant(message.loan, self.share, message.customer, amount, wait_ms)

    def settle(self, client: str, message: TokenSettlement, now: float) -> None:
        """Take a report of spent and returned tokens.

        :param client: Incarnation of the client.
        :param message: The report.
        :param now: Clock reading in seconds.
        """
        self.expire(now)
        for item in message.items:
            key = LoanKey(client, item.loan)
            loan = self._loans_by_key.get(key)
            if loan is None or min(item.spent, item.returned) < 0:
                continue
            if item.spent + item.returned > loan.amount:
                continue
            bucket = self._buckets_by_customer.get(loan.customer)
            if bucket is not None:
                bucket.refill(now)
                bucket.settle(item.spent, item.returned)
            loan.amount -= item.spent + item.returned
            if loan.amount == 0:
                del self._loans_by_key[key]

    def expire(self, now: float) -> None:
        """Take loans that lapsed as spent.

        :param now: Clock reading in seconds.
        """
        while self._lapses and self._lapses[0][0] <= now:
            lapsed_at_s, key = self._lapses.popleft()
            loan = self._loans_by_key.pop(key, None)
            bucket = self._buckets_by_customer.get(loan.customer) if loan else None
            if bucket is not None:
                bucket.refill(lapsed_at_s)
                bucket.settle(loan.amount, 0)

    def drop_idle_buckets(self, now: float) -> None:
        """Drop full buckets; one made anew is full as well.

        Numbers of loans may be forgotten too: tokens lent twice to the same question
        are lost at the borrower, never spent.

        :param now: Clock reading in seconds.
        """
        if len(self._last_loan_by_borrower) > MAX_BORROWERS:
            self._last_loan_by_borrower.clear()
        for customer, bucket in list(self._buckets_by_customer.items()):
            bucket.refill(now)
            filled_s = bucket.capacity / bucket.rate if bucket.rate else float("inf")
            is_full = bucket.leased == 0 and bucket.level >= bucket.capacity
            if is_full and now - self._since_s > filled_s:
                del self._buckets_by_customer[customer]

    def _bucket(self, customer: str, now: float) -> TokenBucket | None:
        limit = self._limit_of(customer)
        if limit is None:
            return None
        rate, capacity = split_limit(*limit, customer, self.share, self._n_shares)
        bucket = self._buckets_by_customer.get(customer)
        if bucket is None:
            bucket = TokenBucket(rate, capacity, self._since_s)
            self._buckets_by_customer[customer] = bucket
        bucket.resize(rate, capacity, now)
        return bucket
