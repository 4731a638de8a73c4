"""When a request that runs at a target is overdue.

Some targets stop answering: the request hangs until its deadline and occupies a slot.
Load pattern: with a third of the targets in such a state, every fifth request hangs. An
idempotent request that is overdue moves to another target that has a free slot at once;
if there is none, it keeps its place, so that overload causes no retries.
"""

from collections.abc import Hashable

from heatherspur.dispatch.runtimes import RunTimes

__all__ = ["overdue_after_s"]

# Twice the mean: one healthy request in twenty takes longer, and a retry still meets
# most latency objectives, which are about three times the mean.
OVERDUE_FACTOR = 2.0
MIN_ANSWERS = 3
# Transfer and scheduling, in addition to the run time.
MARGIN_S = 0.1


def overdue_after_s(run_times: RunTimes, route: Hashable, default_s: float) -> float:
    """Return the run time after which a request is overdue, in seconds.

    :param run_times: Run times of earlier requests.
    :param route: Key of the route of the request.
    :param default_s: Result while too few requests of the route were answered.
    """
    if run_times.n_answers(route) < MIN_ANSWERS:
        return default_s
    return OVERDUE_FACTOR * run_times.expected_s(route) + MARGIN_S
