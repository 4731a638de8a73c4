"""Decides which reservation gets the next slot of a target.

Load pattern: more requests than slots, of several ranks, some of them called by
targets that hold a slot of their own until the answer comes. Requests that can
still be answered within their objective go before those that are late anyway, so
that overload makes few answers late instead of all.
"""

from collections.abc import Iterator
from typing import NamedTuple

from heatherspur.dispatch.budget import RepeatBudget
from heatherspur.dispatch.conf import GRANT_TIMEOUT_S
from heatherspur.dispatch.futility import FutileRoutes
from heatherspur.dispatch.rankload import RankLoad, WaitingRank
from heatherspur.dispatch.runtimes import DEFAULT_RUN_S, RunTimes
from heatherspur.dispatch.shares import CustomerShares
from heatherspur.dispatch.verdict import TargetVerdict
from heatherspur.link import messages as m

__all__ = [
    "FUTILE",
    "NO_ROOM",
    "REPEAT_BUDGET",
    "ReservationKey",
    "SlotReply",
    "TargetQueue",
    "Waiting",
]

# Some requests are enough to notice that a target has turned slow, or recovered.
RECENT_SMOOTHING = 0.3
# Expected wait told while a target is doubtful: longer than most objectives.
DOUBTFUL_WAIT_MS = 3000
# Reason of a decline: requests of this route run into their timeout here.
FUTILE = "futile"
# Part of an expected wait that is counted against a request; bursts end, and then waits
# turn out shorter.
CERTAIN_PART_OF_WAIT = 0.6
# Reason of a decline: no slot is expected before the timeout.
NO_ROOM = "no-room"
# Reason of a decline: the target has got its share of the service's repeats.
REPEAT_BUDGET = "repeat-budget"


class ReservationKey(NamedTuple):
    """Name of a reservation at an exit.

    :param link: Identifies the link over which it came.
    :param number: Its number on that link.
    """

    link: int
    number: int


class Waiting(NamedTuple):
    """A reservation without a slot.

    :param key: Its name.
    :param priority: Rank of the request; 0 goes first.
    :param objective_at_s: Clock reading until which an answer has its full value.
    :param until_s: Clock reading at which the final answer is due.
    :param may_probe: Whether the request may test a doubtful target.
    :param inner: Whether a target waits for the answer while it holds a slot.
    :param weight: Chance that it comes to use a slot here, from 0 to 1.
    :param is_repeat: Whether a target has got the request before.
    :param route: Tag of the request's route.
    :param customer: Tag of the request's customer; 0 for none.
    """

    key: ReservationKey
    priority: int
    objective_at_s: float
    until_s: float
    may_probe: bool
    inner: bool
    weight: float
    is_repeat: bool
    route: int
    customer: int


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
    :param is_repeat: Whether a target has got the request before.
    :param route: Tag of the request's route.
    """

    until_s: float
    is_repeat: bool
    route: int


class Running(NamedTuple):
    """A request at the target.

    :param started_at_s: Clock reading when it was handed over.
    :param route: Tag of its route.
    """

    started_at_s: float
    route: int


class TargetQueue:
    """Slots and waiting list of the target beside this node.

    Until ``starts_until_s`` a process that has just started does not know its target;
    reservations wait for the target's first report.

    :param process: Random number of this process; part of each grant.
    :param budget: Repeats that the target may get.
    """

    def __init__(self, process: int, budget: RepeatBudget) -> None:
        self.process = process
        self.n_targets = 1
        self._budget = budget
        self.slots = 0
        self.accepting = False
        self.starts_until_s = 0.0
        self._futile_routes = FutileRoutes()
        self._rank_load = RankLoad()
        self._shares = CustomerShares()
        self.verdict = TargetVerdict()
        self._waiting_by_key: dict[ReservationKey, Waiting] = {}
        self._granted_by_key: dict[ReservationKey, Granted] = {}
        self._running_by_key: dict[ReservationKey, Running] = {}
        self._run_times = RunTimes()
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

    def reserve(self, waiting: Waiting, now: float) -> Iterator[SlotReply]:
        """Take a reservation; it is granted at once if a slot is free.

        :param waiting: The reservation.
        :param now: Clock reading in seconds.
        """
        reason = self._reason_to_decline(waiting, now)
        if reason is not None:
            yield SlotReply(waiting.key, m.Decline(waiting.key.number, reason))
            return
        self._waiting_by_key[waiting.key] = waiting
        yield from self.pump(now)
        if waiting.key in self._waiting_by_key:
            wait_ms = self._expected_wait_ms(waiting, now)
            queued = m.Queued(waiting.key.number, wait_ms, self._run_ms(now))
            yield SlotReply(waiting.key, queued)

    def _reason_to_decline(self, waiting: Waiting, now: float) -> str | None:
        if not self.accepting and now >= self.starts_until_s:
            return "not-ready"
        if waiting.is_repeat and not self._budget.has_room(self.n_targets, now):
            return REPEAT_BUDGET
        if self.accepting and self._is_hopeless_to_join(waiting, now):
            return NO_ROOM
        if self._futile_routes.is_futile(waiting.route, now):
            return FUTILE
        return None

    def _is_hopeless_to_join(self, waiting: Waiting, now: float) -> bool:
        if self.verdict.state != "sound" or self.n_busy < self.slots:
            return False
        wait_s = self._wait_s(waiting, self._ahead_s(waiting, now), now)
        return self._is_hopeless(waiting, wait_s, now)

    def _is_hopeless(self, waiting: Waiting, wait_s: float, now: float) -> bool:
        """Tell whether a request will miss its objective and its timeout.

        Calls of targets are never turned away for it: each fails its parent.
        """
        if waiting.inner:
            return False
        run_s = self._run_times.expected_s(waiting.route)
        end_s = now + wait_s * CERTAIN_PART_OF_WAIT + run_s
        return end_s > max(waiting.until_s, waiting.objective_at_s)

    def _run_ms(self, now: float) -> int:
        """Return the time that a request takes here at present.

        A request that is running longer than usual shows that a target has turned
        slow before it ends.
        """
        starts = (running.started_at_s for running in self._running_by_key.values())
        oldest_s = now - min(starts, default=now)
        return int(1000 * max(self._recent_run_s, oldest_s))

    def _expected_wait_ms(self, waiting: Waiting, now: float) -> int:
        if not self.accepting:
            return int(1000 * max(0.0, self.starts_until_s - now) / 2)
        if self.verdict.state == "doubtful":
            return DOUBTFUL_WAIT_MS
        ahead_s = self._ahead_s(waiting, now)
        return int(1000 * self._wait_s(waiting, ahead_s, now))

    def _ahead_s(self, waiting: Waiting, now: float) -> float:
        """Return the work that waits and goes first, in seconds of a slot."""
        order = self._order(waiting, now)
        return sum(
            other.weight * self._run_times.expected_s(other.route)
            for other in self._waiting_by_key.values()
            if other is not waiting and self._order(other, now) <= order
        )

    def _wait_s(self, waiting: Waiting, ahead_s: float, now: float) -> float:
        """Return the expected wait behind some work that is ahead, in seconds."""
        # A slot that is busy is free after half of what runs there, on average.
        running = self._running_by_key.values()
        routes = [r.route for r in running] or [waiting.route]
        rest_s = sum(map(self._run_times.expected_s, routes)) / len(routes) / 2
        wait_s = (ahead_s + rest_s) / max(1, self.slots)
        rank = self._rank(waiting, now + wait_s)
        return wait_s * self._rank_load.stretch(rank, self.slots, now)

    def pump(self, now: float) -> Iterator[SlotReply]:
        """Grant free slots to the reservations that are due.

        :param now: Clock reading in seconds.
        """
        while self.accepting and self.n_busy < self.slots:
            waiting = self._next(now)
            if waiting is None:
                return
            del self._waiting_by_key[waiting.key]
            self._futile_routes.note_start(waiting.route, now)
            run_s = self._run_times.expected_s(waiting.route)
            self._rank_load.note_start(self._rank(waiting, now), run_s, now)
            if not waiting.inner:
                self._shares.note_start(waiting.customer, run_s, now)
            until_s = now + GRANT_TIMEOUT_S
            self._granted_by_key[waiting.key] = Granted(
                until_s, waiting.is_repeat, waiting.route
            )
            proven_ms = int((now - self.verdict.proven_at_s) * 1000)
            number, run_ms = waiting.key.number, self._run_ms(now)
            grant = m.Grant(number, proven_ms, run_ms, self.process)
            yield SlotReply(waiting.key, grant)

    def _next(self, now: float) -> Waiting | None:
        allowed = (
            waiting
            for waiting in self._waiting_by_key.values()
            if self.verdict.may_run(waiting.may_probe, self.n_busy, now)
        )
        return min(allowed, key=lambda w: self._order(w, now), default=None)

    def _rank(self, waiting: Waiting, now: float) -> WaitingRank:
        is_late = self._is_late(waiting, now)
        return WaitingRank(not waiting.inner, waiting.priority, is_late)

    def _order(self, waiting: Waiting, now: float) -> tuple:
        """Order reservations.

        Calls go first, then by rank; those in time before those that are late, small
        customers before those that used more than their share, and the earliest
        objective before later ones.
        """
        return (
            self._rank(waiting, now),
            self._shares.is_over(waiting.customer),
            waiting.objective_at_s,
        )

    def _is_late(self, waiting: Waiting, now: float) -> bool:
        run_s = self._run_times.expected_s(waiting.route)
        return now + run_s > waiting.objective_at_s

    def start(self, key: ReservationKey, now: float) -> bool:
        """Use a granted slot.

        :param key: Name of the reservation.
        :param now: Clock reading in seconds.
        :returns: Whether the slot was still held; if not, nothing may run.
        """
        granted = self._granted_by_key.pop(key, None)
        if granted is None:
            return False
        if granted.is_repeat:
            self._budget.take()
        else:
            self._budget.note_request()
        self._running_by_key[key] = Running(now, granted.route)
        return True

    def note_end(self, key: ReservationKey, in_time: bool, now: float) -> None:
        """Note whether a running request was answered or ran into its timeout.

        :param key: Name of the reservation.
        :param in_time: Whether it was answered.
        :param now: Clock reading in seconds.
        """
        route = self._running_by_key[key].route
        if in_time:
            self._futile_routes.note_answer(route)
        else:
            self._futile_routes.note_timeout(route, now)

    def withdraw(self, key: ReservationKey, now: float) -> Iterator[SlotReply]:
        """Give up a reservation or an unused slot.

        :param key: Name of the reservation.
        :param now: Clock reading in seconds.
        """
        self._waiting_by_key.pop(key, None)
        if self._granted_by_key.pop(key, None) is not None:
            yield from self.pump(now)

    def finish(self, key: ReservationKey, ran: bool, now: float) -> Iterator[SlotReply]:
        """Free the slot of a request.

        :param key: Name of the reservation.
        :param ran: Whether its time tells how long the target works.
        :param now: Clock reading in seconds.
        """
        running = self._running_by_key.pop(key, None)
        if running is not None and ran:
            run_s = now - running.started_at_s
            self._run_times.note(running.route, run_s)
            recent_s = self._recent_run_s
            self._recent_run_s += RECENT_SMOOTHING * (run_s - recent_s)
        yield from self.pump(now)

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
        yield from self.pump(now)

    def _decline_futile(self, now: float) -> Iterator[SlotReply]:
        for key, waiting in list(self._waiting_by_key.items()):
            if self._futile_routes.is_futile(waiting.route, now):
                del self._waiting_by_key[key]
                yield SlotReply(key, m.Decline(key.number, FUTILE))

    def _decline_hopeless(self, now: float) -> Iterator[SlotReply]:
        """Turn those away that can't be answered before their timeout."""
        if not self.accepting or self.verdict.state != "sound":
            return
        ahead_s = 0.0
        in_order = sorted(
            self._waiting_by_key.values(), key=lambda w: self._order(w, now)
        )
        for waiting in in_order:
            if self._is_hopeless(waiting, self._wait_s(waiting, ahead_s, now), now):
                del self._waiting_by_key[waiting.key]
                yield SlotReply(waiting.key, m.Decline(waiting.key.number, NO_ROOM))
            else:
                ahead_s += waiting.weight * self._run_times.expected_s(waiting.route)

    def tick(self, now: float) -> Iterator[SlotReply]:
        """Expire grants and reservations; grant what has become allowed.

        :param now: Clock reading in seconds.
        """
        for key, granted in list(self._granted_by_key.items()):
            if now >= granted.until_s:
                del self._granted_by_key[key]
                yield SlotReply(key, m.Decline(key.number, "grant-expired"))
        for key, waiting in list(self._waiting_by_key.items()):
            if now >= waiting.until_s:
                del self._waiting_by_key[key]
        if not self.accepting and now >= self.starts_until_s:
            yield from self.decline_all("not-ready")
        yield from self.pump(now)
        yield from self._decline_hopeless(now)
        yield from self._decline_futile(now)
