"""Waits and early declines at an overloaded target."""

import random

import pytest

from heatherspur.dispatch.priority_load import PriorityClass, PriorityLoad
from heatherspur.dispatch.scheduling import SchedulingPolicy
from heatherspur.dispatch.tests.builders import make_queue
from heatherspur.dispatch.tests.replays import Arrival, Outcome, TargetReplay

SLOTS, RUN_S, OBJECTIVE_S, TIMEOUT_S = 3, 0.4, 1.0, 3.0
LATE_CREDIT = 0.1
# Deadline of the callers. An unanswered request has no cost if it was held for up to an
# eighth of its objective, and costs a full credit from three quarters of the deadline.
CALLER_DEADLINE_S = 6.0


def _credit(outcome: Outcome) -> float:
    free_s, max_s = OBJECTIVE_S / 8, CALLER_DEADLINE_S * 3 / 4
    costs = (
        min(1.0, max(0.0, (held_s - free_s) / (max_s - free_s)))
        for held_s in outcome.held_s
    )
    n_late = outcome.n_served - outcome.n_in_time
    return outcome.n_in_time + LATE_CREDIT * n_late - sum(costs)


class NoEarlyDecline(SchedulingPolicy):
    """Baseline: every request is queued until its timeout."""

    def will_miss_deadline(self, waiting, wait_s, now):
        return False


def _arrivals(load: float, seconds: float, seed: int) -> list[float]:
    rng = random.Random(seed)
    times, now = [], 0.0
    while now < seconds:
        now += rng.expovariate(load * SLOTS / RUN_S)
        times.append(now)
    return times


def _replay_all(order_type, loads_by_seed) -> Outcome:
    total = Outcome(0, 0, ())
    for times in loads_by_seed:
        queue = make_queue(SLOTS, order_type())
        arrivals = (Arrival(at_s, RUN_S, OBJECTIVE_S, TIMEOUT_S) for at_s in times)
        total += TargetReplay(queue).play(arrivals)
    return total


@pytest.mark.parametrize("load", [1.3, 1.6, 2.5])
def test_overload_is_declined_early_without_fewer_answers_in_time(load):
    arrivals = [_arrivals(load, 15.0, seed) for seed in range(6)]
    baseline = _replay_all(NoEarlyDecline, arrivals)
    outcome = _replay_all(SchedulingPolicy, arrivals)
    assert _credit(outcome) > _credit(baseline)
    assert outcome.n_in_time >= baseline.n_in_time * 0.98
    assert sum(outcome.held_s) < sum(baseline.held_s) / 2


def test_short_burst_is_mostly_served_late_instead_of_declined():
    arrivals = [
        sorted(_arrivals(0.6, 10.0, seed) + [3.0 + i * 0.02 for i in range(12)])
        for seed in range(10)
    ]
    baseline = _replay_all(NoEarlyDecline, arrivals)
    outcome = _replay_all(SchedulingPolicy, arrivals)
    assert outcome.n_in_time >= baseline.n_in_time * 0.98
    assert outcome.n_served >= baseline.n_served * 0.98


IN_TIME = PriorityClass(True, 1, False)
LATE = PriorityClass(True, 1, True)
HIGH_PRIORITY = PriorityClass(True, 0, False)


def test_wait_factor_depends_only_on_higher_priority_classes():
    load = PriorityLoad()
    for i in range(60):
        load.record_start(IN_TIME, 0.1, i * 0.1)
    assert load.wait_factor(HIGH_PRIORITY, 2, 6.0) == 1.0
    assert load.wait_factor(IN_TIME, 2, 6.0) == 1.0
    assert load.wait_factor(LATE, 2, 6.0) > 1.5


def test_load_decays():
    load = PriorityLoad()
    load.record_start(HIGH_PRIORITY, 5.0, 0.0)
    assert load.wait_factor(LATE, 2, 0.1) > 2.0
    assert load.wait_factor(LATE, 2, 30.0) == pytest.approx(1.0, abs=0.01)


def test_unservable_requests_are_declined_early():
    queue = make_queue(slots=1)
    replay = TargetReplay(queue)
    replay.play(Arrival(i * 0.1, RUN_S, 0.5, TIMEOUT_S) for i in range(60))
    # Requests that can meet their objective keep the target busy.
    outcome = TargetReplay(queue).play(
        [Arrival(i * 0.1, RUN_S, 0.5, TIMEOUT_S) for i in range(60)]
    )
    assert max(outcome.held_s) < TIMEOUT_S / 2
