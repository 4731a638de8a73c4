"""Expected run times of requests by route.

A target serves routes whose run times differ tenfold, such as lookups by callers and
short reads by other targets. With one mean for all routes, a long request would be
classified as in time until only a short one could still meet its objective, and under
overload every long request would be late.
"""

from collections.abc import Hashable

__all__ = ["RunTimes"]

# Expected run time before the first answer; typical of the services.
DEFAULT_RUN_S = 0.3
# Single requests take several times the mean, so the mean covers about ten requests.
SMOOTHING = 0.1
# The first answers of a route have a higher weight, which corrects an atypical first
# one quickly.
FIRST_SMOOTHING = 0.5
# A service has fewer routes. The route with the least recent answer is evicted.
MAX_ROUTES = 1024


class RunTimes:
    """Exponentially smoothed run times of one or more services.

    :param default_s: Expected run time before the first answer, in seconds.
    """

    def __init__(self, default_s: float = DEFAULT_RUN_S) -> None:
        self._mean_s = default_s
        self._means_by_route: dict[Hashable, tuple[float, int]] = {}

    def note(self, route: Hashable, run_s: float) -> None:
        """Record the run time of one request.

        :param route: Key of its route.
        :param run_s: Time from sending the request to its answer, in seconds.
        """
        self._mean_s += SMOOTHING * (run_s - self._mean_s)
        mean_s, n_seen = self._means_by_route.pop(route, (run_s, 0))
        weight = max(SMOOTHING, FIRST_SMOOTHING / (n_seen + 1))
        mean_s += weight * (run_s - mean_s)
        if len(self._means_by_route) >= MAX_ROUTES:
            self._means_by_route.pop(next(iter(self._means_by_route)))
        self._means_by_route[route] = (mean_s, n_seen + 1)

    def expected_s(self, route: Hashable) -> float:
        """Return the expected run time of a request, in seconds.

        :param route: Key of its route; the overall mean is used until its first answer.
        """
        known = self._means_by_route.get(route)
        return self._mean_s if known is None else known[0]

    def n_answers(self, route: Hashable) -> int:
        """Return the number of recorded run times of a route.

        :param route: Key of the route.
        """
        known = self._means_by_route.get(route)
        return 0 if known is None else known[1]
