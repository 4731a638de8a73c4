"""Late requests at a target that is asked for more than it can do."""

import random

import pytest

from heatherspur.dispatch.rankload import RankLoad, WaitingRank
from heatherspur.dispatch.scheduling import SchedulingPolicy
from heatherspur.dispatch.tests.builders import make_queue
from heatherspur.dispatch.tests.replays import Arrival, Outcome, TargetReplay

SLOTS, RUN_S, OBJECTIVE_S, TIMEOUT_S = 3, 0.4, 1.0, 3.0
LATE_CREDIT = 0.1
# Time that the callers have; holding a request in vain costs its whole credit at three
# quarters of it and nothing up to an eighth of the objective.
CALLER_S = 6.0


def _credit(outcome: Outcome) -> float:
    free_s, full_s = OBJECTIVE_S / 8, CALLER_S * 3 / 4
    prices = (
        min(1.0, max(0.0, (held_s - free_s) / (full_s - free_s)))
        for held_s in outcome.held_s
    )
    n_late = outcome.n_served - outcome.n_in_time
    return outcome.n_in_time + LATE_CREDIT * n_late - sum(prices)


class WaitsToTheEnd(SchedulingPolicy):
    """Baseline: every request waits until its timeout."""

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
def test_overload_is_refused_early_and_as_many_are_in_time(load):
    arrivals = [_arrivals(load, 15.0, seed) for seed in range(6)]
    naive = _replay_all(WaitsToTheEnd, arrivals)
    outcome = _replay_all(SchedulingPolicy, arrivals)
    assert _credit(outcome) > _credit(naive)
    assert outcome.n_in_time >= naive.n_in_time * 0.98
    assert sum(outcome.held_s) < sum(naive.held_s) / 2


def test_short_burst_is_mostly_served_late_and_not_refused():
    arrivals = [
        sorted(_arrivals(0.6, 10.0, seed) + [3.0 + i * 0.02 for i in range(12)])
        for seed in range(10)
    ]
    naive = _replay_all(WaitsToTheEnd, arrivals)
    outcome = _replay_all(SchedulingPolicy, arrivals)
    assert outcome.n_in_time >= naive.n_in_time * 0.98
    assert outcome.n_served >= naive.n_served * 0.98


IN_TIME = WaitingRank(True, 1, False)
LATE = WaitingRank(True, 1, True)
URGENT = WaitingRank(True, 0, False)


def test_waits_grow_with_the_load_of_better_ranks_only():
    load = RankLoad()
    for i in range(60):
        load.record_start(IN_TIME, 0.1, i * 0.1)
    assert load.stretch(URGENT, 2, 6.0) == 1.0
    assert load.stretch(IN_TIME, 2, 6.0) == 1.0
    assert load.stretch(LATE, 2, 6.0) > 1.5


def test_load_is_forgotten():
    load = RankLoad()
    load.record_start(URGENT, 5.0, 0.0)
    assert load.stretch(LATE, 2, 0.1) > 2.0
    assert load.stretch(LATE, 2, 30.0) == pytest.approx(1.0, abs=0.01)


def test_hopeless_requests_are_told_at_once():
    queue = make_queue(slots=1)
    replay = TargetReplay(queue)
    replay.play(Arrival(i * 0.1, RUN_S, 0.5, TIMEOUT_S) for i in range(60))
    # The target is kept busy by requests that can be in time.
    outcome = TargetReplay(queue).play(
        [Arrival(i * 0.1, RUN_S, 0.5, TIMEOUT_S) for i in range(60)]
    )
    assert max(outcome.held_s) < TIMEOUT_S / 2
