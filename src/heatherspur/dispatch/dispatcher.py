"""Dispatches admitted requests to free slots. Has no I/O: messages in and out.

Slots are scarce and their state changes faster than it can be propagated. An entry
therefore reserves a slot at several exits, first in its local zone, and uses one of the
grants, so that the request body is sent only once. A request without a grant has
certainly not run and can safely be refused.
"""

import itertools
import random
import traceback
from collections.abc import Callable, Iterator
from functools import singledispatchmethod
from typing import NamedTuple

from heatherspur.dispatch import final_answers
from heatherspur.dispatch.conf import (
    MAX_FINAL_DECLINES,
    MOVE_INTERVAL_S,
    NEXT_ROUND_AFTER_S,
    REPLY_COLLECT_S,
    RESUME_INTERVAL_S,
)
from heatherspur.dispatch.fleet import FleetView
from heatherspur.dispatch.pending import Decision, PendingRequest
from heatherspur.dispatch.placement import best_grant, choose_members
from heatherspur.dispatch.queue import FUTILE, NO_ROOM, REPEAT_BUDGET
from heatherspur.dispatch.request_timing import RequestTiming
from heatherspur.dispatch.types import FleetSettings, Request
from heatherspur.exchange import SendTo
from heatherspur.link import messages as m

__all__ = ["Dispatcher"]

STATUS_SERVER_ERROR = 500
# Nodes that are down are excluded for a quarter of a second or longer.
RETRY_RESERVATION_S = 0.25
# Reasons of declines that are likely to apply at the other targets as well.
FINAL_REASONS = (FUTILE, NO_ROOM, REPEAT_BUDGET)
# Used if no exit has reported a wait; longer than any timeout.
UNKNOWN_WAIT_MS = 60_000


class Dispatcher:
    """Requests of one entry without a final answer.

    :param fleet: Members and their reachability.
    :param settings: Settings that the platform provides.
    :param rng: Random source.
    :param choose_grant: Selects one of the grants of a request by its number.
    """

    def __init__(
        self,
        fleet: FleetView,
        settings: FleetSettings,
        rng: random.Random,
        choose_grant: Callable[[PendingRequest], int] = best_grant,
    ) -> None:
        self._choose_grant = choose_grant
        self._fleet = fleet
        self._settings = settings
        self._rng = rng
        self._numbers = itertools.count(1)
        self._stop_waiting_at_s = float("inf")
        self._open_by_exchange: dict[int, PendingRequest] = {}
        self._open_by_number: dict[int, PendingRequest] = {}
        self._timing = RequestTiming()

    @property
    def n_pending(self) -> int:
        """Number of requests without a final answer."""
        return len(self._open_by_exchange)

    def stop_waiting(self, at_s: float) -> None:
        """Set when requests stop waiting for a slot, because the process will stop.

        :param at_s: Clock reading in seconds.
        """
        self._stop_waiting_at_s = at_s

    def open(self, request: Request, now: float) -> Iterator[NamedTuple]:
        """Start to dispatch an admitted request.

        :param request: The request.
        :param now: Clock reading in seconds.
        """
        pending = PendingRequest(request, now)
        self._open_by_exchange[request.exchange] = pending
        yield from self._reserve(pending, now)

    def _reserve(self, pending: PendingRequest, now: float) -> Iterator[NamedTuple]:
        """Send reservations, first to exits of the local zone, then to others."""
        request = pending.request
        members = choose_members(pending, self._fleet, self._rng, now)
        n_asked = len(pending.nodes_by_number) + len(members)
        for member in members:
            number = next(self._numbers)
            pending.nodes_by_number[number] = member.node
            pending.reserved_nodes.add(member.node)
            self._open_by_number[number] = pending
            is_local = member.zone == self._fleet.zone
            if is_local and not self._fleet.is_slow(member.node, now):
                pending.awaited_numbers.add(number)
            yield SendTo(
                member.node,
                m.Reserve(
                    number=number,
                    service=request.service,
                    priority=request.priority,
                    objective_ms=int((request.objective_at_s - now) * 1000),
                    left_ms=int((request.timeout_at_s - now) * 1000),
                    may_probe=pending.may_probe,
                    inner=request.route.open,
                    n_asked=n_asked,
                    is_repeat=pending.n_attempts > 0,
                    route=request.route.tag,
                    customer=request.customer_tag,
                ),
            )
        pending.reserved_at_s = now
        pending.next_round_at_s = now + NEXT_ROUND_AFTER_S
        if pending.nodes_by_number or pending.executing is not None:
            return
        if self._may_wait_for_target(pending, now):
            pending.reserved_nodes.clear()
            pending.next_round_at_s = now + RETRY_RESERVATION_S
        else:
            yield from self._end_unanswered(pending, pending.decline_reason, now)

    def _may_wait_for_target(self, pending: PendingRequest, now: float) -> bool:
        """Return whether a target may become available in time."""
        n_targets = self._fleet.n_targets(pending.request.service)
        is_stopping = now >= self._stop_waiting_at_s
        return not is_stopping and self._timing.may_wait(pending, n_targets, now)

    @singledispatchmethod
    def receive(
        self, message: m.Message, node: str, now: float
    ) -> Iterator[NamedTuple]:
        """Process a message of an exit.

        :param message: The message.
        :param node: Node id of the exit.
        :param now: Clock reading in seconds.
        """
        raise TypeError(f"unexpected message: {message!r}")

    @receive.register
    def _on_queued(self, message: m.Queued, node: str, now: float):
        pending = self._open_by_number.get(message.number)
        if pending is None or pending.executing is not None:
            return
        if pending.overdue is not None:
            yield from self._withdraw(pending, message.number)
            yield from self._end_move_without_slots(pending, now)
            return
        pending.waits_by_number[message.number] = message.wait_ms
        pending.awaited_numbers.discard(message.number)
        if pending.grants_by_number:
            yield from self._use_grant(pending, now)
        elif len(pending.waits_by_number) == len(pending.nodes_by_number):
            yield from self._extend_or_refuse(pending, now)

    def _extend_or_refuse(
        self, pending: PendingRequest, now: float
    ) -> Iterator[NamedTuple]:
        """Reserve at more exits, or refuse a request that would miss its timeout."""
        best_ms = min(pending.waits_by_number.values(), default=UNKNOWN_WAIT_MS)
        if best_ms > NEXT_ROUND_AFTER_S * 1000:
            n_before = len(pending.nodes_by_number)
            yield from self._reserve(pending, now)
            if len(pending.nodes_by_number) > n_before:
                return
        if pending.request.exchange not in self._open_by_exchange:
            return
        if now + best_ms / 1000 > self._timing.latest_start_s(pending):
            yield from self._end_unanswered(pending, "no-room", now)

    @receive.register
    def _on_decline(self, message: m.Decline, node: str, now: float):
        pending = self._open_by_number.pop(message.number, None)
        if pending is None:
            return
        pending.drop(message.number)
        if pending.executing == message.number:
            # The grant expired before the request arrived, so it will not run.
            pending.resume_at_s = None
            yield from self._handle_not_run(pending, node, "grant-expired", False, now)
        elif pending.overdue == message.number:
            # The same for a request that has been taken for overdue since.
            pending.resume_at_s = None
            yield from self._end_move(pending)
            yield from self._handle_not_run(pending, node, "grant-expired", False, now)
        elif pending.overdue is not None:
            yield from self._end_move_without_slots(pending, now)
        elif pending.executing is None:
            yield from self._handle_decline(pending, message.reason, now)

    def _handle_decline(
        self, pending: PendingRequest, reason: str, now: float
    ) -> Iterator[NamedTuple]:
        """Try other exits, unless the reason is likely to apply there too."""
        if reason in FINAL_REASONS:
            pending.n_final_declines += 1
            pending.decline_reason = reason
        if pending.grants_by_number:
            yield from self._use_grant(pending, now)
        elif pending.n_final_declines >= MAX_FINAL_DECLINES:
            yield from self._end_unanswered(pending, reason, now)
        elif not pending.nodes_by_number:
            yield from self._reserve(pending, now)
        elif len(pending.waits_by_number) == len(pending.nodes_by_number):
            yield from self._extend_or_refuse(pending, now)

    @receive.register
    def _on_grant(self, message: m.Grant, node: str, now: float):
        pending = self._open_by_number.get(message.number)
        if pending is None or pending.executing is not None:
            yield SendTo(node, m.Withdraw(message.number))
            return
        pending.grants_by_number[message.number] = message
        pending.waits_by_number.pop(message.number, None)
        pending.awaited_numbers.discard(message.number)
        yield from self._use_grant(pending, now)

    def _use_grant(self, pending: PendingRequest, now: float) -> Iterator[NamedTuple]:
        """Send the request once the exits of the local zone had time to reply."""
        if pending.awaited_numbers and now < pending.reserved_at_s + REPLY_COLLECT_S:
            return
        for number in pending.awaited_numbers:
            self._fleet.mark_slow(pending.nodes_by_number[number], now)
        number = self._choose_grant(pending)
        yield from self._execute(pending, number, now)

    def _execute(
        self, pending: PendingRequest, chosen: int, now: float
    ) -> Iterator[NamedTuple]:
        request = pending.request
        node = pending.nodes_by_number[chosen]
        pending.may_have_run |= pending.overdue is not None
        pending.overdue = None
        pending.grant = pending.grants_by_number[chosen]
        for number, other in pending.nodes_by_number.items():
            if number != chosen:
                del self._open_by_number[number]
                yield SendTo(other, m.Withdraw(number))
        pending.nodes_by_number = {chosen: node}
        pending.waits_by_number.clear()
        pending.grants_by_number.clear()
        pending.awaited_numbers.clear()
        pending.reserved_nodes.clear()
        pending.executing = chosen
        pending.executed_at_s = now
        pending.tried_nodes.add(node)
        pending.n_attempts += 1
        inputs = {
            "waited_ms": round((now - request.opened_at_s) * 1000),
            "attempt": pending.n_attempts,
            "proven_ms": pending.grant.proven_ms,
        }
        yield Decision(request, "sent to target", "slot-granted", node, inputs)
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
        pending = self._end_execution(message.number)
        if pending is not None:
            yield from self._end_move(pending)
            yield from self._handle_not_run(
                pending, node, message.reason, message.reached_target, now
            )

    def _handle_not_run(
        self, pending: PendingRequest, node: str, reason: str, reached: bool, now: float
    ) -> Iterator[NamedTuple]:
        pending.executing = None
        if not reached:
            pending.n_attempts -= 1
        yield Decision(pending.request, "not run at target", reason, node, {})
        yield from self._retry(pending, reason, now)

    @receive.register
    def _on_failed(self, message: m.Failed, node: str, now: float):
        pending = self._end_execution(message.number)
        if pending is not None:
            yield from self._end_move(pending)
            yield from self._handle_loss(pending, node, message.reason, now)

    def _handle_loss(
        self, pending: PendingRequest, node: str, reason: str, now: float
    ) -> Iterator[NamedTuple]:
        """Handle a request that may have run but has no usable answer."""
        pending.executing = None
        pending.may_have_run = True
        yield Decision(pending.request, "lost at target", reason, node, {})
        if pending.request.route.idempotent:
            yield from self._retry(pending, reason, now)
        else:
            yield from self._end_unanswered(pending, reason, now)

    @receive.register
    def _on_answer(self, message: m.Answer, node: str, now: float):
        pending = self._end_execution(message.number)
        if pending is None:
            return
        yield from self._end_move(pending)
        request = pending.request
        run_s = now - pending.executed_at_s
        self._timing.record_run(request, run_s)
        is_error = message.status >= STATUS_SERVER_ERROR
        if is_error and request.route.idempotent and pending.fallback is None:
            pending.executing = None
            pending.may_have_run = True
            pending.fallback = message
            yield Decision(request, "error of target", str(message.status), node, {})
            yield from self._retry(pending, "target-error", now)
            return
        self._remove(pending)
        yield from final_answers.answered(pending, message, now)

    def _end_execution(self, number: int) -> PendingRequest | None:
        pending = self._open_by_number.get(number)
        if pending is None or number not in (pending.executing, pending.overdue):
            return None
        del self._open_by_number[number]
        pending.nodes_by_number.pop(number, None)
        pending.resume_at_s = None
        return pending

    def _start_move(self, pending: PendingRequest, now: float) -> Iterator[NamedTuple]:
        """Reserve slots at other targets while the overdue request still runs."""
        node = pending.nodes_by_number[pending.executing]
        inputs = {"run_ms": round((now - pending.executed_at_s) * 1000)}
        yield Decision(pending.request, "overdue at target", "overdue", node, inputs)
        pending.overdue, pending.executing = pending.executing, None
        yield from self._reserve(pending, now)
        yield from self._end_move_without_slots(pending, now)

    def _end_move_without_slots(
        self, pending: PendingRequest, now: float
    ) -> Iterator[NamedTuple]:
        """Let an overdue request keep its target if no other has a free slot now."""
        is_late = now >= pending.next_round_at_s
        if pending.grants_by_number or (
            len(pending.nodes_by_number) > 1 and not is_late
        ):
            return
        number = pending.overdue
        node = pending.nodes_by_number.pop(number)
        yield from self._end_move(pending)
        pending.nodes_by_number[number] = node
        pending.executing = number
        pending.next_move_at_s = now + MOVE_INTERVAL_S

    def _end_move(self, pending: PendingRequest) -> Iterator[NamedTuple]:
        """Withdraw the reservations that were made for an overdue request."""
        if pending.overdue is None:
            return
        pending.overdue = None
        pending.reserved_nodes.clear()
        for number in list(pending.nodes_by_number):
            yield from self._withdraw(pending, number)

    def _withdraw(self, pending: PendingRequest, number: int) -> Iterator[SendTo]:
        yield SendTo(pending.nodes_by_number[number], m.Withdraw(number))
        self._open_by_number.pop(number, None)
        pending.drop(number)

    def _retry(
        self, pending: PendingRequest, reason: str, now: float
    ) -> Iterator[NamedTuple]:
        """Reserve another slot, if attempts and time remain."""
        request = pending.request
        is_exhausted = pending.n_attempts >= request.route.max_targets
        if is_exhausted or now > self._timing.latest_start_s(pending):
            yield from self._end_unanswered(pending, reason, now)
        else:
            yield from self._reserve(pending, now)

    def handle_link_loss(self, node: str, now: float) -> Iterator[NamedTuple]:
        """Handle the loss of the link to an exit.

        :param node: Node id of the exit.
        :param now: Clock reading in seconds.
        """
        numbers = [
            (number, pending)
            for number, pending in self._open_by_number.items()
            if pending.nodes_by_number.get(number) == node
        ]
        for number, pending in numbers:
            if pending.executing == number and not pending.request.route.idempotent:
                # The request may have run or be running; the exit stores the outcome.
                was_lost_before = pending.resume_at_s is not None
                pending.resume_at_s = (
                    now + RESUME_INTERVAL_S if was_lost_before else now
                )
                yield Decision(pending.request, "link lost", "asks again", node, {})
                continue
            self._open_by_number.pop(number, None)
            pending.drop(number)
            if pending.overdue == number:
                pending.overdue = None
                pending.may_have_run = True
            if pending.executing == number:
                yield from self._handle_loss(pending, node, "link-lost", now)
            elif pending.executing is None and pending.grants_by_number:
                yield from self._use_grant(pending, now)
            elif pending.executing is None and not pending.nodes_by_number:
                yield from self._reserve(pending, now)

    def _resume(self, pending: PendingRequest, now: float) -> Iterator[NamedTuple]:
        """Request the outcome of a request from its exit over a new link."""
        if now < pending.resume_at_s:
            return
        pending.resume_at_s = now + RESUME_INTERVAL_S
        number = pending.executing
        yield SendTo(
            pending.nodes_by_number[number], m.Resume(number, pending.grant.process)
        )

    def cancel(self, exchange: int, now: float) -> Iterator[NamedTuple]:
        """Cancel a request whose caller has disconnected.

        :param exchange: Id of the exchange.
        :param now: Clock reading in seconds.
        """
        pending = self._open_by_exchange.get(exchange)
        if pending is None:
            return
        yield from self._withdraw_all(pending)
        self._remove(pending)
        waited_ms = round((now - pending.request.opened_at_s) * 1000)
        inputs = {"waited_ms": waited_ms}
        yield Decision(pending.request, "cancelled", "caller-gone", "", inputs)

    def _withdraw_all(self, pending: PendingRequest) -> Iterator[SendTo]:
        for number, node in pending.nodes_by_number.items():
            yield SendTo(node, m.Withdraw(number))

    def _remove(self, pending: PendingRequest) -> None:
        self._open_by_exchange.pop(pending.request.exchange, None)
        for number in pending.nodes_by_number:
            self._open_by_number.pop(number, None)

    def tick(self, now: float) -> Iterator[NamedTuple]:
        """Expire requests, and send more reservations for those that wait.

        :param now: Clock reading in seconds.
        """
        for pending in list(self._open_by_exchange.values()):
            try:
                yield from self._continue(pending, now)
            except Exception:  # an error at one request must not delay the others
                inputs = {"traceback": traceback.format_exc()}
                yield Decision(pending.request, "internal error", "", "", inputs)
                yield from self._end(pending, "internal-error", now)

    def _continue(self, pending: PendingRequest, now: float) -> Iterator[NamedTuple]:
        """Take the step of a request that is due."""
        if now >= pending.request.timeout_at_s:
            yield from self._end(pending, "timeout", now)
        elif pending.grants_by_number:
            yield from self._use_grant(pending, now)
        elif pending.overdue is not None:
            yield from self._end_move_without_slots(pending, now)
        elif self._timing.is_overdue(pending, now):
            yield from self._start_move(pending, now)
        elif pending.resume_at_s is not None:
            yield from self._resume(pending, now)
        elif pending.executing is None and now >= self._stop_waiting_at_s:
            yield from self._end_unanswered(pending, "stopping", now)
        elif pending.executing is None and now >= pending.next_round_at_s:
            yield from self._reserve(pending, now)
            is_open = pending.request.exchange in self._open_by_exchange
            if is_open and now >= self._timing.latest_start_s(pending):
                yield from self._end_unanswered(pending, "no-room", now)

    def end_all(self, reason: str, now: float) -> Iterator[NamedTuple]:
        """Give all requests their final answers.

        :param reason: Short name of the reason.
        :param now: Clock reading in seconds.
        """
        for pending in list(self._open_by_exchange.values()):
            yield from self._end(pending, reason, now)

    def _end(
        self, pending: PendingRequest, reason: str, now: float
    ) -> Iterator[NamedTuple]:
        """End a request that may be running at a target."""
        if pending.executing is not None or pending.overdue is not None:
            pending.may_have_run = True
        yield from self._end_unanswered(pending, reason, now)

    def _end_unanswered(
        self, pending: PendingRequest, reason: str, now: float
    ) -> Iterator[NamedTuple]:
        """Send the final answer for a request without a usable one."""
        yield from self._withdraw_all(pending)
        self._remove(pending)
        if pending.fallback is not None:
            yield from final_answers.answered(pending, pending.fallback, now)
        elif pending.may_have_run:
            yield from final_answers.unknown(pending, reason, now)
        else:
            yield from final_answers.not_run(pending, reason, self._rng, now)
