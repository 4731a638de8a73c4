"""Keeps repeats to a share of the requests, summed over all nodes.

Load pattern: many targets fail at once, and each failed idempotent request goes to a
second target; without a bound the repeats would overload what still works.
"""

__all__ = ["RepeatBudget"]

# Clients are spread unevenly over hosts, so a node uses part of its share only.
SAFETY = 0.85


class RepeatBudget:
    """Repeats that one node may cause at one service.

    :param ratio: Repeats allowed relative to requests.
    :param window_s: Window over which repeats are counted, in seconds.
    :param slack: Repeats allowed in a window besides the ratio, over all nodes.
    :param now: Clock reading in seconds.
    """

    def __init__(self, ratio: float, window_s: float, slack: float, now: float) -> None:
        self._ratio = ratio * SAFETY
        self._window_s = window_s
        self._slack = slack * SAFETY
        self._saved = 1.0
        self._updated_at_s = now

    def note_request(self) -> None:
        """Count a request."""
        self._saved += self._ratio

    def take(self, n_nodes: int, now: float) -> bool:
        """Take one repeat, if one is left.

        :param n_nodes: Nodes that share the slack.
        :param now: Clock reading in seconds.
        """
        share = self._slack / max(1, n_nodes)
        elapsed_s = max(0.0, now - self._updated_at_s)
        self._updated_at_s = now
        self._saved = min(
            max(2.0, share), self._saved + elapsed_s * share / self._window_s
        )
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
