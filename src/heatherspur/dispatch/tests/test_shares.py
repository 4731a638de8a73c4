"""One customer that sends many times the load of the others."""

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
    """Baseline: the order of grants does not depend on the customer."""

    def exceeds_fair_share(self, customer):
        return False


def _load(load: float, large_factor: float, seed: int) -> list[Arrival]:
    """Return requests for a load, relative to the capacity, with one large customer."""
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
    """Return the share of small customers' requests in time and the total in time."""
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
def test_small_customers_are_served_besides_a_large_one(load):
    """They are served almost as if alone, and the total in time does not decrease."""
    small_load = load * N_SMALL / (N_SMALL + 10.0)
    alone_ratio, _ = _replay(NoShares, small_load, large_factor=0.0)
    baseline_ratio, baseline_total = _replay(NoShares, load, large_factor=10.0)
    ratio, total = _replay(CustomerShares, load, large_factor=10.0)
    assert ratio >= alone_ratio - 0.1 > baseline_ratio
    assert total >= baseline_total * 0.95


def test_equal_customers_are_not_affected():
    baseline_ratio, baseline_total = _replay(NoShares, 1.2, large_factor=1.0)
    ratio, total = _replay(CustomerShares, 1.2, large_factor=1.0)
    assert ratio >= baseline_ratio - 0.03
    assert total >= baseline_total * 0.97


def test_use_decays():
    shares = CustomerShares()
    shares.record_start(1, 1.0, 0.0)
    shares.record_start(2, 0.1, 0.0)
    assert shares.exceeds_fair_share(1)
    shares.record_start(2, 0.5, 30.0)
    assert not shares.exceeds_fair_share(1)


def test_number_of_tracked_customers_is_limited():
    shares = CustomerShares()
    for customer in range(MAX_CUSTOMERS + 100):
        shares.record_start(customer, 1.0, 0.0)
    assert len(shares._use_s_by_customer) == MAX_CUSTOMERS
