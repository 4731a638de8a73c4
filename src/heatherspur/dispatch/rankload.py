"""Tells how much of a target's time goes to requests of a better rank.

Load pattern: for some seconds more is asked than a target can do. What is ahead of a
late request when it comes says little about its wait, since everything that comes later
and can still be in time overtakes it. Its wait grows as the part of the target's time
that such requests take comes near to the whole (the mean wait of a priority queue,
A. Cobham, "Priority assignment in waiting line problems", 1954).
"""

import math
from typing import NamedTuple

__all__ = ["RankLoad", "WaitingRank"]

# Bursts last three seconds and more; a shorter memory takes each of them for good.
MEMORY_S = 3.0
# Decay is applied in steps, since most passes come within a few milliseconds.
DECAY_STEP_S = 0.1
# Estimates of the part in use err by some hundredths; near to the whole a wait would
# seem endless.
MAX_SHARE = 0.9


class WaitingRank(NamedTuple):
    """Order of requests at a target, without their objectives; less goes first.

    :param is_outer: Whether no target waits for the answer with a slot of its own.
    :param priority: Rank of the request.
    :param is_late: Whether the objective will be missed.
    """

    is_outer: bool
    priority: int
    is_late: bool


class RankLoad:
    """Work that a target was given lately, by rank."""

    def __init__(self) -> None:
        self._work_s_by_rank: dict[WaitingRank, float] = {}
        self._decayed_at_s = 0.0

    def record_start(self, rank: WaitingRank, run_s: float, now: float) -> None:
        """Count a request that gets a slot.

        :param rank: Its rank.
        :param run_s: Expected run time, in seconds.
        :param now: Clock reading in seconds.
        """
        self._decay(now)
        self._work_s_by_rank[rank] = self._work_s_by_rank.get(rank, 0.0) + run_s

    def stretch(self, rank: WaitingRank, slots: int, now: float) -> float:
        """Return by how much a wait grows by those that come later and go first.

        :param rank: Rank of the request that waits.
        :param slots: Requests that the target runs at a time.
        :param now: Clock reading in seconds.
        :returns: A factor of 1 or more.
        """
        self._decay(now)
        work = self._work_s_by_rank.items()
        ahead_s = sum(work_s for other, work_s in work if other < rank)
        share = ahead_s / (max(1, slots) * MEMORY_S)
        return 1 / (1 - min(MAX_SHARE, share))

    def _decay(self, now: float) -> None:
        passed_s = now - self._decayed_at_s
        if passed_s < DECAY_STEP_S:
            return
        self._decayed_at_s = now
        factor = math.exp(-passed_s / MEMORY_S)
        for rank in self._work_s_by_rank:
            self._work_s_by_rank[rank] *= factor
