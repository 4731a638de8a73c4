"""Spreads a route's requests over its services by weight."""

import random

from heatherspur.dispatch.types import Route

__all__ = ["WeightedSplit"]


class WeightedSplit:
    """Gives each part its share with the least deviation at any moment.

    Each node starts at a random place, so that few requests at many nodes still add
    up to the weights.

    :param rng: Source of the starting places.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits_by_route: dict[str, tuple[tuple, list[float]]] = {}

    def choose(self, route: Route) -> str:
        """Return the service that runs the next request of a route.

        :param route: The route.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        total = sum(part.weight for part in route.parts)
        if total <= 0:
            return route.parts[0].service
        parts, credits = self._credits_by_route.get(route.name, ((), []))
        if parts != route.parts:
            credits = self._start(route, total)
            self._credits_by_route[route.name] = (route.parts, credits)
        for i, part in enumerate(route.parts):
            credits[i] += part.weight / total
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= 1
        return route.parts[best].service

    def _start(self, route: Route, total: float) -> list[float]:
        """Draw credits with a mean of zero each."""
        place = self._rng.random()
        credits, low = [], 0.0
        for part in route.parts:
            high = low + part.weight / total
            credits.append(part.weight / total - (low <= place < high))
            low = high
        return credits
