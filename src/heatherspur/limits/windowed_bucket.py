"""Token bucket whose tokens are also limited per sliding window."""

import math
from collections import deque

__all__ = ["WindowedBucket"]


class WindowedBucket:
    """Token bucket that grants at most a number of tokens in any window.

    The window lets the capacity exceed the burst of a small limit: a bucket of a single
    token refuses callers that send two requests at once and nothing before and after.

    :param rate: Refill rate, in tokens per second.
    :param capacity: Most tokens that accrue.
    :param limit: Most tokens per window.
    :param window_s: Length of the window, in seconds.
    :param level: Tokens that it holds at first.
    :param refill_from_s: Clock reading from which on tokens accrue.
    """

    __slots__ = ("_capacity", "_level", "_rate", "_times", "_updated_at_s", "_window_s")

    def __init__(
        self,
        rate: float,
        capacity: float,
        limit: int,
        window_s: float,
        level: float,
        refill_from_s: float,
    ) -> None:
        self._rate = rate
        self._capacity = capacity
        self._window_s = window_s
        self._level = level
        self._updated_at_s = refill_from_s
        # Clock readings at which the last tokens may be used, oldest first.
        self._times: deque[float] = deque(maxlen=limit)

    def refill(self, now: float) -> None:
        """Add the tokens that accrued since the last call.

        :param now: Clock reading in seconds.
        """
        elapsed_s = max(0.0, now - self._updated_at_s)
        self._updated_at_s = max(now, self._updated_at_s)
        self._level = min(self._capacity, self._level + elapsed_s * self._rate)

    def pause(self, until_s: float) -> None:
        """Accrue no tokens from the last refill until a clock reading.

        :param until_s: Clock reading in seconds.
        """
        self._updated_at_s = until_s

    def resize(self, rate: float, capacity: float, limit: int, now: float) -> None:
        """Change the size from now on.

        :param rate: Tokens per second.
        :param capacity: Most tokens that accrue.
        :param limit: Most tokens per window.
        :param now: Clock reading in seconds.
        """
        if (rate, capacity, limit) == (self._rate, self._capacity, self._times.maxlen):
            return
        self.refill(now)
        self._rate = rate
        self._capacity = capacity
        self._times = deque(self._times, maxlen=limit)
        self._level = min(self._level, capacity)

    def wait_s(self, now: float) -> float:
        """Return the time until the next token may be used, in seconds.

        :param now: Clock reading in seconds.
        """
        self.refill(now)
        missing = 1.0 - self._level
        wait_s = 0.0
        if missing > 0:
            # After a pause, nothing accrues before it is over.
            paused_s = self._updated_at_s - now
            wait_s = paused_s + missing / self._rate if self._rate > 0 else math.inf
        if len(self._times) == self._times.maxlen:
            wait_s = max(wait_s, self._times[0] + self._window_s - now)
        return wait_s

    def take(self, usable_at_s: float) -> None:
        """Take the next token, which may not be due yet.

        :param usable_at_s: Clock reading at which it is due, in seconds.
        """
        self._level -= 1
        self._times.append(usable_at_s)
