"""Limits retries to a small share of requests, so that a fault can't multiply load."""

__all__ = ["RetryBudget"]

MAX_BALANCE = 20.0
MIN_RETRIES_PER_S = 1.0


class RetryBudget:
    """Token bucket of retries: each first attempt adds a fraction of a retry.

    Retries also accrue with time, at a low rate, so that an entry with little traffic
    can retry.

    :param percent: Retries allowed, in percent of requests.
    :param now: Clock reading in seconds.
    """

    def __init__(self, percent: int, now: float) -> None:
        self._fraction = percent / 100
        self._balance = MAX_BALANCE / 2
        self._updated_at_s = now

    def record_request(self) -> None:
        """Add the fraction of a retry that a first attempt accrues."""
        self._balance = min(MAX_BALANCE, self._balance + self._fraction)

    def try_spend(self, now: float) -> bool:
        """Spend one retry, if the balance allows it.

        :param now: Clock reading in seconds.
        :returns: Whether the retry is allowed.
        """
        if self._fraction > 0:
            accrued = max(0.0, now - self._updated_at_s) * MIN_RETRIES_PER_S
            self._balance = min(MAX_BALANCE, self._balance + accrued)
        self._updated_at_s = now
        if self._balance < 1 or self._fraction == 0:
            return False
        self._balance -= 1
        return True
