"""Replays a load against the queue of one simulated target."""

import heapq
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from heatherspur.dispatch.queue import TargetQueue
from heatherspur.dispatch.scheduling import ReservationKey
from heatherspur.dispatch.tests.builders import make_waiting
from heatherspur.link import messages as m

TICK_S = 0.05
# Time for the running requests to finish after the last arrival.
DRAIN_S = 5.0


class Arrival(NamedTuple):
    """One request of a load; times are in seconds."""

    at_s: float
    run_s: float
    objective_s: float
    timeout_s: float
    route: int = 7
    is_nested: bool = False
    customer: int = 1


class Outcome(NamedTuple):
    """Counts of requests, and how long unanswered requests waited, in seconds."""

    n_in_time: int
    n_served: int
    held_s: tuple[float, ...]

    def __add__(self, other: "Outcome") -> "Outcome":
        return Outcome(
            self.n_in_time + other.n_in_time,
            self.n_served + other.n_served,
            self.held_s + other.held_s,
        )


class TargetReplay:
    """One target at which requests arrive at given times.

    :ivar n_in_time_by_customer: Number of answers within the objective.
    """

    def __init__(self, queue: TargetQueue) -> None:
        self._queue = queue
        self._open_by_number: dict[int, Arrival] = {}
        self._ends: list[tuple[float, int]] = []
        self._n_in_time = self._n_served = 0
        self.n_in_time_by_customer: Counter[int] = Counter()
        self._held_s: list[float] = []

    def _handle_replies(self, replies, now: float) -> None:
        for reply in list(replies):
            number = reply.key.number
            if isinstance(reply.message, m.Grant):
                self._queue.start(reply.key, now)
                end_s = now + self._open_by_number[number].run_s
                heapq.heappush(self._ends, (end_s, number))
            elif isinstance(reply.message, m.Decline):
                self._held_s.append(now - self._open_by_number.pop(number).at_s)

    def _finish_due(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            at_s, number = heapq.heappop(self._ends)
            arrival = self._open_by_number.pop(number)
            if not arrival.is_nested:
                self._n_served += 1
                in_time = at_s - arrival.at_s <= arrival.objective_s
                self._n_in_time += in_time
                self.n_in_time_by_customer[arrival.customer] += in_time
            replies = self._queue.finish(ReservationKey(1, number), True, at_s)
            self._handle_replies(replies, at_s)

    def play(self, arrivals: Iterable[Arrival]) -> Outcome:
        """Replay a load; nested calls are excluded from the outcome."""
        arrivals = sorted(arrivals)
        n_ticks = int((arrivals[-1].at_s + DRAIN_S) / TICK_S)
        steps = [(i * TICK_S, -1) for i in range(n_ticks)]
        steps += [(arrival.at_s, number) for number, arrival in enumerate(arrivals)]
        for now, number in sorted(steps):
            self._finish_due(now)
            if number < 0:
                self._handle_replies(self._queue.tick(now), now)
                continue
            arrival = self._open_by_number[number] = arrivals[number]
            waiting = make_waiting(
                number,
                objective_at_s=now + arrival.objective_s,
                deadline_s=now + arrival.timeout_s,
                is_nested=arrival.is_nested,
                route=arrival.route,
                customer=arrival.customer,
            )
            self._handle_replies(self._queue.reserve(waiting, now), now)
        # The remaining requests exceeded their timeout without a slot.
        remaining = self._open_by_number.values()
        self._held_s += [
            arrival.timeout_s for arrival in remaining if not arrival.is_nested
        ]
        return Outcome(self._n_in_time, self._n_served, tuple(self._held_s))
