"""Token bucket that counts lent tokens against its capacity.

In token units, a fixed fraction of a token. Tokens that are lent and not yet known
to be
spent or lapsed leave no room for new ones, so that level and loans together never
pass the capacity.
"""

__all__ = ["TOKEN_UNITS", "Bucket"]

TOKEN_UNITS = 5040  # divisible by every number of shares up to 10


class Bucket:
    """One customer's share at one holder.

    :param rate: Token units a second.
    :param capacity: Token units.
    :param empty_at_s: Clock reading at which the bucket was empty.
    """

    __slots__ = ("capacity", "lent", "level", "rate", "updated_at_s")

    def __init__(self, rate: float, capacity: float, empty_at_s: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = 0.0
        self.lent = 0
        self.updated_at_s = empty_at_s

    def refill(self, now: float) -> None:
        """Add the tokens that came since the last call.

        :param now: Clock reading in seconds.
        """
        elapsed_s = max(0.0, now - self.updated_at_s)
        self.updated_at_s = max(now, self.updated_at_s)
        room = max(0.0, self.capacity - self.level - self.lent)
        self.level += min(elapsed_s * self.rate, room)

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity from now on.

        :param rate: Token units a second.
        :param capacity: Token units.
        :param now: Clock reading in seconds.
        """
        if (rate, capacity) == (self.rate, self.capacity):
            return
        self.refill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, max(0.0, capacity - self.lent))

    def lend(self, amount: int, now: float) -> int:
        """Lend tokens.

        :param amount: Token units wanted.
        :param now: Clock reading in seconds.
        :returns: Token units lent.
        """
        self.refill(now)
        lent = max(0, min(amount, int(self.level)))
        self.level -= lent
        self.lent += lent
        return lent

    def close_loan(self, spent: int, returned: int) -> None:
        """Settle a part of a loan.

        :param spent: Token units that are spent or lost.
        :param returned: Token units that come back.
        """
        self.lent -= spent + returned
        self.level += returned

    def wait_s(self, amount: int) -> float:
        """Return the expected seconds until an amount is there.

        :param amount: Token units.
        """
        missing = amount - self.level
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")
