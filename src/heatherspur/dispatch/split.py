"""Weighted traffic split between the services of a route."""

import random

from heatherspur.dispatch.types import Route

__all__ = ["WeightedSplit"]

# Successive multiples of the golden ratio, modulo 1, cover the interval from 0 to 1
# with low discrepancy.
GOLDEN_RATIO_STEP = (5**0.5 - 1) / 2


class WeightedSplit:
    """Assigns requests to services with a low-discrepancy sequence.

    Any sequence of requests at a node closely follows the weights. Each node starts
    at a random position, so that a few requests at each of many nodes also add up to
    the weights.

    :param rng: Random source of the starting positions.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._positions_by_route: dict[str, float] = {}

    def choose(self, route: Route) -> str:
        """Return the name of the service for the next request of a route.

        :param route: The route.
        """
        total_weight = sum(part.weight for part in route.weighted_services)
        if len(route.weighted_services) == 1 or total_weight <= 0:
            return route.weighted_services[0].service
        position = self._positions_by_route.get(route.name, self._rng.random())
        self._positions_by_route[route.name] = (position + GOLDEN_RATIO_STEP) % 1.0
        upper_bound = 0.0
        for part in route.weighted_services:
            upper_bound += part.weight / total_weight
            if position < upper_bound:
                return part.service
        return route.weighted_services[-1].service
