"""Judges one target from the outcomes of its own requests.

Load pattern: at any time some targets fail most of their requests for a few seconds
while their health check passes. The node beside a target sees the first failure; it
then keeps non-idempotent requests away and tests with single idempotent ones.
"""

from collections import deque

from heatherspur.core import load_chart
from heatherspur.dispatch.conf import (
    INITIAL_PROBE_INTERVAL_S,
    MAX_PROBE_INTERVAL_S,
    MAX_QUARANTINE_S,
    PROBE_INTERVAL_GROWTH,
    RECOVERY_SUCCESSES,
)

__all__ = ["TargetHealth"]

# Targets answer about one request in a hundred with an error of their own; three in
# six come by chance once in some ten thousand requests.
N_OUTCOMES = 6
N_ERRORS = 3


class TargetHealth:
    """State of one target, driven by ``verdict.toml``."""

    state: str

    def __init__(self) -> None:
        load_chart("heatherspur.dispatch", "verdict.toml", self)
        self._failed_at_s = -MAX_QUARANTINE_S
        self._n_passed = 0
        self._next_probe_at_s = 0.0
        self._probe_gap_s = INITIAL_PROBE_INTERVAL_S
        self.last_success_at_s = -MAX_QUARANTINE_S
        self._outcomes: deque[bool] = deque(maxlen=N_OUTCOMES)

    def record_success(self, started_at_s: float) -> None:
        """Count a request that brought a good answer.

        :param started_at_s: Clock reading when it was handed over; the target was
            well then.
        """
        self._outcomes.append(True)
        self.last_success_at_s = max(self.last_success_at_s, started_at_s)
        if self.state == "sound" or started_at_s < self._failed_at_s:
            return
        self._n_passed += 1
        if self.state == "doubtful":
            self.pass_probe()
        if self._n_passed >= RECOVERY_SUCCESSES:
            self._probe_gap_s = INITIAL_PROBE_INTERVAL_S
            self.clear()

    def record_failure(self, now: float) -> None:
        """Count a request without a usable answer.

        :param now: Clock reading in seconds.
        """
        self._failed_at_s = now
        self._n_passed = 0
        self._next_probe_at_s = now + self._probe_gap_s
        gap_s = self._probe_gap_s * PROBE_INTERVAL_GROWTH
        self._probe_gap_s = min(MAX_PROBE_INTERVAL_S, gap_s)
        self.fail()

    def record_error(self, now: float) -> None:
        """Count a request that the target answered with an error of its own.

        :param now: Clock reading in seconds.
        """
        self._outcomes.append(False)
        if self._outcomes.count(False) >= N_ERRORS or self.state != "sound":
            self._outcomes.clear()
            self.record_failure(now)

    def record_shed(self) -> None:
        """Count a request that the target turned away without running it.

        That harms nobody but may go on, so other targets are taken first where there
        is a choice. All targets of a service may shed; then some work is better
        than none.
        """
        self.last_success_at_s = -MAX_QUARANTINE_S

    def allows_request(self, may_probe: bool, n_busy: int, now: float) -> bool:
        """Tell whether the target may get a request now.

        :param may_probe: Whether the request may run again elsewhere.
        :param n_busy: Slots in use.
        :param now: Clock reading in seconds.
        """
        if self.state == "sound":
            return True
        if self.state == "recovering" and may_probe:
            return True
        if n_busy or now < self._next_probe_at_s:
            return False
        return may_probe or now - self._failed_at_s >= MAX_QUARANTINE_S
