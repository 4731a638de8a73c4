"""Spreads a route's requests over its services by weight."""

import random

from heatherspur.dispatch.types import Route

__all__ = ["WeightedSplit"]

# Multiples of the golden ratio fill the interval from 0 to 1 most evenly.
STEP = (5**0.5 - 1) / 2


class WeightedSplit:
    """Gives each service its share with little deviation at any moment.

    Each node starts at a random place, so that few requests at many nodes still add
    up to the weights.

    :param rng: Source of the starting places.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._places_by_route: dict[str, float] = {}

    def choose(self, route: Route) -> str:
        """Return the service that runs the next request of a route.

        :param route: The route.
        """
        total = sum(part.weight for part in route.weighted_services)
        if len(route.weighted_services) == 1 or total <= 0:
            return route.weighted_services[0].service
        place = self._places_by_route.get(route.name, self._rng.random())
        self._places_by_route[route.name] = (place + STEP) % 1.0
        high = 0.0
        for part in route.weighted_services:
            high += part.weight / total
            if place < high:
                return part.service
        return route.weighted_services[-1].service
