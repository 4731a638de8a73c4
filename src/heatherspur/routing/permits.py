"""Ejection permits: limit how many targets of a service may be ejected at a time.

One share holder manages the permits of a service. Each permit is a lease: if it is not
renewed, the target is used again, so that a lost message leads to more capacity and
never to less.
"""

import math

from heatherspur.limits.conf import CLOCK_DRIFT_RATIO, SCHEDULING_MARGIN_S

__all__ = ["PermitLedger", "max_ejected"]


def max_ejected(n_live: int, floor: float) -> int:
    """Return how many targets of a service may be ejected at a time.

    At least one target stays in use, whatever the floor.

    :param n_live: Number of live targets, ejected ones included.
    :param floor: Least share of the live targets that stays in use, 0 to 1.
    """
    if n_live <= 0:
        return 0
    n_needed = max(1, math.ceil(n_live * floor - 1e-9))
    return max(0, n_live - n_needed)


class PermitLedger:
    """Permits of the services for which this node is the permit holder.

    :param lapse_s: Time after which a permit expires at the target's exit, in seconds.
        It expires later here, to allow for clock drift and scheduling delays.
    """

    def __init__(self, lapse_s: float) -> None:
        self._lease_s = lapse_s * (1 + CLOCK_DRIFT_RATIO) + SCHEDULING_MARGIN_S
        self._expiries_by_service: dict[str, dict[str, float]] = {}

    @property
    def lease_s(self) -> float:
        """Time after which a permit expires at this permit holder, in seconds."""
        return self._lease_s

    def n_ejected(self, service: str, now: float) -> int:
        """Return the number of a service's permits that have not expired."""
        return len(self._unexpired(service, now))

    def try_grant(
        self, service: str, target: str, n_live: int, floor: float, now: float
    ) -> bool:
        """Grant or renew a permit, unless the floor forbids it.

        If live targets have left, so that too many of the others are ejected, the
        permits that were granted last are not renewed.

        :param service: Service id.
        :param target: Target id.
        :param n_live: Number of live targets of the service, ejected ones included.
        :param floor: Least share of the live targets that stays in use, 0 to 1.
        :param now: Clock reading in seconds.
        :returns: Whether the permit was granted.
        """
        expiries = self._unexpired(service, now)
        n_allowed = max_ejected(n_live, floor)
        if target in expiries:
            targets = list(expiries)
            granted = targets.index(target) < n_allowed
        else:
            granted = len(expiries) < n_allowed
        if granted:
            expiries[target] = now + self._lease_s
        return granted

    def _unexpired(self, service: str, now: float) -> dict[str, float]:
        expiries = self._expiries_by_service.setdefault(service, {})
        for target, expires_at_s in list(expiries.items()):
            if expires_at_s <= now:
                del expiries[target]
        return expiries
