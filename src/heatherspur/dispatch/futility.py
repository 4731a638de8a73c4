"""Keeps requests from a target that can't finish them in time.

Load pattern: the timeout of a route is shorter than its work takes, or a target works
many times slower than usual. Each such request holds a slot until its timeout and
brings nothing; together they can hold most slots of a service.
"""

from heatherspur.dispatch.conf import FUTILE_PROBE_GAP_S, N_FUTILE

__all__ = ["FutileRoutes"]


class FutileRoutes:
    """Routes whose latest requests all ran into their timeout at one target."""

    def __init__(self) -> None:
        self._n_by_route: dict[int, int] = {}
        self._next_try_by_route: dict[int, float] = {}

    def note_timeout(self, route: int, now: float) -> None:
        """Count a request that ran until its timeout.

        :param route: Tag of its route.
        :param now: Clock reading in seconds.
        """
        self._n_by_route[route] = self._n_by_route.get(route, 0) + 1
        self._next_try_by_route[route] = now + FUTILE_PROBE_GAP_S

    def note_answer(self, route: int) -> None:
        """Count a request that was answered in time.

        :param route: Tag of its route.
        """
        self._n_by_route.pop(route, None)
        self._next_try_by_route.pop(route, None)

    def is_futile(self, route: int, now: float) -> bool:
        """Tell whether a request would run into its timeout, as far as is known.

        :param route: Tag of its route.
        :param now: Clock reading in seconds.
        """
        is_known = self._n_by_route.get(route, 0) >= N_FUTILE
        return is_known and now < self._next_try_by_route[route]

    def note_start(self, route: int, now: float) -> None:
        """Note a request that tries the target; the next one does later.

        :param route: Tag of its route.
        :param now: Clock reading in seconds.
        """
        if route in self._n_by_route:
            self._next_try_by_route[route] = now + FUTILE_PROBE_GAP_S
