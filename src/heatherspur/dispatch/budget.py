"""Keeps repeats at a service to a share of its requests, summed over all nodes.

Load pattern: many targets fail at once, and each failed idempotent request goes to a
second target; without a bound the repeats would overload what still works. The node
beside each target keeps a share of the service's budget, so a burst of failures at
one entry draws on the shares of all targets that have room.
"""

__all__ = ["RetryBudget"]

# Calls made by repeated runs count as repeats too, and no exit can tell them apart.
SAFETY = 0.85
# Part of the slack that may be saved up, and that a new process starts with; what is
# saved and what comes in during a window are together no more than the slack.
SAVED_PART = 0.35


class RetryBudget:
    """Repeats that one target may get.

    :param ratio: Repeats allowed relative to requests.
    :param window_s: Window over which repeats are counted, in seconds.
    :param slack: Repeats that the service may get in a window besides the ratio.
    :param now: Clock reading in seconds.
    """

    def __init__(self, ratio: float, window_s: float, slack: float, now: float) -> None:
        self.resize(ratio, window_s, slack)
        self._saved: float | None = None
        self._earned = 0.0
        self._updated_at_s = now

    def resize(self, ratio: float, window_s: float, slack: float) -> None:
        """Take other bounds; what is saved up stays.

        :param ratio: Repeats allowed relative to requests.
        :param window_s: Window over which repeats are counted, in seconds.
        :param slack: Repeats that the service may get in a window besides the ratio.
        """
        self._ratio = ratio * SAFETY
        self._window_s = window_s
        self._slack = slack * SAFETY

    def record_request(self) -> None:
        """Count a request that arrives for the first time."""
        self._earned += self._ratio

    def can_retry(self, n_targets: int, now: float) -> bool:
        """Tell whether a repeat is left.

        :param n_targets: Targets that share the slack.
        :param now: Clock reading in seconds.
        """
        share = self._slack / max(1, n_targets)
        elapsed_s = max(0.0, now - self._updated_at_s)
        self._updated_at_s = now
        refill = elapsed_s * share * (1 - SAVED_PART) / self._window_s
        most = max(1.0, share * SAVED_PART)
        saved = most if self._saved is None else self._saved
        self._saved = min(most, saved + refill + self._earned)
        self._earned = 0.0
        return self._saved >= 1

    def spend(self) -> None:
        """Count a repeat."""
        self._saved = (self._saved or 0.0) - 1
