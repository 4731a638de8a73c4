"""Circuit breaker per route for requests that exceed their timeout at a target.

The timeout of a route may be shorter than the run time of its requests, or a target
may be many times slower than usual. Each such request occupies a slot until its
timeout without a result; together they can occupy most slots of a service.
"""

from heatherspur.dispatch.conf import MAX_CONSECUTIVE_TIMEOUTS, TIMEOUT_PROBE_INTERVAL_S

__all__ = ["TimedOutRoutes"]


class TimedOutRoutes:
    """Routes whose most recent requests all exceeded their timeout at one target."""

    def __init__(self) -> None:
        self._n_timeouts_by_route: dict[int, int] = {}
        self._next_probe_at_s_by_route: dict[int, float] = {}

    def record_timeout(self, route: int, now: float) -> None:
        """Record a request that exceeded its timeout.

        :param route: Tag of its route.
        :param now: Clock reading in seconds.
        """
        self._n_timeouts_by_route[route] = self._n_timeouts_by_route.get(route, 0) + 1
        self._next_probe_at_s_by_route[route] = now + TIMEOUT_PROBE_INTERVAL_S

    def record_answer(self, route: int) -> None:
        """Record a request that was answered in time, which unblocks its route.

        :param route: Tag of its route.
        """
        self._n_timeouts_by_route.pop(route, None)
        self._next_probe_at_s_by_route.pop(route, None)

    def is_blocked(self, route: int, now: float) -> bool:
        """Return whether requests of a route are declined at present.

        :param route: Tag of its route.
        :param now: Clock reading in seconds.
        """
        is_open = self._n_timeouts_by_route.get(route, 0) >= MAX_CONSECUTIVE_TIMEOUTS
        return is_open and now < self._next_probe_at_s_by_route[route]

    def record_start(self, route: int, now: float) -> None:
        """Record the start of a request; delays the next probe of a timed-out route.

        :param route: Tag of its route.
        :param now: Clock reading in seconds.
        """
        if route in self._n_timeouts_by_route:
            self._next_probe_at_s_by_route[route] = now + TIMEOUT_PROBE_INTERVAL_S
