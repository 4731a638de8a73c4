"""Grants token leases from one share of the customers' limits.

The module does no I/O: it receives clock readings and messages, and returns messages.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from heatherspur.limits.conf import LimitSettings
from heatherspur.limits.token_bucket import TokenBucket, split_limit
from heatherspur.link.messages import TokenGrant, TokenRequest, TokenSettlement

__all__ = ["ShareHolder"]

MAX_WAIT_MS = 60_000
MAX_CLIENTS = 4096

LimitOf = Callable[[str], tuple[float, int] | None]


class TokenLease:
    """Tokens leased to one client.

    :param customer: Customer id.
    :param amount: Tokens that are not settled yet.
    """

    __slots__ = ("amount", "customer")

    def __init__(self, customer: str, amount: int) -> None:
        self.customer = customer
        self.amount = amount


class LeaseKey(NamedTuple):
    """Identifies a lease at a holder.

    :param client: Incarnation of the client.
    :param lease_id: Number that the client gave the lease.
    """

    client: str
    lease_id: int


class ShareHolder:
    """Token buckets and open leases of one share.

    :param share: Index of the share.
    :param n_shares: Number of shares in the table.
    :param granting_since_s: Clock reading from which tokens accrue at this holder; its
        buckets are empty at that time.
    :param settings: Limit settings.
    :param limit_of: Returns rate and burst of a customer over all nodes, or ``None``
        for a customer that is not in force.
    """

    def __init__(
        self,
        share: int,
        n_shares: int,
        granting_since_s: float,
        settings: LimitSettings,
        limit_of: LimitOf,
    ) -> None:
        self.share = share
        self._n_shares = n_shares
        self._granting_since_s = granting_since_s
        self._settings = settings
        self._limit_of = limit_of
        self._buckets_by_customer: dict[str, TokenBucket] = {}
        self._leases_by_key: dict[LeaseKey, TokenLease] = {}
        self._expiries: deque[tuple[float, LeaseKey]] = deque()
        self._last_lease_id_by_client: dict[str, int] = {}

    @property
    def n_buckets(self) -> int:
        """Number of customers with a bucket."""
        return len(self._buckets_by_customer)

    def grant(self, client: str, message: TokenRequest, now: float) -> TokenGrant:
        """Grant a token lease; the caller has checked that this holder may grant.

        :param client: Incarnation of the client.
        :param message: The token request.
        :param now: Clock reading in seconds.
        :returns: The grant; its amount is 0 for a repeated request.
        """
        self.expire(now)
        bucket = self._bucket(message.customer, now)
        is_repeated = message.loan <= self._last_lease_id_by_client.get(client, -1)
        if bucket is None or is_repeated:
            return TokenGrant(
                message.loan, self.share, message.customer, 0, MAX_WAIT_MS
            )
        self._last_lease_id_by_client[client] = message.loan
        amount = bucket.lease(message.amount, now)
        if amount:
            key = LeaseKey(client, message.loan)
            self._leases_by_key[key] = TokenLease(message.customer, amount)
            self._expiries.append((now + self._settings.holder_lapse_s, key))
        wait_ms = min(MAX_WAIT_MS, int(bucket.wait_s(1) * 1000) + 1)
        return TokenGrant(message.loan, self.share, message.customer, amount, wait_ms)

    def settle(self, client: str, message: TokenSettlement, now: float) -> None:
        """Process a settlement; items that don't match an open lease are ignored.

        :param client: Incarnation of the client.
        :param message: The settlement.
        :param now: Clock reading in seconds.
        """
        self.expire(now)
        for item in message.items:
            key = LeaseKey(client, item.loan)
            lease = self._leases_by_key.get(key)
            if lease is None or min(item.spent, item.returned) < 0:
                continue
            if item.spent + item.returned > lease.amount:
                continue
            bucket = self._buckets_by_customer.get(lease.customer)
            if bucket is not None:
                bucket.refill(now)
                bucket.settle(item.spent, item.returned)
            lease.amount -= item.spent + item.returned
            if lease.amount == 0:
                del self._leases_by_key[key]

    def expire(self, now: float) -> None:
        """Close expired leases, and count their tokens as spent.

        :param now: Clock reading in seconds.
        """
        while self._expiries and self._expiries[0][0] <= now:
            expired_at_s, key = self._expiries.popleft()
            lease = self._leases_by_key.pop(key, None)
            bucket = self._buckets_by_customer.get(lease.customer) if lease else None
            if bucket is not None:
                bucket.refill(expired_at_s)
                bucket.settle(lease.amount, 0)

    def drop_idle_buckets(self, now: float) -> None:
        """Drop full buckets, and the last lease numbers if there are too many.

        A dropped bucket that is created again is full as well. Without the last lease
        numbers, a repeated request may be granted twice; the client ignores the second
        grant, so that its tokens expire unspent.

        :param now: Clock reading in seconds.
        """
        if len(self._last_lease_id_by_client) > MAX_CLIENTS:
            self._last_lease_id_by_client.clear()
        for customer, bucket in list(self._buckets_by_customer.items()):
            bucket.refill(now)
            refill_s = bucket.capacity / bucket.rate if bucket.rate else float("inf")
            is_full = bucket.leased == 0 and bucket.level >= bucket.capacity
            if is_full and now - self._granting_since_s > refill_s:
                del self._buckets_by_customer[customer]

    def _bucket(self, customer: str, now: float) -> TokenBucket | None:
        limit = self._limit_of(customer)
        if limit is None:
            return None
        rate, capacity = split_limit(*limit, customer, self.share, self._n_shares)
        bucket = self._buckets_by_customer.get(customer)
        if bucket is None:
            bucket = TokenBucket(rate, capacity, self._granting_since_s)
            self._buckets_by_customer[customer] = bucket
        bucket.resize(rate, capacity, now)
        return bucket
