"""Plays a site: real dispatchers and queues, messages with delays, model targets."""

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
# After the last request; longer than the timeouts of today's routes.
REST_S = 8.0
RETRY_RATIO, RETRY_WINDOW_S, RETRY_SLACK = 0.2, 10.0, 64.0
MAX_TARGETS = 2
STATUS_OK = 200
STATUS_SERVER_ERROR = 500


class Node(NamedTuple):
    """One node and the target beside it."""

    name: str
    zone: str
    service: Service
    dispatcher: Dispatcher
    queue: Any
    model: TargetModel
    running: dict[ReservationKey, m.Execute]


class World:
    """One run of a site.

    :param site: The site.
    :param policy: How work waits and is placed.
    :param seed: Seed of load, targets and choices.
    """

    def __init__(self, site: SiteFile, policy: Policy, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._now = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._loads_by_name = {load.name: load for load in site.routes}
        self._routes_by_name = {load.name: _route(load) for load in site.routes}
        self._exchanges = itertools.count(1)
        self._asked_by_exchange: dict[int, tuple[Request, Callable[[int], None]]] = {}
        self.outcomes: list[Outcome] = []
        self._nodes_by_name = {node.name: node for node in self._make_nodes(policy)}
        for node in self._nodes_by_name.values():
            for other in self._nodes_by_name.values():
                member = Member(
                    other.name,
                    other.zone,
                    other.service.name,
                    f"t-{other.name}",
                    0,
                    other.service.slots,
                    True,
                )
                node.dispatcher._fleet.put(other.name, member)

    def _make_nodes(self, policy: Policy) -> Iterable[Node]:
        n_by_service = {
            service.name: service.targets_a_zone * len(self._site.zones)
            for service in self._site.services
        }
        anywhere = Address("127.0.0.1", 1)
        for zone in self._site.zones:
            for service in self._site.services:
                for i in range(service.targets_a_zone):
                    name = f"{zone}-{service.name}-{i}:1"
                    settings = FleetSettings(
                        name,
                        zone,
                        *[anywhere] * 5,
                        service.name,
                        StoreSettings(anywhere),
                        1.5,
                        6.0,
                        RETRY_RATIO,
                        RETRY_WINDOW_S,
                        RETRY_SLACK,
                    )
                    rng = random.Random(self._rng.random())
                    dispatcher = Dispatcher(
                        FleetView(name, zone), settings, rng, policy.choose_grant
                    )
                    budget = RetryBudget(RETRY_RATIO, RETRY_WINDOW_S, RETRY_SLACK, 0.0)
                    queue = TargetQueue(1, budget, policy.order_type())
                    queue.slots, queue.accepting = service.slots, True
                    queue.n_targets = n_by_service[service.name]
                    model = TargetModel(self._site, service, rng)
                    yield Node(name, zone, service, dispatcher, queue, model, {})

    def _at(self, at_s: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_s, next(self._order), step))

    def play(self) -> list[Outcome]:
        """Play the run to its end; return what became of the callers' requests."""
        for load in self._site.routes:
            if load.per_s:
                self._at(0.0, lambda load=load: self._arrive(load, first=True))
        self._at(TICK_S, self._tick)
        while self._due:
            self._now, _, step = heapq.heappop(self._due)
            if self._now > self._site.seconds + REST_S:
                break
            step()
        return self.outcomes

    def _factor(self, kind: str) -> float:
        factor = 1.0
        for trouble in self._site.troubles:
            if trouble.kind == kind and 0 <= self._now - trouble.at_s < trouble.for_s:
                factor *= trouble.factor
        return factor

    def _arrive(self, load: RouteLoad, first: bool = False) -> None:
        """Let one request of a caller come, and plan the next one."""
        if self._now >= self._site.seconds:
            return
        customers = dict(self._site.customers)
        large = max(customers, key=customers.get)
        before = sum(customers.values())
        customers[large] *= self._factor("large_customer")
        growth = sum(customers.values()) / before * self._factor("burst")
        gap_s = self._rng.expovariate(load.per_s * growth)
        self._at(self._now + gap_s, lambda: self._arrive(load))
        if first:
            return
        (customer,) = self._rng.choices(list(customers), customers.values())
        node = self._rng.choice(list(self._nodes_by_name.values()))
        came_s = self._now
        self._ask(
            node,
            load,
            customer,
            came_s + load.timeout_ms / 1000,
            lambda status: self._note(load, customer, came_s, status),
        )

    def _ask(
        self,
        node: Node,
        load: RouteLoad,
        customer: str,
        until_s: float,
        then: Callable[[int], None],
    ) -> None:
        exchange = next(self._exchanges)
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
            deadline_s=until_s,
        )
        self._asked_by_exchange[exchange] = (request, then)
        self._run(node, node.dispatcher.open(request, self._now))

    def _note(self, load: RouteLoad, customer: str, came_s: float, status: int) -> None:
        took_s = self._now - came_s
        is_good = status < 300
        in_time = is_good and took_s <= load.objective_ms / 1000
        value = load.value if in_time else load.late_value if is_good else 0.0
        self.outcomes.append(
            Outcome(
                came_s, load.name, customer, status, took_s, in_time, value, load.value
            )
        )

    def _way_s(self, one: Node, other: Node) -> float:
        if one is other:
            return 0.0
        is_near = one.zone == other.zone
        way_ms = self._site.near_way_ms if is_near else self._site.way_ms
        return way_ms / 1000 * (1 + 0.3 * self._rng.random())

    def _run(self, node: Node, messages: Iterable[NamedTuple]) -> None:
        """Carry out what a dispatcher says."""
        for message in messages:
            if isinstance(message, FinalAnswer):
                _, then = self._asked_by_exchange.pop(message.exchange)
                then(message.status)
            elif isinstance(message, SendTo):
                there = self._nodes_by_name[message.node]
                self._at(
                    self._now + self._way_s(node, there),
                    lambda there=there, said=message.message: self._exit(
                        node, there, said
                    ),
                )

    def _exit(self, entry: Node, node: Node, message: m.Message) -> None:
        """Take a message of an entry at an exit."""
        # The entry's place in the order of nodes stands for its link.
        link = list(self._nodes_by_name).index(entry.name)
        key = ReservationKey(link, message.number)
        now = self._now
        if isinstance(message, m.Reserve):
            self._reply(
                node,
                node.queue.reserve(to_reservation(key, message, now), now),
            )
        elif isinstance(message, m.Withdraw):
            if node.running.pop(key, None) is not None:
                self._reply(node, node.queue.finish(key, False, now))
            else:
                self._reply(node, node.queue.withdraw(key, now))
        elif isinstance(message, m.Execute):
            self._execute(node, key, message)

    def _reply(self, node: Node, replies: Iterable) -> None:
        nodes = list(self._nodes_by_name.values())
        for key, message in replies:
            entry = nodes[key.link]
            self._at(
                self._now + self._way_s(node, entry),
                lambda entry=entry, message=message: self._run(
                    entry, entry.dispatcher.receive(message, node.name, self._now)
                ),
            )

    def _execute(self, node: Node, key: ReservationKey, message: m.Execute) -> None:
        """Hand a request to the target, unless its slot has lapsed."""
        if not node.queue.start(key, self._now):
            self._reply(node, [(key, m.NotRun(key.number, "grant-expired", False))])
            return
        node.running[key] = message
        started_s = self._now
        if node.model.fails(started_s):
            self._at(started_s + RESET_S, lambda: self._fail(node, key, message))
            return
        load = self._loads_by_name[message.target]
        until_s = started_s + message.left_ms / 1000
        pending = [1]
        answers = [STATUS_OK]

        def done(status: int) -> None:
            answers[0] = max(answers[0], status)
            pending[0] -= 1
            if not pending[0]:
                status = STATUS_OK if answers[0] < 300 else STATUS_SERVER_ERROR
                self._finish(node, key, message, started_s, status)

        for call in load.calls:
            if self._rng.random() >= call.share:
                continue
            called = self._loads_by_name[call.route]
            pending[0] += call.times
            call_until_s = min(until_s, started_s + called.timeout_ms / 1000)
            for _ in range(call.times):
                self._ask(node, called, "", call_until_s, done)
        run_s = node.model.run_s(load, started_s)
        self._at(started_s + run_s, lambda: done(STATUS_OK))

    def _fail(self, node: Node, key: ReservationKey, message: m.Execute) -> None:
        if node.running.pop(key, None) is None:
            return
        node.queue.verdict.record_failure(self._now)
        self._reply(node, node.queue.finish(key, False, self._now))
        self._reply(node, [(key, m.Failed(key.number, "target-lost"))])

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
        self._reply(node, node.queue.finish(key, True, self._now))
        self._reply(node, [(key, m.Answer(key.number, status, (), b""))])

    def _tick(self) -> None:
        for node in self._nodes_by_name.values():
            for key, message in list(node.running.items()):
                until_s = node.queue._running_by_key[key].started_at_s
                if self._now >= until_s + message.left_ms / 1000:
                    node.queue.record_outcome(key, False, self._now)
                    self._fail(node, key, message)
            self._reply(node, node.queue.tick(self._now))
            self._run(node, node.dispatcher.tick(self._now))
        if self._now < self._site.seconds + REST_S:
            self._at(self._now + TICK_S, self._tick)


def _route(load: RouteLoad) -> Route:
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
