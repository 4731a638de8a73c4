"""Scheduling policy of a target: order of reservations, and which to decline.

Under overload, more requests than slots arrive, with several priorities; some are
nested calls of targets that occupy a slot themselves until the answer arrives. Requests
that can still meet their latency objective have precedence over those that can't, so
that overload makes a few answers late instead of all.
"""

from collections.abc import Sequence
from typing import NamedTuple

from heatherspur.dispatch.priority_load import PriorityClass, PriorityLoad
from heatherspur.dispatch.runtimes import RunTimes
from heatherspur.dispatch.shares import CustomerShares
from heatherspur.link import messages as m

__all__ = [
    "ReservationKey",
    "Reservation",
    "SchedulingPolicy",
    "to_reservation",
]

# Share of the expected wait that counts when a request is declined. Bursts end, and
# actual waits are then shorter than expected.
CERTAIN_WAIT_SHARE = 0.6


class ReservationKey(NamedTuple):
    """Identifies a reservation at an exit.

    :param link: Id of the link over which it was received.
    :param number: Its number on this link.
    """

    link: int
    number: int


class Reservation(NamedTuple):
    """A request of an entry for a slot of the target.

    :param key: Key of the reservation.
    :param priority: Priority of the request; 0 is the highest.
    :param objective_at_s: Clock reading at which the latency objective expires.
    :param deadline_s: Clock reading at which the final answer is due.
    :param may_probe: Whether the request may probe a doubtful target.
    :param is_nested: Whether the caller is a target that occupies a slot meanwhile.
    :param weight: Probability that it uses a slot of this target, from 0 to 1.
    :param is_retry: Whether the request was sent to a target before.
    :param route: Tag of the request's route.
    :param customer: Tag of the request's customer; 0 for none.
    """

    key: ReservationKey
    priority: int
    objective_at_s: float
    deadline_s: float
    may_probe: bool
    is_nested: bool
    weight: float
    is_retry: bool
    route: int
    customer: int


def to_reservation(key: ReservationKey, message: m.Reserve, now: float) -> Reservation:
    """Convert a message of an entry to a reservation.

    :param key: Key of the reservation.
    :param message: Message of the entry; its times are relative.
    :param now: Clock reading in seconds.
    """
    return Reservation(
        key=key,
        priority=message.priority,
        objective_at_s=now + message.objective_ms / 1000,
        deadline_s=now + message.left_ms / 1000,
        may_probe=message.may_probe,
        is_nested=message.inner,
        weight=1 / max(1, message.n_asked),
        is_retry=message.is_repeat,
        route=message.route,
        customer=message.customer,
    )


class SchedulingPolicy:
    """Order of the reservations at one target, and which of them to decline.

    :param run_times: Expected run times by route.
    :param shares: Recent use of the target by customer.
    """

    def __init__(
        self, run_times: RunTimes | None = None, shares: CustomerShares | None = None
    ) -> None:
        self._run_times = run_times or RunTimes()
        self._shares = shares or CustomerShares()
        self._priority_load = PriorityLoad()

    def key(self, reservation: Reservation, now: float) -> tuple:
        """Return the sort key of a reservation; the lowest is granted first.

        Nested calls precede others, then higher priorities lower ones, requests that
        can meet their objective late ones, customers within their fair share those
        that exceed it, and earlier objectives later ones.

        :param reservation: The reservation.
        :param now: Clock reading in seconds.
        """
        return (
            self._priority_class(reservation, now),
            self._shares.exceeds_fair_share(reservation.customer),
            reservation.objective_at_s,
        )

    def _priority_class(self, reservation: Reservation, now: float) -> PriorityClass:
        is_late = now + self.expected_s(reservation.route) > reservation.objective_at_s
        return PriorityClass(not reservation.is_nested, reservation.priority, is_late)

    def expected_s(self, route: int) -> float:
        """Return the expected run time of a request, in seconds.

        :param route: Tag of its route.
        """
        return self._run_times.expected_s(route)

    def record_start(self, reservation: Reservation, now: float) -> None:
        """Record a request that starts to use a slot.

        :param reservation: Reservation of the request.
        :param now: Clock reading in seconds.
        """
        run_s = self.expected_s(reservation.route)
        self._priority_load.record_start(
            self._priority_class(reservation, now), run_s, now
        )
        if not reservation.is_nested:
            self._shares.record_start(reservation.customer, run_s, now)

    def record_run(self, route: int, run_s: float) -> None:
        """Record the run time of a request.

        :param route: Tag of its route.
        :param run_s: Time from sending the request to its answer, in seconds.
        """
        self._run_times.note(route, run_s)

    def wait_s(
        self,
        reservation: Reservation,
        ahead_s: float,
        running_routes: Sequence[int],
        slots: int,
        now: float,
    ) -> float:
        """Return the expected wait of a reservation, in seconds.

        :param reservation: The reservation.
        :param ahead_s: Queued work with precedence, in seconds of a slot.
        :param running_routes: Tags of the routes of running requests.
        :param slots: Number of requests that the target runs concurrently.
        :param now: Clock reading in seconds.
        """
        # On average, a running request is halfway through its run time.
        routes = running_routes or [reservation.route]
        remaining_s = sum(map(self.expected_s, routes)) / len(routes) / 2
        wait_s = (ahead_s + remaining_s) / max(1, slots)
        priority_class = self._priority_class(reservation, now + wait_s)
        return wait_s * self._priority_load.wait_factor(priority_class, slots, now)

    def will_miss_deadline(
        self, reservation: Reservation, wait_s: float, now: float
    ) -> bool:
        """Return whether a request will miss both its objective and its timeout.

        Nested calls are never declined for this reason, since that would fail the
        parent request.

        :param reservation: Reservation of the request.
        :param wait_s: Expected wait, in seconds.
        :param now: Clock reading in seconds.
        """
        if reservation.is_nested:
            return False
        run_s = self.expected_s(reservation.route)
        end_s = now + wait_s * CERTAIN_WAIT_SHARE + run_s
        return end_s > max(reservation.deadline_s, reservation.objective_at_s)
