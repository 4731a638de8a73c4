"""Keeps retries a small share of requests, so that a fault can't multiply load."""

__all__ = ["RetryBudget"]

MAX_SAVED_RETRIES = 20.0
MIN_RETRIES_PER_S = 1.0


class RetryBudget:
    """Each request earns a fraction of a retry.

    :param percent: Retries allowed, in percent of requests.
    :param now: Clock reading in seconds.
    """

    def __init__(self, percent: int, now: float) -> None:
        self._fraction = percent / 100
        self._saved = MAX_SAVED_RETRIES / 2
        self._updated_at_s = now

    def record_request(self) -> None:
        """Count a first attempt."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self._fraction)

    def try_spend(self, now: float) -> bool:
        """Take one retry, if one is left.

        :param now: Clock reading in seconds.
        """
        if self._fraction > 0:
            earned = max(0.0, now - self._updated_at_s) * MIN_RETRIES_PER_S
            self._saved = min(MAX_SAVED_RETRIES, self._saved + earned)
        self._updated_at_s = now
        if self._saved < 1 or self._fraction == 0:
            return False
        self._saved -= 1
        return True
