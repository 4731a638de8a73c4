"""Expected run times of requests, by route.

Load pattern: a target serves routes whose work differs tenfold, such as lookups by
callers and short reads that other targets make. One mean over all of them calls a long
request in time until the moment at which only a short one could still make it, and
overload then makes every long request late.
"""

from collections.abc import Hashable

__all__ = ["RunTimes"]

# Until the first answers are in; typical of the users' services.
DEFAULT_RUN_S = 0.3
# Single requests take several times the usual; some ten of them make a mean.
SMOOTHING = 0.1
# The first answers of a route count for more, so that one odd start is soon forgotten.
FIRST_SMOOTHING = 0.5
# Routes of one service today; the one that was answered longest ago goes first.
MAX_ROUTES = 1024


class RunTimes:
    """Smoothed run times.

    :param default_s: Expected time of a request before any was answered, in seconds.
    """

    def __init__(self, default_s: float = DEFAULT_RUN_S) -> None:
        self._mean_s = default_s
        self._means_by_route: dict[Hashable, tuple[float, int]] = {}

    def note(self, route: Hashable, run_s: float) -> None:
        """Take the time of one request.

        :param route: Its route.
        :param run_s: Seconds from hand-over to answer.
        """
        self._mean_s += SMOOTHING * (run_s - self._mean_s)
        mean_s, n_seen = self._means_by_route.pop(route, (run_s, 0))
        weight = max(SMOOTHING, FIRST_SMOOTHING / (n_seen + 1))
        mean_s += weight * (run_s - mean_s)
        if len(self._means_by_route) >= MAX_ROUTES:
            self._means_by_route.pop(next(iter(self._means_by_route)))
        self._means_by_route[route] = (mean_s, n_seen + 1)

    def expected_s(self, route: Hashable) -> float:
        """Return the expected time of a request, in seconds.

        :param route: Its route; one without answers yet is taken for the mean of all.
        """
        known = self._means_by_route.get(route)
        return self._mean_s if known is None else known[0]
