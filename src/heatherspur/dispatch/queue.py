"""Slots of one target and the queue of reservations for them.

Entries reserve slots at several targets concurrently and use one of the grants, so that
slots are held briefly and many reservations are withdrawn.
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

# High enough to detect within a few requests that a target has become slow or has
# recovered.
RECENT_SMOOTHING = 0.3
# Expected wait reported while a target is doubtful: longer than most objectives.
DOUBTFUL_WAIT_MS = 3000
# Reason of a decline: requests of this route exceed their timeout at this target.
FUTILE = "futile"
# Reason of a decline: no slot is expected before the timeout.
NO_ROOM = "no-room"
# Reason of a decline: the target has used its share of the service's retry budget.
REPEAT_BUDGET = "repeat-budget"


class SlotReply(NamedTuple):
    """A message to the entry that owns a reservation.

    :param key: Key of the reservation.
    :param message: The message.
    """

    key: ReservationKey
    message: m.Message


class Granted(NamedTuple):
    """A slot that is granted to a reservation but not yet used.

    :param until_s: Clock reading at which the grant expires.
    :param reservation: The reservation.
    """

    until_s: float
    reservation: Reservation


class Running(NamedTuple):
    """A request that runs at the target.

    :param started_at_s: Clock reading when it was sent to the target.
    :param route: Tag of its route.
    """

    started_at_s: float
    route: int


class TargetQueue:
    """Slots and reservations of the local target.

    After a process starts, reservations wait until ``startup_deadline_s`` for the first
    report of the target.

    :param process: Random id of this process; included in each grant.
    :param budget: Retries that the target accepts.
    :param policy: Order of reservations, and which of them to decline.
    :ivar n_targets: Number of targets of the service, which share the retry budget.
    :ivar slots: Number of requests that the target runs concurrently.
    :ivar accepting: Whether the target accepts new requests.
    """

    def __init__(
        self, process: int, budget: RetryBudget, policy: SchedulingPolicy | None = None
    ) -> None:
        self.process = process
        self.n_targets = 1
        self._budget = budget
        self._policy = policy or SchedulingPolicy()
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
        """Number of slots that are granted or in use."""
        return len(self._granted_by_key) + len(self._running_by_key)

    @property
    def n_waiting(self) -> int:
        """Number of reservations without a slot."""
        return len(self._waiting_by_key)

    @property
    def n_running(self) -> int:
        """Number of requests that run at the target."""
        return len(self._running_by_key)

    def reserve(self, reservation: Reservation, now: float) -> Iterator[SlotReply]:
        """Grant, queue or decline a reservation.

        :param reservation: The reservation.
        :param now: Clock reading in seconds.
        """
        reason = self._reason_to_decline(reservation, now)
        if reason is not None:
            yield SlotReply(reservation.key, m.Decline(reservation.key.number, reason))
            return
        self._waiting_by_key[reservation.key] = reservation
        yield from self.grant_free_slots(now)
        if reservation.key in self._waiting_by_key:
            wait_ms = self._expected_wait_ms(reservation, now)
            queued = m.Queued(reservation.key.number, wait_ms, self._run_ms(now))
            yield SlotReply(reservation.key, queued)

    def _reason_to_decline(self, reservation: Reservation, now: float) -> str | None:
        if not self.accepting and now >= self.startup_deadline_s:
            return "not-ready"
        if reservation.is_retry and not self._budget.can_retry(self.n_targets, now):
            return REPEAT_BUDGET
        if self.accepting and self._would_miss_deadline(reservation, now):
            return NO_ROOM
        if self._timed_out_routes.is_blocked(reservation.route, now):
            return FUTILE
        return None

    def _would_miss_deadline(self, reservation: Reservation, now: float) -> bool:
        if self.verdict.state != "sound" or self.n_busy < self.slots:
            return False
        wait_s = self._wait_s(reservation, self._ahead_s(reservation, now), now)
        return self._policy.will_miss_deadline(reservation, wait_s, now)

    def _run_ms(self, now: float) -> int:
        """Return the current run time of requests at this target, in milliseconds.

        The age of the oldest running request is included, which reveals a slow target
        before that request ends.
        """
        starts = (running.started_at_s for running in self._running_by_key.values())
        oldest_s = now - min(starts, default=now)
        return int(1000 * max(self._recent_run_s, oldest_s))

    def _expected_wait_ms(self, reservation: Reservation, now: float) -> int:
        if not self.accepting:
            return int(1000 * max(0.0, self.startup_deadline_s - now) / 2)
        if self.verdict.state == "doubtful":
            return DOUBTFUL_WAIT_MS
        ahead_s = self._ahead_s(reservation, now)
        return int(1000 * self._wait_s(reservation, ahead_s, now))

    def _ahead_s(self, reservation: Reservation, now: float) -> float:
        """Return the queued work with precedence, in seconds of a slot."""
        key = self._policy.key(reservation, now)
        return sum(
            other.weight * self._policy.expected_s(other.route)
            for other in self._waiting_by_key.values()
            if other is not reservation and self._policy.key(other, now) <= key
        )

    def _wait_s(self, reservation: Reservation, ahead_s: float, now: float) -> float:
        routes = [running.route for running in self._running_by_key.values()]
        return self._policy.wait_s(reservation, ahead_s, routes, self.slots, now)

    def grant_free_slots(self, now: float) -> Iterator[SlotReply]:
        """Grant free slots to queued reservations in scheduling policy.

        :param now: Clock reading in seconds.
        """
        while self.accepting and self.n_busy < self.slots:
            reservation = self._next_reservation(now)
            if reservation is None:
                return
            del self._waiting_by_key[reservation.key]
            self._timed_out_routes.record_start(reservation.route, now)
            until_s = now + GRANT_TIMEOUT_S
            self._granted_by_key[reservation.key] = Granted(until_s, reservation)
            proven_ms = int((now - self.verdict.last_success_at_s) * 1000)
            number, run_ms = reservation.key.number, self._run_ms(now)
            grant = m.Grant(number, proven_ms, run_ms, self.process)
            yield SlotReply(reservation.key, grant)

    def _next_reservation(self, now: float) -> Reservation | None:
        allowed = (
            reservation
            for reservation in self._waiting_by_key.values()
            if self.verdict.allows_request(reservation.may_probe, self.n_busy, now)
        )
        return min(allowed, key=lambda w: self._policy.key(w, now), default=None)

    def start(self, key: ReservationKey, now: float) -> bool:
        """Start a request in a granted slot.

        :param key: Key of the reservation.
        :param now: Clock reading in seconds.
        :returns: Whether the grant was still valid; if not, the request must not run.
        """
        granted = self._granted_by_key.pop(key, None)
        if granted is None:
            return False
        reservation = granted.reservation
        if reservation.is_retry:
            self._budget.spend()
        else:
            self._budget.record_request()
        self._policy.record_start(reservation, now)
        self._running_by_key[key] = Running(now, reservation.route)
        return True

    def record_outcome(self, key: ReservationKey, in_time: bool, now: float) -> None:
        """Record whether a running request was answered or exceeded its timeout.

        :param key: Key of the reservation.
        :param in_time: Whether it was answered.
        :param now: Clock reading in seconds.
        """
        route = self._running_by_key[key].route
        if in_time:
            self._timed_out_routes.record_answer(route)
        else:
            self._timed_out_routes.record_timeout(route, now)

    def withdraw(self, key: ReservationKey, now: float) -> Iterator[SlotReply]:
        """Remove a reservation or an unused grant.

        :param key: Key of the reservation.
        :param now: Clock reading in seconds.
        """
        self._waiting_by_key.pop(key, None)
        if self._granted_by_key.pop(key, None) is not None:
            yield from self.grant_free_slots(now)

    def finish(self, key: ReservationKey, ran: bool, now: float) -> Iterator[SlotReply]:
        """Release the slot of a request.

        :param key: Key of the reservation.
        :param ran: Whether its duration is representative of the target's run time.
        :param now: Clock reading in seconds.
        """
        running = self._running_by_key.pop(key, None)
        if running is not None and ran:
            run_s = now - running.started_at_s
            self._policy.record_run(running.route, run_s)
            recent_s = self._recent_run_s
            self._recent_run_s += RECENT_SMOOTHING * (run_s - recent_s)
        yield from self.grant_free_slots(now)

    def decline_all(self, reason: str) -> Iterator[SlotReply]:
        """Decline all reservations without a running request.

        :param reason: Short name of the reason.
        """
        keys = [*self._waiting_by_key, *self._granted_by_key]
        self._waiting_by_key.clear()
        self._granted_by_key.clear()
        for key in keys:
            yield SlotReply(key, m.Decline(key.number, reason))

    def drop_link(self, link: int, now: float) -> Iterator[SlotReply]:
        """Remove the reservations of a closed link; running requests continue.

        :param link: Id of the link.
        :param now: Clock reading in seconds.
        """
        for by_key in (self._waiting_by_key, self._granted_by_key):
            for key in [key for key in by_key if key.link == link]:
                del by_key[key]
        yield from self.grant_free_slots(now)

    def _decline_timed_out_routes(self, now: float) -> Iterator[SlotReply]:
        for key, reservation in list(self._waiting_by_key.items()):
            if self._timed_out_routes.is_blocked(reservation.route, now):
                del self._waiting_by_key[key]
                yield SlotReply(key, m.Decline(key.number, FUTILE))

    def _decline_unservable(self, now: float) -> Iterator[SlotReply]:
        """Decline reservations that will miss both objective and timeout."""
        if not self.accepting or self.verdict.state != "sound":
            return
        ahead_s = 0.0
        in_order = sorted(
            self._waiting_by_key.values(), key=lambda w: self._policy.key(w, now)
        )
        for reservation in in_order:
            wait_s = self._wait_s(reservation, ahead_s, now)
            if self._policy.will_miss_deadline(reservation, wait_s, now):
                del self._waiting_by_key[reservation.key]
                yield SlotReply(
                    reservation.key, m.Decline(reservation.key.number, NO_ROOM)
                )
            else:
                ahead_s += reservation.weight * self._policy.expected_s(
                    reservation.route
                )

    def tick(self, now: float) -> Iterator[SlotReply]:
        """Expire grants and reservations, and grant slots that have become available.

        :param now: Clock reading in seconds.
        """
        for key, granted in list(self._granted_by_key.items()):
            if now >= granted.until_s:
                del self._granted_by_key[key]
                yield SlotReply(key, m.Decline(key.number, "grant-expired"))
        for key, reservation in list(self._waiting_by_key.items()):
            if now >= reservation.deadline_s:
                del self._waiting_by_key[key]
        if not self.accepting and now >= self.startup_deadline_s:
            yield from self.decline_all("not-ready")
        yield from self.grant_free_slots(now)
        yield from self._decline_unservable(now)
        yield from self._decline_timed_out_routes(now)
