"""Circuit breaker of one target, driven by the outcomes of its requests.

With gray failures, some targets fail most of their requests for a few seconds while
their health check passes. The node of a target observes the first failure; it then
withholds non-idempotent requests and probes with single idempotent ones.
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

# Targets answer about one request in a hundred with a server error; three errors in six
# requests occur by chance about once in ten thousand requests.
N_OUTCOMES = 6
N_ERRORS = 3


class TargetHealth:
    """Health of one target; its states are those of ``verdict.toml``.

    :ivar last_success_at_s: Clock reading at the start of the last successful request;
        far in the past after the target has shed a request.
    """

    state: str

    def __init__(self) -> None:
        load_chart("heatherspur.dispatch", "verdict.toml", self)
        self._failed_at_s = -MAX_QUARANTINE_S
        self._n_passed_probes = 0
        self._next_probe_at_s = 0.0
        self._probe_interval_s = INITIAL_PROBE_INTERVAL_S
        self.last_success_at_s = -MAX_QUARANTINE_S
        self._outcomes: deque[bool] = deque(maxlen=N_OUTCOMES)

    def record_success(self, started_at_s: float) -> None:
        """Record a request with a successful answer.

        :param started_at_s: Clock reading when it was sent to the target; successes of
            requests from before the last failure don't count towards recovery.
        """
        self._outcomes.append(True)
        self.last_success_at_s = max(self.last_success_at_s, started_at_s)
        if self.state == "sound" or started_at_s < self._failed_at_s:
            return
        self._n_passed_probes += 1
        if self.state == "doubtful":
            self.pass_probe()
        if self._n_passed_probes >= RECOVERY_SUCCESSES:
            self._probe_interval_s = INITIAL_PROBE_INTERVAL_S
            self.clear()

    def record_failure(self, now: float) -> None:
        """Record a request without a usable answer.

        :param now: Clock reading in seconds.
        """
        self._failed_at_s = now
        self._n_passed_probes = 0
        self._next_probe_at_s = now + self._probe_interval_s
        interval_s = self._probe_interval_s * PROBE_INTERVAL_GROWTH
        self._probe_interval_s = min(MAX_PROBE_INTERVAL_S, interval_s)
        self.fail()

    def record_error(self, now: float) -> None:
        """Record a request that the target answered with a server error.

        :param now: Clock reading in seconds.
        """
        self._outcomes.append(False)
        if self._outcomes.count(False) >= N_ERRORS or self.state != "sound":
            self._outcomes.clear()
            self.record_failure(now)

    def record_shed(self) -> None:
        """Record a request that the target shed without running it.

        Shedding is harmless but may continue, so other targets are preferred. The
        target keeps receiving requests, since all targets of a service may shed.
        """
        self.last_success_at_s = -MAX_QUARANTINE_S

    def allows_request(self, may_probe: bool, n_busy: int, now: float) -> bool:
        """Return whether the target may receive a request now.

        :param may_probe: Whether the request can be retried at another target.
        :param n_busy: Number of slots in use.
        :param now: Clock reading in seconds.
        """
        if self.state == "sound":
            return True
        if self.state == "recovering" and may_probe:
            return True
        if n_busy or now < self._next_probe_at_s:
            return False
        return may_probe or now - self._failed_at_s >= MAX_QUARANTINE_S
