"""Models targets: run times, gray periods and slowdowns."""

import random
from collections.abc import Iterator

from benchmarks.emulator.site import RouteLoad, Service, SiteFile, Trouble

__all__ = ["TargetModel"]

# Time after which a gray target resets the connection.
RESET_S = 0.001


class TargetModel:
    """Run times and faults of one target.

    :param site: The site.
    :param service: Service of the target.
    :param rng: Source of random run times and gray periods.
    """

    def __init__(self, site: SiteFile, service: Service, rng: random.Random) -> None:
        self._rng = rng
        self._service = service
        self._gray_periods = list(self._generate_gray_periods(site.seconds))
        affecting = (
            trouble
            for trouble in site.troubles
            if trouble.service in ("", service.name) and rng.random() < trouble.share
        )
        self._troubles: list[Trouble] = list(affecting)

    def _generate_gray_periods(self, seconds: float) -> Iterator[tuple[float, float]]:
        """Yield the start and end of each gray period, in seconds."""
        service = self._service
        if not service.gray_share:
            return
        gap_s = service.gray_s * (1 / service.gray_share - 1)
        now = -self._rng.random() * (gap_s + service.gray_s)
        while now < seconds:
            now += self._rng.expovariate(1 / gap_s)
            yield now, now + service.gray_s
            now += service.gray_s

    def _active_troubles(self, kind: str, now: float) -> Iterator[Trouble]:
        for trouble in self._troubles:
            if trouble.kind == kind and 0 <= now - trouble.at_s < trouble.for_s:
                yield trouble

    def fails(self, now: float) -> bool:
        """Return whether a request that starts now fails.

        :param now: Seconds since the start of the run.
        """
        is_gray = any(start <= now < end for start, end in self._gray_periods)
        is_gray = is_gray or any(self._active_troubles("gray", now))
        return is_gray and self._rng.random() < self._service.gray_fails

    def run_s(self, route: RouteLoad, now: float) -> float:
        """Return the run time of a request in seconds, without its nested calls.

        :param route: Route of the request.
        :param now: Seconds since the start of the run.
        """
        run_s = route.run_ms / 1000 * self._rng.lognormvariate(0, route.spread)
        for trouble in self._active_troubles("slow", now):
            run_s *= trouble.factor
        return run_s
