"""Points in time at which the dispatch of a request changes its course."""

from heatherspur.dispatch.conf import NO_TARGET_WAIT_S
from heatherspur.dispatch.overdue import overdue_after_s
from heatherspur.dispatch.pending import PendingRequest
from heatherspur.dispatch.runtimes import RunTimes
from heatherspur.dispatch.types import Request

__all__ = ["RequestTiming"]

# Two one-way delays between zones and the reading of the answer, in addition to the run
# time.
MIN_START_MARGIN_S = 0.03


class RequestTiming:
    """Latest starts and overdue times, from the run times that an entry has seen."""

    def __init__(self) -> None:
        self._run_times = RunTimes()

    def record_run(self, request: Request, run_s: float) -> None:
        """Record the run time of a request.

        :param request: The request.
        :param run_s: Time from sending it to its answer, in seconds.
        """
        self._run_times.note((request.service, request.route.tag), run_s)

    def latest_start_s(self, pending: PendingRequest) -> float:
        """Return the clock reading after which a start would be too late.

        :param pending: The request.
        """
        request = pending.request
        run_s = self._run_times.expected_s((request.service, request.route.tag))
        total_s = request.timeout_at_s - request.opened_at_s
        return request.timeout_at_s - min(run_s, total_s / 2) - MIN_START_MARGIN_S

    def may_wait(self, pending: PendingRequest, n_targets: int, now: float) -> bool:
        """Return whether a request without reservations may wait for a target.

        :param pending: The request.
        :param n_targets: Number of known targets of its service.
        :param now: Clock reading in seconds.
        """
        return (
            not pending.n_final_declines
            and n_targets > len(pending.tried_nodes)
            and now < pending.request.opened_at_s + NO_TARGET_WAIT_S
            and now < self.latest_start_s(pending)
        )

    def is_overdue(self, pending: PendingRequest, now: float) -> bool:
        """Return whether a running request should move to another target.

        :param pending: The request.
        :param now: Clock reading in seconds.
        """
        request = pending.request
        if (
            not request.route.idempotent
            or pending.executing is None
            or pending.n_attempts >= request.route.max_targets
            or not pending.next_move_at_s <= now <= self.latest_start_s(pending)
        ):
            return False
        key = (request.service, request.route.tag)
        after_s = overdue_after_s(self._run_times, key, request.route.objective_s)
        return now >= pending.executed_at_s + after_s
