"""Token bucket that counts lent tokens against its capacity.

Tokens that are lent and not yet known to be spent or lapsed leave no room for new
ones, so that level and loans together never pass the capacity. Only whole tokens are
lent: parts of a token in the hands of several borrowers would lapse unused.
"""

from heatherspur.core import stable_hash

__all__ = ["TokenBucket", "split_limit"]


def split_limit(
    rate: float, burst: int, customer: str, share: int, n_shares: int
) -> tuple[float, int]:
    """Return the part of a customer's rate and burst that one share holds.

    Each share gets whole tokens of the burst, and the rate in the same proportion. A
    customer whose burst is smaller than the number of shares has some shares empty;
    which ones depends on the customer.

    :param rate: Tokens a second over all shares.
    :param burst: Tokens at once over all shares.
    :param customer: Customer id.
    :param share: Index of the share.
    :param n_shares: Number of shares.
    """
    each, rest = divmod(burst, n_shares)
    place = (share + stable_hash(customer)) % n_shares
    capacity = each + (place < rest)
    return rate * capacity / max(1, burst), capacity


class TokenBucket:
    """One customer's share at one holder.

    :param rate: Tokens a second.
    :param capacity: Tokens.
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
        """Add the tokens that came since the last call.

        :param now: Clock reading in seconds.
        """
        elapsed_s = max(0.0, now - self.updated_at_s)
        self.updated_at_s = max(now, self.updated_at_s)
        room = max(0.0, self.capacity - self.level - self.leased)
        self.level += min(elapsed_s * self.rate, room)

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity from now on.

        :param rate: Tokens a second.
        :param capacity: Tokens.
        :param now: Clock reading in seconds.
        """
        if (rate, capacity) == (self.rate, self.capacity):
            return
        self.refill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, max(0.0, capacity - self.leased))

    def lease(self, amount: int, now: float) -> int:
        """Lend tokens.

        :param amount: Tokens wanted.
        :param now: Clock reading in seconds.
        :returns: Tokens lent.
        """
        self.refill(now)
        leased = max(0, min(amount, int(self.level)))
        self.level -= leased
        self.leased += leased
        return leased

    def settle(self, spent: int, returned: int) -> None:
        """Settle a part of a loan.

        :param spent: Tokens that are spent or lost.
        :param returned: Tokens that come back.
        """
        self.leased -= spent + returned
        self.level += returned

    def wait_s(self, amount: int) -> float:
        """Return the expected seconds until an amount is there.

        :param amount: Tokens.
        """
        missing = amount - self.level
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")
