"""Scheduling and placement policies to compare: the one in use and baselines."""

from collections.abc import Callable
from typing import NamedTuple

from heatherspur.dispatch.pending import PendingRequest
from heatherspur.dispatch.placement import best_grant
from heatherspur.dispatch.scheduling import SchedulingPolicy

__all__ = ["POLICIES_BY_NAME", "Policy"]


class NoEarlyRefusal(SchedulingPolicy):
    """The scheduling order in use, without refusing requests before their timeout."""

    def will_miss_deadline(self, waiting, wait_s, now):
        return False


class FirstComeFirstServed(NoEarlyRefusal):
    """Baseline: arrival order, without early refusal."""

    def key(self, waiting, now):
        return (waiting.key.number,)


class EarliestObjective(NoEarlyRefusal):
    """Baseline: nested calls, priority, then earliest objective, even if missed."""

    def key(self, waiting, now):
        return (not waiting.is_nested, waiting.priority, waiting.objective_at_s)


def first_grant(pending: PendingRequest) -> int:
    """Return the number of the first grant, regardless of its target's state."""
    return next(iter(pending.grants_by_number))


def fastest_grant(pending: PendingRequest) -> int:
    """Return the number of the grant whose target reports the shortest run time."""
    grants = pending.grants_by_number
    return min(grants, key=lambda number: grants[number].run_ms)


class Policy(NamedTuple):
    """How requests are ordered, refused and placed.

    :param scheduling_type: Scheduling order at a target and rule for early refusal.
    :param choose_grant: Selects one of the slots granted to a request.
    """

    scheduling_type: type[SchedulingPolicy]
    choose_grant: Callable[[PendingRequest], int]


POLICIES_BY_NAME = {
    "heatherspur": Policy(SchedulingPolicy, best_grant),
    "waits to the end": Policy(NoEarlyRefusal, best_grant),
    "earliest objective": Policy(EarliestObjective, best_grant),
    "first come": Policy(FirstComeFirstServed, best_grant),
    "first grant": Policy(SchedulingPolicy, first_grant),
    "fastest grant": Policy(SchedulingPolicy, fastest_grant),
}
