"""Load of a target by priority class, for estimates of the wait in its queue.

During overload, the queue length at the arrival of a late request says little about its
wait, since all later requests that can still meet their objective overtake it. The wait
grows as the utilization by such requests approaches 1 (mean wait in a priority queue,
A. Cobham, "Priority assignment in waiting line problems", 1954).
"""

import math
from typing import NamedTuple

__all__ = ["PriorityLoad", "PriorityClass"]

# Bursts last three seconds or more; with a shorter time constant, each of them would
# count as a permanent overload.
DECAY_TIME_S = 3.0
# Decay is applied in steps, since most calls are only a few milliseconds apart.
DECAY_STEP_S = 0.1
# The estimated utilization has an error of a few hundredths; close to 1, the expected
# wait would become infinite.
MAX_UTILIZATION = 0.9


class PriorityClass(NamedTuple):
    """Priority class of a request at a target; the lowest is granted first.

    :param is_top_level: Whether the caller is not a target that occupies a slot.
    :param priority: Priority of the request; 0 is the highest.
    :param is_late: Whether the request will miss its objective.
    """

    is_top_level: bool
    priority: int
    is_late: bool


class PriorityLoad:
    """Recently started work at a target by priority class, with exponential decay."""

    def __init__(self) -> None:
        self._work_s_by_class: dict[PriorityClass, float] = {}
        self._decayed_at_s = 0.0

    def record_start(
        self, priority_class: PriorityClass, run_s: float, now: float
    ) -> None:
        """Record a request that starts to use a slot.

        :param priority_class: Priority class of the request.
        :param run_s: Expected run time, in seconds.
        :param now: Clock reading in seconds.
        """
        self._decay(now)
        self._work_s_by_class[priority_class] = (
            self._work_s_by_class.get(priority_class, 0.0) + run_s
        )

    def wait_factor(
        self, priority_class: PriorityClass, slots: int, now: float
    ) -> float:
        """Return the factor by which later requests with precedence extend a wait.

        :param priority_class: Priority class of the waiting request.
        :param slots: Number of requests that the target runs concurrently.
        :param now: Clock reading in seconds.
        :returns: A factor of 1 or more.
        """
        self._decay(now)
        work = self._work_s_by_class.items()
        ahead_s = sum(work_s for other, work_s in work if other < priority_class)
        utilization = ahead_s / (max(1, slots) * DECAY_TIME_S)
        return 1 / (1 - min(MAX_UTILIZATION, utilization))

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at_s
        if elapsed_s < DECAY_STEP_S:
            return
        self._decayed_at_s = now
        factor = math.exp(-elapsed_s / DECAY_TIME_S)
        for priority_class in self._work_s_by_class:
            self._work_s_by_class[priority_class] *= factor
