"""Token bucket that counts leased tokens against its capacity.

Tokens that are leased, and not yet reported as spent or expired, take up capacity. The
level and the open leases together therefore never exceed the capacity. Only whole
tokens are leased: fractions held by several clients would expire unused.
"""

from heatherspur.core import stable_hash

__all__ = ["TokenBucket", "split_limit"]


def split_limit(
    rate: float, burst: int, customer: str, share: int, n_shares: int
) -> tuple[float, int]:
    """Return the rate and the capacity that one share holds of a customer's limit.

    Each share gets a whole number of tokens of the burst, and the rate in the same
    proportion. If the burst is smaller than the number of shares, some shares have
    no capacity; a hash of the customer id selects which.

    :param rate: Tokens per second over all shares.
    :param burst: Burst size over all shares, in tokens.
    :param customer: Customer id.
    :param share: Index of the share.
    :param n_shares: Number of shares.
    :returns: Tokens per second, and the capacity in tokens.
    """
    base, remainder = divmod(burst, n_shares)
    position = (share + stable_hash(customer)) % n_shares
    capacity = base + (position < remainder)
    return rate * capacity / max(1, burst), capacity


class TokenBucket:
    """Token bucket of one customer at one share holder.

    :param rate: Refill rate, in tokens per second.
    :param capacity: Most tokens that are available or leased at a time.
    :param empty_at_s: Clock reading at which the bucket was empty.
    """

    __slots__ = ("capacity", "leased", "level", "rate", "updated_at_s")

    def __init__(self, rate: float, capacity: float, empty_at_s: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = 0.0
        self.leased = 0
        self.updated_at_s = empty_at_s

    def refill(self, now: float) -> None:
        """Add the tokens that accrued since the last call.

        :param now: Clock reading in seconds.
        """
        elapsed_s = max(0.0, now - self.updated_at_s)
        self.updated_at_s = max(now, self.updated_at_s)
        free_capacity = max(0.0, self.capacity - self.level - self.leased)
        self.level += min(elapsed_s * self.rate, free_capacity)

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity from now on.

        :param rate: Tokens per second.
        :param capacity: Capacity in tokens.
        :param now: Clock reading in seconds.
        """
        if (rate, capacity) == (self.rate, self.capacity):
            return
        self.refill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, max(0.0, capacity - self.leased))

    def lease(self, amount: int, now: float) -> int:
        """Lease as many whole tokens as are available, up to an amount.

        :param amount: Tokens requested.
        :param now: Clock reading in seconds.
        :returns: Tokens leased; may be 0.
        """
        self.refill(now)
        leased = max(0, min(amount, int(self.level)))
        self.level -= leased
        self.leased += leased
        return leased

    def settle(self, spent: int, returned: int) -> None:
        """Settle a lease or a part of one.

        :param spent: Tokens that were spent or have expired.
        :param returned: Tokens that were returned unspent.
        """
        self.leased -= spent + returned
        self.level += returned

    def wait_s(self, amount: int) -> float:
        """Return the expected time until an amount is available, in seconds.

        :param amount: Tokens.
        :returns: Seconds; infinite if the bucket lacks the tokens and has no rate.
        """
        missing = amount - self.level
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")
