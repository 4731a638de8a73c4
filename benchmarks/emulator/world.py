"""Runs a site with the real dispatchers and queues, simulated links and targets.

Time is simulated: scheduled actions run in order of time, and each message arrives
after the delay of its link.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from benchmarks.emulator.outcomes import Outcome
from benchmarks.emulator.policies import Policy
from benchmarks.emulator.site import RouteLoad, Service, SiteFile
from benchmarks.emulator.targets import RESET_S, TargetModel
from heatherspur.core import Address
from heatherspur.dispatch import (
    FleetSettings,
    Request,
    Route,
    StoreSettings,
    WeightedService,
)
from heatherspur.dispatch.budget import RetryBudget
from heatherspur.dispatch.dispatcher import Dispatcher
from heatherspur.dispatch.fleet import FleetView, Member
from heatherspur.dispatch.pending import FinalAnswer
from heatherspur.dispatch.queue import TargetQueue
from heatherspur.dispatch.scheduling import ReservationKey, to_reservation
from heatherspur.exchange import SendTo
from heatherspur.link import messages as m

__all__ = ["World"]

TICK_S = 0.05
# Time after the last arrival in which open requests end; exceeds the route timeouts.
DRAIN_S = 8.0
RETRY_RATIO, RETRY_WINDOW_S, RETRY_SLACK = 0.2, 10.0, 64.0
MEMORY_BYTES = 300_000_000
QUOTA_WINDOW_S = 5.0
MAX_TARGETS = 2
STATUS_OK = 200
STATUS_SERVER_ERROR = 500


class Node(NamedTuple):
    """One node and its local target."""

    name: str
    zone: str
    service: Service
    dispatcher: Dispatcher
    queue: Any
    model: TargetModel
    running: dict[ReservationKey, m.Execute]


class World:
    """One emulated run of a site.

    :param site: Description of the site.
    :param policy: Scheduling and placement policy.
    :param seed: Seed of all random choices.
    """

    def __init__(self, site: SiteFile, policy: Policy, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._now = 0.0
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._loads_by_name = {load.name: load for load in site.routes}
        self._routes_by_name = {load.name: _to_route(load) for load in site.routes}
        self._exchange_ids = itertools.count(1)
        self._requests_by_exchange: dict[
            int, tuple[Request, Callable[[int], None]]
        ] = {}
        self.outcomes: list[Outcome] = []
        self._nodes_by_name = {node.name: node for node in self._make_nodes(policy)}
        for node in self._nodes_by_name.values():
            for receiver in self._nodes_by_name.values():
                member = Member(
                    receiver.name,
                    receiver.zone,
                    receiver.service.name,
                    f"t-{receiver.name}",
                    0,
                    receiver.service.slots,
                    True,
                )
                node.dispatcher._fleet.put(receiver.name, member)

    def _make_nodes(self, policy: Policy) -> Iterable[Node]:
        n_by_service = {
            service.name: service.targets_a_zone * len(self._site.zones)
            for service in self._site.services
        }
        placeholder = Address("127.0.0.1", 1)
        for zone in self._site.zones:
            for service in self._site.services:
                for i in range(service.targets_a_zone):
                    name = f"{zone}-{service.name}-{i}:1"
                    settings = FleetSettings(
                        name,
                        zone,
                        *[placeholder] * 5,
                        service.name,
                        StoreSettings(placeholder),
                        1.5,
                        MEMORY_BYTES,
                        6.0,
                        RETRY_RATIO,
                        RETRY_WINDOW_S,
                        RETRY_SLACK,
                        QUOTA_WINDOW_S,
                    )
                    rng = random.Random(self._rng.random())
                    dispatcher = Dispatcher(
                        FleetView(name, zone), settings, rng, policy.choose_grant
                    )
                    budget = RetryBudget(RETRY_RATIO, RETRY_WINDOW_S, RETRY_SLACK, 0.0)
                    queue = TargetQueue(1, budget, policy.scheduling_type())
                    queue.slots, queue.accepting = service.slots, True
                    queue.n_targets = n_by_service[service.name]
                    model = TargetModel(self._site, service, rng)
                    yield Node(name, zone, service, dispatcher, queue, model, {})

    def _schedule(self, at_s: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), step))

    def play(self) -> list[Outcome]:
        """Run the site to its end and return the outcomes of the callers' requests."""
        for load in self._site.routes:
            if load.per_s:
                self._schedule(0.0, lambda load=load: self._arrive(load, first=True))
        self._schedule(TICK_S, self._tick)
        while self._events:
            self._now, _, step = heapq.heappop(self._events)
            if self._now > self._site.seconds + DRAIN_S:
                break
            step()
        return self.outcomes

    def _trouble_factor(self, kind: str) -> float:
        factor = 1.0
        for trouble in self._site.troubles:
            if trouble.kind == kind and 0 <= self._now - trouble.at_s < trouble.for_s:
                factor *= trouble.factor
        return factor

    def _arrive(self, load: RouteLoad, first: bool = False) -> None:
        """Send one request of a caller and schedule the next arrival."""
        if self._now >= self._site.seconds:
            return
        customers = dict(self._site.customers)
        largest_customer = max(customers, key=customers.get)
        usual_load = sum(customers.values())
        customers[largest_customer] *= self._trouble_factor("large_customer")
        load_factor = (
            sum(customers.values()) / usual_load * self._trouble_factor("burst")
        )
        gap_s = self._rng.expovariate(load.per_s * load_factor)
        self._schedule(self._now + gap_s, lambda: self._arrive(load))
        if first:
            return
        (customer,) = self._rng.choices(list(customers), customers.values())
        node = self._rng.choice(list(self._nodes_by_name.values()))
        arrived_at_s = self._now
        self._send_request(
            node,
            load,
            customer,
            arrived_at_s + load.timeout_ms / 1000,
            lambda status: self._record_outcome(load, customer, arrived_at_s, status),
        )

    def _send_request(
        self,
        node: Node,
        load: RouteLoad,
        customer: str,
        deadline_s: float,
        on_answer: Callable[[int], None],
    ) -> None:
        exchange = next(self._exchange_ids)
        request = Request(
            exchange=exchange,
            attempt_id=b"%016x" % exchange,
            method="GET",
            target=load.name,
            fields=(),
            body=b"",
            route=self._routes_by_name[load.name],
            service=load.service,
            customer=customer,
            priority=load.priority,
            opened_at_s=self._now,
            deadline_s=deadline_s,
        )
        self._requests_by_exchange[exchange] = (request, on_answer)
        self._apply_messages(node, node.dispatcher.open(request, self._now))

    def _record_outcome(
        self, load: RouteLoad, customer: str, arrived_at_s: float, status: int
    ) -> None:
        latency_s = self._now - arrived_at_s
        is_good = status < 300
        in_time = is_good and latency_s <= load.objective_ms / 1000
        value = load.value if in_time else load.late_value if is_good else 0.0
        self.outcomes.append(
            Outcome(
                arrived_at_s,
                load.name,
                customer,
                status,
                latency_s,
                in_time,
                value,
                load.value,
            )
        )

    def _link_delay_s(self, sender: Node, receiver: Node) -> float:
        if sender is receiver:
            return 0.0
        is_near = sender.zone == receiver.zone
        way_ms = self._site.near_way_ms if is_near else self._site.way_ms
        return way_ms / 1000 * (1 + 0.3 * self._rng.random())

    def _apply_messages(self, node: Node, messages: Iterable[NamedTuple]) -> None:
        """Apply the messages that a dispatcher returns."""
        for message in messages:
            if isinstance(message, FinalAnswer):
                _, on_answer = self._requests_by_exchange.pop(message.exchange)
                on_answer(message.status)
            elif isinstance(message, SendTo):
                exit_node = self._nodes_by_name[message.node]
                self._schedule(
                    self._now + self._link_delay_s(node, exit_node),
                    lambda exit_node=exit_node, sent=message.message: (
                        self._receive_at_exit(node, exit_node, sent)
                    ),
                )

    def _receive_at_exit(self, entry: Node, node: Node, message: m.Message) -> None:
        """Handle a message from an entry at an exit."""
        # The index of the entry in the order of nodes identifies its link.
        link = list(self._nodes_by_name).index(entry.name)
        key = ReservationKey(link, message.number)
        now = self._now
        if isinstance(message, m.Reserve):
            self._send_replies(
                node,
                node.queue.reserve(to_reservation(key, message, now), now),
            )
        elif isinstance(message, m.Withdraw):
            if node.running.pop(key, None) is not None:
                self._send_replies(node, node.queue.finish(key, False, now))
            else:
                self._send_replies(node, node.queue.withdraw(key, now))
        elif isinstance(message, m.Execute):
            self._execute(node, key, message)

    def _send_replies(self, node: Node, replies: Iterable) -> None:
        nodes = list(self._nodes_by_name.values())
        for key, message in replies:
            entry = nodes[key.link]
            self._schedule(
                self._now + self._link_delay_s(node, entry),
                lambda entry=entry, message=message: self._apply_messages(
                    entry, entry.dispatcher.receive(message, node.name, self._now)
                ),
            )

    def _execute(self, node: Node, key: ReservationKey, message: m.Execute) -> None:
        """Send a request to the target, unless its slot has expired."""
        if not node.queue.start(key, self._now):
            self._send_replies(
                node, [(key, m.NotRun(key.number, "grant-expired", False))]
            )
            return
        node.running[key] = message
        started_s = self._now
        if node.model.fails(started_s):
            if not node.service.gray_hangs:
                failed_s = started_s + RESET_S
                self._schedule(failed_s, lambda: self._fail(node, key, message))
            return
        load = self._loads_by_name[message.target]
        deadline_s = started_s + message.left_ms / 1000
        n_pending = [1]
        worst_status = [STATUS_OK]

        def done(status: int) -> None:
            worst_status[0] = max(worst_status[0], status)
            n_pending[0] -= 1
            if not n_pending[0]:
                status = STATUS_OK if worst_status[0] < 300 else STATUS_SERVER_ERROR
                self._finish(node, key, message, started_s, status)

        for call in load.calls:
            if self._rng.random() >= call.share:
                continue
            called = self._loads_by_name[call.route]
            n_pending[0] += call.times
            call_deadline_s = min(deadline_s, started_s + called.timeout_ms / 1000)
            for _ in range(call.times):
                self._send_request(node, called, "", call_deadline_s, done)
        run_s = node.model.run_s(load, started_s)
        self._schedule(started_s + run_s, lambda: done(STATUS_OK))

    def _fail(self, node: Node, key: ReservationKey, message: m.Execute) -> None:
        if node.running.pop(key, None) is None:
            return
        node.queue.verdict.record_failure(self._now)
        self._send_replies(node, node.queue.finish(key, False, self._now))
        self._send_replies(node, [(key, m.Failed(key.number, "target-lost"))])

    def _finish(
        self,
        node: Node,
        key: ReservationKey,
        message: m.Execute,
        started_s: float,
        status: int,
    ) -> None:
        if node.running.pop(key, None) is None:
            return
        if status < 300:
            node.queue.verdict.record_success(started_s)
            node.queue.record_outcome(key, True, self._now)
        else:
            node.queue.verdict.record_error(self._now)
        self._send_replies(node, node.queue.finish(key, True, self._now))
        self._send_replies(node, [(key, m.Answer(key.number, status, (), b""))])

    def _tick(self) -> None:
        for node in self._nodes_by_name.values():
            for key, message in list(node.running.items()):
                started_at_s = node.queue._running_by_key[key].started_at_s
                if self._now >= started_at_s + message.left_ms / 1000:
                    node.queue.record_outcome(key, False, self._now)
                    self._fail(node, key, message)
            self._send_replies(node, node.queue.tick(self._now))
            self._apply_messages(node, node.dispatcher.tick(self._now))
        if self._now < self._site.seconds + DRAIN_S:
            self._schedule(self._now + TICK_S, self._tick)


def _to_route(load: RouteLoad) -> Route:
    return Route(
        name=load.name,
        host="site.example",
        prefix="/",
        weighted_services=(WeightedService(load.service, 1.0),),
        idempotent=load.idempotent,
        timeout_s=load.timeout_ms / 1000,
        objective_s=load.objective_ms / 1000,
        max_targets=MAX_TARGETS,
        priority=load.priority,
        open=not load.per_s,
    )
