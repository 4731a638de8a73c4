"""Targets that work, turn gray, slow down and call other services."""

import random
from collections.abc import Iterator

from benchmarks.emulator.site import RouteLoad, Service, SiteFile, Trouble

__all__ = ["TargetModel"]

# A reset by a gray target comes at once.
RESET_S = 0.001


class TargetModel:
    """How one target behaves.

    :param site: The site.
    :param service: Its service.
    :param rng: Source of its run times and spells.
    """

    def __init__(self, site: SiteFile, service: Service, rng: random.Random) -> None:
        self._rng = rng
        self._service = service
        self._spells = list(self._own_spells(site.seconds))
        hit = (
            trouble
            for trouble in site.troubles
            if trouble.service in ("", service.name) and rng.random() < trouble.share
        )
        self._troubles: list[Trouble] = list(hit)

    def _own_spells(self, seconds: float) -> Iterator[tuple[float, float]]:
        """Yield the gray spells that come at any time."""
        service = self._service
        if not service.gray_share:
            return
        gap_s = service.gray_s * (1 / service.gray_share - 1)
        now = -self._rng.random() * (gap_s + service.gray_s)
        while now < seconds:
            now += self._rng.expovariate(1 / gap_s)
            yield now, now + service.gray_s
            now += service.gray_s

    def _during(self, kind: str, now: float) -> Iterator[Trouble]:
        for trouble in self._troubles:
            if trouble.kind == kind and 0 <= now - trouble.at_s < trouble.for_s:
                yield trouble

    def fails(self, now: float) -> bool:
        """Tell whether a request that starts now is reset.

        :param now: Seconds since the start of the run.
        """
        is_gray = any(start <= now < end for start, end in self._spells)
        is_gray = is_gray or any(self._during("gray", now))
        return is_gray and self._rng.random() < self._service.gray_fails

    def run_s(self, route: RouteLoad, now: float) -> float:
        """Return the time that a request takes, without its calls.

        :param route: Its route.
        :param now: Seconds since the start of the run.
        """
        run_s = route.run_ms / 1000 * self._rng.lognormvariate(0, route.spread)
        for trouble in self._during("slow", now):
            run_s *= trouble.factor
        return run_s
