"""Retry budget of a service, divided between the nodes of its targets.

When many targets fail at once, each failed idempotent request is sent to a second
target; without a limit, the retries would overload the remaining targets. The node of
each target holds a share of the service's budget, so that a burst of failures at one
entry can use the shares of all targets.
"""

__all__ = ["RetryBudget"]

# Requests that a retried request makes to other services count as retries too, and
# an exit can't distinguish them from first attempts.
SAFETY_FACTOR = 0.85
# Share of the slack that can be accumulated, and that a new process starts with. The
# accumulated retries and those added during a window together stay within the slack.
SAVED_SHARE = 0.35


class RetryBudget:
    """Token bucket of the retries that one target accepts.

    :param ratio: Allowed retries relative to requests.
    :param window_s: Window over which retries are counted, in seconds.
    :param slack: Retries of the service per window in addition to the ratio.
    :param now: Clock reading in seconds.
    """

    def __init__(self, ratio: float, window_s: float, slack: float, now: float) -> None:
        self.resize(ratio, window_s, slack)
        self._saved_retries: float | None = None
        self._earned_retries = 0.0
        self._updated_at_s = now

    def resize(self, ratio: float, window_s: float, slack: float) -> None:
        """Set new limits; accumulated retries are kept.

        :param ratio: Allowed retries relative to requests.
        :param window_s: Window over which retries are counted, in seconds.
        :param slack: Retries of the service per window in addition to the ratio.
        """
        self._ratio = ratio * SAFETY_FACTOR
        self._window_s = window_s
        self._slack = slack * SAFETY_FACTOR

    def record_request(self) -> None:
        """Record a first attempt, which earns a fraction of a retry."""
        self._earned_retries += self._ratio

    def can_retry(self, n_targets: int, now: float) -> bool:
        """Refill the bucket and return whether it holds a retry.

        :param n_targets: Number of targets that share the slack.
        :param now: Clock reading in seconds.
        """
        share = self._slack / max(1, n_targets)
        elapsed_s = max(0.0, now - self._updated_at_s)
        self._updated_at_s = now
        refill = elapsed_s * share * (1 - SAVED_SHARE) / self._window_s
        capacity = max(1.0, share * SAVED_SHARE)
        saved = capacity if self._saved_retries is None else self._saved_retries
        self._saved_retries = min(capacity, saved + refill + self._earned_retries)
        self._earned_retries = 0.0
        return self._saved_retries >= 1

    def spend(self) -> None:
        """Remove one retry from the bucket."""
        self._saved_retries = (self._saved_retries or 0.0) - 1
