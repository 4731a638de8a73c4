"""Routes with very different run times at one target."""

import math
import random

import pytest

from heatherspur.dispatch.runtimes import MAX_ROUTES, RunTimes
from heatherspur.dispatch.scheduling import SchedulingPolicy
from heatherspur.dispatch.tests.builders import make_queue
from heatherspur.dispatch.tests.replays import Arrival, Outcome, TargetReplay

SLOTS = 3
LONG, SHORT = 1, 2
LONG_RUN_S, SHORT_RUN_S = 0.72, 0.07
LONG_OBJECTIVE_S, SHORT_OBJECTIVE_S = 2.0, 0.25
# Load of the short nested calls, relative to the capacity of the target.
SHORT_LOAD = 0.2
LOG_SPREAD = 0.3
N_SEEDS = 6
SECONDS = 20.0
MEAN_LONG_S = LONG_RUN_S * math.exp(LOG_SPREAD**2 / 2)
# Number of long requests that fit besides the short ones, summed over all seeds.
CAPACITY = N_SEEDS * (1 - SHORT_LOAD) * SLOTS * SECONDS / MEAN_LONG_S


class SingleMeanRunTimes(RunTimes):
    """Baseline: one expected run time for all routes."""

    def expected_s(self, route):
        return self._mean_s


def _mixed_load(load: float, seconds: float, seed: int) -> list[Arrival]:
    """Return short nested calls, filled up to ``load`` with long lookups."""
    rng = random.Random(seed)

    def times(rate):
        now = rng.expovariate(rate)
        while now < seconds:
            yield now
            now += rng.expovariate(rate)

    long_rate = (load - SHORT_LOAD) * SLOTS / LONG_RUN_S
    arrivals = [
        Arrival(
            at_s,
            LONG_RUN_S * rng.lognormvariate(0, LOG_SPREAD),
            LONG_OBJECTIVE_S,
            6.0,
            LONG,
        )
        for at_s in times(long_rate)
    ]
    short_rate = SHORT_LOAD * SLOTS / SHORT_RUN_S
    arrivals += [
        Arrival(at_s, SHORT_RUN_S, SHORT_OBJECTIVE_S, 0.8, SHORT, is_nested=True)
        for at_s in times(short_rate)
    ]
    return arrivals


def _replay(run_times, load: float) -> Outcome:
    total = Outcome(0, 0, ())
    for seed in range(N_SEEDS):
        queue = make_queue(SLOTS, SchedulingPolicy(run_times=run_times()))
        total += TargetReplay(queue).play(_mixed_load(load, SECONDS, seed))
    return total


@pytest.mark.parametrize("load", [1.1, 1.3, 1.6])
def test_more_long_requests_meet_their_objective_besides_short_calls(load):
    """With one mean for all routes, overload makes every long request late."""
    baseline, outcome = _replay(SingleMeanRunTimes, load), _replay(RunTimes, load)
    assert outcome.n_in_time >= CAPACITY * 0.85 > baseline.n_in_time
    assert sum(outcome.held_s) <= sum(baseline.held_s) * 1.05


def test_as_many_requests_are_served_without_overload():
    baseline, outcome = _replay(SingleMeanRunTimes, 0.7), _replay(RunTimes, 0.7)
    assert outcome.n_in_time >= baseline.n_in_time
    assert outcome.n_served >= baseline.n_served * 0.98


def test_route_without_answers_uses_the_overall_mean():
    run_times = RunTimes(default_s=0.3)
    assert run_times.expected_s(LONG) == 0.3
    for _ in range(60):
        run_times.note(SHORT, 0.1)
    assert run_times.expected_s(LONG) == pytest.approx(0.1, abs=0.01)


def test_least_recently_answered_route_is_evicted():
    run_times = RunTimes()
    for route in range(MAX_ROUTES + 1):
        run_times.note(route, 1.0 + route)
    assert run_times.expected_s(1) == 2.0
    assert run_times.expected_s(0) == run_times.expected_s("unknown")
