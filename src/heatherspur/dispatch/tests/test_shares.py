"""One customer that sends many times what the others do."""

import random

import pytest

from heatherspur.dispatch.scheduling import SchedulingPolicy
from heatherspur.dispatch.shares import MAX_CUSTOMERS, CustomerShares
from heatherspur.dispatch.tests.builders import make_queue
from heatherspur.dispatch.tests.replays import Arrival, TargetReplay

SLOTS, RUN_S, OBJECTIVE_S, TIMEOUT_S = 3, 0.4, 1.0, 3.0
N_SMALL = 7
LARGE = 100
SECONDS = 20.0


class NoShares(CustomerShares):
    """Baseline: the order does not look at customers."""

    def is_over(self, customer):
        return False


def _load(load: float, large_factor: float, seed: int) -> list[Arrival]:
    """Return a load, in parts of the capacity, with one customer above the others."""
    rng = random.Random(seed)
    weights_by_customer = {number: 1.0 for number in range(1, N_SMALL + 1)}
    weights_by_customer[LARGE] = large_factor
    customers, weights = zip(*weights_by_customer.items(), strict=True)
    arrivals, now = [], 0.0
    while now < SECONDS:
        now += rng.expovariate(load * SLOTS / RUN_S)
        (customer,) = rng.choices(customers, weights)
        arrivals.append(Arrival(now, RUN_S, OBJECTIVE_S, TIMEOUT_S, customer=customer))
    return arrivals


def _replay(shares, load: float, large_factor: float) -> tuple[float, int]:
    """Return the part of small customers' requests in time, and the total in time."""
    n_small = n_small_in_time = n_in_time = 0
    for seed in range(6):
        queue = make_queue(SLOTS, SchedulingPolicy(shares=shares()))
        replay = TargetReplay(queue)
        arrivals = _load(load, large_factor, seed)
        n_in_time += replay.play(arrivals).n_in_time
        n_small += sum(arrival.customer != LARGE for arrival in arrivals)
        by_customer = replay.n_in_time_by_customer
        n_small_in_time += sum(n for name, n in by_customer.items() if name != LARGE)
    return n_small_in_time / n_small, n_in_time


@pytest.mark.parametrize("load", [1.3, 1.8])
def test_small_customers_are_served_while_a_large_one_presses(load):
    """They fare nearly as if the large one were not there, at no cost in all."""
    small_load = load * N_SMALL / (N_SMALL + 10.0)
    alone_ratio, _ = _replay(NoShares, small_load, large_factor=0.0)
    naive_ratio, naive_total = _replay(NoShares, load, large_factor=10.0)
    ratio, total = _replay(CustomerShares, load, large_factor=10.0)
    assert ratio >= alone_ratio - 0.1 > naive_ratio
    assert total >= naive_total * 0.95


def test_equal_customers_are_served_as_before():
    naive_ratio, naive_total = _replay(NoShares, 1.2, large_factor=1.0)
    ratio, total = _replay(CustomerShares, 1.2, large_factor=1.0)
    assert ratio >= naive_ratio - 0.03
    assert total >= naive_total * 0.97


def test_use_is_forgotten():
    shares = CustomerShares()
    shares.record_start(1, 1.0, 0.0)
    shares.record_start(2, 0.1, 0.0)
    assert shares.is_over(1)
    shares.record_start(2, 0.5, 30.0)
    assert not shares.is_over(1)


def test_customers_are_bounded():
    shares = CustomerShares()
    for customer in range(MAX_CUSTOMERS + 100):
        shares.record_start(customer, 1.0, 0.0)
    assert len(shares._use_s_by_customer) == MAX_CUSTOMERS
