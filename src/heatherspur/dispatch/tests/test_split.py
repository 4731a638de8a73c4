"""Traffic shares of the services of a route."""

import random
from collections import Counter

from heatherspur.dispatch import WeightedService
from heatherspur.dispatch.split import WeightedSplit
from heatherspur.dispatch.tests.builders import make_route

ROUTE = make_route(
    weighted_services=(WeightedService("permits", 90), WeightedService("trails", 10))
)


def test_shares_at_one_node_follow_the_weights():
    split = WeightedSplit(random.Random(1))
    counts = Counter(split.choose(ROUTE) for _ in range(100))
    assert abs(counts["trails"] - 10) <= 2


def test_few_requests_at_each_of_many_nodes_follow_the_weights():
    counts = Counter(
        WeightedSplit(random.Random(seed)).choose(ROUTE)
        for seed in range(400)
        for _ in range(2)
    )
    assert 0.07 <= counts["trails"] / counts.total() <= 0.13


def test_new_weights_apply_immediately():
    split = WeightedSplit(random.Random(1))
    split.choose(ROUTE)
    reweighted = ROUTE._replace(
        weighted_services=(WeightedService("permits", 0), WeightedService("trails", 1))
    )
    assert Counter(split.choose(reweighted) for _ in range(10)) == {"trails": 10}
