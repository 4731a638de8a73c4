"""Fair shares of a target's slots between customers.

While requests queue for slots, one customer may send many times the load of the others
and still be within its rate limit. If only the objectives determined the order, all
customers would be late equally often, and small ones would pay for the load of a large
one. Therefore customers with less recent use have precedence (max-min fairness).
"""

import math

__all__ = ["CustomerShares"]

# Rate limits are measured over five seconds, so older use matters little.
DECAY_TIME_S = 5.0
# Decay is applied in steps, since most calls are only a few milliseconds apart.
DECAY_STEP_S = 0.25
# A customer with less use than this, in seconds of a slot, is no longer tracked.
MIN_USE_S = 0.02
# More customers than a target serves within a few seconds. The customer with the least
# use is evicted.
MAX_CUSTOMERS = 4096


class CustomerShares:
    """Recent use of one target's slots by customer, with exponential decay."""

    def __init__(self) -> None:
        self._use_s_by_customer: dict[int, float] = {}
        self._total_s = 0.0
        self._decayed_at_s = 0.0

    def record_start(self, customer: int, run_s: float, now: float) -> None:
        """Record a request that starts to use a slot.

        :param customer: Tag of the customer.
        :param run_s: Expected run time, in seconds.
        :param now: Clock reading in seconds.
        """
        self._decay(now)
        use_s = self._use_s_by_customer
        if customer not in use_s and len(use_s) >= MAX_CUSTOMERS:
            self._total_s -= use_s.pop(min(use_s, key=use_s.get))
        use_s[customer] = use_s.get(customer, 0.0) + run_s
        self._total_s += run_s

    def exceeds_fair_share(self, customer: int) -> bool:
        """Return whether the recent use of a customer exceeds an equal share.

        :param customer: Tag of the customer.
        """
        use_s = self._use_s_by_customer
        return use_s.get(customer, 0.0) * len(use_s) > self._total_s

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at_s
        if elapsed_s < DECAY_STEP_S:
            return
        self._decayed_at_s = now
        factor = math.exp(-elapsed_s / DECAY_TIME_S)
        scaled = (
            (name, use_s * factor) for name, use_s in self._use_s_by_customer.items()
        )
        self._use_s_by_customer = {
            name: use_s for name, use_s in scaled if use_s >= MIN_USE_S
        }
        self._total_s = sum(self._use_s_by_customer.values())
