"""Tells which customers use more than an equal share of a target.

Load pattern: one customer sends many times what the others do, yet stays inside its
limit, while requests wait for slots. By the order of objectives alone each customer is
late as often as the others, so that small ones pay for the load of a large one. Here
those that have used less of the target go first (max-min fairness).
"""

import math

__all__ = ["CustomerShares"]

# The users count limits over five seconds; use that is older matters little.
MEMORY_S = 5.0
# Decay is applied in steps, since most passes come within a few milliseconds.
DECAY_STEP_S = 0.25
# A customer with less use than this counts as absent, in seconds of a slot.
MIN_USE_S = 0.02
# More customers than a target serves in some seconds; the smallest use goes first.
MAX_CUSTOMERS = 4096


class CustomerShares:
    """Recent use of one target's slots, by customer."""

    def __init__(self) -> None:
        self._use_s_by_customer: dict[int, float] = {}
        self._total_s = 0.0
        self._decayed_at_s = 0.0

    def record_start(self, customer: int, run_s: float, now: float) -> None:
        """Count a request that gets a slot.

        :param customer: Tag of its customer.
        :param run_s: Expected run time, in seconds.
        :param now: Clock reading in seconds.
        """
        self._decay(now)
        use_s = self._use_s_by_customer
        if customer not in use_s and len(use_s) >= MAX_CUSTOMERS:
            self._total_s -= use_s.pop(min(use_s, key=use_s.get))
        use_s[customer] = use_s.get(customer, 0.0) + run_s
        self._total_s += run_s

    def is_over(self, customer: int) -> bool:
        """Tell whether a customer has used more than an equal share lately.

        :param customer: Its tag.
        """
        use_s = self._use_s_by_customer
        return use_s.get(customer, 0.0) * len(use_s) > self._total_s

    def _decay(self, now: float) -> None:
        passed_s = now - self._decayed_at_s
        if passed_s < DECAY_STEP_S:
            return
        self._decayed_at_s = now
        factor = math.exp(-passed_s / MEMORY_S)
        scaled = (
            (name, use_s * factor) for name, use_s in self._use_s_by_customer.items()
        )
        self._use_s_by_customer = {
            name: use_s for name, use_s in scaled if use_s >= MIN_USE_S
        }
        self._total_s = sum(self._use_s_by_customer.values())
