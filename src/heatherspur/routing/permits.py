"""Ejection permits: a service can lose only as many targets as its floor leaves.

One share holder keeps the permits of a service. Each permit is a lease: if it is not
renewed, the target comes back, so any lost message errs towards more capacity.
"""

import math

from heatherspur.limits.conf import CLOCK_DRIFT_RATIO, SCHEDULING_MARGIN_S

__all__ = ["PermitLedger", "max_ejected"]


def max_ejected(n_live: int, floor: float) -> int:
    """Return how many targets of a service may be out at a time.

    :param n_live: Live targets, ejected ones included.
    :param floor: Least share of them that stays in use, 0 to 1.
    """
    if n_live <= 0:
        return 0
    n_needed = max(1, math.ceil(n_live * floor - 1e-9))
    return max(0, n_live - n_needed)


class PermitLedger:
    """Permits of the services that this node is the permit holder for.

    :param lapse_s: Seconds after which the targets' side lets a permit lapse.
    """

    def __init__(self, lapse_s: float) -> None:
        self._lease_s = lapse_s * (1 + CLOCK_DRIFT_RATIO) + SCHEDULING_MARGIN_S
        self._lapses_by_service: dict[str, dict[str, float]] = {}

    @property
    def lease_s(self) -> float:
        """Longest time that a permit counts here, in seconds."""
        return self._lease_s

    def n_ejected(self, service: str, now: float) -> int:
        """Return the permits of a service that have not lapsed."""
        return len(self._current(service, now))

    def try_grant(
        self, service: str, target: str, n_live: int, floor: float, now: float
    ) -> bool:
        """Grant or renew a permit, unless the floor forbids it.

        Where live targets left and too many are out, those that were granted last
        are refused first.

        :param service: Service id.
        :param target: Target id.
        :param n_live: Live targets of the service, ejected ones included.
        :param floor: The service's floor.
        :param now: Clock reading in seconds.
        """
        lapses = self._current(service, now)
        n_allowed = max_ejected(n_live, floor)
        if target in lapses:
            order = list(lapses)
            granted = order.index(target) < n_allowed
        else:
            granted = len(lapses) < n_allowed
        if granted:
            lapses[target] = now + self._lease_s
        return granted

    def _current(self, service: str, now: float) -> dict[str, float]:
        lapses = self._lapses_by_service.setdefault(service, {})
        for target, lapses_at_s in list(lapses.items()):
            if lapses_at_s <= now:
                del lapses[target]
        return lapses
