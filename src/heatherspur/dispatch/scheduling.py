"""Decides who goes first at a target, and for whom waiting is in vain.

Load pattern: more requests than slots, of several ranks, some of them called by
targets that hold a slot of their own until the answer comes. Requests that can
still be answered within their objective go before those that are late anyway, so
that overload makes few answers late instead of all.
"""

from collections.abc import Sequence
from typing import NamedTuple

from heatherspur.dispatch.rankload import RankLoad, WaitingRank
from heatherspur.dispatch.runtimes import RunTimes
from heatherspur.dispatch.shares import CustomerShares
from heatherspur.link import messages as m

__all__ = [
    "ReservationKey",
    "Reservation",
    "SchedulingPolicy",
    "to_reservation",
]

# Part of an expected wait that is counted against a request; bursts end, and then waits
# turn out shorter.
CERTAIN_PART_OF_WAIT = 0.6


class ReservationKey(NamedTuple):
    """Name of a reservation at an exit.

    :param link: Identifies the link over which it came.
    :param number: Its number on that link.
    """

    link: int
    number: int


class Reservation(NamedTuple):
    """A reservation without a slot.

    :param key: Its name.
    :param priority: Rank of the request; 0 goes first.
    :param objective_at_s: Clock reading until which an answer has its full value.
    :param deadline_s: Clock reading at which the final answer is due.
    :param may_probe: Whether the request may test a doubtful target.
    :param is_nested: Whether a target waits for the answer while it holds a slot.
    :param weight: Chance that it comes to use a slot here, from 0 to 1.
    :param is_retry: Whether a target has got the request before.
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
    """Return the reservation that an entry asks for.

    :param key: Its name.
    :param message: What the entry sent; its times are relative.
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
    """Order of the reservations at one target.

    :param run_times: Expected run times by route.
    :param shares: Recent use of the target by customer.
    """

    def __init__(
        self, run_times: RunTimes | None = None, shares: CustomerShares | None = None
    ) -> None:
        self._run_times = run_times or RunTimes()
        self._shares = shares or CustomerShares()
        self._rank_load = RankLoad()

    def key(self, waiting: Reservation, now: float) -> tuple:
        """Return the place of a reservation; less goes first.

        Calls go first, then by rank; those in time before those that are late, small
        customers before those that used more than their share, and the earliest
        objective before later ones.

        :param waiting: The reservation.
        :param now: Clock reading in seconds.
        """
        return (
            self._rank(waiting, now),
            self._shares.is_over(waiting.customer),
            waiting.objective_at_s,
        )

    def _rank(self, waiting: Reservation, now: float) -> WaitingRank:
        is_late = now + self.expected_s(waiting.route) > waiting.objective_at_s
        return WaitingRank(not waiting.is_nested, waiting.priority, is_late)

    def expected_s(self, route: int) -> float:
        """Return the expected run time of a request, in seconds.

        :param route: Tag of its route.
        """
        return self._run_times.expected_s(route)

    def record_start(self, waiting: Reservation, now: float) -> None:
        """Count a request that uses a slot.

        :param waiting: Its reservation.
        :param now: Clock reading in seconds.
        """
        run_s = self.expected_s(waiting.route)
        self._rank_load.record_start(self._rank(waiting, now), run_s, now)
        if not waiting.is_nested:
            self._shares.record_start(waiting.customer, run_s, now)

    def record_run(self, route: int, run_s: float) -> None:
        """Count the time of a request.

        :param route: Tag of its route.
        :param run_s: Seconds from hand-over to answer.
        """
        self._run_times.note(route, run_s)

    def wait_s(
        self,
        waiting: Reservation,
        ahead_s: float,
        running_routes: Sequence[int],
        slots: int,
        now: float,
    ) -> float:
        """Return the expected wait of a reservation, in seconds.

        :param waiting: The reservation.
        :param ahead_s: Work that waits and goes first, in seconds of a slot.
        :param running_routes: Routes of the requests that run.
        :param slots: Requests that the target runs at a time.
        :param now: Clock reading in seconds.
        """
        # A slot that is busy is free after half of what runs there, on average.
        routes = running_routes or [waiting.route]
        rest_s = sum(map(self.expected_s, routes)) / len(routes) / 2
        wait_s = (ahead_s + rest_s) / max(1, slots)
        rank = self._rank(waiting, now + wait_s)
        return wait_s * self._rank_load.stretch(rank, slots, now)

    def will_miss_deadline(
        self, waiting: Reservation, wait_s: float, now: float
    ) -> bool:
        """Tell whether a request will miss its objective and its timeout.

        Calls of targets are never turned away for it: each fails its parent.

        :param waiting: Its reservation.
        :param wait_s: Its expected wait, in seconds.
        :param now: Clock reading in seconds.
        """
        if waiting.is_nested:
            return False
        run_s = self.expected_s(waiting.route)
        end_s = now + wait_s * CERTAIN_PART_OF_WAIT + run_s
        return end_s > max(waiting.deadline_s, waiting.objective_at_s)
