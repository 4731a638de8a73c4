"""Keeps the slots of one target and the reservations that wait for them.

Load pattern: entries ask several targets for a slot at once and use one of those that
are granted, so that slots are held for moments and many reservations are withdrawn.
"""

from collections.abc import Iterator
from typing import NamedTuple

from heatherspur.dispatch.budget import RetryBudget
from heatherspur.dispatch.conf import GRANT_TIMEOUT_S
from heatherspur.dispatch.health import TargetHealth
from heatherspur.dispatch.runtimes import DEFAULT_RUN_S
from heatherspur.dispatch.scheduling import (
    Reservation,
    ReservationKey,
    SchedulingPolicy,
)
from heatherspur.dispatch.timeouts import TimedOutRoutes
from heatherspur.link import messages as m

__all__ = [
    "FUTILE",
    "NO_ROOM",
    "REPEAT_BUDGET",
    "SlotReply",
    "TargetQueue",
]

# Some requests are enough to notice that a target has turned slow, or recovered.
RECENT_SMOOTHING = 0.3
# Expected wait told while a target is doubtful: longer than most objectives.
DOUBTFUL_WAIT_MS = 3000
# Reason of a decline: requests of this route run into their timeout here.
FUTILE = "futile"
# Reason of a decline: no slot is expected before the timeout.
NO_ROOM = "no-room"
# Reason of a decline: the target has got its share of the service's repeats.
REPEAT_BUDGET = "repeat-budget"


class SlotReply(NamedTuple):
    """A message for the entry that holds a reservation.

    :param key: Name of the reservation.
    :param message: The message.
    """

    key: ReservationKey
    message: m.Message


class Granted(NamedTuple):
    """A slot that is held for a reservation.

    :param until_s: Clock reading at which it lapses.
    :param waiting: The reservation.
    """

    until_s: float
    waiting: Reservation


class Running(NamedTuple):
    """A request at the target.

    :param started_at_s: Clock reading when it was handed over.
    :param route: Tag of its route.
    """

    started_at_s: float
    route: int


class TargetQueue:
    """Slots and waiting list of the target beside this node.

    After a process starts, reservations wait until ``startup_deadline_s`` for the first
    report of the target.

    :param process: Random number of this process; part of each grant.
    :param budget: Repeats that the target may get.
    :param order: Who goes first, and for whom waiting is in vain.
    """

    def __init__(
        self, process: int, budget: RetryBudget, order: SchedulingPolicy | None = None
    ) -> None:
        self.process = process
        self.n_targets = 1
        self._budget = budget
        self._order = order or SchedulingPolicy()
        self.slots = 0
        self.accepting = False
        self.startup_deadline_s = 0.0
        self._timed_out_routes = TimedOutRoutes()
        self.verdict = TargetHealth()
        self._waiting_by_key: dict[ReservationKey, Reservation] = {}
        self._granted_by_key: dict[ReservationKey, Granted] = {}
        self._running_by_key: dict[ReservationKey, Running] = {}
        self._recent_run_s = DEFAULT_RUN_S

    @property
    def n_busy(self) -> int:
        """Slots that are granted or in use."""
        return len(self._granted_by_key) + len(self._running_by_key)

    @property
    def n_waiting(self) -> int:
        """Reservations without a slot."""
        return len(self._waiting_by_key)

    @property
    def n_running(self) -> int:
        """Requests at the target."""
        return len(self._running_by_key)

    def reserve(self, waiting: Reservation, now: float) -> Iterator[SlotReply]:
        """Take a reservation; it is granted at once if a slot is free.

        :param waiting: The reservation.
        :param now: Clock reading in seconds.
        """
        reason = self._reason_to_decline(waiting, now)
        if reason is not None:
            yield SlotReply(waiting.key, m.Decline(waiting.key.number, reason))
            return
        self._waiting_by_key[waiting.key] = waiting
        yield from self.grant_free_slots(now)
        if waiting.key in self._waiting_by_key:
            wait_ms = self._expected_wait_ms(waiting, now)
            queued = m.Queued(waiting.key.number, wait_ms, self._run_ms(now))
            yield SlotReply(waiting.key, queued)

    def _reason_to_decline(self, waiting: Reservation, now: float) -> str | None:
        if not self.accepting and now >= self.startup_deadline_s:
            return "not-ready"
        if waiting.is_retry and not self._budget.can_retry(self.n_targets, now):
            return REPEAT_BUDGET
        if self.accepting and self._is_hopeless_to_join(waiting, now):
            return NO_ROOM
        if self._timed_out_routes.is_blocked(waiting.route, now):
            return FUTILE
        return None

    def _is_hopeless_to_join(self, waiting: Reservation, now: float) -> bool:
        if self.verdict.state != "sound" or self.n_busy < self.slots:
            return False
        wait_s = self._wait_s(waiting, self._ahead_s(waiting, now), now)
        return self._order.will_miss_deadline(waiting, wait_s, now)

    def _run_ms(self, now: float) -> int:
        """Return the time that a request takes here at present.

        A request that is running longer than usual shows that a target has turned
        slow before it ends.
        """
        starts = (running.started_at_s for running in self._running_by_key.values())
        oldest_s = now - min(starts, default=now)
        return int(1000 * max(self._recent_run_s, oldest_s))

    def _expected_wait_ms(self, waiting: Reservation, now: float) -> int:
        if not self.accepting:
            return int(1000 * max(0.0, self.startup_deadline_s - now) / 2)
        if self.verdict.state == "doubtful":
            return DOUBTFUL_WAIT_MS
        ahead_s = self._ahead_s(waiting, now)
        return int(1000 * self._wait_s(waiting, ahead_s, now))

    def _ahead_s(self, waiting: Reservation, now: float) -> float:
        """Return the work that waits and goes first, in seconds of a slot."""
        key = self._order.key(waiting, now)
        return sum(
            other.weight * self._order.expected_s(other.route)
            for other in self._waiting_by_key.values()
            if other is not waiting and self._order.key(other, now) <= key
        )

    def _wait_s(self, waiting: Reservation, ahead_s: float, now: float) -> float:
        routes = [running.route for running in self._running_by_key.values()]
        return self._order.wait_s(waiting, ahead_s, routes, self.slots, now)

    def grant_free_slots(self, now: float) -> Iterator[SlotReply]:
        """Grant free slots to the reservations that are due.

        :param now: Clock reading in seconds.
        """
        while self.accepting and self.n_busy < self.slots:
            waiting = self._next(now)
            if waiting is None:
                return
            del self._waiting_by_key[waiting.key]
            self._timed_out_routes.record_start(waiting.route, now)
            until_s = now + GRANT_TIMEOUT_S
            self._granted_by_key[waiting.key] = Granted(until_s, waiting)
            proven_ms = int((now - self.verdict.last_success_at_s) * 1000)
            number, run_ms = waiting.key.number, self._run_ms(now)
            grant = m.Grant(number, proven_ms, run_ms, self.process)
            yield SlotReply(waiting.key, grant)

    def _next(self, now: float) -> Reservation | None:
        allowed = (
            waiting
            for waiting in self._waiting_by_key.values()
            if self.verdict.allows_request(waiting.may_probe, self.n_busy, now)
        )
        return min(allowed, key=lambda w: self._order.key(w, now), default=None)

    def start(self, key: ReservationKey, now: float) -> bool:
        """Use a granted slot.

        :param key: Name of the reservation.
        :param now: Clock reading in seconds.
        :returns: Whether the slot was still held; if not, nothing may run.
        """
        granted = self._granted_by_key.pop(key, None)
        if granted is None:
            return False
        waiting = granted.waiting
        if waiting.is_retry:
            self._budget.spend()
        else:
            self._budget.record_request()
        self._order.record_start(waiting, now)
        self._running_by_key[key] = Running(now, waiting.route)
        return True

    def record_outcome(self, key: ReservationKey, in_time: bool, now: float) -> None:
        """Note whether a running request was answered or ran into its timeout.

        :param key: Name of the reservation.
        :param in_time: Whether it was answered.
        :param now: Clock reading in seconds.
        """
        route = self._running_by_key[key].route
        if in_time:
            self._timed_out_routes.record_answer(route)
        else:
            self._timed_out_routes.record_timeout(route, now)

    def withdraw(self, key: ReservationKey, now: float) -> Iterator[SlotReply]:
        """Give up a reservation or an unused slot.

        :param key: Name of the reservation.
        :param now: Clock reading in seconds.
        """
        self._waiting_by_key.pop(key, None)
        if self._granted_by_key.pop(key, None) is not None:
            yield from self.grant_free_slots(now)

    def finish(self, key: ReservationKey, ran: bool, now: float) -> Iterator[SlotReply]:
        """Free the slot of a request.

        :param key: Name of the reservation.
        :param ran: Whether its time tells how long the target works.
        :param now: Clock reading in seconds.
        """
        running = self._running_by_key.pop(key, None)
        if running is not None and ran:
            run_s = now - running.started_at_s
            self._order.record_run(running.route, run_s)
            recent_s = self._recent_run_s
            self._recent_run_s += RECENT_SMOOTHING * (run_s - recent_s)
        yield from self.grant_free_slots(now)

    def decline_all(self, reason: str) -> Iterator[SlotReply]:
        """Turn every reservation without a running request away.

        :param reason: Short name of the reason.
        """
        keys = [*self._waiting_by_key, *self._granted_by_key]
        self._waiting_by_key.clear()
        self._granted_by_key.clear()
        for key in keys:
            yield SlotReply(key, m.Decline(key.number, reason))

    def drop_link(self, link: int, now: float) -> Iterator[SlotReply]:
        """Forget the reservations of a link that is gone; running requests stay.

        :param link: The link.
        :param now: Clock reading in seconds.
        """
        for by_key in (self._waiting_by_key, self._granted_by_key):
            for key in [key for key in by_key if key.link == link]:
                del by_key[key]
        yield from self.grant_free_slots(now)

    def _decline_futile(self, now: float) -> Iterator[SlotReply]:
        for key, waiting in list(self._waiting_by_key.items()):
            if self._timed_out_routes.is_blocked(waiting.route, now):
                del self._waiting_by_key[key]
                yield SlotReply(key, m.Decline(key.number, FUTILE))

    def _decline_hopeless(self, now: float) -> Iterator[SlotReply]:
        """Turn those away that can't be answered before their timeout."""
        if not self.accepting or self.verdict.state != "sound":
            return
        ahead_s = 0.0
        in_order = sorted(
            self._waiting_by_key.values(), key=lambda w: self._order.key(w, now)
        )
        for waiting in in_order:
            wait_s = self._wait_s(waiting, ahead_s, now)
            if self._order.will_miss_deadline(waiting, wait_s, now):
                del self._waiting_by_key[waiting.key]
                yield SlotReply(waiting.key, m.Decline(waiting.key.number, NO_ROOM))
            else:
                ahead_s += waiting.weight * self._order.expected_s(waiting.route)

    def tick(self, now: float) -> Iterator[SlotReply]:
        """Expire grants and reservations; grant what has become allowed.

        :param now: Clock reading in seconds.
        """
        for key, granted in list(self._granted_by_key.items()):
            if now >= granted.until_s:
                del self._granted_by_key[key]
                yield SlotReply(key, m.Decline(key.number, "grant-expired"))
        for key, waiting in list(self._waiting_by_key.items()):
            if now >= waiting.deadline_s:
                del self._waiting_by_key[key]
        if not self.accepting and now >= self.startup_deadline_s:
            yield from self.decline_all("not-ready")
        yield from self.grant_free_slots(now)
        yield from self._decline_hopeless(now)
        yield from self._decline_futile(now)
