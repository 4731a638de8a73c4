"""Takes admitted requests to a free slot and back. Pure: messages in and out.

Load pattern: slots are scarce and their state changes faster than news of it can
travel. An entry therefore asks several exits for a slot, first those of its own
zone, and uses one that is granted; a request body is sent once only. While nothing
was granted a request has certainly not run and is refused truthfully.
"""

import itertools
import random
from collections.abc import Callable, Iterator
from functools import singledispatchmethod
from typing import NamedTuple

from heatherspur.dispatch import endings
from heatherspur.dispatch.conf import (
    ASK_MORE_AFTER_S,
    COLLECT_S,
    MAX_FINAL_DECLINES,
    NO_TARGET_WAIT_S,
    RESUME_GAP_S,
)
from heatherspur.dispatch.fleet import FleetView
from heatherspur.dispatch.opened import Decided, OpenRequest
from heatherspur.dispatch.placement import best_grant, choose_members
from heatherspur.dispatch.queue import FUTILE, NO_ROOM, REPEAT_BUDGET
from heatherspur.dispatch.runtimes import RunTimes
from heatherspur.dispatch.types import FleetSettings, Request
from heatherspur.exchange import SendTo
from heatherspur.link import messages as m

__all__ = ["Dispatcher"]

STATUS_SERVER_ERROR = 500
# Two ways between zones and the reading of the answer, besides the run itself.
MIN_START_MARGIN_S = 0.03
# A node that is down is tried again after a quarter of a second.
ASK_AGAIN_S = 0.25
# Declines for a reason that is likely to hold at the other targets as well.
FINAL_REASONS = (FUTILE, NO_ROOM, REPEAT_BUDGET)
# Stands for "no exit told a wait"; above every timeout.
NO_WAIT_KNOWN_MS = 60_000


class Dispatcher:
    """All requests of one entry that wait for an answer.

    :param fleet: Members and their reachability.
    :param settings: Settings of the platform.
    :param rng: Source of random choices.
    :param choose_grant: Chooses among the slots that are held for a request.
    """

    def __init__(
        self,
        fleet: FleetView,
        settings: FleetSettings,
        rng: random.Random,
        choose_grant: Callable[[OpenRequest], int] = best_grant,
    ) -> None:
        self._choose_grant = choose_grant
        self._fleet = fleet
        self._settings = settings
        self._rng = rng
        self._numbers = itertools.count(1)
        self._stop_waiting_at_s = float("inf")
        self._open_by_exchange: dict[int, OpenRequest] = {}
        self._open_by_number: dict[int, OpenRequest] = {}
        self._run_times = RunTimes()

    @property
    def n_open(self) -> int:
        """Number of requests without a final answer."""
        return len(self._open_by_exchange)

    def stop_waiting(self, at_s: float) -> None:
        """End all waiting for slots at some time, since the process ends after it.

        :param at_s: Clock reading in seconds.
        """
        self._stop_waiting_at_s = at_s

    def open(self, request: Request, now: float) -> Iterator[NamedTuple]:
        """Take an admitted request.

        :param request: The request.
        :param now: Clock reading in seconds.
        """
        opened = OpenRequest(request, now)
        self._open_by_exchange[request.exchange] = opened
        yield from self._ask(opened, now)

    def _ask(self, opened: OpenRequest, now: float) -> Iterator[NamedTuple]:
        """Ask the exits of the own zone at first, then some of the others."""
        request = opened.request
        members = choose_members(opened, self._fleet, self._rng, now)
        n_asked = len(opened.nodes_by_number) + len(members)
        for member in members:
            number = next(self._numbers)
            opened.nodes_by_number[number] = member.node
            opened.asked_nodes.add(member.node)
            self._open_by_number[number] = opened
            is_near = member.zone == self._fleet.zone
            if is_near and not self._fleet.is_slow(member.node, now):
                opened.awaited_numbers.add(number)
            yield SendTo(
                member.node,
                m.Reserve(
                    number=number,
                    service=request.service,
                    priority=request.priority,
                    objective_ms=int((request.objective_at_s - now) * 1000),
                    left_ms=int((request.timeout_at_s - now) * 1000),
                    may_probe=self._may_probe(opened),
                    inner=request.route.open,
                    n_asked=n_asked,
                    is_repeat=opened.n_handed > 0,
                    route=request.route.tag,
                    customer=request.customer_tag,
                ),
            )
        opened.asked_at_s = now
        opened.ask_more_at_s = now + ASK_MORE_AFTER_S
        if opened.nodes_by_number or opened.executing is not None:
            return
        if self._may_return(opened, now):
            opened.asked_nodes.clear()
            opened.ask_more_at_s = now + ASK_AGAIN_S
        else:
            yield from self._give_up(opened, opened.decline_reason, now)

    def _may_return(self, opened: OpenRequest, now: float) -> bool:
        """Tell whether a target is likely to come back while the request can wait."""
        request = opened.request
        return (
            not opened.n_final_declines
            and self._fleet.n_targets(request.service) > len(opened.tried_nodes)
            and now < request.opened_at_s + NO_TARGET_WAIT_S
            and now < self._last_start_s(opened)
            and now < self._stop_waiting_at_s
        )

    def _may_probe(self, opened: OpenRequest) -> bool:
        route = opened.request.route
        return route.idempotent and opened.n_handed + 1 < route.max_targets

    @singledispatchmethod
    def receive(
        self, message: m.Message, node: str, now: float
    ) -> Iterator[NamedTuple]:
        """Take a message of an exit.

        :param message: The message.
        :param node: Node id of the exit.
        :param now: Clock reading in seconds.
        """
        raise TypeError(f"unexpected message: {message!r}")

    @receive.register
    def _on_queued(self, message: m.Queued, node: str, now: float):
        opened = self._open_by_number.get(message.number)
        if opened is None or opened.executing is not None:
            return
        opened.waits_by_number[message.number] = message.wait_ms
        opened.awaited_numbers.discard(message.number)
        if opened.grants_by_number:
            yield from self._use_grant(opened, now)
        elif len(opened.waits_by_number) == len(opened.nodes_by_number):
            yield from self._review(opened, now)

    def _review(self, opened: OpenRequest, now: float) -> Iterator[NamedTuple]:
        """Ask more exits, or refuse a request that can't be served in time."""
        best_ms = min(opened.waits_by_number.values(), default=NO_WAIT_KNOWN_MS)
        if best_ms > ASK_MORE_AFTER_S * 1000:
            n_before = len(opened.nodes_by_number)
            yield from self._ask(opened, now)
            if len(opened.nodes_by_number) > n_before:
                return
        if opened.request.exchange not in self._open_by_exchange:
            return
        if now + best_ms / 1000 > self._last_start_s(opened):
            yield from self._give_up(opened, "no-room", now)

    def _last_start_s(self, opened: OpenRequest) -> float:
        """Return the clock reading after which no answer can come in time."""
        request = opened.request
        run_s = self._run_times.expected_s((request.service, request.route.tag))
        total_s = request.timeout_at_s - request.opened_at_s
        return request.timeout_at_s - min(run_s, total_s / 2) - MIN_START_MARGIN_S

    @receive.register
    def _on_decline(self, message: m.Decline, node: str, now: float):
        opened = self._open_by_number.pop(message.number, None)
        if opened is None:
            return
        opened.drop(message.number)
        if opened.executing == message.number:
            # The slot lapsed while the request was on its way; it will not run.
            yield from self._on_not_executed(opened, node, "grant-expired", False, now)
        elif opened.executing is None:
            yield from self._note_decline(opened, message.reason, now)

    def _note_decline(
        self, opened: OpenRequest, reason: str, now: float
    ) -> Iterator[NamedTuple]:
        """Ask others, unless they would give the same reason in all likelihood."""
        if reason in FINAL_REASONS:
            opened.n_final_declines += 1
            opened.decline_reason = reason
        if opened.grants_by_number:
            yield from self._use_grant(opened, now)
        elif opened.n_final_declines >= MAX_FINAL_DECLINES:
            yield from self._give_up(opened, reason, now)
        elif not opened.nodes_by_number:
            yield from self._ask(opened, now)
        elif len(opened.waits_by_number) == len(opened.nodes_by_number):
            yield from self._review(opened, now)

    @receive.register
    def _on_grant(self, message: m.Grant, node: str, now: float):
        opened = self._open_by_number.get(message.number)
        if opened is None or opened.executing is not None:
            yield SendTo(node, m.Withdraw(message.number))
            return
        opened.grants_by_number[message.number] = message
        opened.waits_by_number.pop(message.number, None)
        opened.awaited_numbers.discard(message.number)
        yield from self._use_grant(opened, now)

    def _use_grant(self, opened: OpenRequest, now: float) -> Iterator[NamedTuple]:
        """Send the request, once the exits nearby had time to answer."""
        if opened.awaited_numbers and now < opened.asked_at_s + COLLECT_S:
            return
        for number in opened.awaited_numbers:
            self._fleet.mark_slow(opened.nodes_by_number[number], now)
        number = self._choose_grant(opened)
        yield from self._execute(opened, number, now)

    def _execute(
        self, opened: OpenRequest, chosen: int, now: float
    ) -> Iterator[NamedTuple]:
        request = opened.request
        node = opened.nodes_by_number[chosen]
        opened.grant = opened.grants_by_number[chosen]
        for number, other in opened.nodes_by_number.items():
            if number != chosen:
                del self._open_by_number[number]
                yield SendTo(other, m.Withdraw(number))
        opened.nodes_by_number = {chosen: node}
        opened.waits_by_number.clear()
        opened.grants_by_number.clear()
        opened.awaited_numbers.clear()
        opened.asked_nodes.clear()
        opened.executing = chosen
        opened.executed_at_s = now
        opened.tried_nodes.add(node)
        opened.n_handed += 1
        inputs = {
            "waited_ms": round((now - request.opened_at_s) * 1000),
            "attempt": opened.n_handed,
            "proven_ms": opened.grant.proven_ms,
        }
        yield Decided(request, "sent to target", "slot-granted", node, inputs)
        yield SendTo(
            node,
            m.Execute(
                number=chosen,
                attempt_id=request.attempt_id,
                method=request.method,
                target=request.target,
                fields=request.fields,
                body=request.body,
                customer=request.customer,
                caller_service=self._settings.service,
                left_ms=max(1, int((request.timeout_at_s - now) * 1000)),
                idempotent=request.route.idempotent,
            ),
        )

    @receive.register
    def _on_not_run(self, message: m.NotRun, node: str, now: float):
        opened = self._take_executing(message.number)
        if opened is not None:
            yield from self._on_not_executed(
                opened, node, message.reason, message.reached_target, now
            )

    def _on_not_executed(
        self, opened: OpenRequest, node: str, reason: str, reached: bool, now: float
    ) -> Iterator[NamedTuple]:
        opened.executing = None
        if not reached:
            opened.n_handed -= 1
        yield Decided(opened.request, "not run at target", reason, node, {})
        yield from self._repeat(opened, reason, now)

    @receive.register
    def _on_failed(self, message: m.Failed, node: str, now: float):
        opened = self._take_executing(message.number)
        if opened is not None:
            yield from self._lose(opened, node, message.reason, now)

    def _lose(
        self, opened: OpenRequest, node: str, reason: str, now: float
    ) -> Iterator[NamedTuple]:
        """Handle a request that may have run and brought no usable answer."""
        opened.executing = None
        opened.was_handed = True
        yield Decided(opened.request, "lost at target", reason, node, {})
        if opened.request.route.idempotent:
            yield from self._repeat(opened, reason, now)
        else:
            yield from self._give_up(opened, reason, now)

    @receive.register
    def _on_answer(self, message: m.Answer, node: str, now: float):
        opened = self._take_executing(message.number)
        if opened is None:
            return
        request = opened.request
        run_s = now - opened.executed_at_s
        self._run_times.note((request.service, request.route.tag), run_s)
        is_error = message.status >= STATUS_SERVER_ERROR
        if is_error and request.route.idempotent and opened.fallback is None:
            opened.executing = None
            opened.was_handed = True
            opened.fallback = message
            yield Decided(request, "error of target", str(message.status), node, {})
            yield from self._repeat(opened, "target-error", now)
            return
        self._forget(opened)
        yield from endings.answered(opened, message, now)

    def _take_executing(self, number: int) -> OpenRequest | None:
        opened = self._open_by_number.get(number)
        if opened is None or opened.executing != number:
            return None
        del self._open_by_number[number]
        opened.nodes_by_number.pop(number, None)
        opened.resume_at_s = None
        return opened

    def _repeat(
        self, opened: OpenRequest, reason: str, now: float
    ) -> Iterator[NamedTuple]:
        """Ask for another slot, if attempts and time allow it."""
        request = opened.request
        is_spent = opened.n_handed >= request.route.max_targets
        if is_spent or now > self._last_start_s(opened):
            yield from self._give_up(opened, reason, now)
        else:
            yield from self._ask(opened, now)

    def lose_node(self, node: str, now: float) -> Iterator[NamedTuple]:
        """Handle the loss of the link to an exit.

        :param node: Node id of the exit.
        :param now: Clock reading in seconds.
        """
        numbers = [
            (number, opened)
            for number, opened in self._open_by_number.items()
            if opened.nodes_by_number.get(number) == node
        ]
        for number, opened in numbers:
            if opened.executing == number and not opened.request.route.idempotent:
                # It may have run or be running; the exit knows.
                again = opened.resume_at_s is not None
                opened.resume_at_s = now + RESUME_GAP_S if again else now
                yield Decided(opened.request, "link lost", "asks again", node, {})
                continue
            self._open_by_number.pop(number, None)
            opened.drop(number)
            if opened.executing == number:
                yield from self._lose(opened, node, "link-lost", now)
            elif opened.executing is None and opened.grants_by_number:
                yield from self._use_grant(opened, now)
            elif opened.executing is None and not opened.nodes_by_number:
                yield from self._ask(opened, now)

    def _resume(self, opened: OpenRequest, now: float) -> Iterator[NamedTuple]:
        """Ask the exit over a new link what became of a request."""
        if now < opened.resume_at_s:
            return
        opened.resume_at_s = now + RESUME_GAP_S
        number = opened.executing
        yield SendTo(
            opened.nodes_by_number[number], m.Resume(number, opened.grant.process)
        )

    def cancel(self, exchange: int, now: float) -> Iterator[NamedTuple]:
        """Drop a request whose caller is gone.

        :param exchange: Id of the exchange.
        :param now: Clock reading in seconds.
        """
        opened = self._open_by_exchange.get(exchange)
        if opened is None:
            return
        yield from self._withdraw_all(opened)
        self._forget(opened)
        waited_ms = round((now - opened.request.opened_at_s) * 1000)
        inputs = {"waited_ms": waited_ms}
        yield Decided(opened.request, "cancelled", "caller-gone", "", inputs)

    def _withdraw_all(self, opened: OpenRequest) -> Iterator[SendTo]:
        for number, node in opened.nodes_by_number.items():
            yield SendTo(node, m.Withdraw(number))

    def _forget(self, opened: OpenRequest) -> None:
        self._open_by_exchange.pop(opened.request.exchange, None)
        for number in opened.nodes_by_number:
            self._open_by_number.pop(number, None)

    def tick(self, now: float) -> Iterator[NamedTuple]:
        """End requests whose time is over; ask more exits for those that wait.

        :param now: Clock reading in seconds.
        """
        for opened in list(self._open_by_exchange.values()):
            if now >= opened.request.timeout_at_s:
                if opened.executing is not None:
                    opened.was_handed = True
                yield from self._give_up(opened, "timeout", now)
            elif opened.grants_by_number:
                yield from self._use_grant(opened, now)
            elif opened.resume_at_s is not None:
                yield from self._resume(opened, now)
            elif opened.executing is None and now >= self._stop_waiting_at_s:
                yield from self._give_up(opened, "stopping", now)
            elif opened.executing is None and now >= opened.ask_more_at_s:
                yield from self._ask(opened, now)
                is_open = opened.request.exchange in self._open_by_exchange
                if is_open and now >= self._last_start_s(opened):
                    yield from self._give_up(opened, "no-room", now)

    def _give_up(
        self, opened: OpenRequest, reason: str, now: float
    ) -> Iterator[NamedTuple]:
        """Give the final answer when no target gave one."""
        yield from self._withdraw_all(opened)
        self._forget(opened)
        if opened.fallback is not None:
            yield from endings.answered(opened, opened.fallback, now)
        elif opened.was_handed:
            yield from endings.unknown(opened, reason, now)
        else:
            yield from endings.not_run(opened, reason, self._rng, now)
