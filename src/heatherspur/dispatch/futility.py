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
        self._next_probe_by_route: dict[int, float] = {}

    def note_timeout(self, route: int, now: float) -> None:
        """Count a request that ran until its timeout.

        :param route: Tag of its route.
        :param now: Clock reading in seconds.
        """
        self._n_by_route[route] = self._n_by_route.get(route, 0) + 1
        self._next_probe_by_route[route] = now + FUTILE_PROBE_GAP_S

    def note_answer(self, route: int) -> None:
        """Count a request that was answered in time.

        :param route: Tag of its route.
        """
        self._n_by_route.pop(route, None)
        self._next_probe_by_route.pop(route, None)

    def may_run(self, route: int, now: float) -> bool:
        """Tell whether a request may try the target; one does now and then.

        :param route: Tag of its route.
        :param now: Clock reading in seconds.
        """
        if self._n_by_route.get(route, 0) < N_FUTILE:
            return True
        if now < self._next_probe_by_route[route]:
            return False
        self._next_probe_by_route[route] = now + FUTILE_PROBE_GAP_S
        return True
