"""Model of one entry and several exits whose messages are late or lost.

Real dispatcher, target queues and request histories; the model plays the links, the
targets and the callers. The messages of a link keep their order, as on a connection.
"""

import random
from collections import Counter
from typing import NamedTuple

from heatherspur.dispatch.history import RequestHistory, RequestKey
from heatherspur.dispatch.pending import FinalAnswer
from heatherspur.dispatch.scheduling import ReservationKey, to_reservation
from heatherspur.dispatch.tests.builders import (
    make_dispatcher,
    make_member,
    make_queue,
    make_request,
    make_route,
)
from heatherspur.exchange import SendTo
from heatherspur.link import messages as m

__all__ = ["DispatchModel"]

STEP_S = 0.02
TIMEOUT_S = 3.0
OBJECTIVE_S = 0.8
REQUESTS_PER_S = 12.0
N_EXITS = 4
SLOTS = 2
REPORT_GAP_S = 1.5
# Probabilities in a step, for each exit.
FREEZE, RESTART, LINK_LOSS, DECLINE = 0.004, 0.002, 0.003, 0.003
LATE = 0.05
MAX_LATE_S = 1.5
MAX_FREEZE_S = 2.0
GIVE_UP = 0.05
HANG = 0.15


class _Exit:
    """One exit: its process, its target's running requests and its link."""

    def __init__(self, number: int) -> None:
        self.node = f"10.0.0.{number}:80"
        self.link = 0
        self.frozen_until_s = 0.0
        self.start_process(0)

    def start_process(self, process: int) -> None:
        self.queue = make_queue(SLOTS)
        self.queue.process = process
        self.history = RequestHistory()
        self.running: dict[ReservationKey, tuple[float, m.Execute, RequestKey]] = {}
        self.reply_keys: dict[RequestKey, ReservationKey] = {}
        self.closed_until_s = 0.0


class _InFlight(NamedTuple):
    at_s: float
    link: int
    to_exit: bool
    message: m.Message


class DispatchModel:
    """One run with a seed.

    :param seed: Seed of all choices.
    :ivar runs: Number of times that each request ran, by its id.
    :ivar finals: Statuses of the final answers of each request, by exchange.
    :ivar late: Requests without a final answer a step after their timeout.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        numbers = range(2, 2 + N_EXITS)
        self._exits = [_Exit(number) for number in numbers]
        self._exits_by_node = {e.node: e for e in self._exits}
        self._dispatcher = make_dispatcher(*map(make_member, numbers))
        self._in_flight_by_node = {e.node: [] for e in self._exits}
        self._requests: dict[int, object] = {}
        self._given_up: set[int] = set()
        self.runs: Counter[bytes] = Counter()
        self.finals: dict[int, list[int]] = {}
        self.late: set[int] = set()

    @property
    def requests(self) -> dict:
        """All requests by exchange."""
        return self._requests

    @property
    def given_up(self) -> set[int]:
        """Exchanges whose caller left."""
        return self._given_up

    def play(self, seconds: float) -> "DispatchModel":
        """Play for a time, and then until all requests have ended."""
        exchange = 0
        for i in range(int((seconds + TIMEOUT_S + 1.0) / STEP_S)):
            now = i * STEP_S
            if now < seconds and self._rng.random() < REQUESTS_PER_S * STEP_S:
                exchange += 1
                self._open(exchange, now)
            if now < seconds:
                self._disturb(now)
            self._deliver_due(now)
            for exit_ in self._exits:
                self._run_exit(exit_, now)
            self._perform(self._dispatcher.tick(now), now)
            self._note_late(now)
        return self

    def _open(self, exchange: int, now: float) -> None:
        route = make_route(
            idempotent=self._rng.random() < 0.5,
            objective_s=OBJECTIVE_S,
            timeout_s=TIMEOUT_S,
        )
        request = make_request(exchange, now, route=route, deadline_s=now + 10)
        self._requests[exchange] = request
        self._perform(self._dispatcher.open(request, now), now)

    def _disturb(self, now: float) -> None:
        rng = self._rng
        for exit_ in self._exits:
            if rng.random() < FREEZE:
                exit_.frozen_until_s = now + rng.random() * MAX_FREEZE_S
            if rng.random() < RESTART:
                exit_.start_process(rng.randrange(1, 1 << 30))
                self._lose_link(exit_, now)
            if rng.random() < LINK_LOSS:
                self._lose_link(exit_, now)
            if rng.random() < DECLINE:
                exit_.closed_until_s = now + rng.random()
        open_ = [x for x in self._requests if x not in self.finals]
        if open_ and rng.random() < GIVE_UP:
            exchange = rng.choice(open_)
            self._given_up.add(exchange)
            self._perform(self._dispatcher.cancel(exchange, now), now)

    def _lose_link(self, exit_: _Exit, now: float) -> None:
        """Lose all messages under way; both ends notice."""
        self._in_flight_by_node[exit_.node].clear()
        old, exit_.link = exit_.link, exit_.link + 1
        self._reply(exit_, exit_.queue.drop_link(old, now), now)
        for key, (_, execute, _name) in list(exit_.running.items()):
            if key.link == old and execute.idempotent:
                self._finish(exit_, key, None, now)
        self._perform(self._dispatcher.handle_link_loss(exit_.node, now), now)

    def _send(self, node: str, to_exit: bool, message: m.Message, now: float) -> None:
        delay_s = 0.004
        if self._rng.random() < LATE:
            delay_s = self._rng.random() * MAX_LATE_S
        exit_ = self._exits_by_node[node]
        flights = self._in_flight_by_node[node]
        before = (f.at_s for f in flights if f.to_exit == to_exit)
        at_s = max(now + delay_s, max(before, default=0.0))
        flights.append(_InFlight(at_s, exit_.link, to_exit, message))

    def _deliver_due(self, now: float) -> None:
        for exit_ in self._exits:
            if now < exit_.frozen_until_s:
                continue
            flights = self._in_flight_by_node[exit_.node]
            due = [f for f in flights if f.at_s <= now]
            flights[:] = [f for f in flights if f.at_s > now]
            for flight in due:
                if flight.link != exit_.link:
                    continue
                if flight.to_exit:
                    self._receive_at_exit(exit_, flight.message, now)
                else:
                    received = self._dispatcher.receive(flight.message, exit_.node, now)
                    self._perform(received, now)

    def _receive_at_exit(self, exit_: _Exit, message: m.Message, now: float) -> None:
        key = ReservationKey(exit_.link, message.number)
        name = RequestKey("entry", "i", message.number)
        if isinstance(message, m.Reserve):
            reservation = to_reservation(key, message, now)
            self._reply(exit_, exit_.queue.reserve(reservation, now), now)
        elif isinstance(message, m.Execute):
            self._execute(exit_, key, name, message, now)
        elif isinstance(message, m.Resume):
            self._resume(exit_, key, name, message, now)
        elif isinstance(message, m.Withdraw):
            running = next(
                (
                    k
                    for k in exit_.running
                    if exit_.reply_keys[exit_.running[k][2]] == key
                ),
                None,
            )
            if running is None:
                self._reply(exit_, exit_.queue.withdraw(key, now), now)
            else:
                self._finish(exit_, running, None, now)

    def _execute(self, exit_, key, name, message: m.Execute, now: float) -> None:
        if not message.idempotent and not exit_.history.start(name, now):
            self._reply(exit_, exit_.queue.withdraw(key, now), now)
            return
        if not exit_.queue.start(key, now):
            not_run = m.NotRun(key.number, "grant-expired", False)
            if not message.idempotent:
                exit_.history.finish(name, not_run, now)
            self._send(exit_.node, False, not_run, now)
            return
        self.runs[message.attempt_id] += 1
        run_s = self._rng.expovariate(1 / 0.3)
        if self._rng.random() < HANG:
            run_s = 10.0
        exit_.running[key] = (now + run_s, message, name)
        exit_.reply_keys[name] = key

    def _resume(self, exit_, key, name, message: m.Resume, now: float) -> None:
        if message.process != exit_.queue.process:
            failed = m.Failed(key.number, "exit-restarted")
            self._send(exit_.node, False, failed, now)
            return
        if any(running_name == name for _, _, running_name in exit_.running.values()):
            exit_.reply_keys[name] = key
            return
        outcome = exit_.history.resolve(name, now)
        if outcome is not None:
            self._send(exit_.node, False, outcome, now)

    def _run_exit(self, exit_: _Exit, now: float) -> None:
        if now < exit_.frozen_until_s:
            return
        for key, (end_s, message, _name) in list(exit_.running.items()):
            if now >= end_s:
                answer = m.Answer(message.number, 200, (), b"")
                self._finish(exit_, key, answer, now)
        exit_.queue.accepting = now >= exit_.closed_until_s
        self._reply(exit_, exit_.queue.tick(now), now)

    def _finish(self, exit_: _Exit, key, answer, now: float) -> None:
        """End a running request; without an answer it was cancelled."""
        _, message, name = exit_.running.pop(key)
        exit_.reply_keys.pop(name, None)
        if not message.idempotent:
            outcome = answer or m.Failed(message.number, "withdrawn")
            exit_.history.finish(name, outcome, now)
        self._reply(exit_, exit_.queue.finish(key, answer is not None, now), now)
        if answer is not None:
            self._send(exit_.node, False, answer, now)

    def _reply(self, exit_: _Exit, replies, now: float) -> None:
        for key, message in list(replies):
            if key.link == exit_.link:
                self._send(exit_.node, False, message, now)

    def _perform(self, messages, now: float) -> None:
        for message in messages:
            if isinstance(message, SendTo):
                self._send(message.node, True, message.message, now)
            elif isinstance(message, FinalAnswer):
                self.finals.setdefault(message.exchange, []).append(message.status)

    def _note_late(self, now: float) -> None:
        for exchange, request in self._requests.items():
            is_due = now > request.timeout_at_s + STEP_S
            if is_due and exchange not in self.finals | dict.fromkeys(self._given_up):
                self.late.add(exchange)
